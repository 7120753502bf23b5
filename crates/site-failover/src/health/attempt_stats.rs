//! Counts of how attempts ended.

use policy::api::Span;

use crate::time::in_seconds;

/// Number of attempts below which no failure fraction is computed. Counts decay, so they are not whole numbers.
const MIN_ATTEMPTS: f64 = 0.1;

/// Number of attempts that were answered and that failed, and the response times. The counts of a period may decay
/// exponentially, so that recent attempts weigh more.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct AttemptStats {
    /// Answered attempts, whatever the answer.
    pub answers: f64,
    /// Failed attempts.
    pub failures: f64,
    /// Sum of the response times of the answered attempts, in seconds.
    pub response_seconds: f64,
}

impl AttemptStats {
    /// Counts an answered attempt.
    pub fn count_answer(&mut self, response_time: Span) {
        self.answers += 1.0;
        self.response_seconds += in_seconds(response_time);
    }

    /// Counts a failed attempt.
    pub fn count_failure(&mut self) {
        self.failures += 1.0;
    }

    /// Returns the number of attempts.
    pub fn attempts(&self) -> f64 {
        self.answers + self.failures
    }

    /// Returns the fraction of attempts that failed; 0 if there were next to none.
    pub fn failure_fraction(&self) -> f64 {
        let attempts = self.attempts();
        if attempts > MIN_ATTEMPTS {
            self.failures / attempts
        } else {
            0.0
        }
    }

    /// Returns the mean response time in seconds, or `None` with fewer than `min_answers` answers.
    pub fn mean_response_time(&self, min_answers: f64) -> Option<f64> {
        (self.answers >= min_answers).then(|| self.response_seconds / self.answers)
    }

    /// Multiplies all counts by a factor, so that older attempts weigh less.
    pub fn decay(&mut self, factor: f64) {
        self.answers *= factor;
        self.failures *= factor;
        self.response_seconds *= factor;
    }

    /// Adds the counts of other attempts.
    pub fn add(&mut self, other: &AttemptStats) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.response_seconds += other.response_seconds;
    }
}
