//! Hard ceilings hold over all gateways together.

use crate::breaches::{Log, Subject};
use crate::store::Store;
use crate::Rule;
use cluster_model::scenario::{PlanSpec, Site};
use cluster_model::Time;
use std::collections::BTreeMap;

/// Units by which sums of floating-point numbers may be off.
const ROUNDING: f64 = 1e-6;

#[derive(Debug)]
pub(crate) struct Ceilings {
    plans: Vec<PlanSpec>,
    start: Time,
    customers: BTreeMap<u64, Store>,
}

impl Ceilings {
    pub(crate) fn new(site: &Site, start: Time) -> Ceilings {
        Ceilings { plans: site.plans.clone(), start, customers: BTreeMap::new() }
    }

    /// A try was first sent on, inside its quota or not. It takes the units that it names.
    pub(crate) fn sent(&mut self, now: Time, customer: u64, plan: usize, units: f64, log: &mut Log) {
        let plan = &self.plans[plan];
        if plan.ceiling_rate <= 0.0 {
            return;
        }
        let full = || Store::new(plan.ceiling_rate, plan.ceiling_burst, self.start);
        let store = self.customers.entry(customer).or_insert_with(full);
        store.take(now, units);
        let below = -store.level(now) - plan.ceiling_slack;
        if below > ROUNDING {
            log.breach(now, Rule::Ceilings, Subject::Customer(customer), || {
                format!("customer {customer:016x} was let {below:.3} units beyond its ceiling and slack")
            });
        }
    }
}
