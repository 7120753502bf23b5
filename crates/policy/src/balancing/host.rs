//! The state of one host: its entry, its latency and failures, its concurrency limit, and its slow start.

use super::slow_start::SlowStartBudget;
use crate::api::{HostEntry, HostId, HostState, Settings, Time};
use crate::concurrency::host_limit::ConcurrencyLimit;
use crate::time::{seconds_between, NANOS_PER_SECOND};
use hedging::LossRate;
use libm::exp;

/// Time constant in which a host's failure scores decay exponentially, in seconds.
const FAILURE_DECAY_SECONDS: f64 = 10.0;
/// Failure fraction below which a class counts as free of failures.
const NEGLIGIBLE_FAILURES: f64 = 1e-4;
/// Fraction of a warm host's response rate, scaled by its current capacity, that a host gets while it warms
/// up.
const SLOW_START_FRACTION: f64 = 0.8;
/// EWMA weight of a result in the failure score.
const FAILURE_EWMA_WEIGHT: f64 = 0.7;

/// A load report of a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedLoad {
    pub at: Time,
    pub load: f64,
}

/// Smoothed results of attempts, from -1 (all succeeded) to 1 (all failed), at a point in time.
#[derive(Clone, Copy, Debug)]
struct FailureScore {
    value: f64,
    at: Time,
}

/// Result of an attempt, as evidence about its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptResult {
    /// The host served the request.
    Served,
    /// The host failed for the class of the request.
    ClassFailed,
    /// The host failed for requests of all classes.
    HostFailed,
}

/// The state of one host.
#[derive(Default)]
pub(crate) struct Host {
    /// The entry of the endpoint list.
    pub entry: HostEntry,
    /// Attempts in flight from this gateway.
    pub in_flight: u32,
    /// 1 for a host in this gateway's subset; otherwise this gateway's traffic to the host, as a fraction of
    /// that of a gateway that has the host in its subset.
    pub traffic_fraction: f64,
    /// The host's concurrency limit, for all gateways together.
    pub limit: ConcurrencyLimit,
    /// The limit is in the list to be adjusted at the end of the control period.
    pub is_limit_adjustment_scheduled: bool,
    /// The host accepts no requests, and a timer for its removal is set.
    pub is_removal_scheduled: bool,
    /// Smoothed logarithm of the ratio of the host's latency to the typical latency of the class.
    log_latency_ratio: f64,
    /// Excess of the host's latency over the typical latency, as a fraction of the typical latency; negative
    /// if the host is faster.
    pub excess_latency: f64,
    /// When the host last responded to an attempt or a health check.
    pub last_response_at: Time,
    /// End of the time for which the host is presumed unreachable.
    pub unreachable_until: Time,
    /// The last load report.
    pub reported_load: Option<ReportedLoad>,
    /// Start of the warm-up; `None` for a warm host.
    pub warming_since: Option<Time>,
    /// Minimum capacity while the host warms up, as a fraction of a warm host's capacity.
    pub warm_up_capacity: f64,
    /// Slow-start tokens: number of attempts that the host may get now while it warms up, refilled up to
    /// `refilled_at`.
    pub tokens: f64,
    /// Additional attempts that the host may get while too few hosts are warm.
    pub credit: f64,
    /// When the tokens were last refilled or the host was last listed.
    pub refilled_at: Time,
    /// Fraction of attempts to which the host never responds.
    pub loss_rate: LossRate,
    /// Failure scores: one for each class, followed by one for the whole host.
    failure_scores: Vec<FailureScore>,
}

impl Host {
    /// Returns whether the host accepts requests.
    pub fn is_ready(&self) -> bool {
        self.entry.state == HostState::Ready
    }

    /// Returns whether the host is warming up.
    pub fn is_warming_up(&self) -> bool {
        self.warming_since.is_some()
    }

    /// Schedules the adjustment of the host's limit at the end of the control period.
    pub fn schedule_limit_adjustment(&mut self, hosts_to_adjust: &mut Vec<HostId>) {
        if !self.is_limit_adjustment_scheduled {
            self.is_limit_adjustment_scheduled = true;
            hosts_to_adjust.push(self.entry.id);
        }
    }

    /// Returns the fraction of this gateway's share of the host's slots that is in use.
    pub fn utilisation(&self, gateways: u32) -> f64 {
        f64::from(self.in_flight * gateways.max(1)) / self.limit.slots()
    }

    /// Resets the state of a host whose process has restarted. `initial_tokens` is a random number between 0
    /// and 1, so that the first attempts of all gateways are spread over time.
    pub fn restart(&mut self, now: Time, started_at: Time, initial_tokens: f64, settings: &Settings) {
        self.warming_since = Some(started_at);
        self.tokens = initial_tokens;
        self.credit = 0.0;
        self.refilled_at = now;
        self.log_latency_ratio = 0.0;
        self.excess_latency = 0.0;
        self.reported_load = None;
        self.warm_up_capacity = settings.initial_capacity;
        self.limit = ConcurrencyLimit::default();
        self.failure_scores.clear();
    }

