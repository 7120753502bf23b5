//! What is not put in force.

use config_language::model::{Operators, Pool, Route};
use routing::{RoutingErrorKind, RoutingTable, MAX_RANGES, MAX_ROUTES};

use super::common::*;

/// The message for a file set that has one pool, `a`, and these routes.
fn refused(routes: Vec<Route>) -> String {
    error(&operators(vec![pool("a")], routes))
}

fn error(operators: &Operators) -> String {
    RoutingTable::compile(operators, &Platform::new().facts()).unwrap_err().to_string()
}

#[test]
fn names_that_are_not_known_are_named_with_their_place() {
    let class = Route { classes: Some(at(11, names(&["read", "write"]))), ..route("r", "a") };
    assert_eq!(refused(vec![class]), "park.fb:11:3: the platform has no class `write`");
    let plan = Route { plans: Some(at(12, names(&["gold"]))), ..route("r", "a") };
    assert_eq!(refused(vec![plan]), "park.fb:12:3: the platform has no plan `gold`");
    assert_eq!(refused(vec![route("r", "b")]), "park.fb:4:3: there is no pool `b`");
    let fallback = Route { fallback: Some(at(13, "c".into())), ..route("r", "a") };
    assert_eq!(refused(vec![fallback]), "park.fb:13:3: there is no pool `c`");
    let zone = zone("z", "north");
    assert_eq!(error(&operators(vec![zone], vec![])), "park.fb:2:3: the platform has no zone `north`");
    let machine = Pool { machines: Some(at(14, names(&["huge"]))), ..pool("m") };
    let message = "park.fb:14:3: the platform has no machine type `huge`";
    assert_eq!(error(&operators(vec![machine], vec![])), message);
}

#[test]
fn names_stand_for_one_thing() {
    let twice = vec![route("r", "a"), route("r", "a")];
    assert_eq!(refused(twice), "park.fb:3:3: a second route has the name `r`");
    let twice = vec![pool("a"), zone("a", "east")];
    assert_eq!(error(&operators(twice, vec![])), "park.fb:1:3: a second pool has the name `a`");
}

#[test]
fn routes_are_counted() {
    let all = |count: usize| (0..count).map(|n| route(&format!("r{n}"), "a")).collect::<Vec<_>>();
    let most = Platform::new().compile(&operators(vec![pool("a")], all(MAX_ROUTES)));
    assert_eq!((most.len(), most.range_count()), (65_535, 1));
    let beyond = "park.fb:3:3: route `r65535` is one too many: at most 65535 routes";
    assert_eq!(refused(all(MAX_ROUTES + 1)), beyond);
}

#[test]
fn the_last_route_there_can_be_is_not_taken_for_none() {
    let mut routes: Vec<Route> =
        (1..MAX_ROUTES).map(|n| customers(&format!("r{n}"), "a", &[0..=0])).collect();
    routes.push(customers("last", "a", &[7..=7]));
    let routes = Platform::new().compile(&operators(vec![pool("a")], routes));
    assert_eq!(routes.lookup(0, 0, 7).route.map(|route| routes.route_name(route)), Some("last"));
    assert_eq!(routes.lookup(0, 0, 8).route, None);
}

#[test]
fn tables_have_a_bound() {
    // One table, which counts itself, ranges that fall together, and one that has no customer and so counts for
    // nothing.
    let mut ranges = vec![5..=6; MAX_RANGES - 1];
    #[allow(clippy::reversed_empty_ranges, reason = "what a file may say")]
    ranges.push(9..=2);
    let fits = customers("fits", "a", &ranges);
    let routes = Platform::new().compile(&operators(vec![pool("a")], vec![fits.clone()]));
    assert_eq!(routes.range_count(), 3);
    let more = customers("more", "a", &[7..=8]);
    let error =
        RoutingTable::compile(&operators(vec![pool("a")], vec![fits, more]), &Platform::new().facts());
    assert_eq!(error.unwrap_err().kind, RoutingErrorKind::TooManyRanges("more".into()));
}
