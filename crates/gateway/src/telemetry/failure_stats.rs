//! Statistics of requests that missed their latency objective: a log line per request, at a limited rate, and a summary
//! per minute with the sum of their priority weights by reason. Each request is counted for exactly one reason, so the
//! parts add up to the total.

use policy::api::{HostId, Outcome, RejectReason, Span, Time};
use std::collections::BTreeMap;
use std::fmt::Write;

const MS: Span = 1_000_000;
const SECOND: Span = 1_000 * MS;
/// Burst and rate of log lines about single requests.
const LINE_BURST: f64 = 100.0;
const LINES_PER_SECOND: f64 = 10.0;
const SUMMARY_PERIOD: Span = 60 * SECOND;
/// Maximum number of reasons that a summary names; the remaining ones are summed up.
const MAX_NAMED: usize = 8;
/// A reset this soon after a request was written on a reused connection means that the host had closed the connection
/// before.
pub(crate) const STALE_CONNECTION: Span = 10 * MS;

/// Why a request missed its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum FailureReason {
    /// The decision module rejected or failed it.
    Rejected(RejectReason),
    /// Its client disconnected.
    ClientDisconnected,
    /// Its client may have disconnected, since its connection has had unread input for too long.
    UnreadInput,
    /// Its deadline passed without a response.
    DeadlineExceeded,
    /// Its response came after the latency objective.
    ObjectiveMissed,
}

impl FailureReason {
    /// Returns the text for the log; the page `failed-requests.md` lists these texts.
    pub fn label(self) -> &'static str {
        match self {
            FailureReason::Rejected(reason) => reject_label(reason),
            FailureReason::ClientDisconnected => "client disconnected",
            FailureReason::UnreadInput => "too much unread input",
            FailureReason::DeadlineExceeded => "deadline exceeded",
            FailureReason::ObjectiveMissed => "response after the objective",
        }
    }
}

fn reject_label(reason: RejectReason) -> &'static str {
    match reason {
        RejectReason::UnknownClassOrPlan => "unknown class or plan",
        RejectReason::DeadlineTooShort => "deadline too short",
        RejectReason::NoHost => "no host available",
        RejectReason::TooManyCustomers => "too many customers",
        RejectReason::QuotaExceeded => "quota exceeded",
        RejectReason::QueueTooLong => "queue too long",
        RejectReason::QueuedTooLong => "queued too long",
        RejectReason::NotIdempotent => "not idempotent",
        RejectReason::TooLateForRetry => "too late for a retry",
        RejectReason::RetriesExhausted => "retries exhausted",
        RejectReason::LoadShed => "load shed",
    }
}

/// The connection of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptConnection {
    /// The attempt was never assigned a connection.
    None,
    /// The attempt was the first one on its connection.
    New,
    /// The connection had been idle for this long.
    Reused(Span),
}

/// An attempt that ended without a usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FailedAttempt {
    pub host: HostId,
    pub outcome: Outcome,
    pub elapsed: Span,
    pub connection: AttemptConnection,
}

impl FailedAttempt {
    /// Returns the text for the log.
    pub fn label(&self) -> &'static str {
        let is_reused = matches!(self.connection, AttemptConnection::Reused(_));
        match self.outcome {
            Outcome::Ok => "response",
            Outcome::Error => "error",
            Outcome::Rejected => "rejected",
            Outcome::Timeout => "timeout",
            Outcome::ConnectFailed => "connect failed",
            Outcome::ConnectionReset if is_reused && self.elapsed < STALE_CONNECTION => "stale connection",
            Outcome::ConnectionReset => "connection reset",
            Outcome::Cancelled => "cancelled",
            Outcome::NotSent => "not sent",
        }
    }
}

/// Describes attempts in one line, each with its host, its connection, its outcome and its duration.
pub(crate) fn describe<'a>(attempts: &[FailedAttempt], host_name: impl Fn(HostId) -> &'a str) -> String {
    let mut text = String::new();
    for attempt in attempts {
        let separator = if text.is_empty() { "" } else { "; " };
        let connection = match attempt.connection {
            AttemptConnection::None => "no connection".to_owned(),
            AttemptConnection::New => "new connection".to_owned(),
            AttemptConnection::Reused(idle) => format!("connection idle for {} ms", idle / MS),
        };
        let host = host_name(attempt.host);
        let (label, elapsed_ms) = (attempt.label(), attempt.elapsed / MS);
        let _ = write!(text, "{separator}{host}: {connection}, {label} after {elapsed_ms} ms");
    }
    text
}

