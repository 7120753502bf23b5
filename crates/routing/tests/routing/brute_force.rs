//! Compares look-ups in the tables with a linear search through the routes.

use std::ops::RangeInclusive;

use config_language::model::{At, Route};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::common::*;

/// Generates customers that are close together, so that ranges adjoin and overlap, and extreme customer numbers.
fn customer() -> impl Strategy<Value = u64> {
    let ends = [0, 1, (1 << 33) - 1, 1 << 33, u64::MAX - 1, u64::MAX];
    prop_oneof![4 => 0_u64..40, 1 => prop::sample::select(ends.to_vec())]
}

/// Generates ranges, of which about one in ten ends before it begins.
fn range() -> impl Strategy<Value = RangeInclusive<u64>> {
    (customer(), customer(), 0..5).prop_map(
        |(a, b, may_be_reversed)| {
            if may_be_reversed == 0 {
                a..=b
            } else {
                a.min(b)..=a.max(b)
            }
        },
    )
}

/// Generates a list that may be missing, be empty, or have duplicates.
fn optional_list<T: Clone + std::fmt::Debug>(
    one: impl Strategy<Value = T>,
) -> impl Strategy<Value = Option<At<Vec<T>>>> {
    prop::option::of(prop::collection::vec(one, 0..4).prop_map(|list| at(1, list)))
}

fn any_route() -> impl Strategy<Value = Route> {
    let classes = optional_list(prop::sample::select(Platform::new().classes));
    let plans = optional_list(prop::sample::select(Platform::new().plans));
    let pool = prop::sample::select(names(&["a", "b"]));
    (classes, plans, optional_list(range()), pool).prop_map(|(classes, plans, customers, pool)| Route {
        classes,
        plans,
        customers,
        ..route("", &pool)
    })
}

/// Returns whether a route applies to a request.
fn applies(route: &Route, class: &str, plan: &str, customer: u64) -> bool {
    fn matches_any<T>(list: &Option<At<Vec<T>>>, matches: impl Fn(&T) -> bool) -> bool {
        list.as_ref().is_none_or(|list| list.value.iter().any(matches))
    }
    matches_any(&route.classes, |name| name == class)
        && matches_any(&route.plans, |name| name == plan)
        && matches_any(&route.customers, |range| range.contains(&customer))
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        cases: 400,
        ..Config::default()
    })]

    #[test]
    fn the_lookup_finds_the_first_route_that_applies(
        routes in prop::collection::vec(any_route(), 0..25),
        customers in prop::collection::vec(customer(), 1..30),
    ) {
        let mut routes = routes;
        for (number, route) in routes.iter_mut().enumerate() {
            route.name.value = format!("route-{number}");
        }
        let (platform, operators) = (Platform::new(), operators(vec![pool("a"), pool("b")], routes));
        let compiled = platform.compile(&operators);
        for (class, class_name) in platform.classes.iter().enumerate() {
            for (plan, plan_name) in platform.plans.iter().enumerate() {
                for &customer in &customers {
                    let destination = compiled.lookup(request(class, plan, customer));
                    let first = operators.routes.iter().find(|r| applies(r, class_name, plan_name, customer));
                    let name = destination.route.map(|route| compiled.route_name(route));
                    prop_assert_eq!(name, first.map(|route| route.name.value.as_str()));
                    let pools: Vec<&str> = compiled.pool_names(destination.named_pools()).collect();
                    prop_assert_eq!(pools.first().copied(), first.map(|route| route.pool.value.as_str()));
                }
            }
        }
    }
}
