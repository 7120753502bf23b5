//! Which pools hosts are in.

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
fn all_that_is_given_has_to_hold() {
    let whole = Pool {
        zones: Some(at(1, names(&["west", "east"]))),
        machines: Some(at(1, names(&["big"]))),
        cells: Some(at(1, vec![0..=1, 4..=4])),
        ids: Some(at(1, names(&["x", "s-1"]))),
        ..pool("p")
    };
    let held = |host: HostAttributes| !pools_of(vec![whole.clone()], &host).is_empty();
    assert!(held(HOST));
    assert!(!held(HostAttributes { zone: "north", ..HOST }));
    assert!(!held(HostAttributes { machine_type: "small", ..HOST }));
    assert!(!held(HostAttributes { cell: 3, ..HOST }));
    assert!(!held(HostAttributes { id: "t-17", ..HOST }));
}

#[test]
fn a_list_with_nothing_in_it_holds_no_host_and_no_list_holds_all() {
    let none = Pool { zones: Some(at(1, vec![])), ..pool("none") };
    assert_eq!(pools_of(vec![none, pool("all")], &HOST), ["all"]);
    assert_eq!(pools_of(vec![pool("all")], &HostAttributes::default()), ["all"]);
}

#[test]
fn a_host_may_be_in_several_pools_or_in_none() {
    let pools = vec![zone("east", "east"), zone("west", "west"), pool("all")];
    assert_eq!(pools_of(pools, &HOST), ["east", "all"]);
    let (east, west) = (zone("east", "east"), zone("west", "west"));
    let routes =
        Platform::new().compile(&operators(vec![east, west], vec![customers("r", "east", &[0..=9])]));
    let outside = routes.pools_of(&HostAttributes { zone: "north", ..HOST });
    assert_eq!(outside, PoolMask::NONE);
    assert!(!routes.lookup(0, 0, 9).pool.accepts(outside));
    assert!(routes.lookup(0, 0, 10).pool.accepts(outside));
}

#[test]
fn a_pool_takes_its_own_hosts_only() {
    let pools = vec![zone("east", "east"), zone("west", "west")];
    let routes = Platform::new().compile(&operators(pools, vec![route("r", "west")]));
    let choice = routes.lookup(0, 0, 0);
    assert!(choice.pool.accepts(routes.pools_of(&HostAttributes { zone: "west", ..HOST })));
    assert!(!choice.pool.accepts(routes.pools_of(&HOST)));
    assert!(!choice.fallback.accepts(routes.pools_of(&HOST)), "no fall-back takes nothing");
}

#[test]
fn sixty_four_pools_fit_and_one_more_does_not() {
    let platform = Platform::new();
    let pools = |count: u32| (0..count).map(|n| pool(&format!("p{n}"))).collect::<Vec<_>>();
    let routes = platform.compile(&operators(pools(64), vec![route("first", "p0")]));
    assert_eq!(routes.pools_of(&HOST), PoolMask::ALL, "all bits are in use");
    assert_eq!(routes.lookup(0, 0, 0).pool, PoolMask(1));
    let last = platform.compile(&operators(pools(64), vec![route("last", "p63")]));
    assert_eq!(last.lookup(0, 0, 0).pool, PoolMask(1 << 63));
    assert!(!last.lookup(0, 0, 0).pool.accepts(PoolMask(u64::MAX >> 1)));
    let error = RoutingTable::compile(&operators(pools(65), vec![]), &platform.facts()).unwrap_err();
    assert_eq!(error.kind, RoutingErrorKind::TooManyPools("p64".into()));
    assert_eq!(error.to_string(), "park.fb:1:3: pool `p64` is one too many: at most 64 pools");
}
