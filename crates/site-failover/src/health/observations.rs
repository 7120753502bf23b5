//! What a gateway observes of a site: how its attempts end, over several periods.

use std::collections::BTreeMap;

use policy::api::{HostId, Span, Time};

use super::attempt_stats::AttemptStats;
use crate::time::in_seconds;

/// Time constants in seconds by which recent and usual observations decay.
const RECENT_DECAY: f64 = 2.0;
const USUAL_DECAY: f64 = 300.0;
/// A cancelled attempt counts as failed if it took longer than this multiple of the usual response time.
const CANCELLED_AS_FAILED: f64 = 4.0;
/// Number of attempts over which the failure fraction ahead of the current run of failures is averaged.
const AVERAGED_ATTEMPTS: u32 = 32;
/// Number of answers below which a mean response time is unknown.
const MIN_USUAL_ANSWERS: f64 = 20.0;
/// Lower bounds, in seconds, of divisors.
const MIN_ELAPSED: f64 = 1e-3;
const MIN_RESPONSE_TIME: f64 = 1e-6;

/// Failures of a site since its last answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailureCount {
    /// Failed attempts.
    pub failures: u32,
    /// Hosts at which they failed.
    pub hosts: usize,
}

/// Consecutive failures at a site, without an answer between them.
#[derive(Clone, Debug)]
pub(super) struct FailureRun {
    /// Time of the first failure.
    pub started: Time,
    /// Number of failures by host.
    pub failures: BTreeMap<HostId, u32>,
}

/// Observations of one site by one gateway.
#[derive(Clone, Debug, Default)]
pub(crate) struct SiteObservations {
    since_last_tick: AttemptStats,
    /// Over the last seconds.
    pub recent: AttemptStats,
    /// Over the last minutes, without the periods in which nothing was answered.
    pub usual: AttemptStats,
    /// Mean rate of attempts over the last minutes.
    pub attempts_per_second: f64,
    /// Time over which the rate of attempts was observed, in seconds.
    observed_seconds: f64,
    /// Time of the last answer.
    pub last_answer: Option<Time>,
    /// Average failure fraction of the attempts up to the last answer.
    pub(super) failure_fraction_before_run: f64,
    pub(super) failure_run: Option<FailureRun>,
}

impl SiteObservations {
    /// Observes an answered attempt, which ends the run of failures.
    pub fn on_answer(&mut self, now: Time, response_time: Span) {
        self.since_last_tick.count_answer(response_time);
        self.last_answer = Some(now);
        // The site answered after the run, so the failures of the run are part of its ordinary failures.
        let weight = f64::from(AVERAGED_ATTEMPTS);
        for _ in 0..self.failure_count().failures.min(AVERAGED_ATTEMPTS) {
            self.failure_fraction_before_run += (1.0 - self.failure_fraction_before_run) / weight;
        }
        self.failure_fraction_before_run -= self.failure_fraction_before_run / weight;
        self.end_failure_run();
    }

    /// Observes a failed attempt.
    pub fn on_failure(&mut self, now: Time, host: HostId) {
        self.since_last_tick.count_failure();
        let run =
            self.failure_run.get_or_insert_with(|| FailureRun { started: now, failures: BTreeMap::new() });
        *run.failures.entry(host).or_default() += 1;
    }

    /// Forgets the current run of failures.
    pub fn end_failure_run(&mut self) {
        self.failure_run = None;
    }

    /// Returns whether a cancelled attempt took so long that it counts as failed.
    pub fn is_cancelled_as_failed(&self, elapsed: Span) -> bool {
        self.usual_response_time().is_some_and(|usual| in_seconds(elapsed) > CANCELLED_AS_FAILED * usual)
    }

    /// Returns the usual response time in seconds, or `None` with too few answers.
    pub fn usual_response_time(&self) -> Option<f64> {
        self.usual.mean_response_time(MIN_USUAL_ANSWERS)
    }

    /// Returns how many times the usual response time recent responses take, or `None` with too few answers.
    pub fn response_time_ratio(&self) -> Option<f64> {
        let recent = self.recent.mean_response_time(MIN_USUAL_ANSWERS)?;
        Some(recent / self.usual_response_time()?.max(MIN_RESPONSE_TIME))
    }

    /// Returns the number of failures in the current run.
    pub fn failure_count(&self) -> FailureCount {
        match &self.failure_run {
            Some(run) => FailureCount { failures: run.failures.values().sum(), hosts: run.failures.len() },
            None => FailureCount::default(),
        }
    }

    /// Returns whether the last observed attempt failed.
    pub fn has_failure_run(&self) -> bool {
        self.failure_run.is_some()
    }

    /// Adds the attempts since the last tick to the averages, and returns them.
    pub fn tick(&mut self, elapsed: Span) -> AttemptStats {
        let seconds = in_seconds(elapsed);
        let new = std::mem::take(&mut self.since_last_tick);
        self.recent.decay(libm::exp(-seconds / RECENT_DECAY));
        self.recent.add(&new);
        let usual_decay = libm::exp(-seconds / USUAL_DECAY);
        if new.answers > 0.0 {
            self.usual.decay(usual_decay);
            self.usual.add(&new);
        }
        self.update_rate(new.attempts(), seconds, usual_decay);
        new
    }

    /// Updates the mean rate of attempts. In the first minutes it is the plain mean since the beginning, so that it
    /// does not rise slowly from zero.
    fn update_rate(&mut self, attempts: f64, seconds: f64, decay: f64) {
        self.observed_seconds += seconds;
        let weight = (1.0 - decay).max(seconds / self.observed_seconds.max(MIN_ELAPSED));
        self.attempts_per_second += (attempts / seconds.max(MIN_ELAPSED) - self.attempts_per_second) * weight;
    }
}
