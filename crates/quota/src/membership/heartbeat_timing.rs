//! Intervals and timeouts of heartbeats, by the size of the fleet.
//!
//! A heartbeat costs a gateway two calls to the counter. In a large fleet gateways send heartbeats less often, so that
//! most of the counter's capacity remains for quotas.

use crate::time::Span;

#[cfg(test)]
mod tests;

/// Interval between two heartbeats of one gateway in a small fleet, in nanoseconds.
pub const HEARTBEAT_INTERVAL: Span = 750_000_000;
/// Time for which a gateway counts as alive after its latest proven heartbeat in a small fleet, in nanoseconds. Two
/// totals prove that a heartbeat came between them; a heartbeat may just miss the first, and the next interval may
/// contain two: three intervals and some margin.
pub const ALIVE_TIMEOUT: Span = 2_500_000_000;
/// Duration of an epoch, in nanoseconds: each starts with new heartbeat numbers at zero.
pub const HEARTBEAT_EPOCH: Span = 25_000_000_000;
/// Number of gateways that share one heartbeat number (a *group*).
pub(super) const GROUP_SIZE: u32 = 4;
/// Maximum number of groups of a fleet in which each gateway watches all others.
pub(super) const MAX_GROUPS_OF_SMALL_FLEET: usize = 4;
/// Maximum number of gateways of a fleet that sends heartbeats at the shortest interval.
const MAX_GATEWAYS_AT_FULL_RATE: u32 = 16;
/// Longest interval between two heartbeats, in nanoseconds: an epoch still contains four of them.
const MAX_HEARTBEAT_INTERVAL: Span = 6_000_000_000;

/// Returns the interval between two heartbeats of one gateway in a fleet of this size, in nanoseconds.
pub(super) fn heartbeat_interval(gateways: u32) -> Span {
    let slowdown = (f64::from(gateways) / f64::from(MAX_GATEWAYS_AT_FULL_RATE)).max(1.0);
    ((HEARTBEAT_INTERVAL as f64 * slowdown) as Span).min(MAX_HEARTBEAT_INTERVAL)
}

/// Returns the time for which a gateway counts as alive after its latest proven heartbeat, in nanoseconds, where this
/// many other groups are read in rotation.
pub(super) fn alive_timeout(interval: Span, other_groups: Span) -> Span {
    let timeout = ALIVE_TIMEOUT as f64 / HEARTBEAT_INTERVAL as f64 * interval as f64;
    timeout as Span + 2 * interval * other_groups
}

/// Returns the longest time, in nanoseconds, after which a gateway that has died or is partitioned off is detected by
/// another gateway of a leased customer's set, in a fleet of `gateways` and a set of `set_size`.
pub fn detection_time(gateways: u32, set_size: u32) -> Span {
    let all_groups = gateways.div_ceil(GROUP_SIZE);
    let is_small_fleet = all_groups as usize <= MAX_GROUPS_OF_SMALL_FLEET;
    let watched_groups =
        if is_small_fleet { all_groups } else { all_groups.min(set_size.div_ceil(GROUP_SIZE) + 1) };
    let interval = heartbeat_interval(gateways);
    alive_timeout(interval, Span::from(watched_groups - 1)) + interval
}
