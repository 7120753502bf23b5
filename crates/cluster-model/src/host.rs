//! A host: requests share its cores, a bounded room holds those that wait, and it may be cold, slow, paused,
//! draining, or pushed over. It does no I/O and reads no clock: callers pass `now`, which never goes back.
//!
//! Between two events everything is integrated exactly: the processor knows when the next request is through,
//! and [`Host::next_event`] tells the caller when to come back.

mod budget;
mod memory;
mod processor;

use crate::rng::Rng;
use crate::scenario::{Effect, HostSpec, RulesSpec};
use crate::{Span, Time};
use budget::Budget;
use memory::Memory;
use processor::Processor;
use std::collections::{BTreeMap, BTreeSet};

/// Mean requests' worth of work that a cold host bears beyond its budget, for chance.
const SLACK_REQUESTS: f64 = 2.0;

/// Number of a request held by a host. Numbers rise in the order of their coming and are not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId(u64);

/// What makes a host.
#[derive(Clone, Debug)]
pub struct HostSetup {
    /// What it is like.
    pub spec: HostSpec,
    /// What pushes it over while it is cold.
    pub rules: RulesSpec,
    /// Mean work of a request, in nanoseconds of one core at speed 1.
    pub mean_work: Span,
    /// Which host this is.
    pub number: u32,
    /// Seed of the site.
    pub seed: u64,
    /// It has just started.
    pub warming_up: bool,
}

/// A request as it comes to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its id.
    pub id: u64,
    /// Work that it costs, in nanoseconds of one core at speed 1.
    pub work: Span,
    /// Work that one like it usually costs: what counts against the budget of a cold host. That some are
    /// heavier for a while is nothing that whoever sends them could know.
    pub expected_work: Span,
    /// When nobody waits for it any more.
    pub deadline: Time,
    /// Whether it may run again.
    pub effect: Effect,
}

/// What a host does with a request that has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is held until it ends.
    Accepted(JobId),
    /// It is turned away unseen.
    Rejected,
    /// It has run here before and is answered as then, at once.
    Cached,
    /// The host is down: pushed over by this request, or before, or stopped.
    Down,
}

/// How a request that was taken has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// It ran to its end.
    Served,
    /// It ran to its end, which was an error.
    Failed,
    /// Its time was over before its end.
    Expired(JobStage),
    /// The host was pushed over, or stopped.
    Lost(JobStage),
}

/// How far a request had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStage {
    /// It waited, and has not run.
    Queued,
    /// It was in work.
    Running,
}

/// A request that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedJob {
    /// Which.
    pub job: JobId,
    /// When.
    pub at: Time,
    /// How.
    pub outcome: JobOutcome,
}

/// A host.
#[derive(Clone, Debug)]
pub struct Host {
    spec: HostSpec,
    processor: Processor,
    /// `None` in a host that was warm from the start.
    budget: Option<Budget>,
    memory: Memory,
    /// Seed of this host's own draws.
    seed: u64,
    next: u64,
    /// All that are held. Those that wait are served in the order of their numbers.
    jobs: BTreeMap<JobId, Request>,
    waiting: BTreeSet<JobId>,
    deadlines: BTreeSet<(Time, JobId)>,
    finished: Vec<FinishedJob>,
    connections: u32,
    draining: bool,
    /// It takes nothing and does nothing any more.
    down: bool,
    fallen: bool,
}

impl Host {
    /// A host that starts now, or, if not `cold`, has run for long.
    pub fn new(setup: HostSetup, now: Time) -> Host {
        let HostSetup { spec, rules, mean_work, number, seed, warming_up: cold } = setup;
        let mut rng = Rng::stream(seed, "host", u64::from(number));
        let speed = spec.speed * rng.between(1.0 - spec.speed_spread, 1.0 + spec.speed_spread);
        let slack = SLACK_REQUESTS * mean_work as f64;
        Host {
            processor: Processor::new(&spec, speed, now, cold),
            budget: cold.then(|| Budget::new(&rules, slack)),
            memory: Memory::default(),
            seed: rng.bits(),
            next: 0,
            jobs: BTreeMap::new(),
            waiting: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            finished: Vec::new(),
            connections: 0,
            draining: false,
            down: false,
            fallen: false,
            spec,
        }
    }

    /// A request has come whole.
    pub fn submit(&mut self, now: Time, request: Request) -> Admission {
        self.run_to(now);
        let keyed = matches!(request.effect, Effect::Keyed(_));
        if keyed && !self.down && self.memory.holds(now, request.id) {
            return Admission::Cached;
        }
        if self.down || self.pushed_over(now, request.expected_work) {
            return Admission::Down;
        }
        // A repeat of one that is still on its way through is dropped before it runs.
        let again = keyed && self.jobs.values().any(|held| held.id == request.id);
        if again || self.draining || request.deadline <= now {
            return Admission::Rejected;
        }
        let room = self.spec.queue as usize + self.free_slots();
        if self.waiting.len() >= room {
            return Admission::Rejected;
        }
        Admission::Accepted(self.hold(request))
    }

    fn hold(&mut self, request: Request) -> JobId {
        let job = JobId(self.next);
        self.next += 1;
        self.jobs.insert(job, request);
        self.waiting.insert(job);
        self.deadlines.insert((request.deadline, job));
        self.fill_slots();
        job
    }

    /// Stops a request that nobody waits for any more. `None`: it had ended before.
    pub fn cancel(&mut self, now: Time, job: JobId) -> Option<JobStage> {
        self.run_to(now);
        let stage = self.release(job)?;
        self.fill_slots();
        Some(stage)
    }

