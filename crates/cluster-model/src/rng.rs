//! Seeded random numbers. Each component of the site has its own stream, so that a change in how one component
//! draws does not affect the others.

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// A stream of random numbers from a fixed algorithm, which does not change between releases.
#[derive(Clone, Debug)]
pub struct Rng(Xoshiro256PlusPlus);

impl Rng {
    /// The stream of one component of a site: `label` names its kind, `number` identifies it within the kind.
    pub fn stream(seed: u64, label: &str, number: u64) -> Rng {
        // FNV-1a over the label; any fixed function would do.
        let label_hash = label.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        let mixed = seed ^ label_hash.rotate_left(17) ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Rng(Xoshiro256PlusPlus::seed_from_u64(mixed))
    }

    /// 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Uniform from 0 (inclusive) to 1 (exclusive).
    pub fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Uniform from `low` (inclusive) to `high` (exclusive).
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// Uniform integer from 0 (inclusive) to `count` (exclusive). `count` is above 0.
    pub fn below(&mut self, count: u64) -> u64 {
        ((u128::from(self.bits()) * u128::from(count)) >> 64) as u64
    }

    /// True with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Exponentially distributed with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -libm::log(1.0 - self.unit()) * mean
    }

    /// Lognormally distributed with this mean and coefficient of variation.
    pub fn lognormal(&mut self, mean: f64, cv: f64) -> f64 {
        let variance = libm::log(1.0 + cv * cv);
        mean * libm::exp(libm::sqrt(variance) * self.normal() - variance / 2.0)
    }

    /// Standard normal, by the Box-Muller transform.
    pub fn normal(&mut self) -> f64 {
        let radius = libm::sqrt(-2.0 * libm::log(1.0 - self.unit()));
        radius * libm::cos(std::f64::consts::TAU * self.unit())
    }

    /// Shuffles a list.
    pub fn shuffle<T>(&mut self, list: &mut [T]) {
        for i in (1..list.len()).rev() {
            list.swap(i, self.below(i as u64 + 1) as usize);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn streams_are_reproducible_and_differ_by_label_number_and_seed() {
        // A replay of an old run has to draw the same numbers.
        assert_eq!(Rng::stream(7, "hosts", 0).bits(), Rng::stream(7, "hosts", 0).bits());
        assert_ne!(Rng::stream(7, "hosts", 0).bits(), Rng::stream(7, "hosts", 1).bits());
        assert_ne!(Rng::stream(7, "hosts", 0).bits(), Rng::stream(7, "clients", 0).bits());
        assert_ne!(Rng::stream(7, "hosts", 0).bits(), Rng::stream(8, "hosts", 0).bits());
    }

    #[test]
    fn distributions_have_the_requested_means() {
        let mut rng = Rng::stream(1, "test", 0);
        let mean = |draw: &mut dyn FnMut() -> f64| (0..100_000).map(|_| draw()).sum::<f64>() / 1e5;
        assert!((mean(&mut || rng.exponential(3.0)) - 3.0).abs() < 0.05);
        assert!((mean(&mut || rng.lognormal(3.0, 0.8)) - 3.0).abs() < 0.05);
        assert!((mean(&mut || rng.below(10) as f64) - 4.5).abs() < 0.05);
    }
}
