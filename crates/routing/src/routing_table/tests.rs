//! The number of comparisons of a look-up.

use config_language::model::{Origin, Pool};

use super::*;

fn at<T>(value: T) -> At<T> {
    At { value, origin: Origin::default() }
}

/// Returns a table with routes for ten customers each, and a gap of ten customers without a route after each route.
fn table_with_gaps(count: u64) -> RoutingTable {
    let pool = Pool { name: at("a".into()), zones: None, machines: None, cells: None, ids: None };
    let route = |number: u64| Route {
        name: at(number.to_string()),
        classes: None,
        plans: None,
        customers: Some(at(vec![20 * number..=20 * number + 9])),
        pool: at("a".into()),
        fallback: None,
        most_out: None,
    };
    let routes = (0..count).map(route).collect();
    let operators = Operators { pools: vec![pool], routes, ..Operators::default() };
    let names = ["class".to_owned(), "plan".to_owned()];
    let names = PlatformNames { classes: &names[..1], plans: &names[1..], ..PlatformNames::default() };
    RoutingTable::compile(&operators, &names).unwrap()
}

#[test]
fn a_lookup_compares_no_more_often_than_a_binary_search() {
    for count in [0, 1, 10, 10_000, 50_000] {
        let table = table_with_gaps(count);
        let halvings = (2 * count).max(1).ilog2() + 1;
        let customers = (0..1000).map(|part| part * 20 * count / 1000).chain([u64::MAX]);
        for customer in customers {
            let request = RequestAttributes { class: 0, plan: 0, customer };
            let mut comparisons = 0;
            let destination = table.lookup_counting(request, || comparisons += 1);
            let (route, is_in_range) = (customer / 20, customer % 20 < 10);
            let expected = (route < count && is_in_range).then(|| route.to_string());
            assert_eq!(destination.route.map(|id| table.route_name(id).to_owned()), expected);
            assert!((1..=halvings + 1).contains(&comparisons), "{comparisons} with {count} routes");
        }
    }
}
