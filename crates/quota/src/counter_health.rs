//! The health of the counter as this gateway observes it, over all customers: whether the counter answers, when to
//! retry one that does not, how many calls to make to one that has just recovered, and how often it was reset.

mod call_budget;
mod report;

use crate::membership::{FailureDetector, GatewaySet, HeartbeatCall, HEARTBEAT_INTERVAL};
use crate::time::{Span, Time, MILLISECOND};
use call_budget::CallBudget;
pub(crate) use report::LocalGrant;
pub use report::{CounterReport, CounterState, LocalGrants};

#[cfg(test)]
mod tests;

/// Backoff before the next call to a counter that does not answer, in nanoseconds.
pub const RETRY_INTERVAL: Span = 500 * MILLISECOND;
/// Spacing of the calls of all gateways together to a counter that does not answer, in nanoseconds: at most a hundred
/// calls per second.
const UNREACHABLE_CALL_SPACING: Span = 10 * MILLISECOND;
/// Consecutive calls without an answer, for any customers, after which the counter is considered unreachable.
const FAILURES_UNTIL_UNREACHABLE: u32 = 3;
/// Time after its recovery for which the counter is protected by the call budget, in nanoseconds.
const RECOVERY_TIME: Span = 3_000 * MILLISECOND;
/// Time after the recovery within which other gateways notice it; until then they may still grant units locally. In
/// nanoseconds.
const PEERS_NOTICE_RECOVERY_WITHIN: Span = RETRY_INTERVAL + 50 * MILLISECOND;
/// Signs of a reset within this time, in nanoseconds, count as signs of the same reset.
const SAME_RESET_WITHIN: Span = 1_000 * MILLISECOND;

/// Whether the counter answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connectivity {
    Reachable,
    Unreachable,
}

/// The state of the counter as observed by one gateway, over all customers.
#[derive(Clone, Debug)]
pub struct CounterHealth {
    failure_detector: FailureDetector,
    gateways: u32,
    connectivity: Connectivity,
    consecutive_failures: u32,
    retry_at: Time,
    /// When the counter last answered again after it was unreachable.
    recovered_at: Option<Time>,
    call_budget: CallBudget,
    last_reset_at: Option<Time>,
    counter_resets: u32,
    local_grants: LocalGrants,
}

impl CounterHealth {
    /// Returns the health of a counter that answers, for the gateway with this index in a fleet of `gateways`.
    pub fn new(gateway_index: u32, gateways: u32) -> CounterHealth {
        let fleet_size = gateways.max(1);
        CounterHealth {
            failure_detector: FailureDetector::new(gateway_index, gateways),
            gateways: fleet_size,
            connectivity: Connectivity::Reachable,
            consecutive_failures: 0,
            retry_at: 0,
            recovered_at: None,
            call_budget: CallBudget::new(fleet_size),
            last_reset_at: None,
            counter_resets: 0,
            local_grants: LocalGrants::default(),
        }
    }

    /// Returns the detector of the gateways that reach the same counter.
    pub(crate) fn failure_detector(&self) -> &FailureDetector {
        &self.failure_detector
    }

    /// Records that the counter has answered a call.
    pub fn record_answer(&mut self, now: Time) {
        if self.connectivity == Connectivity::Unreachable {
            self.connectivity = Connectivity::Reachable;
            self.recovered_at = Some(now);
            self.call_budget.empty(now);
        }
        self.consecutive_failures = 0;
    }

