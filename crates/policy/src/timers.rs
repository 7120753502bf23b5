//! Timers of a gateway, grouped into steps of time.
//!
//! Timers of one step cost one wake-up of the gateway, and no pending timer is looked at before it expires.

use crate::api::{HostId, RequestId, Span, Time};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Expiry times are rounded up to a multiple of this: short against any latency objective, long against the
/// time that one event takes.
pub(crate) const TIMER_STEP: Span = 20_000_000;

/// Time between two adjustments of reservations and concurrency limits.
pub(crate) const CONTROL_PERIOD: Span = 1_000_000_000;

/// The timers that the decision module sets.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    /// The control period of the class reservations has ended.
    ControlPeriod,
    /// The endpoint list has to be polled.
    PollHosts,
    /// A request has waited for units long enough, or its token bucket may have filled.
    UnitsWait(RequestId),
    /// A request that is queued for a slot may be too late for its objective.
    QueueTimeout(RequestId),
    /// Requests without a host may find one.
    RetryDispatch,
    /// An attempt, given by its index, may be overdue.
    AttemptOverdue(RequestId, u32),
    /// A host may have warmed up.
    HostWarmUp(HostId),
    /// The state of a host may be removed.
    HostRemoval(HostId),
    /// The state of customers may be removed.
    CustomerExpiry,
    /// A heartbeat to the other gateways is due on the counter.
    Heartbeat,
    /// Units have to be reconciled with the counter.
    Reconciliation,
}

/// Pending timers in the order of their steps; those of one step in the order in which they were scheduled.
#[derive(Debug)]
pub(crate) struct TimerQueue<T> {
    steps: BTreeMap<u64, Vec<T>>,
    /// The wake-up that the gateway was last asked for.
    armed_for: Option<Time>,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue { steps: BTreeMap::new(), armed_for: None }
    }
}

impl<T> TimerQueue<T> {
    /// Schedules a timer that expires at this time, or up to a step later.
    pub fn schedule(&mut self, at: Time, timer: T) {
        self.steps.entry(at.div_ceil(TIMER_STEP)).or_default().push(timer);
    }

    /// Removes and returns the timers of the earliest step that has expired; none if no step has.
    #[must_use]
    pub fn pop_expired(&mut self, now: Time) -> Vec<T> {
        match self.steps.first_entry() {
            Some(first) if *first.key() <= now / TIMER_STEP => first.remove(),
            _ => Vec::new(),
        }
    }

    /// Notes that the gateway has woken the module up.
    pub fn on_wake_up(&mut self, now: Time) {
        self.armed_for = self.armed_for.filter(|at| *at > now);
    }

    /// Returns the time until the next wake-up if the gateway has yet to be asked for it.
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
