//! Arrival of a request: it is registered, and rejected immediately where waiting would be useless.

use crate::api::{Action, RejectReason, Request, Span, Time};
use crate::attempts::request::InFlightRequest;
use crate::policy::Policy;
use crate::quota::customer::{Customer, GatewayContext};
use crate::time::{as_seconds, seconds_between};
use crate::timers::TIMER_STEP;
use ::quota::GatewaySet;

/// Minimum remaining time of an arriving request, as a multiple of the typical latency.
const MIN_LATENCY_MULTIPLE: f64 = 0.6;
/// The same while the hosts are overloaded.
const MIN_LATENCY_MULTIPLE_WHEN_OVERLOADED: f64 = 2.4;
/// Remaining fraction of the latency objective that is always sufficient.
const SUFFICIENT_OBJECTIVE_FRACTION: f64 = 0.5;
/// Minimum remaining time of an arriving request, in timer steps: one for its timer, one for its response.
const MIN_TIMER_STEPS: Span = 2;
/// Minimum fraction of the demand covered by a customer's quota, for the estimate of its demand.
const MIN_TYPICAL_FRACTION: f64 = 0.05;
/// Maximum number of a customer's waiting requests that one check examines; those behind them keep waiting.
pub(super) const MAX_CONSIDERED_WAITING: usize = 8;

impl Policy {
    /// Registers a request, and rejects it, admits it or lets it wait for units.
    pub(crate) fn on_request(&mut self, now: Time, mut request: Request) {
        let id = request.id;
        let is_known_class = request.class < self.settings.classes.len();
        if !is_known_class || request.plan >= self.settings.plans.len() {
            let reason = RejectReason::UnknownClassOrPlan;
            return self.actions.push(Action::Reject { id, retry_after: None, reason });
        }
        request.units = if request.units.is_finite() { request.units.max(0.0) } else { 1.0 };
        let in_flight = self.in_flight_request(now, &request);
        let objective_at = in_flight.objective_at;
        self.requests.insert(id, in_flight);
        self.retry_budget.deposit();
        if let Some(reason) = self.immediate_rejection(now, &request, objective_at) {
            return self.reject_or_fail(id, reason);
        }
        let Some(waiting) = self.add_to_customer(now, &request) else {
            return self.reject_or_fail(id, RejectReason::TooManyCustomers);
        };
        self.check_waiting(now, request.customer);
        if waiting > MAX_CONSIDERED_WAITING {
            // The request is still checked: it may have a higher priority or a lower cost than those ahead of
            // it.
            self.check_waiting_request(now, id);
        }
        if !self.customers.is_review_scheduled {
            self.review_customers(now);
        }
    }

    /// Returns the record of a request. Its deadline counts from its arrival, even if it is reported later.
    fn in_flight_request(&self, now: Time, request: &Request) -> InFlightRequest {
        let arrived_at = if request.arrived_at == 0 { now } else { request.arrived_at.min(now) };
        let deadline = arrived_at.saturating_add(request.remaining);
        let latency_objective = self.settings.classes[request.class].latency_objective;
        InFlightRequest {
            class: request.class,
            route: request.route,
            customer: request.customer,
            units: request.units,
            arrived_at,
            objective_at: arrived_at.saturating_add(latency_objective).min(deadline),
            deadline,
            ..InFlightRequest::default()
        }
    }

    /// Returns the reason to reject a request immediately: its remaining deadline is too short, no host can
    /// serve it, or its load is shed.
    fn immediate_rejection(
        &mut self,
        now: Time,
        request: &Request,
        objective_at: Time,
    ) -> Option<RejectReason> {
        // The random number is always drawn, so that later decisions do not depend on the other reasons.
        let is_shed = self.is_shed(request);
        if self.is_deadline_too_short(now, request.class, objective_at) {
            return Some(RejectReason::DeadlineTooShort);
        }
        if self.pools.is_unservable(&request.route, !self.hosts.is_empty()) {
            return Some(RejectReason::NoHost);
        }
        is_shed.then_some(RejectReason::LoadShed)
    }

    /// Decides at random whether a request is shed, according to the admitted fraction of its class and plan.
    fn is_shed(&mut self, request: &Request) -> bool {
        let index = request.class * self.settings.plans.len() + request.plan;
        let admitted = self.admission.fractions.get(index).copied().unwrap_or(1.0);
        admitted < 1.0 && self.rng.unit() >= admitted
    }

    /// Returns whether the remaining time is too short for a response within the latency objective.
    fn is_deadline_too_short(&self, now: Time, class: usize, objective_at: Time) -> bool {
        let latency_multiple = if self.concurrency.budget.is_overloaded() {
            MIN_LATENCY_MULTIPLE_WHEN_OVERLOADED
        } else {
            MIN_LATENCY_MULTIPLE
        };
        let objective = as_seconds(self.settings.classes[class].latency_objective);
        let needed = latency_multiple * self.class_statistics[class].typical_latency;
        let needed = needed.min(SUFFICIENT_OBJECTIVE_FRACTION * objective);
        objective_at <= now + MIN_TIMER_STEPS * TIMER_STEP || seconds_between(now, objective_at) < needed
    }

    /// Appends a request to its customer's waiting requests, and returns their number; `None` if there is no
    /// memory for the customer.
    fn add_to_customer(&mut self, now: Time, request: &Request) -> Option<usize> {
        let gateway_set = GatewaySet {
            first_gateway: request.first_gateway,
            set_size: request.set_size,
            gateway_index: self.settings.gateway_index,
            gateways: self.settings.gateways,
        };
        let rng = &mut self.rng;
        let new_customer = |context: &GatewayContext| {
            Customer::new(now, context, request.plan, gateway_set, || request.units * rng.unit())
        };
        let customer = self.customers.get_or_insert(now, request.customer, new_customer)?;
        let in_flight = self.requests.get_mut(&request.id)?;
        customer.in_flight += 1;
        in_flight.is_counted_by_customer = true;
        let typical_fraction = self.admission.typical_fractions[request.plan].max(MIN_TYPICAL_FRACTION);
        let typical_ratio = 1.0 / typical_fraction;
        for account in &mut customer.accounts {
            account.record_demand(now, request.units, typical_ratio, self.started_at);
        }
        customer.waiting.push_back(request.id);
        Some(customer.waiting.len())
    }
}
