//! The controller of one gateway: its decisions for given observations.

mod failover_traffic;
mod health;
mod operators;
mod recovery;
mod shedding;
mod simulation;
