//! File sets that compilation rejects.

use config_language::model::{Operators, Pool, Route};
use routing::{RoutingErrorKind, RoutingTable, MAX_RANGES, MAX_ROUTES};

use super::common::*;

/// Returns the message for a file set that has one pool, `a`, and these routes.
fn error_of_routes(routes: Vec<Route>) -> String {
    error_text(&operators(vec![pool("a")], routes))
}

fn error_text(operators: &Operators) -> String {
    RoutingTable::compile(operators, &Platform::new().names()).unwrap_err().to_string()
}

#[test]
fn an_unknown_name_is_an_error_at_its_place() {
    let class = Route { classes: Some(at(11, names(&["read", "write"]))), ..route("r", "a") };
    assert_eq!(error_of_routes(vec![class]), "park.fb:11:3: the platform has no class `write`");
    let plan = Route { plans: Some(at(12, names(&["gold"]))), ..route("r", "a") };
    assert_eq!(error_of_routes(vec![plan]), "park.fb:12:3: the platform has no plan `gold`");
    assert_eq!(error_of_routes(vec![route("r", "b")]), "park.fb:4:3: there is no pool `b`");
    let fallback = Route { fallback: Some(at(13, "c".into())), ..route("r", "a") };
    assert_eq!(error_of_routes(vec![fallback]), "park.fb:13:3: there is no pool `c`");
    let zone = zone_pool("z", "north");
    assert_eq!(error_text(&operators(vec![zone], vec![])), "park.fb:2:3: the platform has no zone `north`");
    let machine = Pool { machines: Some(at(14, names(&["huge"]))), ..pool("m") };
    let message = "park.fb:14:3: the platform has no machine type `huge`";
    assert_eq!(error_text(&operators(vec![machine], vec![])), message);
}

#[test]
fn a_duplicate_name_is_an_error_at_its_place() {
    let duplicate = vec![route("r", "a"), route("r", "a")];
    assert_eq!(error_of_routes(duplicate), "park.fb:3:3: a second route has the name `r`");
    let duplicate = vec![pool("a"), zone_pool("a", "east")];
    assert_eq!(error_text(&operators(duplicate, vec![])), "park.fb:1:3: a second pool has the name `a`");
}

#[test]
fn one_route_beyond_the_maximum_is_an_error() {
    let routes = |count: usize| (0..count).map(|n| route(&format!("r{n}"), "a")).collect::<Vec<_>>();
    let largest = Platform::new().compile(&operators(vec![pool("a")], routes(MAX_ROUTES)));
    assert_eq!((largest.len(), largest.range_count()), (65_535, 1));
    let beyond = "park.fb:3:3: route `r65535` is one too many: at most 65535 routes";
    assert_eq!(error_of_routes(routes(MAX_ROUTES + 1)), beyond);
}

#[test]
fn the_route_with_the_highest_number_is_found() {
    let mut routes: Vec<Route> =
        (1..MAX_ROUTES).map(|n| route_for_customers(&format!("r{n}"), "a", &[0..=0])).collect();
    routes.push(route_for_customers("last", "a", &[7..=7]));
    let routes = Platform::new().compile(&operators(vec![pool("a")], routes));
    assert_eq!(routes.lookup(request(0, 0, 7)).route.map(|route| routes.route_name(route)), Some("last"));
    assert_eq!(routes.lookup(request(0, 0, 8)).route, None);
}

#[test]
fn ranges_beyond_the_maximum_are_an_error() {
    // Fills the bound exactly: the one table counts as one, and the range without customers does not count.
    let mut ranges = vec![5..=6; MAX_RANGES - 1];
    #[allow(clippy::reversed_empty_ranges, reason = "a file may have such a range")]
    ranges.push(9..=2);
    let fits = route_for_customers("fits", "a", &ranges);
    let routes = Platform::new().compile(&operators(vec![pool("a")], vec![fits.clone()]));
    assert_eq!(routes.range_count(), 3);
    let more = route_for_customers("more", "a", &[7..=8]);
    let error =
        RoutingTable::compile(&operators(vec![pool("a")], vec![fits, more]), &Platform::new().names());
    assert_eq!(error.unwrap_err().kind, RoutingErrorKind::TooManyRanges("more".into()));
}
