//! Time units, and conversions from nanoseconds to seconds.

use crate::api::{Span, Time};

/// One millisecond.
pub(crate) const MILLISECOND: Span = 1_000_000;
/// Nanoseconds in a second, for conversions to and from seconds.
pub(crate) const NANOS_PER_SECOND: f64 = 1e9;

/// Returns the seconds between two points in time; zero if `to` is before `from`.
pub(crate) fn seconds_between(from: Time, to: Time) -> f64 {
    to.saturating_sub(from) as f64 / NANOS_PER_SECOND
}

/// Returns a duration in seconds.
pub(crate) fn as_seconds(span: Span) -> f64 {
    span as f64 / NANOS_PER_SECOND
}
