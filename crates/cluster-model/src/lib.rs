//! A model of a whole site: hosts, the shared counter, discovery and clients. It does no I/O, reads no clock
//! and draws all chance from seeds, so that the same seed gives the same run on every machine: floating-point
//! numbers are only added, multiplied and divided, or go through `libm`, which does not ask the processor.

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

/// A moment in nanoseconds.
pub type Time = u64;
/// A span of time in nanoseconds.
pub type Span = u64;

/// A millisecond.
pub const MS: Span = 1_000_000;
/// A second.
pub const SECOND: Span = 1_000 * MS;
