//! A request in flight, and its attempts.

use crate::api::{CustomerId, HostId, Idempotency, Outcome, Route, Span, Time};
use crate::balancing::host_set::Location;
use crate::time::{MILLISECOND, NANOS_PER_SECOND};
use crate::timers::TIMER_STEP;
use hedging::RemainingTime;
use smallvec::SmallVec;

/// Time that the last bytes of a repeated request have to reach its host, at the least.
const MIN_TRANSFER_TIME: Span = 100 * MILLISECOND;
/// The same as a fraction of the deduplication window: one part in this many.
const TRANSFER_PARTS: Span = 10;
/// Fraction of the objective that a first attempt may take at the most, and a retry as well.
const MAX_ATTEMPT_FRACTION: f64 = 0.6;
/// Fraction of the objective that is kept for a first attempt, however short its usual latency.
const MIN_FIRST_ATTEMPT_FRACTION: f64 = 0.5;
/// Usual latencies that are kept for a first attempt.
const FIRST_ATTEMPT_LATENCIES: f64 = 1.3;
/// Usual latencies that are kept for a retry, which is made while it may well be in time.
const RETRY_LATENCIES: f64 = 0.6;

/// The state of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// The request waits for units of its customer's quota.
    #[default]
    AwaitingUnits,
    /// The request waits for a concurrency slot or for a host.
    Queued {
        /// When the wait began.
        since: Time,
    },
    /// An attempt was forwarded.
    Forwarded,
    /// The response streams: no other attempt may be made.
    Streaming,
    /// The request has had its final answer, or its client has disconnected.
    Closed,
}

/// The state of an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// The attempt is in flight.
    #[default]
    InFlight,
    /// The attempt has ended without reaching its host.
    NotDelivered,
    /// The attempt reached its host, which did not execute it.
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
    /// Where the host was at the time of sending: a host may restart elsewhere.
    pub location: Location,
    pub sent_at: Time,
    pub state: AttemptState,
    /// The pools whose slots the attempt occupies; an overdue attempt occupies none.
    pub occupied_pools: Option<u64>,
    /// The gateway was asked to cancel the attempt.
    pub is_cancelled: bool,
    /// The attempt took so long that it counted as failed.
    pub is_overdue: bool,
    /// Fraction of this gateway's share of the host's slots in use at the time of sending, with this attempt.
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

/// A request for which the client waits or attempts are in flight.
#[derive(Default)]
pub(crate) struct InFlightRequest {
    pub class: usize,
    pub route: Route,
    pub customer: CustomerId,
    /// Units that the request costs, as estimated.
    pub units: f64,
    pub arrived_at: Time,
    /// When its latency objective ends, and its deadline if that is earlier.
    pub objective_at: Time,
    pub deadline: Time,
    pub state: RequestState,
    /// The customer's record counts the request.
    pub is_counted_by_customer: bool,
    /// Units were taken from the customer's token buckets, and are spent by the first attempt.
    pub holds_units: bool,
    /// A timer is set for the end of the wait for units.
    pub is_units_timer_set: bool,
    /// The request was considered for a report of the demand to the counter, whose reply it may wait for.
    pub is_demand_considered: bool,
    pub attempts: SmallVec<[Attempt; 1]>,
}

impl InFlightRequest {
    /// Returns when an attempt has to start at the latest for a response within the objective, where the
    /// class usually takes `usual_latency` seconds.
    pub fn start_by(&self, usual_latency: f64) -> Time {
        let objective = (self.objective_at - self.arrived_at) as f64;
        let (least, latencies) = if self.attempts.is_empty() {
            (MIN_FIRST_ATTEMPT_FRACTION * objective, FIRST_ATTEMPT_LATENCIES)
        } else {
            (0.0, RETRY_LATENCIES)
        };
        let expected = latencies * usual_latency * NANOS_PER_SECOND;
        let needed = expected.clamp(least, MAX_ATTEMPT_FRACTION * objective) as Time;
        self.objective_at - needed.max(2 * TIMER_STEP).min(self.objective_at)
    }

    /// Returns the time that a response has left, in seconds at a host of usual speed, for an attempt at a
    /// host that takes `latency_ratio` times as long. `late_fraction`: what a response after the objective
    /// earns.
    pub fn time_left(&self, now: Time, latency_ratio: f64, late_fraction: f64) -> RemainingTime {
        let until = |at: Time| (at as f64 - now as f64) / NANOS_PER_SECOND / latency_ratio;
        RemainingTime {
            until_objective: until(self.objective_at),
            until_deadline: until(self.deadline),
            late_fraction,
        }
    }

    /// Returns the first attempt that may have been executed, or is in flight.
    pub fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_been_executed())
    }

    /// Returns when the last byte of another attempt has to be written. Hosts drop duplicates of an
    /// idempotency key for a window that begins with the first attempt that may have been executed, and the
    /// bytes take a moment to arrive.
    pub fn write_by(&self, idempotency: Idempotency) -> Time {
        let Idempotency::WithKey(_, window) = idempotency else { return Time::MAX };
        let Some(first) = self.first_possibly_executed() else { return Time::MAX };
        let transfer_time = MIN_TRANSFER_TIME.max(window / TRANSFER_PARTS);
        first.sent_at.saturating_add(window.saturating_sub(transfer_time))
    }

    /// Returns whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Returns whether an attempt has ended that reached its host.
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
