//! Which route applies to a request.

use config_language::model::Route;
use routing::{Destination, PoolMask, RoutingTable};

use super::common::*;

/// Returns the name of the route that decides on a request, if one applies.
fn route_of(routes: &RoutingTable, class: usize, plan: usize, customer: u64) -> Option<&str> {
    routes.lookup(request(class, plan, customer)).route.map(|route| routes.route_name(route))
}

#[test]
fn without_routes_a_request_may_go_to_any_host() {
    let platform = Platform::new();
    let compiled = platform.compile(&operators(vec![zone_pool("a", "east")], vec![]));
    for routes in [&compiled, &RoutingTable::default()] {
        assert!(routes.is_empty());
        let destination = routes.lookup(request(0, 0, 5));
        assert_eq!(destination, Destination::default());
        assert_eq!(
            (destination.pool, destination.fallback, destination.max_in_flight),
            (PoolMask::ALL, PoolMask::NONE, None)
        );
        assert!(destination.pool.accepts(PoolMask::NONE), "a host that is in no pool is accepted");
        assert!(destination.named_pools().is_empty());
    }
}

#[test]
fn the_first_of_overlapping_routes_wins() {
    let platform = Platform::new();
    let (wide, narrow) =
        (route_for_customers("wide", "a", &[0..=100]), route_for_customers("narrow", "a", &[10..=20]));
    let wide_first = platform.compile(&operators(vec![pool("a")], vec![wide.clone(), narrow.clone()]));
    let narrow_first = platform.compile(&operators(vec![pool("a")], vec![narrow, wide]));
    assert_eq!(route_of(&wide_first, 0, 0, 15), Some("wide"));
    assert_eq!(wide_first.range_count(), 2, "a route that never wins has no range in the tables");
    let around = [9, 10, 20, 21, 100, 101].map(|customer| route_of(&narrow_first, 0, 0, customer));
    let [wide, narrow] = [Some("wide"), Some("narrow")];
    assert_eq!(around, [wide, narrow, narrow, wide, wide, None]);
}

#[test]
fn a_range_may_be_the_lowest_or_the_highest_customer_alone() {
    let platform = Platform::new();
    let top = (1 << 33) - 1;
    let routes = vec![
        route_for_customers("first", "a", &[0..=0]),
        route_for_customers("top", "a", &[top..=top]),
        route_for_customers("last", "a", &[u64::MAX..=u64::MAX]),
    ];
    let routes = platform.compile(&operators(vec![pool("a")], routes));
    let customers = [0, 1, top - 1, top, top + 1, u64::MAX - 1, u64::MAX];
    let found = customers.map(|customer| route_of(&routes, 0, 0, customer));
    assert_eq!(found, [Some("first"), None, None, Some("top"), None, None, Some("last")]);
}

#[test]
fn a_route_for_all_customers_makes_one_range() {
    let platform = Platform::new();
    let routes =
        platform.compile(&operators(vec![pool("a")], vec![route_for_customers("all", "a", &[0..=u64::MAX])]));
    assert_eq!([0, 7, u64::MAX].map(|customer| route_of(&routes, 1, 1, customer)), [Some("all"); 3]);
    assert_eq!(routes.range_count(), 1);
}

#[test]
fn a_route_without_classes_or_plans_applies_to_all_of_them() {
    let platform = Platform::new();
    let orders = Route { classes: Some(at(1, names(&["order"]))), ..route("orders", "a") };
    let premium = Route { plans: Some(at(1, names(&["premium"]))), ..route("premium", "a") };
    let routes = platform.compile(&operators(vec![pool("a")], vec![orders, premium]));
    assert_eq!([0, 1].map(|plan| route_of(&routes, 1, plan, 3)), [Some("orders"); 2]);
    assert_eq!([0, 2].map(|class| route_of(&routes, class, 1, 3)), [Some("premium"); 2]);
    assert_eq!([0, 2].map(|class| route_of(&routes, class, 0, 3)), [None; 2]);
}

