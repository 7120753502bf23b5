//! Checks that no request takes effect twice, and that no request that may have been executed is rejected as safe to
//! retry.

use crate::gateways::Gateways;
use crate::observability::ObservabilityGaps;
use crate::request::Request;
use crate::violations::{OneBased, Subject, ViolationLog};
use crate::{Rule, SOCKET_TOLERANCE};
use cluster_model::observation::HostOutcome;
use cluster_model::scenario::{Idempotency, Site};
use cluster_model::Time;

/// Text of the violation for another attempt of a non-idempotent request.
const FORWARDED_AGAIN: &str = "was forwarded again although it may have been executed";

/// An attempt that is in flight or whose outcome is not known.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    host: u32,
    gateway: u32,
    first_byte: Time,
    outcome: Option<HostOutcome>,
    closed: bool,
    /// Time from which an attempt that was sent later was in flight as well, if hedging is off.
    overlap_since: Option<Time>,
}

impl Attempt {
    /// Only a host that rejected the attempt, or dropped it before its execution, proves that it was never executed.
    fn may_have_run(&self) -> bool {
        !matches!(self.outcome, Some(HostOutcome::Rejected | HostOutcome::Dropped))
    }

    /// Returns the time from which this attempt was in flight together with another one, if it is in flight until
    /// `to`. A host may observe the end of a connection shortly after another host receives the next attempt, and
    /// even later if the link to the first host is faulty.
    fn overlap(&self, to: Time, gaps: &ObservabilityGaps) -> Option<Time> {
        let since = self.overlap_since.filter(|since| to > since.saturating_add(SOCKET_TOLERANCE))?;
        (!gaps.is_end_delayed(self.gateway, self.host, since, to)).then_some(since)
    }

    fn is(&self, host: u32, gateway: u32) -> bool {
        (self.host, self.gateway) == (host, gateway)
    }
}

/// The attempts of one request.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    open: Vec<Attempt>,
    count: u32,
    /// Send time of the first closed attempt that may have been executed.
    first_run: Option<Time>,
    /// Gateway of the last closed attempt that may have been executed.
    last_gateway: Option<u32>,
    rejected: bool,
}

impl Attempts {
    /// Returns the send time of the first attempt that may have been executed, as far as is known now.
    fn may_have_run(&self) -> Option<Time> {
        let open =
            self.open.iter().filter(|attempt| attempt.may_have_run()).map(|attempt| attempt.first_byte);
        open.chain(self.first_run).min()
    }

    /// Returns whether all attempts that may have been executed were sent by the previous gateway, and the next one
    /// is another gateway.
    fn are_all_by(&self, previous: u32, next: u32) -> bool {
        let of_others = |attempt: &Attempt| attempt.may_have_run() && attempt.gateway != previous;
        previous != next
            && self.last_gateway.is_none_or(|gateway| gateway == previous)
            && !self.open.iter().any(of_others)
    }

    /// Removes attempts that are closed and whose outcome is known, and keeps only whether they may have been
    /// executed.
    fn compact(&mut self) {
        let ended = |attempt: &Attempt| attempt.closed && attempt.outcome.is_some();
        let ran = self.open.iter().filter(|attempt| ended(attempt) && attempt.may_have_run());
        self.last_gateway = ran.clone().next_back().map(|attempt| attempt.gateway).or(self.last_gateway);
        self.first_run = ran.map(|attempt| attempt.first_byte).chain(self.first_run).min();
        self.open.retain(|attempt| !ended(attempt));
    }
}

/// The rule, with the limits of the classes and the site.
#[derive(Debug)]
pub(crate) struct DuplicateExecution {
    classes: Vec<Idempotency>,
    max_attempts: u32,
    hedging: bool,
    pending: Vec<PendingViolation>,
}

/// A request was forwarded again, or rejected, by a gateway other than the one that the client had written it to
/// first. If the first gateway crashed, which may be recorded a little later, the second one could not know of the
/// earlier attempts.
#[derive(Debug)]
struct PendingViolation {
    at: Time,
    request: u64,
    previous_gateway: (u32, Time),
    text: String,
}

impl DuplicateExecution {
    pub(crate) fn new(site: &Site) -> DuplicateExecution {
        let classes = site.classes.iter().map(|class| class.idempotency).collect();
        DuplicateExecution {
            classes,
            max_attempts: site.max_attempts,
            hedging: site.hedging,
            pending: Vec::new(),
        }
    }

