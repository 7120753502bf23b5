//! Subsetting: one of many gateways forwards to a subset of the hosts, and to others when the subset is
//! unavailable.
mod common;
use common::*;
use policy::api::*;
use std::collections::BTreeSet;

const HOSTS: u64 = 200;

fn gateway_of(gateways: u32) -> TestGateway {
    let mut settings = Settings { gateways, gateway_index: gateways / 2, ..settings() };
    settings.plans[0].rate = 0.0;
    TestGateway::new(settings, HOSTS)
}

/// Sends requests, each of which gets a response, and returns the hosts that they are forwarded to.
fn hosts_used(gateway: &mut TestGateway, ids: std::ops::Range<u64>) -> BTreeSet<u64> {
    let mut hosts = BTreeSet::new();
    for id in ids {
        for (request, host) in attempts_in(&gateway.request(id, 0, id, 1.0)) {
            hosts.insert(host.0);
            gateway.end_attempt(request.0, 0, host, Outcome::Ok);
        }
        gateway.advance(20 * MS);
    }
    hosts
}

#[test]
fn one_of_many_gateways_uses_its_subset_and_one_of_few_all_hosts() {
    assert!(hosts_used(&mut gateway_of(3), 1..1_000).len() > 150);
    let subset = hosts_used(&mut gateway_of(300), 1..1_000);
    assert!((16..32).contains(&subset.len()), "{subset:?}");
}

#[test]
fn without_its_subset_a_gateway_uses_other_hosts_at_once() {
    let mut gateway = gateway_of(300);
    let subset = hosts_used(&mut gateway, 1..1_000);
    let draining = |id: &u64| HostEntry { state: HostState::Draining, ..entry(*id) };
    gateway.report_host_list(HostListKind::Delta, subset.iter().map(draining).collect());
    let other_hosts = hosts_used(&mut gateway, 1_000..2_000);
    assert!((16..32).contains(&other_hosts.len()) && other_hosts.is_disjoint(&subset), "{other_hosts:?}");
}

#[test]
fn while_its_subset_warms_up_a_gateway_uses_other_hosts_and_few_of_them_that_warm_up() {
    let mut gateway = gateway_of(300);
    let subset = hosts_used(&mut gateway, 1..1_000);
    // All hosts restart, including those of the subset, except a dozen others.
    let running: BTreeSet<u64> = (1..=HOSTS).filter(|id| !subset.contains(id)).take(12).collect();
    let restarted = |id| HostEntry { started_at: gateway.now, ..entry(id) };
    let entries = (1..=HOSTS).filter(|id| !running.contains(id)).map(restarted).collect();
    gateway.report_host_list(HostListKind::Delta, entries);
    let hosts = hosts_used(&mut gateway, 1_000..1_200);
    let warming_outside_subset: Vec<&u64> =
        hosts.iter().filter(|id| !running.contains(id) && !subset.contains(id)).collect();
    assert!(hosts.iter().any(|id| running.contains(id)), "{hosts:?}");
    assert!(
        warming_outside_subset.len() <= 4,
        "hosts outside the subset that are in slow start: {warming_outside_subset:?}"
    );
}
