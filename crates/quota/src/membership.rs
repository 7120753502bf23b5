//! Determines which gateways reach the same counter as this gateway, and their fraction of a customer's quota.

mod failure_detector;
mod gateway_set;
mod heartbeat_timing;
mod partition_view;
mod traffic_fractions;

pub use failure_detector::{FailureDetector, HeartbeatCall};
pub use gateway_set::GatewaySet;
pub use heartbeat_timing::{detection_time, ALIVE_TIMEOUT, HEARTBEAT_EPOCH, HEARTBEAT_INTERVAL};
pub(crate) use partition_view::{
    CounterReachability, FractionPolicy, MemberAdds, PartitionView, QuietMembers, Usage, ViewUpdate,
};
