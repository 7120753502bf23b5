//! The client of the counter service, and what the log says of the counter.
//!
//! `client` makes calls and matches their ends, `connection` writes them one behind another and reads the replies, and
//! `log` reports changes of the counter's state.

mod client;
mod connection;
pub(crate) mod log;

pub(crate) use client::{CounterClient, MAX_CONNECTIONS};
