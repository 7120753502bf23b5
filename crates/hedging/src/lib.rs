//! Decides how long a gateway waits for an attempt before it sends a further one, from the outcomes of earlier
//! attempts.
//!
//! - [`LatencyDistribution`] learns the distribution of response times. Older responses lose weight.
//! - [`LossRate`] learns the fraction of attempts that never get a response.
//! - [`LatencyDistribution::hedge_delay`] combines both: it returns the delay after which a further attempt has the
//!   highest expected value, given the [`RemainingTime`] of the request and the cost of an attempt.
//!
//! The crate does no I/O, reads no clock and draws no random numbers. The same calls give the same results on all
//! processors. All times are in seconds, all fractions and probabilities from 0 to 1.
//!
//! ```
//! use hedging::{LatencyDistribution, RemainingTime};
//!
//! // Responses take between 20 ms and 60 ms.
//! let mut latencies = LatencyDistribution::default();
//! (0..1_000).for_each(|n| latencies.record_response(0.02 + 0.00004 * f64::from(n)));
//! let remaining = RemainingTime { until_objective: 0.24, until_deadline: 0.6, late_fraction: 0.2 };
//!
//! // One attempt in 27 never gets a response. A further attempt is sent after nearly all responses have arrived, and
//! // early enough to meet the latency objective.
//! let (loss_rate, attempt_cost) = (0.037, 0.1);
//! let delay = latencies.hedge_delay(remaining, loss_rate, attempt_cost);
//! assert!((0.055..0.24).contains(&delay), "{delay}");
//!
//! // If each attempt gets a response, a further one never has a benefit: the delay extends to the deadline.
//! assert_eq!(latencies.hedge_delay(remaining, 0.0, attempt_cost), 0.6);
//! ```
//!
//! # Files
//!
//! | file | content |
//! |---|---|
//! | `latency_distribution.rs` | the histogram of response times and the probabilities derived from it |
//! | `loss_rate.rs` | the fraction of attempts that never get a response |
//! | `hedge_delay.rs` | the value of an attempt, and the delay before a further one |

#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::fn_params_excessive_bools))]

mod hedge_delay;
mod latency_distribution;
mod loss_rate;

pub use hedge_delay::RemainingTime;
pub use latency_distribution::LatencyDistribution;
pub use loss_rate::LossRate;
