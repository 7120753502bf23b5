//! Tests of single tables: the ranges that the sweep produces, and the table that a look-up searches.

use super::*;

/// Returns the first customer and the winning route of each range of a table.
fn table(mut ranges: Vec<CustomerRange>) -> Vec<(u64, u16)> {
    let mut tables = RangeTables::default();
    tables.add_table(&mut ranges);
    tables.range_starts.into_iter().zip(tables.winners).collect()
}

fn range(route: u16, first: u64, last: u64) -> CustomerRange {
    CustomerRange { first, last, route }
}

#[test]
fn adjacent_ranges_with_the_same_winner_are_merged() {
    let adjacent = vec![range(1, 10, 19), range(1, 20, 29), range(1, 15, 25), range(2, 0, 40)];
    assert_eq!(table(adjacent), [(0, 2), (10, 1), (30, 2), (41, NO_ROUTE)]);
    assert_eq!(table(vec![]), [(0, NO_ROUTE)]);
}

#[test]
fn each_customer_range_adds_at_most_two_ranges_to_a_table() {
    // Nested ranges, the innermost with the lowest route number: each one wins on both sides of those inside it.
    let nested: Vec<CustomerRange> =
        (0..500).map(|n| range(n, 1000 - u64::from(n) - 1, 1000 + u64::from(n))).collect();
    assert_eq!(table(nested.clone()).len(), 2 * 500 + 1);
    // With reversed route numbers the outermost range hides the others.
    let hidden = nested.iter().map(|range| CustomerRange { route: 499 - range.route, ..*range }).collect();
    assert_eq!(table(hidden), [(0, NO_ROUTE), (500, 0), (1500, NO_ROUTE)]);
}

#[test]
fn a_lookup_searches_only_the_table_it_names() {
    let mut tables = RangeTables::default();
    for route in 0..3 {
        tables.add_table(&mut [range(route, 5, u64::MAX)]);
    }
    let winners = |customer| [0, 1, 2].map(|table| tables.winner(table, customer, || ()));
    assert_eq!((winners(0), winners(4)), ([NO_ROUTE; 3], [NO_ROUTE; 3]));
    assert_eq!((winners(5), winners(u64::MAX)), ([0, 1, 2], [0, 1, 2]));
}
