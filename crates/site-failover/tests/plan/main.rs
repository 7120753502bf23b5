//! Plans from operators' files: how they are compiled, and whether the fleet carries a loss.

mod capacity_check;
mod compile;
mod support;
