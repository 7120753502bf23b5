//! Nothing takes effect twice, and nothing that may have run is refused as harmless.

use crate::breaches::{Log, Nth, Subject};
use crate::ears::Ears;
use crate::gateways::Gateways;
use crate::tries::Try;
use crate::{Rule, ALLOWANCE};
use cluster_model::observation::HostOutcome;
use cluster_model::scenario::{Idempotency, Site};
use cluster_model::Time;

/// What is said of an unsafe request's further attempt.
const AGAIN: &str = "was sent again although it may have run";

/// An attempt that has not ended for good.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    host: u32,
    gateway: u32,
    first_byte: Time,
    dealt: Option<HostOutcome>,
    out: bool,
    /// Since when a copy that was sent later was out beside it, where there may be none.
    doubled: Option<Time>,
}

impl Attempt {
    /// Only a host that turned it away, or dropped it before it began, proves that it never ran.
    fn may_have_run(&self) -> bool {
        !matches!(self.dealt, Some(HostOutcome::Rejected | HostOutcome::Dropped))
    }

    /// Since when it was out together with another, where it is out up to `to`. A connection's end may come to one
    /// host a little later than the next copy to another, and later still where the way there fails.
    fn together(&self, to: Time, ears: &Ears) -> Option<Time> {
        let since = self.doubled.filter(|since| to > since.saturating_add(ALLOWANCE))?;
        (!ears.is_end_late(self.gateway, self.host, since, to)).then_some(since)
    }

    fn is(&self, host: u32, gateway: u32) -> bool {
        (self.host, self.gateway) == (host, gateway)
    }
}

/// The attempts of one try.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    live: Vec<Attempt>,
    count: u32,
    /// When the first was sent that may have run, among those that have ended for good.
    ran: Option<Time>,
    /// Whose the latest of those was.
    by: Option<u32>,
    refused: bool,
}

impl Attempts {
    /// When the first was sent that may have run, by what is known now.
    fn may_have_run(&self) -> Option<Time> {
        let live =
            self.live.iter().filter(|attempt| attempt.may_have_run()).map(|attempt| attempt.first_byte);
        live.chain(self.ran).min()
    }

    /// Whether all attempts that may have run are of the former gateway, and the next one is not.
    fn are_all_by(&self, former: u32, next: u32) -> bool {
        let of_others = |attempt: &Attempt| attempt.may_have_run() && attempt.gateway != former;
        former != next && self.by.is_none_or(|by| by == former) && !self.live.iter().any(of_others)
    }

    /// Those that are out no more and whose end is known are remembered only by whether they may have run.
    fn fold(&mut self) {
        let ended = |attempt: &Attempt| attempt.out && attempt.dealt.is_some();
        let ran = self.live.iter().filter(|attempt| ended(attempt) && attempt.may_have_run());
        self.by = ran.clone().next_back().map(|attempt| attempt.gateway).or(self.by);
        self.ran = ran.map(|attempt| attempt.first_byte).chain(self.ran).min();
        self.live.retain(|attempt| !ended(attempt));
    }
}

/// What classes and the site allow.
#[derive(Debug)]
pub(crate) struct Effects {
    classes: Vec<Idempotency>,
    max_attempts: u32,
    second_copies: bool,
    doubts: Vec<Doubt>,
}

/// A request was sent again, or refused, by another gateway than the one that its client had written it to first. Where that one
/// has died, which may be written down a little later, nobody could have told the other.
#[derive(Debug)]
struct Doubt {
    at: Time,
    request: u64,
    former: (u32, Time),
    text: String,
}

impl Effects {
    pub(crate) fn new(site: &Site) -> Effects {
        let classes = site.classes.iter().map(|class| class.idempotency).collect();
        Effects { classes, max_attempts: site.max_attempts, second_copies: site.hedging, doubts: Vec::new() }
    }

    /// A command has come whole to a host. True: it is the try's first.
    pub(crate) fn received(
        &mut self,
        now: Time,
        request: &mut Try,
        (host, gateway): (u32, u32),
        first_byte: Time,
        log: &mut Log,
    ) -> bool {
        if let Some(wrong) = self.wrong_attempt(request, first_byte) {
            let text = format!("{wrong} (to host {} by gateway {})", Nth(host), Nth(gateway));
            if wrong == AGAIN {
                self.wrong(now, request, gateway, text, log);
            } else {
                breach(now, request.id, log, || text);
            }
        }
        let attempts = &mut request.attempts;
        let mut doubled = None;
        if !self.second_copies {
            for other in attempts.live.iter_mut().filter(|other| !other.out) {
                // One that was held up on its way comes after one that was sent later.
                let (earlier, since) = match other.first_byte <= first_byte {
                    true => (&mut other.doubled, first_byte),
                    false => (&mut doubled, now),
                };
                earlier.get_or_insert(since);
            }
        }
        attempts.count += 1;
        attempts.live.push(Attempt { host, gateway, first_byte, dealt: None, out: false, doubled });
        attempts.count == 1
    }

