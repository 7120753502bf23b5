//! Suppresses log lines about transient states.

use runtime::{Span, Time};

/// Time between two samples. A new state is reported only if two consecutive samples agree: after a start and after an
/// outage of the counter it takes some seconds until the heartbeats of the other gateways have been received.
const SAMPLE_INTERVAL: Span = 4_000_000_000;

/// A state that is sampled at intervals. A new state is reported once, when two consecutive samples agree on it.
#[derive(Debug)]
pub(crate) struct DebouncedState<T> {
    reported: T,
    sampled: T,
    sampled_at: Time,
}

impl<T: Copy + PartialEq> DebouncedState<T> {
    /// Starts with a state that is not reported.
    pub fn new(state: T, now: Time) -> DebouncedState<T> {
        DebouncedState { reported: state, sampled: state, sampled_at: now }
    }

    /// Returns whether the next sample is needed.
    pub fn needs_sample(&self, now: Time) -> bool {
        now >= self.sampled_at.saturating_add(SAMPLE_INTERVAL)
    }

    /// Records a sample, and returns the state if it should be reported.
    pub fn sample(&mut self, now: Time, state: T) -> Option<T> {
        self.sampled_at = now;
        let is_stable = self.sampled == state;
        self.sampled = state;
        if !is_stable || self.reported == state {
            return None;
        }
        self.reported = state;
        Some(state)
    }
}

#[cfg(test)]
mod tests;
