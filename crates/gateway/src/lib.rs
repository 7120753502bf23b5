//! The network side of the gateway. Everything here carries out what the decision module asks for.

#![allow(missing_docs)]

pub mod call;
pub mod clients;
pub mod clock;
pub mod config;
pub mod counter;
pub mod discovery;
pub mod gateway;
pub mod hosts;
pub mod outage;
