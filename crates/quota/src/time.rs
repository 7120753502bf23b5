//! Units of time: points in time and durations are integer nanoseconds on a clock that the caller supplies.

/// A point in time, in nanoseconds since a fixed origin that all gateways share.
pub type Time = u64;
/// A duration in nanoseconds.
pub type Span = u64;

/// Nanoseconds in a millisecond.
pub(crate) const MILLISECOND: Span = 1_000_000;
/// Nanoseconds in a second, for conversions to floating-point seconds.
pub(crate) const NANOS_PER_SECOND: f64 = 1e9;

/// Returns the seconds between two points in time; zero if `to` is earlier than `from`.
pub(crate) fn seconds_between(from: Time, to: Time) -> f64 {
    to.saturating_sub(from) as f64 / NANOS_PER_SECOND
}
