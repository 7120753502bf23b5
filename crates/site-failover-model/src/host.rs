//! A host with one queue. It warms up after its start, and crashes if it is overloaded while it warms up.

use cluster_model::rng::Rng;
use policy::api::{Outcome, Span, Time};

use crate::scenario::{FailureMode, FaultRates, MILLISECOND, SECOND};

/// Queue delay above which a warming host crashes and stays down for [`CRASH_DOWNTIME`]; a warm host rejects instead.
const QUEUE_LIMIT: Span = 400 * MILLISECOND;
const CRASH_DOWNTIME: Span = 10 * SECOND;
/// Timeout of an attempt.
pub(crate) const ATTEMPT_TIMEOUT: Span = 300 * MILLISECOND;

/// State of a simulated host.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    pub site: usize,
    pub rate: f64,
    pub failure: Option<FailureMode>,
    /// Factor on the service time and on the latency.
    pub slowdown: f64,
    pub started_at: Option<Time>,
    pub initial_capacity_fraction: f64,
    pub warm_up: Span,
    free_at: Time,
    crashed_until: Time,
    pub crashes: u32,
}

impl Host {
    pub fn new(site: usize, rate: f64, initial_capacity_fraction: f64, warm_up: Span) -> Host {
        Host {
            site,
            rate,
            failure: None,
            slowdown: 1.0,
            started_at: None,
            initial_capacity_fraction,
            warm_up,
            free_at: 0,
            crashed_until: 0,
            crashes: 0,
        }
    }

    fn capacity_fraction(&self, now: Time) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let age = (now.saturating_sub(started_at)) as f64 / self.warm_up.max(1) as f64;
        (self.initial_capacity_fraction + (1.0 - self.initial_capacity_fraction) * age).min(1.0)
    }

    /// Returns the time until the queue is empty.
    pub fn queue_delay(&self, now: Time) -> Span {
        self.free_at.saturating_sub(now)
    }

    /// Serves one attempt; returns its outcome and the time it takes.
    pub fn serve(&mut self, now: Time, fault_rates: &FaultRates, rng: &mut Rng) -> (Outcome, Span) {
        match self.failure {
            Some(FailureMode::Silent) => return (Outcome::Timeout, ATTEMPT_TIMEOUT),
            Some(FailureMode::Refused) => return (Outcome::ConnectFailed, MILLISECOND),
            Some(FailureMode::Reset) => return (Outcome::ConnectionReset, MILLISECOND),
            None if now < self.crashed_until => return (Outcome::ConnectFailed, MILLISECOND),
            None => {}
        }
        let capacity_fraction = self.capacity_fraction(now);
        if self.queue_delay(now) > QUEUE_LIMIT {
            if capacity_fraction < 0.9 {
                self.crashes += 1;
                self.crashed_until = now + CRASH_DOWNTIME;
                self.started_at = Some(now + CRASH_DOWNTIME);
                self.free_at = 0;
                return (Outcome::ConnectionReset, MILLISECOND);
            }
            return (Outcome::Rejected, MILLISECOND);
        }
        let occupied = SECOND as f64 * self.slowdown / (self.rate * capacity_fraction);
        let latency = (6.0 + rng.exponential(6.0)) * self.slowdown * MILLISECOND as f64;
        let elapsed = self.queue_delay(now) + latency as Span;
        self.free_at = self.free_at.max(now) + occupied as Span;
        let sample = rng.unit();
        if elapsed > ATTEMPT_TIMEOUT {
            (Outcome::Timeout, ATTEMPT_TIMEOUT)
        } else if sample < fault_rates.connection_resets {
            (Outcome::ConnectionReset, elapsed)
        } else if sample < fault_rates.connection_resets + fault_rates.host_errors {
            (Outcome::Error, elapsed)
        } else {
            (Outcome::Ok, elapsed)
        }
    }
}
