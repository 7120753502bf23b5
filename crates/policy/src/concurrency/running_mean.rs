//! A running mean with its variance, which shows whether a difference is due to chance.

/// Values from which on a mean counts as significant.
pub(super) const SIGNIFICANT_COUNT: f64 = 12.0;
/// Values over which the mean is taken at the most; older ones fade.
const MAX_COUNT: f64 = 8192.0;
/// Standard errors of a difference that rule out chance.
pub(super) const CONFIDENCE: f64 = 2.5;
/// Uncertainty of a difference at the least.
const MIN_UNCERTAINTY: f64 = 0.01;

/// Mean and variance of recent values (Welford's method, with a bounded count).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunningMean {
    pub value: f64,
    pub variance: f64,
    pub count: f64,
}

impl RunningMean {
    /// Takes in a value.
    pub fn add(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(MAX_COUNT);
        let difference = value - self.value;
        self.value += difference / self.count;
        self.variance += (difference * (value - self.value) - self.variance) / self.count;
    }

    /// Returns the mean once enough values have been taken in.
    pub fn if_significant(&self) -> Option<RunningMean> {
        Some(*self).filter(|mean| mean.count >= SIGNIFICANT_COUNT)
    }

    /// Returns how far the difference from another mean may be off by chance.
    pub fn uncertainty(&self, other: &RunningMean) -> f64 {
        CONFIDENCE * libm::sqrt(self.variance / self.count + other.variance / other.count) + MIN_UNCERTAINTY
    }
}
