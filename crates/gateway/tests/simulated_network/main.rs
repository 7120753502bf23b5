//! Tests of the gateway's real network side on a simulated network and clock. Interleavings that the buffers and
//! clocks of real sockets hide are reproduced exactly, to the nanosecond, in every run.

mod attempt_ends;
mod clients;
mod connections;
mod counter;
mod discovery;
mod drain;
mod host_crossings;
mod hosts;
mod leaving;
mod lists;
mod repeat;
mod routes;
mod stop;
mod stopping;
mod support;
mod units;
