//! A small simulated site for slow start: gateways, hosts that share their cores among their attempts, and
//! the rule by which a host is overloaded while it warms up. The parameters are those of the operators' site,
//! but the simulation is not a model of it.
use super::{Prng, MS};
use policy::api::*;
use policy::policy::Policy;
use std::collections::{BTreeMap, VecDeque};

pub const HOSTS: u64 = 10;
const STEP: Span = 2 * MS; // also the delay of each message
const START: Time = 1_000_000 * MS;
const CORES: f64 = 2.0;
const WORKERS: usize = 8; // attempts that a host executes concurrently
const MAX_QUEUED: usize = 36; // further attempts that a host queues; it rejects any more
const INITIAL_CAPACITY: f64 = 0.21;
const WARM_UP: Span = 17_000 * MS;
const OVERLOAD_WINDOW: Span = 1_500 * MS;
const OVERLOAD_FACTOR: f64 = 3.0;

struct Job {
    id: RequestId,
    attempt: u32,
    gateway: usize,
    sent: Time,
    deadline: Time,
    remaining_work: f64, // in core seconds
}

struct Machine {
    started: Option<Time>, // `None` if the host started long ago
    refuses_until: Time,
    overloaded: bool,
    jobs: VecDeque<Job>,
    recent_work: VecDeque<(Time, f64)>, // arrival and work of the jobs of the overload window
}

impl Machine {
    fn new(started: Option<Time>) -> Machine {
        Machine {
            started,
            refuses_until: 0,
            overloaded: false,
            jobs: VecDeque::new(),
            recent_work: VecDeque::new(),
        }
    }

    /// Returns the present capacity as a fraction of the capacity after warm-up.
    fn capacity(&self, now: Time) -> f64 {
        let age = |started| now.saturating_sub(started) as f64 / WARM_UP as f64;
        self.started
            .map_or(1.0, |started| (INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age(started)).min(1.0))
    }

    /// Records arriving work, and returns the fraction of the overload budget that is now used.
    fn record_work(&mut self, now: Time, work: f64) -> f64 {
        self.recent_work.push_back((now, work));
        while self.recent_work.front().is_some_and(|(at, _)| at + OVERLOAD_WINDOW < now) {
            self.recent_work.pop_front();
        }
        let recent_work: f64 = self.recent_work.iter().map(|(_, work)| work).sum();
        recent_work / (OVERLOAD_FACTOR * CORES * self.capacity(now) * OVERLOAD_WINDOW as f64 / 1e9)
    }

    /// Executes jobs for one step, and returns the completed ones.
    fn work(&mut self, now: Time) -> Vec<Job> {
        let busy = self.jobs.len().min(WORKERS);
        let work_per_job = self.capacity(now) * (CORES / busy.max(1) as f64).min(1.0) * STEP as f64 / 1e9;
        self.jobs.iter_mut().take(WORKERS).for_each(|job| job.remaining_work -= work_per_job);
        self.remove_jobs(|job| job.remaining_work <= 0.0)
    }

    fn remove_jobs(&mut self, condition: impl Fn(&Job) -> bool) -> Vec<Job> {
        if !self.jobs.iter().any(&condition) {
            return Vec::new();
        }
        let (removed, kept) = std::mem::take(&mut self.jobs).into_iter().partition(condition);
        self.jobs = kept;
        Vec::from(removed)
    }
}

/// The counts of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub requests: u32,
    pub within_objective: u32,
    pub served: u32,
    pub overloaded: u32,
    /// Largest fraction of the overload budget that any host used while it warmed up.
    pub peak_budget_used: f64,
    /// Time from the arrival of the first forwarded request until it was forwarded, in milliseconds.
    pub first_forwarded_ms: Option<u64>,
    /// Attempts that were refused a connection.
    pub connections_refused: u32,
    /// Attempts forwarded to hosts that were warming up.
    pub at_warming_hosts: u32,
}

struct OpenRequest {
    gateway: usize,
    arrived: Time,
    deadline: Time,
    work: f64,
    attempts: u32,
}

pub struct World {
    pub now: Time,
    pub counts: Counts,
    /// Requests per second at all gateways together; may be changed at any time.
    pub request_rate: f64,
    /// Mean work of a request, in core seconds.
    pub mean_work: f64,
    prng: Prng,
    gateways: Vec<Policy>,
    hosts: BTreeMap<HostId, Machine>,
    open: BTreeMap<RequestId, OpenRequest>,
    scheduled: BTreeMap<(Time, u64), (usize, Event)>,
    last_number: u64,
    next_arrival: Time,
    counted_from: Time,
}

