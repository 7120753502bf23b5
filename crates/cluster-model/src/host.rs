//! A host: the running requests share its cores, a bounded queue holds the others, and it may be warming up, slow,
//! paused, draining, or crashed by overload. It does no I/O and reads no clock: callers pass `now`, which never
//! goes back.
//!
//! The work between two events is integrated exactly: the processor computes when the next request completes,
//! and [`Host::next_event`] tells the caller when to call [`Host::advance`].

mod idempotency_cache;
mod overload_budget;
mod processor;

use crate::rng::Rng;
use crate::scenario::{HostSpec, Idempotency, RulesSpec};
use crate::{Span, Time};
use idempotency_cache::IdempotencyCache;
use overload_budget::OverloadBudget;
use processor::Processor;
use std::collections::{BTreeMap, BTreeSet};

/// Work that a warming host survives beyond its budget, in mean requests: tolerance for random variation.
const BUDGET_SLACK_REQUESTS: f64 = 2.0;

/// Identifies an accepted request at a host. Numbers increase in the order of acceptance and are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId(u64);

/// Parameters of a host.
#[derive(Clone, Debug)]
pub struct HostSetup {
    /// Size, speed and limits.
    pub spec: HostSpec,
    /// Conditions under which the host crashes while warming up.
    pub rules: RulesSpec,
    /// Mean work of a request, in nanoseconds of one core at speed 1.
    pub mean_work: Span,
    /// Number of the host.
    pub number: u32,
    /// Seed of the site.
    pub seed: u64,
    /// Whether the host has just started and is warming up.
    pub warming_up: bool,
}

/// A request at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id of the request.
    pub id: u64,
    /// Work that the request costs, in nanoseconds of one core at speed 1.
    pub work: Span,
    /// Usual work of such a request, which counts against the budget of a warming host. Gateways cannot know that
    /// some requests are temporarily heavier.
    pub expected_work: Span,
    /// When the client stops waiting.
    pub deadline: Time,
    /// Whether the request may run more than once.
    pub effect: Idempotency,
}

/// Response of a host to a submitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request was accepted and is running or queued.
    Accepted(JobId),
    /// The request was rejected without running.
    Rejected,
    /// The request has run here before and is answered from the cache at once.
    Cached,
    /// The host is down: it stopped or crashed before, or this request overloaded it.
    Down,
}

/// Outcome of an accepted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// The request completed successfully.
    Served,
    /// The request completed with an error.
    Failed,
    /// The deadline passed before the request completed.
    Expired(JobStage),
    /// The host crashed or stopped.
    Lost(JobStage),
}

/// Stage that a request had reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStage {
    /// The request was queued and had not run.
    Queued,
    /// The request was running.
    Running,
}

/// An accepted request that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedJob {
    /// Id of the job.
    pub job: JobId,
    /// When the job ended.
    pub at: Time,
    /// How the job ended.
    pub outcome: JobOutcome,
}

/// A host.
#[derive(Clone, Debug)]
pub struct Host {
    spec: HostSpec,
    processor: Processor,
    /// `None` in a host that is warm.
    budget: Option<OverloadBudget>,
    cache: IdempotencyCache,
    /// Seed of this host's random values.
    seed: u64,
    next_job: u64,
    /// All accepted requests that have not ended. Queued ones run in the order of their numbers.
    jobs: BTreeMap<JobId, Request>,
    queued: BTreeSet<JobId>,
    deadlines: BTreeSet<(Time, JobId)>,
    finished: Vec<FinishedJob>,
    connections: u32,
    draining: bool,
    /// The host has crashed or stopped and processes nothing.
    down: bool,
    crashed_by_overload: bool,
}

