//! The retry budget: limits retries to a fraction of the requests, so that they do not amplify an overload.

/// Number of retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// Maximum number of retries in the budget.
const MAX_RETRIES: f64 = 10.0;
/// Number of retries in the budget at the start.
const INITIAL_RETRIES: f64 = 3.0;

/// A token bucket of retries, refilled by requests.
pub(crate) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// Returns the budget of a gateway that has just started.
    pub fn new() -> RetryBudget {
        RetryBudget { retries: INITIAL_RETRIES }
    }

    /// Adds the contribution of one request.
    pub fn deposit(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Returns whether a retry may be made.
    pub fn can_withdraw(&self) -> bool {
        self.retries >= 1.0
    }

    /// Removes one retry from the budget.
    pub fn withdraw(&mut self) {
        self.retries -= 1.0;
    }
}
