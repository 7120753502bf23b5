//! The gateways that run, and the events that excuse them for responses that clients never received.

use cluster_model::{Span, Time, MS};
use std::collections::BTreeMap;

/// A planned restart sends SIGKILL at the earliest after the longest deadline plus this time, counted from SIGTERM.
const KILL_MARGIN: Span = 700 * MS;

#[derive(Debug, Default)]
struct Gateway {
    down: bool,
    /// Time of the last start of the process, if that was observed.
    up: Option<Time>,
    /// Times of SIGTERM and SIGKILL since the last start.
    terminated: Option<Time>,
    killed: Option<Time>,
    /// Exits after which clients have to retry their requests.
    excused_exits: Vec<Time>,
    /// Intervals in which the links to the clients were cut.
    link_cuts: Vec<(Time, Time)>,
    /// Intervals in which the process was suspended.
    suspensions: Vec<(Time, Time)>,
}

/// Begins or ends an interval; repeated begins and ends are ignored.
fn toggle(spans: &mut Vec<(Time, Time)>, at: Time, begins: bool) {
    let open = spans.last_mut().filter(|(_, to)| *to == Time::MAX);
    match open {
        Some((_, to)) if !begins => *to = at,
        None if begins => spans.push((at, Time::MAX)),
        _ => {}
    }
}

#[derive(Debug)]
pub(crate) struct Gateways {
    count: u32,
    /// Minimum time from SIGTERM to SIGKILL in a planned restart.
    kill_after: Span,
    /// Gateways with at least one observation; all others run.
    known: BTreeMap<u32, Gateway>,
}

impl Gateways {
    pub(crate) fn new(count: u32, longest_deadline: Span) -> Gateways {
        Gateways { count, kill_after: longest_deadline.saturating_add(KILL_MARGIN), known: BTreeMap::new() }
    }

    pub(crate) fn up(&mut self, at: Time, gateway: u32) {
        let gateway = self.known.entry(gateway).or_default();
        gateway.down = false;
        gateway.up = Some(at);
        gateway.terminated = None;
        gateway.killed = None;
    }

    pub(crate) fn signalled(&mut self, at: Time, gateway: u32, kill: bool) {
        let gateway = self.known.entry(gateway).or_default();
        let signal = if kill { &mut gateway.killed } else { &mut gateway.terminated };
        signal.get_or_insert(at);
    }

    /// Handles the exit of a process. If it was killed without SIGTERM (or crashed, which is a separate violation),
    /// the clients have to retry its requests; after SIGTERM it has to respond to all of them.
    pub(crate) fn down(&mut self, at: Time, gateway: u32) {
        let kill_after = self.kill_after;
        let gateway = self.known.entry(gateway).or_default();
        gateway.down = true;
        let must_respond = match (gateway.terminated, gateway.killed) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(terminated), Some(killed)) => killed.saturating_sub(terminated) >= kill_after,
        };
        if !must_respond {
            gateway.excused_exits.push(at);
        }
    }

    pub(crate) fn client_links_cut(&mut self, at: Time, gateway: u32, cut: bool) {
        toggle(&mut self.known.entry(gateway).or_default().link_cuts, at, cut);
    }

    pub(crate) fn suspended(&mut self, at: Time, gateway: u32, suspended: bool) {
        toggle(&mut self.known.entry(gateway).or_default().suspensions, at, suspended);
    }

    pub(crate) fn is_running(&self, gateway: u32) -> bool {
        self.known.get(&gateway).is_none_or(|gateway| !gateway.down)
    }

    /// Returns the time of the last start of a gateway's process, or 0 if it was not observed.
    pub(crate) fn up_since(&self, gateway: u32) -> Time {
        self.known.get(&gateway).and_then(|gateway| gateway.up).unwrap_or(0)
    }

    pub(crate) fn running_count(&self) -> u32 {
        let down = self.known.range(..self.count).filter(|(_, gateway)| gateway.down).count();
        self.count.saturating_sub(down as u32)
    }

    /// Returns whether an event in this interval that was not the gateway's fault kept a response from a client.
    pub(crate) fn excuses(&self, gateway: u32, from: Time, to: Time) -> bool {
        self.known.get(&gateway).is_some_and(|gateway| {
            gateway.excused_exits.iter().any(|at| (from..=to).contains(at))
                || gateway
                    .link_cuts
                    .iter()
                    .chain(&gateway.suspensions)
                    .any(|(begin, end)| *begin <= to && from <= *end)
        })
    }
}
