//! Loss of a whole site: what operators planned for it, when it counts as lost or as back, where its load goes, what
//! is refused first, and how the return is paced. No I/O, no clock, no chance of its own: a gateway tells what it
//! sees, and asks.

mod chance;
mod compile;
mod course;
pub mod fit;
mod ladder;
mod plan;
mod said;
mod shares;
mod sites;
mod verdict;

pub use compile::{Facts, PlanError, Problem, RAMP};
pub use course::State;
pub use plan::{Ladder, Plan, Rung, Site, SiteSet, Taker, Told};
pub use said::{Cause, Said, SiteState};
pub use sites::{Fleet, Sites, Turn};
