//! Successive versions of the routing table, as reloads make them.

use config_language::model::Operators;
use routing::{HostAttributes, PoolMask, RoutingError, RoutingErrorKind, RoutingTable};

use super::common::*;

const EASTERN: HostAttributes = HostAttributes { id: "s-1", zone: "east", machine_type: "big", cell: 0 };
const WESTERN: HostAttributes = HostAttributes { id: "s-2", zone: "west", ..EASTERN };

fn compile_after(
    previous: &RoutingTable,
    in_use: PoolMask,
    operators: &Operators,
) -> Result<RoutingTable, RoutingError> {
    RoutingTable::compile_after(previous, in_use, operators, &Platform::new().names())
}

#[test]
fn a_pool_keeps_its_bit_when_others_are_added_before_it() {
    let old = Platform::new().compile(&operators(vec![zone_pool("west", "west")], vec![route("r", "west")]));
    let in_flight = old.lookup(request(0, 0, 0));
    let pools = vec![zone_pool("east", "east"), pool("all"), zone_pool("west", "west")];
    let new =
        compile_after(&old, in_flight.named_pools(), &operators(pools, vec![route("r", "east")])).unwrap();
    assert!(in_flight.pool.accepts(new.pools_of(&WESTERN)));
    assert!(!in_flight.pool.accepts(new.pools_of(&EASTERN)));
    assert!(!new.lookup(request(0, 0, 0)).pool.accepts(new.pools_of(&WESTERN)));
}

#[test]
fn a_host_that_has_left_a_pool_is_not_accepted_for_it() {
    let old = Platform::new().compile(&operators(vec![pool("a"), pool("b")], vec![route("r", "a")]));
    let in_flight = old.lookup(request(0, 0, 0));
    let pools = vec![pool("b"), zone_pool("a", "west")];
    let new = compile_after(&old, in_flight.named_pools(), &operators(pools, vec![route("r", "a")])).unwrap();
    assert!(!in_flight.pool.accepts(new.pools_of(&EASTERN)));
    assert!(in_flight.pool.accepts(new.pools_of(&WESTERN)));
    let left = old.pools_left_by(&new, &EASTERN);
    assert_eq!(old.pool_names(left).collect::<Vec<_>>(), ["a"]);
    assert!(old.pools_left_by(&new, &WESTERN).is_empty());
}

#[test]
fn a_removed_pool_keeps_its_hosts_only_while_it_is_in_use() {
    let old = Platform::new().compile(&operators(vec![zone_pool("a", "east")], vec![route("r", "a")]));
    let in_flight = old.lookup(request(0, 0, 0));
    let next = operators(vec![zone_pool("b", "west")], vec![route("r", "b")]);
    let with_removed = compile_after(&old, in_flight.named_pools(), &next).unwrap();
    assert!(in_flight.pool.accepts(with_removed.pools_of(&EASTERN)));
    assert!(!in_flight.pool.accepts(with_removed.pools_of(&WESTERN)), "the new pool has another bit");
    assert!(old.pools_left_by(&with_removed, &EASTERN).is_empty());
    // A route of the new version may not name the removed pool.
    let naming_removed = operators(vec![zone_pool("b", "west")], vec![route("r", "a")]);
    assert_eq!(
        compile_after(&with_removed, in_flight.named_pools(), &naming_removed).unwrap_err().kind,
        RoutingErrorKind::UnknownPool("a".into())
    );
    // Once no request in flight uses the removed pool, it has no hosts.
    let without_removed =
        compile_after(&with_removed, with_removed.lookup(request(0, 0, 0)).named_pools(), &next).unwrap();
    assert!(without_removed.pools_of(&EASTERN).is_empty());
    assert_eq!(old.pool_names(old.pools_left_by(&without_removed, &EASTERN)).collect::<Vec<_>>(), ["a"]);
}

#[test]
fn a_removed_pool_that_is_defined_again_keeps_its_bit_and_gets_the_new_hosts() {
    let old =
        Platform::new().compile(&operators(vec![pool("x"), zone_pool("a", "east")], vec![route("r", "a")]));
    let in_flight = old.lookup(request(0, 0, 0));
    let without_a =
        compile_after(&old, in_flight.named_pools(), &operators(vec![pool("b")], vec![route("r", "b")]))
            .unwrap();
    let with_a = operators(vec![pool("c"), zone_pool("a", "west")], vec![route("r", "a")]);
    let restored = compile_after(&without_a, in_flight.named_pools(), &with_a).unwrap();
    assert_eq!(restored.lookup(request(0, 0, 0)).pool, in_flight.pool);
    assert!(in_flight.pool.accepts(restored.pools_of(&WESTERN)));
    assert!(!in_flight.pool.accepts(restored.pools_of(&EASTERN)));
}

#[test]
fn bits_in_use_are_not_reassigned() {
    let pools = |letter: char, count: u32| (0..count).map(|n| pool(&format!("{letter}{n}"))).collect();
    let old = Platform::new().compile(&operators(pools('a', 64), vec![route("r", "a5")]));
    let in_flight = old.lookup(request(0, 0, 0)).named_pools();
    let full = compile_after(&old, in_flight, &operators(pools('b', 64), vec![])).unwrap_err();
    assert_eq!(full.kind, RoutingErrorKind::NoFreePoolBit("b63".into()));
    let fits = compile_after(&old, in_flight, &operators(pools('b', 63), vec![route("r", "b5")])).unwrap();
    assert_eq!(fits.pools_of(&EASTERN), PoolMask::ALL);
    assert!(!fits.lookup(request(0, 0, 0)).pool.accepts(in_flight));
    // Without requests in flight all bits are free again.
    assert!(compile_after(&fits, PoolMask::NONE, &operators(pools('a', 64), vec![])).is_ok());
}

#[test]
fn destinations_stay_valid_over_a_thousand_versions() {
    let east = operators(vec![zone_pool("a", "east"), zone_pool("b", "west")], vec![route("r", "a")]);
    let west = operators(vec![zone_pool("c", "west"), zone_pool("d", "east")], vec![route("r", "c")]);
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
        current = compile_after(&current, in_use, if version % 2 == 0 { &west } else { &east }).unwrap();
        for (destination, accepted, rejected) in &in_flight {
            assert!(destination.pool.accepts(current.pools_of(accepted)));
            assert!(!destination.pool.accepts(current.pools_of(rejected)));
        }
    }
}

#[test]
fn successors_are_matched_by_the_names_of_routes() {
    let old = Platform::new().compile(&operators(vec![pool("a")], vec![route("r", "a"), route("s", "a")]));
    let routes = vec![route("t", "a"), route("s", "a")];
    let new = compile_after(&old, PoolMask::NONE, &operators(vec![pool("a")], routes)).unwrap();
    let successors: Vec<_> = old.successors(&new).iter().map(|id| id.map(|id| new.route_name(id))).collect();
    assert_eq!(successors, [None, Some("s")]);
    let last = new.lookup(request(0, 0, 0)).route.unwrap();
    assert_eq!(RoutingTable::default().route_name(last), "", "an id of another version has no name");
}
