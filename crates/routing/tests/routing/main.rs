//! Pools, routes and quotas as a gateway asks for them.

mod brute;
mod common;
mod errors;
mod order;
mod pools;
mod quota;
mod reload;
