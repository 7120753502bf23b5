//! Random numbers from a fixed algorithm: the same seed gives the same decisions in every build and release.

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

#[cfg(test)]
mod tests;

/// Random number generator of one gateway: xoshiro256++.
pub(crate) struct Rng(Xoshiro256PlusPlus);

impl Rng {
    pub(crate) fn seeded(seed: u64) -> Rng {
        Rng(Xoshiro256PlusPlus::seed_from_u64(seed))
    }

    /// Returns a uniformly distributed number in [0, 1): the upper 53 bits of the next output, divided by
    /// 2^53.
    pub(crate) fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }
}
