//! Timers of a gateway, grouped into time steps.
//!
//! All timers of one step need a single wake-up of the gateway, and no pending timer is examined before it
//! expires.

use crate::api::{HostId, RequestId, Span, Time};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Granularity of expiry times, which are rounded up: short compared with any latency objective, long
/// compared with the processing time of one event.
pub(crate) const TIMER_STEP: Span = 20_000_000;

/// Interval between adjustments of reservations and concurrency limits.
pub(crate) const CONTROL_PERIOD: Span = 1_000_000_000;

/// The timers that the decision module sets.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    /// The control period has ended: reservations and concurrency limits are adjusted.
    ControlPeriod,
    /// The endpoint list has to be polled.
    PollHosts,
    /// A request has reached its maximum wait for units, or its token bucket may have refilled.
    UnitsWait(RequestId),
    /// A request queued for a slot may have become too late for its latency objective.
    QueueTimeout(RequestId),
    /// A host may have become available for requests that had none.
    RetryDispatch,
    /// An attempt, identified by its index, may be overdue.
    AttemptOverdue(RequestId, u32),
    /// A host may have warmed up.
    HostWarmUp(HostId),
    /// The state of a host may be removed.
    HostRemoval(HostId),
    /// The state of idle customers may be removed.
    CustomerExpiry,
    /// The next heartbeat to the other gateways has to be sent through the counter.
    Heartbeat,
    /// Units have to be reconciled with the counter.
    Reconciliation,
}

/// Pending timers ordered by step; timers of one step are in the order of scheduling.
#[derive(Debug)]
pub(crate) struct TimerQueue<T> {
    steps: BTreeMap<u64, Vec<T>>,
    /// The wake-up time last requested from the gateway.
    armed_for: Option<Time>,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue { steps: BTreeMap::new(), armed_for: None }
    }
}

impl<T> TimerQueue<T> {
    /// Schedules a timer that expires at `at`, rounded up to the next step.
    pub fn schedule(&mut self, at: Time, timer: T) {
        self.steps.entry(at.div_ceil(TIMER_STEP)).or_default().push(timer);
    }

    /// Removes and returns the timers of the earliest expired step; empty if no step has expired.
    #[must_use]
    pub fn pop_expired(&mut self, now: Time) -> Vec<T> {
        match self.steps.first_entry() {
            Some(first) if *first.key() <= now / TIMER_STEP => first.remove(),
            _ => Vec::new(),
        }
    }

    /// Records that the gateway has reported a wake-up.
    pub fn on_wake_up(&mut self, now: Time) {
        self.armed_for = self.armed_for.filter(|at| *at > now);
    }

    /// Returns the time until the next wake-up, or `None` if it has already been requested from the gateway.
    #[must_use]
    pub fn arm(&mut self, now: Time) -> Option<Span> {
        let next = self.steps.first_key_value().map(|(step, _)| step * TIMER_STEP)?;
        if self.armed_for.is_some_and(|at| at <= next) {
            return None;
        }
        self.armed_for = Some(next);
        Some(next.saturating_sub(now))
    }
}
