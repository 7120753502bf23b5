//! A deterministic model of a site: hosts, the shared counter, discovery and clients. The model does no
//! I/O, reads no clock and derives all randomness from seeds, so that a seed gives the same run on every
//! machine. Floating-point numbers are therefore only added, multiplied and divided, or go through `libm`,
//! whose results do not depend on the processor.

pub mod agent;
pub mod counter;
pub mod file;
pub mod host;
pub mod observation;
pub mod requests;
mod resize;
pub mod rng;
pub mod scenario;
pub mod settings;
pub mod traffic;

/// A point in time in nanoseconds.
pub type Time = u64;
/// A duration in nanoseconds.
pub type Span = u64;

/// One millisecond.
pub const MS: Span = 1_000_000;
/// One second.
pub const SECOND: Span = 1_000 * MS;
