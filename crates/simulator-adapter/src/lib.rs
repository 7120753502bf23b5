//! Decision modules on the simulator's wire.

mod wire;

pub use wire::{Adapter, WireError};