    /// Handles a command that a host has received completely. Returns whether it is the first attempt of its
    /// request.
    pub(crate) fn attempt_received(
        &mut self,
        now: Time,
        request: &mut Request,
        (host, gateway): (u32, u32),
        first_byte: Time,
        log: &mut ViolationLog,
    ) -> bool {
        if let Some(reason) = self.forbidden_attempt(request, first_byte) {
            let text = format!("{reason} (to host {} by gateway {})", OneBased(host), OneBased(gateway));
            if reason == FORWARDED_AGAIN {
                self.report(now, request, gateway, text, log);
            } else {
                violation(now, request.id, log, || text);
            }
        }
        let attempts = &mut request.attempts;
        let mut overlap_since = None;
        if !self.hedging {
            for other in attempts.open.iter_mut().filter(|other| !other.closed) {
                // A delayed attempt may arrive after one that was sent later.
                let (earlier, since) = match other.first_byte <= first_byte {
                    true => (&mut other.overlap_since, first_byte),
                    false => (&mut overlap_since, now),
                };
                earlier.get_or_insert(since);
            }
        }
        attempts.count += 1;
        attempts.open.push(Attempt {
            host,
            gateway,
            first_byte,
            outcome: None,
            closed: false,
            overlap_since,
        });
        attempts.count == 1
    }

    fn forbidden_attempt(&self, request: &Request, first_byte: Time) -> Option<&'static str> {
        let attempts = &request.attempts;
        if attempts.count >= self.max_attempts {
            return Some("got more attempts than a request may have");
        }
        match (self.classes[request.class], attempts.may_have_run()) {
            (Idempotency::NonIdempotent, Some(_)) => Some(FORWARDED_AGAIN),
            (Idempotency::NonIdempotent, None) if attempts.rejected => {
                Some("was forwarded although it had been rejected")
            }
            (Idempotency::Keyed(ttl), Some(ran))
                if first_byte > ran.saturating_add(ttl).saturating_add(SOCKET_TOLERANCE) =>
            {
                Some("was forwarded again after hosts had forgotten its key")
            }
            _ => None,
        }
    }

    /// Handles a gateway that acted as if no attempt had been executed: a violation, or a pending violation.
    fn report(&mut self, at: Time, request: &Request, gateway: u32, text: String, log: &mut ViolationLog) {
        match request.previous_gateway.filter(|(previous, _)| request.attempts.are_all_by(*previous, gateway))
        {
            Some(previous_gateway) => {
                self.pending.push(PendingViolation { at, request: request.id, previous_gateway, text })
            }
            None => violation(at, request.id, log, || text),
        }
    }

    /// Reports pending violations whose time has expired, unless the first gateway crashed.
    pub(crate) fn check_pending(&mut self, now: Time, gateways: &Gateways, log: &mut ViolationLog) {
        self.pending.retain(|pending| {
            let PendingViolation { at, request, previous_gateway: (gateway, sent_at), text } = pending;
            let expires = at.saturating_add(SOCKET_TOLERANCE);
            if expires < now && !gateways.excuses(*gateway, *sent_at, expires) {
                violation(*at, *request, log, || text.clone());
            }
            expires >= now
        });
    }

    /// Handles a rejection, which tells the client that a retry is safe.
    pub(crate) fn request_rejected(&mut self, now: Time, request: &mut Request, log: &mut ViolationLog) {
        request.attempts.rejected = true;
        if self.classes[request.class] == Idempotency::NonIdempotent
            && request.attempts.may_have_run().is_some()
        {
            let text = format!(
                "was rejected by gateway {} although it may have been executed",
                OneBased(request.gateway)
            );
            self.report(now, request, request.gateway, text, log);
        }
    }
}

/// Handles a host that has finished an attempt. Returns false if no such attempt is known yet.
pub(crate) fn attempt_ended(request: &mut Request, host: u32, gateway: u32, outcome: HostOutcome) -> bool {
    let mut open = request.attempts.open.iter_mut();
    let Some(attempt) = open.find(|attempt| attempt.is(host, gateway) && attempt.outcome.is_none()) else {
        return false;
    };
    attempt.outcome = Some(outcome);
    request.attempts.compact();
    true
}

/// Handles an attempt that is no longer in flight. Returns false if no such attempt is known yet.
pub(crate) fn attempt_closed(
    now: Time,
    request: &mut Request,
    (host, gateway): (u32, u32),
    gaps: &ObservabilityGaps,
    log: &mut ViolationLog,
) -> bool {
    let mut open = request.attempts.open.iter_mut();
    let Some(attempt) = open.find(|attempt| attempt.is(host, gateway) && !attempt.closed) else {
        return false;
    };
    attempt.closed = true;
    let overlap = attempt.overlap(now, gaps);
    request.attempts.compact();
    if let Some(since) = overlap {
        report_overlap(since, request.id, log);
    }
    true
}

/// Checks the attempts that are still in flight at the end of the run.
pub(crate) fn finish(end: Time, request: &Request, gaps: &ObservabilityGaps, log: &mut ViolationLog) {
    let in_flight = request.attempts.open.iter().filter(|attempt| !attempt.closed);
    if let Some(since) = in_flight.filter_map(|attempt| attempt.overlap(end, gaps)).min() {
        report_overlap(since, request.id, log);
    }
}

fn report_overlap(since: Time, id: u64, log: &mut ViolationLog) {
    violation(since, id, log, || "had two attempts in flight at the same time".into());
}

fn violation(at: Time, id: u64, log: &mut ViolationLog, text: impl FnOnce() -> String) {
    log.violation(at, Rule::NoDuplicateExecution, Subject::Request(id), || {
        format!("request {id:016x} {}", text())
    });
}
