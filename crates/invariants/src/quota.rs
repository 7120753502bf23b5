//! Accounts the units that customers were admitted against their quotas, over all gateways together.
//!
//! A request takes its units from its customer's token bucket when it is first forwarded, if the bucket holds them
//! and fewer attempts than the plan's limit are in flight; otherwise it is beyond the quota and takes nothing. The
//! first successful response reports the actual units, and the bucket of a request inside the quota is corrected by
//! the difference.

use crate::request::Request;
use crate::token_bucket::TokenBucket;
use crate::CustomerFigures;
use cluster_model::scenario::{PlanSpec, Site};
use cluster_model::{Span, Time};
use std::collections::BTreeMap;

/// A rejection counts as made with quota available if this share of the burst was in the token bucket.
const AVAILABLE_SHARE: f64 = 0.5;

/// The quota accounting of a request that was forwarded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forwarded {
    pub(crate) at: Time,
    pub(crate) inside: bool,
    /// Units that the request counts for: those that it names, later the actual ones.
    pub(crate) units: f64,
    settled: bool,
}

/// `None` if the request was not forwarded.
pub(crate) type Forwarding = Option<Forwarded>;

/// The admission decisions of an ideal single gateway that receives the first request of every operation.
#[derive(Debug)]
struct IdealGateway {
    bucket: TokenBucket,
    /// End times of the attempts in flight, if the plan limits them.
    in_flight: Vec<Time>,
}

#[derive(Debug)]
struct Customer {
    figures: CustomerFigures,
    bucket: TokenBucket,
    in_flight: u32,
    ideal: IdealGateway,
    first_seen: Time,
    /// Send time of the first request in the current series of requests that were all rejected although quota was
    /// available.
    rejected_since: Option<Time>,
    rejected_with_quota: u64,
}

