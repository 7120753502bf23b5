//! Actions that a gateway executes for the decision module.

use super::ids::{CounterKey, HostId, RequestId};
use super::time::{Span, Time};

/// Why a request gets a final answer without a successful response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The request's class or plan does not exist.
    UnknownClassOrPlan,
    /// The remaining deadline was too short for a response on arrival.
    DeadlineTooShort,
    /// No eligible host accepts requests.
    NoHost,
    /// There is no memory for another customer: too many customers have requests in flight.
    TooManyCustomers,
    /// The request exceeds its customer's quota or concurrency limit.
    QuotaExceeded,
    /// Too many requests are queued ahead of it to be forwarded before its deadline.
    QueueTooLong,
    /// The request waited too long for a concurrency slot or a host.
    QueuedTooLong,
    /// An attempt may have been executed, and no host is available where a duplicate would be harmless.
    NotIdempotent,
    /// A retry would miss the latency objective.
    TooLateForRetry,
    /// The maximum number of attempts was made, or the retry budget is exhausted.
    RetriesExhausted,
    /// The load is shed by the operators' plan for lost sites, to keep capacity for other requests.
    LoadShed,
}

/// An action that the gateway executes.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; the attempts of a request are numbered from 0 in this order.
    Forward {
        /// The request.
        id: RequestId,
        /// The host.
        host: HostId,
        /// When the attempt times out.
        deadline: Time,
        /// Latest time at which the last byte of the request may be written; if it cannot be written by then,
        /// no part of the request may be sent, and the attempt ends as [`NotSent`](super::Outcome::NotSent).
        write_by: Time,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// Final answer: rejected; the client can safely retry.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before a retry (`Retry-After`).
        retry_after: Option<Span>,
        /// Why the request is rejected.
        reason: RejectReason,
    },
    /// Final answer: failed; the request may have been executed, so a retry is not safe.
    Fail {
        /// The request.
        id: RequestId,
        /// Why the request failed.
        reason: RejectReason,
    },
    /// Report [`TimerExpired`](super::Event::TimerExpired) after a delay.
    SetTimer {
        /// The delay.
        after: Span,
        /// Token to report.
        token: u32,
    },
    /// Add to an entry of the counter service.
    AddToCounter {
        /// Key of the entry.
        key: CounterKey,
        /// Amount to add.
        amount: f64,
        /// Time to live of the entry if this call creates it.
        time_to_live: Span,
    },
    /// Subscribe to the endpoint list.
    SubscribeToHosts,
}
