//! The queue for concurrency slots, and the assignment of free slots to queued requests.

use super::slot_budget::BURST_SLOTS;
use crate::api::{RejectReason, RequestId, Route, Span, Time};
use crate::attempts::request::RequestState;
use crate::policy::Policy;
use crate::time::{as_seconds, seconds_between};
use crate::timers::{Timer, TIMER_STEP};

/// Requests that may be queued, as a multiple of those that the usual latency suggests are served in time.
const QUEUE_TOLERANCE: f64 = 1.2;
/// Fraction of these that is open to every plan; the other half grows with the weight factor of the plan.
const QUEUE_FRACTION_OF_ALL_PLANS: f64 = 0.5;

/// A request that has begun to wait for a slot.
struct QueuedRequest {
    class: usize,
    route: Route,
    /// When its attempt has to start at the latest.
    start_by: Time,
}

impl Policy {
    /// Queues a request for its first attempt, or gives it up if too many are queued before it.
    pub(crate) fn enqueue(&mut self, now: Time, id: RequestId) {
        let Some(queued) = self.start_wait(now, id) else { return };
        if self.is_queue_too_long(id, queued.start_by.saturating_sub(now)) {
            return self.give_up(id, RejectReason::QueueTooLong);
        }
        self.concurrency.classes[queued.class].queue.push_back(queued.route, id);
        self.timers.schedule(queued.start_by.max(now + 1), Timer::QueueTimeout(id));
    }

    /// Queues a request for another attempt, before all others of its class.
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
        let start_by = request.start_by(self.class_statistics[class].usual_latency);
        Some(QueuedRequest { class, route: request.route, start_by })
    }

    /// Notes that a request no longer waits for a slot.
    pub(crate) fn end_wait(&mut self, class: usize, since: Time) {
        let since = seconds_between(self.started_at, since);
        self.concurrency.classes[class].end_wait(since);
    }

    /// Returns whether more requests wait before this one than all slots execute within `available`. Plans of
    /// a lower weight factor may queue somewhat less.
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
        ahead * self.class_statistics[request.class].usual_latency
            > QUEUE_TOLERANCE * plan_fraction * slots * as_seconds(available)
    }

    /// Gives a queued request up if it is too late for a response within its objective.
    pub(crate) fn on_queue_timeout(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| request.is_queued()) else { return };
        let start_by = request.start_by(self.class_statistics[request.class].usual_latency);
        if now >= start_by {
            return self.give_up(id, RejectReason::QueuedTooLong);
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

    /// Forwards one request if there is a host for it. Without a host, a request that may have been executed
    /// waits alone, since its choice of hosts is its own; for another one there is also no host for those
    /// behind it on the same route, and they wait with it for hosts to change.
    fn dispatch_one(&mut self, now: Time, class: usize, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| request.is_queued()) else { return };
        let start_by = request.start_by(self.class_statistics[class].usual_latency);
        let route = request.route;
        let may_have_been_executed = request.first_possibly_executed().is_some();
        let selected = self.select_host(now, id);
        if now >= start_by {
            return self.give_up(id, RejectReason::QueuedTooLong);
        }
        match selected {
            Some(host) => self.forward(now, id, host),
            None if may_have_been_executed => self.concurrency.set_aside(class, route, id),
            None => {
                let queue = &mut self.concurrency.classes[class].queue;
                queue.push_front(route, id);
                queue.block(route);
            }
        }
    }

    /// Schedules another dispatch where time alone may help: hosts that warm up get more attempts, and a
    /// small share of the slots is saved up.
    fn schedule_dispatch(&mut self, now: Time) {
        let saves_slots = self.concurrency.budget.slots() < BURST_SLOTS && self.concurrency.has_queued();
        let is_needed = self.concurrency.is_blocked() || saves_slots;
        if is_needed && !self.concurrency.is_retry_scheduled {
            self.concurrency.is_retry_scheduled = true;
            self.timers.schedule(now + TIMER_STEP, Timer::RetryDispatch);
        }
    }

    /// Considers requests without a host again.
    pub(crate) fn on_retry_dispatch(&mut self) {
        self.concurrency.is_retry_scheduled = false;
        self.concurrency.unblock();
    }
}
