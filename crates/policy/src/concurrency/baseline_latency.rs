//! The baseline latency of a class: its typical latency at low load.

#[cfg(test)]
mod tests;

/// Number of responses after which the baseline no longer equals the typical latency.
const INITIAL_RESPONSES: u32 = 20;
/// Fraction of the difference by which a response raises the baseline.
const STEP_UP: f64 = 0.001;
/// Fraction of the difference by which a response lowers the baseline.
const STEP_DOWN: f64 = 0.05;

/// Tracks the typical latency of a class, quickly downwards and slowly upwards.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BaselineLatency {
    seconds: f64,
    responses: u32,
}

impl BaselineLatency {
    /// Updates the baseline with the typical latency after a response, and returns it, both in seconds.
    pub fn update(&mut self, typical_latency: f64) -> f64 {
        self.responses = (self.responses + 1).min(INITIAL_RESPONSES);
        let step = if self.responses < INITIAL_RESPONSES {
            1.0
        } else if typical_latency < self.seconds {
            STEP_DOWN
        } else {
            STEP_UP
        };
        self.seconds += step * (typical_latency - self.seconds);
        self.seconds
    }
}
