use super::*;
use serde_json::json;

fn list(generation: u64, reset: bool, hosts: &[(&str, &str)]) -> Membership {
    let host = |(id, lifecycle): &(&str, &str)| json!({"instanceId": id, "hostPort": "127.0.0.1:1", "lifecycle": lifecycle});
    let instances: Vec<_> = hosts.iter().map(host).collect();
    serde_json::from_value(json!({"generation": generation, "reset": reset, "instances": instances})).unwrap()
}

fn left_in(versions: &mut Versions, mut list: Membership) -> Vec<String> {
    versions.sort_out(&mut list);
    list.instances.into_iter().map(|host| host.instance_id).collect()
}

#[test]
fn a_host_that_drains_is_not_put_back_by_older_news() {
    let mut versions = Versions::default();
    let drain = list(3, false, &[("s-1", "terminating"), ("s-2", "in_service")]);
    assert_eq!(left_in(&mut versions, drain), ["s-1", "s-2"]);
    let older = list(2, false, &[("s-1", "in_service"), ("s-2", "in_service")]);
    assert_eq!(left_in(&mut versions, older), ["s-2"]);
    let gone = list(2, false, &[("s-1", "terminated")]);
    assert_eq!(left_in(&mut versions, gone), ["s-1"], "that it goes counts whenever it is said");
    assert_eq!(left_in(&mut versions, list(2, false, &[("s-1", "in_service")])), [""; 0]);
    assert_eq!(left_in(&mut versions, list(4, false, &[("s-1", "in_service")])), ["s-1"], "it is back");
    assert_eq!(left_in(&mut versions, list(2, false, &[("s-1", "in_service")])), ["s-1"]);
}

#[test]
fn an_older_whole_list_puts_back_no_host_that_left_and_brings_the_others() {
    // What is told before; then whether a list of version 4 puts the host back, which started so.
    let drains = || vec![list(3, true, &[("s-1", "in_service")]), list(5, false, &[("s-1", "terminating")])];
    let left_out = || vec![list(3, true, &[("s-1", "in_service")]), list(5, true, &[("s-2", "in_service")])];
    let gone = || vec![list(5, false, &[("s-1", "terminated")])];
    for (case, told) in [("drains", drains as fn() -> _), ("left out", left_out), ("gone", gone)] {
        for (reset, version, started, is_back) in [
            (true, 4, 0, false),
            (false, 4, 0, false),
            (true, 4, 1, true),
            (false, 4, 1, true),
            (true, 5, 0, true),
            (true, 6, 0, true),
            (false, 6, 0, true),
        ] {
            let mut versions = Versions::default();
            told().iter_mut().for_each(|list| versions.sort_out(list));
            let mut late = list(version, reset, &[("s-1", "in_service"), ("s-3", "in_service")]);
            late.instances[0].started_at_ms = started;
            let expected: &[&str] = if is_back { &["s-1", "s-3"] } else { &["s-3"] };
            assert_eq!(
                left_in(&mut versions, late),
                expected,
                "{case}, {reset}, {version}, started {started}"
            );
        }
    }
}

#[test]
fn a_drain_whose_entry_cannot_be_read_is_of_the_process_that_served() {
    for (known, started, is_back) in [(true, 7, false), (true, 8, true), (false, 8, false)] {
        let mut versions = Versions::default();
        let mut serving = list(1, true, &[("s-1", "in_service")]);
        serving.instances[0].started_at_ms = 7;
        if known {
            versions.sort_out(&mut serving);
        }
        let mut drain = list(5, false, &[("s-1", "terminating")]);
        drain.instances[0].host_port = None;
        versions.sort_out(&mut drain);
        let mut late = list(4, false, &[("s-1", "in_service")]);
        late.instances[0].started_at_ms = started;
        assert_eq!(left_in(&mut versions, late).len(), usize::from(is_back), "{known}, {started}");
    }
}

#[test]
fn what_is_remembered_of_hosts_that_left_is_bounded() {
    let mut versions = Versions::default();
    for version in 1..10_000 {
        versions.sort_out(&mut list(version, false, &[(&format!("s-{version}"), "terminated")]));
        assert!(versions.remembered() <= REMEMBERED, "{}", versions.remembered());
    }
    assert_eq!(left_in(&mut versions, list(9_990, false, &[("s-9995", "in_service")])), [""; 0]);
    // Also where all of them leave at once.
    let names: Vec<String> = (0..5_000).map(|n| format!("t-{n}")).collect();
    let hosts = |state| names.iter().map(|name| (name.as_str(), state)).collect::<Vec<_>>();
    versions.sort_out(&mut list(10_000, true, &hosts("in_service")));
    versions.sort_out(&mut list(10_001, true, &[("s-1", "in_service")]));
    assert_eq!(versions.remembered(), REMEMBERED);
}
