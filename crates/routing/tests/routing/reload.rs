//! Versions of the routing table that follow each other.

use config_language::model::Operators;
use routing::{HostAttributes, PoolMask, RoutingError, RoutingErrorKind, RoutingTable};

use super::common::*;

const EASTERN: HostAttributes = HostAttributes { id: "s-1", zone: "east", machine_type: "big", cell: 0 };
const WESTERN: HostAttributes = HostAttributes { id: "s-2", zone: "west", ..EASTERN };

fn after(
    previous: &RoutingTable,
    in_use: PoolMask,
    operators: &Operators,
) -> Result<RoutingTable, RoutingError> {
    RoutingTable::compile_after(previous, in_use, operators, &Platform::new().names())
}

#[test]
fn a_pool_keeps_its_bit_when_others_are_added_before_it() {
    let old = Platform::new().compile(&operators(vec![zone("west", "west")], vec![route("r", "west")]));
    let in_flight = old.lookup(request(0, 0, 0));
    let pools = vec![zone("east", "east"), pool("all"), zone("west", "west")];
    let new = after(&old, in_flight.named_pools(), &operators(pools, vec![route("r", "east")])).unwrap();
    assert!(in_flight.pool.accepts(new.pools_of(&WESTERN)));
    assert!(!in_flight.pool.accepts(new.pools_of(&EASTERN)));
    assert!(!new.lookup(request(0, 0, 0)).pool.accepts(new.pools_of(&WESTERN)));
}

#[test]
fn a_host_that_has_left_a_pool_is_not_accepted_for_it() {
    let old = Platform::new().compile(&operators(vec![pool("a"), pool("b")], vec![route("r", "a")]));
    let in_flight = old.lookup(request(0, 0, 0));
    let pools = vec![pool("b"), zone("a", "west")];
    let new = after(&old, in_flight.named_pools(), &operators(pools, vec![route("r", "a")])).unwrap();
    assert!(!in_flight.pool.accepts(new.pools_of(&EASTERN)));
    assert!(in_flight.pool.accepts(new.pools_of(&WESTERN)));
    let left = old.pools_left_by(&new, &EASTERN);
    assert_eq!(old.pool_names(left).collect::<Vec<_>>(), ["a"]);
    assert!(old.pools_left_by(&new, &WESTERN).is_empty());
}

#[test]
fn a_removed_pool_keeps_its_hosts_only_while_it_is_in_use() {
    let old = Platform::new().compile(&operators(vec![zone("a", "east")], vec![route("r", "a")]));
    let in_flight = old.lookup(request(0, 0, 0));
    let next = operators(vec![zone("b", "west")], vec![route("r", "b")]);
    let needed = after(&old, in_flight.named_pools(), &next).unwrap();
    assert!(in_flight.pool.accepts(needed.pools_of(&EASTERN)));
    assert!(!in_flight.pool.accepts(needed.pools_of(&WESTERN)), "the new pool has another bit");
    assert!(old.pools_left_by(&needed, &EASTERN).is_empty());
    // No route of the new version may name it.
    let named = operators(vec![zone("b", "west")], vec![route("r", "a")]);
    assert_eq!(
        after(&needed, in_flight.named_pools(), &named).unwrap_err().kind,
        RoutingErrorKind::UnknownPool("a".into())
    );
    // No request uses it any more.
    let gone = after(&needed, needed.lookup(request(0, 0, 0)).named_pools(), &next).unwrap();
    assert!(gone.pools_of(&EASTERN).is_empty());
    assert_eq!(old.pool_names(old.pools_left_by(&gone, &EASTERN)).collect::<Vec<_>>(), ["a"]);
}

#[test]
fn a_removed_pool_that_is_defined_again_gets_its_bit_and_new_hosts() {
    let old = Platform::new().compile(&operators(vec![pool("x"), zone("a", "east")], vec![route("r", "a")]));
    let in_flight = old.lookup(request(0, 0, 0));
    let between =
        after(&old, in_flight.named_pools(), &operators(vec![pool("b")], vec![route("r", "b")])).unwrap();
    let back = operators(vec![pool("c"), zone("a", "west")], vec![route("r", "a")]);
    let back = after(&between, in_flight.named_pools(), &back).unwrap();
    assert_eq!(back.lookup(request(0, 0, 0)).pool, in_flight.pool);
    assert!(in_flight.pool.accepts(back.pools_of(&WESTERN)));
    assert!(!in_flight.pool.accepts(back.pools_of(&EASTERN)));
}

#[test]
fn bits_in_use_are_not_reassigned() {
    let pools = |letter: char, count: u32| (0..count).map(|n| pool(&format!("{letter}{n}"))).collect();
    let old = Platform::new().compile(&operators(pools('a', 64), vec![route("r", "a5")]));
    let in_flight = old.lookup(request(0, 0, 0)).named_pools();
    let full = after(&old, in_flight, &operators(pools('b', 64), vec![])).unwrap_err();
    assert_eq!(full.kind, RoutingErrorKind::NoFreePoolBit("b63".into()));
    let fits = after(&old, in_flight, &operators(pools('b', 63), vec![route("r", "b5")])).unwrap();
    assert_eq!(fits.pools_of(&EASTERN), PoolMask::ALL);
    assert!(!fits.lookup(request(0, 0, 0)).pool.accepts(in_flight));
    // Without requests in flight all bits are free again.
    assert!(after(&fits, PoolMask::NONE, &operators(pools('a', 64), vec![])).is_ok());
}

#[test]
fn destinations_stay_valid_over_a_thousand_versions() {
    let east = operators(vec![zone("a", "east"), zone("b", "west")], vec![route("r", "a")]);
    let west = operators(vec![zone("c", "west"), zone("d", "east")], vec![route("r", "c")]);
    let mut current = Platform::new().compile(&east);
    let mut in_flight = Vec::new();
    for version in 0..1000 {
        in_flight.push((
            current.lookup(request(0, 0, 0)),
            [EASTERN, WESTERN][version % 2],
            [WESTERN, EASTERN][version % 2],
        ));
        in_flight.drain(..in_flight.len().saturating_sub(5));
        let in_use =
            in_flight.iter().fold(PoolMask::NONE, |all, (destination, ..)| all | destination.named_pools());
        current = after(&current, in_use, if version % 2 == 0 { &west } else { &east }).unwrap();
        for (destination, own, other) in &in_flight {
            assert!(destination.pool.accepts(current.pools_of(own)));
            assert!(!destination.pool.accepts(current.pools_of(other)));
        }
    }
}

#[test]
fn successors_are_matched_by_the_names_of_routes() {
    let old = Platform::new().compile(&operators(vec![pool("a")], vec![route("r", "a"), route("s", "a")]));
    let routes = vec![route("t", "a"), route("s", "a")];
    let new = after(&old, PoolMask::NONE, &operators(vec![pool("a")], routes)).unwrap();
    let successors: Vec<_> = old.successors(&new).iter().map(|id| id.map(|id| new.route_name(id))).collect();
    assert_eq!(successors, [None, Some("s")]);
    let last = new.lookup(request(0, 0, 0)).route.unwrap();
    assert_eq!(RoutingTable::default().route_name(last), "", "an id of another version has no name");
}
