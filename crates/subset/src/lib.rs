//! Deterministic subsetting: assigns a subset of many hosts to each of many gateways.
//!
//! If each of three hundred gateways uses all of two hundred hosts, it has a connection to each host, uses each
//! connection rarely, and detects the failure of a host too late. With a **subset** of a few dozen hosts a gateway
//! reuses its connections and detects a failing host soon, and a host that is warming up gets requests from few
//! gateways only.
//!
//! # Contract
//!
//! - Gateways do not communicate. Each knows its index, the number of gateways and the ids of the hosts in service,
//!   from which all gateways compute the same assignment.
//! - Gateways are grouped into **rounds**. The hosts are shuffled, differently for each round, and divided among the
//!   gateways of the round. Each host is therefore in one subset per round, and the numbers of gateways of any two
//!   hosts differ by at most one, because the last round may be incomplete.
//! - Adding or removing a host moves the boundaries between neighbouring subsets of a round by at most one host. A
//!   subset changes by at most two hosts, one added and one removed, because the shuffled order of the other hosts
//!   does not change.
//! - The number of subsets in a round is a power of two. It changes rarely: only when the number of hosts or gateways
//!   crosses a power-of-two multiple of [`MIN_SUBSET_SIZE`] or [`MIN_GATEWAYS_PER_HOST`].
//!
//! The scheme is that of "Deterministic Subsetting" in chapter 20 of *Site Reliability Engineering* (Beyer et al.,
//! 2016), extended by boundaries that hardly move when hosts are added or removed. The crate does no I/O and draws no
//! random numbers.
//!
//! ```
//! let hosts: Vec<u64> = (1..=200).collect();
//! let gateways = 300;
//! // A round consists of eight gateways, so each of them uses 25 of the 200 hosts.
//! assert_eq!(subset::subset_count(hosts.len(), gateways), 8);
//! let subset = subset::subset_of_gateway(&hosts, 42, gateways);
//! assert_eq!(subset.len(), 25);
//! // Indices into the list of hosts, ascending.
//! assert!(subset.is_sorted() && subset.iter().all(|index| *index < hosts.len()));
//! ```

#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::fn_params_excessive_bools))]

/// Minimum number of hosts in a subset, unless there are fewer hosts. With too few hosts a gateway could not balance
/// its requests.
///
/// If there are enough gateways, a subset has at most twice as many hosts.
pub const MIN_SUBSET_SIZE: usize = 16;
/// Minimum number of gateways that have a given host in their subset. With fewer gateways the load of a host would
/// depend on the traffic of only a few of them.
pub const MIN_GATEWAYS_PER_HOST: usize = 20;

/// Returns the number of subsets in a round, a power of two. If it is 1, each gateway uses all hosts.
#[must_use]
pub fn subset_count(host_count: usize, gateway_count: usize) -> usize {
    let by_size = host_count / MIN_SUBSET_SIZE;
    let by_gateways = gateway_count / MIN_GATEWAYS_PER_HOST;
    let limit = by_size.min(by_gateways).max(1);
    1 << limit.ilog2()
}

/// Returns the subset of the gateway with this index, from 0, among `gateway_count` gateways, as ascending indices
/// into `host_ids`.
///
/// `host_ids` are distinct, and the same at all gateways; their order does not matter.
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
