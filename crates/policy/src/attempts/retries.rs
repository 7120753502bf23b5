//! Retries and hedged requests: when another attempt is made, and which attempts are cancelled.

use super::request::{InFlightRequest, RequestState};
use crate::api::{Action, Idempotency, RejectReason, RequestId, Time};
use crate::policy::Policy;

/// Failure fraction of a class above which its hosts count as overloaded, rather than single hosts as faulty.
const OVERLOAD_FAILURE_FRACTION: f64 = 0.3;

impl Policy {
    /// Returns the reason why no further attempt of a request may be made; `None` if one may.
    pub(super) fn retry_denial(&self, now: Time, request: &InFlightRequest) -> Option<RejectReason> {
        if !self.has_eligible_host(now, request) {
            return Some(RejectReason::NotIdempotent);
        }
        if now >= request.start_by(self.class_statistics[request.class].typical_latency) {
            return Some(RejectReason::TooLateForRetry);
        }
        let has_attempts_left = (request.attempts.len() as u32) < self.settings.max_attempts.max(1);
        if !has_attempts_left || !self.retry_budget.can_withdraw() {
            return Some(RejectReason::RetriesExhausted);
        }
        None
    }

    /// Releases the slot of an overdue attempt, and hedges or replaces the attempt if possible. If the class
    /// is failing at many hosts, the attempt keeps its slot, since further attempts would add to the
    /// overload.
    pub(super) fn replace_overdue_attempt(&mut self, now: Time, id: RequestId, index: u32) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(index as usize) else { return };
        attempt.is_overdue = true;
        let class = request.class;
        if self.class_statistics[class].failure_fraction > OVERLOAD_FAILURE_FRACTION {
            return;
        }
        if let Some(pools) = attempt.occupied_pools.take() {
            self.release_slot(class, pools);
        }
        let Some(request) = self.requests.get(&id) else { return };
        let may_retry = request.state == RequestState::Forwarded
            && self.settings.classes[class].idempotency == Idempotency::Idempotent
            && self.retry_denial(now, request).is_none();
        if !may_retry {
            return;
        }
        if self.settings.may_hedge {
            self.retry(now, id);
        } else {
            self.cancel_attempt(id, index);
        }
    }

    /// Releases the slots that an attempt of a class occupies.
    pub(super) fn release_slot(&mut self, class: usize, occupied_pools: u64) {
        self.pools.release_slot(occupied_pools);
        self.concurrency.classes[class].in_use -= 1;
    }

    /// Queues a request for another attempt.
    pub(super) fn retry(&mut self, now: Time, id: RequestId) {
        self.enqueue_retry(now, id);
        self.retry_budget.withdraw();
    }

    /// Cancels an attempt if it is in flight and may be cancelled.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, index: u32) {
        if !self.settings.may_cancel {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(index as usize) else { return };
        if attempt.is_in_flight() && !attempt.is_cancelled {
            attempt.is_cancelled = true;
            self.actions.push(Action::Cancel { id, attempt: index });
        }
    }
}
