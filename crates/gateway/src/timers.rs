//! The timers of the gateway's event loop. A timer that is no longer needed is cancelled, so that it causes no wakeup.

use policy::api::Time;
use std::collections::BTreeSet;

/// A queue of timers, the earliest first. Timers with the same time expire in the order of `T`, so that the order is
/// deterministic.
#[derive(Debug)]
pub(crate) struct TimerQueue<T>(BTreeSet<(Time, T)>);

impl<T: Copy + Ord> TimerQueue<T> {
    /// Creates an empty queue.
    pub fn new() -> TimerQueue<T> {
        TimerQueue(BTreeSet::new())
    }

    /// Sets a timer that expires at `at`.
    pub fn set(&mut self, at: Time, timer: T) {
        self.0.insert((at, timer));
    }

    /// Cancels the timer that was set for `at`, if it has not expired.
    pub fn cancel(&mut self, at: Time, timer: T) {
        self.0.remove(&(at, timer));
    }

    /// Returns the time at which the earliest timer expires.
    pub fn next(&self) -> Option<Time> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes and returns the earliest timer if it has expired.
    pub fn pop_expired(&mut self, now: Time) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }

    /// Keeps only the timers for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        self.0.retain(|(_, timer)| keep(timer));
    }
}