    /// Records that the counter has not answered a call, or has rejected it.
    pub fn record_failure(&mut self, now: Time) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures == FAILURES_UNTIL_UNREACHABLE {
            self.connectivity = Connectivity::Unreachable;
        }
        let spacing = Span::from(self.gateways) * UNREACHABLE_CALL_SPACING;
        self.retry_at = now + RETRY_INTERVAL.max(spacing);
    }

    /// Records that a call is made.
    pub fn record_call(&mut self, now: Time) {
        self.call_budget.take(now);
        self.retry_at = self.retry_at.max(now + RETRY_INTERVAL);
    }

    /// Returns whether the counter is unreachable and the backoff until the next call has not passed.
    pub fn is_backing_off(&self, now: Time) -> bool {
        self.connectivity == Connectivity::Unreachable && now < self.retry_at
    }

    /// Returns whether the counter has recovered so recently that other gateways may still grant units locally.
    pub(crate) fn is_just_recovered(&self, now: Time) -> bool {
        self.recovered_at.is_some_and(|recovered_at| now < recovered_at + PEERS_NOTICE_RECOVERY_WITHIN)
    }

    /// Returns whether a call that can wait must be deferred: the counter has recovered recently, and this gateway has
    /// used up its call budget.
    pub fn must_defer_calls(&self, now: Time) -> bool {
        let is_recovering = self.recovered_at.is_some_and(|recovered_at| now < recovered_at + RECOVERY_TIME);
        is_recovering && self.call_budget.available(now) < 1.0
    }

    /// Returns the number of background calls that may be made now.
    pub fn background_calls(&self, now: Time) -> usize {
        self.call_budget.available(now).max(0.0) as usize
    }

    /// Returns the calls of this heartbeat.
    pub fn heartbeat_calls(&mut self, now: Time) -> Vec<HeartbeatCall> {
        self.failure_detector.heartbeat_calls(now)
    }

    /// Returns the interval between two heartbeats of this gateway, in nanoseconds.
    pub fn heartbeat_interval(&self) -> Span {
        self.failure_detector.heartbeat_interval()
    }

    /// Returns the delay of the first heartbeat, in nanoseconds. It is zero in a small fleet. In a large one, whose
    /// heartbeats are slower, it is drawn with `random`, which returns a number from 0 to 1, so that gateways that
    /// start together do not send their heartbeats together.
    pub fn first_heartbeat_delay(&self, random: impl FnOnce() -> f64) -> Span {
        let slowdown = self.heartbeat_interval() - HEARTBEAT_INTERVAL;
        if slowdown > 0 {
            (slowdown as f64 * random()) as Span
        } else {
            0
        }
    }

    /// Records a lease for a customer of this gateway set, whose gateways are watched for a while from now on.
    pub fn record_lease(&mut self, now: Time, set: &GatewaySet) {
        self.failure_detector.watch_gateways(now, set);
    }

    /// Records a total of a group's heartbeat number. Returns whether it shows a reset that was not known yet.
    pub fn record_heartbeats(&mut self, now: Time, group: u32, epoch: u64, total: f64) -> bool {
        let shows_reset = self.failure_detector.record_total(now, group, epoch, total);
        shows_reset && self.record_reset(now)
    }

    /// Records a sign that the counter was reset. Returns whether that reset was not known yet.
    pub fn record_reset(&mut self, now: Time) -> bool {
        let is_new = self.last_reset_at.is_none_or(|last_reset_at| now > last_reset_at + SAME_RESET_WITHIN);
        if is_new {
            self.counter_resets += 1;
            self.last_reset_at = Some(now);
        }
        is_new
    }

    /// Returns whether the counter is known to have been reset since this time, or just before it.
    pub fn was_reset_since(&self, since: Time) -> bool {
        self.last_reset_at.is_some_and(|last_reset_at| last_reset_at + SAME_RESET_WITHIN > since)
    }

    /// Returns the time at which the latest reset was noticed.
    pub(crate) fn last_reset_at(&self) -> Option<Time> {
        self.last_reset_at
    }

    /// Records units that were granted to a customer without the counter.
    pub(crate) fn record_local_grant(&mut self, grant: &LocalGrant) {
        self.local_grants.record(grant);
    }

    /// Resets the local grants to zero.
    pub fn clear_local_grants(&mut self) {
        self.local_grants = LocalGrants::default();
    }

    /// Returns the counter's state and the local grants, for operators.
    pub fn report(&self, now: Time) -> CounterReport {
        let count = self.failure_detector.count_alive(now);
        let state = match self.connectivity {
            Connectivity::Unreachable => CounterState::Unreachable,
            Connectivity::Reachable if count.alive < count.gateways => {
                CounterState::Partitioned { alive: count.alive, gateways: count.gateways }
            }
            Connectivity::Reachable => CounterState::Complete,
        };
        CounterReport { state, counter_resets: self.counter_resets, local_grants: self.local_grants }
    }
}
