//! What customers were let in of their quotas, over all gateways together.
//!
//! A try takes its units from its customer's store when it is first sent on, if the store holds them and fewer
//! attempts than the plan's limit are out; else it is beyond the quota and takes nothing. The first good answer
//! tells the true units, and for a try inside the quota the store settles the difference.

use crate::store::Store;
use crate::tries::Try;
use crate::CustomerFigures;
use cluster_model::scenario::{PlanSpec, Site};
use cluster_model::{Span, Time};
use std::collections::BTreeMap;

/// A customer was refused with room if this part of its store was there.
const ROOM: f64 = 0.5;

/// How a try stands with its customer's quota, once it was sent on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub(crate) at: Time,
    pub(crate) inside: bool,
    /// Units that it counts: those that it names, then the true ones.
    pub(crate) units: f64,
    settled: bool,
}

/// None: it was not sent on.
pub(crate) type Passed = Option<Sent>;

/// What one gateway that saw all first tries would do.
#[derive(Debug)]
struct Ideal {
    store: Store,
    /// When the attempts end that it has out, where the plan limits them.
    out: Vec<Time>,
}

#[derive(Debug)]
struct Customer {
    figures: CustomerFigures,
    store: Store,
    out: u32,
    ideal: Ideal,
    seen: Time,
    /// When the first try was asked of those that were all refused with room, up to now.
    refused_since: Option<Time>,
    rejected_with_quota: u64,
}

/// What a plan's customers come to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlanUse {
    pub(crate) customers: u64,
    pub(crate) asked_units: f64,
    pub(crate) passed_units: f64,
    pub(crate) beyond_units: f64,
    pub(crate) rejected_with_quota: f64,
}

#[derive(Debug)]
pub(crate) struct Quotas {
    plans: Vec<PlanSpec>,
    start: Time,
    customers: BTreeMap<u64, Customer>,
}

impl Quotas {
    pub(crate) fn new(site: &Site, start: Time) -> Quotas {
        Quotas { plans: site.plans.clone(), start, customers: BTreeMap::new() }
    }

    /// A client asked; `lasts`: how long an attempt of it is out at a host with nothing else to do. The first
    /// try of a thing counts for what is asked. True: one gateway that saw all would let it in.
    pub(crate) fn asked(&mut self, request: &Try, first: bool, lasts: Span) -> bool {
        let plan = &self.plans[request.plan];
        let newcomer = || Customer::new(request, plan, self.start);
        let customer = self.customers.entry(request.customer).or_insert_with(newcomer);
        customer.figures.asked += 1;
        if !first {
            return false;
        }
        customer.figures.asked_units += request.units;
        customer.ideal.lets_in(request.asked, request.units, plan, lasts)
    }

    /// A try was first sent on.
    pub(crate) fn sent(&mut self, now: Time, request: &mut Try) -> Sent {
        let plan = &self.plans[request.plan];
        let units = request.units;
        let inside = self.customers.get_mut(&request.customer).is_some_and(|customer| {
            let inside = customer.has_room(now, units, plan);
            customer.figures.passed_units += units;
            if inside {
                customer.store.take(now, units);
            } else {
                customer.figures.beyond_units += units;
            }
            inside
        });
        let sent = Sent { at: now, inside, units, settled: false };
        request.passed = Some(sent);
        sent
    }

    /// An attempt is out from now on.
    pub(crate) fn out(&mut self, customer: u64) {
        if let Some(customer) = self.customers.get_mut(&customer) {
            customer.out += 1;
        }
    }

    /// An attempt is out no more.
    pub(crate) fn back(&mut self, customer: u64) {
        if let Some(customer) = self.customers.get_mut(&customer) {
            customer.out = customer.out.saturating_sub(1);
        }
    }

    /// A good answer told the true units. The difference to what the try counted so far, the first time.
    pub(crate) fn settle(&mut self, now: Time, request: &mut Try, units: f64) -> Option<f64> {
        let sent = request.passed.as_mut().filter(|sent| !sent.settled)?;
        let customer = self.customers.get_mut(&request.customer)?;
        let more = units - sent.units;
        sent.settled = true;
        sent.units = units;
        customer.figures.passed_units += more;
        if sent.inside {
            customer.store.take(now, more);
        } else {
            customer.figures.beyond_units += more;
        }
        Some(more)
    }

    /// The true units of a thing are so many more than its first try named. `let_in`: by the one gateway.
    pub(crate) fn settle_thing(&mut self, now: Time, customer: u64, more: f64, let_in: bool) {
        let Some(customer) = self.customers.get_mut(&customer) else { return };
        customer.figures.asked_units += more;
        if let_in {
            customer.ideal.store.take(now, more);
        }
    }

