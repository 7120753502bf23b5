//! Detects that hosts are short of connections. A host accepts a limited number of connections, and each one that a
//! gateway keeps idle is unavailable to the other gateways. Therefore a gateway closes its connections after use while
//! hosts reject new ones. A gateway that already has a connection to a host sees no rejection there, so the rejections
//! of one host are assumed to apply to all hosts.

use policy::api::{Span, Time};

const MS: Span = 1_000_000;
/// A connection that closes this soon after it was established, and before a response, was rejected: a host at its
/// limit closes a connection immediately, while other failures occur at any time.
const REJECTION_TIME: Span = 2 * MS;
/// Weight of the latest connection in the moving average of rejections.
const WEIGHT: f64 = 0.05;
/// Connections also fail for other reasons: a fraction of rejections below this is ignored.
const PRESSURE_THRESHOLD: f64 = 0.1;
/// Pressure lasts at least this long. Closing connections after use relieves the shortage, so a shorter time would make
/// the gateway alternate between keeping and closing them.
const MIN_PRESSURE_TIME: Span = 60_000 * MS;

/// Tracks the outcomes of new connections.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionPressure {
    /// Moving average of the fraction of new connections that were rejected.
    rejected: f64,
    high_until: Time,
}

impl ConnectionPressure {
    /// Records the first response on a new connection.
    pub fn on_first_response(&mut self) {
        self.rejected -= WEIGHT * self.rejected;
    }

    /// Records that a new connection closed before its first response.
    pub fn on_unused_end(&mut self, now: Time, established_at: Time) {
        if now < established_at.saturating_add(REJECTION_TIME) {
            self.rejected += WEIGHT * (1.0 - self.rejected);
            if self.rejected >= PRESSURE_THRESHOLD {
                self.high_until = now.saturating_add(MIN_PRESSURE_TIME);
            }
        }
    }

    /// Returns whether connections should be closed after use.
    pub fn is_high(&self, now: Time) -> bool {
        now < self.high_until
    }
}

#[cfg(test)]
mod tests;
