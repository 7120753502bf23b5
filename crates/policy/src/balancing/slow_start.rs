//! Slow start: the rate of attempts that hosts get while they warm up.
//!
//! The rate of attempts at a host that is warming up is limited to the observed response rate of warm hosts,
//! scaled by the host's current capacity. While too few hosts are warm, hosts that are warming up also get
//! attempts on credit: a response restores the credit immediately, since it shows that the host can serve
//! another attempt; otherwise the credit is restored over time.

use crate::api::{Settings, Span, Time};
use crate::time::{as_seconds, seconds_between};
use crate::timers::TIMER_STEP;

/// Maximum number of attempts on credit in flight at a host that has not responded yet, from all gateways
/// together. One core that is warming up can execute one attempt; three times as many make a host fail.
const MAX_ATTEMPTS_ON_CREDIT: f64 = 2.0;
/// Factor by which the response rate of warm hosts decays in a control period.
const DECAY_PER_PERIOD: f64 = 0.7;

/// Limits on the attempts of this gateway at a host that is warming up.
#[derive(Clone, Copy)]
pub(crate) struct SlowStartBudget {
    /// Response rate of a warm host to this gateway, per second.
    pub responses_per_second: f64,
    /// Rate at which credit is restored over time, in attempts per second.
    pub credit_per_second: f64,
    /// This gateway's share of the attempts on credit that may be in flight at a host.
    pub max_on_credit: f64,
}

impl SlowStartBudget {
    /// Returns the budget for the given response rate of a warm host. Credit is fully restored within the
    /// longest latency objective of all classes.
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

/// Returns this gateway's share of the attempts on credit that may be in flight at a host that is warming up,
/// from all gateways that forward to it. `subsets`: the number of disjoint subsets that together contain all
/// hosts.
pub(super) fn max_attempts_on_credit(settings: &Settings, subsets: f64) -> f64 {
    MAX_ATTEMPTS_ON_CREDIT * subsets / settings.gateways.max(1) as f64
}

/// Responses of warm hosts and the time for which hosts were warm, both decaying in each control period.
#[derive(Default)]
pub(crate) struct WarmHostRate {
    responses: f64,
    /// Sum over all hosts of the time for which they were warm and accepted requests, in seconds.
    host_seconds: f64,
    counted_until: Time,
}

impl WarmHostRate {
    /// Sets the time from which warm hosts are counted.
    pub fn start(&mut self, now: Time) {
        self.counted_until = now;
    }

    /// Records a response of a warm host.
    pub fn record_response(&mut self) {
        self.responses += 1.0;
    }

    /// Adds the time up to now, in which `warm_hosts` hosts were warm.
    pub fn count_until(&mut self, now: Time, warm_hosts: usize) {
        let elapsed = seconds_between(self.counted_until, now);
        self.counted_until = now;
        self.host_seconds += warm_hosts as f64 * elapsed;
    }

    /// Decays both sums at the end of a control period.
    pub fn decay(&mut self) {
        self.responses *= DECAY_PER_PERIOD;
        self.host_seconds *= DECAY_PER_PERIOD;
    }

    /// Returns the response rate of one warm host, per second.
    pub fn per_host(&self, now: Time, warm_hosts: usize) -> f64 {
        let host_seconds = self.host_seconds + warm_hosts as f64 * seconds_between(self.counted_until, now);
        self.responses / host_seconds.max(as_seconds(TIMER_STEP))
    }
}
