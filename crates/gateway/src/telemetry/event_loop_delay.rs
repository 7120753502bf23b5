//! Measures the delay of the gateway's event loop: the time between the arrival of an event and its processing.
//!
//! If the machine gives the gateway too little CPU time, hosts, the counter and clients all appear slow; only this
//! delay shows the cause.

use policy::api::{Span, Time};

const MS: Span = 1_000_000;
/// A delay above this is reported: a sixth of the shortest latency objective of a typical deployment.
const REPORTED_DELAY: Span = 100 * MS;
/// The event loop has recovered after this long without a reported delay.
const RECOVERY_PERIOD: Span = 5_000 * MS;
/// Time between the first two reports; it doubles with each further report.
const INITIAL_REPORT_INTERVAL: Span = 10_000 * MS;
const MAX_REPORT_INTERVAL: Span = 600_000 * MS;

/// A report to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DelayReport {
    /// Events are delayed: the longest delay since the previous report.
    Delayed(Span),
    /// Events are no longer delayed: the duration of the delays.
    Recovered(Span),
}

/// Decides when the delay of the event loop is logged: at once, then at growing intervals, and once at its end.
#[derive(Debug, Default)]
pub(crate) struct EventLoopDelay {
    delayed_since: Option<Time>,
    last_delayed: Time,
    /// The longest delay since the previous report.
    longest: Span,
    suppressed_until: Time,
    report_interval: Span,
}

impl EventLoopDelay {
    /// Records that an event which arrived at `arrived_at` is processed now. Returns the report to be logged, if any.
    pub fn observe(&mut self, now: Time, arrived_at: Time) -> Option<DelayReport> {
        let delay = now.saturating_sub(arrived_at);
        if delay <= REPORTED_DELAY {
            return self.recover(now);
        }
        self.delayed_since.get_or_insert(arrived_at);
        self.last_delayed = now;
        self.longest = self.longest.max(delay);
        if now < self.suppressed_until {
            return None;
        }
        self.report_interval = (2 * self.report_interval).clamp(INITIAL_REPORT_INTERVAL, MAX_REPORT_INTERVAL);
        self.suppressed_until = now + self.report_interval;
        Some(DelayReport::Delayed(std::mem::take(&mut self.longest)))
    }

    fn recover(&mut self, now: Time) -> Option<DelayReport> {
        let delayed_since = self.delayed_since?;
        if now.saturating_sub(self.last_delayed) < RECOVERY_PERIOD {
            return None;
        }
        *self = EventLoopDelay::default();
        Some(DelayReport::Recovered(now.saturating_sub(delayed_since)))
    }
}

#[cfg(test)]
mod tests;
