//! Decides how long a gateway waits for an attempt before it sends a further one, from what earlier attempts did.
//!
//! - [`LatencyDistribution`] learns how long responses take. Old responses fade.
//! - [`LossRate`] learns which fraction of attempts never gets a response.
//! - [`LatencyDistribution::hedge_delay`] weighs both: it returns the delay after which a hedged request or a retry
//!   has the highest expected value, given the [`RemainingTime`] of the request and the cost of a further attempt.
//!
//! The crate does no I/O, reads no clock and draws no random numbers: equal calls give equal results, also on
//! different processors. All times are in seconds, all fractions and probabilities from 0 to 1.
//!
//! ```
//! use hedging::{LatencyDistribution, RemainingTime};
//!
//! // Responses take between 20 ms and 60 ms.
//! let mut latencies = LatencyDistribution::default();
//! (0..1_000).for_each(|n| latencies.record_response(0.02 + 0.00004 * f64::from(n)));
//! let remaining = RemainingTime { until_objective: 0.24, until_deadline: 0.6, late_fraction: 0.2 };
//!
//! // One attempt in 27 never gets a response: a further attempt is sent after nearly all responses have come, and
//! // early enough to meet the latency objective.
//! let (loss_rate, attempt_cost) = (0.037, 0.1);
//! let delay = latencies.hedge_delay(remaining, loss_rate, attempt_cost);
//! assert!((0.055..0.24).contains(&delay), "{delay}");
//!
//! // Where each attempt gets a response, a further one never pays: the delay lasts to the deadline.
//! assert_eq!(latencies.hedge_delay(remaining, 0.0, attempt_cost), 0.6);
//! ```
//!
//! # Files
//!
//! | file | job |
//! |---|---|
//! | `latency_distribution.rs` | the histogram of response times and what can be read from it |
//! | `loss_rate.rs` | the fraction of attempts without a response |
//! | `hedge_delay.rs` | the decision: the value of an attempt, and the delay before a further one |

#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::fn_params_excessive_bools))]

mod hedge_delay;
mod latency_distribution;
mod loss_rate;

pub use hedge_delay::RemainingTime;
pub use latency_distribution::LatencyDistribution;
pub use loss_rate::LossRate;
