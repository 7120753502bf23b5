//! The real network side in a simulated room: what real sockets hide behind their buffers, or blur by their
//! clocks, is exact here, to the nanosecond and the same each time.

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