    /// Restores credit for a number of attempts, up to `max_on_credit` (at least one) minus the attempts in
    /// flight.
    pub fn restore_credit(&mut self, attempts: f64, max_on_credit: f64) {
        let attempts = attempts * self.traffic_fraction;
        let max_on_credit = max_on_credit * self.traffic_fraction;
        let available = (max_on_credit.max(1.0) - f64::from(self.in_flight)).max(0.0);
        self.credit = (self.credit + attempts).min(available);
    }

    /// Refills the tokens and the credit of a host that is warming up, at a rate proportional to its current
    /// capacity.
    pub fn refill(&mut self, now: Time, budget: SlowStartBudget, settings: &Settings) {
        let Some(since) = self.warming_since else { return };
        let progress =
            (seconds_between(since, now) * NANOS_PER_SECOND / settings.warm_up.max(1) as f64).min(1.0);
        self.warm_up_capacity = settings.initial_capacity + (1.0 - settings.initial_capacity) * progress;
        let elapsed = seconds_between(self.refilled_at, now);
        let rate =
            SLOW_START_FRACTION * budget.responses_per_second * self.traffic_fraction * self.warm_up_capacity;
        self.tokens = (self.tokens + rate * elapsed).min(1.0);
        self.restore_credit(elapsed * budget.credit_per_second, budget.max_on_credit);
        self.refilled_at = now;
    }

    /// Returns whether the host may get an attempt without credit.
    pub fn has_token(&self) -> bool {
        self.warming_since.is_none() || self.tokens >= 1.0
    }

    /// Returns whether the host may get an attempt on credit.
    pub fn has_credit(&self) -> bool {
        self.credit >= 1.0
    }

    /// Records that an attempt is forwarded to the host.
    pub fn start_attempt(&mut self) {
        self.in_flight += 1;
        self.tokens = (self.tokens - 1.0).max(0.0);
        self.credit = (self.credit - 1.0).max(0.0);
    }

    /// Records that an attempt at the host has ended.
    pub fn end_attempt(&mut self, is_served: bool, max_on_credit: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if is_served {
            self.restore_credit(1.0, max_on_credit);
        }
    }

    /// Records the latency of a response as a multiple of the typical latency of its class.
    pub fn record_latency_ratio(&mut self, ratio: f64) {
        self.log_latency_ratio += 0.1 * (libm::log(ratio.clamp(0.1, 10.0)) - self.log_latency_ratio);
        self.excess_latency = exp(self.log_latency_ratio) - 1.0;
    }

    /// Records the result of an attempt of a class; `classes` is the number of classes.
    pub fn record_result(&mut self, now: Time, class: usize, classes: usize, result: AttemptResult) {
        self.failure_scores.resize(classes + 1, FailureScore { value: 0.0, at: now });
        self.update_score(now, class, result);
        if result != AttemptResult::ClassFailed {
            self.update_score(now, classes, result);
        }
    }

    fn update_score(&mut self, now: Time, index: usize, result: AttemptResult) {
        let before = self.decayed_score(index, now);
        let (from, target) = match result {
            AttemptResult::Served => (before, -1.0),
            AttemptResult::ClassFailed | AttemptResult::HostFailed => (before.max(0.0), 1.0),
        };
        self.failure_scores[index] =
            FailureScore { value: from + FAILURE_EWMA_WEIGHT * (target - from), at: now };
    }

    /// Returns the decayed score at an index: that of a class, or the number of classes for the whole host.
    fn decayed_score(&self, index: usize, now: Time) -> f64 {
        let decayed =
            |score: &FailureScore| score.value * exp(-seconds_between(score.at, now) / FAILURE_DECAY_SECONDS);
        self.failure_scores.get(index).map_or(0.0, decayed)
    }

    /// Returns the failure level at an index, from 0 to 1; zero if successes prevail.
    pub fn failure_level(&self, index: usize, now: Time) -> f64 {
        if self.failure_scores.get(index).is_some_and(|score| score.value > 0.0) {
            self.decayed_score(index, now)
        } else {
            0.0
        }
    }

    /// Returns the expected failure probability at an index, from 0 to 1. `class_failure_fraction` is the
    /// class's failure fraction over all hosts; the expectation is lower for a host that has served the
    /// class.
    pub fn expected_failure(&self, index: usize, class_failure_fraction: f64, now: Time) -> f64 {
        if class_failure_fraction < NEGLIGIBLE_FAILURES {
            return self.failure_level(index, now);
        }
        let own_score = self.decayed_score(index, now);
        if own_score < 0.0 {
            class_failure_fraction * (1.0 + own_score)
        } else {
            own_score.max(class_failure_fraction)
        }
    }
}
