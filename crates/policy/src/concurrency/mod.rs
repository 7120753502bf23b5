//! Concurrency slots: how many attempts may be in flight, and whose request gets the next slot.
//!
//! - [`host_limit`] learns the slots of a host from its responses, relative to [`unloaded_latency`].
//! - [`slot_budget`] holds this gateway's share of them; [`adaptive_share`] lets one of many gateways exceed
//!   an even share while responses take no longer than the [`baseline_latency`].
//! - [`class_slots`] holds the reservation of a class and its queue ([`class_queue`]). All classes but the
//!   one of the lowest priority have a reservation, which the table in [`fuzzy`] moves each period. The
//!   lowest class uses what is left, and a free slot goes first to a class below its reservation, by
//!   priority.
//! - [`control`] and [`dispatch`] are the decisions: the end of a control period, and the assignment of
//!   slots.
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
