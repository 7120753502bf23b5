//! The latency of a class on hosts with few attempts in flight.

use super::host_limit::UNLOADED_UTILISATION;
use super::running_mean::RunningMean;
use crate::api::Span;
use crate::time::as_seconds;

#[cfg(test)]
mod tests;

/// Mean of the logarithm of a class's latency on unloaded hosts, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UnloadedLatency(RunningMean);

impl UnloadedLatency {
    /// Records a response, and returns the logarithm of the ratio of its latency to the unloaded latency.
    /// Until there are enough responses of unloaded hosts, all responses count as unloaded. `utilisation` is
    /// the fraction of this gateway's share of the host's slots that was in use when the attempt was sent.
    pub fn record_response(&mut self, elapsed: Span, utilisation: f64) -> f64 {
        let log_seconds = libm::log(as_seconds(elapsed).max(1e-6));
        if utilisation <= UNLOADED_UTILISATION || self.0.if_significant().is_none() {
            self.0.add(log_seconds);
        }
        log_seconds - self.0.value
    }
}
