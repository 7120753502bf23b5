//! The requests of a customer that wait for units: each is admitted, keeps waiting, or is rejected.

use super::arrival::MAX_CONSIDERED_WAITING;
use crate::api::{CustomerId, RejectReason, RequestId, Span, Time};
use crate::policy::Policy;
use crate::quota::customer::Customer;
use crate::timers::{Timer, TIMER_STEP};
use std::collections::VecDeque;

/// Fraction of the objective for which a request may wait for the counter or for its customer's other
/// requests.
const MAX_WAIT_FRACTION: f64 = 0.3;
/// Fraction of the slots in use up to which requests beyond the quota are admitted, where they earn more than
/// they cost.
const IDLE_SLOTS: f64 = 0.6;

/// Whether a request may be admitted on its customer's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnitsCheck {
    /// Its units were taken.
    Taken,
    /// There are no units for it.
    Unavailable,
    /// A reply of the counter or a token bucket that fills may bring units.
    Wait,
}

/// Whether a request still waits for units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decision {
    /// The request was admitted, rejected or closed.
    Decided,
    /// The request waits on.
    Waiting,
}

impl Policy {
    /// Considers all customers of which a request was closed.
    pub(crate) fn check_customers(&mut self, now: Time) {
        for customer in std::mem::take(&mut self.admission.customers_to_check) {
            self.check_waiting(now, customer);
        }
    }

    /// Considers a customer's waiting requests in their order. Behind a few that wait on, the others wait as
    /// well.
    pub(crate) fn check_waiting(&mut self, now: Time, customer_id: CustomerId) {
        let Some(customer) = self.customers.get_mut(customer_id) else { return };
        let mut waiting = std::mem::take(&mut customer.waiting);
        let mut still_waiting = VecDeque::new();
        while still_waiting.len() < MAX_CONSIDERED_WAITING {
            let Some(id) = waiting.pop_front() else { break };
            self.work += 1;
            if self.decide(now, customer_id, id) == Decision::Waiting {
                still_waiting.push_back(id);
            }
        }
        let Some(customer) = self.customers.get_mut(customer_id) else { return };
        still_waiting.append(&mut waiting);
        still_waiting.append(&mut customer.waiting);
        customer.waiting = still_waiting;
    }

    /// Considers one waiting request: it has waited long enough, or may find units now.
    pub(crate) fn check_waiting_request(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| request.is_awaiting_units()) else {
            return;
        };
        let customer_id = request.customer;
        if self.decide(now, customer_id, id) == Decision::Decided {
            if let Some(customer) = self.customers.get_mut(customer_id) {
                customer.waiting.retain(|waiting| *waiting != id);
            }
        }
    }

    fn decide(&mut self, now: Time, customer_id: CustomerId, id: RequestId) -> Decision {
        let Some(request) = self.requests.get(&id).filter(|request| request.is_awaiting_units()) else {
            return Decision::Decided;
        };
        let objective = (request.objective_at - request.arrived_at) as f64;
        let wait_until = request.arrived_at + (objective * MAX_WAIT_FRACTION) as Span;
        let has_waited = now > wait_until;
        let Some(customer) = self.customers.get(customer_id) else { return Decision::Decided };
        let is_at_limit = self.is_at_concurrency_limit(customer);
        let is_beyond_quota_admitted = self.is_beyond_quota_admitted(customer);
        let is_windowed = customer.accounts.iter().any(|account| account.is_windowed);
        let check = if is_windowed && is_beyond_quota_admitted {
            // Whatever the counter replies, the request is admitted: calls are left to those that depend on
            // them.
            UnitsCheck::Unavailable
        } else if is_at_limit {
            UnitsCheck::Wait
        } else if is_windowed {
            self.check_window(now, id, has_waited)
        } else {
            self.take_leased_units(now, customer_id, id)
        };
        if check == UnitsCheck::Wait && !has_waited {
            return self.extend_wait(now, customer_id, id, wait_until, is_at_limit);
        }
        if check == UnitsCheck::Taken || is_beyond_quota_admitted {
            self.admit(now, customer_id, id, check);
        } else {
            self.give_up(id, RejectReason::QuotaExceeded);
        }
        Decision::Decided
    }

    /// Returns whether as many requests of a customer are open as may be at once, by this gateway's share of
    /// the limit (at least one).
    fn is_at_concurrency_limit(&self, customer: &Customer) -> bool {
        let max_concurrent = self.settings.plans[customer.plan].max_concurrent;
        let gateways = customer.accounts.first().map_or(1.0, |account| account.gateway_count());
        let share = (f64::from(max_concurrent) / gateways).round().max(1.0) as u32;
        max_concurrent > 0 && customer.open >= share
    }

    /// Returns whether a customer's request is admitted beyond its quota, on idle slots: where it earns more
    /// than it costs.
    fn is_beyond_quota_admitted(&self, customer: &Customer) -> bool {
        let plan = &self.settings.plans[customer.plan];
        let earns = plan.over_quota_weight > plan.over_quota_cost && plan.ceiling_rate == 0.0;
        let demand: f64 =
            self.concurrency.classes.iter().map(|class| (class.in_use + class.queue.len()) as f64).sum();
        let has_idle_slots = demand < IDLE_SLOTS * self.concurrency.budget.slots();
        earns && has_idle_slots && !self.concurrency.budget.is_overloaded()
    }

    /// Lets a request wait on, and sets a timer. A reply of the counter and the end of another request are
    /// events by themselves; a token bucket that fills is not, and is checked each step.
    fn extend_wait(
        &mut self,
        now: Time,
        customer_id: CustomerId,
        id: RequestId,
        wait_until: Time,
        is_at_limit: bool,
    ) -> Decision {
        let Some(customer) = self.customers.get(customer_id) else { return Decision::Decided };
        let Some(request) = self.requests.get_mut(&id) else { return Decision::Decided };
        let is_calling = customer.accounts.iter().any(|account| account.is_calling());
        if !is_at_limit && !is_calling {
            let check_at = (now + TIMER_STEP).min(wait_until + 1);
            self.timers.schedule(check_at, Timer::UnitsWait(id));
        } else if !request.is_units_timer_set {
            request.is_units_timer_set = true;
            self.timers.schedule(wait_until + 1, Timer::UnitsWait(id));
        }
        Decision::Waiting
    }

    fn admit(&mut self, now: Time, customer_id: CustomerId, id: RequestId, check: UnitsCheck) {
        let Some(customer) = self.customers.get_mut(customer_id) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.holds_units = check == UnitsCheck::Taken;
        customer.open += 1;
        self.enqueue(now, id);
    }
}
