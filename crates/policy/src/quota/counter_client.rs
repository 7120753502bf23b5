//! What this gateway knows of the counter service, and its calls in flight.

use super::counter_keys::CounterNumber;
use super::reconciliation::ReconciliationQueue;
use crate::api::{CounterKey, Outcome, Settings, Span, Time};
use ::quota::CounterHealth;
use std::collections::HashMap;

/// Bounds of the probability that a request under windowed admission calls the counter.
const MIN_CALL_PROBABILITY: f64 = 0.05;
const MAX_CALL_PROBABILITY: f64 = 1.0;
/// That probability at the start.
const INITIAL_CALL_PROBABILITY: f64 = 0.3;
/// Factor on it after a reply that took a small part of the timeout.
const INCREASE: f64 = 1.1;
/// Factor on it after a slow reply or an error.
const DECREASE: f64 = 0.9;
/// Factor on it after a timeout.
const DECREASE_ON_TIMEOUT: f64 = 0.75;
/// Fraction of the timeout from which on a reply shows that the counter has no spare capacity.
const SLOW_REPLY: f64 = 0.4;

/// The counter service as seen from this gateway.
pub(crate) struct CounterClient {
    /// Whether the counter is reachable, and which gateways reach it.
    pub health: CounterHealth,
    /// The numbers of calls in flight.
    pub pending_calls: HashMap<CounterKey, CounterNumber, rustc_hash::FxBuildHasher>,
    /// Units that have yet to be added to the counter.
    pub reconciliation: ReconciliationQueue,
    /// Probability that a request under windowed admission calls the counter.
    pub call_probability: f64,
    /// There is a counter, and a plan with a limit.
    pub is_used: bool,
    /// There is a counter.
    exists: bool,
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
            exists: settings.has_counter,
            timeout: settings.counter_timeout,
        }
    }

    /// Returns whether there is no counter, or several calls in a row failed and the next one is not due.
    pub fn is_down(&self, now: Time) -> bool {
        !self.exists || self.health.is_backing_off(now)
    }

    /// Takes in the end of a call. The probability of calls follows the capacity that the counter shows.
    pub fn record_reply(&mut self, now: Time, outcome: Outcome, is_success: bool, elapsed: Span) {
        let is_quick = is_success && (elapsed as f64) < SLOW_REPLY * self.timeout as f64;
        let factor = if is_quick {
            INCREASE
        } else if outcome == Outcome::Timeout {
            DECREASE_ON_TIMEOUT
        } else {
            DECREASE
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
