//! The arrival of a request: it is registered, and rejected at once where waiting is of no use.

use crate::api::{Action, RejectReason, Request, Span, Time};
use crate::attempts::request::InFlightRequest;
use crate::policy::Policy;
use crate::quota::customer::{Customer, GatewayContext};
use crate::time::{as_seconds, seconds_between};
use crate::timers::TIMER_STEP;
use ::quota::GatewaySet;

/// Usual latencies that a request has to have left on arrival.
const MIN_LATENCIES: f64 = 0.6;
/// The same while the hosts are overloaded.
const MIN_LATENCIES_OVERLOADED: f64 = 2.4;
/// Fraction of the objective that suffices in any case.
const SUFFICIENT_OBJECTIVE: f64 = 0.5;
/// Timer steps that a request has to have left: one for its timer, one for its response.
const MIN_STEPS: Span = 2;
/// Fraction of the demand that a customer's quota covers at the least, for the estimate of its demand.
const MIN_TYPICAL_FRACTION: f64 = 0.05;
/// Waiting requests of a customer that are considered; those behind them wait as well.
pub(super) const MAX_CONSIDERED_WAITING: usize = 8;

impl Policy {
    /// Takes in a request.
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
            return self.give_up(id, reason);
        }
        let Some(waiting) = self.add_to_customer(now, &request) else {
            return self.give_up(id, RejectReason::TooManyCustomers);
        };
        self.check_waiting(now, request.customer);
        if waiting > MAX_CONSIDERED_WAITING {
            // The request is considered all the same: it may have a higher priority than those before it, or
            // cost less.
            self.check_waiting_request(now, id);
        }
        if !self.customers.is_review_scheduled {
            self.review_customers(now);
        }
    }

    /// Returns the record of a request. Its time runs from its arrival, however late it is reported.
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

    /// Returns why a request is rejected at once: it has too little time for a response, no host can take it,
    /// or its load is shed.
    fn immediate_rejection(
        &mut self,
        now: Time,
        request: &Request,
        objective_at: Time,
    ) -> Option<RejectReason> {
        // The random number is drawn in any case, so that the reasons do not change later decisions.
        let is_shed = self.is_shed(request);
        if self.is_too_short(now, request.class, objective_at) {
            return Some(RejectReason::DeadlineTooShort);
        }
        if self.pools.is_unservable(&request.route, !self.hosts.is_empty()) {
            return Some(RejectReason::NoHost);
        }
        is_shed.then_some(RejectReason::LoadShed)
    }

    /// Draws whether a request is shed, by the fraction of its class and plan that is admitted.
    fn is_shed(&mut self, request: &Request) -> bool {
        let cell = request.class * self.settings.plans.len() + request.plan;
        let admitted = self.admission.fractions.get(cell).copied().unwrap_or(1.0);
        admitted < 1.0 && self.rng.unit() >= admitted
    }

    /// Returns whether a request has too little time left for a response within its objective.
    fn is_too_short(&self, now: Time, class: usize, objective_at: Time) -> bool {
        let latencies =
            if self.concurrency.budget.is_overloaded() { MIN_LATENCIES_OVERLOADED } else { MIN_LATENCIES };
        let objective = as_seconds(self.settings.classes[class].latency_objective);
        let needed = latencies * self.class_statistics[class].usual_latency;
        let needed = needed.min(SUFFICIENT_OBJECTIVE * objective);
        objective_at <= now + MIN_STEPS * TIMER_STEP || seconds_between(now, objective_at) < needed
    }

    /// Adds a request to those of its customer that wait for units, and returns their number; `None` if there
    /// is no memory for the customer.
    fn add_to_customer(&mut self, now: Time, request: &Request) -> Option<usize> {
        let set = GatewaySet {
            first_gateway: request.first_gateway,
            set_size: request.set_size,
            gateway_index: self.settings.gateway_index,
            gateways: self.settings.gateways,
        };
        let rng = &mut self.rng;
        let new_customer = |context: &GatewayContext| {
            Customer::new(now, context, request.plan, set, || request.units * rng.unit())
        };
        let customer = self.customers.get_or_insert(now, request.customer, new_customer)?;
        let in_flight = self.requests.get_mut(&request.id)?;
        customer.in_flight += 1;
        in_flight.is_counted_by_customer = true;
        let typical_fraction = self.admission.typical_fractions[request.plan].max(MIN_TYPICAL_FRACTION);
        let usual_demand = 1.0 / typical_fraction;
        for account in &mut customer.accounts {
            account.record_demand(now, request.units, usual_demand, self.started_at);
        }
        customer.waiting.push_back(request.id);
        Some(customer.waiting.len())
    }
}
