//! What is in force for each plan: the lower of what the platform grants and what the operators' policies say.

use std::collections::BTreeMap;

use config_language::model::{At, Operators, Origin, QuotaPolicy};

use crate::{RoutingError, RoutingErrorKind};

/// What the platform grants each customer of a plan. A rate of zero: no quota; `open` of zero: no such limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantedQuota<'a> {
    /// The plan's name.
    pub plan: &'a str,
    /// Units a second, from 0 up.
    pub rate: f64,
    /// Units that the store holds, from 0 up.
    pub burst: f64,
    /// Attempts out at once.
    pub max_concurrent: u32,
}

/// Where a figure comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitSource {
    /// The platform's settings.
    Platform,
    /// A quota policy.
    Policy {
        /// Its name.
        name: String,
        /// The place of the figure.
        origin: Origin,
    },
}

/// A figure in force, and where it comes from.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit<T> {
    /// The figure, in the unit and with the zero of [`GrantedQuota`].
    pub value: T,
    /// Where it comes from; the platform where both say the same.
    pub source: LimitSource,
}

/// What is in force for a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveQuota {
    /// The plan's name.
    pub plan: String,
    /// Units a second.
    pub rate: Limit<f64>,
    /// Units that the store holds.
    pub burst: Limit<f64>,
    /// Attempts out at once.
    pub max_concurrent: Limit<u32>,
}

/// What is in force for each plan, in the platform's order. A policy tightens and never loosens: of two figures the
/// lower counts, so one above the platform's has no effect. The same goes for several policies of one plan.
///
/// # Errors
/// A plan that the platform does not have, a figure that is not above zero (a zero would lift the limit), and half
/// a quota, a rate or a burst alone, where the platform sets none to go with it.
pub fn effective_quotas(
    operators: &Operators,
    platform: &[GrantedQuota],
) -> Result<Vec<EffectiveQuota>, RoutingError> {
    let mut policies: BTreeMap<&str, Vec<&QuotaPolicy>> =
        platform.iter().map(|quota| (quota.plan, Vec::new())).collect();
    for policy in &operators.policies {
        check(policy)?;
        let of_plan = policies.get_mut(policy.plan.value.as_str());
        let unknown = || RoutingErrorKind::UnknownPlan(policy.plan.value.clone()).at(&policy.plan.origin);
        of_plan.ok_or_else(unknown)?.push(policy);
    }
    platform.iter().map(|quota| tightened(quota, &policies[quota.plan])).collect()
}

/// Whether each figure can be a limit at all.
fn check(policy: &QuotaPolicy) -> Result<(), RoutingError> {
    let units = |figure: &Option<At<f64>>| {
        figure.as_ref().filter(|at| !(at.value.is_finite() && at.value > 0.0)).map(|at| at.origin.clone())
    };
    let open = policy.open.as_ref().filter(|at| at.value == 0).map(|at| at.origin.clone());
    let wrong = [("rate", units(&policy.rate)), ("burst", units(&policy.burst)), ("open", open)];
    match wrong.into_iter().find_map(|(figure, origin)| Some((figure, origin?))) {
        Some((figure, origin)) => {
            Err(RoutingErrorKind::InvalidLimit { policy: policy.name.value.clone(), limit: figure }
                .at(&origin))
        }
        None => Ok(()),
    }
}

fn tightened(quota: &GrantedQuota, policies: &[&QuotaPolicy]) -> Result<EffectiveQuota, RoutingError> {
    let metered = quota.rate > 0.0;
    let rate = lowest(quota.rate, metered, policies, |policy| policy.rate.as_ref());
    // With a rate, a store of zero holds nothing; without one its figure means nothing, unless there is one.
    let stored = metered || quota.burst > 0.0;
    let burst = lowest(quota.burst, stored, policies, |policy| policy.burst.as_ref());
    let open =
        lowest(quota.max_concurrent, quota.max_concurrent > 0, policies, |policy| policy.open.as_ref());
    match (&rate.source, &burst.source) {
        (LimitSource::Policy { origin, .. }, LimitSource::Platform) if !stored => {
            Err(RoutingErrorKind::RateWithoutBurst(quota.plan.into()).at(origin))
        }
        (LimitSource::Platform, LimitSource::Policy { origin, .. }) if !metered => {
            Err(RoutingErrorKind::BurstWithoutRate(quota.plan.into()).at(origin))
        }
        _ => Ok(EffectiveQuota { plan: quota.plan.into(), rate, burst, max_concurrent: open }),
    }
}

/// The lowest of the platform's figure, if that is a limit, and the policies'.
fn lowest<T: Copy + PartialOrd>(
    platform: T,
    mut limited: bool,
    policies: &[&QuotaPolicy],
    figure: impl Fn(&QuotaPolicy) -> Option<&At<T>>,
) -> Limit<T> {
    let mut lowest = Limit { value: platform, source: LimitSource::Platform };
    for policy in policies {
        let Some(at) = figure(policy) else { continue };
        if !limited || at.value < lowest.value {
            let source = LimitSource::Policy { name: policy.name.value.clone(), origin: at.origin.clone() };
            lowest = Limit { value: at.value, source };
            limited = true;
        }
    }
    lowest
}
