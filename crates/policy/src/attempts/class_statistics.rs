//! Statistics of the attempts of a class: latencies, failures, and how often responses are lost.

use crate::api::{AttemptEnded, Outcome, Span};
use crate::balancing::host::Host;
use crate::concurrency::baseline_latency::BaselineLatency;
use crate::concurrency::unloaded_latency::UnloadedLatency;
use crate::time::as_seconds;
use hedging::{LatencyDistribution, LossRate};
use libm::pow;

/// Ratio of the mean to the geometric mean of exponentially distributed times, e^γ with Euler's constant γ.
const MEAN_PER_GEOMETRIC_MEAN: f64 = 1.78;
/// EWMA weight of a response in the logarithm of the typical latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.05;
/// EWMA weight of an attempt in the failure fraction.
const FAILURE_EWMA_WEIGHT: f64 = 0.05;
/// Lower bound of latencies, in seconds, so that logarithms and ratios stay finite.
const MIN_LATENCY_SECONDS: f64 = 1e-6;

/// Prior of the loss rate (fraction of attempts without a response) of a new class.
const PRIOR_LOSS: f64 = 0.005;
/// Weight of this prior, in attempts of the class.
const PRIOR_ATTEMPTS_OF_CLASS: f64 = 50.0;
/// Weight of the class's loss rate as prior of a host's, in attempts at the host.
const PRIOR_ATTEMPTS_OF_HOST: f64 = 60.0;
/// Prior of the loss rate of overdue attempts of a new class.
const PRIOR_OVERDUE_LOSS: f64 = 0.0;
/// Weight of this prior, in overdue attempts.
const PRIOR_OVERDUE_ATTEMPTS: f64 = 6.0;

/// Statistics of the attempts of one class.
#[derive(Default)]
pub(crate) struct ClassStatistics {
    /// Typical latency in seconds: a smoothed geometric mean, scaled to the mean of exponentially distributed
    /// times. Rare long responses have little influence on it.
    pub typical_latency: f64,
    baseline: BaselineLatency,
    unloaded: UnloadedLatency,
    /// Distribution of response times, in seconds, normalised to a host of typical speed.
    pub response_times: LatencyDistribution,
    /// Fraction of attempts without a response.
    loss_rate: LossRate,
    /// Fraction of overdue attempts without a response.
    overdue_loss_rate: LossRate,
    /// Fraction of recent attempts that failed.
    pub failure_fraction: f64,
}

/// Expected behaviour of an attempt at a host.
pub(crate) struct Expectation {
    /// Latency as a multiple of the typical latency, at least 1.
    pub latency_ratio: f64,
    /// Probability that the response is lost.
    pub loss_probability: f64,
}

/// Latency of a response, relative to those of its class.
pub(crate) struct LatencyComparison {
    /// Multiple of the baseline latency.
    pub baseline_ratio: f64,
    /// Multiple of the typical latency.
    pub typical_ratio: f64,
    /// Natural logarithm of the ratio to the latency at unloaded hosts.
    pub log_unloaded_ratio: f64,
}

impl ClassStatistics {
    /// Returns the expected latency and loss probability of an attempt at a host.
    pub fn expectation(&self, host: Option<&Host>) -> Expectation {
        let class_loss_probability = self.loss_rate.estimate(PRIOR_LOSS, PRIOR_ATTEMPTS_OF_CLASS);
        let Some(host) = host else {
            return Expectation { latency_ratio: 1.0, loss_probability: class_loss_probability };
        };
        Expectation {
            latency_ratio: (1.0 + host.excess_latency).max(1.0),
            loss_probability: host.loss_rate.estimate(class_loss_probability, PRIOR_ATTEMPTS_OF_HOST),
        }
    }

    /// Records whether an attempt failed.
    pub fn record_result(&mut self, has_failed: bool) {
        self.failure_fraction +=
            FAILURE_EWMA_WEIGHT * (f64::from(u8::from(has_failed)) - self.failure_fraction);
    }

    /// Records the end of an attempt in the response times and loss rates.
    pub fn record_end(&mut self, host: &mut Host, end: &AttemptEnded, is_overdue: bool) {
        let seconds = as_seconds(end.elapsed) / (1.0 + host.excess_latency).max(1.0);
        let loss = match end.outcome {
            Outcome::Ok => 0.0,
            Outcome::Timeout => 1.0,
            // A reset of an overdue attempt counts as a lost response; a corrupt or truncated response
            // arrived in time and does not.
            Outcome::ConnectionReset => f64::from(u8::from(is_overdue)),
            // The outcome of an overdue attempt that was cancelled is unknown; it counts with the average
            // loss rate of overdue attempts.
            Outcome::Cancelled if is_overdue => {
                self.overdue_loss_rate.estimate(PRIOR_OVERDUE_LOSS, PRIOR_OVERDUE_ATTEMPTS)
            }
            _ => return,
        };
        match end.outcome {
            Outcome::Ok => self.response_times.record_response(seconds),
            Outcome::Cancelled => self.response_times.record_abandoned(seconds, loss),
            _ => {}
        }
        if is_overdue && end.outcome != Outcome::Cancelled {
            self.overdue_loss_rate.record(loss);
        }
        self.loss_rate.record(loss);
        host.loss_rate.record(loss);
    }

    /// Records the latency of a response, and returns it relative to those of the class. `utilisation` is the
    /// fraction of this gateway's share of the host's slots that was in use when the attempt was sent.
    pub fn record_latency(&mut self, elapsed: Span, utilisation: f64) -> LatencyComparison {
        let mean = MEAN_PER_GEOMETRIC_MEAN * as_seconds(elapsed).max(MIN_LATENCY_SECONDS);
        if self.typical_latency == 0.0 {
            self.typical_latency = as_seconds(elapsed).max(MIN_LATENCY_SECONDS);
        }
        self.typical_latency *= pow(mean / self.typical_latency, LATENCY_EWMA_WEIGHT);
        LatencyComparison {
            baseline_ratio: mean / self.baseline.update(self.typical_latency),
            typical_ratio: mean / self.typical_latency,
            log_unloaded_ratio: self.unloaded.record_response(elapsed, utilisation),
        }
    }
}
