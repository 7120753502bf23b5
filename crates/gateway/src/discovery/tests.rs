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
fn a_whole_list_begins_anew() {
    let mut versions = Versions::default();
    versions.sort_out(&mut list(9, false, &[("s-1", "terminated")]));
    assert_eq!(left_in(&mut versions, list(1, true, &[("s-1", "in_service")])), ["s-1"]);
}

#[test]
fn what_is_remembered_of_hosts_that_left_is_bounded() {
    let mut versions = Versions::default();
    for version in 1..10_000 {
        versions.sort_out(&mut list(version, false, &[(&format!("s-{version}"), "terminated")]));
        assert!(versions.0.len() <= REMEMBERED + 1, "{}", versions.0.len());
    }
    assert_eq!(left_in(&mut versions, list(9_990, false, &[("s-9995", "in_service")])), [""; 0]);
}
