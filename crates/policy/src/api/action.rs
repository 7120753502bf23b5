//! Actions that the decision module asks a gateway to carry out.

use super::ids::{CounterKey, HostId, RequestId};
use super::time::{Span, Time};

/// Why a request gets a final answer without a successful response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// Its class or its plan does not exist.
    UnknownClassOrPlan,
    /// It arrived with too little time left for a response.
    DeadlineTooShort,
    /// No host that it may be forwarded to accepts requests.
    NoHost,
    /// More customers have requests in flight than fit into memory.
    TooManyCustomers,
    /// It exceeds its customer's quota, or too many of the customer's requests are in flight.
    QuotaExceeded,
    /// More requests are queued before it than can be forwarded in its time.
    QueueTooLong,
    /// It was queued for a concurrency slot or for a host until it was too late.
    QueuedTooLong,
    /// An attempt may have been executed, and it is not idempotent where it could be forwarded to.
    NotIdempotent,
    /// A retry would come too late.
    TooLateForRetry,
    /// It had all its attempts, or the retry budget is exhausted.
    RetriesExhausted,
    /// The operators' plan for lost sites sheds it, to keep capacity for other requests.
    LoadShed,
}

/// What the decision module wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; the attempts of a request are numbered from 0 in this order.
    Forward {
        /// The request.
        id: RequestId,
        /// The host.
        host: HostId,
        /// When to give the attempt up.
        deadline: Time,
        /// When the last byte of the request has to be written at the latest; after that none of it may be
        /// sent, and the attempt ends as [`NotSent`](super::Outcome::NotSent).
        write_by: Time,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// Final answer: rejected without effect; a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should stay away.
        retry_after: Option<Span>,
        /// Why the request is rejected.
        reason: RejectReason,
    },
    /// Final answer: failed; the request may have been executed.
    Fail {
        /// The request.
        id: RequestId,
        /// Why the request failed.
        reason: RejectReason,
    },
    /// Report [`TimerExpired`](super::Event::TimerExpired) later.
    SetTimer {
        /// Time until then.
        after: Span,
        /// Token to report.
        token: u32,
    },
    /// Add to a number of the counter service.
    AddToCounter {
        /// The number.
        key: CounterKey,
        /// Amount to add.
        amount: f64,
        /// How long the counter keeps a new number.
        time_to_live: Span,
    },
    /// Subscribe to the endpoint list.
    SubscribeToHosts,
}
