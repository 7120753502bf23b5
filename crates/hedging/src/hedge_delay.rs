//! The expected value of an attempt, and the delay before a further one is sent.

use crate::latency_distribution::{LatencyDistribution, SurvivalFunction};

/// Fraction of responses still to come above which a further attempt is not considered, because most requests
/// would then need two attempts.
const MAX_RESPONSES_TO_COME: f64 = 0.5;
/// Minimum improvement of the expected value over the best delay so far. It prevents rounding errors from deciding
/// between delays of equal value.
const MIN_IMPROVEMENT: f64 = 1e-9;

/// Remaining time of a request, and the value of a response within it. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemainingTime {
    /// Time until the latency objective; negative once the objective is missed.
    pub until_objective: f64,
    /// Time until the deadline, after which the client no longer waits for the response.
    pub until_deadline: f64,
    /// Value of a response between objective and deadline, as a fraction of the value of one within the objective.
    pub late_fraction: f64,
}

/// A time until which a response has a value.
struct Cutoff {
    /// Value that is lost if the response arrives later, as a fraction of the value of a response within the objective.
    value: f64,
    /// Time until the cutoff, in seconds.
    remaining: f64,
    /// Probability that an attempt that is sent now gets a response before the cutoff.
    response_probability: f64,
}

/// The probability of a response within a given time, with lost attempts taken into account.
struct ResponseCurve<'a> {
    latencies: SurvivalFunction<'a>,
    loss_rate: f64,
}

impl ResponseCurve<'_> {
    /// Returns the probability that an attempt gets a response within this time.
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
    /// the latency objective. `loss_rate` is the fraction of attempts that never get a response.
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

    /// Returns the delay in seconds after which a further attempt is sent beside an attempt that is sent now. If it
    /// equals `remaining.until_deadline`, no further attempt is sent.
    ///
    /// `loss_rate` is the fraction of attempts that never get a response. `attempt_cost` is the cost of a further
    /// attempt as a fraction of the value of a response within the latency objective.
    ///
    /// The delay maximizes the expected value of the responses, less the cost of the further attempt multiplied by the
    /// probability that it is sent. The further attempt is assumed to help if the first one is lost, but not if it is
    /// slow: a request that takes a long time at one host takes as long at another.
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
            // The expected gain of a further attempt is at most the loss rate.
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
