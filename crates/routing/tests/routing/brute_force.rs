//! The tables against going through the routes one by one.

use std::ops::RangeInclusive;

use config_language::model::{At, Route};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::common::*;

/// Customers close enough together for ranges to meet, and those at the ends of what there is.
fn customer() -> impl Strategy<Value = u64> {
    let ends = [0, 1, (1 << 33) - 1, 1 << 33, u64::MAX - 1, u64::MAX];
    prop_oneof![4 => 0_u64..40, 1 => prop::sample::select(ends.to_vec())]
}

/// One in five or so ends before it begins.
fn range() -> impl Strategy<Value = RangeInclusive<u64>> {
    (customer(), customer(), 0..5).prop_map(
        |(a, b, turned)| {
            if turned == 0 {
                a..=b
            } else {
                a.min(b)..=a.max(b)
            }
        },
    )
}

/// A list that may be left out, empty, or name things twice.
fn some_of<T: Clone + std::fmt::Debug>(
    one: impl Strategy<Value = T>,
) -> impl Strategy<Value = Option<At<Vec<T>>>> {
    prop::option::of(prop::collection::vec(one, 0..4).prop_map(|list| at(1, list)))
}

fn a_route() -> impl Strategy<Value = Route> {
    let classes = some_of(prop::sample::select(Platform::new().classes));
    let plans = some_of(prop::sample::select(Platform::new().plans));
    let pool = prop::sample::select(names(&["a", "b"]));
    (classes, plans, some_of(range()), pool).prop_map(|(classes, plans, customers, pool)| Route {
        classes,
        plans,
        customers,
        ..route("", &pool)
    })
}

/// Whether all that a route says holds.
fn holds(route: &Route, class: &str, plan: &str, customer: u64) -> bool {
    fn any<T>(list: &Option<At<Vec<T>>>, holds: impl Fn(&T) -> bool) -> bool {
        list.as_ref().is_none_or(|list| list.value.iter().any(holds))
    }
    any(&route.classes, |name| name == class)
        && any(&route.plans, |name| name == plan)
        && any(&route.customers, |range| range.contains(&customer))
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        cases: 400,
        ..Config::default()
    })]

    #[test]
    fn the_first_route_that_holds_is_chosen(
        routes in prop::collection::vec(a_route(), 0..25),
        asked in prop::collection::vec(customer(), 1..30),
    ) {
        let mut routes = routes;
        for (number, route) in routes.iter_mut().enumerate() {
            route.name.value = format!("route-{number}");
        }
        let (platform, operators) = (Platform::new(), operators(vec![pool("a"), pool("b")], routes));
        let compiled = platform.compile(&operators);
        for (class, class_name) in platform.classes.iter().enumerate() {
            for (plan, plan_name) in platform.plans.iter().enumerate() {
                for &customer in &asked {
                    let choice = compiled.lookup(class, plan, customer);
                    let first = operators.routes.iter().find(|r| holds(r, class_name, plan_name, customer));
                    let name = choice.route.map(|route| compiled.route_name(route));
                    prop_assert_eq!(name, first.map(|route| route.name.value.as_str()));
                    let pools: Vec<&str> = compiled.pool_names(choice.named_pools()).collect();
                    prop_assert_eq!(pools.first().copied(), first.map(|route| route.pool.value.as_str()));
                }
            }
        }
    }
}