#[test]
fn an_unknown_class_or_plan_gets_the_default_destination() {
    let platform = Platform::new();
    let routes = platform.compile(&operators(vec![pool("a")], vec![route("all", "a")]));
    assert_eq!(route_of(&routes, 2, 1, 0), Some("all"));
    assert_eq!(route_of(&routes, 3, 1, 0), None);
    assert_eq!(route_of(&routes, 2, 2, 0), None);
}

#[test]
fn a_route_that_can_never_apply_is_accepted_and_ignored() {
    let platform = Platform::new();
    #[allow(clippy::reversed_empty_ranges, reason = "a file may have such a range")]
    let reversed = route_for_customers("reversed", "a", &[9..=2]);
    let classless = Route { classes: Some(at(1, vec![])), ..route("classless", "a") };
    let nobody = route_for_customers("nobody", "a", &[]);
    let (all, shadowed) = (route("all", "b"), route("shadowed", "a"));
    let routes = vec![reversed, classless, nobody, all, shadowed];
    let routes = platform.compile(&operators(vec![pool("a"), pool("b")], routes));
    assert_eq!([2, 5, 9].map(|customer| route_of(&routes, 0, 0, customer)), [Some("all"); 3]);
    assert_eq!((routes.len(), routes.is_empty()), (5, false));
}

#[test]
fn the_destination_has_the_fallback_and_the_limit_of_its_route() {
    let platform = Platform::new();
    let both = Route { fallback: Some(at(1, "b".into())), most_out: Some(at(1, 0)), ..route("both", "a") };
    let routes = platform.compile(&operators(vec![pool("a"), pool("b")], vec![both]));
    let destination = routes.lookup(request(0, 0, 0));
    assert_eq!(routes.pool_names(destination.pool).collect::<Vec<_>>(), ["a"]);
    assert_eq!(routes.pool_names(destination.fallback).collect::<Vec<_>>(), ["b"]);
    assert_eq!(routes.pool_names(destination.named_pools()).collect::<Vec<_>>(), ["a", "b"]);
    assert_eq!(destination.max_in_flight, Some(0));
}

#[test]
fn classes_and_plans_that_no_route_distinguishes_share_a_table() {
    let platform = Platform::new();
    let shared: Vec<Route> =
        (0..100).map(|n| route_for_customers(&format!("r{n}"), "a", &[10 * n..=10 * n + 5])).collect();
    let one = platform.compile(&operators(vec![pool("a")], shared.clone()));
    assert_eq!(one.range_count(), 200);
    // One route for orders only and one for premium only split the table into four.
    let mut distinguishing = shared;
    distinguishing[50].classes = Some(at(1, names(&["order"])));
    distinguishing[51].plans = Some(at(1, names(&["premium", "premium"])));
    let four = platform.compile(&operators(vec![pool("a")], distinguishing));
    assert!((4 * 196..=4 * 200).contains(&four.range_count()), "{}", four.range_count());
}

#[test]
fn a_class_that_a_route_names_twice_counts_once() {
    let platform = Platform::new();
    let twice = Route { classes: Some(at(1, names(&["read", "order", "read"]))), ..route("twice", "a") };
    let routes = platform.compile(&operators(vec![pool("a")], vec![twice]));
    assert_eq!([0, 1, 2].map(|class| route_of(&routes, class, 0, 1)), [Some("twice"), Some("twice"), None]);
    assert_eq!(routes.range_count(), 2, "read and order share a table");
}

#[test]
fn ten_thousand_routes_take_no_more_memory_than_documented() {
    let platform = Platform::new();
    let routes: Vec<Route> =
        (0..10_000).map(|n| route_for_customers(&format!("r{n}"), "a", &[10 * n..=10 * n + 5])).collect();
    let routes = platform.compile(&operators(vec![pool("a")], routes));
    assert_eq!(route_of(&routes, 0, 0, 99_993), Some("r9999"));
    assert_eq!(route_of(&routes, 0, 0, 99_996), None);
    let tables = 10 * (2 * 10_000 + 1);
    let destinations = 10_000 * size_of::<Destination>();
    let groups = 4 * (3 + 2 + 1);
    assert!(routes.lookup_bytes() <= tables + destinations + groups, "{}", routes.lookup_bytes());
}
