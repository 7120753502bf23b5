//! Which of many hosts one of many gateways works with: its **circle**.
//!
//! Three hundred gateways that each use each of two hundred hosts hold a connection to all of them, use each once in a
//! while, and learn of each too late. With a circle of a few dozen a gateway uses its connections again, finds a bad
//! host soon, and a host that starts cold is fed by few.
//!
//! Nobody talks. A gateway knows its number, how many gateways there are, and the hosts that take work, and all of
//! them reckon alike. Gateways are dealt out in **rounds**: the gateways of one round share all hosts out among
//! themselves, each host to one of them, in an order of that round's own. So each host is in one circle of each
//! round, and no two hosts differ by more than the gateways of a round that is not full.
//!
//! A host that comes or goes shifts the borders between neighbours of each round by one host at the most, and a
//! circle changes by two at the most, one that came and one that left; the order itself stays. The number of circles
//! in a round is a power of two, so that it stays as well, but where the hosts double or halve.

/// A circle has so many hosts at the least; up to twice as many, or all there are.
pub const MIN_SUBSET_SIZE: usize = 16;
/// So many gateways at the least have a host in their circle: fewer would leave it the traffic of some.
pub const MIN_GATEWAYS_PER_HOST: usize = 20;

/// Circles in a round, a power of two, for so many hosts and gateways. One circle is all hosts.
pub fn subset_count(hosts: usize, gateways: usize) -> usize {
    let most = (hosts / MIN_SUBSET_SIZE).min(gateways / MIN_GATEWAYS_PER_HOST).max(1);
    1 << most.ilog2()
}

/// The circle of the gateway with number `me`, counted from 0, among so many: indices into `hosts`, ascending. `hosts`
/// are numbers that are the same at all gateways, each once, in any order.
pub fn subset_of_gateway(hosts: &[u64], me: usize, gateways: usize) -> Vec<usize> {
    let circles = subset_count(hosts.len(), gateways);
    if circles == 1 {
        return (0..hosts.len()).collect();
    }
    let (round, place) = (me / circles, me % circles);
    let mut order: Vec<usize> = (0..hosts.len()).collect();
    order.sort_unstable_by_key(|index| (mixed(hosts[*index], round as u64), hosts[*index]));
    let border = |place: usize| place * hosts.len() / circles;
    let mut circle = order[border(place)..border(place + 1)].to_vec();
    circle.sort_unstable();
    circle
}

/// A number that looks like chance, of a host and a round: the finisher of splitmix64 (Steele, Lea and Flood, 2014).
fn mixed(host: u64, round: u64) -> u64 {
    let x = host ^ round.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeSet;

    /// Hosts with names of one prefix, as bad a choice of numbers as there is.
    fn hosts(count: u64) -> Vec<u64> {
        (0..count).map(|n| 0xfeed_0000 + n).collect()
    }

    fn members(hosts: &[u64], me: usize, gateways: usize) -> BTreeSet<u64> {
        subset_of_gateway(hosts, me, gateways).into_iter().map(|index| hosts[index]).collect()
    }

    #[test]
    fn small_fleets_use_all_hosts() {
        for (count, gateways) in [(10, 3), (120, 12), (9, 300), (200, 3), (31, 300)] {
            let hosts = hosts(count);
            let all = (0..gateways).all(|me| subset_of_gateway(&hosts, me, gateways).len() == hosts.len());
            assert!(all, "{count} hosts, {gateways} gateways");
        }
    }

    #[test]
    fn each_host_is_in_as_many_circles_as_any_other_but_for_a_round_that_is_not_full() {
        for (count, gateways) in [(200_u64, 300_usize), (179, 273), (64, 60), (500, 1000)] {
            let hosts = hosts(count);
            let mut held = vec![0_usize; hosts.len()];
            for me in 0..gateways {
                let circle = subset_of_gateway(&hosts, me, gateways);
                assert!(
                    (MIN_SUBSET_SIZE..=2 * MIN_SUBSET_SIZE).contains(&circle.len())
                        || gateways / MIN_GATEWAYS_PER_HOST < hosts.len() / MIN_SUBSET_SIZE
                );
                circle.into_iter().for_each(|index| held[index] += 1);
            }
            let rounds = gateways / subset_count(hosts.len(), gateways);
            assert!(
                held.iter().all(|held| (rounds..=rounds + 1).contains(held)),
                "{count} {gateways}: {held:?}"
            );
        }
    }

    #[test]
    fn a_host_that_comes_or_goes_changes_a_circle_by_two_at_the_most() {
        let (before, gateways) = (hosts(200), 300);
        let after: Vec<u64> = before.iter().copied().filter(|host| *host != 0xfeed_0000 + 77).collect();
        let mut changed = 0;
        for me in 0..gateways {
            let (before, after) = (members(&before, me, gateways), members(&after, me, gateways));
            let (left, came) = (before.difference(&after).count(), after.difference(&before).count());
            assert!(left <= 1 + usize::from(before.contains(&(0xfeed_0000 + 77))) && came <= 1, "{me}");
            changed += came;
        }
        // Unavoidable: the 37 or 38 circles that the host was in take another one.
        assert!((37..=300).contains(&changed), "{changed}");
    }

    #[test]
    fn the_order_of_the_list_does_not_matter_and_rounds_differ() {
        let hosts = hosts(200);
        let turned: Vec<u64> = hosts.iter().rev().copied().collect();
        assert_eq!(members(&hosts, 42, 300), members(&turned, 42, 300));
        let circles = subset_count(200, 300);
        assert_ne!(members(&hosts, 0, 300), members(&hosts, circles, 300), "the same place of another round");
    }

    proptest! {
        #[test]
        fn gateways_of_one_round_share_out_all_hosts(ids in prop::collection::btree_set(any::<u64>(), 32..400),
                                                     gateways in 40_usize..600, round in 0_usize..20) {
            let hosts: Vec<u64> = ids.into_iter().collect();
            let circles = subset_count(hosts.len(), gateways);
            let all: Vec<usize> = (0..circles).flat_map(|place| subset_of_gateway(&hosts, round * circles + place, gateways))
                .collect();
            prop_assert_eq!(all.len(), hosts.len());
            prop_assert_eq!(all.into_iter().collect::<BTreeSet<_>>().len(), hosts.len());
        }
    }
}
