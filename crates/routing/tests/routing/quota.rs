//! The effective quota of a plan, from the platform's grant and the operators' policies.

use config_language::model::{Operators, QuotaPolicy};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use routing::{effective_quotas, EffectiveQuota, GrantedQuota, LimitSource, RoutingError, RoutingErrorKind};

use super::common::*;

const PLATFORM: [GrantedQuota<'static>; 2] = [
    GrantedQuota { plan: "standard", rate: 4.0, burst: 20.0, max_concurrent: 2 },
    GrantedQuota { plan: "premium", rate: 0.0, burst: 0.0, max_concurrent: 0 },
];

fn effective(policies: Vec<QuotaPolicy>) -> Result<Vec<EffectiveQuota>, RoutingError> {
    effective_quotas(&Operators { policies, ..Operators::default() }, &PLATFORM)
}

fn values(quota: &EffectiveQuota) -> (f64, f64, u32) {
    (quota.rate.value, quota.burst.value, quota.max_concurrent.value)
}

#[test]
fn without_policies_the_granted_quotas_are_effective() {
    let effective_quotas = effective(vec![]).unwrap();
    assert_eq!(effective_quotas.iter().map(values).collect::<Vec<_>>(), [(4.0, 20.0, 2), (0.0, 0.0, 0)]);
    assert!(effective_quotas.iter().all(|quota| quota.rate.source == LimitSource::Platform));
}

#[test]
fn the_lower_limit_is_effective_and_names_its_source() {
    let slow = QuotaPolicy {
        rate: Some(at(21, 3.0)),
        burst: Some(at(22, 30.0)),
        open: Some(at(23, 2)),
        ..policy("slow", "standard")
    };
    let effective_quotas = effective(vec![slow]).unwrap();
    let standard = &effective_quotas[0];
    assert_eq!(values(standard), (3.0, 20.0, 2));
    let source = LimitSource::Policy { name: "slow".into(), origin: at(21, ()).origin };
    assert_eq!(standard.rate.source, source);
    // The policy's burst is above the platform's limit, and its `open` is equal to it.
    assert_eq!(
        (&standard.burst.source, &standard.max_concurrent.source),
        (&LimitSource::Platform, &LimitSource::Platform)
    );
}

#[test]
fn a_policy_limits_a_plan_without_a_granted_quota() {
    let limits = QuotaPolicy {
        rate: Some(at(1, 30.0)),
        burst: Some(at(1, 90.0)),
        open: Some(at(1, 8)),
        ..policy("limits", "premium")
    };
    assert_eq!(values(&effective(vec![limits]).unwrap()[1]), (30.0, 90.0, 8));
}

#[test]
fn the_lower_of_two_policies_is_effective_in_any_order() {
    let with = |name: &str, rate| QuotaPolicy { rate: Some(at(1, rate)), ..policy(name, "standard") };
    for policies in [vec![with("a", 2.0), with("b", 3.0)], vec![with("b", 3.0), with("a", 2.0)]] {
        assert_eq!(effective(policies).unwrap()[0].rate.value, 2.0);
    }
}

#[test]
fn a_limit_that_is_not_positive_and_finite_is_an_error() {
    let kind = |policy: QuotaPolicy| effective(vec![policy]).unwrap_err().kind;
    for rate in [0.0, -0.0, -1.0, f64::NAN, f64::INFINITY] {
        let policy_with_rate = QuotaPolicy { rate: Some(at(1, rate)), ..policy("p", "standard") };
        assert_eq!(
            kind(policy_with_rate),
            RoutingErrorKind::InvalidLimit { policy: "p".into(), limit: "rate" }
        );
        let policy_with_burst = QuotaPolicy { burst: Some(at(1, rate)), ..policy("p", "standard") };
        assert_eq!(
            kind(policy_with_burst),
            RoutingErrorKind::InvalidLimit { policy: "p".into(), limit: "burst" }
        );
    }
    let open = QuotaPolicy { open: Some(at(31, 0)), ..policy("p", "premium") };
    let message = "park.fb:31:3: quota policy `p`: open has to be above zero and finite";
    assert_eq!(effective(vec![open]).unwrap_err().to_string(), message);
}

#[test]
fn a_rate_without_burst_or_a_burst_without_rate_is_an_error() {
    // A rate with an empty bucket would reject all requests; a bucket without a rate would have no effect.
    let rate = QuotaPolicy { rate: Some(at(1, 3.0)), ..policy("p", "premium") };
    let kind = |policy: QuotaPolicy| effective(vec![policy]).unwrap_err().kind;
    assert_eq!(kind(rate), RoutingErrorKind::RateWithoutBurst("premium".into()));
    let burst = QuotaPolicy { burst: Some(at(1, 3.0)), ..policy("p", "premium") };
    assert_eq!(kind(burst), RoutingErrorKind::BurstWithoutRate("premium".into()));
}

#[test]
fn an_unknown_plan_is_an_error() {
    let error = effective(vec![policy("p", "gold")]).unwrap_err();
    assert_eq!(error.to_string(), "park.fb:7:3: the platform has no plan `gold`");
}

/// Returns the highest value that a limit allows. A limit of 0 means no limit to the decision module.
fn allowed(limit: f64) -> f64 {
    if limit == 0.0 {
        f64::INFINITY
    } else {
        limit
    }
}

fn any_policy() -> impl Strategy<Value = QuotaPolicy> {
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
    fn an_accepted_policy_never_raises_a_limit(
        quota in (prop_oneof![Just(0.0), 0.1_f64..50.0], prop_oneof![Just(0.0), 0.1_f64..50.0], 0_u32..5),
        policies in prop::collection::vec(any_policy(), 0..4),
    ) {
        let platform = GrantedQuota { plan: "plan", rate: quota.0, burst: quota.1, max_concurrent: quota.2 };
        let operators = Operators { policies, ..Operators::default() };
        if let Ok(quotas) = effective_quotas(&operators, &[platform]) {
            let (rate, burst, open) = values(&quotas[0]);
            prop_assert!(allowed(rate) <= allowed(platform.rate));
            prop_assert!(allowed(open.into()) <= allowed(platform.max_concurrent.into()));
            // With a rate the burst is a limit, and a burst of 0 is the lowest one.
            prop_assert!(platform.rate == 0.0 || burst <= platform.burst);
            for policy_rate in operators.policies.iter().filter_map(|policy| policy.rate.as_ref()) {
                prop_assert!(allowed(rate) <= policy_rate.value);
            }
        }
    }
}
