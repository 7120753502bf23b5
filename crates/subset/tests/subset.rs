//! The contract of deterministic subsetting: balance, stability, and consistency between gateways.

use std::collections::BTreeSet;

use proptest::prelude::*;
use subset::{subset_count, subset_of_gateway, MIN_GATEWAYS_PER_HOST, MIN_SUBSET_SIZE};

const FIRST_HOST_ID: u64 = 0xfeed_0000;

/// Returns consecutive ids, which are the hardest to shuffle.
fn consecutive_ids(count: u64) -> Vec<u64> {
    (0..count).map(|n| FIRST_HOST_ID + n).collect()
}

fn ids_in_subset(host_ids: &[u64], gateway: usize, gateways: usize) -> BTreeSet<u64> {
    subset_of_gateway(host_ids, gateway, gateways).into_iter().map(|index| host_ids[index]).collect()
}

#[test]
fn each_gateway_uses_all_hosts_if_there_are_few_hosts_or_gateways() {
    for (count, gateways) in [(10, 3), (120, 12), (9, 300), (200, 3), (31, 300)] {
        let hosts = consecutive_ids(count);
        let all =
            (0..gateways).all(|gateway| subset_of_gateway(&hosts, gateway, gateways).len() == hosts.len());
        assert!(all, "{count} hosts, {gateways} gateways");
    }
}

#[test]
fn numbers_of_subsets_per_host_differ_by_at_most_one() {
    for (count, gateways) in [(200_u64, 300_usize), (179, 273), (64, 60), (500, 1000)] {
        let hosts = consecutive_ids(count);
        let mut subsets_of_host = vec![0_usize; hosts.len()];
        for gateway in 0..gateways {
            let subset = subset_of_gateway(&hosts, gateway, gateways);
            let is_limited_by_gateways = gateways / MIN_GATEWAYS_PER_HOST < hosts.len() / MIN_SUBSET_SIZE;
            assert!(
                (MIN_SUBSET_SIZE..=2 * MIN_SUBSET_SIZE).contains(&subset.len()) || is_limited_by_gateways
            );
            subset.into_iter().for_each(|index| subsets_of_host[index] += 1);
        }
        let full_rounds = gateways / subset_count(hosts.len(), gateways);
        assert!(
            subsets_of_host.iter().all(|subsets| (full_rounds..=full_rounds + 1).contains(subsets)),
            "{count} {gateways}: {subsets_of_host:?}"
        );
    }
}

#[test]
fn a_removed_host_changes_each_subset_by_at_most_two_hosts() {
    let removed = FIRST_HOST_ID + 77;
    let before = consecutive_ids(200);
    let after: Vec<u64> = before.iter().copied().filter(|host| *host != removed).collect();
    let gateways = 300;
    let mut total_added = 0;
    for gateway in 0..gateways {
        let old = ids_in_subset(&before, gateway, gateways);
        let new = ids_in_subset(&after, gateway, gateways);
        let lost = old.difference(&new).count();
        let added = new.difference(&old).count();
        assert!(lost <= 1 + usize::from(old.contains(&removed)) && added <= 1, "{gateway}");
        total_added += added;
    }
    // At least the 37 or 38 subsets that contained the host get another one.
    assert!((37..=300).contains(&total_added), "{total_added}");
}

#[test]
fn subsets_do_not_depend_on_the_order_of_the_list_and_differ_between_rounds() {
    let hosts = consecutive_ids(200);
    let reversed: Vec<u64> = hosts.iter().rev().copied().collect();
    assert_eq!(ids_in_subset(&hosts, 42, 300), ids_in_subset(&reversed, 42, 300));
    let round = subset_count(200, 300);
    assert_ne!(
        ids_in_subset(&hosts, 0, 300),
        ids_in_subset(&hosts, round, 300),
        "the same position in another round"
    );
}

proptest! {
    #[test]
    fn the_gateways_of_a_round_partition_the_hosts(
        ids in prop::collection::btree_set(any::<u64>(), 32..400),
        gateways in 40_usize..600,
        round in 0_usize..20,
    ) {
        let hosts: Vec<u64> = ids.into_iter().collect();
        let subsets = subset_count(hosts.len(), gateways);
        let assigned: Vec<usize> = (0..subsets)
            .flat_map(|position| subset_of_gateway(&hosts, round * subsets + position, gateways))
            .collect();
        prop_assert_eq!(assigned.len(), hosts.len());
        prop_assert_eq!(assigned.into_iter().collect::<BTreeSet<_>>().len(), hosts.len());
    }
}
