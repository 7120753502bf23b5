//! Tables of disjoint customer ranges, with the winning route of each range.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[cfg(test)]
mod tests;

/// Winner of a range in which no route applies. No route has this number, see [`MAX_ROUTES`](crate::MAX_ROUTES).
pub(crate) const NO_ROUTE: u16 = u16::MAX;

/// A range of customers that a route applies to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CustomerRange {
    /// The first customer.
    pub(crate) first: u64,
    /// The last customer, not below the first.
    pub(crate) last: u64,
    /// Number of the route. Of the routes that apply to a customer the one with the lowest number wins.
    pub(crate) route: u16,
}

/// A range that the sweep has reached. Ranges are ordered by route number, and the lowest one wins.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ActiveRange {
    route: u16,
    last: u64,
}

/// All tables, stored one after another in shared lists.
#[derive(Clone, Debug, Default)]
pub(crate) struct RangeTables {
    /// The end of each table in the lists below. A table begins where the one before it ends.
    table_ends: Vec<u32>,
    /// The first customer of each range. The first range of a table begins at 0.
    range_starts: Vec<u64>,
    /// The route that wins in each range, or [`NO_ROUTE`].
    winners: Vec<u16>,
}

impl RangeTables {
    /// Builds one table from each list of ranges.
    pub(crate) fn build<R>(tables: impl Iterator<Item = R>) -> RangeTables
    where
        R: IntoIterator<Item = CustomerRange>,
    {
        let mut built = RangeTables::default();
        let mut buffer = Vec::new();
        for ranges in tables {
            buffer.clear();
            buffer.extend(ranges);
            built.add_table(&mut buffer);
        }
        built.table_ends.shrink_to_fit();
        built.range_starts.shrink_to_fit();
        built.winners.shrink_to_fit();
        built
    }

    /// Adds a table, by a sweep from the lowest to the highest customer. The sweep stops where a range begins and after
    /// the end of each winning range: only there can the winner change.
    fn add_table(&mut self, ranges: &mut [CustomerRange]) {
        ranges.sort_unstable_by_key(|range| range.first);
        let table_start = self.range_starts.len();
        let mut upcoming = ranges.iter().peekable();
        let mut active: BinaryHeap<Reverse<ActiveRange>> = BinaryHeap::new();
        let mut stop = Some(0);
        while let Some(customer) = stop {
            while let Some(range) = upcoming.next_if(|range| range.first <= customer) {
                active.push(Reverse(ActiveRange { route: range.route, last: range.last }));
            }
            // A range that has ended is removed only when it reaches the top of the heap; below the top it cannot win.
            while active.peek().is_some_and(|Reverse(range)| range.last < customer) {
                active.pop();
            }
            let winner = active.peek().map(|Reverse(range)| range);
            self.push_range(table_start, customer, winner.map_or(NO_ROUTE, |range| range.route));
            // No customer follows a range that ends at the highest customer number.
            let after_winner = winner.and_then(|range| range.last.checked_add(1));
            let next_start = upcoming.peek().map(|range| range.first);
            stop = next_start.into_iter().chain(after_winner).min();
        }
        self.table_ends.push(self.range_starts.len() as u32);
    }

    /// Adds a range to the table that begins at `table_start`, unless the range before it has the same winner.
    fn push_range(&mut self, table_start: usize, first: u64, winner: u16) {
        if self.winners[table_start..].last() != Some(&winner) {
            self.range_starts.push(first);
            self.winners.push(winner);
        }
    }

    /// Returns the route that wins for a customer in a table, or [`NO_ROUTE`]. The search is binary; `on_comparison`
    /// is called at each comparison.
    #[inline]
    pub(crate) fn winner(&self, table: usize, customer: u64, mut on_comparison: impl FnMut()) -> u16 {
        let table_start = if table == 0 { 0 } else { self.table_ends[table - 1] as usize };
        let range_starts = &self.range_starts[table_start..self.table_ends[table] as usize];
        let begun_count = range_starts.partition_point(|first| {
            on_comparison();
            *first <= customer
        });
        // The first range begins at 0, so at least one begins at or before the customer.
        self.winners[table_start + begun_count - 1]
    }

    /// Returns the number of ranges in all tables.
    pub(crate) fn range_count(&self) -> usize {
        self.range_starts.len()
    }

    /// Returns the number of bytes on the heap.
    pub(crate) fn heap_bytes(&self) -> usize {
        self.table_ends.capacity() * size_of::<u32>()
            + self.range_starts.capacity() * size_of::<u64>()
            + self.winners.capacity() * size_of::<u16>()
    }
}
