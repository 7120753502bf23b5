//! The fraction of attempts that never get a response.

/// Number of attempts beyond which both sums are halved, so that older attempts lose weight.
const MAX_ATTEMPTS: f32 = 400.0;

/// The fraction of attempts that never get a response, learned from completed attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct LossRate {
    attempts: f32,
    lost: f32,
}

impl LossRate {
    /// Records an attempt that has ended. `probability_lost` is 0 if it got a response, 1 if it certainly would never
    /// have got one, and a value in between if that is uncertain.
    pub fn record(&mut self, probability_lost: f64) {
        self.attempts += 1.0;
        self.lost += probability_lost as f32;
        if self.attempts > MAX_ATTEMPTS {
            self.attempts /= 2.0;
            self.lost /= 2.0;
        }
    }

    /// Returns the loss rate, from 0 to 1, as if `prior_attempts` further attempts had been lost at the rate `prior`.
    ///
    /// This is the mean of a beta distribution with that prior, so that with few recorded attempts the result is close
    /// to the prior.
    #[must_use]
    pub fn estimate(&self, prior: f64, prior_attempts: f64) -> f64 {
        (f64::from(self.lost) + prior * prior_attempts) / (f64::from(self.attempts) + prior_attempts).max(1.0)
    }
}
