use super::*;
use serde_json::json;

fn list(generation: u64, reset: bool, hosts: &[(&str, &str)]) -> EndpointList {
    let host = |(id, lifecycle): &(&str, &str)| json!({"instanceId": id, "hostPort": "127.0.0.1:1", "lifecycle": lifecycle});
    let instances: Vec<_> = hosts.iter().map(host).collect();
    serde_json::from_value(json!({"generation": generation, "reset": reset, "instances": instances})).unwrap()
}

fn remaining(filter: &mut StaleEntryFilter, mut list: EndpointList) -> Vec<String> {
    filter.remove_stale(&mut list);
    list.endpoints.into_iter().map(|host| host.instance_id).collect()
}

#[test]
fn a_draining_host_is_not_restored_by_an_older_list() {
    let mut filter = StaleEntryFilter::default();
    let drain = list(3, false, &[("s-1", "terminating"), ("s-2", "in_service")]);
    assert_eq!(remaining(&mut filter, drain), ["s-1", "s-2"]);
    let older = list(2, false, &[("s-1", "in_service"), ("s-2", "in_service")]);
    assert_eq!(remaining(&mut filter, older), ["s-2"]);
    let removed = list(2, false, &[("s-1", "terminated")]);
    assert_eq!(remaining(&mut filter, removed), ["s-1"], "a departure was dropped because of its version");
    assert_eq!(remaining(&mut filter, list(2, false, &[("s-1", "in_service")])), [""; 0]);
    assert_eq!(
        remaining(&mut filter, list(4, false, &[("s-1", "in_service")])),
        ["s-1"],
        "a newer list did not restore the host"
    );
    assert_eq!(remaining(&mut filter, list(2, false, &[("s-1", "in_service")])), ["s-1"]);
}

#[test]
fn an_older_complete_list_restores_no_departed_host_and_adds_the_others() {
    // Each case first applies lists after which the host has departed at version 5. Then another list follows: whether
    // it is complete, its version, the start time of the host in it, and whether it restores the host.
    let drains = || vec![list(3, true, &[("s-1", "in_service")]), list(5, false, &[("s-1", "terminating")])];
    let left_out = || vec![list(3, true, &[("s-1", "in_service")]), list(5, true, &[("s-2", "in_service")])];
    let removed = || vec![list(5, false, &[("s-1", "terminated")])];
    for (case, earlier_lists) in
        [("drains", drains as fn() -> _), ("left out", left_out), ("removed", removed)]
    {
        for (reset, version, started, is_restored) in [
            (true, 4, 0, false),
            (false, 4, 0, false),
            (true, 4, 1, true),
            (false, 4, 1, true),
            (true, 5, 0, true),
            (true, 6, 0, true),
            (false, 6, 0, true),
        ] {
            let mut filter = StaleEntryFilter::default();
            earlier_lists().iter_mut().for_each(|list| filter.remove_stale(list));
            let mut late = list(version, reset, &[("s-1", "in_service"), ("s-3", "in_service")]);
            late.endpoints[0].started_at_ms = started;
            let expected: &[&str] = if is_restored { &["s-1", "s-3"] } else { &["s-3"] };
            assert_eq!(
                remaining(&mut filter, late),
                expected,
                "{case}, {reset}, {version}, started {started}"
            );
        }
    }
}

#[test]
fn an_invalid_entry_of_a_draining_host_applies_to_the_process_in_service() {
    for (known, started, is_restored) in [(true, 7, false), (true, 8, true), (false, 8, false)] {
        let mut filter = StaleEntryFilter::default();
        let mut serving = list(1, true, &[("s-1", "in_service")]);
        serving.endpoints[0].started_at_ms = 7;
        if known {
            filter.remove_stale(&mut serving);
        }
        let mut drain = list(5, false, &[("s-1", "terminating")]);
        drain.endpoints[0].address = None;
        filter.remove_stale(&mut drain);
        let mut late = list(4, false, &[("s-1", "in_service")]);
        late.endpoints[0].started_at_ms = started;
        assert_eq!(remaining(&mut filter, late).len(), usize::from(is_restored), "{known}, {started}");
    }
}

#[test]
fn the_number_of_remembered_departures_is_bounded() {
    let mut filter = StaleEntryFilter::default();
    for version in 1..10_000 {
        filter.remove_stale(&mut list(version, false, &[(&format!("s-{version}"), "terminated")]));
        assert!(filter.departures() <= MAX_DEPARTURES, "{}", filter.departures());
    }
    assert_eq!(remaining(&mut filter, list(9_990, false, &[("s-9995", "in_service")])), [""; 0]);
    // The bound also holds if all hosts depart in one list.
    let names: Vec<String> = (0..5_000).map(|n| format!("t-{n}")).collect();
    let hosts = |state| names.iter().map(|name| (name.as_str(), state)).collect::<Vec<_>>();
    filter.remove_stale(&mut list(10_000, true, &hosts("in_service")));
    filter.remove_stale(&mut list(10_001, true, &[("s-1", "in_service")]));
    assert_eq!(filter.departures(), MAX_DEPARTURES);
}
