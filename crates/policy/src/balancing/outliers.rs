//! Outlier statistics of hosts, from responses, failures and load reports.

use super::host::AttemptResult;
use super::slow_start::max_attempts_on_credit;
use crate::api::{AttemptEnded, HostId, LoadReport, Outcome, RequestId, Span, Time};
use crate::policy::Policy;
use crate::time::MILLISECOND;

/// Time for which a host is presumed unreachable after a failed connection.
const UNREACHABLE_DURATION: Span = 2_000 * MILLISECOND;

impl Policy {
    /// Records the result of an attempt in the statistics of its host and its class.
    pub(crate) fn record_result(&mut self, now: Time, id: RequestId, host: HostId, result: AttemptResult) {
        let Some(request) = self.requests.get(&id) else { return };
        self.class_statistics[request.class].record_result(result != AttemptResult::Served);
        let Some(host) = self.hosts.get_mut(host) else { return };
        host.record_result(now, request.class, self.settings.classes.len(), result);
    }

    /// Records the latency of a response, as evidence of its host's relative speed and load.
    pub(crate) fn record_response(
        &mut self,
        end: &AttemptEnded,
        class: usize,
        sent_at: Time,
        utilisation: f64,
    ) {
        let latency = self.class_statistics[class].record_latency(end.elapsed, utilisation);
        let budget = &mut self.concurrency.budget;
        budget.record_response(latency.baseline_ratio);
        let Some(host) = self.hosts.get_mut(end.host) else { return };
        host.record_latency_ratio(latency.typical_ratio);
        host.limit.record_response(sent_at, utilisation, latency.log_unloaded_ratio);
        host.schedule_limit_adjustment(&mut budget.hosts_to_adjust);
    }

    /// Records the end of an attempt in the state of its host.
    pub(crate) fn record_end_at_host(&mut self, end: &AttemptEnded) {
        let max_on_credit = max_attempts_on_credit(&self.settings, self.hosts.subset_count());
        let Some(host) = self.hosts.get_mut(end.host) else { return };
        let is_served = end.outcome == Outcome::Ok;
        host.end_attempt(is_served, max_on_credit);
        if end.outcome == Outcome::Rejected {
            host.limit.record_rejection();
            host.schedule_limit_adjustment(&mut self.concurrency.budget.hosts_to_adjust);
        }
        if !is_served {
            return;
        }
        if host.is_warming_up() {
            self.concurrency.unblock();
        } else if host.is_ready() {
            self.hosts.record_warm_response();
        }
    }

    /// Records a host's reaction to an attempt or a health check, and its load report.
    pub(crate) fn on_host_report(
        &mut self,
        now: Time,
        host_id: HostId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        if let Some(report) = report {
            self.hosts.record_load(now, host_id, &report);
        }
        let Some(host) = self.hosts.get_mut(host_id) else { return };
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            host.last_response_at = now;
        }
        if outcome == Outcome::ConnectFailed {
            host.unreachable_until = now + UNREACHABLE_DURATION;
        }
    }
}
