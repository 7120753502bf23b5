//! Two sites with the same settings that share one counter by a configuration error: a customer of both sites
//! has one quota for both.
mod common;
use common::site::{Customer, Scenario, Site, TrafficPattern, START};
use common::*;

const LENGTH_S: u64 = 120;

/// Simulates a customer that uses all gateways of all sites and requests this multiple of its rate. Returns
/// the units that it gets as a fraction of `rate * time + burst`, the fraction of its requests that are
/// rejected, and the longest time in seconds for which requests were rejected while units were available.
fn run_on_one_counter(sites: usize, gateways: usize, burst: f64, load_factor: f64) -> (f64, f64, f64) {
    let customer = Customer {
        rate: 20.0,
        burst,
        set_size: gateways,
        first_gateway: 0,
        max_units: 2,
        actual_factor: 1.0,
        traffic: TrafficPattern::Even(load_factor),
        from: 0,
    };
    let mut site = Site::new(Scenario {
        gateways,
        sites,
        start: START,
        length: LENGTH_S * 1_000 * MS,
        customers: vec![customer],
        faults: vec![],
        kills: vec![],
        seed: 5,
    });
    site.run_to_end();
    assert_eq!(site.wrong_answers, [], "each request gets one final answer");
    let record = &site.records[0];
    let allowed = 20.0 * LENGTH_S as f64 + burst;
    let rejected = record.rejected as f64 / record.requests as f64;
    (record.forwarded_units / allowed, rejected, record.longest_rejection.0 as f64 / 1e9)
}

#[test]
fn two_sites_on_one_counter_share_a_quota_and_starve_no_customer() {
    // In this order: leases, leases with the heartbeats of a large site, windowed admission.
    for (gateways, burst) in [(6, 40.0), (16, 400.0), (80, 40.0)] {
        let (_, rejected, longest_s) = run_on_one_counter(2, gateways, burst, 0.9);
        assert!(
            rejected < 0.1 && longest_s < 1.0,
            "{gateways} gateways, within the quota: {rejected} rejected, for {longest_s} s"
        );
        let [at_one_site, at_two_sites] =
            [1, 2].map(|sites| run_on_one_counter(sites, gateways, burst, 3.0).0);
        assert!(
            at_two_sites < 1.2 * at_one_site,
            "{gateways} gateways, beyond the quota: {at_two_sites} of it at two sites, {at_one_site} at one"
        );
    }
}
