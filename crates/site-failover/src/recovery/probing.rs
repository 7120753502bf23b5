//! Health probes of a lost site: client requests, one host at a time, that a gateway sends there in its turns.

use std::collections::BTreeMap;

use policy::api::{HostId, Span, Time};

use crate::time::SECOND;

/// A probe without an answer fails after this span.
const PROBE_TIMEOUT: Span = SECOND;
/// Hosts that have to answer probes before a site recovers, if the site has as many ready hosts.
const MIN_ANSWERING_HOSTS: usize = 2;
/// Answers count for this number of turns, but at least for [`MIN_ANSWER_LIFETIME`].
const ANSWER_LIFETIME_TURNS: u64 = 3;
const MIN_ANSWER_LIFETIME: Span = 10 * SECOND;

/// The turns of one gateway at one site, spread over time so that the fleet's rate of probes is bounded.
#[derive(Clone, Debug)]
pub(crate) struct ProbeTurns {
    next_turn: Time,
    /// Index, in the list of ready hosts, of the host that was probed last.
    last_host: usize,
}

impl ProbeTurns {
    /// Returns the turns of a gateway, beginning at the given time.
    pub fn starting_at(first_turn: Time) -> ProbeTurns {
        ProbeTurns { next_turn: first_turn, last_host: 0 }
    }

    /// Moves on to the first turn after `now`.
    fn advance(&mut self, now: Time, interval: Span) {
        let turns = now.saturating_sub(self.next_turn) / interval + 1;
        self.next_turn += interval * turns;
    }

    /// Returns the next host in a round robin over `ready`, which must not be empty.
    fn next_host(&mut self, ready: &[HostId]) -> HostId {
        self.last_host = (self.last_host + 1) % ready.len();
        ready[self.last_host]
    }
}

/// Progress of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeState {
    /// No request has been sent as the probe yet.
    Open,
    /// A request was sent at this time.
    Sent(Time),
    /// The request was answered.
    Succeeded,
    /// The request failed, or was not answered in time.
    Failed,
}

/// A health probe: one request to one host of a lost site.
#[derive(Clone, Debug)]
struct Probe {
    host: HostId,
    opened: Time,
    state: ProbeState,
    /// Whether it is the first probe of the turn. If the first one succeeds, a second one follows in the same turn.
    is_first_of_turn: bool,
}

impl Probe {
    fn is_finished(&self) -> bool {
        matches!(self.state, ProbeState::Succeeded | ProbeState::Failed)
    }
}

/// Health probes of one lost site by one gateway.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probing {
    probe: Option<Probe>,
    /// Time of the last answer by host.
    answers: BTreeMap<HostId, Time>,
}

impl Probing {
    /// Returns the host that is being probed.
    pub fn host(&self) -> Option<HostId> {
        self.probe.as_ref().map(|probe| probe.host)
    }

    /// Returns whether the current probe has succeeded or failed.
    pub fn is_probe_finished(&self) -> bool {
        self.probe.as_ref().is_some_and(Probe::is_finished)
    }

    /// Uses a request as the probe, and returns whether a probe was open for it.
    pub fn start_probe(&mut self, now: Time) -> bool {
        match &mut self.probe {
            Some(probe) if probe.state == ProbeState::Open => {
                probe.state = ProbeState::Sent(now);
                true
            }
            _ => false,
        }
    }

    /// Observes the end of an attempt at a host of the site, be it the probe or an earlier request.
    pub fn on_attempt_ended(&mut self, now: Time, host: HostId, is_answered: bool) {
        if is_answered {
            self.answers.insert(host, now);
        }
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.host == host) {
            if probe.state != ProbeState::Open {
                probe.state = if is_answered { ProbeState::Succeeded } else { ProbeState::Failed };
            }
        }
    }

    /// Ends a probe that has timed out, and opens the next one when it is this gateway's turn or the first probe of a
    /// turn has succeeded. `turn_interval` is the span between two turns.
    pub fn tick(&mut self, now: Time, ready: &[HostId], turns: &mut ProbeTurns, turn_interval: Span) {
        if let Some(probe) = &mut self.probe {
            if matches!(probe.state, ProbeState::Sent(sent) if now >= sent + PROBE_TIMEOUT) {
                probe.state = ProbeState::Failed;
            }
            if !probe.is_finished() && now < probe.opened + turn_interval {
                return;
            }
        }
        let last = self.probe.take();
        let is_second_of_turn =
            last.is_some_and(|probe| probe.is_first_of_turn && probe.state == ProbeState::Succeeded);
        let is_turn = now >= turns.next_turn;
        if ready.is_empty() || !(is_second_of_turn || is_turn) {
            return;
        }
        if !is_second_of_turn {
            turns.advance(now, turn_interval);
        }
        let host = turns.next_host(ready);
        let is_first_of_turn = !is_second_of_turn;
        self.probe = Some(Probe { host, opened: now, state: ProbeState::Open, is_first_of_turn });
    }

    /// Returns whether enough of the site's hosts have answered lately for a recovery, and forgets older answers.
    pub fn is_answering(&mut self, now: Time, ready_hosts: usize, turn_interval: Span) -> bool {
        let lifetime = (ANSWER_LIFETIME_TURNS * turn_interval).max(MIN_ANSWER_LIFETIME);
        let oldest = now.saturating_sub(lifetime);
        self.answers.retain(|_, answered| *answered >= oldest);
        !self.answers.is_empty() && self.answers.len() >= MIN_ANSWERING_HOSTS.min(ready_hosts)
    }
}
