//! Quotas under doubt: what a gateway can know of the shared counter while that fails, and how far a quota may
//! be overrun meanwhile. No I/O and no clock; the decision module asks.
//!
//! The counter does one thing: it adds to a named number and gives the total. Everything here rests on that.
//! [`MarkScheme`] lets a total tell which gateways have added to it, so that a call without an answer is settled by
//! proof; [`FailureDetector`] keeps who has been heard through the counter, so that a split is noticed; [`TrafficFractions`]
//! remembers whose part of a customer's traffic came through whom, for the time in which nobody can ask; and
//! [`bound`] states in advance what that may cost.

pub mod bound;
mod compact_state;
mod counter_health;
mod counter_report;
mod failure_detector;
mod idempotent_add;
mod partition_view;
mod reconciliation;
mod time;
mod token_bucket;
mod traffic_fractions;
mod windowed_limiter;

pub use compact_state::{CompactState, QuotaState};
pub use counter_health::{CounterHealth, RETRY_INTERVAL};
pub use counter_report::{CounterReport, CounterState, LocalGrants};
pub use failure_detector::{detection_time, FailureDetector, HeartbeatCall};
pub use failure_detector::{ALIVE_TIMEOUT, HEARTBEAT_EPOCH, HEARTBEAT_INTERVAL};
pub use idempotent_add::{AddOutcome, IdempotentAdder};
pub use idempotent_add::{ContributionMark, MarkScheme, MarkedTotal, MemberCounters};
pub use partition_view::{CounterReachability, GatewaySet, PartitionView};
pub use reconciliation::Reconciliation;
pub use time::{Span, Time};
pub use token_bucket::{BucketConfig, CounterEpoch, TokenBucket};
pub use traffic_fractions::TrafficFractions;
pub use windowed_limiter::WindowedLimiter;
