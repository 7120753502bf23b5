//! The minimum time between two recoveries of a site. It limits how often a site that fails repeatedly gains and loses
//! its load.

use policy::api::{Span, Time};

use crate::time::SECOND;

/// Minimum time between the starts of two recoveries; it doubles after each recovery that failed.
const MIN_INTERVAL: Span = 60 * SECOND;
/// Upper bound of that time. A site that has been healthy for this long starts from [`MIN_INTERVAL`] again.
const MAX_INTERVAL: Span = 480 * SECOND;

/// Exponential backoff of a site's recoveries.
#[derive(Clone, Debug)]
pub(crate) struct RecoveryBackoff {
    last_started: Option<Time>,
    interval: Span,
}

impl RecoveryBackoff {
    /// Returns the backoff of a site that has never recovered.
    pub fn new() -> RecoveryBackoff {
        RecoveryBackoff { last_started: None, interval: MIN_INTERVAL }
    }

    /// Returns whether the minimum time since the last recovery has passed, so that another one may start.
    pub fn has_expired(&self, now: Time) -> bool {
        self.last_started.is_none_or(|started| now >= started + self.interval)
    }

    /// Records that a recovery starts.
    pub fn on_recovery_started(&mut self, now: Time) {
        self.last_started = Some(now);
    }

    /// Records that the site is lost, which doubles the interval if it is lost during a recovery or soon after.
    pub fn on_lost(&mut self, now: Time, is_recovering: bool) {
        if is_recovering || !self.has_expired(now) {
            self.interval = (2 * self.interval).min(MAX_INTERVAL);
        }
    }

    /// Resets the interval of a site that has been healthy for long enough.
    pub fn on_healthy(&mut self, now: Time, healthy_since: Time) {
        if healthy_since + MAX_INTERVAL <= now {
            self.interval = MIN_INTERVAL;
        }
    }
}
