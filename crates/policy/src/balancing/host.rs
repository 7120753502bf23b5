//! The state of one host: its entry, its latency and failures, its concurrency limit, and its slow start.

use super::slow_start::SlowStartBudget;
use crate::api::{HostEntry, HostId, HostState, Settings, Time};
use crate::concurrency::host_limit::ConcurrencyLimit;
use crate::time::{seconds_between, NANOS_PER_SECOND};
use hedging::LossRate;
use libm::exp;

/// Seconds over which a host's failures and successes fade.
const FAILURE_MEMORY: f64 = 10.0;
/// Fraction of failures below which a class counts as free of failures.
const NEGLIGIBLE_FAILURES: f64 = 1e-4;
/// Fraction of a warm host's responses, scaled by its capacity so far, that a host gets while it warms up.
const SLOW_START_FRACTION: f64 = 0.8;
/// Weight of one more result in the failure score.
const FAILURE_STEP: f64 = 0.7;

/// A load report of a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedLoad {
    pub at: Time,
    pub load: f64,
}

/// Results of attempts, from -1 (all succeeded) to 1 (all failed), as of a moment.
#[derive(Clone, Copy, Debug)]
struct FailureScore {
    value: f64,
    at: Time,
}

/// What an attempt showed about its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptResult {
    /// The host served the request.
    Served,
    /// The host failed for the class of the request.
    ClassFailed,
    /// The host failed as a whole.
    HostFailed,
}

/// The state of one host.
#[derive(Default)]
pub(crate) struct Host {
    /// The entry of the endpoint list.
    pub entry: HostEntry,
    /// Attempts in flight from this gateway.
    pub in_flight: u32,
    /// 1 for a host of this gateway's subset; otherwise this gateway's part against one that has it in its
    /// subset.
    pub traffic_part: f64,
    /// The concurrency limit for all gateways.
    pub limit: ConcurrencyLimit,
    /// The limit is adjusted at the end of the control period.
    pub is_limit_adjustment_scheduled: bool,
    /// The host accepts no requests, and a timer for its removal is set.
    pub is_removal_scheduled: bool,
    /// Smoothed logarithm of the host's latency against the usual latency of the class.
    log_latency_ratio: f64,
    /// By how much the host's latency exceeds the usual latency, as a fraction of it; negative if shorter.
    pub excess_latency: f64,
    /// When the host last responded to anything.
    pub last_response_at: Time,
    /// Until when the host is presumed to accept no connection.
    pub unreachable_until: Time,
    /// The last load report.
    pub reported_load: Option<ReportedLoad>,
    /// When the host began to warm up; `None` for a warm host.
    pub warming_since: Option<Time>,
    /// Capacity at the least while the host warms up, as a fraction of a warm host's.
    pub warm_up_capacity: f64,
    /// Attempts that the host may get now while it warms up, refilled up to `refilled_at`.
    pub tokens: f64,
    /// Attempts beyond these that the host may get while too few hosts are warm.
    pub credit: f64,
    /// When the tokens were last refilled or the host was last listed.
    pub refilled_at: Time,
    /// The fraction of attempts to which the host never responds.
    pub loss_rate: LossRate,
    /// Scores for each class, and last for the host as a whole.
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

    /// Resets the state of a host whose process has started again. `initial_tokens` is drawn from 0 to 1, so
    /// that the first attempts of all gateways are spread out.
    pub fn restart(&mut self, now: Time, started_at: Time, initial_tokens: f64, settings: &Settings) {
        self.warming_since = Some(started_at);
        self.tokens = initial_tokens;
        self.credit = 0.0;
        self.refilled_at = now;
        self.log_latency_ratio = 0.0;
        self.excess_latency = 0.0;
        self.reported_load = None;
        self.warm_up_capacity = settings.cold_capacity;
        self.limit = ConcurrencyLimit::default();
        self.failure_scores.clear();
    }

