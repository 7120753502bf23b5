//! Where requests go while a site is suspect or lost.

use crate::simulation::{
    all_answer, plan, site_times_out, Simulation, ANSWERED, HOSTS_PER_SITE, MILLISECOND, SECOND, TIMED_OUT,
};
use policy::api::RequestId;
use site_failover::{GatewayIdentity, SiteSet};

/// Load balancing avoids hosts that fail, so without these requests the evidence against a site would stop growing.
#[test]
fn a_suspect_site_receives_idempotent_requests_at_intervals_until_it_answers() {
    let mut simulation = Simulation::usual();
    simulation.run(30 * SECOND, 200.0, &all_answer);
    (0..9).for_each(|n| simulation.end_attempt(HOSTS_PER_SITE + n % 3, TIMED_OUT));
    let mut queries = 0;
    for n in 0..100 {
        simulation.now += 20 * MILLISECOND;
        // The other sites answer, and nothing is sent to this one.
        (0..2).for_each(|site| simulation.end_attempt(2 * HOSTS_PER_SITE * site, ANSWERED));
        simulation.tick();
        let mut allowed =
            |is_idempotent| simulation.controller.allowed_sites(simulation.now, RequestId(n), is_idempotent);
        assert_eq!(allowed(false), SiteSet::ALL);
        queries += u32::from(allowed(true) == SiteSet::one(1));
    }
    assert!((6..=10).contains(&queries), "each 0.2 s: {queries}");
    simulation.end_attempt(HOSTS_PER_SITE, ANSWERED);
    simulation.run(SECOND, 200.0, &all_answer);
    for n in 0..100 {
        let allowed = simulation.controller.allowed_sites(simulation.now, RequestId(n), true);
        assert_eq!(allowed, SiteSet::ALL, "the site has answered");
    }
}

#[test]
fn a_lost_sites_load_goes_to_its_failover_targets_by_their_fractions() {
    // Expected fractions of all requests that may go only to the first site, and only to the third site.
    for (fractions, capacity, expected) in [
        ([0.5, 0.5], None, [0.167, 0.167]),
        ([0.9, 0.1], None, [0.3, 0.033]),
        ([0.3, 0.0], None, [0.1, 0.0]),
        // The first site has capacity for a fifth of the lost site's load: 133.4 x 0.9 - 100 of 100.
        ([1.0, 0.0], Some(133.4), [0.067, 0.0]),
    ] {
        let mut plan = plan();
        plan.sites[1].failover_targets[0].fraction = fractions[0];
        plan.sites[1].failover_targets[1].fraction = fractions[1];
        for site in &mut plan.sites {
            site.capacity = capacity;
            site.load = capacity.map(|_| 100.0);
            site.headroom = 0.1;
        }
        let identity = GatewayIdentity { gateways: 8, gateway_index: 0, zone: 0 };
        let mut simulation = Simulation::new(plan, identity);
        simulation.run(30 * SECOND, 200.0, &all_answer);
        simulation.run(5 * SECOND, 200.0, &site_times_out(1));
        let mut restricted = [0.0; 3];
        for id in 0..30_000 {
            let allowed = simulation.controller.allowed_sites(simulation.now, RequestId(id), false);
            let restricted_to = (0..3).filter(|site| allowed == SiteSet::one(*site));
            restricted_to.for_each(|site| restricted[site] += 1.0 / 30_000.0);
        }
        let is_near = |a: f64, b: f64| (a - b).abs() < 0.015;
        assert!(
            is_near(restricted[0], expected[0])
                && is_near(restricted[2], expected[1])
                && restricted[1] == 0.0,
            "{fractions:?}: {restricted:?}"
        );
    }
}
