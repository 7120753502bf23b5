//! Requests in flight: each is kept until its single final answer has been sent and all its attempts have ended.

use super::{DecisionModule, Gateway, Timer};
use crate::client::call::Call;
use crate::messages::{AttemptKey, FinalAnswer, IncomingRequest, ReplyTo};
use crate::telemetry::failure_stats::{FailedAttempt, FailureReason};
use crate::upstream::{FinishedAttempt, ForwardOrder};
use bytes::Bytes;
use policy::api::{
    AttemptEnded, Event, HostId, Idempotency, RejectReason, Request, RequestId, Route, Span, Time,
};
use runtime::Env;
use std::sync::Arc;

const MS: Span = 1_000_000;
/// Time after a request's deadline at which the event loop fails the request if the decision module has not answered
/// it, so that every request gets an answer.
const OVERDUE_GRACE: Span = 10 * MS;

/// A request in flight.
pub(super) struct InFlightRequest {
    pub call: Arc<Call>,
    /// Recipient of the final answer; `None` once the answer has been sent.
    pub reply_to: Option<ReplyTo>,
    pub deadline: Time,
    pub route: Route,
    /// Number of attempts that the decision module has ordered.
    pub attempts: u32,
    /// Number of attempts that have not ended.
    attempts_in_flight: u32,
    /// Whether the request may have been executed by an attempt that has ended.
    may_have_executed: bool,
    pub class: usize,
    pub plan: usize,
    pub arrived_at: Time,
    /// Priority weight of a response within the latency objective.
    pub weight: f64,
    /// Attempts that ended without a response.
    pub failed_attempts: Vec<FailedAttempt>,
}

impl InFlightRequest {
    /// Returns when the request is failed if it has not been answered.
    fn overdue_at(&self) -> Time {
        self.deadline + OVERDUE_GRACE
    }

    fn is_finished(&self) -> bool {
        self.reply_to.is_none() && self.attempts_in_flight == 0
    }
}

impl<E: Env, D: DecisionModule> Gateway<E, D> {
    pub(super) fn on_request(&mut self, incoming: IncomingRequest) {
        let IncomingRequest { arrived_at, mut request, call, reply_to } = incoming;
        self.log_event_loop_delay(arrived_at);
        if reply_to.client.is_closed() {
            return;
        }
        // Hosts identify requests by the client's identifier, so two requests in flight must not share one, and a client
        // that has lost its connection may send the same request again.
        if !self.client_ids.insert(self.env.now(), call.client_id) {
            return reply_to.send(FinalAnswer::Failed);
        }
        let is_idempotent = self.is_idempotent(request.class);
        let sites = self.sites.on_request(self.env.now(), &request, call.client_id, is_idempotent);
        request.route = self.router.select(&request, sites);
        request.arrived_at = arrived_at;
        let weight = self.priority_weight(&request);
        self.failure_stats.count_request(weight);
        let in_flight = InFlightRequest {
            call: Arc::new(call),
            reply_to: Some(reply_to),
            deadline: arrived_at.saturating_add(request.remaining),
            route: request.route,
            attempts: 0,
            attempts_in_flight: 0,
            may_have_executed: false,
            class: request.class,
            plan: request.plan,
            arrived_at,
            weight,
            failed_attempts: Vec::new(),
        };
        let id = request.id;
        self.in_flight.increment();
        self.timers.set(in_flight.overdue_at(), Timer::Overdue(id));
        self.requests.insert(id, in_flight);
        self.notify(Event::Request(request));
    }

    /// Returns the priority weight of a response within the latency objective.
    fn priority_weight(&self, request: &Request) -> f64 {
        let class = self.settings.classes.get(request.class);
        let class_weight = class.map_or(0.0, |class| class.priority_weight);
        let plan = self.settings.plans.get(request.plan);
        let plan_factor = plan.map_or(0.0, |plan| plan.weight_factor);
        let units = if request.units.is_finite() { request.units.max(0.0) } else { 1.0 };
        class_weight * plan_factor * units
    }

