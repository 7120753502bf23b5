//! The calls that one gateway may make to a counter that has just recovered or was reset.

use crate::time::{seconds_between, Time};

/// Maximum calls per second of all gateways together.
const CALLS_PER_SECOND: f64 = 300.0;
/// Maximum number of calls that one gateway may save up: those of all gateways in a twentieth of a second.
const MAX_SAVED_CALLS: f64 = CALLS_PER_SECOND / 20.0;

/// A token bucket of calls, refilled at this gateway's part of the calls of all gateways.
#[derive(Clone, Debug)]
pub(super) struct CallBudget {
    calls: f64,
    updated_at: Time,
    calls_per_second: f64,
}

impl CallBudget {
    /// Returns the empty budget of one gateway in a fleet of `gateways`.
    pub(super) fn new(gateways: u32) -> CallBudget {
        CallBudget { calls: 0.0, updated_at: 0, calls_per_second: CALLS_PER_SECOND / f64::from(gateways) }
    }

    /// Returns the number of calls that may be made now; below zero if too many were made.
    pub(super) fn available(&self, now: Time) -> f64 {
        let refill = self.calls_per_second * seconds_between(self.updated_at, now);
        (self.calls + refill).min(MAX_SAVED_CALLS)
    }

    /// Takes one call out of the budget.
    pub(super) fn take(&mut self, now: Time) {
        self.calls = self.available(now) - 1.0;
        self.updated_at = now;
    }

    /// Empties the budget.
    pub(super) fn empty(&mut self, now: Time) {
        self.calls = 0.0;
        self.updated_at = now;
    }
}
