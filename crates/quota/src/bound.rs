//! The advance statement of error: how far all gateways together may pass a customer's quota while the counter
//! fails. It follows from how the parts are drawn, not from what was measured; measurements are held to it.
//!
//! With rate `r`, burst `b`, a failure of `T` seconds that leaves `m` sides (groups of gateways that each act for
//! themselves), and `F` replacements of the counter by one that knows nothing, a customer gets beyond
//! `r * time + b` at most
//!
//! - `(m - 1) * r * D` where each side's counter goes on answering: until the others are missed, each side may
//!   take all; `D` is [`ALIVE_TIMEOUT`](crate::ALIVE_TIMEOUT) and a beat;
//! - `b * (SAVED * (m - 1) + LENT * m)` if it was known to keep within its quota: each side may save up more
//!   than its part, and lends a little beyond it; nothing of the kind for one that asks for more;
//! - `b * (m - 1) / m`, since a side that has not met it before gives it an even part of a full store;
//! - `MOVED * r * FADES * (1 - exp(-T / FADES))`, since shares are remembered from totals that each gateway saw at
//!   its own time, and a customer may have moved its traffic since, or come through only some of its gateways; what
//!   is remembered fades towards even parts, which add up to one;
//! - `AMPLE * r * T` more for one that was known to keep within its quota;
//! - `STALE * r` for each replacement: what others leased since a gateway's last call is gone from the new one;
//! - a block of [`BLOCK_S`] seconds that is leased and in doubt at the beginning, and one request at each of its
//!   gateways, of which the true units are not known yet; units are leased in whole ones.

use crate::time::NANOS_PER_SECOND;
use crate::{ALIVE_TIMEOUT, HEARTBEAT_INTERVAL};

/// Of what its part lacks to the whole burst, a side saves up so much for a known customer.
pub const SAVED_BURST_FRACTION: f64 = 0.5;
/// Bursts that a side lends a known customer beyond its part.
pub const OVERDRAFT_BURST_FRACTION: f64 = 0.4;
/// How far the shares of all gateways may add up to more than one, at first.
pub const FRACTION_SUM_EXCESS: f64 = 0.25;
/// Seconds apart after which what is remembered counts for a third, and the rest is even.
pub const FRACTION_DECAY_S: f64 = 25.0;
/// Part of its share that a side gives a known customer beyond it.
pub const PARTITION_RATE_MARGIN: f64 = 0.03;
/// Seconds of the rate that a replaced counter may hide.
pub const FORGOTTEN_LEASE_S: f64 = 1.5;
/// A block is for so many seconds of recent demand at the most.
pub const LEASE_HORIZON_S: f64 = 1.5;

/// A customer's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// Units that its store holds.
    pub burst: f64,
    /// Gateways that it comes through.
    pub set_size: u32,
    /// Units of the largest request.
    pub max_request_units: f64,
}

/// A failure of the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Failure {
    /// How long it lasts, in seconds.
    pub duration_s: f64,
    /// Sides that act for themselves; in the dark each gateway is one.
    pub partitions: u32,
    /// Each side's counter goes on answering.
    pub counter_answers: bool,
    /// How often a counter came that knew nothing.
    pub counter_resets: u32,
}

impl Failure {
    /// No gateway gets an answer for so many seconds.
    pub fn counter_unreachable(span_s: f64, quota: &Quota) -> Failure {
        Failure {
            duration_s: span_s,
            partitions: quota.set_size.max(1),
            counter_answers: false,
            counter_resets: 0,
        }
    }
}

/// Units beyond the quota at the most. `known`: the customer kept within it before.
pub fn max_overshoot(quota: &Quota, failure: &Failure, known: bool) -> f64 {
    let sides = f64::from(failure.partitions.clamp(1, quota.set_size.max(1)));
    let missed = (ALIVE_TIMEOUT + HEARTBEAT_INTERVAL) as f64 / NANOS_PER_SECOND;
    let unnoticed = if failure.counter_answers { (sides - 1.0) * quota.rate * missed } else { 0.0 };
    let met = quota.burst * (sides - 1.0) / sides;
    let lent = if known {
        quota.burst * (SAVED_BURST_FRACTION * (sides - 1.0) + OVERDRAFT_BURST_FRACTION * sides)
    } else {
        0.0
    };
    let moved =
        FRACTION_SUM_EXCESS * FRACTION_DECAY_S * (1.0 - libm::exp(-failure.duration_s / FRACTION_DECAY_S));
    let ample = if known { PARTITION_RATE_MARGIN * failure.duration_s } else { 0.0 };
    let apart = if sides > 1.0 { quota.rate * (moved + ample) } else { 0.0 };
    let forgotten = f64::from(failure.counter_resets) * FORGOTTEN_LEASE_S * quota.rate;
    let leased = LEASE_HORIZON_S * quota.rate + f64::from(quota.set_size) * (quota.max_request_units + 1.0);
    unnoticed + met + lent + apart + forgotten + leased
}

#[cfg(test)]
mod tests {
    use super::*;

    const PREMIUM: Quota = Quota { rate: 30.0, burst: 65.0, set_size: 3, max_request_units: 6.0 };

    #[test]
    fn two_minutes_without_a_counter_cost_so_much() {
        let lost = Failure::counter_unreachable(120.0, &PREMIUM);
        // 0.25 * 30 * 25 (less what has not faded) + 1.5 * 30 + 3 * 7
        assert!((max_overshoot(&PREMIUM, &lost, false) - 295.29).abs() < 0.01);
        // 65 * (0.5 * 2 + 0.4 * 3) + 0.03 * 30 * 120 more
        assert!(
            (max_overshoot(&PREMIUM, &lost, true) - max_overshoot(&PREMIUM, &lost, false) - 251.0).abs()
                < 1e-9
        );
    }

    #[test]
    fn a_split_costs_what_passes_unnoticed_as_well() {
        let split = Failure { duration_s: 120.0, partitions: 2, counter_answers: true, counter_resets: 0 };
        let apart = Failure { counter_answers: false, ..split };
        assert!(
            (max_overshoot(&PREMIUM, &split, false) - max_overshoot(&PREMIUM, &apart, false) - 97.5).abs()
                < 1e-9
        );
    }

    #[test]
    fn a_customer_of_one_gateway_is_not_touched_by_splits() {
        let quota = Quota { set_size: 1, ..PREMIUM };
        let split = Failure { duration_s: 120.0, partitions: 3, counter_answers: true, counter_resets: 0 };
        assert!(max_overshoot(&quota, &split, false) <= 45.0 + 7.0 + 1e-9);
    }
}