/// A reason, and the label of the last attempt (empty if there was none).
type ReasonKey = (FailureReason, &'static str);

/// The number and the priority weight of requests.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requests: u64,
    weight: f64,
}

/// The statistics of the current period.
#[derive(Debug)]
pub(crate) struct FailureStats {
    started_at: Time,
    /// All requests of the period.
    total: Tally,
    failures: BTreeMap<ReasonKey, Tally>,
    lines: LineLimiter,
}

/// A token bucket that limits the lines about single requests.
#[derive(Debug)]
struct LineLimiter {
    available: f64,
    refilled_at: Time,
    /// Number of lines suppressed since the last one was written.
    suppressed: u64,
}

impl LineLimiter {
    fn new(now: Time) -> LineLimiter {
        LineLimiter { available: LINE_BURST, refilled_at: now, suppressed: 0 }
    }

    /// Returns the number of lines suppressed before this one if it may be written; otherwise `None`.
    fn admit(&mut self, now: Time) -> Option<u64> {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / SECOND as f64;
        self.refilled_at = now;
        self.available = (self.available + elapsed * LINES_PER_SECOND).min(LINE_BURST);
        if self.available < 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.available -= 1.0;
        Some(std::mem::take(&mut self.suppressed))
    }
}

impl FailureStats {
    /// Starts the first period.
    pub fn new(now: Time) -> FailureStats {
        FailureStats {
            started_at: now,
            total: Tally::default(),
            failures: BTreeMap::new(),
            lines: LineLimiter::new(now),
        }
    }

    /// Counts an arrived request of this priority weight.
    pub fn count_request(&mut self, weight: f64) {
        self.total.requests += 1;
        self.total.weight += weight;
    }

    /// Counts a request that missed its objective; `last` is its last attempt. If a line may be written about the
    /// request, returns the number of lines suppressed before.
    pub fn count_failure(
        &mut self,
        now: Time,
        reason: FailureReason,
        last: Option<&FailedAttempt>,
        weight: f64,
    ) -> Option<u64> {
        let key = (reason, last.map_or("", FailedAttempt::label));
        let tally = self.failures.entry(key).or_default();
        tally.requests += 1;
        tally.weight += weight;
        self.lines.admit(now)
    }

    /// Returns whether the period has ended.
    pub fn needs_summary(&self, now: Time) -> bool {
        now >= self.started_at + SUMMARY_PERIOD
    }

    /// Ends the period and starts the next one. Returns one line with the failures of the period, by descending weight;
    /// `None` if there were none.
    pub fn summary(&mut self, now: Time) -> Option<String> {
        let total = std::mem::take(&mut self.total);
        let failures = std::mem::take(&mut self.failures);
        self.started_at = now;
        let mut failures: Vec<(ReasonKey, Tally)> = failures.into_iter().collect();
        failures.sort_by(|(_, a), (_, b)| b.weight.total_cmp(&a.weight));
        let failed = failures.iter().fold(Tally::default(), |sum, (_, tally)| Tally {
            requests: sum.requests + tally.requests,
            weight: sum.weight + tally.weight,
        });
        (failed.requests > 0).then(|| summary_line(&total, &failed, &failures))
    }
}

fn summary_line(total: &Tally, failed: &Tally, failures: &[(ReasonKey, Tally)]) -> String {
    let percent = |weight: f64| 100.0 * weight / total.weight.max(weight).max(f64::MIN_POSITIVE);
    let (requests, all_requests) = (failed.requests, total.requests);
    let mut text = format!(
        "{:.1} % of the priority weight, {requests} of {all_requests} requests",
        percent(failed.weight)
    );
    for ((reason, last_attempt), tally) in failures.iter().take(MAX_NAMED) {
        let after = if last_attempt.is_empty() { String::new() } else { format!(" after {last_attempt}") };
        let share = percent(tally.weight);
        let _ = write!(text, "; {share:.1} % {}{after} ({})", reason.label(), tally.requests);
    }
    let others: f64 = failures.iter().skip(MAX_NAMED).map(|(_, tally)| tally.weight).sum();
    if others > 0.0 {
        let _ = write!(text, "; {:.1} % for other reasons", percent(others));
    }
    text
}

#[cfg(test)]
mod tests;
