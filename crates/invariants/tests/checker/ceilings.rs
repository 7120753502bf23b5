//! Hard ceilings.

use crate::run_builder::{first, read, RequestSpec, RunBuilder, PREMIUM, SERVED};
use cluster_model::observation::HostOutcome;
use cluster_model::scenario::Site;
use invariants::Rule;

/// 2 units a second up to 10, and 3 units of slack.
fn site() -> Site {
    let mut site = Site::default();
    let plan = &mut site.plans[PREMIUM as usize];
    plan.ceiling_rate = 2.0;
    plan.ceiling_burst = 10.0;
    plan.ceiling_slack = 3.0;
    site
}

/// Returns the rules violated when requests of these units are served at these milliseconds.
fn violated_rules(served: &[(u64, f64)]) -> Vec<Rule> {
    let mut run = RunBuilder::default();
    for (n, (ms, units)) in served.iter().enumerate() {
        run.serve(*ms, RequestSpec { units: *units, gateway: n as u32 % 3, ..read(first(n as u64 + 1)) });
    }
    run.violated_rules_at(&site())
}

#[test]
fn burst_and_slack_are_available_at_the_start() {
    assert_eq!(violated_rules(&[(0, 6.0), (0, 7.0)]), []);
    assert_eq!(violated_rules(&[(0, 6.0), (0, 7.0), (0, 0.01)]), [Rule::Ceilings]);
}

#[test]
fn hard_limit_refills_at_its_rate_up_to_its_burst() {
    assert_eq!(violated_rules(&[(0, 13.0), (1_000, 2.0)]), []);
    assert_eq!(violated_rules(&[(0, 13.0), (1_000, 2.1)]), [Rule::Ceilings]);
    assert_eq!(violated_rules(&[(0, 10.0), (60_000, 13.0)]), []);
    assert_eq!(violated_rules(&[(0, 10.0), (60_000, 13.1)]), [Rule::Ceilings]);
}

#[test]
fn request_takes_its_named_units_once() {
    let id = first(1);
    let mut run = RunBuilder::default();
    run.ask(0, RequestSpec { units: 13.0, ..read(id) }).receive(5, id, 0).done(
        9,
        id,
        0,
        HostOutcome::Rejected,
    );
    run.receive(12, id, 1).done_for(50, id, 1, 40.0).answer(51, id, SERVED);
    assert_eq!(run.violated_rules_at(&site()), []);
}

#[test]
fn hard_limits_are_per_customer_and_per_plan() {
    let mut run = RunBuilder::default();
    run.serve(0, RequestSpec { units: 13.0, ..read(first(1)) });
    run.serve(0, RequestSpec { units: 13.0, customer: 8, ..read(first(2)) });
    run.serve(0, RequestSpec { units: 500.0, customer: 9, plan: 0, ..read(first(3)) });
    assert_eq!(run.violated_rules_at(&site()), []);
}
