//! The recovery ramp: the steps by which a site that was lost receives its load again, at a speed that depends on how
//! attempts at it end.

use std::collections::BTreeMap;

use policy::api::{HostId, Span};

use crate::health::AttemptStats;
use crate::time::SECOND;

/// Fraction of its load that a recovering site may receive, by step. The ramp is divided evenly among the steps.
const STEP_FRACTIONS: [f64; 8] = [0.05, 0.1, 0.2, 0.35, 0.5, 0.65, 0.8, 0.9];
/// Fraction from which on the site receives requests that are not idempotent.
const NON_IDEMPOTENT_FROM: f64 = 0.2;
/// Attempts without which a step cannot be assessed.
const MIN_ATTEMPTS: f64 = 6.0;
/// A step with too few attempts lasts this number of times longer.
const TOO_FEW_ATTEMPTS_FACTOR: Span = 4;
/// A step that is worse than elsewhere, but not bad enough for a step back, lasts this number of times longer.
const DEGRADED_FACTOR: Span = 16;
/// A step lasts this number of times longer after any step back in the same recovery.
const AFTER_STEP_BACK_FACTOR: Span = 2;
/// Minimum time in a step before a step back, so that attempts of the previous step have ended.
const MIN_TIME_BEFORE_STEP_BACK: Span = 2 * SECOND;
/// Time constant by which the attempts of a step decay: hosts that warm up are assessed by their latest attempts.
const STATS_DECAY: Span = 5 * SECOND;
/// Tolerated excess of the failure fraction over the one elsewhere. Twice the excess is bad.
const TOLERATED_FAILURES: f64 = 0.05;
/// Tolerated ratio of the response time to the one elsewhere. Twice the ratio is bad.
const TOLERATED_SLOWDOWN: f64 = 1.5;
/// Standard deviations by which the failure fraction may exceed the tolerated one by chance.
const FAILURE_DEVIATIONS: f64 = 3.0;

/// Input by which a step of the ramp is assessed and advanced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RampInput<'a> {
    /// Time since the last tick.
    pub elapsed: Span,
    /// Attempts since the last tick at the sites that are not recovering themselves.
    pub elsewhere: &'a AttemptStats,
    /// Usual response time of the recovering site, in seconds.
    pub usual_response_time: Option<f64>,
    /// Speed of the ramp.
    pub speed: RampSpeed,
    /// Shortest duration of the ramp, all steps together.
    pub min_duration: Span,
}

/// Speed of a ramp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RampSpeed {
    /// The time in a step does not count.
    Paused,
    /// Half of the time in a step counts.
    Half,
    /// All of the time in a step counts.
    Full,
}

/// Result of a tick of the ramp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RampProgress {
    /// The traffic fraction stays the same.
    Unchanged,
    /// The traffic fraction has changed, upwards or downwards.
    StepChanged,
    /// The last step is complete: the site may receive all of its load.
    Complete,
    /// The first step was bad twice: the site is lost again.
    Failed,
}

/// Assessment of the current step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StepQuality {
    Good,
    TooFewAttempts,
    Degraded,
    Bad,
}

/// A recovery in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecoveryRamp {
    step: usize,
    step_back_count: u32,
    /// Time in the current step.
    time_in_step: Span,
    /// The part of that time that counts, by the speed.
    counted_time: Span,
    /// Attempts in the current step at the recovering site and elsewhere.
    here: AttemptStats,
    elsewhere: AttemptStats,
    /// Attempts at the recovering site since the last tick.
    since_last_tick: AttemptStats,
    /// Hosts at which attempts ended since the recovery started, and whether they have ever answered.
    has_answered: BTreeMap<HostId, bool>,
    /// Number of those that have answered.
    answering_hosts: usize,
}

impl RecoveryRamp {
    /// Returns the fraction of its load that the site may receive, 0 to 1.
    pub fn traffic_fraction(&self) -> f64 {
        STEP_FRACTIONS[self.step]
    }

    /// Returns whether a request may go to the site, given the request's uniform draw from `[0, 1)` and the site's
    /// fraction of the fleet's capacity. The traffic fraction is an upper bound, whichever hosts a load balancer
    /// prefers.
    pub fn admits(&self, draw: f64, capacity_fraction: f64, is_idempotent: bool) -> bool {
        let fraction = self.traffic_fraction();
        draw < fraction * capacity_fraction * self.answering_fraction()
            && (is_idempotent || fraction >= NON_IDEMPOTENT_FROM)
    }

