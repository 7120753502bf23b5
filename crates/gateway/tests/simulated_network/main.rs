//! Tests of the gateway's real network side on a simulated network and clock. Interleavings that the buffers and
//! clocks of real sockets hide are reproduced exactly, to the nanosecond, in every run.

mod attempt_ends;
mod client_disconnect;
mod clients;
mod connections;
mod counter;
mod determinism;
mod discovery;
mod drain;
mod endpoint_lists;
mod host_races;
mod hosts;
mod routes;
mod shutdown;
mod shutdown_traffic;
mod support;
mod unit_races;
