//! The customers of a site.

use super::demand_phases::UsagePattern;
use crate::rng::Rng;
use crate::scenario::{PlanSpec, Site, Traffic};
use std::collections::BTreeSet;

/// Upper bound (exclusive) of customer numbers.
const CUSTOMER_NUMBER_BOUND: u64 = 1 << 33;
/// Minimum demand of a customer, as a share of its quota rate.
const MIN_DEMAND_SHARE: f64 = 0.01;
/// Golden-ratio step: any number of steps modulo 1 gives evenly spread points.
const GOLDEN_RATIO_STEP: f64 = 0.618_033_988_749_894_9;

#[derive(Clone, Debug)]
pub(super) struct Customer {
    pub number: u64,
    pub plan: u32,
    pub pattern: UsagePattern,
    /// First gateway of the customer's set.
    pub first_gateway: u32,
    /// Number of gateways in the customer's set.
    pub gateway_set_size: u32,
    /// Requests per second in phases of base demand.
    pub base_rate: f64,
    /// Requests per second in phases of high demand.
    pub high_rate: f64,
}

/// Mean demand of the customers of a plan.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlanRates {
    /// Number of customers.
    pub customers: u32,
    /// Units per second within the quotas.
    pub within_quota: f64,
    /// Units per second beyond the quotas.
    pub beyond_quota: f64,
}

/// A customer before the excess of all customers is known and bounded.
struct Draft {
    plan: usize,
    pattern: UsagePattern,
    /// Demand in phases of base demand, as a share of the quota rate.
    base_demand: f64,
    /// Demand in phases of high demand, as a multiple of the quota rate.
    high_demand: f64,
}

impl Draft {
    /// Mean demand within the quota, as a share of the quota rate.
    fn within_quota(&self) -> f64 {
        let high = self.high_demand_share();
        high + (1.0 - high) * self.base_demand
    }

    /// Expected share of the time in which the demand exceeds the quota rate.
    fn high_demand_share(&self) -> f64 {
        if self.pattern == UsagePattern::Greedy {
            1.0
        } else {
            self.pattern.high_demand_share()
        }
    }

    /// Mean demand beyond the quota, as a share of the quota rate.
    fn beyond_quota(&self) -> f64 {
        self.high_demand_share() * (self.high_demand - 1.0)
    }
}

/// Creates all customers and returns them with the mean demand by plan.
pub(super) fn make(
    site: &Site,
    traffic: &Traffic,
    mean_units: f64,
    seed: u64,
) -> (Vec<Customer>, Vec<PlanRates>) {
    let shares: f64 = site.plans.iter().map(|plan| plan.share.max(0.0)).sum();
    let mut drafts = Vec::new();
    for (index, plan) in site.plans.iter().enumerate() {
        let target = traffic.rate * mean_units * plan.share.max(0.0) / shares;
        draft_plan(index, plan, traffic, target, seed, &mut drafts);
    }
    let mut rates = vec![PlanRates::default(); site.plans.len()];
    for draft in &drafts {
        let (sum, rate) = (&mut rates[draft.plan], site.plans[draft.plan].rate);
        sum.customers += 1;
        sum.within_quota += rate * draft.within_quota();
        sum.beyond_quota += rate * draft.beyond_quota();
    }
    let excess = excess_factor(&rates, traffic.max_excess);
    rates.iter_mut().for_each(|sum| sum.beyond_quota *= excess);
    (finish(site, &drafts, excess, mean_units, seed), rates)
}

/// Factor that scales the demand beyond quotas down to `max_excess` times the demand within them.
fn excess_factor(rates: &[PlanRates], max_excess: f64) -> f64 {
    let within: f64 = rates.iter().map(|sum| sum.within_quota).sum();
    let beyond: f64 = rates.iter().map(|sum| sum.beyond_quota).sum();
    let max_beyond = max_excess.max(0.0) * within;
    if beyond > max_beyond {
        max_beyond / beyond
    } else {
        1.0
    }
}