    /// Observes the end of an attempt at a host of the site. Failures of a host that has not answered since the
    /// recovery started do not count: the host has not recovered yet, which says nothing about the others.
    pub fn on_attempt_ended(&mut self, host: HostId, is_answered: bool, response_time: Span) {
        let has_answered = self.has_answered.entry(host).or_default();
        if is_answered {
            if !*has_answered {
                *has_answered = true;
                self.answering_hosts += 1;
            }
            self.since_last_tick.count_answer(response_time);
        } else if *has_answered {
            self.since_last_tick.count_failure();
        }
    }

    /// Assesses the current step, and moves to the previous step if it is bad, or to the next one once it has lasted
    /// long enough.
    pub fn tick(&mut self, input: &RampInput) -> RampProgress {
        let decay = libm::exp(-(input.elapsed as f64) / STATS_DECAY as f64);
        self.here.decay(decay);
        self.here.add(&std::mem::take(&mut self.since_last_tick));
        self.elsewhere.decay(decay);
        self.elsewhere.add(input.elsewhere);
        self.time_in_step += input.elapsed;
        self.counted_time += match input.speed {
            RampSpeed::Paused => 0,
            RampSpeed::Half => input.elapsed / 2,
            RampSpeed::Full => input.elapsed,
        };
        match self.step_quality(input.usual_response_time) {
            StepQuality::Bad => self.step_back(),
            quality => self.step_forward(quality, input.min_duration),
        }
    }

    fn step_back(&mut self) -> RampProgress {
        if self.time_in_step < MIN_TIME_BEFORE_STEP_BACK {
            return RampProgress::Unchanged;
        }
        if self.step == 0 && self.step_back_count > 0 {
            return RampProgress::Failed;
        }
        self.step_back_count += 1;
        self.enter_step(self.step.saturating_sub(1));
        RampProgress::StepChanged
    }

    fn step_forward(&mut self, quality: StepQuality, min_duration: Span) -> RampProgress {
        if self.counted_time < self.step_duration(quality, min_duration) {
            return RampProgress::Unchanged;
        }
        if self.step + 1 == STEP_FRACTIONS.len() {
            return RampProgress::Complete;
        }
        self.enter_step(self.step + 1);
        RampProgress::StepChanged
    }

    fn step_duration(&self, quality: StepQuality, min_duration: Span) -> Span {
        let mut duration = min_duration / STEP_FRACTIONS.len() as Span;
        if self.step_back_count > 0 {
            duration *= AFTER_STEP_BACK_FACTOR;
        }
        match quality {
            StepQuality::TooFewAttempts => TOO_FEW_ATTEMPTS_FACTOR * duration,
            StepQuality::Degraded => DEGRADED_FACTOR * duration,
            StepQuality::Good | StepQuality::Bad => duration,
        }
    }

    fn enter_step(&mut self, step: usize) {
        self.step = step;
        self.time_in_step = 0;
        self.counted_time = 0;
        self.here = AttemptStats::default();
        self.elsewhere = AttemptStats::default();
    }

    /// Compares the failures and response times of the step with those elsewhere and with the usual response time,
    /// allowing for the random deviation to expect with this number of attempts.
    fn step_quality(&self, usual_response_time: Option<f64>) -> StepQuality {
        let attempts = self.here.attempts();
        if attempts < MIN_ATTEMPTS {
            return StepQuality::TooFewAttempts;
        }
        let failures = self.here.failure_fraction();
        let expected_failures = self.elsewhere.failure_fraction();
        let chance = FAILURE_DEVIATIONS * libm::sqrt(expected_failures.max(TOLERATED_FAILURES) / attempts);
        let slowdown = self.slowdown(attempts, usual_response_time);
        let exceeds = |tolerance: f64| {
            failures > expected_failures + tolerance * TOLERATED_FAILURES + chance
                || slowdown > tolerance * TOLERATED_SLOWDOWN
        };
        if exceeds(2.0) {
            StepQuality::Bad
        } else if exceeds(1.0) {
            StepQuality::Degraded
        } else {
            StepQuality::Good
        }
    }

    /// Returns the ratio of the response time to the greater of the usual one and the one elsewhere, reduced by what
    /// may be chance.
    fn slowdown(&self, attempts: f64, usual_response_time: Option<f64>) -> f64 {
        let elsewhere = self.elsewhere.mean_response_time(MIN_ATTEMPTS).unwrap_or(0.0);
        let here = self.here.mean_response_time(1.0).unwrap_or(0.0);
        let expected = elsewhere.max(usual_response_time.unwrap_or(elsewhere));
        if expected > 0.0 {
            here / expected / (1.0 + 1.0 / libm::sqrt(attempts))
        } else {
            1.0
        }
    }

    /// Returns the fraction of hosts, of those in `has_answered`, that have answered; 1 if none has.
    fn answering_fraction(&self) -> f64 {
        if self.answering_hosts == 0 {
            return 1.0;
        }
        self.answering_hosts as f64 / self.has_answered.len() as f64
    }
}
