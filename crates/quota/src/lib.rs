//! Distributed rate limiting that survives failures of the shared counter: one gateway's view of a customer's quota,
//! and a bound on the overshoot.
//!
//! # Purpose
//!
//! A customer's quota (a rate and a burst, in units) applies to all gateways together. They share it through a counter
//! service that does one thing: it adds an amount to a named number and returns the total. A gateway *leases* units
//! ahead of the requests that spend them by adding them to the customer's number. This crate keeps the quota in force
//! while calls to the counter get no answer, while a partition separates some gateways from others, and after a reset
//! in which the counter has lost its numbers.
//!
//! # Contract
//!
//! - No I/O, no clock and no randomness: the caller makes the calls, and passes the time and random numbers.
//! - A later total proves whether an add without an answer was carried out, as long as the number has room for the
//!   contribution marks of the gateways that add to it (eight at most); otherwise the add is assumed not to have been
//!   carried out.
//! - Without the counter a gateway grants units locally from its fraction of the quota, but none of a hard ceiling.
//!   They are added to the counter once it answers again.
//! - [`bound::max_overshoot`] states in advance how far all gateways together may overshoot a quota.
//! - The state of one customer is small, and smaller still in its [`CompactState`].
//!
//! # Example
//!
//! ```
//! use quota::{BucketConfig, CounterEpoch, CounterHealth, GatewaySet, IdempotentAdder, TokenBucket};
//!
//! const SECOND: u64 = 1_000_000_000;
//! let gateway_set = GatewaySet { first_gateway: 0, set_size: 1, gateway_index: 0, gateways: 1 };
//! let config = BucketConfig { rate: 10.0, burst: 20.0, gateway_set, ..BucketConfig::default() };
//! let epoch = CounterEpoch { number: 0, start: 0 };
//! let mut health = CounterHealth::new(0, 1);
//! let mut bucket = TokenBucket::new(0, config);
//! let mut adder = IdempotentAdder::new(0, 1, 620.0, epoch.number);
//!
//! // Lease five units: the caller adds the amount to the customer's number, and the counter returns the total.
//! let amount = adder.start_call(epoch.number, 5.0, false);
//! let total = 0.0 + amount;
//! health.record_answer(SECOND);
//! let outcome = adder.complete_call(epoch.number, total, false);
//! bucket.record_total(SECOND, &health, epoch, &outcome, adder.mark_scheme());
//! assert_eq!(bucket.spendable(), 5.0);
//! bucket.spend(3.0, &mut health);
//!
//! // The counter becomes unreachable: the gateway grants units locally, and the counter has yet to count them.
//! bucket.set_counter_unreachable(2 * SECOND, &health);
//! let to_reconcile = bucket.spend(4.0, &mut health);
//! assert_eq!(to_reconcile, 2.0);
//! ```
//!
//! # How units are leased
//!
//! 1. The caller refills the customer's [`TokenBucket`] (`token_bucket.rs`), which determines by [`CounterHealth`]
//!    (`counter_health.rs`) whether the counter can be called, and by heartbeats (`membership/failure_detector.rs`)
//!    which gateways of the customer's set share it (`membership/partition_view.rs`).
//! 2. If too few units are spendable, the caller starts a call with the [`IdempotentAdder`]
//!    (`idempotent_add/adder.rs`), whose amount carries a contribution mark (`idempotent_add/contribution_marks.rs`).
//! 3. The answer is a total: the adder determines which units it confirms and whether the counter was reset, and the
//!    bucket computes the units that remain for this gateway's partition (`token_bucket/totals.rs`). The marks show
//!    through which gateways the customer's traffic comes (`membership/traffic_fractions.rs`).
//! 4. The request spends units of the lease.
//!
//! A customer whose burst is too small for leases is admitted by windows instead (`windowed_limiter.rs`). The quota of
//! a customer that rarely makes requests is kept in its compact state (`compact_state.rs`).
//!
//! # How a counter outage is handled
//!
//! 1. Calls get no answer: an add may be in doubt (`idempotent_add/adder.rs`). After three consecutive failures
//!    [`CounterHealth`] considers the counter unreachable, and retries it with a backoff.
//! 2. The bucket keeps this gateway's learned fraction of the quota, and grants units locally. [`CounterReport`]
//!    (`counter_health/report.rs`) shows operators how many.
//! 3. The counter answers again: calls are limited by a budget (`counter_health/call_budget.rs`), the first total
//!    settles the add in doubt, and [`Reconciliation`] (`reconciliation.rs`) adds the units that were granted locally.
//! 4. A reset is detected from the total of a customer's number or of a heartbeat number. The units that the counter
//!    lost are reconciled in the same way.
//!
//! `bound.rs` states how much overshoot all of this may cause.

#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::fn_params_excessive_bools))]

pub mod bound;
mod compact_state;
mod counter_health;
mod idempotent_add;
mod membership;
mod reconciliation;
mod time;
mod token_bucket;
mod windowed_limiter;

pub use compact_state::{CompactState, QuotaState};
pub use counter_health::{CounterHealth, CounterReport, CounterState, LocalGrants, RETRY_INTERVAL};
pub use idempotent_add::{AddOutcome, IdempotentAdder, MarkScheme};
pub use membership::{detection_time, FailureDetector, GatewaySet, HeartbeatCall};
pub use membership::{ALIVE_TIMEOUT, HEARTBEAT_EPOCH, HEARTBEAT_INTERVAL};
pub use reconciliation::Reconciliation;
pub use time::{Span, Time};
pub use token_bucket::{BucketConfig, CounterEpoch, TokenBucket};
pub use windowed_limiter::WindowedLimiter;
