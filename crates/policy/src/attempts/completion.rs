//! The end of attempts, and the final answer of a request.

use super::request::{AttemptState, RequestState};
use crate::api::{
    Action, AttemptEnded, CustomerId, DedupScope, Idempotency, Outcome, RejectReason, RequestId, Time,
};
use crate::balancing::host::AttemptResult;
use crate::policy::Policy;

/// What an attempt was that has ended.
struct EndedAttempt {
    class: usize,
    sent_at: Time,
    utilisation: f64,
    is_overdue: bool,
    /// The attempt was cancelled though this module did not ask for it.
    is_cancelled_unasked: bool,
}

impl Policy {
    /// Takes in the end of an attempt.
    pub(crate) fn on_attempt_ended(&mut self, now: Time, end: AttemptEnded) {
        self.on_host_report(now, end.host, end.outcome, end.report);
        let Some(ended) = self.end_attempt(&end) else { return };
        self.record_end_at_host(&end);
        self.record_outcome(now, &end, &ended);
        if end.outcome == Outcome::Ok {
            self.settle_actual_units(&end);
            self.record_response(&end, ended.class, ended.sent_at, ended.utilisation);
        }
        self.conclude_or_retry(now, &end, &ended);
    }

    /// Ends an attempt of a request and releases its slot; `None` if no such attempt is in flight.
    fn end_attempt(&mut self, end: &AttemptEnded) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&end.id)?;
        let attempt = request.attempts.get_mut(end.attempt as usize)?;
        if !attempt.is_in_flight() || attempt.host != end.host {
            return None;
        }
        attempt.state = AttemptState::after(end.outcome);
        let ended = EndedAttempt {
            class: request.class,
            sent_at: attempt.sent_at,
            utilisation: attempt.utilisation,
            is_overdue: attempt.is_overdue,
            is_cancelled_unasked: end.outcome == Outcome::Cancelled && !attempt.is_cancelled,
        };
        let occupied_pools = attempt.occupied_pools.take();
        self.pools.end_attempt(&request.route);
        if let Some(pools) = occupied_pools {
            self.release_slot(ended.class, pools);
        }
        Some(ended)
    }

    /// Takes in what the outcome of an attempt shows about its host and its class.
    fn record_outcome(&mut self, now: Time, end: &AttemptEnded, ended: &EndedAttempt) {
        let result = match end.outcome {
            Outcome::Ok => Some(AttemptResult::Served),
            Outcome::Error | Outcome::Rejected => Some(AttemptResult::ClassFailed),
            Outcome::ConnectFailed | Outcome::ConnectionReset => Some(AttemptResult::HostFailed),
            Outcome::Cancelled | Outcome::NotSent | Outcome::Timeout => None,
        };
        if let Some(result) = result {
            self.record_result(now, end.id, end.host, result);
        }
        if let Some(host) = self.hosts.get_mut(end.host) {
            self.class_statistics[ended.class].record_end(host, end, ended.is_overdue);
        }
    }

    /// Replaces the estimated units of a request by the actual ones, once, in the customer's quota. A ceiling
    /// keeps the estimate.
    fn settle_actual_units(&mut self, end: &AttemptEnded) {
        let Some(request) = self.requests.get_mut(&end.id) else { return };
        let mut units = request.units;
        if let Some(actual) = end.actual_units.filter(|units| units.is_finite()) {
            if request.holds_units {
                request.holds_units = false;
                units = actual;
            }
        }
        let unspent = request.units - units;
        let Some(customer) = self.customers.get_mut(request.customer) else { return };
        if let Some(account) = customer.accounts.first_mut() {
            account.give_back(if account.is_ceiling() { 0.0 } else { unspent });
        }
    }

    /// Closes a request after a response, otherwise retries it or gives it up.
    fn conclude_or_retry(&mut self, now: Time, end: &AttemptEnded, ended: &EndedAttempt) {
        let Some(request) = self.requests.get(&end.id) else { return };
        let is_closed = end.is_request_closed || request.state == RequestState::Closed;
        if is_closed || end.outcome == Outcome::Ok {
            return self.close(end.id);
        }
        if request.has_attempt_in_flight() || request.state != RequestState::Forwarded {
            return;
        }
        let unasked = ended.is_cancelled_unasked.then_some(RejectReason::NotIdempotent);
        match self.retry_obstacle(now, request).or(unasked) {
            None => self.retry(now, end.id),
            Some(reason) => self.give_up(end.id, reason),
        }
    }

    /// Changes the state of a request, and ends its wait for a slot if it was queued.
    fn set_state(&mut self, id: RequestId, state: RequestState) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let before = std::mem::replace(&mut request.state, state);
        let class = request.class;
        if let RequestState::Queued { since } = before {
            self.end_wait(class, since);
        }
    }

    /// Notes that the response of a request has begun to stream.
    pub(crate) fn on_response_started(&mut self, id: RequestId) {
        self.set_state(id, RequestState::Streaming);
    }

    /// Gives a request its final answer without a success: a rejection where a retry is harmless, otherwise a
    /// failure. An attempt in flight may still respond; then the request waits for that.
    pub(crate) fn give_up(&mut self, id: RequestId, reason: RejectReason) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.state == RequestState::Closed {
            return;
        }
        if request.has_attempt_in_flight() {
            return self.set_state(id, RequestState::Forwarded);
        }
        let is_repeatable = matches!(
            self.settings.classes[request.class].idempotency,
            Idempotency::Idempotent | Idempotency::WithKey(DedupScope::All, _)
        );
        let is_harmless = is_repeatable || request.first_possibly_executed().is_none();
        // A retry soon after meets the same quota and the same queue, so it is kept away as long as possible.
        let retry_after = self.settings.max_retry_after;
        self.actions.push(if is_harmless {
            Action::Reject { id, retry_after, reason }
        } else {
            Action::Fail { id, reason }
        });
        self.close(id);
    }

    /// Closes a request, cancels its attempts in flight, and removes it once there are none.
    pub(crate) fn close(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let before = request.state;
        let customer = request.is_counted_by_customer.then_some(request.customer);
        let has_attempt_in_flight = request.has_attempt_in_flight();
        let attempts = request.attempts.len() as u32;
        self.set_state(id, RequestState::Closed);
        if let Some(customer) = customer {
            self.close_at_customer(id, customer, before);
        }
        if before != RequestState::Streaming {
            (0..attempts).for_each(|index| self.cancel_attempt(id, index));
        }
        if !has_attempt_in_flight {
            self.remove_request(id);
        }
    }

    /// Takes a closed request out of its customer's open requests or of those that wait for units.
    fn close_at_customer(&mut self, id: RequestId, customer_id: CustomerId, before: RequestState) {
        let Some(customer) = self.customers.get_mut(customer_id) else { return };
        match before {
            RequestState::Closed => {}
            RequestState::AwaitingUnits => customer.waiting.retain(|waiting| *waiting != id),
            RequestState::Queued { .. } | RequestState::Forwarded | RequestState::Streaming => {
                customer.open = customer.open.saturating_sub(1);
                self.admission.customers_to_check.push(customer_id);
            }
        }
    }

    /// Removes a request. Its units are spent when an attempt has reached a host; otherwise they are given
    /// back.
    fn remove_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        if !request.is_counted_by_customer {
            return;
        }
        let Some(customer) = self.customers.get_mut(request.customer) else { return };
        customer.in_flight -= 1;
        if request.holds_units && !request.has_reached_host() {
            for account in &mut customer.accounts {
                account.give_back(request.units);
            }
        }
    }
}
