//! What a client does with its time and with the answer that it gets.

use crate::draw::{self, TRY_BITS};
use crate::rng::Rng;
use crate::scenario::{Idempotency, Site, Traffic};
use crate::seen::Got;
use crate::{Span, MS};

/// How a try ended, as far as it matters to what the client does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Served, or the client has left: nothing more comes of it.
    Done,
    /// Turned away, perhaps with advice when to come back: it has not run.
    Busy(Option<Span>),
    /// Failed in any way that leaves open whether it has run.
    Failed,
    /// No gateway could be reached, so it has not run.
    Unreached,
}

impl From<Got> for Ended {
    fn from(got: Got) -> Ended {
        match got {
            // The client takes what it got for what it wanted.
            Got::Served(_) => Ended::Done,
            Got::Busy(advice) => Ended::Busy(advice),
            Got::Failed | Got::Broken | Got::Nothing => Ended::Failed,
        }
    }
}

/// Another try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Again {
    /// It is made after this.
    pub wait: Span,
    /// Then the client waits for this long.
    pub patience: Span,
}

/// How clients behave. All is drawn from the number of the thing that is asked for, so the order in which
/// clients act does not matter.
#[derive(Clone, Debug)]
pub struct Behaviour {
    seed: u64,
    /// Deadlines and effects of the classes.
    classes: Vec<(Span, Idempotency)>,
    retries: u32,
    backoff: Span,
    honour: f64,
    longest_advice: Option<Span>,
    try_share: (f64, f64),
}

impl Behaviour {
    /// The clients of this site.
    pub fn new(site: &Site, traffic: &Traffic, seed: u64) -> Behaviour {
        Behaviour {
            seed,
            classes: site.classes.iter().map(|class| (class.deadline, class.idempotency)).collect(),
            // More would not fit into an id.
            retries: traffic.retries.min((1 << TRY_BITS) - 1),
            backoff: traffic.backoff,
            honour: traffic.follows_retry_after,
            longest_advice: site.retry_after,
            try_share: traffic.request_timeout_share,
        }
    }

    fn class(&self, class: u32) -> (Span, Idempotency) {
        self.classes.get(class as usize).copied().unwrap_or((0, Idempotency::NonIdempotent))
    }

    /// How long a client waits for the answer to its first try: whole milliseconds, as on the wire.
    pub fn patience(&self, thing: u64, class: u32) -> Span {
        let (low, high) = self.try_share;
        let share = Rng::stream(self.seed, "patience", thing).between(low, high).clamp(0.0, 1.0);
        whole_ms((self.class(class).0 as f64 * share) as Span).max(MS)
    }

    /// What a client does once it has made `tries` tries, the last of which ended so, and `spent` has passed
    /// since it set out. `None`: it gives up, or has what it wanted.
    pub fn again(&self, thing: u64, class: u32, tries: u32, spent: Span, ended: Ended) -> Option<Again> {
        let (deadline, effect) = self.class(class);
        let allowed = match ended {
            Ended::Done => false,
            Ended::Busy(_) | Ended::Unreached => true,
            Ended::Failed => effect == Idempotency::Idempotent,
        };
        if !allowed || tries == 0 || tries > self.retries {
            return None;
        }
        let wait = self.backoff.saturating_mul(1 << (tries - 1)).max(self.advice(thing, ended));
        let patience = whole_ms(deadline.checked_sub(spent)?.checked_sub(wait)?);
        (patience > 0).then_some(Again { wait, patience })
    }

    /// The advice that this client follows.
    fn advice(&self, thing: u64, ended: Ended) -> Span {
        match (ended, self.longest_advice) {
            (Ended::Busy(Some(advice)), Some(longest)) if self.honours(thing) => advice.min(longest),
            _ => 0,
        }
    }

    /// Whether this client follows advice.
    pub fn honours(&self, thing: u64) -> bool {
        Rng::stream(self.seed, "honour", thing).chance(self.honour)
    }

    /// When a client leaves a try for which it would wait for `patience`, where this share of the clients
    /// leaves early. Those who leave at some share leave at any greater one too. `None`: it stays.
    pub fn leaves(&self, thing: u64, try_number: u32, patience: Span, share: f64) -> Option<Span> {
        let mut rng = Rng::stream(self.seed, "leaves", draw::id(thing, try_number));
        rng.chance(share).then(|| (patience as f64 * rng.between(0.1, 0.9)) as Span)
    }
}

/// Without the part of the last millisecond.
fn whole_ms(span: Span) -> Span {
    span / MS * MS
}
