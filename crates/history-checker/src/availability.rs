//! When each gateway ran, and the events that excuse it for responses that clients never received.

use crate::{after, SOCKET_TOLERANCE};
use cluster_model::observation::ObservationKind;
use cluster_model::{Span, Time, MS};
use std::collections::BTreeMap;

/// A planned restart sends SIGKILL at the earliest after the longest deadline plus this time, counted from SIGTERM.
const KILL_MARGIN: Span = 700 * MS;

#[derive(Clone, Copy, Debug)]
enum Change {
    Up,
    Down,
    Signalled { kill: bool },
    Cut(bool),
    Suspended(bool),
}

/// Changes of the gateways' processes and of the links to their clients.
#[derive(Debug, Default)]
pub(crate) struct Availability {
    changes: BTreeMap<u32, Vec<(Time, Change)>>,
}

impl Availability {
    pub(crate) fn observe(&mut self, at: Time, what: &ObservationKind) {
        let (gateway, change) = match *what {
            ObservationKind::GatewayUp { gateway } => (gateway, Change::Up),
            ObservationKind::GatewayDown { gateway, .. } => (gateway, Change::Down),
            ObservationKind::GatewaySignalled { gateway, kill } => (gateway, Change::Signalled { kill }),
            ObservationKind::ClientLinksCut { gateway, cut } => (gateway, Change::Cut(cut)),
            ObservationKind::GatewaySuspended { gateway, suspended } => {
                (gateway, Change::Suspended(suspended))
            }
            _ => return,
        };
        self.changes.entry(gateway).or_default().push((at, change));
    }

    pub(crate) fn finish(&mut self) {
        // Order of events with the same timestamp: signals, then the exit, then the next start.
        let rank = |change: &Change| match change {
            Change::Signalled { .. } | Change::Cut(_) | Change::Suspended(_) => 0,
            Change::Down => 1,
            Change::Up => 2,
        };
        self.changes.values_mut().for_each(|changes| changes.sort_by_key(|(at, change)| (*at, rank(change))));
    }

    fn of(&self, gateway: u32) -> impl Iterator<Item = &(Time, Change)> {
        self.changes.get(&gateway).into_iter().flatten()
    }

    /// Returns whether a gateway ran at this time. Gateways without observations ran all the time.
    pub(crate) fn ran(&self, gateway: u32, at: Time) -> bool {
        let states = self.of(gateway).take_while(|(when, _)| *when <= at);
        let last = states.filter(|(_, change)| matches!(change, Change::Up | Change::Down)).last();
        !matches!(last, Some((_, Change::Down)))
    }

    /// Returns the start time of the process that ran at this time, or 0 if it was not observed.
    pub(crate) fn up_since(&self, gateway: u32, at: Time) -> Time {
        let ups = self.of(gateway).take_while(|(when, _)| *when <= at);
        ups.filter(|(_, change)| matches!(change, Change::Up)).last().map_or(0, |(when, _)| *when)
    }

    /// Returns whether an event in this interval that was not the gateway's fault kept a response from a client: an exit
    /// without SIGTERM (the clients have to retry its requests), a cut link, or a suspended process.
    pub(crate) fn excuses(&self, gateway: u32, from: Time, to: Time, longest: Span) -> bool {
        let (mut terminated, mut killed) = (None, None);
        let (mut cut, mut still) = (None, None);
        for (at, change) in self.of(gateway) {
            match change {
                Change::Up => (terminated, killed) = (None, None),
                Change::Signalled { kill: false } => terminated = terminated.or(Some(*at)),
                Change::Signalled { kill: true } => killed = killed.or(Some(*at)),
                // The exit may be recorded shortly after the clients observed the closed connections.
                Change::Down => {
                    let observed = from..=to.saturating_add(SOCKET_TOLERANCE);
                    if !must_respond(terminated, killed, longest) && observed.contains(at) {
                        return true;
                    }
                }
                Change::Cut(true) => cut = cut.or(Some(*at)),
                Change::Suspended(true) => still = still.or(Some(*at)),
                Change::Cut(false) | Change::Suspended(false) => {
                    let gap = if matches!(change, Change::Cut(_)) { &mut cut } else { &mut still };
                    if gap.take().is_some_and(|since| since <= to && from <= *at) {
                        return true;
                    }
                }
            }
        }
        cut.into_iter().chain(still).any(|since: Time| since <= to)
    }
}

/// Returns whether a process that exited had to respond to all accepted requests: after SIGTERM, unless it was killed too
/// early.
fn must_respond(terminated: Option<Time>, killed: Option<Time>, longest: Span) -> bool {
    match (terminated, killed) {
        (None, _) => false,
        (Some(_), None) => true,
        (Some(terminated), Some(killed)) => after(killed, terminated) >= longest + KILL_MARGIN,
    }
}
