//! Detects that hosts are short of connections. A host accepts only so many, and each that a gateway keeps idle is one that
//! the other gateways lack: where hosts reject new ones, this gateway closes its own after use. Gateways that hold one
//! at a host are not rejected there, so what one host shows is taken to hold for all.

use policy::api::{Span, Time};

const MS: Span = 1_000_000;
/// A connection that ends this soon after it was established, and before a response, was rejected: a host at its limit can
/// say so at once, while what breaks under a request does so at any time.
const REJECTION_TIME: Span = 2 * MS;
/// Weight of the latest connection in the moving average of rejections.
const WEIGHT: f64 = 0.05;
/// Connections also break for other reasons: a fraction of rejections below this means nothing.
const PRESSURE_THRESHOLD: f64 = 0.1;
/// Pressure holds for this long: once connections are closed after use they are no longer short, which must not bring it
/// about again.
const HOLD_TIME: Span = 60_000 * MS;

/// The outcomes of new connections.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionPressure {
    /// Moving average of the fraction of new connections that were rejected.
    rejected: f64,
    holds_until: Time,
}

impl ConnectionPressure {
    /// Records that a new connection brought its first response.
    pub fn on_first_response(&mut self) {
        self.rejected -= WEIGHT * self.rejected;
    }

    /// Records that a new connection ended before its first response.
    pub fn on_unused_end(&mut self, now: Time, established_at: Time) {
        if now < established_at.saturating_add(REJECTION_TIME) {
            self.rejected += WEIGHT * (1.0 - self.rejected);
            if self.rejected >= PRESSURE_THRESHOLD {
                self.holds_until = now.saturating_add(HOLD_TIME);
            }
        }
    }

    /// Returns whether connections are to be closed after use.
    pub fn is_high(&self, now: Time) -> bool {
        now < self.holds_until
    }
}

#[cfg(test)]
mod tests;
