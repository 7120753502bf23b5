//! What each request is. Seeded and without I/O: the same spec and seed give the same requests.

use crate::spec::{Customers, Spec};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Of the requests, the share of regular customers beside those that come once.
const REGULAR: f64 = 0.1;
/// Units of a request at the most.
pub const MOST_UNITS: u32 = 3;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Whose it is.
    pub customer: u64,
    /// An order; else a read.
    pub is_order: bool,
    /// Its customer has the premium plan.
    pub is_premium: bool,
    /// Units.
    pub units: u32,
    /// The customer is one of the regular ones, where some are.
    pub is_regular: bool,
}

/// Draws requests, for one connection or one source.
pub struct Draw {
    spec: Spec,
    rng: Xoshiro256PlusPlus,
    zipf: Option<Zipf<f64>>,
    /// Customers that have asked, of those that ask in turn: one count for all who draw.
    next: Arc<AtomicU64>,
}

impl Draw {
    /// The one of this number.
    pub fn new(spec: &Spec, number: u64, next: Arc<AtomicU64>) -> Draw {
        let zipf = Zipf::new(spec.customers as f64, 1.0).ok().filter(|_| spec.draw == Customers::Zipf);
        let rng = Xoshiro256PlusPlus::seed_from_u64(spec.seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        Draw { spec: spec.clone(), rng, zipf, next }
    }

    /// The next request; `in_turn`: of each customer one.
    pub fn ask(&mut self, in_turn: bool) -> Ask {
        let (customer, is_regular) = if in_turn { (self.turn(), true) } else { self.customer() };
        let is_order = self.rng.random_bool(self.spec.orders);
        // By the number alone, so that a customer always has the same plan.
        let is_premium = (customer.wrapping_mul(7_919) % 1_000) as f64 / 1_000.0 < self.spec.premium;
        Ask { customer, is_order, is_premium, units: self.rng.random_range(1..=MOST_UNITS), is_regular }
    }

    fn turn(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    fn customer(&mut self) -> (u64, bool) {
        let all = self.spec.customers;
        match self.spec.draw {
            Customers::Uniform => (self.rng.random_range(0..all), true),
            Customers::Zipf => {
                let rank = self.zipf.map_or(1.0, |zipf| zipf.sample(&mut self.rng));
                (rank as u64 % all, true)
            }
            Customers::Hot if self.rng.random_bool(0.5) => (0, true),
            Customers::Hot => (self.rng.random_range(0..all), true),
            Customers::Once if self.rng.random_bool(REGULAR) => {
                (self.rng.random_range(0..self.spec.regular), true)
            }
            Customers::Once => (self.spec.regular + self.turn(), false),
        }
    }

    /// How long until the next request, where so many come a second at random.
    pub fn pause(&mut self, rate: f64) -> Duration {
        let seconds = Exp::new(rate).map_or(1.0, |exp| exp.sample(&mut self.rng));
        Duration::from_secs_f64(seconds.min(60.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    fn draw(spec: &Spec) -> Draw {
        Draw::new(spec, 7, Arc::default())
    }

    #[test]
    fn the_same_seed_draws_the_same() {
        let spec = Spec { customers: 1_000, ..Spec::default() };
        let all = |spec: &Spec| -> Vec<Ask> {
            let mut draw = draw(spec);
            (0..100).map(|_| draw.ask(false)).collect()
        };
        assert_eq!(all(&spec), all(&spec));
        assert_ne!(all(&spec), all(&Spec { seed: 2, ..spec.clone() }));
    }

    #[test]
    fn customers_come_as_their_draw_says() {
        let count = |draws: Customers| {
            let spec = Spec { draw: draws, customers: 100, regular: 10, orders: 0.25, ..Spec::default() };
            let mut draw = draw(&spec);
            let mut counts = BTreeMap::new();
            let mut orders = 0;
            for _ in 0..10_000 {
                let ask = draw.ask(false);
                *counts.entry(ask.customer).or_insert(0u32) += 1;
                orders += u32::from(ask.is_order);
            }
            assert!((2_300..2_700).contains(&orders), "{orders}");
            counts
        };
        assert!(count(Customers::Uniform).values().all(|n| (60..150).contains(n)));
        assert!((4_800..5_300).contains(&count(Customers::Hot)[&0]));
        let zipf = count(Customers::Zipf);
        assert!(zipf[&1] > 8 * zipf[&10] && zipf[&1] > 1_500, "{zipf:?}");
        let once = count(Customers::Once);
        let (regular, others): (Vec<_>, Vec<_>) = once.iter().partition(|(customer, _)| **customer < 10);
        assert!(regular.len() == 10 && others.iter().all(|(_, n)| **n == 1) && others.len() > 8_500);
    }
}
