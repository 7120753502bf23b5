//! Plans from operators' files: how they are compiled, and whether the fleet can carry a loss.

mod capacity_check;
mod compile;
mod support;
