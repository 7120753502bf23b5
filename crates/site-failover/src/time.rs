//! Units of time. Times and spans of the decision module are whole nanoseconds.

use policy::api::Span;

/// One millisecond, in nanoseconds.
pub(crate) const MILLISECOND: Span = 1_000_000;

/// One second, in nanoseconds.
pub(crate) const SECOND: Span = 1_000 * MILLISECOND;

/// Converts a span from nanoseconds to seconds.
pub(crate) fn in_seconds(span: Span) -> f64 {
    span as f64 / SECOND as f64
}
