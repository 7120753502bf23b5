//! Which route is chosen.

use config_language::model::Route;
use routing::{Destination, PoolMask, RoutingTable};

use super::common::*;

/// The name of the route that a request gets, if any.
fn chosen(routes: &RoutingTable, class: usize, plan: usize, customer: u64) -> Option<&str> {
    routes.lookup(class, plan, customer).route.map(|route| routes.route_name(route))
}

#[test]
fn without_routes_any_host_will_do() {
    let platform = Platform::new();
    let none = platform.compile(&operators(vec![zone("a", "east")], vec![]));
    for routes in [&none, &RoutingTable::default()] {
        assert!(routes.is_empty());
        let choice = routes.lookup(0, 0, 5);
        assert_eq!(choice, Destination::default());
        assert_eq!(
            (choice.pool, choice.fallback, choice.max_in_flight),
            (PoolMask::ALL, PoolMask::NONE, None)
        );
        assert!(choice.pool.accepts(PoolMask::NONE), "a host that is in no pool takes part");
        assert!(choice.named_pools().is_empty());
    }
}

#[test]
fn the_order_decides() {
    let platform = Platform::new();
    let (wide, narrow) = (customers("wide", "a", &[0..=100]), customers("narrow", "a", &[10..=20]));
    let wide_first = platform.compile(&operators(vec![pool("a")], vec![wide.clone(), narrow.clone()]));
    let narrow_first = platform.compile(&operators(vec![pool("a")], vec![narrow, wide]));
    assert_eq!(chosen(&wide_first, 0, 0, 15), Some("wide"));
    assert_eq!(wide_first.range_count(), 2, "what can never win leaves nothing in the tables");
    let around = [9, 10, 20, 21, 100, 101].map(|customer| chosen(&narrow_first, 0, 0, customer));
    let [wide, narrow] = [Some("wide"), Some("narrow")];
    assert_eq!(around, [wide, narrow, narrow, wide, wide, None]);
}

#[test]
fn ranges_reach_the_ends_of_what_there_is() {
    let platform = Platform::new();
    let top = (1 << 33) - 1;
    let routes = vec![
        customers("first", "a", &[0..=0]),
        customers("top", "a", &[top..=top]),
        customers("last", "a", &[u64::MAX..=u64::MAX]),
    ];
    let routes = platform.compile(&operators(vec![pool("a")], routes));
    let asked = [0, 1, top - 1, top, top + 1, u64::MAX - 1, u64::MAX];
    let got = asked.map(|customer| chosen(&routes, 0, 0, customer));
    assert_eq!(got, [Some("first"), None, None, Some("top"), None, None, Some("last")]);
}

#[test]
fn one_range_over_all_is_one_range() {
    let platform = Platform::new();
    let routes = platform.compile(&operators(vec![pool("a")], vec![customers("all", "a", &[0..=u64::MAX])]));
    assert_eq!([0, 7, u64::MAX].map(|customer| chosen(&routes, 1, 1, customer)), [Some("all"); 3]);
    assert_eq!(routes.range_count(), 1);
}

#[test]
fn what_is_not_named_holds_for_all() {
    let platform = Platform::new();
    let orders = Route { classes: Some(at(1, names(&["order"]))), ..route("orders", "a") };
    let premium = Route { plans: Some(at(1, names(&["premium"]))), ..route("premium", "a") };
    let routes = platform.compile(&operators(vec![pool("a")], vec![orders, premium]));
    assert_eq!([0, 1].map(|plan| chosen(&routes, 1, plan, 3)), [Some("orders"); 2]);
    assert_eq!([0, 2].map(|class| chosen(&routes, class, 1, 3)), [Some("premium"); 2]);
    assert_eq!([0, 2].map(|class| chosen(&routes, class, 0, 3)), [None; 2]);
}

