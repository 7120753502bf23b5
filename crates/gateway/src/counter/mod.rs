//! The client of the counter service, and the log lines about the counter.
//!
//! `client` makes calls and tracks their results, `connection` pipelines them and reads the replies, and `log` reports
//! changes of the counter's state.

mod client;
mod connection;
pub(crate) mod log;

pub(crate) use client::{CounterClient, MAX_CONNECTIONS};
