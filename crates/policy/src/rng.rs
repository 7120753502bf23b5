//! Random numbers from a stated algorithm: the same seed gives the same decisions in every build and release.

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

#[cfg(test)]
mod tests;

/// The random numbers of one gateway: xoshiro256++.
pub(crate) struct Rng(Xoshiro256PlusPlus);

impl Rng {
    pub(crate) fn seeded(seed: u64) -> Rng {
        Rng(Xoshiro256PlusPlus::seed_from_u64(seed))
    }

    /// Returns a number evenly distributed from 0 up to but not including 1: the upper 53 bits of the next
    /// output, as a fraction of 2^53.
    pub(crate) fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }
}
