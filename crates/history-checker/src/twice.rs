//! Nothing takes effect twice: what may have run is not sent again, nor refused as harmless, where its class forbids
//! it. Keyed requests are sent again only within the group of hosts and the window in which repeats are dropped.
//!
//! A client whose connection ends cleanly soon after it wrote takes its request for unread, and writes it to another
//! gateway under the same id. Where the first gateway had died instead, it may have sent the request on, and nobody
//! can tell the second: that is the client's to answer for, and no breach.

use crate::downs::Downs;
use crate::finding::{Findings, Rule};
use crate::tale::{Attempt, End, Tale};
use crate::terms::Limits;
use crate::{ms, nth, ALLOWANCE};
use cluster_model::observation::{ClientOutcome, HostOutcome};
use cluster_model::scenario::Idempotency;
use cluster_model::{Span, Time};

pub(crate) fn check(id: u64, tale: &Tale, downs: &Downs, terms: &Limits, found: &mut Findings) {
    let wrong = match terms.idempotency.get(tale.class) {
        Some(Idempotency::NonIdempotent) => again(tale, downs, terms)
            .or_else(|| refused_after(tale, downs, terms))
            .or_else(|| sent_after_refusal(tale)),
        Some(Idempotency::Keyed(window)) => outside(tale, *window, terms),
        Some(Idempotency::Idempotent) | None => None,
    };
    if let Some(Wrong { at, why, chain }) = wrong {
        found.add(Rule::NoDuplicateExecution, at, format!("request {id:016x} {why}"), chain);
    }
}

struct Wrong {
    at: Time,
    why: String,
    chain: Vec<(Time, String)>,
}

/// The first attempt that may have run by the time when a later one had come, and that one.
fn again(tale: &Tale, downs: &Downs, terms: &Limits) -> Option<Wrong> {
    tale.attempts.iter().enumerate().find_map(|(place, next)| {
        let ran = tale.attempts[..place].iter().find(|earlier| {
            earlier.may_have_run(next.came) && !is_forgotten(tale, earlier, next.gateway, downs, terms)
        })?;
        let mut chain = told(ran, "attempt A", next.came);
        chain.push(sent(next, "attempt B"));
        Some(Wrong { at: next.came, why: "was sent again although it may have run".into(), chain })
    })
}

/// Whether the gateway of an attempt died, and the client wrote the request to another one, which then acted.
fn is_forgotten(tale: &Tale, earlier: &Attempt, other: u32, downs: &Downs, terms: &Limits) -> bool {
    let to = |gateway| tale.asked.iter().find(move |asked| asked.gateway == gateway);
    let (Some(first), Some(anew)) = (to(earlier.gateway), to(other)) else { return false };
    earlier.gateway != other
        && first.at < anew.at
        && downs.excuse(earlier.gateway, first.at, anew.at, terms.max_deadline)
}

/// A refusal tells the client that trying again is harmless.
fn refused_after(tale: &Tale, downs: &Downs, terms: &Limits) -> Option<Wrong> {
    let (at, gateway) = refusal(tale)?;
    let ran = tale.attempts.iter().find(|attempt| {
        attempt.came <= at && attempt.may_have_run(at) && !is_forgotten(tale, attempt, gateway, downs, terms)
    })?;
    let mut chain = told(ran, "attempt A", at);
    chain.push((at, format!("gateway {} refused it: its client may try again", nth(gateway))));
    Some(Wrong { at, why: "was refused although it may have run".into(), chain })
}

fn sent_after_refusal(tale: &Tale) -> Option<Wrong> {
    let (at, gateway) = refusal(tale)?;
    let next = tale.attempts.iter().find(|attempt| attempt.first_byte > at)?;
    let chain = vec![(at, format!("gateway {} refused it", nth(gateway))), sent(next, "attempt A")];
    Some(Wrong { at: next.came, why: "was sent although it had been refused".into(), chain })
}

/// A keyed request that may have run goes only where and while its repeats are dropped.
fn outside(tale: &Tale, window: Span, terms: &Limits) -> Option<Wrong> {
    tale.attempts.iter().enumerate().find_map(|(place, next)| {
        let earlier = tale.attempts[..place].iter().filter(|earlier| earlier.may_have_run(next.came));
        earlier.clone().find_map(|ran| {
            let since = next.first_byte.saturating_sub(ran.first_byte);
            let why = if terms.group(ran.host) != terms.group(next.host) {
                "was sent again to a host that does not know its key".to_owned()
            } else if since > window.saturating_add(ALLOWANCE) {
                format!("was sent again {} after the first time, when hosts had forgotten its key", ms(since))
            } else {
                return None;
            };
            let mut chain = told(ran, "attempt A", next.came);
            chain.push(sent(next, "attempt B"));
            Some(Wrong { at: next.came, why, chain })
        })
    })
}

fn refusal(tale: &Tale) -> Option<(Time, u32)> {
    tale.ends.iter().find_map(|(at, end)| match end {
        End::Got(gateway, ClientOutcome::Rejected(_)) => Some((*at, *gateway)),
        _ => None,
    })
}

fn sent(attempt: &Attempt, name: &str) -> (Time, String) {
    let (host, gateway) = (nth(attempt.host), nth(attempt.gateway));
    (attempt.came, format!("{name} had come whole to host {host} from gateway {gateway}"))
}

/// An attempt, and what had become of it by then.
fn told(attempt: &Attempt, name: &str, by: Time) -> Vec<(Time, String)> {
    let host = nth(attempt.host);
    let became = match attempt.ended.filter(|(at, _)| *at <= by) {
        None => (by, format!("{name} had no end yet: it may have run")),
        Some((at, HostOutcome::Served)) => (at, format!("host {host} ran {name} and answered")),
        Some((at, HostOutcome::Failed)) => {
            (at, format!("host {host} ran {name} and its answer was an error or spoilt"))
        }
        Some((at, HostOutcome::Undelivered)) => (at, format!("host {host} ran {name}, the answer was lost")),
        Some((at, HostOutcome::Rejected | HostOutcome::Dropped)) => {
            (at, format!("host {host} never ran {name}"))
        }
    };
    vec![sent(attempt, name), became]
}
