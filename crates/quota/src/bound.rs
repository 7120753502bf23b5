//! The bound on overshoot, stated in advance: how many units beyond its quota a customer can get from all gateways
//! together while the counter fails. It is derived from how the fractions are computed and not from measurements, which
//! are compared with it.
//!
//! With a rate `r`, a burst `b`, a failure of `T` seconds that leaves `m` partitions (groups of gateways that each act
//! independently), and `F` resets of the counter, a customer gets beyond `r * time + b` at most the sum of
//!
//! - `(m - 1) * r * D` where each partition's counter keeps answering: until the other gateways are detected as
//!   missing, each partition may use all of the quota; `D` is the sum of [`ALIVE_TIMEOUT`] and
//!   [`HEARTBEAT_INTERVAL`];
//! - `b * (SAVED_BURST_FRACTION * (m - 1) + OVERDRAFT_BURST_FRACTION * m)` for a customer with *credit*, that is, one
//!   known to keep within its quota: each partition may save up more than its fraction, and lets the customer overdraw
//!   it a little; a customer that requests more than its quota gets neither;
//! - `b * (m - 1) / m`, since a partition that has no state of the customer starts with an even fraction of a full
//!   bucket;
//! - `FRACTION_SUM_EXCESS * r * FRACTION_DECAY_S * (1 - exp(-T / FRACTION_DECAY_S))`, since the fractions are learned
//!   from totals that each gateway read at a different time, and the customer may have moved its traffic since, or use
//!   only some of its gateways; the learned fractions decay towards even ones, which add up to one;
//! - `PARTITION_RATE_MARGIN * r * T` more for a customer with credit;
//! - `LOST_LEASE_S * r` for each reset: units that other gateways leased since a gateway's latest call are lost;
//! - a lease for [`LEASE_HORIZON_S`] seconds that is in doubt at the beginning, and at each of the customer's gateways
//!   one request whose actual units are not known yet, and the rounding of a lease to integer units.

use crate::membership::{ALIVE_TIMEOUT, HEARTBEAT_INTERVAL};
use crate::time::NANOS_PER_SECOND;

#[cfg(test)]
mod tests;

/// Part of the burst beyond its fraction that a partition saves up for a customer with credit.
pub const SAVED_BURST_FRACTION: f64 = 0.5;
/// Part of the burst by which a partition lets a customer with credit overdraw its fraction.
pub const OVERDRAFT_BURST_FRACTION: f64 = 0.4;
/// Excess over one of the sum of all gateways' fractions at the beginning of a failure, at most.
pub const FRACTION_SUM_EXCESS: f64 = 0.25;
/// Time constant, in seconds of a failure, with which learned fractions decay towards even ones.
pub const FRACTION_DECAY_S: f64 = 25.0;
/// Part of its fraction that a partition refills beyond it for a customer with credit.
pub const PARTITION_RATE_MARGIN: f64 = 0.03;
/// Seconds of the rate whose use a reset of the counter may hide.
pub const LOST_LEASE_S: f64 = 1.5;
/// Seconds of recent demand that a lease covers at most.
pub const LEASE_HORIZON_S: f64 = 1.5;

/// The quota of a customer for which the bound is stated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second.
    pub rate: f64,
    /// Units that the full bucket holds.
    pub burst: f64,
    /// Number of gateways that serve the customer.
    pub set_size: u32,
    /// Units of the largest request.
    pub max_request_units: f64,
}

/// A failure of the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Failure {
    /// Duration in seconds.
    pub duration_s: f64,
    /// Number of partitions that act independently; while no gateway reaches a counter, each gateway is one.
    pub partitions: u32,
    /// Whether each partition's counter keeps answering.
    pub counter_answers: bool,
    /// Number of times that the counter was reset.
    pub counter_resets: u32,
}

impl Failure {
    /// Returns a failure in which the counter answers no gateway for this duration, in seconds.
    pub fn counter_unreachable(duration_s: f64, quota: &Quota) -> Failure {
        Failure { duration_s, partitions: quota.set_size.max(1), counter_answers: false, counter_resets: 0 }
    }
}

/// Returns the maximum number of units beyond its quota that a customer gets in a failure; the module describes the
/// formula. `has_credit`: the customer kept within its quota before the failure.
pub fn max_overshoot(quota: &Quota, failure: &Failure, has_credit: bool) -> f64 {
    let partitions = f64::from(failure.partitions.clamp(1, quota.set_size.max(1)));
    let detection_s = (ALIVE_TIMEOUT + HEARTBEAT_INTERVAL) as f64 / NANOS_PER_SECOND;
    let before_detection =
        if failure.counter_answers { (partitions - 1.0) * quota.rate * detection_s } else { 0.0 };
    let initial_bursts = quota.burst * (partitions - 1.0) / partitions;
    let credit_units = if has_credit {
        quota.burst * (SAVED_BURST_FRACTION * (partitions - 1.0) + OVERDRAFT_BURST_FRACTION * partitions)
    } else {
        0.0
    };
    let lost_leases = f64::from(failure.counter_resets) * LOST_LEASE_S * quota.rate;
    let requests_in_doubt = f64::from(quota.set_size) * (quota.max_request_units + 1.0);
    let leased = LEASE_HORIZON_S * quota.rate + requests_in_doubt;
    before_detection
        + initial_bursts
        + credit_units
        + partitioned_refill(quota, failure, has_credit)
        + lost_leases
        + leased
}

/// Returns the units that the partitions refill beyond the rate, since their fractions add up to more than one.
fn partitioned_refill(quota: &Quota, failure: &Failure, has_credit: bool) -> f64 {
    if failure.partitions.clamp(1, quota.set_size.max(1)) <= 1 {
        return 0.0;
    }
    let decay = 1.0 - libm::exp(-failure.duration_s / FRACTION_DECAY_S);
    let excess_s = FRACTION_SUM_EXCESS * FRACTION_DECAY_S * decay;
    let margin_s = if has_credit { PARTITION_RATE_MARGIN * failure.duration_s } else { 0.0 };
    quota.rate * (excess_s + margin_s)
}
