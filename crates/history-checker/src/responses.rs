//! Checks that each request gets at most one final response, and that a request accepted by a running gateway gets one.

use crate::availability::Availability;
use crate::finding::{Findings, Rule};
use crate::limits::Limits;
use crate::timeline::{End, RequestTimeline, RequestWrite};
use crate::{ms, nth};
use cluster_model::observation::ClientOutcome;
use cluster_model::Time;

/// Checks one request of a run that ended at `end`.
pub(crate) fn check(
    id: u64,
    timeline: &RequestTimeline,
    availability: &Availability,
    limits: &Limits,
    end: Time,
    found: &mut Findings,
) {
    let Some(write) = timeline.writes.last() else { return };
    let mut answer: Option<(Time, u32, ClientOutcome)> = None;
    let mut broken = None;
    for (at, what) in &timeline.ends {
        match (*what, answer) {
            // Responses after the client disconnected reach no client.
            (End::Disconnected, _) => return,
            (
                End::Outcome(
                    gateway,
                    outcome @ (ClientOutcome::Served(_) | ClientOutcome::Rejected(_) | ClientOutcome::Failed),
                ),
                None,
            ) => {
                answer = Some((*at, gateway, outcome));
            }
            (
                End::Outcome(
                    gateway,
                    outcome @ (ClientOutcome::Served(_) | ClientOutcome::Rejected(_) | ClientOutcome::Failed),
                ),
                Some(first),
            ) => {
                return second(id, write, first, (*at, gateway, outcome), found);
            }
            (End::Outcome(..), _) => broken = broken.or(Some(*at)),
        }
    }
    if answer.is_none() {
        missing(id, write, broken, (availability, limits, end), found);
    }
}

/// Handles bytes that arrived at a client without an outstanding request.
pub(crate) fn unexpected(at: Time, gateway: u32, found: &mut Findings) {
    let text = format!("gateway {} sent a client a response that matches no request", nth(gateway));
    let step = (at, format!("bytes arrived from gateway {} without a request", nth(gateway)));
    found.add(Rule::SingleResponse, at, text, vec![step]);
}

fn second(
    id: u64,
    write: &RequestWrite,
    first: (Time, u32, ClientOutcome),
    next: (Time, u32, ClientOutcome),
    found: &mut Findings,
) {
    let step = |(at, gateway, outcome): (Time, u32, ClientOutcome)| {
        (at, format!("gateway {} {}", nth(gateway), describe_outcome(outcome)))
    };
    let text = format!("request {id:016x} got a second response, {} after the first", ms(next.0 - first.0));
    found.add(Rule::SingleResponse, next.0, text, vec![written(id, write), step(first), step(next)]);
}

fn missing(
    id: u64,
    write: &RequestWrite,
    broken: Option<Time>,
    (availability, limits, end): (&Availability, &Limits, Time),
    found: &mut Findings,
) {
    let due = write.at.saturating_add(write.timeout).saturating_add(limits.response_slack);
    let until = broken.unwrap_or(due);
    // A response expected after the end of the run might still have arrived.
    if until > end || !availability.ran(write.gateway, write.at) {
        return;
    }
    if availability.excuses(write.gateway, write.at, until, limits.max_deadline) {
        return;
    }
    let gateway = nth(write.gateway);
    let last = match broken {
        Some(_) => "its connection ended without a complete response".to_owned(),
        None => "its deadline expired and no response had arrived".to_owned(),
    };
    let text = format!("request {id:016x} was accepted by gateway {gateway} and outcome no response");
    found.add(Rule::SingleResponse, until, text, vec![written(id, write), (until, last)]);
}

fn written(id: u64, write: &RequestWrite) -> (Time, String) {
    (write.at, format!("its client wrote request {id:016x} to gateway {}", nth(write.gateway)))
}

/// Describes the outcome observed by a client.
fn describe_outcome(outcome: ClientOutcome) -> &'static str {
    match outcome {
        ClientOutcome::Served(true) => "responded with a value",
        ClientOutcome::Served(false) => "responded with a value that no host produced",
        ClientOutcome::Rejected(_) => "rejected it",
        ClientOutcome::Failed => "responded with a failure",
        ClientOutcome::ConnectionClosed | ClientOutcome::NoResponse => "gave no complete response",
    }
}
