//! The retry budget: retries are a bounded fraction of the requests, so that they do not multiply an
//! overload.

/// Retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// Retries that the budget holds at the most.
const MAX_RETRIES: f64 = 10.0;
/// Retries in the budget at the start.
const INITIAL_RETRIES: f64 = 3.0;

/// Retries that may be made now.
pub(crate) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// Returns the budget of a gateway that has just started.
    pub fn new() -> RetryBudget {
        RetryBudget { retries: INITIAL_RETRIES }
    }

    /// Adds the share of one request.
    pub fn deposit(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Returns whether a retry may be made.
    pub fn has_retry(&self) -> bool {
        self.retries >= 1.0
    }

    /// Takes one retry out.
    pub fn withdraw(&mut self) {
        self.retries -= 1.0;
    }
}
