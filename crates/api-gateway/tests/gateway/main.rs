//! The real gateway between a client, hosts and discovery: one test for each row of the protocol's table, and for each
//! failure of a socket.

mod attempts;
mod clients;
mod connection_limits;
mod discovery;
mod hosts;
mod reload;
mod shutdown;
#[allow(dead_code)] // other tests use the rest of it
#[path = "../sockets/mod.rs"]
mod sockets;
mod support;