    /// When something ends next, if nothing else happens until then.
    pub fn next_event(&self) -> Option<Time> {
        if !self.finished.is_empty() {
            return Some(self.processor.at());
        }
        (!self.jobs.is_empty()).then(|| self.next_change())
    }

    /// Works on until now, and hands over all that has ended, in order.
    pub fn advance(&mut self, now: Time, finished: &mut Vec<FinishedJob>) {
        self.run_to(now);
        finished.append(&mut self.finished);
    }

    /// A connection is opened. False: it is reset, since the host holds as many as it can, or is down.
    pub fn connect(&mut self, now: Time) -> bool {
        self.run_to(now);
        if self.down || self.connections >= self.spec.connections {
            return false;
        }
        self.connections += 1;
        self.processor.owe(self.spec.handshake);
        true
    }

    /// A connection that was opened has ended.
    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Works so many times slower from now on; 1: as usual.
    pub fn set_slowdown(&mut self, now: Time, times: f64) {
        self.run_to(now);
        self.processor.slow(times);
    }

    /// Does nothing until then.
    pub fn pause(&mut self, now: Time, until: Time) {
        self.run_to(now);
        self.processor.pause(until);
    }

    /// Takes nothing new from now on.
    pub fn drain(&mut self, now: Time) {
        self.run_to(now);
        self.draining = true;
    }

    /// Its process ends: all that it held is lost.
    pub fn stop(&mut self, now: Time) {
        self.run_to(now);
        self.go_down(now);
    }

    /// It was pushed over while it was cold, and stays down.
    pub fn crashed_by_overload(&self) -> bool {
        self.fallen
    }

    /// Requests in work and waiting.
    pub fn request_count(&self) -> usize {
        self.jobs.len()
    }

    /// Share of its present capacity that was in use since this was last asked; 0 where there was none.
    pub fn utilization_since_last(&mut self, now: Time) -> f64 {
        self.run_to(now);
        self.processor.busy_since_last()
    }

    /// What it can do at this moment with what it holds, in nanoseconds of work per second.
    pub fn capacity(&self, now: Time) -> f64 {
        if self.down {
            0.0
        } else {
            self.processor.capacity(now)
        }
    }

    /// What it can do when it is warm, in nanoseconds of work per second.
    pub fn full_capacity(&self) -> f64 {
        self.processor.full()
    }

    /// Adds work to a cold host's budget. True: it is more than the host can bear, and all that it held is lost.
    fn pushed_over(&mut self, now: Time, work: Span) -> bool {
        let Some(budget) = &mut self.budget else { return false };
        if self.processor.is_warm(now) {
            self.budget = None;
            return false;
        }
        if budget.bears(now, work, self.processor.warmed_up(now)) {
            return false;
        }
        self.fallen = true;
        self.go_down(now);
        true
    }

    fn go_down(&mut self, now: Time) {
        self.down = true;
        self.connections = 0;
        let all: Vec<JobId> = self.jobs.keys().copied().collect();
        all.into_iter().for_each(|job| self.end(job, now, JobOutcome::Lost));
    }

    fn run_to(&mut self, now: Time) {
        while !self.down && self.processor.at() < now {
            let until = self.next_change().min(now);
            self.processor.work_until(until);
            self.settle(until);
        }
    }

    /// The next moment at which the pace may change. It is later than the last one handled.
    fn next_change(&self) -> Time {
        let over = self.deadlines.first().map_or(Time::MAX, |(deadline, _)| *deadline);
        self.processor.next_change().min(over)
    }

    /// Ends what is through or over at this moment, and lets others into the slots.
    fn settle(&mut self, at: Time) {
        for job in self.processor.through() {
            let Some(request) = self.jobs.get(&job).copied() else { continue };
            let failed = Rng::stream(self.seed, "error", request.id).chance(self.spec.error_rate);
            if let (Effect::Keyed(window), false) = (request.effect, failed) {
                self.memory.keep(at, request.id, window);
            }
            let ending = if failed { JobOutcome::Failed } else { JobOutcome::Served };
            self.end(job, at, |_| ending);
        }
        while let Some((_, job)) = self.deadlines.first().copied().filter(|(deadline, _)| *deadline <= at) {
            self.end(job, at, JobOutcome::Expired);
        }
        self.fill_slots();
    }

    fn end(&mut self, job: JobId, at: Time, ending: impl Fn(JobStage) -> JobOutcome) {
        if let Some(stage) = self.release(job) {
            self.finished.push(FinishedJob { job, at, outcome: ending(stage) });
        }
    }

    /// Takes a request out of everything that it is in.
    fn release(&mut self, job: JobId) -> Option<JobStage> {
        let request = self.jobs.remove(&job)?;
        self.deadlines.remove(&(request.deadline, job));
        if self.waiting.remove(&job) {
            return Some(JobStage::Queued);
        }
        self.processor.stop(job);
        Some(JobStage::Running)
    }

    fn fill_slots(&mut self) {
        while self.free_slots() > 0 {
            let Some(job) = self.waiting.pop_first() else { break };
            let work = self.jobs.get(&job).map_or(0, |request| request.work);
            self.processor.start(job, work);
        }
        self.processor.hold(self.jobs.len());
    }

    fn free_slots(&self) -> usize {
        (self.spec.slots.max(1) as usize).saturating_sub(self.processor.in_work())
    }
}
