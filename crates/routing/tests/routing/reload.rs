//! One version after the other.

use config_language::model::Operators;
use routing::{HostAttributes, PoolMask, RoutingError, RoutingErrorKind, RoutingTable};

use super::common::*;

const EASTERN: HostAttributes = HostAttributes { id: "s-1", zone: "east", machine_type: "big", cell: 0 };
const WESTERN: HostAttributes = HostAttributes { id: "s-2", zone: "west", ..EASTERN };

fn after(
    before: &RoutingTable,
    in_use: PoolMask,
    operators: &Operators,
) -> Result<RoutingTable, RoutingError> {
    RoutingTable::compile_after(before, in_use, operators, &Platform::new().facts())
}

#[test]
fn a_pool_keeps_its_bit_whatever_comes_before_it() {
    let old = Platform::new().compile(&operators(vec![zone("west", "west")], vec![route("r", "west")]));
    let begun = old.lookup(0, 0, 0);
    let pools = vec![zone("east", "east"), pool("all"), zone("west", "west")];
    let new = after(&old, begun.named_pools(), &operators(pools, vec![route("r", "east")])).unwrap();
    assert!(begun.pool.accepts(new.pools_of(&WESTERN)));
    assert!(!begun.pool.accepts(new.pools_of(&EASTERN)));
    assert!(!new.lookup(0, 0, 0).pool.accepts(new.pools_of(&WESTERN)));
}

#[test]
fn a_host_that_leaves_a_pool_takes_nothing_more_for_it() {
    let old = Platform::new().compile(&operators(vec![pool("a"), pool("b")], vec![route("r", "a")]));
    let begun = old.lookup(0, 0, 0);
    let pools = vec![pool("b"), zone("a", "west")];
    let new = after(&old, begun.named_pools(), &operators(pools, vec![route("r", "a")])).unwrap();
    assert!(!begun.pool.accepts(new.pools_of(&EASTERN)));
    assert!(begun.pool.accepts(new.pools_of(&WESTERN)));
    let left = old.pools_left_by(&new, &EASTERN);
    assert_eq!(old.pool_names(left).collect::<Vec<_>>(), ["a"]);
    assert!(old.pools_left_by(&new, &WESTERN).is_empty());
}

#[test]
fn a_removed_pool_stays_while_requests_need_it_and_no_longer() {
    let old = Platform::new().compile(&operators(vec![zone("a", "east")], vec![route("r", "a")]));
    let begun = old.lookup(0, 0, 0);
    let next = operators(vec![zone("b", "west")], vec![route("r", "b")]);
    let needed = after(&old, begun.named_pools(), &next).unwrap();
    assert!(begun.pool.accepts(needed.pools_of(&EASTERN)));
    assert!(!begun.pool.accepts(needed.pools_of(&WESTERN)), "the new pool has a bit of its own");
    assert!(old.pools_left_by(&needed, &EASTERN).is_empty());
    // No new route may name it.
    let named = operators(vec![zone("b", "west")], vec![route("r", "a")]);
    assert_eq!(
        after(&needed, begun.named_pools(), &named).unwrap_err().kind,
        RoutingErrorKind::UnknownPool("a".into())
    );
    // Nobody needs it any more.
    let gone = after(&needed, needed.lookup(0, 0, 0).named_pools(), &next).unwrap();
    assert!(gone.pools_of(&EASTERN).is_empty());
    assert_eq!(old.pool_names(old.pools_left_by(&gone, &EASTERN)).collect::<Vec<_>>(), ["a"]);
}

#[test]
fn a_removed_pool_that_returns_has_its_bit_again_and_its_new_hosts() {
    let old = Platform::new().compile(&operators(vec![pool("x"), zone("a", "east")], vec![route("r", "a")]));
    let begun = old.lookup(0, 0, 0);
    let between =
        after(&old, begun.named_pools(), &operators(vec![pool("b")], vec![route("r", "b")])).unwrap();
    let back = operators(vec![pool("c"), zone("a", "west")], vec![route("r", "a")]);
    let back = after(&between, begun.named_pools(), &back).unwrap();
    assert_eq!(back.lookup(0, 0, 0).pool, begun.pool);
    assert!(begun.pool.accepts(back.pools_of(&WESTERN)));
    assert!(!begun.pool.accepts(back.pools_of(&EASTERN)));
}

#[test]
fn bits_in_use_are_not_given_away() {
    let pools = |letter: char, count: u32| (0..count).map(|n| pool(&format!("{letter}{n}"))).collect();
    let old = Platform::new().compile(&operators(pools('a', 64), vec![route("r", "a5")]));
    let begun = old.lookup(0, 0, 0).named_pools();
    let full = after(&old, begun, &operators(pools('b', 64), vec![])).unwrap_err();
    assert_eq!(full.kind, RoutingErrorKind::NoFreePoolBit("b63".into()));
    let fits = after(&old, begun, &operators(pools('b', 63), vec![route("r", "b5")])).unwrap();
    assert_eq!(fits.pools_of(&EASTERN), PoolMask::ALL);
    assert!(!fits.lookup(0, 0, 0).pool.accepts(begun));
    // Once they have ended all is free again.
    assert!(after(&fits, PoolMask::NONE, &operators(pools('a', 64), vec![])).is_ok());
}

#[test]
fn a_thousand_versions_to_and_fro_keep_choices_true() {
    let east = operators(vec![zone("a", "east"), zone("b", "west")], vec![route("r", "a")]);
    let west = operators(vec![zone("c", "west"), zone("d", "east")], vec![route("r", "c")]);
    let mut now = Platform::new().compile(&east);
    let mut begun = Vec::new();
    for version in 0..1000 {
        begun.push((now.lookup(0, 0, 0), [EASTERN, WESTERN][version % 2], [WESTERN, EASTERN][version % 2]));
        begun.drain(..begun.len().saturating_sub(5));
        let in_use = begun.iter().fold(PoolMask::NONE, |all, (choice, ..)| all | choice.named_pools());
        now = after(&now, in_use, if version % 2 == 0 { &west } else { &east }).unwrap();
        for (choice, own, other) in &begun {
            assert!(choice.pool.accepts(now.pools_of(own)));
            assert!(!choice.pool.accepts(now.pools_of(other)));
        }
    }
}

#[test]
fn routes_are_followed_by_their_names() {
    let old = Platform::new().compile(&operators(vec![pool("a")], vec![route("r", "a"), route("s", "a")]));
    let routes = vec![route("t", "a"), route("s", "a")];
    let new = after(&old, PoolMask::NONE, &operators(vec![pool("a")], routes)).unwrap();
    let follow: Vec<_> = old.successors(&new).iter().map(|id| id.map(|id| new.route_name(id))).collect();
    assert_eq!(follow, [None, Some("s")]);
    let last = new.lookup(0, 0, 0).route.unwrap();
    assert_eq!(RoutingTable::default().route_name(last), "", "an id of another version is no panic");
}
