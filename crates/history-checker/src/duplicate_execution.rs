//! Checks that no request takes effect twice: a request that may have been executed is not forwarded again, nor rejected as
//! safe to retry, if its class forbids that. Keyed requests are forwarded again only within the group of hosts and the
//! window in which repeats are dropped.
//!
//! A client whose connection ends cleanly soon after it wrote a request assumes that the request was not read, and writes
//! it to another gateway under the same id. If the first gateway crashed instead, it may have forwarded the request, and the
//! second gateway cannot know that: the client is responsible, and there is no violation.

use crate::availability::Availability;
use crate::finding::{Findings, Rule};
use crate::limits::Limits;
use crate::timeline::{Attempt, End, RequestTimeline};
use crate::{ms, nth, SOCKET_TOLERANCE};
use cluster_model::observation::{ClientOutcome, HostOutcome};
use cluster_model::scenario::Idempotency;
use cluster_model::{Span, Time};

pub(crate) fn check(
    id: u64,
    timeline: &RequestTimeline,
    availability: &Availability,
    limits: &Limits,
    found: &mut Findings,
) {
    let violation = match limits.idempotency.get(timeline.class) {
        Some(Idempotency::NonIdempotent) => repeated_attempt(timeline, availability, limits)
            .or_else(|| rejected_after_run(timeline, availability, limits))
            .or_else(|| sent_after_rejection(timeline)),
        Some(Idempotency::Keyed(window)) => keyed_repeat(timeline, *window, limits),
        Some(Idempotency::Idempotent) | None => None,
    };
    if let Some(Violation { at, why, chain }) = violation {
        found.add(Rule::NoDuplicateExecution, at, format!("request {id:016x} {why}"), chain);
    }
}

struct Violation {
    at: Time,
    why: String,
    chain: Vec<(Time, String)>,
}

/// Finds the first attempt that may have been executed when a later attempt was received.
fn repeated_attempt(
    timeline: &RequestTimeline,
    availability: &Availability,
    limits: &Limits,
) -> Option<Violation> {
    timeline.attempts.iter().enumerate().find_map(|(place, next)| {
        let ran = timeline.attempts[..place].iter().find(|earlier| {
            earlier.may_have_run(next.received_at)
                && !gateway_crashed(timeline, earlier, next.gateway, availability, limits)
        })?;
        let mut chain = describe_attempt(ran, "attempt A", next.received_at);
        chain.push(sent(next, "attempt B"));
        Some(Violation {
            at: next.received_at,
            why: "was forwarded again although it may have been executed".into(),
            chain,
        })
    })
}

/// Returns whether the gateway of an attempt crashed, and the client wrote the request to another gateway, which then acted.
fn gateway_crashed(
    timeline: &RequestTimeline,
    earlier: &Attempt,
    other: u32,
    availability: &Availability,
    limits: &Limits,
) -> bool {
    let to = |gateway| timeline.writes.iter().find(move |write| write.gateway == gateway);
    let (Some(first), Some(second)) = (to(earlier.gateway), to(other)) else { return false };
    earlier.gateway != other
        && first.at < second.at
        && availability.excuses(earlier.gateway, first.at, second.at, limits.max_deadline)
}

/// Finds a rejection, which tells the client that a retry is safe, after an attempt that may have been executed.
fn rejected_after_run(
    timeline: &RequestTimeline,
    availability: &Availability,
    limits: &Limits,
) -> Option<Violation> {
    let (at, gateway) = rejection(timeline)?;
    let ran = timeline.attempts.iter().find(|attempt| {
        attempt.received_at <= at
            && attempt.may_have_run(at)
            && !gateway_crashed(timeline, attempt, gateway, availability, limits)
    })?;
    let mut chain = describe_attempt(ran, "attempt A", at);
    chain.push((at, format!("gateway {} rejected it: its client may retry", nth(gateway))));
    Some(Violation { at, why: "was rejected although it may have been executed".into(), chain })
}

fn sent_after_rejection(timeline: &RequestTimeline) -> Option<Violation> {
    let (at, gateway) = rejection(timeline)?;
    let next = timeline.attempts.iter().find(|attempt| attempt.first_byte > at)?;
    let chain = vec![(at, format!("gateway {} rejected it", nth(gateway))), sent(next, "attempt A")];
    Some(Violation { at: next.received_at, why: "was forwarded although it had been rejected".into(), chain })
}

/// Finds a repeat of a keyed request outside the hosts or the window in which repeats are dropped.
fn keyed_repeat(timeline: &RequestTimeline, window: Span, limits: &Limits) -> Option<Violation> {
    timeline.attempts.iter().enumerate().find_map(|(place, next)| {
        let earlier =
            timeline.attempts[..place].iter().filter(|earlier| earlier.may_have_run(next.received_at));
        earlier.clone().find_map(|ran| {
            let since = next.first_byte.saturating_sub(ran.first_byte);
            let why = if limits.group(ran.host) != limits.group(next.host) {
                "was forwarded again to a host that does not know its key".to_owned()
            } else if since > window.saturating_add(SOCKET_TOLERANCE) {
                format!(
                    "was forwarded again {} after the first attempt, after hosts had forgotten its key",
                    ms(since)
                )
            } else {
                return None;
            };
            let mut chain = describe_attempt(ran, "attempt A", next.received_at);
            chain.push(sent(next, "attempt B"));
            Some(Violation { at: next.received_at, why, chain })
        })
    })
}

fn rejection(timeline: &RequestTimeline) -> Option<(Time, u32)> {
    timeline.ends.iter().find_map(|(at, end)| match end {
        End::Outcome(gateway, ClientOutcome::Rejected(_)) => Some((*at, *gateway)),
        _ => None,
    })
}

fn sent(attempt: &Attempt, name: &str) -> (Time, String) {
    let (host, gateway) = (nth(attempt.host), nth(attempt.gateway));
    (attempt.received_at, format!("host {host} had received {name} completely from gateway {gateway}"))
}

/// Describes an attempt and its state at `by`.
fn describe_attempt(attempt: &Attempt, name: &str, by: Time) -> Vec<(Time, String)> {
    let host = nth(attempt.host);
    let became = match attempt.ended.filter(|(at, _)| *at <= by) {
        None => (by, format!("{name} had no outcome yet: it may have been executed")),
        Some((at, HostOutcome::Served)) => (at, format!("host {host} executed {name} and responded")),
        Some((at, HostOutcome::Failed)) => {
            (at, format!("host {host} executed {name} and its response was an error or corrupt"))
        }
        Some((at, HostOutcome::Undelivered)) => {
            (at, format!("host {host} executed {name}, the response was lost"))
        }
        Some((at, HostOutcome::Rejected | HostOutcome::Dropped)) => {
            (at, format!("host {host} never executed {name}"))
        }
    };
    vec![sent(attempt, name), became]
}
