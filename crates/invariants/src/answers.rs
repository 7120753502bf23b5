//! Each request that a running gateway took gets one final answer in time, and nothing goes out for it after.

use crate::breaches::{Log, Nth, Subject};
use crate::gateways::Gateways;
use crate::tries::Try;
use crate::{Rule, ALLOWANCE};
use cluster_model::observation::ClientOutcome;
use cluster_model::{Span, Time};
use std::collections::BTreeSet;

/// How a try stands with its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// No gateway ran that could have taken it.
    Unowed,
    /// The answer is to come until then.
    Owed(Time),
    /// None has come, and none will. Until then it may turn out that the gateway was killed.
    Missed(Time),
    /// Missed for good, and judged.
    Settled,
    /// A whole answer came then.
    Given(Time),
    /// The client left first.
    Left,
}

#[derive(Debug)]
pub(crate) struct Answers {
    slack: Span,
    /// Tries that are to be judged, and when.
    due: BTreeSet<(Time, u64)>,
}

impl Answers {
    /// Answers count until `slack` after the client's time.
    pub(crate) fn new(slack: Span) -> Answers {
        Answers { slack, due: BTreeSet::new() }
    }

    /// The client has written the whole request; again, where its connection closed on it unread.
    pub(crate) fn asked(&mut self, request: &mut Try, running: bool) {
        if let Answer::Owed(at) | Answer::Missed(at) = request.answer {
            self.due.remove(&(at, request.id));
        }
        request.answer = Answer::Unowed;
        if running {
            let due = request.asked.saturating_add(request.patience).saturating_add(self.slack);
            request.answer = Answer::Owed(due);
            self.due.insert((due, request.id));
        }
    }

    pub(crate) fn answered(&mut self, now: Time, request: &mut Try, got: ClientOutcome, log: &mut Log) {
        match got {
            ClientOutcome::ConnectionClosed | ClientOutcome::NoResponse => self.missed(now, request),
            ClientOutcome::Served(_) | ClientOutcome::Rejected(_) | ClientOutcome::Failed => {
                self.given(now, request, got, log)
            }
        }
    }

    fn missed(&mut self, now: Time, request: &mut Try) {
        let Answer::Owed(due) = request.answer else { return };
        self.due.remove(&(due, request.id));
        // Whoever kills a gateway may write that down a little after its clients have seen it.
        let judged = now.saturating_add(ALLOWANCE);
        self.due.insert((judged, request.id));
        request.answer = Answer::Missed(judged);
    }

    fn given(&mut self, now: Time, request: &mut Try, got: ClientOutcome, log: &mut Log) {
        let (id, gateway) = (request.id, Nth(request.gateway));
        let mut breach = |what: &str| {
            let text = || format!("request {id:016x} {what} gateway {gateway}");
            log.breach(now, Rule::SingleResponse, Subject::Request(id), text);
        };
        match request.answer {
            Answer::Left => return,
            Answer::Given(_) => breach("got a second answer from"),
            Answer::Owed(at) | Answer::Missed(at) => {
                self.due.remove(&(at, id));
            }
            // What comes too late is lost and judged by now.
            Answer::Unowed | Answer::Settled => {}
        }
        if got == ClientOutcome::Served(false) {
            breach("was served with what no host made for it by");
        }
        request.answer = Answer::Given(now);
    }

    /// The client closed its connection, which excuses no loss that came before.
    pub(crate) fn left(&mut self, request: &mut Try) {
        match request.answer {
            Answer::Given(_) | Answer::Missed(_) | Answer::Settled => return,
            Answer::Owed(due) => {
                self.due.remove(&(due, request.id));
            }
            Answer::Unowed | Answer::Left => {}
        }
        request.answer = Answer::Left;
    }

    /// The next try whose time is over at `now`.
    pub(crate) fn next_due(&mut self, now: Time) -> Option<(Time, u64)> {
        let first = self.due.first().copied().filter(|(due, _)| *due < now)?;
        self.due.remove(&first);
        Some(first)
    }

    /// All that is yet to be judged.
    pub(crate) fn rest(&mut self) -> Vec<(Time, u64)> {
        std::mem::take(&mut self.due).into_iter().collect()
    }

    /// A command has come whole to a host that was sent from `first_byte` on.
    pub(crate) fn sent(&self, request: &Try, first_byte: Time, host: u32, log: &mut Log) {
        let Answer::Given(given) = request.answer else { return };
        if first_byte > given.saturating_add(ALLOWANCE) {
            let (id, gateway, host) = (request.id, Nth(request.gateway), Nth(host));
            log.breach(first_byte, Rule::SingleResponse, Subject::Request(id), || {
                format!("request {id:016x} was sent to host {host} by gateway {gateway} after its answer")
            });
        }
    }
}

/// Bytes came to a client that had asked for nothing.
pub(crate) fn unasked(now: Time, gateway: u32, log: &mut Log) {
    log.breach(now, Rule::SingleResponse, Subject::Gateway(gateway), || {
        format!("gateway {} sent a client an answer to no request of its own", Nth(gateway))
    });
}

/// The time for a try's answer is over. True: the gateway is to blame.
pub(crate) fn lost(at: Time, request: &mut Try, gateways: &Gateways, log: &mut Log) -> bool {
    let broken = matches!(request.answer, Answer::Missed(_));
    request.answer = Answer::Settled;
    let (id, gateway) = (request.id, request.gateway);
    if gateways.excuses(gateway, request.asked, at) {
        return false;
    }
    let why = if broken { "its client got no whole answer" } else { "no answer came in time" };
    log.breach(at, Rule::SingleResponse, Subject::Request(id), || {
        format!("request {id:016x} was lost at gateway {}: {why}", Nth(gateway))
    });
    true
}
