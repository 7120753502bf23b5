//! Deterministic subsetting: which of many hosts one of many gateways works with.
//!
//! If each of three hundred gateways uses each of two hundred hosts, it holds a connection to all of them, uses each
//! once in a while, and notices the failure of each too late. With a **subset** of a few dozen hosts a gateway uses
//! its connections again, detects a failing host soon, and a host that is warming up gets its requests from few
//! gateways.
//!
//! # Contract
//!
//! - Gateways do not communicate. Each knows its index, the number of gateways and the ids of the hosts in service,
//!   and all of them compute the same assignment from these.
//! - Gateways are grouped into **rounds**. The gateways of one round divide all hosts among themselves, each host to
//!   one of them, in an order that is shuffled differently in each round. So each host is in one subset of each round,
//!   and the numbers of gateways of any two hosts differ by one at the most: by the last round, which may not be full.
//! - A host that is added or removed moves the boundaries between neighbours of a round by one host at the most. A
//!   subset changes by two hosts at the most, one added and one removed, because the shuffled order of the other
//!   hosts stays.
//! - The number of subsets in a round is a power of two, so that it seldom changes: only where the number of hosts or
//!   of gateways crosses a power-of-two multiple of its minimum below.
//!
//! The scheme is that of "Deterministic Subsetting" in chapter 20 of *Site Reliability Engineering* (Beyer et al.,
//! 2016), with boundaries that stay where hosts come and go. The crate is this one file; it does no I/O and draws no
//! random numbers.
//!
//! ```
//! let hosts: Vec<u64> = (1..=200).collect();
//! let gateways = 300;
//! // Eight gateways make a round, so a gateway works with 25 of the 200 hosts.
//! assert_eq!(subset::subset_count(hosts.len(), gateways), 8);
//! let subset = subset::subset_of_gateway(&hosts, 42, gateways);
//! assert_eq!(subset.len(), 25);
//! // Indices into the list of hosts, ascending.
//! assert!(subset.is_sorted() && subset.iter().all(|index| *index < hosts.len()));
//! ```

#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::fn_params_excessive_bools))]

/// Minimum number of hosts in a subset, unless there are fewer. With too few hosts the requests of one gateway could
/// not be balanced.
///
/// As long as there are enough gateways, a subset has up to twice as many.
pub const MIN_SUBSET_SIZE: usize = 16;
/// Minimum number of gateways that have a given host in their subset. With fewer the load of a host would depend on
/// the traffic of a few gateways.
pub const MIN_GATEWAYS_PER_HOST: usize = 20;

/// Returns the number of subsets in a round, a power of two. With 1 each gateway works with all hosts.
#[must_use]
pub fn subset_count(host_count: usize, gateway_count: usize) -> usize {
    let by_size = host_count / MIN_SUBSET_SIZE;
    let by_gateways = gateway_count / MIN_GATEWAYS_PER_HOST;
    let limit = by_size.min(by_gateways).max(1);
    1 << limit.ilog2()
}

/// Returns the subset of the gateway with this index, counted from 0, among `gateway_count` gateways: indices into
/// `host_ids`, ascending.
///
/// `host_ids` are distinct ids that are the same at all gateways, in any order.
#[must_use]
pub fn subset_of_gateway(host_ids: &[u64], gateway_index: usize, gateway_count: usize) -> Vec<usize> {
    let host_count = host_ids.len();
    let subset_count = subset_count(host_count, gateway_count);
    if subset_count == 1 {
        return (0..host_count).collect();
    }
    let round = gateway_index / subset_count;
    let position = gateway_index % subset_count;
    let mut shuffled: Vec<usize> = (0..host_count).collect();
    shuffled.sort_unstable_by_key(|index| (shuffle_key(host_ids[*index], round as u64), host_ids[*index]));
    let boundary = |position: usize| position * host_count / subset_count;
    let mut subset = shuffled[boundary(position)..boundary(position + 1)].to_vec();
    subset.sort_unstable();
    subset
}

/// Returns the key by which a host is sorted in a round: the finalizer of SplitMix64 (Steele, Lea and Flood, "Fast
/// Splittable Pseudorandom Number Generators", 2014), so that similar ids get unrelated keys.
fn shuffle_key(host_id: u64, round: u64) -> u64 {
    let x = host_id ^ round.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
