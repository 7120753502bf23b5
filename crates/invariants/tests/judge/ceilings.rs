//! Hard ceilings.

use crate::day::{first, read, Ask, Day, PREMIUM, SERVED};
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

/// Served in this order: at which ms, and units.
fn broken(served: &[(u64, f64)]) -> Vec<Rule> {
    let mut day = Day::default();
    for (n, (ms, units)) in served.iter().enumerate() {
        day.serve(*ms, Ask { units: *units, gateway: n as u32 % 3, ..read(first(n as u64 + 1)) });
    }
    day.broken_at(&site())
}

#[test]
fn the_store_and_its_slack_are_there_at_the_start() {
    assert_eq!(broken(&[(0, 6.0), (0, 7.0)]), []);
    assert_eq!(broken(&[(0, 6.0), (0, 7.0), (0, 0.01)]), [Rule::Ceilings]);
}

#[test]
fn the_store_fills_at_its_rate_and_holds_so_much_at_the_most() {
    assert_eq!(broken(&[(0, 13.0), (1_000, 2.0)]), []);
    assert_eq!(broken(&[(0, 13.0), (1_000, 2.1)]), [Rule::Ceilings]);
    assert_eq!(broken(&[(0, 10.0), (60_000, 13.0)]), []);
    assert_eq!(broken(&[(0, 10.0), (60_000, 13.1)]), [Rule::Ceilings]);
}

#[test]
fn a_try_takes_the_units_that_it_names_and_takes_them_once() {
    let id = first(1);
    let mut day = Day::default();
    day.ask(0, Ask { units: 13.0, ..read(id) }).receive(5, id, 0).done(9, id, 0, HostOutcome::Rejected);
    day.receive(12, id, 1).done_for(50, id, 1, 40.0).answer(51, id, SERVED);
    assert_eq!(day.broken_at(&site()), []);
}

#[test]
fn each_customer_has_a_store_of_its_own_and_other_plans_have_none() {
    let mut day = Day::default();
    day.serve(0, Ask { units: 13.0, ..read(first(1)) });
    day.serve(0, Ask { units: 13.0, customer: 8, ..read(first(2)) });
    day.serve(0, Ask { units: 500.0, customer: 9, plan: 0, ..read(first(3)) });
    assert_eq!(day.broken_at(&site()), []);
}
