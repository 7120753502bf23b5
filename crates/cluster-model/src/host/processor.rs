//! The cores of a host, shared evenly among the running requests.

use super::JobId;
use crate::scenario::HostSpec;
use crate::{Span, Time, SECOND};

/// Remaining work in nanoseconds that counts as none, to absorb rounding.
const ROUNDING_WORK: f64 = 0.5;
/// Share of its capacity that a host keeps at any number of requests.
const MIN_EFFICIENCY: f64 = 0.25;
/// Minimum and maximum slowdown factor.
const SLOWDOWN_RANGE: (f64, f64) = (0.001, 1e6);
/// Minimum speed of a core; at a speed of 0 no request would ever end.
const MIN_SPEED: f64 = 1e-6;

#[derive(Clone, Debug)]
pub(super) struct Processor {
    cores: f64,
    /// Work per nanosecond after the warm-up.
    full_capacity: f64,
    thrash_at: f64,
    thrash: f64,
    started: Time,
    /// Share of the capacity at the start; it rises linearly to 1 until `warm_at`.
    initial_share: f64,
    warm_at: Time,
    slowdown: f64,
    paused_until: Time,
    efficiency: f64,
    /// Time up to which all work has been simulated.
    at: Time,
    /// Remaining work for new connections, which takes precedence over all requests.
    handshake_work: f64,
    running: Vec<Running>,
    /// Work done, and work that was possible, since the utilization was last read.
    done: f64,
    possible: f64,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    job: JobId,
    remaining: f64,
}

impl Processor {
    pub(super) fn new(spec: &HostSpec, speed: f64, now: Time, warming_up: bool) -> Processor {
        let cores = f64::from(spec.cores.max(1));
        Processor {
            cores,
            full_capacity: cores * speed.max(MIN_SPEED),
            thrash_at: spec.thrash_threshold,
            thrash: spec.thrash_loss,
            started: now,
            initial_share: if warming_up { spec.warmup_share.clamp(0.0, 1.0) } else { 1.0 },
            warm_at: if warming_up { now.saturating_add(spec.warmup) } else { now },
            slowdown: 1.0,
            paused_until: now,
            efficiency: 1.0,
            at: now,
            handshake_work: 0.0,
            running: Vec::new(),
            done: 0.0,
            possible: 0.0,
        }
    }

    pub(super) fn at(&self) -> Time {
        self.at
    }

    pub(super) fn running_count(&self) -> usize {
        self.running.len()
    }

    pub(super) fn start(&mut self, job: JobId, work: Span) {
        self.running.push(Running { job, remaining: work.max(1) as f64 });
    }

    pub(super) fn stop(&mut self, job: JobId) {
        self.running.retain(|running| running.job != job);
    }

    pub(super) fn add_handshake(&mut self, work: Span) {
        self.handshake_work += work as f64;
    }

    pub(super) fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = if factor.is_nan() { 1.0 } else { factor.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1) };
    }

    pub(super) fn pause(&mut self, until: Time) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Sets the number of requests running and queued. Above a threshold each of them reduces the efficiency.
    pub(super) fn set_request_count(&mut self, requests: usize) {
        let excess = (requests as f64 / self.cores - self.thrash_at).max(0.0);
        self.efficiency = (1.0 - self.thrash * excess).clamp(MIN_EFFICIENCY, 1.0);
    }

    pub(super) fn is_warm(&self, now: Time) -> bool {
        now >= self.warm_at
    }

    /// Work per nanosecond at this point of the warm-up. Thrashing, slowdowns and pauses do not count: the rule on
    /// warming hosts covers only the capacity after a start, which gateways can know.
    pub(super) fn warm_up_capacity(&self, now: Time) -> f64 {
        self.full_capacity * self.share(now)
    }

    /// Work per second after the warm-up.
    pub(super) fn full_capacity(&self) -> f64 {
        self.full_capacity * SECOND as f64
    }

    /// Work per second at `now`.
    pub(super) fn capacity(&self, now: Time) -> f64 {
        if now < self.paused_until {
            0.0
        } else {
            self.steady_capacity() * self.share(now) * SECOND as f64
        }
    }

    /// Work done since the last call, as a share of the work that was possible.
    pub(super) fn utilization_since_last(&mut self) -> f64 {
        let utilization = if self.possible > 0.0 { (self.done / self.possible).min(1.0) } else { 0.0 };
        self.done = 0.0;
        self.possible = 0.0;
        utilization
    }

    /// Running requests that have no work left.
    pub(super) fn completed(&self) -> Vec<JobId> {
        self.running
            .iter()
            .filter(|running| running.remaining <= ROUNDING_WORK)
            .map(|running| running.job)
            .collect()
    }

    /// When the rate of work may change next without requests starting or stopping: later than `at`, or never.
    pub(super) fn next_change(&self) -> Time {
        if self.at < self.paused_until {
            return self.paused_until;
        }
        let warm = if self.at < self.warm_at { self.warm_at } else { Time::MAX };
        let least = self.running.iter().map(|running| running.remaining).fold(f64::INFINITY, f64::min);
        let work =
            if self.handshake_work > ROUNDING_WORK { self.handshake_work } else { least * self.divisor() };
        if work == f64::INFINITY {
            return warm;
        }
        // Valid only up to `warm_at`: the remaining work is computed again from there.
        let span = libm::ceil(self.duration_of(work)).max(1.0) as Span;
        self.at.saturating_add(span).min(warm)
    }

    /// Simulates the work up to `until`, which is not after the next change.
    pub(super) fn work_until(&mut self, until: Time) {
        let span = until.saturating_sub(self.at) as f64;
        let paused = self.at < self.paused_until;
        // The capacity is linear between two changes.
        let mean_share = (self.share(self.at) + self.share(until)) / 2.0;
        self.at = until;
        if paused {
            return;
        }
        let work = self.steady_capacity() * mean_share * span;
        self.possible += work;
        let handshakes = self.handshake_work.min(work);
        self.handshake_work -= handshakes;
        self.done += handshakes;
        let each = (work - handshakes) / self.divisor();
        for running in &mut self.running {
            self.done += each.min(running.remaining);
            running.remaining -= each;
        }
    }

    /// Each request gets the capacity divided by this: an equal share, and at most one core.
    fn divisor(&self) -> f64 {
        self.cores.max(self.running.len() as f64)
    }

    /// Work per nanosecond, apart from the warm-up.
    fn steady_capacity(&self) -> f64 {
        self.full_capacity * self.efficiency / self.slowdown
    }

    fn share(&self, now: Time) -> f64 {
        if now >= self.warm_at {
            return 1.0;
        }
        self.initial_share + self.warm_up_rate() * now.saturating_sub(self.started) as f64
    }

    /// Share of the capacity gained per nanosecond of warm-up.
    fn warm_up_rate(&self) -> f64 {
        (1.0 - self.initial_share) / (self.warm_at - self.started) as f64
    }

    /// How long all cores together take for this work from now on: the positive root of
    /// `share * x + rate / 2 * x^2 = work / steady_capacity`, in the form that does not subtract nearly equal
    /// numbers.
    fn duration_of(&self, work: f64) -> f64 {
        let target = work / self.steady_capacity();
        let share = self.share(self.at);
        let rate = if self.at < self.warm_at { self.warm_up_rate() } else { 0.0 };
        2.0 * target / (share + libm::sqrt(share * share + 2.0 * rate * target))
    }
}
