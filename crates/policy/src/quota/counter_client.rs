//! The client of the counter service: its health, and the calls in flight.

use super::counter_keys::CounterEntry;
use super::reconciliation::ReconciliationQueue;
use crate::api::{CounterKey, Outcome, Settings, Span, Time};
use ::quota::CounterHealth;
use std::collections::HashMap;

/// Bounds of the probability that a request under windowed admission calls the counter.
const MIN_CALL_PROBABILITY: f64 = 0.05;
const MAX_CALL_PROBABILITY: f64 = 1.0;
/// Initial value of that probability.
const INITIAL_CALL_PROBABILITY: f64 = 0.3;
/// Factor on that probability after a quick reply.
const INCREASE_FACTOR: f64 = 1.1;
/// Factor on that probability after a slow reply or an error.
const DECREASE_FACTOR: f64 = 0.9;
/// Factor on that probability after a timeout.
const DECREASE_FACTOR_ON_TIMEOUT: f64 = 0.75;
/// Latency of a reply, as a fraction of the timeout, at and above which the counter has no spare capacity.
const SLOW_REPLY_FRACTION: f64 = 0.4;

/// State of this gateway's client of the counter service.
pub(crate) struct CounterClient {
    /// Reachability of the counter from this gateway and from the others.
    pub health: CounterHealth,
    /// Entries that calls in flight add to, by key.
    pub pending_calls: HashMap<CounterKey, CounterEntry, rustc_hash::FxBuildHasher>,
    /// Customers with units that have not been added to the counter yet.
    pub reconciliation: ReconciliationQueue,
    /// Probability that a request under windowed admission calls the counter.
    pub call_probability: f64,
    /// A counter service is configured, and a plan has a limit.
    pub is_used: bool,
    /// A counter service is configured.
    is_configured: bool,
    timeout: Span,
}

impl CounterClient {
    /// Returns the client of a gateway that has just started.
    pub fn new(settings: &Settings) -> CounterClient {
        let has_limits = settings.plans.iter().any(|plan| plan.rate > 0.0 || plan.ceiling_rate > 0.0);
        CounterClient {
            health: CounterHealth::new(settings.gateway_index, settings.gateways),
            pending_calls: HashMap::default(),
            reconciliation: ReconciliationQueue::default(),
            call_probability: INITIAL_CALL_PROBABILITY,
            is_used: settings.has_counter && has_limits,
            is_configured: settings.has_counter,
            timeout: settings.counter_timeout,
        }
    }

    /// Returns whether there is no counter, or several consecutive calls failed and the backoff has not
    /// expired.
    pub fn is_down(&self, now: Time) -> bool {
        !self.is_configured || self.health.is_backing_off(now)
    }

    /// Records the end of a call, and adapts the call probability to the capacity of the counter.
    pub fn record_reply(&mut self, now: Time, outcome: Outcome, is_success: bool, elapsed: Span) {
        let is_quick = is_success && (elapsed as f64) < SLOW_REPLY_FRACTION * self.timeout as f64;
        let factor = if is_quick {
            INCREASE_FACTOR
        } else if outcome == Outcome::Timeout {
            DECREASE_FACTOR_ON_TIMEOUT
        } else {
            DECREASE_FACTOR
        };
        let probability = self.call_probability * factor;
        self.call_probability = probability.clamp(MIN_CALL_PROBABILITY, MAX_CALL_PROBABILITY);
        if is_success {
            self.health.record_answer(now);
        } else {
            self.health.record_failure(now);
        }
    }
}
