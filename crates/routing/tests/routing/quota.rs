//! What policies leave of a quota.

use config_language::model::{Operators, QuotaPolicy};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use routing::{effective_quotas, EffectiveQuota, GrantedQuota, LimitSource, RoutingError, RoutingErrorKind};

use super::common::*;

const PLATFORM: [GrantedQuota<'static>; 2] = [
    GrantedQuota { plan: "standard", rate: 4.0, burst: 20.0, max_concurrent: 2 },
    GrantedQuota { plan: "premium", rate: 0.0, burst: 0.0, max_concurrent: 0 },
];

fn tightened(policies: Vec<QuotaPolicy>) -> Result<Vec<EffectiveQuota>, RoutingError> {
    effective_quotas(&Operators { policies, ..Operators::default() }, &PLATFORM)
}

fn figures(line: &EffectiveQuota) -> (f64, f64, u32) {
    (line.rate.value, line.burst.value, line.max_concurrent.value)
}

#[test]
fn without_policies_the_platforms_figures_stand() {
    let in_force = tightened(vec![]).unwrap();
    assert_eq!(in_force.iter().map(figures).collect::<Vec<_>>(), [(4.0, 20.0, 2), (0.0, 0.0, 0)]);
    assert!(in_force.iter().all(|line| line.rate.source == LimitSource::Platform));
}

#[test]
fn the_lower_figure_counts_and_says_where_it_comes_from() {
    let slow = QuotaPolicy {
        rate: Some(at(21, 3.0)),
        burst: Some(at(22, 30.0)),
        open: Some(at(23, 2)),
        ..policy("slow", "standard")
    };
    let in_force = tightened(vec![slow]).unwrap();
    let standard = &in_force[0];
    assert_eq!(figures(standard), (3.0, 20.0, 2));
    let source = LimitSource::Policy { name: "slow".into(), origin: at(21, ()).origin };
    assert_eq!(standard.rate.source, source);
    // Above the platform's, and the same as the platform's.
    assert_eq!(
        (&standard.burst.source, &standard.max_concurrent.source),
        (&LimitSource::Platform, &LimitSource::Platform)
    );
}

#[test]
fn where_the_platform_sets_no_limit_a_policy_does() {
    let limits = QuotaPolicy {
        rate: Some(at(1, 30.0)),
        burst: Some(at(1, 90.0)),
        open: Some(at(1, 8)),
        ..policy("limits", "premium")
    };
    assert_eq!(figures(&tightened(vec![limits]).unwrap()[1]), (30.0, 90.0, 8));
}

#[test]
fn of_two_policies_the_lower_counts_in_any_order() {
    let with = |name: &str, rate| QuotaPolicy { rate: Some(at(1, rate)), ..policy(name, "standard") };
    for policies in [vec![with("a", 2.0), with("b", 3.0)], vec![with("b", 3.0), with("a", 2.0)]] {
        assert_eq!(tightened(policies).unwrap()[0].rate.value, 2.0);
    }
}

#[test]
fn a_zero_is_no_way_around_the_platform() {
    let problem = |policy: QuotaPolicy| tightened(vec![policy]).unwrap_err().kind;
    for rate in [0.0, -0.0, -1.0, f64::NAN, f64::INFINITY] {
        let figure = QuotaPolicy { rate: Some(at(1, rate)), ..policy("p", "standard") };
        assert_eq!(problem(figure), RoutingErrorKind::InvalidLimit { policy: "p".into(), limit: "rate" });
        let figure = QuotaPolicy { burst: Some(at(1, rate)), ..policy("p", "standard") };
        assert_eq!(problem(figure), RoutingErrorKind::InvalidLimit { policy: "p".into(), limit: "burst" });
    }
    let open = QuotaPolicy { open: Some(at(31, 0)), ..policy("p", "premium") };
    let message = "park.fb:31:3: quota policy `p`: open has to be above zero and finite";
    assert_eq!(tightened(vec![open]).unwrap_err().to_string(), message);
}

#[test]
fn half_a_quota_is_refused_where_the_platform_has_no_other_half() {
    // A rate with an empty store would turn all away; a store without a rate would count for nothing.
    let rate = QuotaPolicy { rate: Some(at(1, 3.0)), ..policy("p", "premium") };
    let problem = |policy: QuotaPolicy| tightened(vec![policy]).unwrap_err().kind;
    assert_eq!(problem(rate), RoutingErrorKind::RateWithoutBurst("premium".into()));
    let burst = QuotaPolicy { burst: Some(at(1, 3.0)), ..policy("p", "premium") };
    assert_eq!(problem(burst), RoutingErrorKind::BurstWithoutRate("premium".into()));
}

#[test]
fn a_plan_that_the_platform_does_not_have_is_refused() {
    let error = tightened(vec![policy("p", "gold")]).unwrap_err();
    assert_eq!(error.to_string(), "park.fb:7:3: the platform has no plan `gold`");
}

/// What a figure allows: zero, as the decision module reads it, sets no limit.
fn allowed(figure: f64) -> f64 {
    if figure == 0.0 {
        f64::INFINITY
    } else {
        figure
    }
}

fn a_policy() -> impl Strategy<Value = QuotaPolicy> {
    let units = || prop::option::of(prop_oneof![0.1_f64..50.0, Just(0.0)].prop_map(|units| at(1, units)));
    let open = prop::option::of((0_u32..9).prop_map(|open| at(1, open)));
    (units(), units(), open).prop_map(|(rate, burst, open)| QuotaPolicy {
        rate,
        burst,
        open,
        ..policy("p", "plan")
    })
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(10), failure_persistence: None, ..Config::default() })]

    #[test]
    fn nothing_that_is_accepted_loosens(
        quota in (prop_oneof![Just(0.0), 0.1_f64..50.0], prop_oneof![Just(0.0), 0.1_f64..50.0], 0_u32..5),
        policies in prop::collection::vec(a_policy(), 0..4),
    ) {
        let platform = GrantedQuota { plan: "plan", rate: quota.0, burst: quota.1, max_concurrent: quota.2 };
        let operators = Operators { policies, ..Operators::default() };
        if let Ok(in_force) = effective_quotas(&operators, &[platform]) {
            let (rate, burst, open) = figures(&in_force[0]);
            prop_assert!(allowed(rate) <= allowed(platform.rate));
            prop_assert!(allowed(open.into()) <= allowed(platform.max_concurrent.into()));
            // With a rate the store's figure counts, and zero is no more than zero.
            prop_assert!(platform.rate == 0.0 || burst <= platform.burst);
            for given in operators.policies.iter().filter_map(|policy| policy.rate.as_ref()) {
                prop_assert!(allowed(rate) <= given.value);
            }
        }
    }
}
