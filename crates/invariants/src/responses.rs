//! Checks that each request accepted by a running gateway gets one final response in time, and that no attempt is
//! sent after the response.

use crate::gateways::Gateways;
use crate::request::Request;
use crate::violations::{OneBased, Subject, ViolationLog};
use crate::{Rule, SOCKET_TOLERANCE};
use cluster_model::observation::ClientOutcome;
use cluster_model::{Span, Time};
use std::collections::BTreeSet;

/// State of the response to a request, as observed by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseState {
    /// No running gateway could have accepted the request.
    NotExpected,
    /// The response has to arrive by this time.
    Expected(Time),
    /// The client got no complete response and will get none. Until this time it may turn out that the gateway was
    /// killed.
    Missing(Time),
    /// The response never arrived, and the request was checked.
    Settled,
    /// A complete response arrived at this time.
    Received(Time),
    /// The client disconnected first.
    ClientLeft,
}

#[derive(Debug)]
pub(crate) struct Responses {
    slack: Span,
    /// Requests to be checked, with the time of the check.
    deadlines: BTreeSet<(Time, u64)>,
}

impl Responses {
    /// Creates the rule; a response counts as in time until `slack` after the client's timeout.
    pub(crate) fn new(slack: Span) -> Responses {
        Responses { slack, deadlines: BTreeSet::new() }
    }

    /// Handles a client that has written the complete request, for the first time or again after the gateway closed
    /// the connection without reading it.
    pub(crate) fn request_sent(&mut self, request: &mut Request, running: bool) {
        if let ResponseState::Expected(at) | ResponseState::Missing(at) = request.response {
            self.deadlines.remove(&(at, request.id));
        }
        request.response = ResponseState::NotExpected;
        if running {
            let deadline = request.sent_at.saturating_add(request.timeout).saturating_add(self.slack);
            request.response = ResponseState::Expected(deadline);
            self.deadlines.insert((deadline, request.id));
        }
    }

    pub(crate) fn request_ended(
        &mut self,
        now: Time,
        request: &mut Request,
        outcome: ClientOutcome,
        log: &mut ViolationLog,
    ) {
        match outcome {
            ClientOutcome::ConnectionClosed | ClientOutcome::NoResponse => self.missing(now, request),
            ClientOutcome::Served(_) | ClientOutcome::Rejected(_) | ClientOutcome::Failed => {
                self.received(now, request, outcome, log)
            }
        }
    }

    fn missing(&mut self, now: Time, request: &mut Request) {
        let ResponseState::Expected(deadline) = request.response else { return };
        self.deadlines.remove(&(deadline, request.id));
        // The kill of a gateway may be recorded shortly after its clients observed the closed connections.
        let check_at = now.saturating_add(SOCKET_TOLERANCE);
        self.deadlines.insert((check_at, request.id));
        request.response = ResponseState::Missing(check_at);
    }

    fn received(&mut self, now: Time, request: &mut Request, outcome: ClientOutcome, log: &mut ViolationLog) {
        let (id, gateway) = (request.id, OneBased(request.gateway));
        let mut violation = |what: &str| {
            let text = || format!("request {id:016x} {what} gateway {gateway}");
            log.violation(now, Rule::SingleResponse, Subject::Request(id), text);
        };
        match request.response {
            ResponseState::ClientLeft => return,
            ResponseState::Received(_) => violation("got a second response from"),
            ResponseState::Expected(at) | ResponseState::Missing(at) => {
                self.deadlines.remove(&(at, id));
            }
            // A response after the deadline counts as lost, and the loss was checked before.
            ResponseState::NotExpected | ResponseState::Settled => {}
        }
        if outcome == ClientOutcome::Served(false) {
            violation("was served a value that no host produced, by");
        }
        request.response = ResponseState::Received(now);
    }

    /// Handles a client that closed its connection; a response that was lost before that is not excused.
    pub(crate) fn client_disconnected(&mut self, request: &mut Request) {
        match request.response {
            ResponseState::Received(_) | ResponseState::Missing(_) | ResponseState::Settled => return,
            ResponseState::Expected(deadline) => {
                self.deadlines.remove(&(deadline, request.id));
            }
            ResponseState::NotExpected | ResponseState::ClientLeft => {}
        }
        request.response = ResponseState::ClientLeft;
    }

    /// Returns the next request whose deadline has expired at `now`.
    pub(crate) fn next_expired(&mut self, now: Time) -> Option<(Time, u64)> {
        let first = self.deadlines.first().copied().filter(|(deadline, _)| *deadline < now)?;
        self.deadlines.remove(&first);
        Some(first)
    }

    /// Takes all requests that are still to be checked.
    pub(crate) fn take_remaining(&mut self) -> Vec<(Time, u64)> {
        std::mem::take(&mut self.deadlines).into_iter().collect()
    }

    /// Checks a command that a host has received completely and whose first byte was sent at `first_byte`.
    pub(crate) fn attempt_sent(
        &self,
        request: &Request,
        first_byte: Time,
        host: u32,
        log: &mut ViolationLog,
    ) {
        let ResponseState::Received(received_at) = request.response else { return };
        if first_byte > received_at.saturating_add(SOCKET_TOLERANCE) {
            let (id, gateway, host) = (request.id, OneBased(request.gateway), OneBased(host));
            log.violation(first_byte, Rule::SingleResponse, Subject::Request(id), || {
                format!(
                    "request {id:016x} was forwarded to host {host} by gateway {gateway} after its response"
                )
            });
        }
    }
}

/// Handles bytes that arrived at a client without an outstanding request.
pub(crate) fn unexpected_response(now: Time, gateway: u32, log: &mut ViolationLog) {
    log.violation(now, Rule::SingleResponse, Subject::Gateway(gateway), || {
        format!("gateway {} sent a client a response that matches no request", OneBased(gateway))
    });
}

/// Handles a request whose response did not arrive in time. Returns whether the gateway is at fault.
pub(crate) fn check_lost(
    at: Time,
    request: &mut Request,
    gateways: &Gateways,
    log: &mut ViolationLog,
) -> bool {
    let broken = matches!(request.response, ResponseState::Missing(_));
    request.response = ResponseState::Settled;
    let (id, gateway) = (request.id, request.gateway);
    if gateways.excuses(gateway, request.sent_at, at) {
        return false;
    }
    let why = if broken { "its client got no complete response" } else { "no response arrived in time" };
    log.violation(at, Rule::SingleResponse, Subject::Request(id), || {
        format!("request {id:016x} was lost at gateway {}: {why}", OneBased(gateway))
    });
    true
}
