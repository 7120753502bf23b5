//! What clients do: who asks for what and when ([`Arrivals`]), through which gateway ([`Deal`]), and what a
//! client does with the answer that it gets ([`Behaviour`]).
//!
//! Each customer asks on its own, by a Poisson stream whose rate changes with its spells. Each stream of
//! chance belongs to one customer or one thing asked for, so that neither the order of events nor a window of
//! [`Scale`] changes what is drawn for anything else.

mod arrivals;
mod behaviour;
mod customers;
mod deal;
mod scale;
mod spells;

pub use arrivals::{Arrival, Arrivals, LANE_BITS};
pub use behaviour::{Again, Behaviour, Ended};
pub use customers::PlanRates;
pub use deal::{Deal, Lean};
pub use scale::Scale;
