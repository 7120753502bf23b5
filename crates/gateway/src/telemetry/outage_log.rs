//! Limits the rate of log lines about a peer's outages: one immediately, further ones at growing intervals, and one at
//! the end. The limit also holds for a peer that fails and recovers repeatedly for hours.

use policy::api::{Span, Time};

const SECOND: Span = 1_000_000_000;
/// Time between the first two lines about an outage; it doubles with each further line.
const INITIAL_LOG_INTERVAL: Span = 10 * SECOND;
const MAX_LOG_INTERVAL: Span = 600 * SECOND;
/// After this long without a failure, the next failure is logged immediately as a new outage.
const STABLE_PERIOD: Span = 60 * SECOND;

/// The outages of one peer.
#[derive(Debug, Default)]
pub(crate) struct OutageLog {
    /// Time since which the peer has been unreachable.
    since: Option<Time>,
    /// Whether a line was written about the current outage.
    is_logged: bool,
    suppressed_until: Time,
    log_interval: Span,
    last_failure: Time,
}

impl OutageLog {
    /// Returns whether an outage is ongoing.
    pub fn is_ongoing(&self) -> bool {
        self.since.is_some()
    }

    /// Records a failure. Returns the duration of the outage so far if a line should be written.
    pub fn on_failure(&mut self, now: Time) -> Option<Span> {
        if now.saturating_sub(self.last_failure) > STABLE_PERIOD {
            self.log_interval = 0;
            self.suppressed_until = 0;
        }
        self.last_failure = now;
        let since = *self.since.get_or_insert(now);
        if now < self.suppressed_until {
            return None;
        }
        self.log_interval = (self.log_interval * 2).clamp(INITIAL_LOG_INTERVAL, MAX_LOG_INTERVAL);
        self.suppressed_until = now + self.log_interval;
        self.is_logged = true;
        Some(now - since)
    }

    /// Records a success. Returns the duration of the outage if a line should be written.
    pub fn on_recovery(&mut self, now: Time) -> Option<Span> {
        let since = self.since.take()?;
        let was_logged = std::mem::take(&mut self.is_logged);
        was_logged.then_some(now - since)
    }
}

#[cfg(test)]
mod tests;
