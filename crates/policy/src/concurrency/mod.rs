//! Concurrency slots: how many attempts may be in flight, and which request gets the next slot.
//!
//! - [`host_limit`] adapts the slots of a host to the latency of its responses, relative to the
//!   [`unloaded_latency`].
//! - [`slot_budget`] computes this gateway's share of the slots; [`adaptive_share`] lets one of many gateways
//!   exceed its even share while latencies are near the [`baseline_latency`].
//! - [`class_slots`] stores the reservation of a class and its queue ([`class_queue`]). All classes except
//!   the one of the lowest priority have a reservation, which the controller in [`fuzzy`] adjusts in each
//!   control period. A free slot is assigned first to classes below their reservation, by priority; the
//!   lowest class uses the remaining slots.
//! - [`control`] adjusts limits and reservations at the end of a control period; [`dispatch`] assigns slots.
//!
//! State: [`state::ConcurrencyState`] with the slots of the gateway and of each class;
//! [`host_limit::ConcurrencyLimit`] of each host, in the host's record.

pub(crate) mod adaptive_share;
pub(crate) mod baseline_latency;
mod class_queue;
pub(crate) mod class_slots;
mod control;
mod dispatch;
pub(crate) mod fuzzy;
pub(crate) mod host_limit;
mod running_mean;
pub(crate) mod slot_budget;
pub(crate) mod state;
pub(crate) mod unloaded_latency;
