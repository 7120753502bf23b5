//! Quotas under doubt: what a gateway can know of the shared counter while that fails, and how far a quota may
//! be overrun meanwhile. No I/O and no clock; the decision module asks.
//!
//! The counter does one thing: it adds to a named number and gives the total. Everything here rests on that.
//! [`Marks`] lets a total tell which gateways have added to it, so that a call without an answer is settled by
//! proof; [`Hearing`] keeps who has been heard through the counter, so that a split is noticed; [`Shares`]
//! remembers whose part of a customer's traffic came through whom, for the time in which nobody can ask; and
//! [`bound`] states in advance what that may cost.

mod adder;
pub mod bound;
mod contact;
mod hearing;
mod late;
mod marks;
mod ration;
mod rest;
mod shares;
mod side;
mod state;
mod store;

pub use adder::{Adder, Told};
pub use contact::{Contact, RETRY};
pub use hearing::{missed, Hearing, Pulse, BEAT, EPOCH as PULSE_EPOCH, WITHIN};
pub use late::Late;
pub use marks::{Digits, Mark, Marks, Reading};
pub use ration::Ration;
pub use rest::Rest;
pub use shares::Shares;
pub use side::{Light, Set, Side};
pub use state::{CounterReport, CounterState, Lent};
pub use store::{Store, Terms};

/// A moment in nanoseconds.
pub type Time = u64;
/// A span of time in nanoseconds.
pub type Span = u64;

const SECOND: f64 = 1e9;
