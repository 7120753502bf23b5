//! Completion of attempts, and the final answer to a request.

use super::request::{AttemptState, RequestState};
use crate::api::{
    Action, AttemptEnded, CustomerId, DedupScope, Idempotency, Outcome, RejectReason, RequestId, Time,
};
use crate::balancing::host::AttemptResult;
use crate::policy::Policy;

/// Properties of an attempt that has ended.
struct EndedAttempt {
    class: usize,
    sent_at: Time,
    utilisation: f64,
    is_overdue: bool,
    /// The gateway cancelled the attempt without a [`Action::Cancel`].
    is_cancelled_unrequested: bool,
}

impl Policy {
    /// Handles the end of an attempt.
    pub(crate) fn on_attempt_ended(&mut self, now: Time, end: AttemptEnded) {
        self.on_host_report(now, end.host, end.outcome, end.report);
        let Some(ended) = self.end_attempt(&end) else { return };
        self.record_end_at_host(&end);
        self.record_outcome(now, &end, &ended);
        if end.outcome == Outcome::Ok {
            self.settle_actual_units(&end);
            self.record_response(&end, ended.class, ended.sent_at, ended.utilisation);
        }
        self.close_or_retry(now, &end, &ended);
    }

    /// Ends an attempt of a request and releases its slot; `None` if there is no such attempt in flight.
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
            is_cancelled_unrequested: end.outcome == Outcome::Cancelled && !attempt.is_cancelled,
        };
        let occupied_pools = attempt.occupied_pools.take();
        self.pools.end_attempt(&request.route);
        if let Some(pools) = occupied_pools {
            self.release_slot(ended.class, pools);
        }
        Some(ended)
    }

    /// Records the outcome of an attempt in the statistics of its host and its class.
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

    /// Corrects the customer's quota once from the estimated to the actual units of a request. A ceiling is
    /// charged by the estimate.
    fn settle_actual_units(&mut self, end: &AttemptEnded) {
        let Some(request) = self.requests.get_mut(&end.id) else { return };
        let mut units = request.units;
        if let Some(actual) = end.actual_units.filter(|units| units.is_finite()) {
            if request.has_reserved_units {
                request.has_reserved_units = false;
                units = actual;
            }
        }
        let unspent = request.units - units;
        let Some(customer) = self.customers.get_mut(request.customer) else { return };
        if let Some(account) = customer.accounts.first_mut() {
            account.refund(if account.is_ceiling() { 0.0 } else { unspent });
        }
    }

    /// Closes a request after a response; otherwise retries, rejects or fails it.
    fn close_or_retry(&mut self, now: Time, end: &AttemptEnded, ended: &EndedAttempt) {
        let Some(request) = self.requests.get(&end.id) else { return };
        let is_closed = end.is_request_closed || request.state == RequestState::Closed;
        if is_closed || end.outcome == Outcome::Ok {
            return self.close(end.id);
        }
        if request.has_attempt_in_flight() || request.state != RequestState::Forwarded {
            return;
        }
        let cancellation_reason = ended.is_cancelled_unrequested.then_some(RejectReason::NotIdempotent);
        match self.retry_denial(now, request).or(cancellation_reason) {
            None => self.retry(now, end.id),
            Some(reason) => self.reject_or_fail(end.id, reason),
        }
    }

    /// Sets the state of a request, and ends its wait for a slot if it was queued.
    fn set_state(&mut self, id: RequestId, state: RequestState) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let before = std::mem::replace(&mut request.state, state);
        let class = request.class;
        if let RequestState::Queued { since } = before {
            self.end_wait(class, since);
        }
    }

    /// Records that the response to a request has started to stream.
    pub(crate) fn on_response_started(&mut self, id: RequestId) {
        self.set_state(id, RequestState::Streaming);
    }

    /// Sends the final answer to an unsuccessful request: a rejection if the client can safely retry,
    /// otherwise a failure. While an attempt is in flight, no answer is sent, since the attempt may still
    /// succeed.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, reason: RejectReason) {
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
        let is_safe_to_retry = is_repeatable || request.first_possibly_executed().is_none();
        // An early retry would meet the same quota and queue, so the longest permitted delay is requested.
        let retry_after = self.settings.max_retry_after;
        self.actions.push(if is_safe_to_retry {
            Action::Reject { id, retry_after, reason }
        } else {
            Action::Fail { id, reason }
        });
        self.close(id);
    }

    /// Closes a request, cancels its attempts in flight, and removes it if there are none.
    pub(crate) fn close(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let before = request.state;
        let customer = request.is_counted_by_customer.then_some(request.customer);
        let has_attempt_in_flight = request.has_attempt_in_flight();
        let attempts = request.attempts.len() as u32;
        self.set_state(id, RequestState::Closed);
        if let Some(customer) = customer {
            self.remove_from_customer(id, customer, before);
        }
        if before != RequestState::Streaming {
            (0..attempts).for_each(|index| self.cancel_attempt(id, index));
        }
        if !has_attempt_in_flight {
            self.remove_request(id);
        }
    }

    /// Removes a closed request from its customer's admitted or waiting requests.
    fn remove_from_customer(&mut self, id: RequestId, customer_id: CustomerId, before: RequestState) {
        let Some(customer) = self.customers.get_mut(customer_id) else { return };
        match before {
            RequestState::Closed => {}
            RequestState::AwaitingUnits => customer.waiting.retain(|waiting| *waiting != id),
            RequestState::Queued { .. } | RequestState::Forwarded | RequestState::Streaming => {
                customer.admitted = customer.admitted.saturating_sub(1);
                self.admission.customers_to_check.push(customer_id);
            }
        }
    }

    /// Removes a request. Its units are refunded unless an attempt has reached a host.
    fn remove_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        if !request.is_counted_by_customer {
            return;
        }
        let Some(customer) = self.customers.get_mut(request.customer) else { return };
        customer.in_flight -= 1;
        if request.has_reserved_units && !request.has_reached_host() {
            for account in &mut customer.accounts {
                account.refund(request.units);
            }
        }
    }
}
