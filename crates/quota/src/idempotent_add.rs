//! Adds to one number of the counter that are settled exactly once, although a call may get no answer.

mod adder;
mod contribution_marks;

pub(crate) use adder::CompactAdder;
pub use adder::{AddOutcome, IdempotentAdder};
pub use contribution_marks::MarkScheme;
pub(crate) use contribution_marks::{MemberCounters, MAX_MEMBERS};
