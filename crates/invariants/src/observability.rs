//! Gaps in the notifications that a gateway could receive, and delays of its traffic that are not its fault.

use crate::notification::MAX_NOTIFICATION_DELAY;
use crate::SOCKET_TOLERANCE;
use cluster_model::Time;
use std::collections::BTreeMap;

/// A time span in which traffic of some kind was not delivered.
#[derive(Clone, Copy, Debug)]
struct Gap {
    from: Time,
    /// End of the gap; [`Time::MAX`] if the gap has not ended.
    to: Time,
    /// Time by which everything held back has been delivered.
    caught_up: Time,
}

/// Gaps in the notifications that gateways receive from discovery, and in the traffic that hosts receive from
/// gateways.
#[derive(Debug, Default)]
pub(crate) struct ObservabilityGaps {
    /// Suspended processes and faulty links to discovery are separate, because one gap may begin during the other.
    suspensions: BTreeMap<u32, Vec<Gap>>,
    discovery_faults: BTreeMap<u32, Vec<Gap>>,
    /// Keyed by gateway and host.
    host_delays: BTreeMap<(u32, u32), Vec<Gap>>,
    /// Hosts cannot tell when a command was sent.
    send_time_unknown: bool,
}

fn toggle(gaps: &mut Vec<Gap>, at: Time, begins: bool, catch_up: Time) {
    let open = gaps.iter_mut().rev().find(|gap| gap.to == Time::MAX);
    match open {
        Some(gap) if !begins => (gap.to, gap.caught_up) = (at, at.saturating_add(catch_up)),
        None if begins => gaps.push(Gap { from: at, to: Time::MAX, caught_up: Time::MAX }),
        _ => {}
    }
}

impl ObservabilityGaps {
    /// Records that a gateway's process was suspended or resumed. Everything that arrived in between is available to
    /// the process as soon as it resumes.
    pub(crate) fn gateway_suspended(&mut self, at: Time, gateway: u32, suspended: bool) {
        toggle(self.suspensions.entry(gateway).or_default(), at, suspended, 0);
    }

    /// Records that the link between a gateway and discovery failed, wholly or partly, or recovered. After the
    /// recovery a notification may take as long as one that the gateway does not ask for.
    pub(crate) fn discovery_link_fault(&mut self, at: Time, gateway: u32, active: bool) {
        toggle(self.discovery_faults.entry(gateway).or_default(), at, active, MAX_NOTIFICATION_DELAY);
    }

    /// Records that traffic from a gateway to a host is delayed, or no longer delayed.
    pub(crate) fn host_traffic_delayed(
        &mut self,
        at: Time,
        (gateway, host): (u32, u32),
        delayed: bool,
        send_time_unknown: bool,
    ) {
        self.send_time_unknown |= send_time_unknown;
        toggle(self.host_delays.entry((gateway, host)).or_default(), at, delayed, SOCKET_TOLERANCE);
    }

    /// Returns the time from which a gateway is considered notified of an event that it would be considered notified
    /// of at `since` without any gap.
    pub(crate) fn notified_at(&self, gateway: u32, mut since: Time) -> Time {
        let gaps = || {
            [&self.suspensions, &self.discovery_faults]
                .into_iter()
                .filter_map(|gaps| gaps.get(&gateway))
                .flatten()
        };
        let in_gap = |gap: &&Gap, since| gap.from.saturating_sub(SOCKET_TOLERANCE) <= since && since < gap.to;
        while let Some(later) = gaps().filter(|gap| in_gap(gap, since)).map(|gap| gap.caught_up).max() {
            since = later;
            if since == Time::MAX {
                break;
            }
        }
        since
    }

    /// Returns the earliest time at which a command may have been sent whose first byte a host received at
    /// `first_byte`.
    pub(crate) fn earliest_send(&self, gateway: u32, host: u32, first_byte: Time) -> Time {
        let gaps =
            self.host_delays.get(&(gateway, host)).into_iter().flatten().filter(|_| self.send_time_unknown);
        let matching = gaps.filter(|gap| (gap.from..=gap.caught_up).contains(&first_byte));
        matching.map(|gap| gap.from).min().unwrap_or(first_byte)
    }

    /// Returns whether the host may have observed the end of an attempt late that was in flight from `from` to `to`.
    pub(crate) fn is_end_delayed(&self, gateway: u32, host: u32, from: Time, to: Time) -> bool {
        let mut gaps = self.host_delays.get(&(gateway, host)).into_iter().flatten();
        gaps.any(|gap| gap.from <= to && from <= gap.caught_up)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn notifications_in_a_gap_count_from_its_end_and_others_immediately() {
        let mut gaps = ObservabilityGaps::default();
        let second = 1_000_000_000;
        // The link fails while the process is suspended.
        gaps.gateway_suspended(second, 3, true);
        gaps.discovery_link_fault(2 * second, 3, true);
        gaps.gateway_suspended(4 * second, 3, false);
        assert_eq!(gaps.notified_at(3, 3 * second), Time::MAX);
        gaps.discovery_link_fault(6 * second, 3, false);
        assert_eq!(gaps.notified_at(3, 3 * second), 12 * second);
        gaps.gateway_suspended(10 * second, 1, true);
        assert_eq!(gaps.notified_at(1, 12 * second), Time::MAX);
        gaps.gateway_suspended(15 * second, 1, false);
        gaps.discovery_link_fault(20 * second, 1, true);
        gaps.discovery_link_fault(25 * second, 1, false);
        for (gateway, since, expected) in
            [(1, 9, 9), (1, 12, 15), (1, 15, 15), (1, 22, 25 + 6), (1, 26, 26), (2, 12, 12)]
        {
            assert_eq!(gaps.notified_at(gateway, since * second), expected * second, "{gateway} {since}");
        }
    }

    #[test]
    fn commands_received_in_a_delay_may_have_been_sent_at_its_start() {
        let mut gaps = ObservabilityGaps::default();
        gaps.host_traffic_delayed(100, (1, 2), true, true);
        gaps.host_traffic_delayed(200, (1, 2), false, true);
        let after = 200 + SOCKET_TOLERANCE;
        let cases = [
            (1, 2, 99, 99),
            (1, 2, 150, 100),
            (1, 2, after, 100),
            (1, 2, after + 1, after + 1),
            (1, 3, 150, 150),
        ];
        for (gateway, host, first_byte, expected) in cases {
            assert_eq!(
                gaps.earliest_send(gateway, host, first_byte),
                expected,
                "{gateway} {host} {first_byte}"
            );
        }
        let delayed = |host, from, to| gaps.is_end_delayed(1, host, from, to);
        assert!(delayed(2, 50, 100) && delayed(2, after, after + 5));
        assert!(!delayed(2, 50, 99) && !delayed(2, after + 1, after + 5) && !delayed(3, 100, 200));
    }
}
