//! Customers cut into ranges, and the route that wins in each.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The most ranges of customers that the routes may lay into the tables. A range counts once for each table that
/// its route is in, and a table counts one. So the tables of one version take at most 40 MiB, and compiling them
/// about a second at most, whatever the files say.
pub const MAX_RANGES: usize = 1 << 21;

/// In place of a route where none holds.
pub(crate) const NO_ROUTE: u16 = u16::MAX;

/// Customers for whom a route holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Span {
    /// The first customer.
    pub(crate) first: u64,
    /// The last customer, not below the first.
    pub(crate) last: u64,
    /// The route.
    pub(crate) route: u16,
}

/// All tables, one behind the other.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tables {
    /// Where each table ends in the lists below. It begins where the one before it ends.
    ends: Vec<u32>,
    /// The first customer of each range; a table's first range begins at 0.
    firsts: Vec<u64>,
    /// The route that wins there.
    winners: Vec<u16>,
}

impl Tables {
    /// Adds a table. Of the routes that hold for a customer the one with the lowest number wins. A sweep from the
    /// lowest customer to the highest: it stops where a span begins and where one ends that was winning.
    pub(crate) fn add(&mut self, spans: &mut [Span]) {
        spans.sort_unstable_by_key(|span| span.first);
        let begin = self.firsts.len();
        let mut coming = spans.iter().peekable();
        let mut running: BinaryHeap<Reverse<(u16, u64)>> = BinaryHeap::new();
        let mut at = Some(0);
        while let Some(customer) = at {
            while let Some(span) = coming.next_if(|span| span.first <= customer) {
                running.push(Reverse((span.route, span.last)));
            }
            // Spans that are over but not on top stay until they get there: they cannot win before.
            while running.peek().is_some_and(|Reverse((_, last))| *last < customer) {
                running.pop();
            }
            let winner = running.peek().map(|Reverse(winner)| *winner);
            self.put(begin, customer, winner.map_or(NO_ROUTE, |(route, _)| route));
            // A span up to the highest number there is ends nowhere.
            let end = winner.and_then(|(_, last)| last.checked_add(1));
            at = coming.peek().map(|span| span.first).into_iter().chain(end).min();
        }
        self.ends.push(self.firsts.len() as u32);
    }

    /// Adds a range to the table that begins at `begin`, unless the same route goes on winning.
    fn put(&mut self, begin: usize, first: u64, winner: u16) {
        if self.winners[begin..].last() != Some(&winner) {
            self.firsts.push(first);
            self.winners.push(winner);
        }
    }

    /// The route that wins for a customer in a table, by halving; `compared` is called at each comparison.
    #[inline]
    pub(crate) fn winner(&self, table: usize, customer: u64, mut compared: impl FnMut()) -> u16 {
        let begin = if table == 0 { 0 } else { self.ends[table - 1] as usize };
        let firsts = &self.firsts[begin..self.ends[table] as usize];
        let after = firsts.partition_point(|first| {
            compared();
            *first <= customer
        });
        // The first range begins at 0, so at least one begins at or before the customer.
        self.winners[begin + after - 1]
    }

    /// Ranges in all tables.
    pub(crate) fn ranges(&self) -> usize {
        self.firsts.len()
    }

    /// Gives back what the lists have to spare.
    pub(crate) fn shrink(&mut self) {
        self.ends.shrink_to_fit();
        self.firsts.shrink_to_fit();
        self.winners.shrink_to_fit();
    }

    /// Bytes on the heap.
    pub(crate) fn bytes(&self) -> usize {
        self.ends.capacity() * size_of::<u32>()
            + self.firsts.capacity() * size_of::<u64>()
            + self.winners.capacity() * size_of::<u16>()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The ranges of one table: where each begins and which route wins there.
    fn table(mut spans: Vec<Span>) -> Vec<(u64, u16)> {
        let mut tables = Tables::default();
        tables.add(&mut spans);
        tables.firsts.into_iter().zip(tables.winners).collect()
    }

    fn span(route: u16, first: u64, last: u64) -> Span {
        Span { first, last, route }
    }

    #[test]
    fn neighbours_with_one_winner_are_one_range() {
        let touching = vec![span(1, 10, 19), span(1, 20, 29), span(1, 15, 25), span(2, 0, 40)];
        assert_eq!(table(touching), [(0, 2), (10, 1), (30, 2), (41, NO_ROUTE)]);
        assert_eq!(table(vec![]), [(0, NO_ROUTE)]);
    }

    #[test]
    fn each_span_adds_two_ranges_at_most() {
        // Nested like the skins of an onion, the innermost first in order: each one is seen on both sides.
        let skins: Vec<Span> =
            (0..500).map(|n| span(n, 1000 - u64::from(n) - 1, 1000 + u64::from(n))).collect();
        assert_eq!(table(skins.clone()).len(), 2 * 500 + 1);
        // The other way round the outermost hides the others.
        let hidden = skins.iter().map(|skin| Span { route: 499 - skin.route, ..*skin }).collect();
        assert_eq!(table(hidden), [(0, NO_ROUTE), (500, 0), (1500, NO_ROUTE)]);
    }

    #[test]
    fn a_table_is_searched_between_its_own_ends() {
        let mut tables = Tables::default();
        for route in 0..3 {
            tables.add(&mut [span(route, 5, u64::MAX)]);
        }
        let winners = |customer| [0, 1, 2].map(|table| tables.winner(table, customer, || ()));
        assert_eq!((winners(0), winners(4)), ([NO_ROUTE; 3], [NO_ROUTE; 3]));
        assert_eq!((winners(5), winners(u64::MAX)), ([0, 1, 2], [0, 1, 2]));
    }
}
