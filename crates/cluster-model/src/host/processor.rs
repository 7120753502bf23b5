//! The cores of a host, shared evenly among the requests in its slots.

use super::JobId;
use crate::scenario::HostSpec;
use crate::{Span, Time, SECOND};

/// Work left over by rounding, in nanoseconds.
const NOTHING: f64 = 0.5;
/// However much it holds, a host keeps this share of its capacity.
const LEAST_EFFICIENCY: f64 = 0.25;
/// Bounds on how many times slower than usual.
const SLOW: (f64, f64) = (0.001, 1e6);
/// No host is slower than this (a speed of 0 would never end).
const LEAST_SPEED: f64 = 1e-6;

#[derive(Clone, Debug)]
pub(super) struct Processor {
    cores: f64,
    /// Work per nanosecond when warm.
    full: f64,
    thrash_at: f64,
    thrash: f64,
    started: Time,
    /// Share of capacity at the start, which rises evenly to 1 at `warm_at`.
    cold_share: f64,
    warm_at: Time,
    slow: f64,
    paused_until: Time,
    efficiency: f64,
    /// All up to here is done.
    at: Time,
    /// Work on new connections, which goes ahead of all requests.
    owed: f64,
    running: Vec<Running>,
    /// Work done, and work that could have been done, since last asked.
    done: f64,
    possible: f64,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    job: JobId,
    left: f64,
}

impl Processor {
    pub(super) fn new(spec: &HostSpec, speed: f64, now: Time, cold: bool) -> Processor {
        let cores = f64::from(spec.cores.max(1));
        Processor {
            cores,
            full: cores * speed.max(LEAST_SPEED),
            thrash_at: spec.thrash_threshold,
            thrash: spec.thrash_loss,
            started: now,
            cold_share: if cold { spec.warmup_share.clamp(0.0, 1.0) } else { 1.0 },
            warm_at: if cold { now.saturating_add(spec.warmup) } else { now },
            slow: 1.0,
            paused_until: now,
            efficiency: 1.0,
            at: now,
            owed: 0.0,
            running: Vec::new(),
            done: 0.0,
            possible: 0.0,
        }
    }

    pub(super) fn at(&self) -> Time {
        self.at
    }

    pub(super) fn in_work(&self) -> usize {
        self.running.len()
    }

    pub(super) fn start(&mut self, job: JobId, work: Span) {
        self.running.push(Running { job, left: work.max(1) as f64 });
    }

    pub(super) fn stop(&mut self, job: JobId) {
        self.running.retain(|running| running.job != job);
    }

    pub(super) fn owe(&mut self, work: Span) {
        self.owed += work as f64;
    }

    pub(super) fn slow(&mut self, times: f64) {
        self.slow = if times.is_nan() { 1.0 } else { times.clamp(SLOW.0, SLOW.1) };
    }

    pub(super) fn pause(&mut self, until: Time) {
        self.paused_until = self.paused_until.max(until);
    }

    /// So many requests are held, in work and waiting: beyond a point each costs efficiency.
    pub(super) fn hold(&mut self, held: usize) {
        let beyond = (held as f64 / self.cores - self.thrash_at).max(0.0);
        self.efficiency = (1.0 - self.thrash * beyond).clamp(LEAST_EFFICIENCY, 1.0);
    }

    pub(super) fn is_warm(&self, now: Time) -> bool {
        now >= self.warm_at
    }

    /// Work per nanosecond that its warm-up allows. What ails it besides (thrashing, slow spells, pauses) does
    /// not count: the rule on cold hosts speaks of the rise after a start, which gateways can know of.
    pub(super) fn warmed_up(&self, now: Time) -> f64 {
        self.full * self.share(now)
    }

    /// Work per second.
    pub(super) fn full(&self) -> f64 {
        self.full * SECOND as f64
    }

    /// Work per second at this moment.
    pub(super) fn capacity(&self, now: Time) -> f64 {
        if now < self.paused_until {
            0.0
        } else {
            self.steady() * self.share(now) * SECOND as f64
        }
    }

    /// Share of the work that could have been done since last asked that was done.
    pub(super) fn busy_since_last(&mut self) -> f64 {
        let busy = if self.possible > 0.0 { (self.done / self.possible).min(1.0) } else { 0.0 };
        self.done = 0.0;
        self.possible = 0.0;
        busy
    }

    /// Requests with nothing left to do.
    pub(super) fn through(&self) -> Vec<JobId> {
        self.running.iter().filter(|running| running.left <= NOTHING).map(|running| running.job).collect()
    }

    /// When the pace may change next, if nothing comes or goes: later than now, or never.
    pub(super) fn next_change(&self) -> Time {
        if self.at < self.paused_until {
            return self.paused_until;
        }
        let warm = if self.at < self.warm_at { self.warm_at } else { Time::MAX };
        let least = self.running.iter().map(|running| running.left).fold(f64::INFINITY, f64::min);
        let work = if self.owed > NOTHING { self.owed } else { least * self.split() };
        if work == f64::INFINITY {
            return warm;
        }
        // The rise beyond `warm_at` is no concern: the work is looked at anew from there.
        let span = libm::ceil(self.span_of(work)).max(1.0) as Span;
        self.at.saturating_add(span).min(warm)
    }

    /// Works on up to `until`, which is not beyond the next change.
    pub(super) fn work_until(&mut self, until: Time) {
        let span = until.saturating_sub(self.at) as f64;
        let paused = self.at < self.paused_until;
        // The capacity is a straight line between two changes.
        let mean = (self.share(self.at) + self.share(until)) / 2.0;
        self.at = until;
        if paused {
            return;
        }
        let work = self.steady() * mean * span;
        self.possible += work;
        let paid = self.owed.min(work);
        self.owed -= paid;
        self.done += paid;
        let each = (work - paid) / self.split();
        for running in &mut self.running {
            self.done += each.min(running.left);
            running.left -= each;
        }
    }

    /// A request gets this part of the capacity: its share, and one core at the most.
    fn split(&self) -> f64 {
        self.cores.max(self.running.len() as f64)
    }

    /// Work per nanosecond, but for the warm-up.
    fn steady(&self) -> f64 {
        self.full * self.efficiency / self.slow
    }

    fn share(&self, now: Time) -> f64 {
        if now >= self.warm_at {
            return 1.0;
        }
        self.cold_share + self.rise() * now.saturating_sub(self.started) as f64
    }

    /// Share gained per nanosecond while it warms up.
    fn rise(&self) -> f64 {
        (1.0 - self.cold_share) / (self.warm_at - self.started) as f64
    }

    /// How long this much work takes the whole processor from now on: the positive root of
    /// `share * x + rise / 2 * x^2 = work / steady`, in the form that has no difference of near numbers.
    fn span_of(&self, work: f64) -> f64 {
        let wanted = work / self.steady();
        let share = self.share(self.at);
        let rise = if self.at < self.warm_at { self.rise() } else { 0.0 };
        2.0 * wanted / (share + libm::sqrt(share * share + 2.0 * rise * wanted))
    }
}
