//! The effective quota of each plan: the lower of what the platform grants and what the operators' policies allow.

use std::collections::BTreeMap;

use config_language::model::{At, Operators, Origin, QuotaPolicy};

use crate::error::{RoutingError, RoutingErrorKind};

/// The quota that the platform grants to each customer of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantedQuota<'a> {
    /// Name of the plan.
    pub plan: &'a str,
    /// Units per second, from 0 up; 0 for no quota.
    pub rate: f64,
    /// Capacity of the token bucket in units, from 0 up.
    pub burst: f64,
    /// Maximum number of concurrent attempts, `open` in the operators' language; 0 for no limit.
    pub max_concurrent: u32,
}

/// Where a limit was set.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitSource {
    /// In the platform's settings.
    Platform,
    /// In a quota policy of the operators.
    Policy {
        /// Name of the policy.
        name: String,
        /// Place of the limit in the files.
        origin: Origin,
    },
}

/// An effective limit, and where it was set.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit<T> {
    /// The limit, with the unit and the meaning of 0 as in [`GrantedQuota`].
    pub value: T,
    /// Where it was set; the platform if a policy sets the same value.
    pub source: LimitSource,
}

/// The effective quota of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveQuota {
    /// Name of the plan.
    pub plan: String,
    /// Units per second.
    pub rate: Limit<f64>,
    /// Capacity of the token bucket in units.
    pub burst: Limit<f64>,
    /// Maximum number of concurrent attempts.
    pub max_concurrent: Limit<u32>,
}

/// Returns the effective quota of each plan, in the platform's order.
///
/// A policy never raises a limit: the lower value is effective, so a policy above the platform's value has no effect.
/// Of several policies for one plan, too, the lowest value is effective.
///
/// # Errors
/// A plan that the platform does not have, a limit that is not above 0 (0 would remove the limit), and a rate without
/// a burst, or a burst without a rate, where the platform grants neither.
pub fn effective_quotas(
    operators: &Operators,
    granted: &[GrantedQuota],
) -> Result<Vec<EffectiveQuota>, RoutingError> {
    let mut policies: BTreeMap<&str, Vec<&QuotaPolicy>> =
        granted.iter().map(|quota| (quota.plan, Vec::new())).collect();
    for policy in &operators.policies {
        check_limits(policy)?;
        let of_plan = policies.get_mut(policy.plan.value.as_str());
        let unknown = || RoutingErrorKind::UnknownPlan(policy.plan.value.clone()).at(&policy.plan.origin);
        of_plan.ok_or_else(unknown)?.push(policy);
    }
    granted.iter().map(|quota| effective_quota(quota, &policies[quota.plan])).collect()
}

/// Checks that each limit of a policy is a positive, finite number.
fn check_limits(policy: &QuotaPolicy) -> Result<(), RoutingError> {
    let is_positive = |limit: &&At<f64>| limit.value.is_finite() && limit.value > 0.0;
    let invalid_units = |limit: &'_ Option<At<f64>>| {
        limit.as_ref().filter(|limit| !is_positive(limit)).map(|limit| limit.origin.clone())
    };
    let invalid_rate = invalid_units(&policy.rate);
    let invalid_burst = invalid_units(&policy.burst);
    let zero_open = policy.open.as_ref().filter(|limit| limit.value == 0).map(|limit| limit.origin.clone());
    let invalid = [("rate", invalid_rate), ("burst", invalid_burst), ("open", zero_open)];
    match invalid.into_iter().find_map(|(limit, origin)| Some((limit, origin?))) {
        Some((limit, origin)) => {
            let policy = policy.name.value.clone();
            Err(RoutingErrorKind::InvalidLimit { policy, limit }.at(&origin))
        }
        None => Ok(()),
    }
}

/// Returns the effective quota of one plan.
///
/// # Errors
/// A rate without a burst, or a burst without a rate, where the platform grants neither.
fn effective_quota(
    granted: &GrantedQuota,
    policies: &[&QuotaPolicy],
) -> Result<EffectiveQuota, RoutingError> {
    let has_rate = granted.rate > 0.0;
    // With a rate, a burst of 0 is a limit: the bucket is always empty. Without a rate, it means that there is no
    // bucket.
    let has_burst = has_rate || granted.burst > 0.0;
    let rate = lowest(granted.rate, has_rate, policies, |policy| policy.rate.as_ref());
    let burst = lowest(granted.burst, has_burst, policies, |policy| policy.burst.as_ref());
    let has_max_concurrent = granted.max_concurrent > 0;
    let max_concurrent =
        lowest(granted.max_concurrent, has_max_concurrent, policies, |policy| policy.open.as_ref());
    match (&rate.source, &burst.source) {
        (LimitSource::Policy { origin, .. }, LimitSource::Platform) if !has_burst => {
            Err(RoutingErrorKind::RateWithoutBurst(granted.plan.into()).at(origin))
        }
        (LimitSource::Platform, LimitSource::Policy { origin, .. }) if !has_rate => {
            Err(RoutingErrorKind::BurstWithoutRate(granted.plan.into()).at(origin))
        }
        _ => Ok(EffectiveQuota { plan: granted.plan.into(), rate, burst, max_concurrent }),
    }
}

/// Returns the lowest of the values of the policies and, if `is_limited` says that it is a limit, the granted value.
fn lowest<T: Copy + PartialOrd>(
    granted: T,
    mut is_limited: bool,
    policies: &[&QuotaPolicy],
    limit_of: impl Fn(&QuotaPolicy) -> Option<&At<T>>,
) -> Limit<T> {
    let mut lowest = Limit { value: granted, source: LimitSource::Platform };
    for policy in policies {
        let Some(limit) = limit_of(policy) else { continue };
        if !is_limited || limit.value < lowest.value {
            let name = policy.name.value.clone();
            let source = LimitSource::Policy { name, origin: limit.origin.clone() };
            lowest = Limit { value: limit.value, source };
            is_limited = true;
        }
    }
    lowest
}
