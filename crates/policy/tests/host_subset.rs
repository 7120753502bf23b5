//! One of many gateways forwards to few of many hosts, and to others when these are gone.
mod common;
use common::*;
use policy::api::*;
use std::collections::BTreeSet;

const HOSTS: u64 = 200;

fn one_of(gateways: u32) -> Harness {
    let mut settings = Settings { gateways, gateway_index: gateways / 2, ..settings() };
    settings.plans[0].rate = 0.0;
    Harness::new(settings, HOSTS)
}

/// Returns the hosts that get these requests, each of which gets a response.
fn used(g: &mut Harness, ids: std::ops::Range<u64>) -> BTreeSet<u64> {
    let mut hosts = BTreeSet::new();
    for id in ids {
        for (request, host) in attempts_in(&g.request(id, 0, id, 1.0)) {
            hosts.insert(host.0);
            g.ended(request.0, 0, host, Outcome::Ok);
        }
        g.pass(20 * MS);
    }
    hosts
}

#[test]
fn one_of_many_gateways_uses_its_subset_and_one_of_few_all_hosts() {
    assert!(used(&mut one_of(3), 1..1_000).len() > 150);
    let subset = used(&mut one_of(300), 1..1_000);
    assert!((16..32).contains(&subset.len()), "{subset:?}");
}

#[test]
fn without_its_subset_a_gateway_uses_other_hosts_at_once() {
    let mut g = one_of(300);
    let subset = used(&mut g, 1..1_000);
    let leave = |id: &u64| HostEntry { state: HostState::Draining, ..entry(*id) };
    g.list(HostListKind::Delta, subset.iter().map(leave).collect());
    let other = used(&mut g, 1_000..2_000);
    assert!((16..32).contains(&other.len()) && other.is_disjoint(&subset), "{other:?}");
}

#[test]
fn while_its_subset_accepts_nothing_a_gateway_uses_other_hosts_but_none_that_warm_up() {
    let mut g = one_of(300);
    let subset = used(&mut g, 1..1_000);
    // All but a dozen hosts restart, including those of the subset.
    let warm: BTreeSet<u64> = (1..=HOSTS).filter(|id| !subset.contains(id)).take(12).collect();
    let cold = |id| HostEntry { started_at: g.now, ..entry(id) };
    let entries = (1..=HOSTS).filter(|id| !warm.contains(id)).map(cold).collect();
    g.list(HostListKind::Delta, entries);
    let hosts = used(&mut g, 1_000..1_200);
    let strangers: Vec<&u64> = hosts.iter().filter(|id| !warm.contains(id) && !subset.contains(id)).collect();
    assert!(hosts.iter().any(|id| warm.contains(id)), "{hosts:?}");
    assert!(strangers.len() <= 4, "hosts in slow start of other subsets: {strangers:?}");
}
