//! Client behaviour: which operations customers start and when ([`Arrivals`]), through which gateway
//! ([`GatewaySelector`]), and how a client reacts to the outcome of a request ([`ClientBehaviour`]).
//!
//! Each customer starts operations independently, as a Poisson process whose rate changes between its phases
//! of high and usual demand. Each random stream belongs to one customer or one operation, so that neither the
//! order of events nor a [`TrafficWindow`] changes the values drawn for any other.

mod arrivals;
mod behaviour;
mod customers;
mod demand_phases;
mod gateway_selector;
mod traffic_window;

pub use arrivals::{Arrival, Arrivals, OPERATION_INDEX_BITS};
pub use behaviour::{ClientBehaviour, RequestOutcome, Retry};
pub use customers::PlanRates;
pub use gateway_selector::{BuildingBias, GatewaySelector};
pub use traffic_window::TrafficWindow;