    /// Restores credit for a number of attempts, up to `max_on_credit` (at least one) less the attempts in
    /// flight.
    pub fn restore_credit(&mut self, attempts: f64, max_on_credit: f64) {
        let attempts = attempts * self.traffic_part;
        let max_on_credit = max_on_credit * self.traffic_part;
        let available = (max_on_credit.max(1.0) - f64::from(self.in_flight)).max(0.0);
        self.credit = (self.credit + attempts).min(available);
    }

    /// Refills the tokens and the credit of a host that warms up, by its capacity so far.
    pub fn refill(&mut self, now: Time, budget: SlowStartBudget, settings: &Settings) {
        let Some(since) = self.warming_since else { return };
        let progress =
            (seconds_between(since, now) * NANOS_PER_SECOND / settings.warm_up.max(1) as f64).min(1.0);
        self.warm_up_capacity = settings.cold_capacity + (1.0 - settings.cold_capacity) * progress;
        let elapsed = seconds_between(self.refilled_at, now);
        let rate =
            SLOW_START_FRACTION * budget.responses_per_second * self.traffic_part * self.warm_up_capacity;
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

    /// Notes that an attempt is forwarded to the host.
    pub fn start_attempt(&mut self) {
        self.in_flight += 1;
        self.tokens = (self.tokens - 1.0).max(0.0);
        self.credit = (self.credit - 1.0).max(0.0);
    }

    /// Notes that an attempt at the host has ended.
    pub fn end_attempt(&mut self, is_served: bool, max_on_credit: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if is_served {
            self.restore_credit(1.0, max_on_credit);
        }
    }

    /// Takes in the latency of a response as a multiple of the usual latency of its class.
    pub fn record_latency_ratio(&mut self, ratio: f64) {
        self.log_latency_ratio += 0.1 * (libm::log(ratio.clamp(0.1, 10.0)) - self.log_latency_ratio);
        self.excess_latency = exp(self.log_latency_ratio) - 1.0;
    }

    /// Takes in the result of an attempt of a class, where there are `classes` of them.
    pub fn record_result(&mut self, now: Time, class: usize, classes: usize, result: AttemptResult) {
        self.failure_scores.resize(classes + 1, FailureScore { value: 0.0, at: now });
        self.update_score(now, class, result);
        if result != AttemptResult::ClassFailed {
            self.update_score(now, classes, result);
        }
    }

    fn update_score(&mut self, now: Time, index: usize, result: AttemptResult) {
        let before = self.recent_score(index, now);
        let (from, target) = match result {
            AttemptResult::Served => (before, -1.0),
            AttemptResult::ClassFailed | AttemptResult::HostFailed => (before.max(0.0), 1.0),
        };
        self.failure_scores[index] = FailureScore { value: from + FAILURE_STEP * (target - from), at: now };
    }

    /// Returns the faded score at an index: a class, or the number of classes for the host as a whole.
    fn recent_score(&self, index: usize, now: Time) -> f64 {
        let fade = |score: &FailureScore| score.value * exp(-seconds_between(score.at, now) / FAILURE_MEMORY);
        self.failure_scores.get(index).map_or(0.0, fade)
    }

    /// Returns how far the host has failed at an index, from 0 to 1.
    pub fn failure_level(&self, index: usize, now: Time) -> f64 {
        if self.failure_scores.get(index).is_some_and(|score| score.value > 0.0) {
            self.recent_score(index, now)
        } else {
            0.0
        }
    }

    /// Returns the expected failure at an index, from 0 to 1, where `usual` is the class's fraction of
    /// failures at all hosts: less at a host that has served it.
    pub fn expected_failure(&self, index: usize, usual: f64, now: Time) -> f64 {
        if usual < NEGLIGIBLE_FAILURES {
            return self.failure_level(index, now);
        }
        let own = self.recent_score(index, now);
        if own < 0.0 {
            usual * (1.0 + own)
        } else {
            own.max(usual)
        }
    }
}
