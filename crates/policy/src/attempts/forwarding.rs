//! Start of attempts, and overdue attempts, which count as failed before they end.

use super::request::{Attempt, InFlightRequest, RequestState};
use crate::api::{Action, HostId, Idempotency, RequestId, Span, Time};
use crate::balancing::host::AttemptResult;
use crate::balancing::host_set::Location;
use crate::policy::Policy;
use crate::time::{as_seconds, MILLISECOND, NANOS_PER_SECOND};
use crate::timers::Timer;

/// Multiple of the typical latency after which an attempt is overdue: of exponentially distributed response
/// times, a fraction of e^-8 is longer.
const OVERDUE_LATENCY_MULTIPLE: f64 = 8.0;
/// Cost of another attempt while all slots are free, as a fraction of the value of a response.
const ATTEMPT_COST: f64 = 0.03;
/// Additional cost of another attempt while all slots are in use, as a fraction of the value of a response.
const LOAD_COST: f64 = 0.3;
/// Margin added to the computed overdue time.
const OVERDUE_MARGIN: Span = MILLISECOND / 1000;

impl Policy {
    /// Forwards a queued request to a host.
    pub(crate) fn forward(&mut self, now: Time, id: RequestId, host_id: HostId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(host) = self.hosts.get_mut(host_id) else { return };
        let RequestState::Queued { since } = request.state else { return };
        let class = request.class;
        let class_settings = &self.settings.classes[class];
        let has_value_after_objective = class_settings.late_fraction > 0.0 || class_settings.streaming;
        let deadline = if has_value_after_objective { request.deadline } else { request.objective_at };
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

    /// Returns when an attempt sent at `sent_at` becomes overdue. If the request may be hedged, that is the
    /// delay after which a further attempt is worth its cost, given the probabilities of a response from
    /// either attempt; the cost rises as fewer slots are free. Otherwise it is the time after which a
    /// response is very unlikely.
    fn overdue_at(&self, request: &InFlightRequest, host: HostId, sent_at: Time) -> Time {
        let class = &self.settings.classes[request.class];
        let statistics = &self.class_statistics[request.class];
        let expectation = statistics.expectation(self.hosts.get(host));
        let typical = if statistics.typical_latency > 0.0 {
            OVERDUE_LATENCY_MULTIPLE * statistics.typical_latency
        } else {
            as_seconds(class.latency_objective)
        };
        let may_hedge_now = class.idempotency == Idempotency::Idempotent && self.settings.may_hedge;
        let seconds = if may_hedge_now {
            let remaining = request.remaining_time(sent_at, expectation.latency_ratio, class.late_fraction);
            let cost = self.attempt_cost();
            typical.min(statistics.response_times.hedge_delay(remaining, expectation.loss_probability, cost))
        } else {
            typical
        };
        let wait = seconds * expectation.latency_ratio * NANOS_PER_SECOND;
        sent_at.saturating_add((wait as Span).min(class.latency_objective)).saturating_add(OVERDUE_MARGIN)
    }

    /// Returns the cost of another attempt under the current load of this gateway's slots, as a fraction of
    /// the value of a response.
    fn attempt_cost(&self) -> f64 {
        let demand = self.concurrency.in_use() + self.concurrency.waiting();
        let load = demand / self.concurrency.budget.slots().max(1.0);
        ATTEMPT_COST + LOAD_COST * (load * load).min(1.0)
    }

    /// Counts an attempt as failed if it is overdue: as a failure of the host for all classes if the host has
    /// not responded to any request since the attempt was sent, otherwise for the class only.
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
        let is_host_unresponsive = self.hosts.get(host_id).is_none_or(|host| host.last_response_at < sent_at);
        let result =
            if is_host_unresponsive { AttemptResult::HostFailed } else { AttemptResult::ClassFailed };
        self.record_result(now, id, host_id, result);
        self.replace_overdue_attempt(now, id, index);
    }
}
