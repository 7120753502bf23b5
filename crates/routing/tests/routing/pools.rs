//! Which pools a host is in.

use config_language::model::Pool;
use routing::{HostAttributes, PoolMask, RoutingErrorKind, RoutingTable};

use super::common::*;

const HOST: HostAttributes = HostAttributes { id: "s-17", zone: "east", machine_type: "big", cell: 4 };

fn pools_of(pools: Vec<Pool>, host: &HostAttributes) -> Vec<String> {
    let routes = Platform::new().compile(&operators(pools, vec![]));
    let mask = routes.pools_of(host);
    routes.pool_names(mask).map(str::to_owned).collect()
}

#[test]
fn a_host_is_in_a_pool_only_if_all_its_attributes_match() {
    let all_attributes = Pool {
        zones: Some(at(1, names(&["west", "east"]))),
        machines: Some(at(1, names(&["big"]))),
        cells: Some(at(1, vec![0..=1, 4..=4])),
        ids: Some(at(1, names(&["x", "s-1"]))),
        ..pool("p")
    };
    let is_in_pool = |host: HostAttributes| !pools_of(vec![all_attributes.clone()], &host).is_empty();
    assert!(is_in_pool(HOST));
    assert!(!is_in_pool(HostAttributes { zone: "north", ..HOST }));
    assert!(!is_in_pool(HostAttributes { machine_type: "small", ..HOST }));
    assert!(!is_in_pool(HostAttributes { cell: 3, ..HOST }));
    assert!(!is_in_pool(HostAttributes { id: "t-17", ..HOST }));
}

#[test]
fn an_empty_list_matches_no_host_and_a_missing_list_matches_all() {
    let none = Pool { zones: Some(at(1, vec![])), ..pool("none") };
    assert_eq!(pools_of(vec![none, pool("all")], &HOST), ["all"]);
    assert_eq!(pools_of(vec![pool("all")], &HostAttributes::default()), ["all"]);
}

#[test]
fn a_host_may_be_in_several_pools_or_in_none() {
    let pools = vec![zone_pool("east", "east"), zone_pool("west", "west"), pool("all")];
    assert_eq!(pools_of(pools, &HOST), ["east", "all"]);
    let (east, west) = (zone_pool("east", "east"), zone_pool("west", "west"));
    let routes = Platform::new()
        .compile(&operators(vec![east, west], vec![route_for_customers("r", "east", &[0..=9])]));
    let outside = routes.pools_of(&HostAttributes { zone: "north", ..HOST });
    assert_eq!(outside, PoolMask::NONE);
    assert!(!routes.lookup(request(0, 0, 9)).pool.accepts(outside));
    assert!(routes.lookup(request(0, 0, 10)).pool.accepts(outside));
}

#[test]
fn a_destination_accepts_only_hosts_of_its_pool() {
    let pools = vec![zone_pool("east", "east"), zone_pool("west", "west")];
    let routes = Platform::new().compile(&operators(pools, vec![route("r", "west")]));
    let destination = routes.lookup(request(0, 0, 0));
    assert!(destination.pool.accepts(routes.pools_of(&HostAttributes { zone: "west", ..HOST })));
    assert!(!destination.pool.accepts(routes.pools_of(&HOST)));
    assert!(!destination.fallback.accepts(routes.pools_of(&HOST)), "an empty fallback accepts no host");
}

#[test]
fn sixty_four_pools_are_accepted_and_one_more_is_an_error() {
    let platform = Platform::new();
    let pools = |count: u32| (0..count).map(|n| pool(&format!("p{n}"))).collect::<Vec<_>>();
    let routes = platform.compile(&operators(pools(64), vec![route("first", "p0")]));
    assert_eq!(routes.pools_of(&HOST), PoolMask::ALL, "all bits are in use");
    assert_eq!(routes.lookup(request(0, 0, 0)).pool, PoolMask(1));
    let last = platform.compile(&operators(pools(64), vec![route("last", "p63")]));
    assert_eq!(last.lookup(request(0, 0, 0)).pool, PoolMask(1 << 63));
    assert!(!last.lookup(request(0, 0, 0)).pool.accepts(PoolMask(u64::MAX >> 1)));
    let error = RoutingTable::compile(&operators(pools(65), vec![]), &platform.names()).unwrap_err();
    assert_eq!(error.kind, RoutingErrorKind::TooManyPools("p64".into()));
    assert_eq!(error.to_string(), "park.fb:1:3: pool `p64` is one too many: at most 64 pools");
}
