//! Simulated time: timers, deadlines of attempts and timeouts of calls expire in order.

use super::*;
use crate::timers::TIMER_STEP;

impl TestGateway {
    /// Advances time, and handles everything that expires until then in order.
    pub(super) fn advance_to(&mut self, until: Time) {
        while let Some(next) = self.next_expiry().filter(|next| *next <= until) {
            self.now = self.now.max(next);
            self.expire();
        }
        self.now = self.now.max(until);
    }

    /// Returns when the next timer, attempt or call expires.
    pub(super) fn next_expiry(&self) -> Option<Time> {
        let ends = self.tracked.values().flat_map(TrackedRequest::in_flight).map(|attempt| attempt.deadline);
        let calls = self.calls.iter().map(|call| call.deadline);
        self.timers.iter().copied().chain(ends).chain(calls).min()
    }

    /// Expires timers, attempts and calls, and checks that no request is incomplete after its deadline.
    pub(super) fn expire(&mut self) {
        let now = self.now;
        for timers in [self.deployment.timers_first, !self.deployment.timers_first] {
            if timers {
                let expired = self.timers.iter().filter(|at| **at <= now).count();
                self.timers.retain(|at| *at > now);
                (0..expired).for_each(|_| self.report(Event::TimerExpired { token: 0 }));
                continue;
            }
            let is_expired = |attempt: &SentAttempt| attempt.outcome.is_none() && attempt.deadline <= now;
            for (id, attempt) in self.attempts_where(is_expired) {
                self.end_attempt(id, attempt, Outcome::Timeout, 0);
                self.report_last();
            }
            while let Some(at) = self.calls.iter().position(|call| call.deadline <= now) {
                self.end_call(at, Outcome::Timeout, 0.0);
            }
        }
        let is_overdue = |request: &TrackedRequest| {
            let answer_by = request.deadline.max(self.resumed_at + TIMER_STEP) + ANSWER_TOLERANCE;
            !request.is_complete() && answer_by < now
        };
        let overdue = self.tracked.iter().find(|(_, request)| is_overdue(request));
        assert!(overdue.is_none(), "{:?} has no final answer after its deadline", overdue.map(|(id, _)| id));
    }

    /// Advances time to an instant at which two events may coincide.
    pub(super) fn advance_to_instant(&mut self, pick: usize, kind: usize, offset_ns: i64) {
        let instants: Vec<Time> = match kind % 6 {
            0 => self
                .tracked
                .values()
                .flat_map(TrackedRequest::in_flight)
                .map(|attempt| attempt.deadline)
                .collect(),
            1 => self.incomplete_requests().map(|request| request.deadline).collect(),
            2 => self.incomplete_requests().filter_map(|request| self.window_end(request)).collect(),
            3 => self.hosts.values().map(|host| host.started_at + self.deployment.settings.warm_up).collect(),
            4 => self.timers.clone(),
            _ => self.calls.iter().map(|call| call.deadline).collect(),
        };
        let ahead: Vec<Time> = instants.into_iter().filter(|at| *at > self.now + 1).collect();
        if let Some(at) = ahead.get(pick % ahead.len().max(1)) {
            let at = at.saturating_add_signed(offset_ns);
            self.advance_to(at - 1);
            self.now = at;
        }
    }

    fn incomplete_requests(&self) -> impl Iterator<Item = &TrackedRequest> {
        self.tracked.values().filter(|request| !request.is_complete())
    }

    /// Returns the end of the time in which another attempt of a request may be written.
    fn window_end(&self, request: &TrackedRequest) -> Option<Time> {
        let first = request.first_possibly_executed()?;
        match self.deployment.settings.classes[request.request.class].idempotency {
            Idempotency::WithKey(_, window) => {
                Some(first.sent_at + window.saturating_sub((window / 10).max(100 * MILLISECOND)))
            }
            _ => None,
        }
    }
}
