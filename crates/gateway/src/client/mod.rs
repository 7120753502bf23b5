//! Clients.

pub(crate) mod call;
pub(crate) mod connection;
