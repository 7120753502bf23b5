//! Retries and hedged requests: when another attempt is made, and which one is cancelled.

use super::request::{InFlightRequest, RequestState};
use crate::api::{Action, Idempotency, RejectReason, RequestId, Time};
use crate::policy::Policy;

/// Fraction of failed attempts of a class above which its hosts are overloaded, rather than single ones
/// faulty.
const OVERLOAD_FAILURES: f64 = 0.3;

impl Policy {
    /// Returns why no other attempt of a request may be made; `None` if one may.
    pub(super) fn retry_obstacle(&self, now: Time, request: &InFlightRequest) -> Option<RejectReason> {
        if !self.has_eligible_host(now, request) {
            return Some(RejectReason::NotIdempotent);
        }
        if now >= request.start_by(self.class_statistics[request.class].usual_latency) {
            return Some(RejectReason::TooLateForRetry);
        }
        let has_attempts_left = (request.attempts.len() as u32) < self.settings.max_attempts.max(1);
        if !has_attempts_left || !self.retry_budget.has_retry() {
            return Some(RejectReason::RetriesExhausted);
        }
        None
    }

    /// Releases the slot of an overdue attempt, and hedges or replaces it if that is possible. Where the
    /// class fails at all hosts, the attempt keeps its slot, since more attempts would only add to the
    /// overload.
    pub(super) fn replace_overdue_attempt(&mut self, now: Time, id: RequestId, index: u32) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(index as usize) else { return };
        attempt.is_overdue = true;
        let class = request.class;
        if self.class_statistics[class].failure_fraction > OVERLOAD_FAILURES {
            return;
        }
        if let Some(pools) = attempt.occupied_pools.take() {
            self.release_slot(class, pools);
        }
        let Some(request) = self.requests.get(&id) else { return };
        let may_repeat = request.state == RequestState::Forwarded
            && self.settings.classes[class].idempotency == Idempotency::Idempotent
            && self.retry_obstacle(now, request).is_none();
        if !may_repeat {
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
