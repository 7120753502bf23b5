//! The start of an attempt, and attempts that are overdue: they count as failed before they end.

use super::request::{Attempt, InFlightRequest, RequestState};
use crate::api::{Action, HostId, Idempotency, RequestId, Span, Time};
use crate::balancing::host::AttemptResult;
use crate::balancing::host_set::Location;
use crate::policy::Policy;
use crate::time::{as_seconds, MILLISECOND, NANOS_PER_SECOND};
use crate::timers::Timer;

/// Usual latencies without a response after which an attempt is overdue: e^-8 of exponentially distributed
/// responses take longer.
const OVERDUE_LATENCIES: f64 = 8.0;
/// Price of another attempt, in responses, while all slots are free.
const ATTEMPT_PRICE: f64 = 0.03;
/// What is added to that price as the slots fill up.
const LOAD_PRICE: f64 = 0.3;
/// Time after the computed moment at which an attempt is overdue, so that the timer finds it so.
const OVERDUE_MARGIN: Span = MILLISECOND / 1000;

impl Policy {
    /// Forwards a queued request to a host.
    pub(crate) fn forward(&mut self, now: Time, id: RequestId, host_id: HostId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(host) = self.hosts.get_mut(host_id) else { return };
        let RequestState::Queued { since } = request.state else { return };
        let class = request.class;
        let class_settings = &self.settings.classes[class];
        let earns_after_objective = class_settings.late_fraction > 0.0 || class_settings.streaming;
        let deadline = if earns_after_objective { request.deadline } else { request.objective_at };
        let write_by = request.write_by(class_settings.idempotency);
        request.state = RequestState::Forwarded;
        host.start_attempt();
        let index = request.attempts.len() as u32;
        request.attempts.push(Attempt {
            host: host_id,
            location: Location::of(&host.entry),
            sent_at: now,
            occupied_pools: Some(self.pools.start_attempt(&request.route)),
            utilisation: host.utilisation(self.settings.gateways),
            ..Attempt::default()
        });
        let class_slots = &mut self.concurrency.classes[class];
        class_slots.in_use += 1;
        if index == 0 {
            class_slots.record_wait(since, now);
        }
        self.end_wait(class, since);
        let Some(request) = self.requests.get(&id) else { return };
        let overdue_at = self.overdue_at(request, host_id, now);
        self.timers.schedule(overdue_at, Timer::AttemptOverdue(id, index));
        self.actions.push(Action::Forward { id, host: host_id, deadline, write_by });
    }

    /// Returns when an attempt that is sent at a moment is overdue. Where another attempt may run beside it,
    /// that is when another pays by the probabilities of a response from either; an attempt costs more the
    /// fewer slots are free. Otherwise another attempt has to wait until a response is very unlikely.
    fn overdue_at(&self, request: &InFlightRequest, host: HostId, sent_at: Time) -> Time {
        let class = &self.settings.classes[request.class];
        let statistics = &self.class_statistics[request.class];
        let expectation = statistics.expectation(self.hosts.get(host));
        let usual = if statistics.usual_latency > 0.0 {
            OVERDUE_LATENCIES * statistics.usual_latency
        } else {
            as_seconds(class.latency_objective)
        };
        let may_run_beside = class.idempotency == Idempotency::Idempotent && self.settings.may_hedge;
        let seconds = if may_run_beside {
            let left = request.time_left(sent_at, expectation.latency_ratio, class.late_fraction);
            let price = self.attempt_price();
            usual.min(statistics.response_times.hedge_delay(left, expectation.loss_probability, price))
        } else {
            usual
        };
        let wait = seconds * expectation.latency_ratio * NANOS_PER_SECOND;
        sent_at.saturating_add((wait as Span).min(class.latency_objective)).saturating_add(OVERDUE_MARGIN)
    }

    /// Returns the price of another attempt, in responses, by the load of this gateway's slots.
    fn attempt_price(&self) -> f64 {
        let demand = self.concurrency.in_use() + self.concurrency.waiting();
        let load = demand / self.concurrency.budget.slots().max(1.0);
        ATTEMPT_PRICE + LOAD_PRICE * (load * load).min(1.0)
    }

    /// Counts an attempt as failed if it is overdue; its host as a whole, if the host has responded to
    /// nothing since it was sent.
    pub(crate) fn on_attempt_overdue(&mut self, now: Time, id: RequestId, index: u32) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(attempt) = request.attempts.get(index as usize) else { return };
        if !attempt.is_in_flight() || attempt.is_overdue {
            return;
        }
        let (host_id, sent_at) = (attempt.host, attempt.sent_at);
        let overdue_at = self.overdue_at(request, host_id, sent_at);
        if now < overdue_at {
            return self.timers.schedule(overdue_at, Timer::AttemptOverdue(id, index));
        }
        let is_host_silent = self.hosts.get(host_id).is_none_or(|host| host.last_response_at < sent_at);
        let result = if is_host_silent { AttemptResult::HostFailed } else { AttemptResult::ClassFailed };
        self.record_result(now, id, host_id, result);
        self.replace_overdue_attempt(now, id, index);
    }
}
