//! Which gateways run, and what excuses them for answers that clients never got.

use cluster_model::{Span, Time, MS};
use std::collections::BTreeMap;

/// A planned restart's SIGKILL comes no sooner after SIGTERM than the longest deadline and this.
const KILL_AFTER: Span = 700 * MS;

#[derive(Debug, Default)]
struct Gateway {
    down: bool,
    /// When its process last came up, if that was seen.
    up: Option<Time>,
    /// SIGTERM and SIGKILL since it came up.
    terminated: Option<Time>,
    killed: Option<Time>,
    /// Ends that the clients have to bear.
    excused: Vec<Time>,
    /// When nothing passed between it and the clients: from and to.
    cuts: Vec<(Time, Time)>,
    /// When its process stood still: from and to.
    stops: Vec<(Time, Time)>,
}

/// Something begins or ends; what has begun once ends once.
fn turn(spans: &mut Vec<(Time, Time)>, at: Time, begins: bool) {
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
    /// From SIGTERM on, no planned restart kills sooner than this.
    kill_after: Span,
    /// Those that something was seen of; the others run.
    known: BTreeMap<u32, Gateway>,
}

impl Gateways {
    pub(crate) fn new(count: u32, longest_deadline: Span) -> Gateways {
        Gateways { count, kill_after: longest_deadline.saturating_add(KILL_AFTER), known: BTreeMap::new() }
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

    /// A process ended. What it held is the clients' to repeat if it was killed out of the blue (or crashed,
    /// which is a breach of its own); after SIGTERM it owed an answer to everything.
    pub(crate) fn down(&mut self, at: Time, gateway: u32) {
        let kill_after = self.kill_after;
        let gateway = self.known.entry(gateway).or_default();
        gateway.down = true;
        let owed = match (gateway.terminated, gateway.killed) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(terminated), Some(killed)) => killed.saturating_sub(terminated) >= kill_after,
        };
        if !owed {
            gateway.excused.push(at);
        }
    }

    pub(crate) fn cut(&mut self, at: Time, gateway: u32, cut: bool) {
        turn(&mut self.known.entry(gateway).or_default().cuts, at, cut);
    }

    pub(crate) fn stopped(&mut self, at: Time, gateway: u32, stopped: bool) {
        turn(&mut self.known.entry(gateway).or_default().stops, at, stopped);
    }

    pub(crate) fn is_running(&self, gateway: u32) -> bool {
        self.known.get(&gateway).is_none_or(|gateway| !gateway.down)
    }

    /// When a gateway's process came up; 0 if that was not seen.
    pub(crate) fn up_since(&self, gateway: u32) -> Time {
        self.known.get(&gateway).and_then(|gateway| gateway.up).unwrap_or(0)
    }

    pub(crate) fn running(&self) -> u32 {
        let down = self.known.range(..self.count).filter(|(_, gateway)| gateway.down).count();
        self.count.saturating_sub(down as u32)
    }

    /// Whether something that was not the gateway's fault kept an answer from a client in this time.
    pub(crate) fn excuses(&self, gateway: u32, from: Time, to: Time) -> bool {
        self.known.get(&gateway).is_some_and(|gateway| {
            gateway.excused.iter().any(|at| (from..=to).contains(at))
                || gateway
                    .cuts
                    .iter()
                    .chain(&gateway.stops)
                    .any(|(cut, mended)| *cut <= to && from <= *mended)
        })
    }
}
