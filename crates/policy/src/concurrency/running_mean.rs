//! A running mean with variance, for a test whether a difference of means is significant.

/// Minimum number of values of a significant mean.
pub(super) const SIGNIFICANT_COUNT: f64 = 12.0;
/// Maximum number of values that the mean covers; older ones decay.
const MAX_COUNT: f64 = 8192.0;
/// Half-width of the confidence interval of a difference, in standard errors.
pub(super) const CONFIDENCE_STANDARD_ERRORS: f64 = 2.5;
/// Constant part of the uncertainty of a difference.
const MIN_UNCERTAINTY: f64 = 0.01;

/// Mean and variance of recent values (Welford's method, with a bounded count).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunningMean {
    pub value: f64,
    pub variance: f64,
    pub count: f64,
}

impl RunningMean {
    /// Updates the mean and the variance with a value.
    pub fn add(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(MAX_COUNT);
        let difference = value - self.value;
        self.value += difference / self.count;
        self.variance += (difference * (value - self.value) - self.variance) / self.count;
    }

    /// Returns the mean if it covers enough values.
    pub fn if_significant(&self) -> Option<RunningMean> {
        Some(*self).filter(|mean| mean.count >= SIGNIFICANT_COUNT)
    }

    /// Returns the half-width of the confidence interval of the difference from another mean.
    pub fn uncertainty(&self, other: &RunningMean) -> f64 {
        CONFIDENCE_STANDARD_ERRORS * libm::sqrt(self.variance / self.count + other.variance / other.count)
            + MIN_UNCERTAINTY
    }
}