fn site_settings(gateways: u32) -> Settings {
    let class = |deadline, priority_weight, late_fraction, idempotency| Class {
        latency_objective: 600 * MS,
        deadline: deadline * MS,
        priority_weight,
        late_fraction,
        idempotency,
        ..Class::default()
    };
    Settings {
        gateways,
        classes: vec![
            class(1_500, 3.0, 0.2, Idempotency::Idempotent),
            class(2_000, 9.0, 0.0, Idempotency::NotIdempotent),
        ],
        plans: vec![Plan { weight_factor: 1.0, ..Plan::default() }],
        may_cancel: true,
        may_hedge: true,
        max_attempts: 4,
        initial_capacity: INITIAL_CAPACITY,
        warm_up: WARM_UP,
        ..Settings::default()
    }
}

fn host_entry(id: HostId, machine: &Machine) -> HostEntry {
    HostEntry { id, size: 1.0, started_at: machine.started.unwrap_or(0), ..HostEntry::default() }
}

impl World {
    /// Creates gateways that have just received an endpoint list. Its hosts have all just started, or all
    /// started long ago.
    pub fn new(seed: u64, gateways: u32, all_warming_up: bool) -> World {
        let policy = |n: u32| Policy::new(site_settings(gateways), seed * 1_000 + u64::from(n));
        let machine = |id| (HostId(id), Machine::new(all_warming_up.then_some(START)));
        let mut world = World {
            now: START,
            counts: Counts::default(),
            request_rate: 130.0,
            mean_work: 0.075,
            prng: Prng(seed),
            gateways: (0..gateways).map(policy).collect(),
            hosts: (1..=HOSTS).map(machine).collect(),
            open: BTreeMap::new(),
            scheduled: BTreeMap::new(),
            last_number: 0,
            next_arrival: START,
            counted_from: START,
        };
        world.report_hosts();
        world
    }

    /// Kills these hosts and replaces them at once with hosts that warm up, optionally under new identifiers.
    pub fn restart(&mut self, ids: std::ops::RangeInclusive<u64>, under_new_ids: bool) {
        for id in ids {
            let Some(mut old) = self.hosts.remove(&HostId(id)) else { continue };
            old.remove_jobs(|_| true)
                .into_iter()
                .for_each(|job| self.end(HostId(id), job, Outcome::ConnectionReset));
            let id = if under_new_ids { id + 1_000 } else { id };
            self.hosts.insert(HostId(id), Machine::new(Some(self.now)));
        }
        self.report_hosts();
    }

    /// Makes all hosts refuse connections for this time.
    pub fn refuse_connections(&mut self, span: Span) {
        let until = self.now + span;
        self.hosts.values_mut().for_each(|host| host.refuses_until = until);
    }

