//! Slow start: the rate of attempts that hosts get while they warm up.
//!
//! A host is not sent more than warm hosts were observed to answer, scaled by its capacity so far. Where too
//! few hosts are warm, hosts that warm up also get attempts on credit: a response restores the credit at
//! once, for a host can repeat what it has done; otherwise time restores it.

use crate::api::{Settings, Span, Time};
use crate::time::{as_seconds, seconds_between};
use crate::timers::TIMER_STEP;

/// Attempts on credit that may be in flight at a host that has not responded yet, from all gateways. One core
/// that warms up executes one; a host fails at three times as much.
const MAX_ATTEMPTS_ON_CREDIT: f64 = 2.0;
/// Factor by which the response rate of warm hosts fades in a control period.
const DECAY_PER_PERIOD: f64 = 0.7;

/// What a host that warms up may get from this gateway.
#[derive(Clone, Copy)]
pub(crate) struct SlowStartBudget {
    /// Responses per second of a warm host to this gateway.
    pub responses_per_second: f64,
    /// Attempts per second for which time restores the credit.
    pub credit_per_second: f64,
    /// This gateway's part of the attempts on credit that may be in flight at a host.
    pub max_on_credit: f64,
}

impl SlowStartBudget {
    /// Returns the budget for this response rate of a warm host. The credit is restored within the longest
    /// latency objective of any class.
    pub fn new(settings: &Settings, responses_per_second: f64, subsets: f64) -> SlowStartBudget {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let longest_objective: Span = objectives.max().unwrap_or(0).max(TIMER_STEP);
        let max_on_credit = max_attempts_on_credit(settings, subsets);
        SlowStartBudget {
            responses_per_second,
            credit_per_second: max_on_credit / as_seconds(longest_objective),
            max_on_credit,
        }
    }
}

/// Returns this gateway's part of the attempts on credit that may be in flight at a host that warms up, from
/// all gateways that forward to it. `subsets`: the number of host subsets in which all hosts occur once.
pub(super) fn max_attempts_on_credit(settings: &Settings, subsets: f64) -> f64 {
    MAX_ATTEMPTS_ON_CREDIT * subsets / settings.gateways.max(1) as f64
}

/// Responses of warm hosts and the time for which hosts were warm, both fading by the control period.
#[derive(Default)]
pub(crate) struct WarmHostRate {
    responses: f64,
    /// Seconds that hosts were warm and accepted requests, added up over the hosts.
    host_seconds: f64,
    counted_until: Time,
}

impl WarmHostRate {
    /// Begins to count from now on.
    pub fn start(&mut self, now: Time) {
        self.counted_until = now;
    }

    /// Records a response of a warm host.
    pub fn record_response(&mut self) {
        self.responses += 1.0;
    }

    /// Counts the time up to now, in which this number of hosts was warm.
    pub fn count_until(&mut self, now: Time, warm_hosts: usize) {
        let elapsed = seconds_between(self.counted_until, now);
        self.counted_until = now;
        self.host_seconds += warm_hosts as f64 * elapsed;
    }

    /// Fades what was counted, at the end of a control period.
    pub fn decay(&mut self) {
        self.responses *= DECAY_PER_PERIOD;
        self.host_seconds *= DECAY_PER_PERIOD;
    }

    /// Returns the responses per second of one warm host.
    pub fn per_host(&self, now: Time, warm_hosts: usize) -> f64 {
        let host_seconds = self.host_seconds + warm_hosts as f64 * seconds_between(self.counted_until, now);
        self.responses / host_seconds.max(as_seconds(TIMER_STEP))
    }
}
