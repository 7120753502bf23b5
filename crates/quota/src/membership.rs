//! Which gateways reach the counter that this gateway reaches, and what fraction of a customer's quota is theirs.

mod failure_detector;
mod gateway_set;
mod heartbeat_timing;
mod partition_view;
mod traffic_fractions;

pub use failure_detector::{FailureDetector, HeartbeatCall};
pub use gateway_set::GatewaySet;
pub use heartbeat_timing::{detection_time, ALIVE_TIMEOUT, HEARTBEAT_EPOCH, HEARTBEAT_INTERVAL};
pub(crate) use partition_view::{
    Additions, CounterReachability, FractionPolicy, PartitionView, QuietMembers, Usage, ViewUpdate,
};
