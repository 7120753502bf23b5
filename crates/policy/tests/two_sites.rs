//! Two sites that were set up alike, by mistake on one counter: to a customer of both it is one quota.
mod common;
use common::site::{Customer, Scenario, Site, TrafficPattern, START};
use common::*;

const LENGTH_S: u64 = 120;

/// Returns for a customer of this number of gateways, which are this number of sites, and a multiple of its
/// rate: what it gets as a fraction of `rate * time + burst`, the fraction rejected, and the longest time for
/// which it was rejected while units were available, in seconds.
fn on_one_counter(fleets: usize, gateways: usize, burst: f64, times: f64) -> (f64, f64, f64) {
    let customer = Customer {
        rate: 20.0,
        burst,
        set_size: gateways,
        first_gateway: 0,
        most_units: 2,
        actual_factor: 1.0,
        traffic: TrafficPattern::Even(times),
        from: 0,
    };
    let mut site = Site::new(Scenario {
        gateways,
        fleets,
        start: START,
        length: LENGTH_S * 1_000 * MS,
        customers: vec![customer],
        faults: vec![],
        kills: vec![],
        seed: 5,
    });
    site.run_to_end();
    assert_eq!(site.wrong_answers, [], "each try is answered, once");
    let record = &site.records[0];
    let allowed = 20.0 * LENGTH_S as f64 + burst;
    let refused = record.rejected as f64 / record.asked as f64;
    (record.forwarded_units / allowed, refused, record.longest_rejection.0 as f64 / 1e9)
}

#[test]
fn two_sites_on_one_counter_share_a_quota_and_starve_no_customer() {
    // On leases, with heartbeats as at a large site, and under windowed admission.
    for (gateways, burst) in [(6, 40.0), (16, 400.0), (80, 40.0)] {
        let (_, refused, longest) = on_one_counter(2, gateways, burst, 0.9);
        assert!(refused < 0.1 && longest < 1.0, "{gateways}, within its quota: {refused}, {longest} s");
        let [one, two] = [1, 2].map(|fleets| on_one_counter(fleets, gateways, burst, 3.0).0);
        assert!(two < 1.2 * one, "{gateways}, beyond its quota: {two} of it, by one fleet {one}");
    }
}
