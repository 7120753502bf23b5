//! Each request gets one final answer at most; one that a running gateway took gets one.

use crate::downs::Downs;
use crate::finding::{Findings, Rule};
use crate::tale::{Asked, End, Tale};
use crate::terms::Limits;
use crate::{ms, nth};
use cluster_model::observation::ClientOutcome;
use cluster_model::Time;

/// Checks one request of a run that ended at `end`.
pub(crate) fn check(id: u64, tale: &Tale, downs: &Downs, terms: &Limits, end: Time, found: &mut Findings) {
    let Some(asked) = tale.asked.last() else { return };
    let mut answer: Option<(Time, u32, ClientOutcome)> = None;
    let mut broken = None;
    for (at, what) in &tale.ends {
        match (*what, answer) {
            // What crossed the client's leaving reached nobody.
            (End::Left, _) => return,
            (
                End::Got(
                    gateway,
                    got @ (ClientOutcome::Served(_) | ClientOutcome::Rejected(_) | ClientOutcome::Failed),
                ),
                None,
            ) => {
                answer = Some((*at, gateway, got));
            }
            (
                End::Got(
                    gateway,
                    got @ (ClientOutcome::Served(_) | ClientOutcome::Rejected(_) | ClientOutcome::Failed),
                ),
                Some(first),
            ) => {
                return second(id, asked, first, (*at, gateway, got), found);
            }
            (End::Got(..), _) => broken = broken.or(Some(*at)),
        }
    }
    if answer.is_none() {
        missing(id, asked, broken, (downs, terms, end), found);
    }
}

/// Bytes came to a client that had asked for nothing.
pub(crate) fn unasked(at: Time, gateway: u32, found: &mut Findings) {
    let text = format!("gateway {} sent a client an answer to no request of its own", nth(gateway));
    let step = (at, format!("bytes came from gateway {} for which nobody had asked", nth(gateway)));
    found.add(Rule::SingleResponse, at, text, vec![step]);
}

fn second(
    id: u64,
    asked: &Asked,
    first: (Time, u32, ClientOutcome),
    next: (Time, u32, ClientOutcome),
    found: &mut Findings,
) {
    let step = |(at, gateway, got): (Time, u32, ClientOutcome)| {
        (at, format!("gateway {} {}", nth(gateway), words(got)))
    };
    let text = format!("request {id:016x} got a second answer, {} after the first", ms(next.0 - first.0));
    found.add(Rule::SingleResponse, next.0, text, vec![written(id, asked), step(first), step(next)]);
}

fn missing(
    id: u64,
    asked: &Asked,
    broken: Option<Time>,
    (downs, terms, end): (&Downs, &Limits, Time),
    found: &mut Findings,
) {
    let due = asked.at.saturating_add(asked.patience).saturating_add(terms.response_slack);
    let until = broken.unwrap_or(due);
    // What is due after the end of the run may still have come.
    if until > end || !downs.ran(asked.gateway, asked.at) {
        return;
    }
    if downs.excuse(asked.gateway, asked.at, until, terms.max_deadline) {
        return;
    }
    let gateway = nth(asked.gateway);
    let last = match broken {
        Some(_) => "its connection ended with no whole answer".to_owned(),
        None => "its time was over and no answer had come".to_owned(),
    };
    let text = format!("request {id:016x} was taken by gateway {gateway} and never answered");
    found.add(Rule::SingleResponse, until, text, vec![written(id, asked), (until, last)]);
}

fn written(id: u64, asked: &Asked) -> (Time, String) {
    (asked.at, format!("its client wrote request {id:016x} to gateway {}", nth(asked.gateway)))
}

/// What a client got, in words.
fn words(got: ClientOutcome) -> &'static str {
    match got {
        ClientOutcome::Served(true) => "answered with a value",
        ClientOutcome::Served(false) => "answered with a value that no host made",
        ClientOutcome::Rejected(_) => "refused it",
        ClientOutcome::Failed => "answered that it failed",
        ClientOutcome::ConnectionClosed | ClientOutcome::NoResponse => "gave no whole answer",
    }
}
