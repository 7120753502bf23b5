//! The configuration of a token bucket.

use crate::membership::GatewaySet;
use crate::time::Time;

/// The limit that a token bucket enforces, and the gateways that enforce it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BucketConfig {
    /// Units per second.
    pub rate: f64,
    /// Units that the full bucket holds.
    pub burst: f64,
    /// Whether the limit is a hard ceiling: no units are granted without the counter, and fractions are even.
    pub is_ceiling: bool,
    /// Whether there is no counter, so that each gateway holds an even fraction.
    pub has_no_counter: bool,
    /// The gateways that serve the customer.
    pub gateway_set: GatewaySet,
}

/// An epoch of a customer's number on the counter. A new number begins with each epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CounterEpoch {
    /// Index of the epoch, counted from time zero.
    pub number: u64,
    /// The time at which the epoch begins.
    pub start: Time,
}