    /// A try was refused.
    pub(crate) fn refused(&mut self, now: Time, request: &Try) {
        let plan = &self.plans[request.plan];
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        customer.figures.refused += 1;
        if plan.rate <= 0.0 || customer.store.holds(now, plan.burst * ROOM) {
            customer.rejected_with_quota += 1;
        }
        if !customer.has_room(now, request.units, plan) {
            customer.refused_since = None;
            return;
        }
        let since = *customer.refused_since.get_or_insert(request.asked);
        let span = now.saturating_sub(since) as f64 / 1e9;
        customer.figures.longest_refused_s = customer.figures.longest_refused_s.max(span);
    }

    /// A try ended in another way than by a refusal.
    pub(crate) fn not_refused(&mut self, customer: u64) {
        if let Some(customer) = self.customers.get_mut(&customer) {
            customer.refused_since = None;
        }
    }

    /// When each customer was first seen, and its plan.
    pub(crate) fn newcomers(&self) -> impl Iterator<Item = (Time, usize)> + '_ {
        self.customers.values().map(|customer| (customer.seen, customer.figures.plan as usize))
    }

    /// What the plans' customers come to.
    pub(crate) fn plans(&self) -> Vec<PlanUse> {
        let mut plans = vec![PlanUse::default(); self.plans.len()];
        let mut tries = vec![(0_u64, 0_u64); self.plans.len()];
        for customer in self.customers.values() {
            let figures = &customer.figures;
            let plan = &mut plans[figures.plan as usize];
            plan.customers += 1;
            plan.asked_units += figures.asked_units;
            plan.passed_units += figures.passed_units;
            plan.beyond_units += figures.beyond_units;
            let (asked, refused) = &mut tries[figures.plan as usize];
            *asked += figures.asked;
            *refused += customer.rejected_with_quota;
        }
        for (plan, (asked, refused)) in plans.iter_mut().zip(tries) {
            plan.rejected_with_quota = refused as f64 / asked.max(1) as f64;
        }
        plans
    }

    /// Units passed on, and those of them beyond quotas, over all customers.
    pub(crate) fn units(&self) -> (f64, f64) {
        let add = |(passed, beyond), customer: &Customer| {
            (passed + customer.figures.passed_units, beyond + customer.figures.beyond_units)
        };
        self.customers.values().fold((0.0, 0.0), add)
    }

    /// Tries, and those of them refused with room, over all customers.
    pub(crate) fn tries(&self) -> (u64, u64) {
        let add = |(asked, refused), customer: &Customer| {
            (asked + customer.figures.asked, refused + customer.rejected_with_quota)
        };
        self.customers.values().fold((0, 0), add)
    }

    /// Customers, those most beyond their quotas first: `most` of those, and `most` of those refused longest.
    pub(crate) fn customers(self, end: Time, most: usize) -> Vec<CustomerFigures> {
        let span = end.saturating_sub(self.start) as f64 / 1e9;
        let finish = |customer: Customer| {
            let plan = &self.plans[customer.figures.plan as usize];
            CustomerFigures { allowed_units: plan.rate * span + plan.burst, ..customer.figures }
        };
        let mut all: Vec<CustomerFigures> = self.customers.into_values().map(finish).collect();
        // Stable: equal ones stay in the order of their numbers.
        all.sort_by(|a, b| b.beyond_units.total_cmp(&a.beyond_units));
        let mut others = all.split_off(most.min(all.len()));
        others.retain(|customer| customer.longest_refused_s > 0.0);
        others.sort_by(|a, b| b.longest_refused_s.total_cmp(&a.longest_refused_s));
        others.truncate(most);
        others.sort_by(|a, b| b.beyond_units.total_cmp(&a.beyond_units));
        all.append(&mut others);
        all
    }
}

impl Customer {
    fn new(request: &Try, plan: &PlanSpec, start: Time) -> Customer {
        let figures = CustomerFigures {
            customer: request.customer,
            plan: request.plan as u32,
            ..CustomerFigures::default()
        };
        let store = Store::new(plan.rate, plan.burst, start);
        Customer {
            figures,
            store,
            out: 0,
            ideal: Ideal { store, out: Vec::new() },
            seen: request.asked,
            refused_since: None,
            rejected_with_quota: 0,
        }
    }

    fn has_room(&mut self, now: Time, units: f64, plan: &PlanSpec) -> bool {
        let held = plan.rate <= 0.0 || self.store.holds(now, units);
        held && (plan.max_in_flight == 0 || self.out < plan.max_in_flight)
    }
}

impl Ideal {
    fn lets_in(&mut self, now: Time, units: f64, plan: &PlanSpec, lasts: Span) -> bool {
        self.out.retain(|end| *end > now);
        let open = plan.max_in_flight == 0 || self.out.len() < plan.max_in_flight as usize;
        if !open || plan.rate > 0.0 && !self.store.holds(now, units) {
            return false;
        }
        self.store.take(now, units);
        if plan.max_in_flight > 0 {
            self.out.push(now.saturating_add(lasts));
        }
        true
    }
}
