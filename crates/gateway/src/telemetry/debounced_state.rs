//! Suppresses log lines about states that do not last.

use runtime::{Span, Time};

/// Time between two samples. A state that differs between them is not reported: after a start and after an outage of the
/// counter it takes some seconds until the other gateways' heartbeats have been seen.
const SAMPLE_INTERVAL: Span = 4_000_000_000;

/// A state that is sampled at intervals, and reported once when two samples in a row agree on a new one.
#[derive(Debug)]
pub(crate) struct DebouncedState<T> {
    reported: T,
    sampled: T,
    sampled_at: Time,
}

impl<T: Copy + PartialEq> DebouncedState<T> {
    /// Starts with a state that needs no report.
    pub fn new(state: T, now: Time) -> DebouncedState<T> {
        DebouncedState { reported: state, sampled: state, sampled_at: now }
    }

    /// Returns whether the next sample should be taken.
    pub fn needs_sample(&self, now: Time) -> bool {
        now >= self.sampled_at.saturating_add(SAMPLE_INTERVAL)
    }

    /// Takes a sample, and returns the state if it is to be reported.
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
