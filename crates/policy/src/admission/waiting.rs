//! Requests that wait for units of their customer: each is admitted, keeps waiting, or is rejected.

use super::arrival::MAX_CONSIDERED_WAITING;
use crate::api::{CustomerId, RejectReason, RequestId, Span, Time};
use crate::policy::Policy;
use crate::quota::customer::Customer;
use crate::timers::{Timer, TIMER_STEP};
use std::collections::VecDeque;

/// Maximum wait for the counter or for the customer's other requests, as a fraction of the latency objective.
const MAX_WAIT_FRACTION: f64 = 0.3;
/// Fraction of the slots in use up to which requests beyond the quota are admitted, if their weight exceeds
/// their cost.
const MAX_UTILISATION_BEYOND_QUOTA: f64 = 0.6;

/// Result of a check of a request against its customer's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnitsCheck {
    /// The units were taken.
    Taken,
    /// There are too few units, and a wait would not help.
    Unavailable,
    /// Units may become available by a reply of the counter or by the refill of a token bucket.
    Wait,
}

/// Whether a request still waits for units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitStatus {
    /// The request was admitted, rejected or closed.
    Ended,
    /// The request keeps waiting.
    Waiting,
}

impl Policy {
    /// Checks the waiting requests of all customers that had a request closed.
    pub(crate) fn check_customers(&mut self, now: Time) {
        for customer in std::mem::take(&mut self.admission.customers_to_check) {
            self.check_waiting(now, customer);
        }
    }

    /// Checks a customer's waiting requests in order, until [`MAX_CONSIDERED_WAITING`] of them have to keep
    /// waiting.
    pub(crate) fn check_waiting(&mut self, now: Time, customer_id: CustomerId) {
        let Some(customer) = self.customers.get_mut(customer_id) else { return };
        let mut waiting = std::mem::take(&mut customer.waiting);
        let mut still_waiting = VecDeque::new();
        while still_waiting.len() < MAX_CONSIDERED_WAITING {
            let Some(id) = waiting.pop_front() else { break };
            self.work += 1;
            if self.try_admit(now, customer_id, id) == WaitStatus::Waiting {
                still_waiting.push_back(id);
            }
        }
        let Some(customer) = self.customers.get_mut(customer_id) else { return };
        still_waiting.append(&mut waiting);
        still_waiting.append(&mut customer.waiting);
        customer.waiting = still_waiting;
    }

    /// Checks one waiting request: its wait may have expired, or units may be available now.
    pub(crate) fn check_waiting_request(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| request.is_awaiting_units()) else {
            return;
        };
        let customer_id = request.customer;
        if self.try_admit(now, customer_id, id) == WaitStatus::Ended {
            if let Some(customer) = self.customers.get_mut(customer_id) {
                customer.waiting.retain(|waiting| *waiting != id);
            }
        }
    }

    fn try_admit(&mut self, now: Time, customer_id: CustomerId, id: RequestId) -> WaitStatus {
        let Some(request) = self.requests.get(&id).filter(|request| request.is_awaiting_units()) else {
            return WaitStatus::Ended;
        };
        let objective = (request.objective_at - request.arrived_at) as f64;
        let wait_until = request.arrived_at + (objective * MAX_WAIT_FRACTION) as Span;
        let has_wait_expired = now > wait_until;
        let Some(customer) = self.customers.get(customer_id) else { return WaitStatus::Ended };
        let is_at_limit = self.is_at_concurrency_limit(customer);
        let admits_beyond_quota = self.admits_beyond_quota(customer);
        let is_windowed = customer.accounts.iter().any(|account| account.is_windowed);
        let check = if is_windowed && admits_beyond_quota {
            // The request is admitted whatever the counter replies, so it makes no call; only requests that
            // depend on the reply do.
            UnitsCheck::Unavailable
        } else if is_at_limit {
            UnitsCheck::Wait
        } else if is_windowed {
            self.check_windowed_admission(now, id, has_wait_expired)
        } else {
            self.take_leased_units(now, customer_id, id)
        };
        if check == UnitsCheck::Wait && !has_wait_expired {
            return self.extend_wait(now, customer_id, id, wait_until, is_at_limit);
        }
        if check == UnitsCheck::Taken || admits_beyond_quota {
            self.admit(now, customer_id, id, check);
        } else {
            self.reject_or_fail(id, RejectReason::QuotaExceeded);
        }
        WaitStatus::Ended
    }

    /// Returns whether a customer's admitted requests have reached this gateway's share of the concurrency
    /// limit (at least one).
    fn is_at_concurrency_limit(&self, customer: &Customer) -> bool {
        let max_concurrent = self.settings.plans[customer.plan].max_concurrent;
        let gateways = customer.accounts.first().map_or(1.0, |account| account.gateway_count());
        let share = (f64::from(max_concurrent) / gateways).round().max(1.0) as u32;
        max_concurrent > 0 && customer.admitted >= share
    }

    /// Returns whether a customer's request is admitted beyond its quota: there are idle slots, and the
    /// weight of such a request exceeds its cost.
    fn admits_beyond_quota(&self, customer: &Customer) -> bool {
        let plan = &self.settings.plans[customer.plan];
        let may_exceed_quota = plan.over_quota_weight > plan.over_quota_cost && plan.ceiling_rate == 0.0;
        let demand: f64 =
            self.concurrency.classes.iter().map(|class| (class.in_use + class.queue.len()) as f64).sum();
        let has_idle_slots = demand < MAX_UTILISATION_BEYOND_QUOTA * self.concurrency.budget.slots();
        may_exceed_quota && has_idle_slots && !self.concurrency.budget.is_overloaded()
    }

    /// Lets a request keep waiting, and sets a timer. A counter reply and the end of another request are
    /// events that trigger a check; the refill of a token bucket is not, so it is polled in each timer step.
    fn extend_wait(
        &mut self,
        now: Time,
        customer_id: CustomerId,
        id: RequestId,
        wait_until: Time,
        is_at_limit: bool,
    ) -> WaitStatus {
        let Some(customer) = self.customers.get(customer_id) else { return WaitStatus::Ended };
        let Some(request) = self.requests.get_mut(&id) else { return WaitStatus::Ended };
        let is_calling = customer.accounts.iter().any(|account| account.is_calling());
        if !is_at_limit && !is_calling {
            let check_at = (now + TIMER_STEP).min(wait_until + 1);
            self.timers.schedule(check_at, Timer::UnitsWait(id));
        } else if !request.is_units_timer_set {
            request.is_units_timer_set = true;
            self.timers.schedule(wait_until + 1, Timer::UnitsWait(id));
        }
        WaitStatus::Waiting
    }

    fn admit(&mut self, now: Time, customer_id: CustomerId, id: RequestId, check: UnitsCheck) {
        let Some(customer) = self.customers.get_mut(customer_id) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.has_reserved_units = check == UnitsCheck::Taken;
        customer.admitted += 1;
        self.enqueue(now, id);
    }
}
