//! What a gateway could not hear, and what came late from it through no fault of its own.

use crate::news::LATEST;
use crate::ALLOWANCE;
use cluster_model::Time;
use std::collections::BTreeMap;

/// A span of time in which something did not pass.
#[derive(Clone, Copy, Debug)]
struct Gap {
    from: Time,
    /// When it was over; [`Time::MAX`]: it is not.
    to: Time,
    /// What waited has come whole by then.
    caught_up: Time,
}

/// Gaps in what gateways hear of discovery, and in what hosts get from them.
#[derive(Debug, Default)]
pub(crate) struct Ears {
    /// Of processes that stand still, and of links to discovery: one may begin while the other lasts.
    stops: BTreeMap<u32, Vec<Gap>>,
    news: BTreeMap<u32, Vec<Gap>>,
    /// By gateway and host.
    calls: BTreeMap<(u32, u32), Vec<Gap>>,
    /// Hosts cannot tell when something was sent.
    blind: bool,
}

fn turn(gaps: &mut Vec<Gap>, at: Time, begins: bool, later: Time) {
    let open = gaps.iter_mut().rev().find(|gap| gap.to == Time::MAX);
    match open {
        Some(gap) if !begins => (gap.to, gap.caught_up) = (at, at.saturating_add(later)),
        None if begins => gaps.push(Gap { from: at, to: Time::MAX, caught_up: Time::MAX }),
        _ => {}
    }
}

impl Ears {
    /// A gateway's process stands still, or goes on: what has come meanwhile lies there for it.
    pub(crate) fn stopped(&mut self, at: Time, gateway: u32, stopped: bool) {
        turn(self.stops.entry(gateway).or_default(), at, stopped, 0);
    }

    /// Nothing, or not all, passes between a gateway and discovery, or it passes again: it may take as long as
    /// news may that nobody asks for.
    pub(crate) fn news_cut(&mut self, at: Time, gateway: u32, cut: bool) {
        turn(self.news.entry(gateway).or_default(), at, cut, LATEST);
    }

    /// What a gateway sends to a host comes there late, or as usual again.
    pub(crate) fn calls_late(&mut self, at: Time, (gateway, host): (u32, u32), late: bool, blind: bool) {
        self.blind |= blind;
        turn(self.calls.entry((gateway, host)).or_default(), at, late, ALLOWANCE);
    }

    /// Since when a gateway counts as told of what it counted as told of at `since`, had it heard all.
    pub(crate) fn told(&self, gateway: u32, mut since: Time) -> Time {
        let gaps = || [&self.stops, &self.news].into_iter().filter_map(|gaps| gaps.get(&gateway)).flatten();
        let in_gap = |gap: &&Gap, since| gap.from.saturating_sub(ALLOWANCE) <= since && since < gap.to;
        while let Some(later) = gaps().filter(|gap| in_gap(gap, since)).map(|gap| gap.caught_up).max() {
            since = later;
            if since == Time::MAX {
                break;
            }
        }
        since
    }

    /// When a command may have been sent whose first byte a host saw at `first_byte`.
    pub(crate) fn sent(&self, gateway: u32, host: u32, first_byte: Time) -> Time {
        let gaps = self.calls.get(&(gateway, host)).into_iter().flatten().filter(|_| self.blind);
        let here = gaps.filter(|gap| (gap.from..=gap.caught_up).contains(&first_byte));
        here.map(|gap| gap.from).min().unwrap_or(first_byte)
    }

    /// Whether the end of an attempt that was out from `from` to `to` may have come late to its host.
    pub(crate) fn is_end_late(&self, gateway: u32, host: u32, from: Time, to: Time) -> bool {
        let mut gaps = self.calls.get(&(gateway, host)).into_iter().flatten();
        gaps.any(|gap| gap.from <= to && from <= gap.caught_up)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn news_in_a_gap_counts_from_its_end_and_other_news_at_once() {
        let mut ears = Ears::default();
        let second = 1_000_000_000;
        // A link that fails while the process stands still.
        ears.stopped(second, 3, true);
        ears.news_cut(2 * second, 3, true);
        ears.stopped(4 * second, 3, false);
        assert_eq!(ears.told(3, 3 * second), Time::MAX);
        ears.news_cut(6 * second, 3, false);
        assert_eq!(ears.told(3, 3 * second), 12 * second);
        ears.stopped(10 * second, 1, true);
        assert_eq!(ears.told(1, 12 * second), Time::MAX);
        ears.stopped(15 * second, 1, false);
        ears.news_cut(20 * second, 1, true);
        ears.news_cut(25 * second, 1, false);
        for (gateway, since, wanted) in
            [(1, 9, 9), (1, 12, 15), (1, 15, 15), (1, 22, 25 + 6), (1, 26, 26), (2, 12, 12)]
        {
            assert_eq!(ears.told(gateway, since * second), wanted * second, "{gateway} {since}");
        }
    }

    #[test]
    fn what_comes_out_of_a_gap_may_have_been_sent_at_its_beginning() {
        let mut ears = Ears::default();
        ears.calls_late(100, (1, 2), true, true);
        ears.calls_late(200, (1, 2), false, true);
        let after = 200 + ALLOWANCE;
        let cases = [
            (1, 2, 99, 99),
            (1, 2, 150, 100),
            (1, 2, after, 100),
            (1, 2, after + 1, after + 1),
            (1, 3, 150, 150),
        ];
        for (gateway, host, first_byte, wanted) in cases {
            assert_eq!(ears.sent(gateway, host, first_byte), wanted, "{gateway} {host} {first_byte}");
        }
        let late = |host, from, to| ears.is_end_late(1, host, from, to);
        assert!(late(2, 50, 100) && late(2, after, after + 5));
        assert!(!late(2, 50, 99) && !late(2, after + 1, after + 5) && !late(3, 100, 200));
    }
}
