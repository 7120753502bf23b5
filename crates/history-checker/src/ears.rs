//! What gateways could not hear, and what came late from them through no fault of theirs.
//!
//! A gateway whose process stands still, or whose link to discovery fails, counts as told of news when that is over;
//! a link to a host that holds bytes back lets that host see late what was sent in time.

use crate::{ALLOWANCE, LATEST};
use cluster_model::observation::ObservationKind;
use cluster_model::Time;
use std::collections::BTreeMap;

/// What does not pass for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Gap {
    Still(u32),
    News(u32),
    Calls(u32, u32),
}

/// When something began and ended; those that never end last to [`Time::MAX`].
type Spans = Vec<(Time, Time)>;

/// All gaps of a run.
#[derive(Debug, Default)]
pub(crate) struct Ears {
    turns: BTreeMap<Gap, Vec<(Time, bool)>>,
    gaps: BTreeMap<Gap, Spans>,
    /// Hosts cannot tell when something was sent.
    blind: bool,
}

impl Ears {
    /// Takes down where a gap begins or ends; the order does not matter.
    pub(crate) fn see(&mut self, at: Time, what: &ObservationKind) {
        let (gap, begins) = match *what {
            ObservationKind::GatewaySuspended { gateway, suspended: stopped } => {
                (Gap::Still(gateway), stopped)
            }
            ObservationKind::DiscoveryLinkFault { gateway, active: cut } => (Gap::News(gateway), cut),
            ObservationKind::HostTrafficDelayed {
                gateway,
                host,
                delayed: late,
                send_time_unknown: blind,
            } => {
                self.blind |= blind;
                (Gap::Calls(gateway, host), late)
            }
            _ => return,
        };
        self.turns.entry(gap).or_default().push((at, begins));
    }

    pub(crate) fn settle(&mut self) {
        for (gap, mut turns) in std::mem::take(&mut self.turns) {
            // One that ends at the instant when the next begins ends first.
            turns.sort_unstable();
            let spans = self.gaps.entry(gap).or_default();
            for (at, begins) in turns {
                match spans.last_mut().filter(|(_, to)| *to == Time::MAX) {
                    Some((_, to)) if !begins => *to = at,
                    None if begins => spans.push((at, Time::MAX)),
                    _ => {}
                }
            }
        }
    }

    fn of(&self, gap: Gap) -> impl Iterator<Item = &(Time, Time)> {
        self.gaps.get(&gap).into_iter().flatten()
    }

    /// Since when a gateway counts as told of what it would count as told of at `since`, had it heard all.
    pub(crate) fn told(&self, gateway: u32, mut since: Time) -> Time {
        loop {
            let in_gap = |(from, to): &&(Time, Time)| from.saturating_sub(ALLOWANCE) <= since && since < *to;
            // What has come for a process that stands still lies there for it.
            let still = self.of(Gap::Still(gateway)).find(in_gap).map(|(_, to)| *to);
            let cut = self.of(Gap::News(gateway)).find(in_gap).map(|(_, to)| to.saturating_add(LATEST));
            match still.into_iter().chain(cut).max() {
                Some(later) if later > since => since = later,
                _ => return since,
            }
        }
    }

    /// When a command may have been sent whose first byte a host saw at `first_byte`.
    pub(crate) fn sent(&self, (gateway, host): (u32, u32), first_byte: Time) -> Time {
        if !self.blind {
            return first_byte;
        }
        let here =
            |(from, to): &&(Time, Time)| *from <= first_byte && first_byte <= to.saturating_add(ALLOWANCE);
        self.of(Gap::Calls(gateway, host)).filter(here).map(|(from, _)| *from).min().unwrap_or(first_byte)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use cluster_model::SECOND;

    #[test]
    fn news_counts_from_the_end_of_all_gaps_that_it_fell_into_and_late_calls_from_their_beginning() {
        let mut ears = Ears::default();
        let turn = |ears: &mut Ears, at: Time, what: ObservationKind| ears.see(at * SECOND, &what);
        // Out of order, and a process that stands still while its link fails.
        turn(&mut ears, 15, ObservationKind::GatewaySuspended { gateway: 1, suspended: false });
        turn(&mut ears, 10, ObservationKind::GatewaySuspended { gateway: 1, suspended: true });
        turn(&mut ears, 12, ObservationKind::DiscoveryLinkFault { gateway: 1, active: true });
        turn(&mut ears, 20, ObservationKind::DiscoveryLinkFault { gateway: 1, active: false });
        let late = |late| ObservationKind::HostTrafficDelayed {
            gateway: 1,
            host: 2,
            delayed: late,
            send_time_unknown: true,
        };
        turn(&mut ears, 30, late(true));
        turn(&mut ears, 40, late(false));
        ears.settle();
        for (gateway, since, wanted) in [(1, 9, 9), (1, 11, 26), (1, 16, 26), (1, 20, 20), (2, 11, 11)] {
            assert_eq!(ears.told(gateway, since * SECOND), wanted * SECOND, "{gateway} {since}");
        }
        for (host, at, wanted) in [(2, 29, 29), (2, 35, 30), (2, 41, 41), (3, 35, 35)] {
            assert_eq!(ears.sent((1, host), at * SECOND), wanted * SECOND, "{host} {at}");
        }
    }
}
