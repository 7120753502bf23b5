//! What the attempts of a class have shown: its latencies, its failures and how often no response comes.

use crate::api::{AttemptEnded, Outcome, Span};
use crate::balancing::host::Host;
use crate::concurrency::baseline_latency::BaselineLatency;
use crate::concurrency::unloaded_latency::UnloadedLatency;
use crate::time::as_seconds;
use hedging::{LatencyDistribution, LossRate};
use libm::pow;

/// Ratio of the mean to the geometric mean of exponentially distributed times, e^γ with Euler's constant γ.
const MEAN_PER_GEOMETRIC_MEAN: f64 = 1.78;
/// Weight of one more response in the usual latency.
const LATENCY_STEP: f64 = 0.05;
/// Weight of one more attempt in the fraction of failures.
const FAILURE_STEP: f64 = 0.05;
/// Shortest latency that is distinguished from zero, in seconds.
const MIN_LATENCY: f64 = 1e-6;

/// Fraction of attempts without a response that is assumed for a new class.
const PRIOR_LOSS: f64 = 0.005;
/// Attempts of a class that this assumption weighs.
const PRIOR_ATTEMPTS_OF_CLASS: f64 = 50.0;
/// Attempts at a host that the fraction of the class weighs.
const PRIOR_ATTEMPTS_OF_HOST: f64 = 60.0;
/// Fraction of overdue attempts without a response that is assumed for a new class.
const PRIOR_OVERDUE_LOSS: f64 = 0.0;
/// Overdue attempts that this assumption weighs.
const PRIOR_OVERDUE_ATTEMPTS: f64 = 6.0;

/// Statistics of the attempts of one class.
#[derive(Default)]
pub(crate) struct ClassStatistics {
    /// Usual latency in seconds, from a geometric mean, which rare long responses hardly move.
    pub usual_latency: f64,
    baseline: BaselineLatency,
    unloaded: UnloadedLatency,
    /// Distribution of response times, in seconds at a host of usual speed.
    pub response_times: LatencyDistribution,
    /// Fraction of attempts without a response.
    loss_rate: LossRate,
    /// The same of overdue attempts.
    overdue_loss_rate: LossRate,
    /// Fraction of recent attempts that failed.
    pub failure_fraction: f64,
}

/// What is expected of an attempt at a host.
pub(crate) struct Expectation {
    /// Latency as a multiple of the usual one, at least 1.
    pub latency_ratio: f64,
    /// Probability that no response comes.
    pub loss_probability: f64,
}

/// The latency of a response against those of its class.
pub(crate) struct LatencyComparison {
    /// Multiple of the baseline latency.
    pub baseline_ratio: f64,
    /// Multiple of the usual latency.
    pub usual_ratio: f64,
    /// Natural logarithm of the multiple of the latency at unloaded hosts.
    pub log_unloaded_ratio: f64,
}

impl ClassStatistics {
    /// Returns what is expected of an attempt at a host.
    pub fn expectation(&self, host: Option<&Host>) -> Expectation {
        let usual_loss = self.loss_rate.estimate(PRIOR_LOSS, PRIOR_ATTEMPTS_OF_CLASS);
        let Some(host) = host else {
            return Expectation { latency_ratio: 1.0, loss_probability: usual_loss };
        };
        Expectation {
            latency_ratio: (1.0 + host.excess_latency).max(1.0),
            loss_probability: host.loss_rate.estimate(usual_loss, PRIOR_ATTEMPTS_OF_HOST),
        }
    }

    /// Takes in the result of an attempt.
    pub fn record_result(&mut self, has_failed: bool) {
        self.failure_fraction += FAILURE_STEP * (f64::from(u8::from(has_failed)) - self.failure_fraction);
    }

    /// Takes in the end of an attempt: what it shows about responses that never come.
    pub fn record_end(&mut self, host: &mut Host, end: &AttemptEnded, is_overdue: bool) {
        let seconds = as_seconds(end.elapsed) / (1.0 + host.excess_latency).max(1.0);
        let loss = match end.outcome {
            Outcome::Ok => 0.0,
            Outcome::Timeout => 1.0,
            // A connection that breaks after a long silence counts as silent; a response that was corrupt or
            // cut off came in time.
            Outcome::ConnectionReset => f64::from(u8::from(is_overdue)),
            // An attempt that was cancelled after another's response counts as others like it turned out.
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

    /// Takes in the latency of a response, and returns it against those of the class. `utilisation` is the
    /// fraction of this gateway's share of the host's slots that was in use.
    pub fn record_latency(&mut self, elapsed: Span, utilisation: f64) -> LatencyComparison {
        let mean = MEAN_PER_GEOMETRIC_MEAN * as_seconds(elapsed).max(MIN_LATENCY);
        if self.usual_latency == 0.0 {
            self.usual_latency = as_seconds(elapsed).max(MIN_LATENCY);
        }
        self.usual_latency *= pow(mean / self.usual_latency, LATENCY_STEP);
        LatencyComparison {
            baseline_ratio: mean / self.baseline.update(self.usual_latency),
            usual_ratio: mean / self.usual_latency,
            log_unloaded_ratio: self.unloaded.record_response(elapsed, utilisation),
        }
    }
}
