//! The share of all hosts' concurrency slots that one of many gateways may use.
//!
//! The slots are divided evenly among the gateways, since no gateway knows the traffic of the others. With
//! few gateways, an even share is well above normal usage. With many, it is two or three slots; traffic is
//! uneven, and a busy gateway would reject requests while hosts are idle. Therefore, if its even share is
//! small, a gateway may use a multiple of it, up to a few slots, as long as latencies are no higher than at
//! low load. Higher latencies mean that all gateways together have saturated the hosts, and each gateway
//! shrinks its share towards the even share. All gateways observe the same hosts and so adjust at about the
//! same time.

#[cfg(test)]
mod tests;

/// Increase of the maximum multiple of the even share per gateway.
const MULTIPLE_PER_GATEWAY: f64 = 0.1;
/// Maximum multiple of the even share for any number of gateways.
const MAX_MULTIPLE: f64 = 4.0;
/// Minimum size of an even share that absorbs uneven traffic, in slots.
const AMPLE_SLOTS: f64 = 10.0;
/// Latency inflation, as a natural logarithm, below which hosts have spare capacity.
const LOW_INFLATION: f64 = 0.5;
/// Latency inflation, as a natural logarithm, above which hosts are overloaded.
const HIGH_INFLATION: f64 = 0.7;
/// Factor on the multiple per control period at low inflation.
const INCREASE_FACTOR: f64 = 1.25;
/// Factor on the multiple per control period at high inflation.
const DECREASE_FACTOR: f64 = 0.8;
/// Number of responses over which the latency inflation is smoothed.
const SMOOTHING_RESPONSES: f64 = 20.0;

/// A gateway's share of the concurrency slots, adapted to the latency inflation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdaptiveShare {
    max_multiple: f64,
    multiple: f64,
    /// Smoothed logarithm of the ratio of the latency to the baseline latency.
    log_inflation: f64,
}

impl AdaptiveShare {
    /// Returns the share of one of `gateways` gateways, initially half of the maximum multiple.
    pub fn new(gateways: u32) -> AdaptiveShare {
        let max_multiple = (MULTIPLE_PER_GATEWAY * f64::from(gateways)).clamp(1.0, MAX_MULTIPLE);
        AdaptiveShare { max_multiple, multiple: (0.5 * max_multiple).max(1.0), log_inflation: 0.0 }
    }

    /// Records the latency of a response as a multiple of the baseline latency of its class.
    pub fn record_response(&mut self, latency_ratio: f64) {
        let log_ratio = libm::log(latency_ratio.clamp(0.05, 20.0));
        self.log_inflation += (log_ratio - self.log_inflation) / SMOOTHING_RESPONSES;
    }

    /// Adjusts the multiple at the end of a control period.
    pub fn adjust(&mut self) {
        let factor = if self.log_inflation < LOW_INFLATION {
            INCREASE_FACTOR
        } else if self.log_inflation > HIGH_INFLATION {
            DECREASE_FACTOR
        } else {
            1.0
        };
        self.multiple = (self.multiple * factor).clamp(1.0, self.max_multiple);
    }

    /// Returns the number of slots that may be used, given the even share.
    pub fn slots(&self, even_share: f64) -> f64 {
        even_share.max((self.multiple * even_share).min(AMPLE_SLOTS))
    }

    /// Returns whether the hosts are overloaded. Always false if the even share is large enough to limit the
    /// load by itself.
    pub fn is_overloaded(&self, even_share: f64) -> bool {
        even_share < AMPLE_SLOTS && self.max_multiple > 1.0 && self.log_inflation > LOW_INFLATION
    }
}
