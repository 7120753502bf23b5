//! Operators' settings: overrides of a site's health, and changes of the plan.

use crate::simulation::{all_answer, plan, site_times_out, Simulation, HOSTS_PER_SITE, SECOND};
use policy::api::{HostId, Time};
use site_failover::FailoverPlan;
use site_failover::OperatorOverride;
use site_failover::SiteHealth::{Healthy, Lost};

#[test]
fn health_set_by_operators_takes_precedence_over_observations() {
    let mut simulation = Simulation::usual();
    simulation.run(10 * SECOND, 100.0, &all_answer);
    let mut overridden = plan();
    overridden.sites[1].operator_override = Some(OperatorOverride::Lost);
    simulation.controller.apply_plan(overridden.clone(), simulation.now);
    simulation.attempts_by_site = [0; 3];
    simulation.run(30 * SECOND, 100.0, &all_answer);
    assert_eq!((simulation.health()[1], simulation.attempts_by_site[1]), (Lost, 0), "not even probes");
    overridden.sites[1].operator_override = Some(OperatorOverride::Healthy);
    simulation.controller.apply_plan(overridden, simulation.now);
    simulation.run(10 * SECOND, 100.0, &site_times_out(1));
    assert_eq!(simulation.excluded(), [false; 3]);
    // Without an override the observations count again.
    simulation.controller.apply_plan(plan(), simulation.now);
    simulation.run(10 * SECOND, 100.0, &site_times_out(1));
    assert_eq!(simulation.health()[1], Lost);
}

#[test]
fn a_plan_applied_during_a_loss_preserves_the_states_of_sites_by_name() {
    let mut simulation = Simulation::usual();
    simulation.run(30 * SECOND, 100.0, &all_answer);
    simulation.run(5 * SECOND, 100.0, &site_times_out(1));
    let mut other = plan();
    other.sites.swap(0, 1);
    other.sites.iter_mut().for_each(|site| site.failover_targets.clear());
    let changes_before = simulation.changes.len();
    simulation.controller.apply_plan(other, simulation.now);
    simulation.run(5 * SECOND, 100.0, &site_times_out(1));
    assert_eq!(simulation.health(), [Lost, Healthy, Healthy], "south comes first now");
    assert_eq!(simulation.changes.len(), changes_before, "and is not lost again: {:?}", simulation.changes);
    // A plan without sites, but with shedding tiers.
    let controller = &mut simulation.controller;
    controller.apply_plan(FailoverPlan { sites: vec![], ..plan() }, simulation.now);
    assert!(controller.is_idle() && controller.next_tick_at() <= simulation.now);
    let update = controller.tick(simulation.now).unwrap();
    assert!(update.changed_hosts.len() as u64 >= HOSTS_PER_SITE - 1, "hosts are admitted again: {update:?}");
    assert!(controller.next_tick_at() == Time::MAX && controller.tick(simulation.now).is_none());
    assert!((0..3 * HOSTS_PER_SITE).all(|host| !controller.is_excluded(HostId(host))));
}
