//! Checks that hard limits hold over all gateways together.

use crate::token_bucket::TokenBucket;
use crate::violations::{Subject, ViolationLog};
use crate::Rule;
use cluster_model::scenario::{PlanSpec, Site};
use cluster_model::Time;
use std::collections::BTreeMap;

/// Tolerance in units for the rounding errors of floating-point sums.
const ROUNDING: f64 = 1e-6;

#[derive(Debug)]
pub(crate) struct Ceilings {
    plans: Vec<PlanSpec>,
    start: Time,
    customers: BTreeMap<u64, TokenBucket>,
}

impl Ceilings {
    pub(crate) fn new(site: &Site, start: Time) -> Ceilings {
        Ceilings { plans: site.plans.clone(), start, customers: BTreeMap::new() }
    }

    /// Handles the first attempt of a request, inside the quota or not. The request takes the units that it names.
    pub(crate) fn request_forwarded(
        &mut self,
        now: Time,
        customer: u64,
        plan: usize,
        units: f64,
        log: &mut ViolationLog,
    ) {
        let plan = &self.plans[plan];
        if plan.ceiling_rate <= 0.0 {
            return;
        }
        let full = || TokenBucket::new(plan.ceiling_rate, plan.ceiling_burst, self.start);
        let bucket = self.customers.entry(customer).or_insert_with(full);
        bucket.take(now, units);
        let below = -bucket.available(now) - plan.ceiling_slack;
        if below > ROUNDING {
            log.violation(now, Rule::Ceilings, Subject::Customer(customer), || {
                format!("customer {customer:016x} was admitted {below:.3} units beyond its ceiling and slack")
            });
        }
    }
}
