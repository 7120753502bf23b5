//! What a client does with its time and with the answer that it gets.

use crate::observation::ClientOutcome;
use crate::requests::{self, RETRY_BITS};
use crate::rng::Rng;
use crate::scenario::{Effect, Site, Traffic};
use crate::{Span, MS};

/// How a try ended, as far as it matters to what the client does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served, or the client has left: nothing more comes of it.
    Done,
    /// Turned away, perhaps with advice when to come back: it has not run.
    Rejected(Option<Span>),
    /// Failed in any way that leaves open whether it has run.
    Failed,
    /// No gateway could be reached, so it has not run.
    NoGateway,
}

impl From<ClientOutcome> for RequestOutcome {
    fn from(got: ClientOutcome) -> RequestOutcome {
        match got {
            // The client takes what it got for what it wanted.
            ClientOutcome::Served(_) => RequestOutcome::Done,
            ClientOutcome::Rejected(advice) => RequestOutcome::Rejected(advice),
            ClientOutcome::Failed | ClientOutcome::ConnectionClosed | ClientOutcome::NoResponse => {
                RequestOutcome::Failed
            }
        }
    }
}

/// Another try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// It is made after this.
    pub delay: Span,
    /// Then the client waits for this long.
    pub timeout: Span,
}

/// How clients behave. All is drawn from the number of the thing that is asked for, so the order in which
/// clients act does not matter.
#[derive(Clone, Debug)]
pub struct ClientBehaviour {
    seed: u64,
    /// Deadlines and effects of the classes.
    classes: Vec<(Span, Effect)>,
    retries: u32,
    backoff: Span,
    honour: f64,
    longest_advice: Option<Span>,
    try_share: (f64, f64),
}

impl ClientBehaviour {
    /// The clients of this site.
    pub fn new(site: &Site, traffic: &Traffic, seed: u64) -> ClientBehaviour {
        ClientBehaviour {
            seed,
            classes: site.classes.iter().map(|class| (class.deadline, class.effect)).collect(),
            // More would not fit into an id.
            retries: traffic.retries.min((1 << RETRY_BITS) - 1),
            backoff: traffic.backoff,
            honour: traffic.honour,
            longest_advice: site.retry_after,
            try_share: traffic.try_share,
        }
    }

    fn class(&self, class: u32) -> (Span, Effect) {
        self.classes.get(class as usize).copied().unwrap_or((0, Effect::Unsafe))
    }

    /// How long a client waits for the answer to its first try: whole milliseconds, as on the wire.
    pub fn first_timeout(&self, thing: u64, class: u32) -> Span {
        let (low, high) = self.try_share;
        let share = Rng::stream(self.seed, "patience", thing).between(low, high).clamp(0.0, 1.0);
        whole_ms((self.class(class).0 as f64 * share) as Span).max(MS)
    }

    /// What a client does once it has made `tries` tries, the last of which ended so, and `spent` has passed
    /// since it set out. `None`: it gives up, or has what it wanted.
    pub fn next_retry(
        &self,
        thing: u64,
        class: u32,
        tries: u32,
        spent: Span,
        ended: RequestOutcome,
    ) -> Option<Retry> {
        let (deadline, effect) = self.class(class);
        let allowed = match ended {
            RequestOutcome::Done => false,
            RequestOutcome::Rejected(_) | RequestOutcome::NoGateway => true,
            RequestOutcome::Failed => effect == Effect::Safe,
        };
        if !allowed || tries == 0 || tries > self.retries {
            return None;
        }
        let wait = self.backoff.saturating_mul(1 << (tries - 1)).max(self.advice(thing, ended));
        let patience = whole_ms(deadline.checked_sub(spent)?.checked_sub(wait)?);
        (patience > 0).then_some(Retry { delay: wait, timeout: patience })
    }

    /// The advice that this client follows.
    fn advice(&self, thing: u64, ended: RequestOutcome) -> Span {
        match (ended, self.longest_advice) {
            (RequestOutcome::Rejected(Some(advice)), Some(longest)) if self.follows_retry_after(thing) => {
                advice.min(longest)
            }
            _ => 0,
        }
    }

    /// Whether this client follows advice.
    pub fn follows_retry_after(&self, thing: u64) -> bool {
        Rng::stream(self.seed, "honour", thing).chance(self.honour)
    }

    /// When a client leaves a try for which it would wait for `patience`, where this share of the clients
    /// leaves early. Those who leave at some share leave at any greater one too. `None`: it stays.
    pub fn disconnects_after(&self, thing: u64, try_number: u32, patience: Span, share: f64) -> Option<Span> {
        let mut rng = Rng::stream(self.seed, "leaves", requests::request_id(thing, try_number));
        rng.chance(share).then(|| (patience as f64 * rng.between(0.1, 0.9)) as Span)
    }
}

/// Without the part of the last millisecond.
fn whole_ms(span: Span) -> Span {
    span / MS * MS
}
