//! The decision: what an attempt is worth, and how long to wait for it before a further one is sent.

use crate::latency_distribution::{LatencyDistribution, SurvivalFunction};

/// Fraction of responses still to come above which a further attempt is not considered: most attempts would be
/// doubled.
const MAX_RESPONSES_TO_COME: f64 = 0.5;
/// Improvement of the expected value that a delay needs over the best one so far. It keeps rounding errors from
/// deciding between delays that are equally good.
const MIN_IMPROVEMENT: f64 = 1e-9;

/// How much time a request has left, and what a response is worth in it. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemainingTime {
    /// Time until the latency objective; below 0 once it is missed.
    pub until_objective: f64,
    /// Time until the deadline, after which nobody waits for the response any more.
    pub until_deadline: f64,
    /// Value of a response between objective and deadline, as a fraction of the value of one within the objective.
    pub late_fraction: f64,
}

/// A moment up to which a response has a value.
struct Cutoff {
    /// Value that is lost if the response comes later, as a fraction of the value of a response within the objective.
    value: f64,
    /// Time until the cutoff, in seconds.
    remaining: f64,
    /// Probability that an attempt that is sent now gets a response before the cutoff.
    response_probability: f64,
}

/// The probability of a response within a given time, lost attempts included.
struct ResponseCurve<'a> {
    latencies: SurvivalFunction<'a>,
    loss_rate: f64,
}

impl ResponseCurve<'_> {
    /// Returns the probability that an attempt gets a response within this many seconds.
    fn probability_within(&self, seconds: f64) -> f64 {
        (1.0 - self.loss_rate) * (1.0 - self.latencies.fraction_above(seconds))
    }

    /// Returns the objective and the deadline as cutoffs.
    fn cutoffs(&self, remaining: RemainingTime) -> [Cutoff; 2] {
        let cutoff = |value, remaining| Cutoff {
            value,
            remaining,
            response_probability: self.probability_within(remaining),
        };
        let late_fraction = remaining.late_fraction;
        [
            cutoff(1.0 - late_fraction, remaining.until_objective),
            cutoff(late_fraction, remaining.until_deadline),
        ]
    }
}

impl LatencyDistribution {
    /// Returns the expected value of an attempt that is sent now, as a fraction of the value of a response within
    /// the latency objective. `loss_rate` is the fraction of attempts that never gets a response.
    #[must_use]
    pub fn value_of_attempt(&self, remaining: RemainingTime, loss_rate: f64) -> f64 {
        let probability_within = |seconds: f64| {
            if seconds > 0.0 {
                (1.0 - loss_rate) * (1.0 - self.fraction_above(seconds))
            } else {
                0.0
            }
        };
        (1.0 - remaining.late_fraction) * probability_within(remaining.until_objective)
            + remaining.late_fraction * probability_within(remaining.until_deadline)
    }

    /// Returns for how many seconds to wait for an attempt that is sent now before a further one is sent beside it.
    /// A result of `remaining.until_deadline` means that none is sent.
    ///
    /// `loss_rate` is the fraction of attempts that never gets a response. `attempt_cost` is the cost of a further
    /// attempt as a fraction of the value of a response within the latency objective.
    ///
    /// Of all delays it is the one with the highest expected value of the responses, less the cost of the further
    /// attempt times the probability that it is sent. The further attempt is assumed to help where the first one was
    /// lost, and not where the first one is slow: a request that takes one host long takes another one as long.
    #[must_use]
    pub fn hedge_delay(&self, remaining: RemainingTime, loss_rate: f64, attempt_cost: f64) -> f64 {
        if !self.has_enough_samples() || loss_rate <= 0.0 {
            return remaining.until_deadline;
        }
        let curve = ResponseCurve { latencies: self.survival_function(), loss_rate };
        let cutoffs = curve.cutoffs(remaining);
        let mut best_delay = remaining.until_deadline;
        let mut best_value: f64 =
            cutoffs.iter().map(|cutoff| cutoff.value * cutoff.response_probability).sum();
        for (delay, fraction_above) in curve.latencies.points() {
            if delay >= remaining.until_deadline {
                break;
            }
            let probability_sent = 1.0 - (1.0 - loss_rate) * (1.0 - fraction_above);
            let cost = attempt_cost * probability_sent;
            // The further attempt gains at most what the first one loses.
            if fraction_above > MAX_RESPONSES_TO_COME || cost >= loss_rate {
                continue;
            }
            let value_by = |cutoff: &Cutoff| {
                let further = curve.probability_within(cutoff.remaining - delay);
                cutoff.value * (cutoff.response_probability + loss_rate * further)
            };
            let value = cutoffs.iter().map(value_by).sum::<f64>() - cost;
            if value > best_value + MIN_IMPROVEMENT {
                best_value = value;
                best_delay = delay;
            }
        }
        best_delay
    }
}
