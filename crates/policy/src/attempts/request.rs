//! A request in flight, and its attempts.

use crate::api::{CustomerId, HostId, Idempotency, Outcome, Route, Span, Time};
use crate::balancing::host_set::Location;
use crate::time::{MILLISECOND, NANOS_PER_SECOND};
use crate::timers::TIMER_STEP;
use hedging::RemainingTime;
use smallvec::SmallVec;

/// Minimum time reserved for the last bytes of a repeated request to reach its host.
const MIN_TRANSFER_TIME: Span = 100 * MILLISECOND;
/// The time reserved for them is at least the deduplication window divided by this.
const TRANSFER_TIME_DIVISOR: Span = 10;
/// Maximum time reserved for a first attempt or a retry, as a fraction of the latency objective.
const MAX_ATTEMPT_FRACTION: f64 = 0.6;
/// Minimum time reserved for a first attempt, as a fraction of the latency objective, however short the
/// typical latency.
const MIN_FIRST_ATTEMPT_FRACTION: f64 = 0.5;
/// Time reserved for a first attempt, as a multiple of the typical latency.
const FIRST_ATTEMPT_LATENCY_MULTIPLE: f64 = 1.3;
/// Time reserved for a retry, as a multiple of the typical latency: a retry is made while it may still meet
/// the objective.
const RETRY_LATENCY_MULTIPLE: f64 = 0.6;

/// The state of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// The request waits for units of its customer's quota.
    #[default]
    AwaitingUnits,
    /// The request waits for a concurrency slot or for a host.
    Queued {
        /// Start of the wait.
        since: Time,
    },
    /// At least one attempt was forwarded, and no other is queued.
    Forwarded,
    /// The response is streaming; no further attempt may be made.
    Streaming,
    /// The request has received its final answer, or its client has disconnected.
    Closed,
}

/// The state of an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// The attempt is in flight.
    #[default]
    InFlight,
    /// The attempt has ended without reaching the host.
    NotDelivered,
    /// The host has rejected the attempt without executing it.
    NotExecuted,
    /// The attempt has ended and may have been executed.
    MayHaveBeenExecuted,
}

impl AttemptState {
    /// Returns the state after an outcome.
    pub fn after(outcome: Outcome) -> AttemptState {
        match outcome {
            Outcome::ConnectFailed | Outcome::NotSent => AttemptState::NotDelivered,
            Outcome::Rejected => AttemptState::NotExecuted,
            Outcome::Ok
            | Outcome::Error
            | Outcome::Timeout
            | Outcome::ConnectionReset
            | Outcome::Cancelled => AttemptState::MayHaveBeenExecuted,
        }
    }
}

/// An attempt of a request.
#[derive(Default)]
pub(crate) struct Attempt {
    pub host: HostId,
    /// Location of the host when the attempt was sent: a host may restart elsewhere.
    pub location: Location,
    pub sent_at: Time,
    pub state: AttemptState,
    /// The pools whose slots the attempt occupies; `None` once an overdue attempt has released its slot.
    pub occupied_pools: Option<u64>,
    /// The gateway was instructed to cancel the attempt.
    pub is_cancelled: bool,
    /// The attempt is overdue and was counted as failed.
    pub is_overdue: bool,
    /// Fraction of this gateway's share of the host's slots in use when the attempt was sent, including this
    /// attempt.
    pub utilisation: f64,
}

impl Attempt {
    /// Returns whether the attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.state == AttemptState::InFlight
    }

    fn may_have_been_executed(&self) -> bool {
        matches!(self.state, AttemptState::InFlight | AttemptState::MayHaveBeenExecuted)
    }

    fn has_reached_host(&self) -> bool {
        matches!(self.state, AttemptState::NotExecuted | AttemptState::MayHaveBeenExecuted)
    }
}

/// A request that has no final answer yet or has attempts in flight.
#[derive(Default)]
pub(crate) struct InFlightRequest {
    pub class: usize,
    pub route: Route,
    pub customer: CustomerId,
    /// Estimated cost of the request, in units.
    pub units: f64,
    pub arrived_at: Time,
    /// The end of its latency objective, or its deadline if that is earlier.
    pub objective_at: Time,
    pub deadline: Time,
    pub state: RequestState,
    /// The customer's record counts the request.
    pub is_counted_by_customer: bool,
    /// Units were taken from the customer's token buckets; they are spent once an attempt has reached a host.
    pub has_reserved_units: bool,
    /// A timer is set for the end of the wait for units.
    pub is_units_timer_set: bool,
    /// It was decided whether the request reports the demand to the counter, for whose reply it may wait.
    pub is_demand_report_decided: bool,
    pub attempts: SmallVec<[Attempt; 1]>,
}

impl InFlightRequest {
    /// Returns the latest start of an attempt for a response within the latency objective, for a class with a
    /// typical latency of `typical_latency` seconds.
    pub fn start_by(&self, typical_latency: f64) -> Time {
        let objective = (self.objective_at - self.arrived_at) as f64;
        let (minimum, latency_multiple) = if self.attempts.is_empty() {
            (MIN_FIRST_ATTEMPT_FRACTION * objective, FIRST_ATTEMPT_LATENCY_MULTIPLE)
        } else {
            (0.0, RETRY_LATENCY_MULTIPLE)
        };
        let expected = latency_multiple * typical_latency * NANOS_PER_SECOND;
        let needed = expected.clamp(minimum, MAX_ATTEMPT_FRACTION * objective) as Time;
        self.objective_at - needed.max(2 * TIMER_STEP).min(self.objective_at)
    }

    /// Returns the time remaining for a response, in seconds normalised to a host of typical speed, for an
    /// attempt at a host whose latency is `latency_ratio` times as long. `late_fraction`: value of a response
    /// after the objective, as a fraction of the full value.
    pub fn remaining_time(&self, now: Time, latency_ratio: f64, late_fraction: f64) -> RemainingTime {
        let seconds_until = |at: Time| (at as f64 - now as f64) / NANOS_PER_SECOND / latency_ratio;
        RemainingTime {
            until_objective: seconds_until(self.objective_at),
            until_deadline: seconds_until(self.deadline),
            late_fraction,
        }
    }

    /// Returns the first attempt that is in flight or may have been executed.
    pub fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_been_executed())
    }

    /// Returns the latest time at which the last byte of another attempt may be written. Hosts drop
    /// duplicates of an idempotency key within a window that starts with the first attempt that may have been
    /// executed, and the bytes need time to arrive.
    pub fn write_by(&self, idempotency: Idempotency) -> Time {
        let Idempotency::WithKey(_, window) = idempotency else { return Time::MAX };
        let Some(first) = self.first_possibly_executed() else { return Time::MAX };
        let transfer_time = MIN_TRANSFER_TIME.max(window / TRANSFER_TIME_DIVISOR);
        first.sent_at.saturating_add(window.saturating_sub(transfer_time))
    }

    /// Returns whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Returns whether an attempt that reached its host has ended.
    pub fn has_reached_host(&self) -> bool {
        self.attempts.iter().any(Attempt::has_reached_host)
    }

    /// Returns whether an attempt was made at a host.
    pub fn was_attempted_at(&self, host: HostId) -> bool {
        self.attempts.iter().any(|attempt| attempt.host == host)
    }

    /// Returns whether the request waits for a concurrency slot or for a host.
    pub fn is_queued(&self) -> bool {
        matches!(self.state, RequestState::Queued { .. })
    }

    /// Returns whether the request waits for units.
    pub fn is_awaiting_units(&self) -> bool {
        self.state == RequestState::AwaitingUnits
    }
}