impl Host {
    /// Creates a host that starts at `now`, or has been running for long if it is not `warming_up`.
    pub fn new(setup: HostSetup, now: Time) -> Host {
        let HostSetup { spec, rules, mean_work, number, seed, warming_up } = setup;
        let mut rng = Rng::stream(seed, "host", u64::from(number));
        let speed = spec.speed * rng.between(1.0 - spec.speed_spread, 1.0 + spec.speed_spread);
        let slack = BUDGET_SLACK_REQUESTS * mean_work as f64;
        Host {
            processor: Processor::new(&spec, speed, now, warming_up),
            budget: warming_up.then(|| OverloadBudget::new(&rules, slack)),
            cache: IdempotencyCache::default(),
            seed: rng.bits(),
            next_job: 0,
            jobs: BTreeMap::new(),
            queued: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            finished: Vec::new(),
            connections: 0,
            draining: false,
            down: false,
            crashed_by_overload: false,
            spec,
        }
    }

    /// Submits a completely received request.
    pub fn submit(&mut self, now: Time, request: Request) -> Admission {
        self.run_to(now);
        let keyed = matches!(request.effect, Idempotency::Keyed(_));
        if keyed && !self.down && self.cache.contains(now, request.id) {
            return Admission::Cached;
        }
        if self.down || self.overloads(now, request.expected_work) {
            return Admission::Down;
        }
        // A repeat of a request that is still queued or running is rejected before it runs.
        let duplicate = keyed && self.jobs.values().any(|job| job.id == request.id);
        if duplicate || self.draining || request.deadline <= now {
            return Admission::Rejected;
        }
        let capacity = self.spec.queue as usize + self.free_slots();
        if self.queued.len() >= capacity {
            return Admission::Rejected;
        }
        Admission::Accepted(self.accept(request))
    }

    fn accept(&mut self, request: Request) -> JobId {
        let job = JobId(self.next_job);
        self.next_job += 1;
        self.jobs.insert(job, request);
        self.queued.insert(job);
        self.deadlines.insert((request.deadline, job));
        self.fill_slots();
        job
    }

    /// Cancels a request. Returns the stage that it had reached, or `None` if it had already ended.
    pub fn cancel(&mut self, now: Time, job: JobId) -> Option<JobStage> {
        self.run_to(now);
        let stage = self.remove(job)?;
        self.fill_slots();
        Some(stage)
    }

    /// When the next request may end if nothing else happens before.
    pub fn next_event(&self) -> Option<Time> {
        if !self.finished.is_empty() {
            return Some(self.processor.at());
        }
        (!self.jobs.is_empty()).then(|| self.next_change())
    }

    /// Processes requests until `now` and appends those that have ended, in time order.
    pub fn advance(&mut self, now: Time, finished: &mut Vec<FinishedJob>) {
        self.run_to(now);
        finished.append(&mut self.finished);
    }

    /// Opens a connection. Returns false if it is reset because the host is down or at its connection limit.
    pub fn connect(&mut self, now: Time) -> bool {
        self.run_to(now);
        if self.down || self.connections >= self.spec.connections {
            return false;
        }
        self.connections += 1;
        self.processor.add_handshake(self.spec.handshake);
        true
    }

    /// Closes an open connection.
    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Sets the slowdown factor from now on; 1 is the usual speed.
    pub fn set_slowdown(&mut self, now: Time, factor: f64) {
        self.run_to(now);
        self.processor.set_slowdown(factor);
    }

    /// Pauses all processing until `until`.
    pub fn pause(&mut self, now: Time, until: Time) {
        self.run_to(now);
        self.processor.pause(until);
    }

    /// Rejects all new requests from now on.
    pub fn drain(&mut self, now: Time) {
        self.run_to(now);
        self.draining = true;
    }

    /// Ends the host's process; all its requests are lost.
    pub fn stop(&mut self, now: Time) {
        self.run_to(now);
        self.go_down(now);
    }

    /// Whether the host has crashed by overload while warming up. It does not recover.
    pub fn crashed_by_overload(&self) -> bool {
        self.crashed_by_overload
    }

