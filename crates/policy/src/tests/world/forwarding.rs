//! Actions on attempts and final answers: each is checked against the invariants before it is executed.

use super::*;

impl TestGateway {
    /// Checks an attempt against the invariants, and starts it.
    pub(super) fn forward(&mut self, id: RequestId, host: HostId, deadline: Time, write_by: Time) {
        let entry = self.hosts.get(&host).expect("a known host");
        assert_eq!(entry.state, HostState::Ready, "attempt at a host that is not ready");
        let location = Location::of(entry);
        let settings = &self.deployment.settings;
        let request = self.tracked.get(&id).expect("a tracked request");
        assert!(!request.is_complete(), "attempt after the final answer");
        assert!(
            settings.may_hedge || request.in_flight().count() == 0,
            "hedged request where hedging is disabled"
        );
        assert!(request.attempts.len() < settings.max_attempts.max(1) as usize, "too many attempts");
        assert!(self.now < deadline && deadline <= request.deadline, "attempt beyond the deadline");
        assert!(self.now < write_by);
        self.check_route(request, entry);
        self.check_repetition(request, location, write_by);
        self.attempts += 1;
        self.retries += u64::from(!request.attempts.is_empty());
        let Some(request) = self.tracked.get_mut(&id) else { return };
        let attempt = request.attempts.len() as u32;
        request.attempts.push(SentAttempt {
            host,
            location,
            sent_at: self.now,
            deadline,
            is_cancelled: false,
            outcome: None,
        });
        if request.client == Client::Disconnecting {
            request.client = Client::Disconnected;
            self.events.push_back(Event::ClientDisconnected { id });
            self.end_attempt(id, attempt, Outcome::NotSent, 0);
        }
    }

    /// Checks the pools and the limit of a request's route.
    fn check_route(&self, request: &TrackedRequest, entry: &HostEntry) {
        let in_pools = |pools: u64| pools == 0 || pools & entry.pools != 0;
        let route = request.request.route;
        assert!(
            in_pools(route.pools) || route.fallback != 0 && in_pools(route.fallback),
            "the host is not in the pools of the route"
        );
        if let Some(limit) = route.limit {
            let is_of_route = |request: &&TrackedRequest| {
                request.request.route.limit.is_some_and(|other| other.route == limit.route)
            };
            let requests = self.tracked.values().filter(is_of_route);
            let in_flight: usize = requests.map(|request| request.in_flight().count()).sum();
            assert!(
                in_flight < limit.max_in_flight as usize,
                "the concurrency limit of the route is exceeded"
            );
        }
    }

    /// Checks that a request that may have been executed is retried only where a duplicate is harmless.
    fn check_repetition(&self, request: &TrackedRequest, location: Location, write_by: Time) {
        if let Some(first) = request.first_possibly_executed() {
            match self.deployment.settings.classes[request.request.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => {
                    panic!("a non-idempotent request may be executed twice")
                }
                Idempotency::WithKey(scope, window) => {
                    assert!(
                        write_by < first.sent_at + window,
                        "bytes may be written after the deduplication window"
                    );
                    let is_deduplicated = match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => first.location.zone == location.zone,
                        DedupScope::Cell => first.location == location,
                    };
                    assert!(is_deduplicated, "retry at a host that does not drop duplicates");
                }
            }
        }
    }

    /// Cancels an attempt, unless its end is queued to be reported.
    pub(super) fn cancel(&mut self, id: RequestId, attempt: usize) {
        assert!(self.deployment.settings.may_cancel, "cancellation where it is not supported");
        let is_end = |event: &Event| matches!(event, Event::AttemptEnded(end) if (end.id, end.attempt as usize) == (id, attempt));
        if self.events.iter().any(is_end) {
            return;
        }
        let request = self.tracked.get_mut(&id);
        let sent = request.and_then(|request| request.attempts.get_mut(attempt)).expect("a sent attempt");
        assert!(
            sent.outcome.is_none() && !sent.is_cancelled,
            "cancellation of an ended or cancelled attempt"
        );
        sent.is_cancelled = true;
        if self.deployment.cancels_at_once {
            self.end_attempt(id, attempt as u32, Outcome::Cancelled, 0);
        }
    }

    /// Handles the final answer to an unsuccessful request.
    pub(super) fn on_final_answer(&mut self, id: RequestId, is_rejected: bool) {
        let request = self.tracked.get_mut(&id).expect("a tracked request");
        assert!(!request.is_complete(), "second final answer");
        assert_eq!(request.in_flight().count(), 0, "final answer while an attempt is in flight");
        let idempotency = self.deployment.settings.classes[request.request.class].idempotency;
        let is_repeatable =
            matches!(idempotency, Idempotency::Idempotent | Idempotency::WithKey(DedupScope::All, _));
        let may_have_been_executed = request.first_possibly_executed().is_some();
        assert!(
            !is_rejected || is_repeatable || !may_have_been_executed,
            "rejection of a request that is not safe to retry"
        );
        assert!(is_rejected || may_have_been_executed, "failure of a request that was not executed");
        request.client = Client::Answered;
    }

    /// Ends an attempt, and appends the event to those that are not reported yet.
    pub(super) fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome, units: u8) {
        let Some(request) = self.tracked.get_mut(&id) else { return };
        let sent = &mut request.attempts[attempt as usize];
        sent.outcome = Some(outcome);
        let host = sent.host;
        let elapsed = self.now - sent.sent_at;
        if outcome == Outcome::Ok && !request.is_complete() {
            request.client = Client::Answered;
        }
        let is_request_closed = request.is_complete();
        self.events.push_back(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            host,
            outcome,
            elapsed,
            is_request_closed,
            quota_used: None,
            actual_units: Some(f64::from(units)).filter(|units| *units > 0.0),
            report: None,
        }));
        if is_request_closed {
            self.refund(id);
        }
    }
}
