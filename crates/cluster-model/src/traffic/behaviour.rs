//! How long a client waits for a response, and how it reacts to the outcome of a request.

use crate::observation::ClientOutcome;
use crate::requests::{self, RETRY_BITS};
use crate::rng::Rng;
use crate::scenario::{Idempotency, Site, Traffic};
use crate::{Span, MS};

/// Outcome of a request, reduced to the cases that the decision to retry depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was served, or its client has disconnected; there is no retry.
    Done,
    /// The request was rejected without running, with an optional retry-after delay.
    Rejected(Option<Span>),
    /// The request failed and may have run.
    Failed,
    /// No gateway could be reached, so the request has not run.
    NoGateway,
}

impl From<ClientOutcome> for RequestOutcome {
    fn from(outcome: ClientOutcome) -> RequestOutcome {
        match outcome {
            // The client cannot tell a wrong value from the right one.
            ClientOutcome::Served(_) => RequestOutcome::Done,
            ClientOutcome::Rejected(retry_after) => RequestOutcome::Rejected(retry_after),
            ClientOutcome::Failed | ClientOutcome::ConnectionClosed | ClientOutcome::NoResponse => {
                RequestOutcome::Failed
            }
        }
    }
}

/// A retry by the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// Delay before the retry.
    pub delay: Span,
    /// How long the client then waits for the response.
    pub timeout: Span,
}

/// Behaviour of the clients. All random values are drawn from the number of the operation, so the order in
/// which clients act does not matter.
#[derive(Clone, Debug)]
pub struct ClientBehaviour {
    seed: u64,
    /// Deadlines and effects of the classes.
    classes: Vec<(Span, Idempotency)>,
    retries: u32,
    backoff: Span,
    retry_after_share: f64,
    max_retry_after: Option<Span>,
    first_timeout_share: (f64, f64),
}

impl ClientBehaviour {
    /// Creates the behaviour of the clients of a site.
    pub fn new(site: &Site, traffic: &Traffic, seed: u64) -> ClientBehaviour {
        ClientBehaviour {
            seed,
            classes: site.classes.iter().map(|class| (class.deadline, class.idempotency)).collect(),
            // The maximum that fits into a request id.
            retries: traffic.retries.min((1 << RETRY_BITS) - 1),
            backoff: traffic.backoff,
            retry_after_share: traffic.follows_retry_after,
            max_retry_after: site.retry_after,
            first_timeout_share: traffic.request_timeout_share,
        }
    }

    fn class(&self, class: u32) -> (Span, Idempotency) {
        self.classes.get(class as usize).copied().unwrap_or((0, Idempotency::NonIdempotent))
    }

    /// How long a client waits for the response to the first request of an operation, in whole milliseconds as
    /// on the wire.
    pub fn first_timeout(&self, operation: u64, class: u32) -> Span {
        let (low, high) = self.first_timeout_share;
        let share = Rng::stream(self.seed, "patience", operation).between(low, high).clamp(0.0, 1.0);
        whole_ms((self.class(class).0 as f64 * share) as Span).max(MS)
    }

    /// Returns the client's next retry after `requests` requests of the operation, the last of which had this
    /// outcome, when `elapsed` has passed since the start of the operation. Returns `None` if the client has a
    /// result or gives up.
    pub fn next_retry(
        &self,
        operation: u64,
        class: u32,
        requests: u32,
        elapsed: Span,
        outcome: RequestOutcome,
    ) -> Option<Retry> {
        let (deadline, effect) = self.class(class);
        let allowed = match outcome {
            RequestOutcome::Done => false,
            RequestOutcome::Rejected(_) | RequestOutcome::NoGateway => true,
            RequestOutcome::Failed => effect == Idempotency::Idempotent,
        };
        if !allowed || requests == 0 || requests > self.retries {
            return None;
        }
        let delay =
            self.backoff.saturating_mul(1 << (requests - 1)).max(self.retry_after(operation, outcome));
        let timeout = whole_ms(deadline.checked_sub(elapsed)?.checked_sub(delay)?);
        (timeout > 0).then_some(Retry { delay, timeout })
    }

    /// The retry-after delay that this client follows; 0 if it follows none.
    fn retry_after(&self, operation: u64, outcome: RequestOutcome) -> Span {
        match (outcome, self.max_retry_after) {
            (RequestOutcome::Rejected(Some(delay)), Some(max)) if self.follows_retry_after(operation) => {
                delay.min(max)
            }
            _ => 0,
        }
    }

    /// Whether the client of this operation follows retry-after delays.
    pub fn follows_retry_after(&self, operation: u64) -> bool {
        Rng::stream(self.seed, "honour", operation).chance(self.retry_after_share)
    }

    /// When a client disconnects before the end of `timeout`, given the share of clients that do so; `None` if
    /// it waits. Clients that disconnect at some share also disconnect at any greater one.
    pub fn disconnects_after(&self, operation: u64, retry: u32, timeout: Span, share: f64) -> Option<Span> {
        let mut rng = Rng::stream(self.seed, "leaves", requests::request_id(operation, retry));
        rng.chance(share).then(|| (timeout as f64 * rng.between(0.1, 0.9)) as Span)
    }
}

/// Rounds down to whole milliseconds.
fn whole_ms(span: Span) -> Span {
    span / MS * MS
}