/// Adds customers of a plan until their mean demand within the quotas is `target` units per second. The last
/// customer's demand is set to the remainder.
fn draft_plan(
    index: usize,
    plan: &PlanSpec,
    traffic: &Traffic,
    target: f64,
    seed: u64,
    drafts: &mut Vec<Draft>,
) {
    if !(target > 0.0 && plan.rate > 0.0) {
        return;
    }
    let mut rng = Rng::stream(seed, "customers", index as u64);
    // Usage patterns are spread evenly, so that a small site also has heavy customers.
    let mut position = rng.unit();
    let mut missing = target / plan.rate;
    while missing > 1e-9 {
        position = (position + GOLDEN_RATIO_STEP) % 1.0;
        let mut draft = draft(index, pattern_at(position, traffic), traffic, &mut rng);
        if draft.within_quota() > missing {
            draft = Draft { pattern: UsagePattern::Usual, base_demand: missing, high_demand: 1.0, ..draft };
        }
        missing -= draft.within_quota();
        drafts.push(draft);
    }
}

fn pattern_at(position: f64, traffic: &Traffic) -> UsagePattern {
    let mut remaining = position;
    let shares = [
        (UsagePattern::Heavy, traffic.heavy.0),
        (UsagePattern::Spiky, traffic.bursty.0),
        (UsagePattern::Full, traffic.near_quota),
        (UsagePattern::Greedy, traffic.greedy.0),
    ];
    for (pattern, share) in shares {
        remaining -= share;
        if remaining < 0.0 {
            return pattern;
        }
    }
    UsagePattern::Usual
}

fn draft(plan: usize, pattern: UsagePattern, traffic: &Traffic, rng: &mut Rng) -> Draft {
    let (from, to) = if pattern == UsagePattern::Full { (0.9, 1.0) } else { traffic.normal_use };
    let base_demand = rng.between(from, to).clamp(MIN_DEMAND_SHARE, 1.0);
    let max = match pattern {
        UsagePattern::Usual | UsagePattern::Full => 1.0,
        UsagePattern::Heavy => traffic.heavy.1.max(1.0),
        UsagePattern::Spiky => traffic.bursty.1.max(1.0),
        UsagePattern::Greedy => traffic.greedy.1.max(1.0),
    };
    // The scenario states a maximum ("up to x times"); drawing from the upper half of the range keeps it
    // meaningful.
    let high_demand = if pattern == UsagePattern::Greedy { max } else { rng.between((1.0 + max) / 2.0, max) };
    Draft { plan, pattern, base_demand, high_demand }
}

/// Assigns customer numbers and gateway sets.
fn finish(site: &Site, drafts: &[Draft], excess: f64, mean_units: f64, seed: u64) -> Vec<Customer> {
    let mut rng = Rng::stream(seed, "numbers", 0);
    let mut used = BTreeSet::new();
    let gateways = site.gateways.max(1);
    let unused_number = |rng: &mut Rng, used: &mut BTreeSet<u64>| loop {
        let number = rng.below(CUSTOMER_NUMBER_BOUND);
        if used.insert(number) {
            return number;
        }
    };
    let customers = drafts.iter().map(|draft| {
        let plan = &site.plans[draft.plan];
        let rate = plan.rate / mean_units;
        let high_rate = rate * (1.0 + (draft.high_demand - 1.0) * excess);
        Customer {
            number: unused_number(&mut rng, &mut used),
            plan: draft.plan as u32,
            pattern: draft.pattern,
            first_gateway: rng.below(u64::from(gateways)) as u32,
            gateway_set_size: plan.spread.clamp(1, gateways),
            base_rate: if draft.pattern == UsagePattern::Greedy {
                high_rate
            } else {
                rate * draft.base_demand
            },
            high_rate,
        }
    });
    customers.collect()
}