    /// Number of requests running and queued.
    pub fn request_count(&self) -> usize {
        self.jobs.len()
    }

    /// Share of its capacity that the host used since the last call; 0 if it had none.
    pub fn utilization_since_last(&mut self, now: Time) -> f64 {
        self.run_to(now);
        self.processor.utilization_since_last()
    }

    /// Current capacity with the current number of requests, in nanoseconds of work per second.
    pub fn capacity(&self, now: Time) -> f64 {
        if self.down {
            0.0
        } else {
            self.processor.capacity(now)
        }
    }

    /// Capacity after the warm-up, in nanoseconds of work per second.
    pub fn full_capacity(&self) -> f64 {
        self.processor.full_capacity()
    }

    /// Adds work to the overload budget of a warming host. Returns true if the work exceeds the budget: the host
    /// crashes and all its requests are lost.
    fn overloads(&mut self, now: Time, work: Span) -> bool {
        let Some(budget) = &mut self.budget else { return false };
        if self.processor.is_warm(now) {
            self.budget = None;
            return false;
        }
        if budget.add_and_check(now, work, self.processor.warm_up_capacity(now)) {
            return false;
        }
        self.crashed_by_overload = true;
        self.go_down(now);
        true
    }

    fn go_down(&mut self, now: Time) {
        self.down = true;
        self.connections = 0;
        let all: Vec<JobId> = self.jobs.keys().copied().collect();
        all.into_iter().for_each(|job| self.finish(job, now, JobOutcome::Lost));
    }

    fn run_to(&mut self, now: Time) {
        while !self.down && self.processor.at() < now {
            let until = self.next_change().min(now);
            self.processor.work_until(until);
            self.finish_jobs(until);
        }
    }

    /// The next time at which the rate of work may change, later than the current time of the processor.
    fn next_change(&self) -> Time {
        let expiry = self.deadlines.first().map_or(Time::MAX, |(deadline, _)| *deadline);
        self.processor.next_change().min(expiry)
    }

    /// Ends the requests that complete or expire at `at`, and starts queued ones in their slots.
    fn finish_jobs(&mut self, at: Time) {
        for job in self.processor.completed() {
            let Some(request) = self.jobs.get(&job).copied() else { continue };
            let failed = Rng::stream(self.seed, "error", request.id).chance(self.spec.error_rate);
            if let (Idempotency::Keyed(window), false) = (request.effect, failed) {
                self.cache.insert(at, request.id, window);
            }
            let outcome = if failed { JobOutcome::Failed } else { JobOutcome::Served };
            self.finish(job, at, |_| outcome);
        }
        while let Some((_, job)) = self.deadlines.first().copied().filter(|(deadline, _)| *deadline <= at) {
            self.finish(job, at, JobOutcome::Expired);
        }
        self.fill_slots();
    }

    fn finish(&mut self, job: JobId, at: Time, outcome: impl Fn(JobStage) -> JobOutcome) {
        if let Some(stage) = self.remove(job) {
            self.finished.push(FinishedJob { job, at, outcome: outcome(stage) });
        }
    }

    /// Removes a request from all collections and returns the stage that it had reached.
    fn remove(&mut self, job: JobId) -> Option<JobStage> {
        let request = self.jobs.remove(&job)?;
        self.deadlines.remove(&(request.deadline, job));
        if self.queued.remove(&job) {
            return Some(JobStage::Queued);
        }
        self.processor.stop(job);
        Some(JobStage::Running)
    }

    fn fill_slots(&mut self) {
        while self.free_slots() > 0 {
            let Some(job) = self.queued.pop_first() else { break };
            let work = self.jobs.get(&job).map_or(0, |request| request.work);
            self.processor.start(job, work);
        }
        self.processor.set_request_count(self.jobs.len());
    }

    fn free_slots(&self) -> usize {
        (self.spec.slots.max(1) as usize).saturating_sub(self.processor.running_count())
    }
}
