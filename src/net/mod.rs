//! The gateway on real sockets. Everything here carries out what the decision module asks for.

pub mod call;
pub mod clients;
pub mod clock;
pub mod config;
pub mod counter;
pub mod discovery;
pub mod gateway;
pub mod hosts;
pub mod resp;
