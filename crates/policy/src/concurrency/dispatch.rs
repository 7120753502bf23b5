//! The queue for concurrency slots, and the assignment of free slots to queued requests.

use super::slot_budget::BURST_SLOTS;
use crate::api::{RejectReason, RequestId, Route, Span, Time};
use crate::attempts::request::RequestState;
use crate::policy::Policy;
use crate::time::{as_seconds, seconds_between};
use crate::timers::{Timer, TIMER_STEP};

/// Maximum queue length, as a multiple of the number of requests that can be served in time at the typical
/// latency.
const QUEUE_TOLERANCE: f64 = 1.2;
/// Fraction of the maximum queue length available to every plan; the remaining half scales with the weight
/// factor of the plan.
const QUEUE_FRACTION_OF_ALL_PLANS: f64 = 0.5;

/// A request that has started to wait for a slot.
struct QueuedRequest {
    class: usize,
    route: Route,
    /// Latest start of its next attempt.
    start_by: Time,
}

impl Policy {
    /// Queues a request for its first attempt, or rejects it if too many requests are queued ahead of it.
    pub(crate) fn enqueue(&mut self, now: Time, id: RequestId) {
        let Some(queued) = self.start_wait(now, id) else { return };
        if self.is_queue_too_long(id, queued.start_by.saturating_sub(now)) {
            return self.reject_or_fail(id, RejectReason::QueueTooLong);
        }
        self.concurrency.classes[queued.class].queue.push_back(queued.route, id);
        self.timers.schedule(queued.start_by.max(now + 1), Timer::QueueTimeout(id));
    }

    /// Queues a request for another attempt, ahead of all other requests of its class.
    pub(crate) fn enqueue_retry(&mut self, now: Time, id: RequestId) {
        let Some(queued) = self.start_wait(now, id) else { return };
        self.concurrency.classes[queued.class].queue.push_front(queued.route, id);
        self.timers.schedule(queued.start_by.max(now + 1), Timer::QueueTimeout(id));
    }

    fn start_wait(&mut self, now: Time, id: RequestId) -> Option<QueuedRequest> {
        let request = self.requests.get_mut(&id)?;
        let class = request.class;
        request.state = RequestState::Queued { since: now };
        self.concurrency.classes[class].start_wait(seconds_between(self.started_at, now));
        let start_by = request.start_by(self.class_statistics[class].typical_latency);
        Some(QueuedRequest { class, route: request.route, start_by })
    }

    /// Records that a request no longer waits for a slot.
    pub(crate) fn end_wait(&mut self, class: usize, since: Time) {
        let since = seconds_between(self.started_at, since);
        self.concurrency.classes[class].end_wait(since);
    }

    /// Returns whether more requests wait ahead of this one than all slots can serve within `available`.
    /// Plans with a lower weight factor may queue fewer requests.
    fn is_queue_too_long(&self, id: RequestId, available: Span) -> bool {
        let Some(request) = self.requests.get(&id) else { return true };
        let weight_factor = |plan: usize| self.settings.plans[plan].weight_factor;
        let top_factor = (0..self.settings.plans.len()).map(weight_factor).fold(1e-9, f64::max);
        let plan_fraction = self.customers.get(request.customer).map_or(1.0, |customer| {
            QUEUE_FRACTION_OF_ALL_PLANS
                + (1.0 - QUEUE_FRACTION_OF_ALL_PLANS) * weight_factor(customer.plan) / top_factor
        });
        let ahead = self.concurrency.waiting_up_to(request.class) - 1.0;
        let slots = self.concurrency.budget.slots();
        ahead * self.class_statistics[request.class].typical_latency
            > QUEUE_TOLERANCE * plan_fraction * slots * as_seconds(available)
    }

    /// Rejects or fails a queued request if it is too late for a response within the latency objective.
    pub(crate) fn on_queue_timeout(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| request.is_queued()) else { return };
        let start_by = request.start_by(self.class_statistics[request.class].typical_latency);
        if now >= start_by {
            return self.reject_or_fail(id, RejectReason::QueuedTooLong);
        }
        self.timers.schedule(start_by, Timer::QueueTimeout(id));
    }

    /// Assigns free slots to queued requests.
    pub(crate) fn dispatch(&mut self, now: Time) {
        while self.concurrency.has_queued() && self.has_free_slot(now) {
            let has_free_slot = |route: &Route| self.pools.has_free_slot(route);
            let Some(class) = self.concurrency.next_class(has_free_slot) else { break };
            let Some(id) = self.concurrency.classes[class].queue.pop(has_free_slot) else { break };
            self.dispatch_one(now, class, id);
        }
        let has_ready = self.concurrency.has_ready(|route| self.pools.has_free_slot(route));
        self.concurrency.budget.have_requests_waited |= has_ready;
        self.schedule_dispatch(now);
    }

    fn has_free_slot(&mut self, now: Time) -> bool {
        let in_use = self.concurrency.in_use();
        in_use < self.concurrency.budget.usable_slots(now, in_use)
    }

    /// Forwards one request if a host is available. Otherwise, a request that may have been executed is set
    /// aside, since its eligible hosts differ from those of other requests. For any other request, the whole
    /// route is blocked until hosts change, since there is no host for the requests behind it either.
    fn dispatch_one(&mut self, now: Time, class: usize, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| request.is_queued()) else { return };
        let start_by = request.start_by(self.class_statistics[class].typical_latency);
        let route = request.route;
        let may_have_been_executed = request.first_possibly_executed().is_some();
        let selected = self.select_host(now, id);
        if now >= start_by {
            return self.reject_or_fail(id, RejectReason::QueuedTooLong);
        }
        match selected {
            Some(host) => self.forward(now, id, host),
            None if may_have_been_executed => self.concurrency.add_unplaced(class, route, id),
            None => {
                let queue = &mut self.concurrency.classes[class].queue;
                queue.push_front(route, id);
                queue.block(route);
            }
        }
    }

    /// Schedules another dispatch if requests may become dispatchable by the passage of time: hosts that are
    /// warming up get more attempts, and a small share of the slots accumulates.
    fn schedule_dispatch(&mut self, now: Time) {
        let saves_slots = self.concurrency.budget.slots() < BURST_SLOTS && self.concurrency.has_queued();
        let is_needed = self.concurrency.is_blocked() || saves_slots;
        if is_needed && !self.concurrency.is_dispatch_scheduled {
            self.concurrency.is_dispatch_scheduled = true;
            self.timers.schedule(now + TIMER_STEP, Timer::RetryDispatch);
        }
    }

    /// Retries the dispatch of requests that found no host.
    pub(crate) fn on_retry_dispatch(&mut self) {
        self.concurrency.is_dispatch_scheduled = false;
        self.concurrency.unblock();
    }
}
