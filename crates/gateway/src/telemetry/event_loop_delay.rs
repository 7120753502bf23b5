//! Measures the delay of the gateway's event loop: the time between the arrival of an event and its processing.
//!
//! A machine that gives the gateway too little of a core shows only here; hosts, counter and clients all seem slow then.

use policy::api::{Span, Time};

const MS: Span = 1_000_000;
/// A delay above this is reported: a sixth of the shortest latency objective of a usual deployment.
const REPORTED_DELAY: Span = 100 * MS;
/// The event loop has recovered after this long without a reported delay.
const RECOVERY: Span = 5_000 * MS;
/// Time between the first two reports; it doubles with each further one.
const FIRST_PAUSE: Span = 10_000 * MS;
const LONGEST_PAUSE: Span = 600_000 * MS;

/// What is to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DelayReport {
    /// Events are delayed: the longest delay since the previous report.
    Delayed(Span),
    /// Events are no longer delayed: how long they were.
    Recovered(Span),
}

/// Decides when the delay of the event loop is logged: at once, then at growing intervals, and once at its end.
#[derive(Debug, Default)]
pub(crate) struct EventLoopDelay {
    delayed_since: Option<Time>,
    last_delayed: Time,
    /// The longest delay since the previous report.
    longest: Span,
    silent_until: Time,
    pause: Span,
}

impl EventLoopDelay {
    /// Takes in that an event which arrived at `arrived_at` is processed now.
    pub fn observe(&mut self, now: Time, arrived_at: Time) -> Option<DelayReport> {
        let delay = now.saturating_sub(arrived_at);
        if delay <= REPORTED_DELAY {
            return self.recover(now);
        }
        self.delayed_since.get_or_insert(arrived_at);
        self.last_delayed = now;
        self.longest = self.longest.max(delay);
        if now < self.silent_until {
            return None;
        }
        self.pause = (2 * self.pause).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.silent_until = now + self.pause;
        Some(DelayReport::Delayed(std::mem::take(&mut self.longest)))
    }

    fn recover(&mut self, now: Time) -> Option<DelayReport> {
        let delayed_since = self.delayed_since?;
        if now.saturating_sub(self.last_delayed) < RECOVERY {
            return None;
        }
        *self = EventLoopDelay::default();
        Some(DelayReport::Recovered(now.saturating_sub(delayed_since)))
    }
}

#[cfg(test)]
mod tests;