    /// Ends a request whose client has disconnected.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        if self.take_reply_to(id).is_some() {
            self.log_failure(id, FailureReason::ClientDisconnected);
            self.notify(Event::ClientDisconnected { id });
            self.remove_if_finished(id);
        }
    }

    /// Ends a request whose client has disconnected, or may have done so while its connection had unread input: no
    /// attempt may begin any more.
    fn end_without_further_attempt(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        // The attempt that may not begin is one of those in flight.
        let may_have_executed = request.may_have_executed || request.attempts_in_flight > 1;
        if request.reply_to.as_ref().is_none_or(|reply_to| reply_to.client.is_closed()) {
            return self.on_client_disconnected(id);
        }
        if let Some(reply_to) = self.take_reply_to(id) {
            let never_executed = FinalAnswer::Rejected(None);
            reply_to.send(if may_have_executed { FinalAnswer::Failed } else { never_executed });
            self.log_failure(id, FailureReason::UnreadInput);
            self.notify(Event::ClientDisconnected { id });
            self.remove_if_finished(id);
        }
    }

    /// Fails a request that has not been answered by [`OVERDUE_GRACE`] after its deadline.
    pub(super) fn on_overdue(&mut self, id: RequestId) {
        if let Some(reply_to) = self.take_reply_to(id) {
            reply_to.send(FinalAnswer::Failed);
            self.log_failure(id, FailureReason::DeadlineExceeded);
            self.notify(Event::ClientDisconnected { id });
            self.remove_if_finished(id);
        }
    }

    /// Takes the channel for the single final answer, so that nothing else can answer the request. Attempts whose
    /// request has not been written completely are cancelled, since an answered request must not be forwarded.
    fn take_reply_to(&mut self, id: RequestId) -> Option<ReplyTo> {
        let request = self.requests.get_mut(&id)?;
        let reply_to = request.reply_to.take()?;
        let attempts = request.attempts;
        let overdue_at = request.overdue_at();
        for attempt in 0..attempts {
            self.upstream.cancel_unwritten((id, attempt));
        }
        self.timers.cancel(overdue_at, Timer::Overdue(id));
        self.in_flight.decrement();
        Some(reply_to)
    }

    /// Sends the final answer to a request. `reason` is set if the decision module rejected or failed the request.
    pub(super) fn answer(&mut self, id: RequestId, answer: FinalAnswer, reason: Option<RejectReason>) {
        if let Some(reply_to) = self.take_reply_to(id) {
            reply_to.send(answer);
            if let Some(reason) = reason {
                self.on_rejected(id, reason);
            }
        }
        self.remove_if_finished(id);
    }

    fn on_rejected(&mut self, id: RequestId, reason: RejectReason) {
        if let Some(request) = self.requests.get(&id) {
            self.sites.on_rejected(request.class, request.plan, reason);
        }
        self.log_failure(id, FailureReason::Rejected(reason));
    }

    /// Removes a request that has been answered and has no attempt in flight.
    fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(InFlightRequest::is_finished) {
            if let Some(request) = self.requests.remove(&id) {
                self.release_client_id(&request);
                self.router.release(&request.route);
            }
        }
    }

    /// Releases the client's identifier of a request that has ended, or keeps it for some time if the request may have been
    /// executed and must not be executed again.
    fn release_client_id(&mut self, request: &InFlightRequest) {
        let client_id = request.call.client_id;
        if request.may_have_executed && !self.is_idempotent(request.class) {
            self.client_ids.keep(self.env.now(), client_id);
        } else {
            self.client_ids.remove(client_id);
        }
    }

    fn is_idempotent(&self, class: usize) -> bool {
        let class = self.settings.classes.get(class);
        class.is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }

    /// Starts an attempt. The end of each attempt that the decision module orders is reported exactly once, also if the
    /// attempt is not sent because the request has been answered already, or because its client has disconnected, or may
    /// have done so.
    pub(super) fn forward(&mut self, id: RequestId, host_id: HostId, deadline: Time, write_by: Time) {
        let Some(request) = self.requests.get_mut(&id) else {
            debug_assert!(false, "attempt ordered for a request that is not in flight");
            return;
        };
        let key = (id, request.attempts);
        let deadline = deadline.min(request.deadline);
        request.attempts += 1;
        request.attempts_in_flight += 1;
        let now = self.env.now();
        let client = request.reply_to.as_ref().map(|reply_to| &reply_to.client);
        let Some(client) = client.filter(|client| client.permits_attempts(now)).cloned() else {
            self.end_without_further_attempt(id);
            return self.on_finished(FinishedAttempt::not_sent(key, host_id, now, deadline));
        };
        let class = self.settings.classes.get(request.class);
        let is_idempotent = class.is_some_and(|class| class.idempotency == Idempotency::Idempotent);
        let call = request.call.clone();
        let order = ForwardOrder { host_id, deadline, write_by, call, is_idempotent, client };
        self.upstream.start(key, order);
        self.timers.set(deadline, Timer::AttemptDeadline(key));
        if write_by < deadline {
            self.timers.set(write_by, Timer::WriteBy(key));
        }
    }

    /// Reports all attempts that have ended to the decision module. A request's first response is sent to the client
    /// without asking the decision module.
    pub(super) fn report_finished(&mut self) {
        while let Some(finished) = self.upstream.next_finished() {
            self.on_finished(finished);
        }
    }

    fn on_finished(&mut self, finished: FinishedAttempt) {
        let FinishedAttempt { mut ended, started_at, connection, deadline, value } = finished;
        let key: AttemptKey = (ended.id, ended.attempt);
        let id = ended.id;
        self.timers.cancel(deadline, Timer::AttemptDeadline(key));
        ended.elapsed = self.env.now().saturating_sub(started_at);
        if let Some(request) = self.requests.get_mut(&id) {
            request.may_have_executed |= ended.outcome.may_have_executed();
        }
        if value.is_none() {
            if let Some(request) = self.requests.get_mut(&id).filter(|request| request.reply_to.is_some()) {
                let AttemptEnded { host, outcome, elapsed, .. } = ended;
                request.failed_attempts.push(FailedAttempt { host, outcome, elapsed, connection });
            }
        }
        ended.is_request_closed = self.on_attempt_ended(id, value);
        self.sites.on_attempt_ended(self.env.now(), &ended);
        self.notify(Event::AttemptEnded(ended));
        self.remove_if_finished(id);
    }

    /// Records that an attempt has ended, and answers the request if the attempt brought a response. Returns whether
    /// the request has been answered.
    fn on_attempt_ended(&mut self, id: RequestId, value: Option<Bytes>) -> bool {
        if let Some(value) = value {
            self.answer_with_response(id, value);
        }
        let Some(request) = self.requests.get_mut(&id) else { return true };
        request.attempts_in_flight -= 1;
        request.reply_to.is_none()
    }

    fn answer_with_response(&mut self, id: RequestId, value: Bytes) {
        let Some(reply_to) = self.take_reply_to(id) else { return };
        reply_to.send(FinalAnswer::Response(value));
        let Some(request) = self.requests.get(&id) else { return };
        let class = self.settings.classes.get(request.class);
        let objective = class.map_or(0, |class| class.latency_objective);
        if self.env.now() > request.arrived_at.saturating_add(objective) {
            self.log_failure(id, FailureReason::ObjectiveMissed);
        }
    }
}
