//! Gaps in the notifications that gateways could receive, and delays of their traffic that are not their fault.
//!
//! A gateway whose process is suspended, or whose link to discovery fails, is considered notified once the gap is over.
//! A link that delays bytes lets a host observe late what the gateway sent in time.

use crate::{MAX_NOTIFICATION_DELAY, SOCKET_TOLERANCE};
use cluster_model::observation::ObservationKind;
use cluster_model::Time;
use std::collections::BTreeMap;

/// A kind of traffic that is interrupted or delayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Gap {
    Suspended(u32),
    Discovery(u32),
    HostTraffic(u32, u32),
}

/// Begin and end of intervals; an interval without an end lasts until [`Time::MAX`].
type Intervals = Vec<(Time, Time)>;

/// All gaps of a run.
#[derive(Debug, Default)]
pub(crate) struct ObservabilityGaps {
    toggles: BTreeMap<Gap, Vec<(Time, bool)>>,
    gaps: BTreeMap<Gap, Intervals>,
    /// Hosts cannot tell when a command was sent.
    send_time_unknown: bool,
}

impl ObservabilityGaps {
    /// Records the begin or end of a gap; the order of the calls does not matter.
    pub(crate) fn observe(&mut self, at: Time, what: &ObservationKind) {
        let (gap, begins) = match *what {
            ObservationKind::GatewaySuspended { gateway, suspended } => (Gap::Suspended(gateway), suspended),
            ObservationKind::DiscoveryLinkFault { gateway, active: cut } => (Gap::Discovery(gateway), cut),
            ObservationKind::HostTrafficDelayed { gateway, host, delayed: late, send_time_unknown } => {
                self.send_time_unknown |= send_time_unknown;
                (Gap::HostTraffic(gateway, host), late)
            }
            _ => return,
        };
        self.toggles.entry(gap).or_default().push((at, begins));
    }

    pub(crate) fn finish(&mut self) {
        for (gap, mut toggles) in std::mem::take(&mut self.toggles) {
            // With equal timestamps, the end of a gap precedes the begin of the next.
            toggles.sort_unstable();
            let spans = self.gaps.entry(gap).or_default();
            for (at, begins) in toggles {
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

    /// Returns the time from which a gateway is considered notified of an event that it would be considered notified of at
    /// `since` without any gap.
    pub(crate) fn notified_at(&self, gateway: u32, mut since: Time) -> Time {
        loop {
            let in_gap =
                |(from, to): &&(Time, Time)| from.saturating_sub(SOCKET_TOLERANCE) <= since && since < *to;
            // Data that arrived for a suspended process is available as soon as the process resumes.
            let still = self.of(Gap::Suspended(gateway)).find(in_gap).map(|(_, to)| *to);
            let cut = self
                .of(Gap::Discovery(gateway))
                .find(in_gap)
                .map(|(_, to)| to.saturating_add(MAX_NOTIFICATION_DELAY));
            match still.into_iter().chain(cut).max() {
                Some(later) if later > since => since = later,
                _ => return since,
            }
        }
    }

    /// Returns the earliest time at which a command may have been sent whose first byte a host received at `first_byte`.
    pub(crate) fn earliest_send(&self, (gateway, host): (u32, u32), first_byte: Time) -> Time {
        if !self.send_time_unknown {
            return first_byte;
        }
        let here = |(from, to): &&(Time, Time)| {
            *from <= first_byte && first_byte <= to.saturating_add(SOCKET_TOLERANCE)
        };
        self.of(Gap::HostTraffic(gateway, host))
            .filter(here)
            .map(|(from, _)| *from)
            .min()
            .unwrap_or(first_byte)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use cluster_model::SECOND;

    #[test]
    fn notifications_count_from_the_end_of_their_gaps_and_delayed_commands_from_the_start_of_the_delay() {
        let mut gaps = ObservabilityGaps::default();
        let turn =
            |gaps: &mut ObservabilityGaps, at: Time, what: ObservationKind| gaps.observe(at * SECOND, &what);
        // The calls are out of order, and the process is suspended while its link is faulty.
        turn(&mut gaps, 15, ObservationKind::GatewaySuspended { gateway: 1, suspended: false });
        turn(&mut gaps, 10, ObservationKind::GatewaySuspended { gateway: 1, suspended: true });
        turn(&mut gaps, 12, ObservationKind::DiscoveryLinkFault { gateway: 1, active: true });
        turn(&mut gaps, 20, ObservationKind::DiscoveryLinkFault { gateway: 1, active: false });
        let late = |late| ObservationKind::HostTrafficDelayed {
            gateway: 1,
            host: 2,
            delayed: late,
            send_time_unknown: true,
        };
        turn(&mut gaps, 30, late(true));
        turn(&mut gaps, 40, late(false));
        gaps.finish();
        for (gateway, since, wanted) in [(1, 9, 9), (1, 11, 26), (1, 16, 26), (1, 20, 20), (2, 11, 11)] {
            assert_eq!(gaps.notified_at(gateway, since * SECOND), wanted * SECOND, "{gateway} {since}");
        }
        for (host, at, wanted) in [(2, 29, 29), (2, 35, 30), (2, 41, 41), (3, 35, 35)] {
            assert_eq!(gaps.earliest_send((1, host), at * SECOND), wanted * SECOND, "{host} {at}");
        }
    }
}