/// Totals of a plan's customers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlanUsage {
    pub(crate) customers: u64,
    pub(crate) requested_units: f64,
    pub(crate) forwarded_units: f64,
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

    /// Handles a request sent by a client. `duration` is the time that an attempt takes at an idle host. Only the first
    /// request of an operation counts towards the requested units. Returns whether an ideal single gateway would
    /// admit the request.
    pub(crate) fn request_sent(&mut self, request: &Request, first: bool, duration: Span) -> bool {
        let plan = &self.plans[request.plan];
        let new_customer = || Customer::new(request, plan, self.start);
        let customer = self.customers.entry(request.customer).or_insert_with(new_customer);
        customer.figures.asked += 1;
        if !first {
            return false;
        }
        customer.figures.asked_units += request.units;
        customer.ideal.admits(request.sent_at, request.units, plan, duration)
    }

    /// Handles the first attempt of a request.
    pub(crate) fn request_forwarded(&mut self, now: Time, request: &mut Request) -> Forwarded {
        let plan = &self.plans[request.plan];
        let units = request.units;
        let inside = self.customers.get_mut(&request.customer).is_some_and(|customer| {
            let inside = customer.has_quota(now, units, plan);
            customer.figures.passed_units += units;
            if inside {
                customer.bucket.take(now, units);
            } else {
                customer.figures.beyond_units += units;
            }
            inside
        });
        let forwarded = Forwarded { at: now, inside, units, settled: false };
        request.forwarding = Some(forwarded);
        forwarded
    }

    /// Handles an attempt that is in flight from now on.
    pub(crate) fn attempt_started(&mut self, customer: u64) {
        if let Some(customer) = self.customers.get_mut(&customer) {
            customer.in_flight += 1;
        }
    }

    /// Handles an attempt that is no longer in flight.
    pub(crate) fn attempt_closed(&mut self, customer: u64) {
        if let Some(customer) = self.customers.get_mut(&customer) {
            customer.in_flight = customer.in_flight.saturating_sub(1);
        }
    }

    /// Handles a successful response that reports the actual units. Returns the difference to the units that the
    /// request counted for so far; only the first such response counts.
    pub(crate) fn settle_request(&mut self, now: Time, request: &mut Request, units: f64) -> Option<f64> {
        let forwarded = request.forwarding.as_mut().filter(|forwarded| !forwarded.settled)?;
        let customer = self.customers.get_mut(&request.customer)?;
        let more = units - forwarded.units;
        forwarded.settled = true;
        forwarded.units = units;
        customer.figures.passed_units += more;
        if forwarded.inside {
            customer.bucket.take(now, more);
        } else {
            customer.figures.beyond_units += more;
        }
        Some(more)
    }

    /// Adds the difference between the actual units of an operation and those that its first request named. `admitted`
    /// tells whether the ideal single gateway admitted the operation.
    pub(crate) fn settle_operation(&mut self, now: Time, customer: u64, more: f64, admitted: bool) {
        let Some(customer) = self.customers.get_mut(&customer) else { return };
        customer.figures.asked_units += more;
        if admitted {
            customer.ideal.bucket.take(now, more);
        }
    }

    /// Handles a rejected request.
    pub(crate) fn request_rejected(&mut self, now: Time, request: &Request) {
        let plan = &self.plans[request.plan];
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        customer.figures.refused += 1;
        if plan.rate <= 0.0 || customer.bucket.has(now, plan.burst * AVAILABLE_SHARE) {
            customer.rejected_with_quota += 1;
        }
        if !customer.has_quota(now, request.units, plan) {
            customer.rejected_since = None;
            return;
        }
        let since = *customer.rejected_since.get_or_insert(request.sent_at);
        let span = now.saturating_sub(since) as f64 / 1e9;
        customer.figures.longest_refused_s = customer.figures.longest_refused_s.max(span);
    }

    /// Handles a request that ended in another way than by a rejection.
    pub(crate) fn request_not_rejected(&mut self, customer: u64) {
        if let Some(customer) = self.customers.get_mut(&customer) {
            customer.rejected_since = None;
        }
    }

    /// Returns the time of each customer's first request, and its plan.
    pub(crate) fn first_seen(&self) -> impl Iterator<Item = (Time, usize)> + '_ {
        self.customers.values().map(|customer| (customer.first_seen, customer.figures.plan as usize))
    }

    /// Returns the totals of each plan's customers.
    pub(crate) fn plans(&self) -> Vec<PlanUsage> {
        let mut plans = vec![PlanUsage::default(); self.plans.len()];
        let mut requests = vec![(0_u64, 0_u64); self.plans.len()];
        for customer in self.customers.values() {
            let figures = &customer.figures;
            let plan = &mut plans[figures.plan as usize];
            plan.customers += 1;
            plan.requested_units += figures.asked_units;
            plan.forwarded_units += figures.passed_units;
            plan.beyond_units += figures.beyond_units;
            let (total, rejected) = &mut requests[figures.plan as usize];
            *total += figures.asked;
            *rejected += customer.rejected_with_quota;
        }
        for (plan, (total, rejected)) in plans.iter_mut().zip(requests) {
            plan.rejected_with_quota = rejected as f64 / total.max(1) as f64;
        }
        plans
    }

    /// Returns the units forwarded, and those of them beyond quotas, over all customers.
    pub(crate) fn units(&self) -> (f64, f64) {
        let add = |(forwarded, beyond), customer: &Customer| {
            (forwarded + customer.figures.passed_units, beyond + customer.figures.beyond_units)
        };
        self.customers.values().fold((0.0, 0.0), add)
    }

    /// Returns the number of requests, and of those rejected although quota was available, over all customers.
    pub(crate) fn requests(&self) -> (u64, u64) {
        let add = |(total, rejected), customer: &Customer| {
            (total + customer.figures.asked, rejected + customer.rejected_with_quota)
        };
        self.customers.values().fold((0, 0), add)
    }

    /// Returns the `limit` customers furthest beyond their quotas, and the `limit` others that were rejected longest,
    /// ordered by the units beyond their quotas.
    pub(crate) fn customers(self, end: Time, limit: usize) -> Vec<CustomerFigures> {
        let span = end.saturating_sub(self.start) as f64 / 1e9;
        let finish = |customer: Customer| {
            let plan = &self.plans[customer.figures.plan as usize];
            CustomerFigures { allowed_units: plan.rate * span + plan.burst, ..customer.figures }
        };
        let mut all: Vec<CustomerFigures> = self.customers.into_values().map(finish).collect();
        // The sort is stable: customers with equal units stay ordered by their numbers.
        all.sort_by(|a, b| b.beyond_units.total_cmp(&a.beyond_units));
        let mut others = all.split_off(limit.min(all.len()));
        others.retain(|customer| customer.longest_refused_s > 0.0);
        others.sort_by(|a, b| b.longest_refused_s.total_cmp(&a.longest_refused_s));
        others.truncate(limit);
        others.sort_by(|a, b| b.beyond_units.total_cmp(&a.beyond_units));
        all.append(&mut others);
        all
    }
}

impl Customer {
    fn new(request: &Request, plan: &PlanSpec, start: Time) -> Customer {
        let figures = CustomerFigures {
            customer: request.customer,
            plan: request.plan as u32,
            ..CustomerFigures::default()
        };
        let bucket = TokenBucket::new(plan.rate, plan.burst, start);
        Customer {
            figures,
            bucket,
            in_flight: 0,
            ideal: IdealGateway { bucket, in_flight: Vec::new() },
            first_seen: request.sent_at,
            rejected_since: None,
            rejected_with_quota: 0,
        }
    }

    fn has_quota(&mut self, now: Time, units: f64, plan: &PlanSpec) -> bool {
        let has_units = plan.rate <= 0.0 || self.bucket.has(now, units);
        has_units && (plan.max_in_flight == 0 || self.in_flight < plan.max_in_flight)
    }
}

impl IdealGateway {
    fn admits(&mut self, now: Time, units: f64, plan: &PlanSpec, duration: Span) -> bool {
        self.in_flight.retain(|end| *end > now);
        let has_slot = plan.max_in_flight == 0 || self.in_flight.len() < plan.max_in_flight as usize;
        if !has_slot || plan.rate > 0.0 && !self.bucket.has(now, units) {
            return false;
        }
        self.bucket.take(now, units);
        if plan.max_in_flight > 0 {
            self.in_flight.push(now.saturating_add(duration));
        }
        true
    }
}