    fn wrong_attempt(&self, request: &Try, first_byte: Time) -> Option<&'static str> {
        let attempts = &request.attempts;
        if attempts.count >= self.max_attempts {
            return Some("got more attempts than a request may have");
        }
        match (self.classes[request.class], attempts.may_have_run()) {
            (Idempotency::NonIdempotent, Some(_)) => Some(AGAIN),
            (Idempotency::NonIdempotent, None) if attempts.refused => {
                Some("was sent although it had been refused")
            }
            (Idempotency::Keyed(ttl), Some(ran))
                if first_byte > ran.saturating_add(ttl).saturating_add(ALLOWANCE) =>
            {
                Some("was sent again when hosts had forgotten its key")
            }
            _ => None,
        }
    }

    /// A gateway acted as if nothing had run: a breach at once, or a doubt.
    fn wrong(&mut self, at: Time, request: &Try, gateway: u32, text: String, log: &mut Log) {
        match request.former.filter(|(former, _)| request.attempts.are_all_by(*former, gateway)) {
            Some(former) => self.doubts.push(Doubt { at, request: request.id, former, text }),
            None => breach(at, request.id, log, || text),
        }
    }

    /// Doubts whose time is over are breaches, unless the first gateway died.
    pub(crate) fn judge_doubts(&mut self, now: Time, gateways: &Gateways, log: &mut Log) {
        self.doubts.retain(|doubt| {
            let Doubt { at, request, former: (gateway, asked), text } = doubt;
            let due = at.saturating_add(ALLOWANCE);
            if due < now && !gateways.excuses(*gateway, *asked, due) {
                breach(*at, *request, log, || text.clone());
            }
            due >= now
        });
    }

    /// A client was told that trying again is harmless.
    pub(crate) fn refused(&mut self, now: Time, request: &mut Try, log: &mut Log) {
        request.attempts.refused = true;
        if self.classes[request.class] == Idempotency::NonIdempotent
            && request.attempts.may_have_run().is_some()
        {
            let text = format!("was refused by gateway {} although it may have run", Nth(request.gateway));
            self.wrong(now, request, request.gateway, text, log);
        }
    }
}

/// A host is through with an attempt; false: no such attempt is known yet.
pub(crate) fn ended(request: &mut Try, host: u32, gateway: u32, dealt: HostOutcome) -> bool {
    let mut live = request.attempts.live.iter_mut();
    let Some(attempt) = live.find(|attempt| attempt.is(host, gateway) && attempt.dealt.is_none()) else {
        return false;
    };
    attempt.dealt = Some(dealt);
    request.attempts.fold();
    true
}

/// An attempt is out no more; false: no such attempt is known yet.
pub(crate) fn out(
    now: Time,
    request: &mut Try,
    (host, gateway): (u32, u32),
    ears: &Ears,
    log: &mut Log,
) -> bool {
    let mut live = request.attempts.live.iter_mut();
    let Some(attempt) = live.find(|attempt| attempt.is(host, gateway) && !attempt.out) else {
        return false;
    };
    attempt.out = true;
    let together = attempt.together(now, ears);
    request.attempts.fold();
    if let Some(since) = together {
        second_copy(since, request.id, log);
    }
    true
}

/// The run is over: attempts that are still out count as out to the end.
pub(crate) fn finish(end: Time, request: &Try, ears: &Ears, log: &mut Log) {
    let out = request.attempts.live.iter().filter(|attempt| !attempt.out);
    if let Some(since) = out.filter_map(|attempt| attempt.together(end, ears)).min() {
        second_copy(since, request.id, log);
    }
}

fn second_copy(since: Time, id: u64, log: &mut Log) {
    breach(since, id, log, || "had two copies out together".into());
}

fn breach(at: Time, id: u64, log: &mut Log, what: impl FnOnce() -> String) {
    log.breach(at, Rule::NoDuplicateExecution, Subject::Request(id), || {
        format!("request {id:016x} {}", what())
    });
}
