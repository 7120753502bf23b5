//! Which gateways ran when, and what excuses them for answers that clients never got.

use crate::{after, ALLOWANCE};
use cluster_model::observation::ObservationKind;
use cluster_model::{Span, Time, MS};
use std::collections::BTreeMap;

/// A planned restart's SIGKILL comes no sooner after SIGTERM than the longest deadline and this.
const KILL_AFTER: Span = 700 * MS;

#[derive(Clone, Copy, Debug)]
enum Change {
    Up,
    Down,
    Told { kill: bool },
    Cut(bool),
    Still(bool),
}

/// What happened to gateways' processes and to the way to their clients.
#[derive(Debug, Default)]
pub(crate) struct Downs {
    changes: BTreeMap<u32, Vec<(Time, Change)>>,
}

impl Downs {
    pub(crate) fn see(&mut self, at: Time, what: &ObservationKind) {
        let (gateway, change) = match *what {
            ObservationKind::GatewayUp { gateway } => (gateway, Change::Up),
            ObservationKind::GatewayDown { gateway, .. } => (gateway, Change::Down),
            ObservationKind::GatewaySignalled { gateway, kill } => (gateway, Change::Told { kill }),
            ObservationKind::ClientLinksCut { gateway, cut } => (gateway, Change::Cut(cut)),
            ObservationKind::GatewaySuspended { gateway, suspended: stopped } => {
                (gateway, Change::Still(stopped))
            }
            _ => return,
        };
        self.changes.entry(gateway).or_default().push((at, change));
    }

    pub(crate) fn settle(&mut self) {
        // Of one instant: what it was told, then its end, then the next start.
        let rank = |change: &Change| match change {
            Change::Told { .. } | Change::Cut(_) | Change::Still(_) => 0,
            Change::Down => 1,
            Change::Up => 2,
        };
        self.changes.values_mut().for_each(|changes| changes.sort_by_key(|(at, change)| (*at, rank(change))));
    }

    fn of(&self, gateway: u32) -> impl Iterator<Item = &(Time, Change)> {
        self.changes.get(&gateway).into_iter().flatten()
    }

    /// Gateways of which nothing was seen ran all along.
    pub(crate) fn ran(&self, gateway: u32, at: Time) -> bool {
        let states = self.of(gateway).take_while(|(when, _)| *when <= at);
        let last = states.filter(|(_, change)| matches!(change, Change::Up | Change::Down)).last();
        !matches!(last, Some((_, Change::Down)))
    }

    /// When the process that ran at that moment was started; 0 if that was not seen.
    pub(crate) fn up_since(&self, gateway: u32, at: Time) -> Time {
        let ups = self.of(gateway).take_while(|(when, _)| *when <= at);
        ups.filter(|(_, change)| matches!(change, Change::Up)).last().map_or(0, |(when, _)| *when)
    }

    /// Whether something that was not the gateway's fault kept an answer from a client in this time: an end out of
    /// the blue (what it held is the clients' to repeat), a cut on the way, or a process that stood still.
    pub(crate) fn excuse(&self, gateway: u32, from: Time, to: Time, longest: Span) -> bool {
        let (mut terminated, mut killed) = (None, None);
        let (mut cut, mut still) = (None, None);
        for (at, change) in self.of(gateway) {
            match change {
                Change::Up => (terminated, killed) = (None, None),
                Change::Told { kill: false } => terminated = terminated.or(Some(*at)),
                Change::Told { kill: true } => killed = killed.or(Some(*at)),
                // Whoever sees the end may write it down a little after the clients have felt it.
                Change::Down => {
                    let felt = from..=to.saturating_add(ALLOWANCE);
                    if !owed(terminated, killed, longest) && felt.contains(at) {
                        return true;
                    }
                }
                Change::Cut(true) => cut = cut.or(Some(*at)),
                Change::Still(true) => still = still.or(Some(*at)),
                Change::Cut(false) | Change::Still(false) => {
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

/// Whether a process that ended had to answer all that it had taken: after SIGTERM, unless it was killed too soon.
fn owed(terminated: Option<Time>, killed: Option<Time>, longest: Span) -> bool {
    match (terminated, killed) {
        (None, _) => false,
        (Some(_), None) => true,
        (Some(terminated), Some(killed)) => after(killed, terminated) >= longest + KILL_AFTER,
    }
}
