//! A token bucket: it starts full and refills at a fixed rate up to its burst.

use cluster_model::Time;

/// Tolerance in units for the rounding errors of floating-point sums.
const ROUNDING: f64 = 1e-6;

#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    /// Units a second.
    rate: f64,
    burst: f64,
    available: f64,
    updated_at: Time,
}

impl TokenBucket {
    pub(crate) fn new(rate: f64, burst: f64, now: Time) -> TokenBucket {
        TokenBucket { rate, burst, available: burst, updated_at: now }
    }

    /// Returns the units available now; negative if more were taken than were available.
    pub(crate) fn available(&mut self, now: Time) -> f64 {
        let span = now.saturating_sub(self.updated_at) as f64 / 1e9;
        self.updated_at = self.updated_at.max(now);
        self.available = (self.available + self.rate * span).min(self.burst);
        self.available
    }

    pub(crate) fn has(&mut self, now: Time, units: f64) -> bool {
        self.available(now) + ROUNDING >= units
    }

    /// Takes units, or returns them if `units` is negative.
    pub(crate) fn take(&mut self, now: Time, units: f64) {
        self.available = self.available(now) - units;
    }
}
