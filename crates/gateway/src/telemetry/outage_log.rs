//! Limits the rate of log lines about a peer's outages: one at once, further ones at growing intervals, and one at the
//! end. A peer that fails and recovers all night does not fill the log either.

use policy::api::{Span, Time};

const SECOND: Span = 1_000_000_000;
/// Time between the first two lines about an outage; it doubles with each further one.
const FIRST_PAUSE: Span = 10 * SECOND;
const LONGEST_PAUSE: Span = 600 * SECOND;
/// After this long without a failure the next one counts as a new outage.
const STABLE: Span = 60 * SECOND;

/// The outages of one peer.
#[derive(Debug, Default)]
pub(crate) struct OutageLog {
    /// Since when the peer has been unreachable.
    since: Option<Time>,
    /// Whether a line was written about the current outage.
    is_logged: bool,
    silent_until: Time,
    pause: Span,
    last_failure: Time,
}

impl OutageLog {
    /// Returns whether the peer is unreachable.
    pub fn is_ongoing(&self) -> bool {
        self.since.is_some()
    }

    /// Records a failure. Returns how long the outage has lasted if a line is to be written.
    pub fn on_failure(&mut self, now: Time) -> Option<Span> {
        if now.saturating_sub(self.last_failure) > STABLE {
            self.pause = 0;
            self.silent_until = 0;
        }
        self.last_failure = now;
        let since = *self.since.get_or_insert(now);
        if now < self.silent_until {
            return None;
        }
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.silent_until = now + self.pause;
        self.is_logged = true;
        Some(now - since)
    }

    /// Records a success. Returns how long the outage lasted if a line is to be written.
    pub fn on_recovery(&mut self, now: Time) -> Option<Span> {
        let since = self.since.take()?;
        let was_logged = std::mem::take(&mut self.is_logged);
        was_logged.then_some(now - since)
    }
}

#[cfg(test)]
mod tests;
