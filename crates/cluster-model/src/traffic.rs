//! What clients do: who asks for what and when ([`Arrivals`]), through which gateway ([`GatewaySelector`]), and what a
//! client does with the answer that it gets ([`ClientBehaviour`]).
//!
//! Each customer asks on its own, by a Poisson stream whose rate changes with its spells. Each stream of
//! chance belongs to one customer or one thing asked for, so that neither the order of events nor a window of
//! [`TrafficWindow`] changes what is drawn for anything else.

mod arrivals;
mod behaviour;
mod customers;
mod gateway_selector;
mod spells;
mod traffic_window;

pub use arrivals::{Arrival, Arrivals, OPERATION_INDEX_BITS};
pub use behaviour::{ClientBehaviour, RequestOutcome, Retry};
pub use customers::PlanRates;
pub use gateway_selector::{BuildingBias, GatewaySelector};
pub use traffic_window::TrafficWindow;
