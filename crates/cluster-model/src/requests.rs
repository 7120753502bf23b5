//! What a request is like, drawn from its id alone: a client and a host that never speak agree on it. The
//! low bits of an id count a client's tries of one thing, which are alike.

use crate::rng::Rng;
use crate::scenario::{ClassSpec, Traffic};
use crate::Span;

/// Bits of an id that count tries.
pub const RETRY_BITS: u32 = 4;

/// The id of a try, numbered from 0, of the thing with this number (counted from 1).
pub fn request_id(thing: u64, try_number: u32) -> u64 {
    thing << RETRY_BITS | u64::from(try_number)
}

/// The id of the first try of the same thing.
pub fn first_request_id(id: u64) -> u64 {
    id >> RETRY_BITS << RETRY_BITS
}

/// The value that a host makes for a request.
pub fn response_value(id: u64) -> String {
    format!("value-of-{id:016x}")
}

/// What requests are like.
#[derive(Clone, Debug)]
pub struct RequestSampler {
    seed: u64,
    most_units: u32,
    guess_cv: f64,
    mean_units: f64,
}

impl RequestSampler {
    /// For this traffic.
    pub fn new(seed: u64, traffic: &Traffic) -> RequestSampler {
        let most = traffic.most_units.max(1);
        let mean_units = f64::from(most) / (1..=most).map(|n| 1.0 / f64::from(n)).sum::<f64>();
        RequestSampler { seed, most_units: most, guess_cv: traffic.guess_cv, mean_units }
    }

    fn rng(&self, id: u64) -> Rng {
        Rng::stream(self.seed, "request", first_request_id(id))
    }

    /// Mean units of a request.
    pub fn mean_units(&self) -> f64 {
        self.mean_units
    }

    /// True units: `n` with a weight of 1 / n.
    pub fn units(&self, id: u64) -> u32 {
        let mut left = self.rng(id).unit() * f64::from(self.most_units) / self.mean_units;
        (1..self.most_units)
            .find(|n| {
                left -= 1.0 / f64::from(*n);
                left < 0.0
            })
            .unwrap_or(self.most_units)
    }

    /// The units that the request names: a whole number near the truth.
    pub fn estimated_units(&self, id: u64) -> u32 {
        let units = f64::from(self.units(id));
        if self.guess_cv <= 0.0 {
            return units as u32;
        }
        let mut rng = Rng::stream(self.seed, "guess", first_request_id(id));
        libm::round(rng.lognormal(units, self.guess_cv)).clamp(1.0, f64::from(self.most_units)) as u32
    }

    /// Work in nanoseconds of one core at speed 1. It grows with the units, and its mean over all requests of
    /// the class is the class's. `heavy`: this share of requests costs so many times the usual.
    pub fn work(&self, id: u64, class: &ClassSpec, heavy: Option<(f64, f64)>) -> Span {
        let mut rng = Rng::stream(self.seed, "work", first_request_id(id));
        let size = f64::from(self.units(id)) / self.mean_units;
        let from_units = self.units_cv2();
        // What the units do not account for of the class's spread.
        let rest = ((1.0 + class.work_cv * class.work_cv) / (1.0 + from_units) - 1.0).max(0.0);
        let work = class.work as f64 * size * rng.lognormal(1.0, libm::sqrt(rest));
        let times = heavy.filter(|(share, _)| rng.chance(*share)).map_or(1.0, |(_, times)| times);
        (work * times).max(1.0) as Span
    }

    /// Squared coefficient of variation of the units.
    fn units_cv2(&self) -> f64 {
        let most = f64::from(self.most_units);
        // Weights 1 / n: the mean of n squared is the mean times (most + 1) / 2.
        (most + 1.0) / 2.0 / self.mean_units - 1.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Site;

    #[test]
    fn means_are_those_of_the_class_and_tries_of_one_thing_are_alike() {
        let traffic = Traffic::default();
        let draws = RequestSampler::new(3, &traffic);
        let class = &Site::default().classes[0];
        let all = 1..50_000_u64;
        let mean =
            |of: &dyn Fn(u64) -> f64| all.clone().map(|n| of(request_id(n, 0))).sum::<f64>() / 49_999.0;
        assert!((mean(&|id| f64::from(draws.units(id))) / draws.mean_units() - 1.0).abs() < 0.02);
        let work = mean(&|id| draws.work(id, class, None) as f64);
        assert!((work / class.work as f64 - 1.0).abs() < 0.02, "{work}");
        let heavy = mean(&|id| draws.work(id, class, Some((0.1, 11.0))) as f64);
        assert!((heavy / work - 2.0).abs() < 0.15, "{heavy}");
        assert_eq!(draws.work(request_id(7, 0), class, None), draws.work(request_id(7, 3), class, None));
        assert_eq!(first_request_id(request_id(7, 3)), request_id(7, 0));
        assert!(all.clone().all(|n| (1..=6).contains(&draws.estimated_units(request_id(n, 0)))));
    }
}
