//! Times and durations.

/// A point in time on the gateway's monotonic clock, in nanoseconds.
pub type Time = u64;
/// A duration, in nanoseconds.
pub type Span = u64;
