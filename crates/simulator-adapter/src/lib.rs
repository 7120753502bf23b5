//! Connects decision modules to the platform's simulator.
//!
//! The simulator sends frames, each a batch of events at one time; an [`Adapter`] hosts one decision module for each
//! instance, reports the events to them, and returns their actions as the reply frame. It makes no decisions itself.
//!
//! ```
//! use simulator_adapter::Adapter;
//!
//! // Time, length of the frame, and number of event records.
//! let frame = [0, 0, 0, 0, 0, 0, 0, 0, 16, 0, 0, 0, 0, 0, 0, 0];
//! let reply = Adapter::default().answer(&frame).expect("a valid frame");
//! assert_eq!(reply, [0, 0, 0, 0, 8, 0, 0, 0], "no actions, eight bytes");
//! ```
//!
//! `codes` contains the codes of records, `record` reads the fields of a record, `events` translates events, `reply`
//! translates actions, and `adapter` processes a frame.

#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::fn_params_excessive_bools))]

mod adapter;
mod codes;
mod error;
mod events;
mod record;
mod reply;

pub use adapter::{Adapter, HEADER_BYTES};
pub use error::WireError;