#[test]
fn a_class_or_plan_beyond_the_platforms_gets_the_default() {
    let platform = Platform::new();
    let routes = platform.compile(&operators(vec![pool("a")], vec![route("all", "a")]));
    assert_eq!(chosen(&routes, 2, 1, 0), Some("all"));
    assert_eq!(chosen(&routes, 3, 1, 0), None);
    assert_eq!(chosen(&routes, 2, 2, 0), None);
}

#[test]
fn a_route_that_can_never_match_is_harmless() {
    let platform = Platform::new();
    #[allow(clippy::reversed_empty_ranges, reason = "what a file may say")]
    let turned = customers("turned", "a", &[9..=2]);
    let classless = Route { classes: Some(at(1, vec![])), ..route("classless", "a") };
    let nobody = customers("nobody", "a", &[]);
    let (all, shadowed) = (route("all", "b"), route("shadowed", "a"));
    let routes = vec![turned, classless, nobody, all, shadowed];
    let routes = platform.compile(&operators(vec![pool("a"), pool("b")], routes));
    assert_eq!([2, 5, 9].map(|customer| chosen(&routes, 0, 0, customer)), [Some("all"); 3]);
    assert_eq!((routes.len(), routes.is_empty()), (5, false));
}

#[test]
fn a_fallback_and_a_limit_come_with_the_choice() {
    let platform = Platform::new();
    let both = Route { fallback: Some(at(1, "b".into())), most_out: Some(at(1, 0)), ..route("both", "a") };
    let routes = platform.compile(&operators(vec![pool("a"), pool("b")], vec![both]));
    let choice = routes.lookup(0, 0, 0);
    assert_eq!(routes.pool_names(choice.pool).collect::<Vec<_>>(), ["a"]);
    assert_eq!(routes.pool_names(choice.fallback).collect::<Vec<_>>(), ["b"]);
    assert_eq!(routes.pool_names(choice.named_pools()).collect::<Vec<_>>(), ["a", "b"]);
    assert_eq!(choice.max_in_flight, Some(0));
}

#[test]
fn tables_are_shared_where_routes_tell_nothing_apart() {
    let platform = Platform::new();
    let shared: Vec<Route> =
        (0..100).map(|n| customers(&format!("r{n}"), "a", &[10 * n..=10 * n + 5])).collect();
    let one = platform.compile(&operators(vec![pool("a")], shared.clone()));
    assert_eq!(one.range_count(), 200);
    // Now orders are told apart from the rest, and premium from standard: four tables.
    let mut apart = shared;
    apart[50].classes = Some(at(1, names(&["order"])));
    apart[51].plans = Some(at(1, names(&["premium", "premium"])));
    let four = platform.compile(&operators(vec![pool("a")], apart));
    assert!((4 * 196..=4 * 200).contains(&four.range_count()), "{}", four.range_count());
}

#[test]
fn a_class_named_twice_is_named_once() {
    let platform = Platform::new();
    let twice = Route { classes: Some(at(1, names(&["read", "order", "read"]))), ..route("twice", "a") };
    let routes = platform.compile(&operators(vec![pool("a")], vec![twice]));
    assert_eq!([0, 1, 2].map(|class| chosen(&routes, class, 0, 1)), [Some("twice"), Some("twice"), None]);
    assert_eq!(routes.range_count(), 2, "reads and orders share a table");
}

#[test]
fn ten_thousand_routes_stay_within_the_memory_that_is_stated() {
    let platform = Platform::new();
    let routes: Vec<Route> =
        (0..10_000).map(|n| customers(&format!("r{n}"), "a", &[10 * n..=10 * n + 5])).collect();
    let routes = platform.compile(&operators(vec![pool("a")], routes));
    assert_eq!(chosen(&routes, 0, 0, 99_993), Some("r9999"));
    assert_eq!(chosen(&routes, 0, 0, 99_996), None);
    let tables = 10 * (2 * 10_000 + 1);
    let choices = 10_000 * size_of::<Destination>();
    let groups = 4 * (3 + 2 + 1);
    assert!(routes.lookup_bytes() <= tables + choices + groups, "{}", routes.lookup_bytes());
}