    fn report_hosts(&mut self) {
        let entries: Vec<_> = self.hosts.iter().map(|(id, machine)| host_entry(*id, machine)).collect();
        for gateway in 0..self.gateways.len() {
            self.report(gateway, Event::HostList { kind: HostListKind::Full, entries: entries.clone() });
        }
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            while self.next_arrival <= self.now {
                self.next_arrival += (self.prng.exponential(1e9 / self.request_rate)) as Span;
                self.send_request();
            }
            while let Some(scheduled) =
                self.scheduled.first_entry().filter(|scheduled| scheduled.key().0 <= self.now)
            {
                let (gateway, event) = scheduled.remove();
                self.deliver(gateway, event);
            }
            let busy = self.hosts.iter().filter(|(_, host)| !host.jobs.is_empty()).map(|(id, _)| *id);
            busy.collect::<Vec<_>>().into_iter().for_each(|id| self.serve(id));
        }
    }

    /// Resets the counts. Requests that arrived earlier no longer count.
    pub fn reset_counts(&mut self) {
        (self.counts, self.counted_from) = (Counts::default(), self.now);
    }

    /// Stops the arrivals, and checks that each request gets its final answer.
    pub fn finish(&mut self) {
        self.next_arrival = Time::MAX;
        self.run(2_100 * MS);
        assert!(self.open.is_empty(), "each request has got its final answer");
    }

    fn send_request(&mut self) {
        let gateway = self.prng.below(self.gateways.len() as u64) as usize;
        let class = usize::from(self.prng.chance(0.16));
        let remaining = (0.5 + 0.5 * self.prng.uniform()) * [1_500.0, 2_000.0][class] * MS as f64;
        let remaining = remaining as Span;
        let work = self.prng.exponential(self.mean_work);
        self.last_number += 1;
        let (id, now) = (RequestId(self.last_number), self.now);
        self.counts.requests += 1;
        let open = OpenRequest { gateway, arrived: now, deadline: now + remaining, work, attempts: 0 };
        self.open.insert(id, open);
        let request = Request {
            id,
            class,
            customer: CustomerId(self.last_number % 40),
            remaining,
            units: 1.0,
            set_size: 3,
            ..Request::default()
        };
        self.report(gateway, Event::Request(request));
    }

    /// Delivers an expired timer or the end of an attempt to its gateway.
    fn deliver(&mut self, gateway: usize, event: Event) {
        let Event::AttemptEnded(mut end) = event else { return self.report(gateway, event) };
        end.is_request_closed = !self.open.contains_key(&end.id);
        if let Some(open) = self.open.get(&end.id).filter(|_| end.outcome == Outcome::Ok) {
            let is_counted = open.arrived > self.counted_from;
            self.counts.served += u32::from(is_counted);
            self.counts.within_objective += u32::from(is_counted && self.now <= open.arrived + 600 * MS);
            self.open.remove(&end.id);
            end.is_request_closed = true;
        }
        self.report(gateway, Event::AttemptEnded(end));
    }

    fn serve(&mut self, id: HostId) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let done = host.work(now);
        let timed_out = host.remove_jobs(|job| job.deadline <= now);
        done.into_iter().for_each(|job| self.end(id, job, Outcome::Ok));
        timed_out.into_iter().for_each(|job| self.end(id, job, Outcome::Timeout));
    }

    fn end(&mut self, host: HostId, job: Job, outcome: Outcome) {
        let end = AttemptEnded {
            id: job.id,
            attempt: job.attempt,
            host,
            outcome,
            elapsed: self.now + STEP - job.sent,
            is_request_closed: false,
            quota_used: None,
            actual_units: None,
            report: None,
        };
        self.schedule(STEP, job.gateway, Event::AttemptEnded(end));
    }

    fn schedule(&mut self, after: Span, gateway: usize, event: Event) {
        self.last_number += 1;
        self.scheduled.insert((self.now + after, self.last_number), (gateway, event));
    }

    fn report(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        self.gateways[gateway].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Forward { id, host, deadline, .. } => self.forward(id, host, deadline),
                Action::Reject { id, .. } | Action::Fail { id, .. } => {
                    let open = self.open.remove(&id).expect("only one final answer");
                    assert!(self.now <= open.deadline + 16 * MS, "the final answer is in time");
                }
                Action::Cancel { id, attempt } => self.cancel(gateway, id, attempt),
                Action::SetTimer { after, token } => {
                    self.schedule(after, gateway, Event::TimerExpired { token })
                }
                Action::AddToCounter { .. } | Action::SubscribeToHosts => {}
            }
        }
    }

    fn cancel(&mut self, gateway: usize, id: RequestId, attempt: u32) {
        let same = |job: &Job| (job.id, job.attempt, job.gateway) == (id, attempt, gateway);
        let removed = self.hosts.iter_mut().map(|(host, machine)| (*host, machine.remove_jobs(same)));
        for (host, jobs) in removed.collect::<Vec<_>>() {
            jobs.into_iter().for_each(|job| self.end(host, job, Outcome::Cancelled));
        }
    }

    fn forward(&mut self, id: RequestId, to: HostId, deadline: Time) {
        let now = self.now;
        let open = self.open.get_mut(&id).expect("no attempt after the final answer");
        let job = Job {
            id,
            attempt: open.attempts,
            gateway: open.gateway,
            sent: now,
            deadline,
            remaining_work: open.work,
        };
        open.attempts += 1;
        self.counts.first_forwarded_ms.get_or_insert((now - open.arrived) / MS);
        let Some(host) = self.hosts.get_mut(&to).filter(|host| !host.overloaded) else {
            return self.end(to, job, Outcome::ConnectFailed);
        };
        if now < host.refuses_until {
            self.counts.connections_refused += 1;
            return self.end(to, job, Outcome::ConnectFailed);
        }
        if host.capacity(now) < 1.0 {
            self.counts.at_warming_hosts += 1;
            let budget_used = host.record_work(now, job.remaining_work);
            self.counts.peak_budget_used = self.counts.peak_budget_used.max(budget_used);
            if budget_used > 1.0 {
                host.overloaded = true;
                self.counts.overloaded += 1;
                host.jobs.push_back(job);
                let aborted = host.remove_jobs(|_| true);
                return aborted.into_iter().for_each(|job| self.end(to, job, Outcome::ConnectionReset));
            }
        }
        if host.jobs.len() >= WORKERS + MAX_QUEUED {
            return self.end(to, job, Outcome::Rejected);
        }
        host.jobs.push_back(job);
    }
}
