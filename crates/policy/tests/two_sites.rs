//! Two fleets that were set up alike, by mistake on one counter: for whoever asks both it is one quota.
mod common;
use common::site::{Customer, Scenario, Site, TrafficPattern, START};
use common::*;

const LENGTH_S: u64 = 120;

/// What a customer who asks so many gateways, which are so many fleets, for so many times its rate passes in all, as a
/// part of `rate * time + burst`, the share refused, and the longest that it was refused with room, in seconds.
fn on_one_counter(fleets: usize, gateways: usize, burst: f64, times: f64) -> (f64, f64, f64) {
    let customer = Customer {
        rate: 20.0,
        burst,
        set_size: gateways,
        first_gateway: 0,
        most_units: 2,
        truth: 1.0,
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
    // Leased for in blocks, listened for as in a large fleet, and rationed.
    for (gateways, burst) in [(6, 40.0), (16, 400.0), (80, 40.0)] {
        let (_, refused, longest) = on_one_counter(2, gateways, burst, 0.9);
        assert!(refused < 0.1 && longest < 1.0, "{gateways}, within its quota: {refused}, {longest} s");
        let [one, two] = [1, 2].map(|fleets| on_one_counter(fleets, gateways, burst, 3.0).0);
        assert!(two < 1.2 * one, "{gateways}, beyond its quota: {two} of it, by one fleet {one}");
    }
}
