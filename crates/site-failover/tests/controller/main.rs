//! The controller of one gateway: what it decides from what it observes.

mod failover_traffic;
mod health;
mod operators;
mod recovery;
mod shedding;
mod simulation;
