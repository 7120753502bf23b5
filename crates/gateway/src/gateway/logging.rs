//! Log lines about the gateway's own state, each kind of which is rate-limited.

use super::{DecisionModule, Gateway};
use crate::counter::log::LogLine;
use crate::telemetry::event_loop_delay::DelayReport;
use crate::telemetry::failure_stats::{describe, FailureReason};
use policy::api::{RequestId, Span, Time};
use runtime::Env;

const MS: Span = 1_000_000;
const SECOND: Span = 1_000 * MS;

impl<E: Env, D: DecisionModule> Gateway<E, D> {
    /// Records that a request which arrived at `arrived_at` is processed now, and logs if the event loop has become
    /// delayed or has recovered.
    pub(super) fn log_event_loop_delay(&mut self, arrived_at: Time) {
        match self.event_loop_delay.observe(self.env.now(), arrived_at) {
            None => {}
            Some(DelayReport::Delayed(delay)) => tracing::warn!(
                lag_ms = delay / MS,
                in_hand = self.requests.len(),
                "event loop is delayed, it gets too little CPU time"
            ),
            Some(DelayReport::Recovered(duration)) => {
                tracing::info!(after_s = duration / SECOND, "event loop has recovered");
            }
        }
    }

    /// Counts and logs a request that has not received a response within its latency objective and no longer can.
    pub(super) fn log_failure(&mut self, id: RequestId, reason: FailureReason) {
        let Some(request) = self.requests.get(&id) else { return };
        let now = self.env.now();
        let last = request.failed_attempts.last();
        let Some(suppressed) = self.failure_stats.count_failure(now, reason, last, request.weight) else {
            return;
        };
        let name = |names: &'_ [String], index: usize| names.get(index).cloned().unwrap_or_default();
        tracing::info!(
            request = format_args!("{:016x}", request.call.client_id),
            class = name(&self.platform.class_names, request.class),
            plan = name(&self.platform.plan_names, request.plan),
            after_ms = now.saturating_sub(request.arrived_at) / MS,
            reason = reason.label(),
            attempts = describe(&request.failed_attempts, |host| self.upstream.name(host)),
            left_out = suppressed,
            "request missed its latency objective"
        );
    }

    /// Logs the summary of failures at the end of each summary period.
    pub(super) fn log_failure_summary(&mut self) {
        let now = self.env.now();
        if self.failure_stats.needs_summary(now) {
            if let Some(summary) = self.failure_stats.summary(now) {
                tracing::info!(%summary, "requests that missed their latency objective in the last minute");
            }
        }
    }

    /// Logs changes of the counter's state.
    pub(super) fn log_counter_state(&mut self) {
        let now = self.env.now();
        if !self.counter_log.needs_update(now) {
            return;
        }
        let report = self.module.counter_report(now);
        self.counter_log.update(now, &report).iter().for_each(LogLine::log);
        if self.counter_log.is_healthy(&report) {
            self.module.clear_local_grants();
        }
    }
}
