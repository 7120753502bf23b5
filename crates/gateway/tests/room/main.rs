//! The real network side in a simulated room: what real sockets hide behind their buffers, or blur by their
//! clocks, is exact here, to the nanosecond and the same each time.

mod clients;
mod counter;
mod discovery;
mod drain;
mod hosts;
mod repeat;
mod routes;
mod stop;
mod support;
mod units;
