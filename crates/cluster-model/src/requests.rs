//! Properties of a request, derived from its id alone, so that a client and a host agree on them without
//! communicating. The low bits of an id number the retries of an operation; all of its requests are alike.

use crate::rng::Rng;
use crate::scenario::{ClassSpec, Traffic};
use crate::Span;

/// Bits of a request id that number the retries.
pub const RETRY_BITS: u32 = 4;

/// Id of a request: the number of its operation (from 1) and the number of the retry (0 for the first request).
pub fn request_id(operation: u64, retry: u32) -> u64 {
    operation << RETRY_BITS | u64::from(retry)
}

/// Id of the first request of the same operation.
pub fn first_request_id(id: u64) -> u64 {
    id >> RETRY_BITS << RETRY_BITS
}

/// The value that a host returns for a request.
pub fn response_value(id: u64) -> String {
    format!("value-of-{id:016x}")
}

/// Samples the properties of requests.
#[derive(Clone, Debug)]
pub struct RequestSampler {
    seed: u64,
    max_units: u32,
    estimate_cv: f64,
    mean_units: f64,
}

impl RequestSampler {
    /// Creates a sampler for the requests of this traffic.
    pub fn new(seed: u64, traffic: &Traffic) -> RequestSampler {
        let max = traffic.max_units.max(1);
        let mean_units = f64::from(max) / (1..=max).map(|n| 1.0 / f64::from(n)).sum::<f64>();
        RequestSampler { seed, max_units: max, estimate_cv: traffic.estimate_cv, mean_units }
    }

    fn rng(&self, id: u64) -> Rng {
        Rng::stream(self.seed, "request", first_request_id(id))
    }

    /// Mean units of a request.
    pub fn mean_units(&self) -> f64 {
        self.mean_units
    }

    /// Actual units of a request; `n` units have a weight of 1 / n.
    pub fn units(&self, id: u64) -> u32 {
        let mut remaining = self.rng(id).unit() * f64::from(self.max_units) / self.mean_units;
        (1..self.max_units)
            .find(|n| {
                remaining -= 1.0 / f64::from(*n);
                remaining < 0.0
            })
            .unwrap_or(self.max_units)
    }

    /// Units that the request declares: an integer estimate of the actual units.
    pub fn estimated_units(&self, id: u64) -> u32 {
        let units = f64::from(self.units(id));
        if self.estimate_cv <= 0.0 {
            return units as u32;
        }
        let mut rng = Rng::stream(self.seed, "guess", first_request_id(id));
        libm::round(rng.lognormal(units, self.estimate_cv)).clamp(1.0, f64::from(self.max_units)) as u32
    }

    /// Work in nanoseconds of one core at speed 1. The work grows with the units, and its mean over all requests
    /// of the class is the mean work of the class. `heavy` is the share of requests that cost a multiple of the
    /// usual work, and that multiple.
    pub fn work(&self, id: u64, class: &ClassSpec, heavy: Option<(f64, f64)>) -> Span {
        let mut rng = Rng::stream(self.seed, "work", first_request_id(id));
        let size = f64::from(self.units(id)) / self.mean_units;
        let units_cv2 = self.units_cv2();
        // The part of the class's variance that the units do not account for.
        let rest = ((1.0 + class.work_cv * class.work_cv) / (1.0 + units_cv2) - 1.0).max(0.0);
        let work = class.work as f64 * size * rng.lognormal(1.0, libm::sqrt(rest));
        let factor = heavy.filter(|(share, _)| rng.chance(*share)).map_or(1.0, |(_, factor)| factor);
        (work * factor).max(1.0) as Span
    }

    /// Squared coefficient of variation of the units.
    fn units_cv2(&self) -> f64 {
        let max = f64::from(self.max_units);
        // With weights 1 / n, the mean of the squared units is the mean times (max + 1) / 2.
        (max + 1.0) / 2.0 / self.mean_units - 1.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Site;

    #[test]
    fn means_match_the_class_and_retries_have_the_properties_of_the_first_request() {
        let traffic = Traffic::default();
        let sampler = RequestSampler::new(3, &traffic);
        let class = &Site::default().classes[0];
        let operations = 1..50_000_u64;
        let mean = |value: &dyn Fn(u64) -> f64| {
            operations.clone().map(|n| value(request_id(n, 0))).sum::<f64>() / 49_999.0
        };
        assert!((mean(&|id| f64::from(sampler.units(id))) / sampler.mean_units() - 1.0).abs() < 0.02);
        let work = mean(&|id| sampler.work(id, class, None) as f64);
        assert!((work / class.work as f64 - 1.0).abs() < 0.02, "{work}");
        let heavy = mean(&|id| sampler.work(id, class, Some((0.1, 11.0))) as f64);
        assert!((heavy / work - 2.0).abs() < 0.15, "{heavy}");
        assert_eq!(sampler.work(request_id(7, 0), class, None), sampler.work(request_id(7, 3), class, None));
        assert_eq!(first_request_id(request_id(7, 3)), request_id(7, 0));
        assert!(operations.clone().all(|n| (1..=6).contains(&sampler.estimated_units(request_id(n, 0)))));
    }
}
