//! Pools, routes and quotas, queried as a gateway queries them.

mod brute_force;
mod common;
mod errors;
mod order;
mod pools;
mod quota;
mod reload;
