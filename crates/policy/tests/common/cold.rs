//! A small closed world for cold starts: gateways, hosts that share their cores among what they hold, and the
//! rule by which a cold host falls over. A stand-in with the figures of the operators' site, not a model of it.
use super::{Dice, MS};
use policy::api::*;
use policy::policy::Policy;
use std::collections::{BTreeMap, VecDeque};

pub const HOSTS: u64 = 10;
const STEP: Span = 2 * MS; // also the time that a message takes
const START: Time = 1_000_000 * MS;
const CORES: f64 = 2.0;
const HANDS: usize = 8; // requests that a host works on at once
const LINE: usize = 36; // and that wait; more are turned away
const COLD_FROM: f64 = 0.21;
const COLD: Span = 17_000 * MS;
const FALL: Span = 1_500 * MS;
const MULTIPLE: f64 = 3.0;

struct Job {
    id: RequestId,
    attempt: u32,
    gateway: usize,
    sent: Time,
    until: Time,
    left: f64, // seconds of a core
}

struct Machine {
    started: Option<Time>, // none: long ago
    refuses_until: Time,
    fallen: bool,
    jobs: VecDeque<Job>,
    came: VecDeque<(Time, f64)>, // work that came lately
}

impl Machine {
    fn new(started: Option<Time>) -> Machine {
        Machine { started, refuses_until: 0, fallen: false, jobs: VecDeque::new(), came: VecDeque::new() }
    }

    /// What it can do now, as a share of what it does warm.
    fn share(&self, now: Time) -> f64 {
        let age = |started| now.saturating_sub(started) as f64 / COLD as f64;
        self.started.map_or(1.0, |started| (COLD_FROM + (1.0 - COLD_FROM) * age(started)).min(1.0))
    }

    /// Counts work that came; gives the share of the budget of the fall rule that is used up.
    fn press(&mut self, now: Time, work: f64) -> f64 {
        self.came.push_back((now, work));
        while self.came.front().is_some_and(|(at, _)| at + FALL < now) {
            self.came.pop_front();
        }
        let came: f64 = self.came.iter().map(|(_, work)| work).sum();
        came / (MULTIPLE * CORES * self.share(now) * FALL as f64 / 1e9)
    }

    /// Works for one step; gives what is done.
    fn work(&mut self, now: Time) -> Vec<Job> {
        let busy = self.jobs.len().min(HANDS);
        let each = self.share(now) * (CORES / busy.max(1) as f64).min(1.0) * STEP as f64 / 1e9;
        self.jobs.iter_mut().take(HANDS).for_each(|job| job.left -= each);
        self.take(|job| job.left <= 0.0)
    }

    fn take(&mut self, of: impl Fn(&Job) -> bool) -> Vec<Job> {
        if !self.jobs.iter().any(&of) {
            return Vec::new();
        }
        let (taken, kept) = std::mem::take(&mut self.jobs).into_iter().partition(of);
        self.jobs = kept;
        Vec::from(taken)
    }
}

/// What a run came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub asked: u32,
    pub in_aim: u32,
    pub served: u32,
    pub fallen: u32,
    /// The largest share of the fall rule's budget that any cold host was sent.
    pub peak: f64,
    /// When the first request was sent, after its arrival, in milliseconds.
    pub first_ms: Option<u64>,
    /// Attempts that met a host which takes no connection.
    pub refused: u32,
    /// Attempts at cold hosts.
    pub at_cold: u32,
}

struct Open {
    gateway: usize,
    arrived: Time,
    deadline: Time,
    work: f64,
    attempts: u32,
}

pub struct World {
    pub now: Time,
    pub tally: Tally,
    /// Requests a second, over all gateways; it may be changed at any time.
    pub offered: f64,
    /// Work of a request, in the mean, in seconds of a core.
    pub work: f64,
    dice: Dice,
    gateways: Vec<Policy>,
    hosts: BTreeMap<HostId, Machine>,
    open: BTreeMap<RequestId, Open>,
    due: BTreeMap<(Time, u64), (usize, Event)>,
    number: u64,
    next: Time,
    counted_from: Time,
}

fn site(gateways: u32) -> Settings {
    let class = |deadline, worth, late_worth, effect| Class {
        latency_objective: 600 * MS,
        deadline: deadline * MS,
        priority_weight: worth,
        late_fraction: late_worth,
        idempotency: effect,
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
        cold_capacity: COLD_FROM,
        warm_up: COLD,
        ..Settings::default()
    }
}

fn line(id: HostId, machine: &Machine) -> HostEntry {
    HostEntry { id, size: 1.0, started_at: machine.started.unwrap_or(0), ..HostEntry::default() }
}

impl World {
    /// Gateways that have just been told of hosts that are all warm, or have all just started.
    pub fn new(seed: u64, gateways: u32, cold: bool) -> World {
        let policy = |n: u32| Policy::new(site(gateways), seed * 1_000 + u64::from(n));
        let machine = |id| (HostId(id), Machine::new(cold.then_some(START)));
        let mut world = World {
            now: START,
            tally: Tally::default(),
            offered: 130.0,
            work: 0.075,
            dice: Dice(seed),
            gateways: (0..gateways).map(policy).collect(),
            hosts: (1..=HOSTS).map(machine).collect(),
            open: BTreeMap::new(),
            due: BTreeMap::new(),
            number: 0,
            next: START,
            counted_from: START,
        };
        world.tell_list();
        world
    }

    /// Kills these hosts; others take their places at once (`fresh`: under new names) and are cold.
    pub fn restart(&mut self, ids: std::ops::RangeInclusive<u64>, fresh: bool) {
        for id in ids {
            let Some(mut old) = self.hosts.remove(&HostId(id)) else { continue };
            old.take(|_| true)
                .into_iter()
                .for_each(|job| self.end(HostId(id), job, Outcome::ConnectionReset));
            let id = if fresh { id + 1_000 } else { id };
            self.hosts.insert(HostId(id), Machine::new(Some(self.now)));
        }
        self.tell_list();
    }

    /// From now on all hosts take no connection for this long.
    pub fn refuse(&mut self, span: Span) {
        let until = self.now + span;
        self.hosts.values_mut().for_each(|host| host.refuses_until = until);
    }

    fn tell_list(&mut self) {
        let entries: Vec<_> = self.hosts.iter().map(|(id, machine)| line(*id, machine)).collect();
        for gateway in 0..self.gateways.len() {
            self.tell(gateway, Event::HostList { kind: HostListKind::Full, entries: entries.clone() });
        }
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            while self.next <= self.now {
                self.next += (self.dice.exponential(1e9 / self.offered)) as Span;
                self.arrive();
            }
            while let Some(due) = self.due.first_entry().filter(|due| due.key().0 <= self.now) {
                let (gateway, event) = due.remove();
                self.ring(gateway, event);
            }
            let busy = self.hosts.iter().filter(|(_, host)| !host.jobs.is_empty()).map(|(id, _)| *id);
            busy.collect::<Vec<_>>().into_iter().for_each(|id| self.serve(id));
        }
    }

    /// What comes from now on is counted, what came before is not.
    pub fn count_anew(&mut self) {
        (self.tally, self.counted_from) = (Tally::default(), self.now);
    }

    /// No more requests come; each of those that came gets its one final answer.
    pub fn close(&mut self) {
        self.next = Time::MAX;
        self.run(2_100 * MS);
        assert!(self.open.is_empty(), "no request is lost");
    }

    fn arrive(&mut self) {
        let gateway = self.dice.below(self.gateways.len() as u64) as usize;
        let class = usize::from(self.dice.chance(0.16));
        let patience = (0.5 + 0.5 * self.dice.unit()) * [1_500.0, 2_000.0][class] * MS as f64;
        let patience = patience as Span;
        let work = self.dice.exponential(self.work);
        self.number += 1;
        let (id, now) = (RequestId(self.number), self.now);
        self.tally.asked += 1;
        let open = Open { gateway, arrived: now, deadline: now + patience, work, attempts: 0 };
        self.open.insert(id, open);
        let request = Request {
            id,
            class,
            customer: CustomerId(self.number % 40),
            remaining: patience,
            units: 1.0,
            set_size: 3,
            ..Request::default()
        };
        self.tell(gateway, Event::Request(request));
    }

    /// What falls due: a timer, or an end that reaches its gateway.
    fn ring(&mut self, gateway: usize, event: Event) {
        let Event::AttemptEnded(mut end) = event else { return self.tell(gateway, event) };
        end.is_request_closed = !self.open.contains_key(&end.id);
        if let Some(open) = self.open.get(&end.id).filter(|_| end.outcome == Outcome::Ok) {
            let counts = open.arrived > self.counted_from;
            self.tally.served += u32::from(counts);
            self.tally.in_aim += u32::from(counts && self.now <= open.arrived + 600 * MS);
            self.open.remove(&end.id);
            end.is_request_closed = true;
        }
        self.tell(gateway, Event::AttemptEnded(end));
    }

    fn serve(&mut self, id: HostId) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let done = host.work(now);
        let late = host.take(|job| job.until <= now);
        done.into_iter().for_each(|job| self.end(id, job, Outcome::Ok));
        late.into_iter().for_each(|job| self.end(id, job, Outcome::Timeout));
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
        self.plan(STEP, job.gateway, Event::AttemptEnded(end));
    }

    fn plan(&mut self, after: Span, gateway: usize, event: Event) {
        self.number += 1;
        self.due.insert((self.now + after, self.number), (gateway, event));
    }

    fn tell(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        self.gateways[gateway].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Forward { id, host, deadline: until, .. } => self.send(id, host, until),
                Action::Reject { id, .. } | Action::Fail { id, .. } => {
                    let open = self.open.remove(&id).expect("one final answer");
                    assert!(self.now <= open.deadline + 16 * MS, "in time");
                }
                Action::Cancel { id, attempt } => self.withdraw(gateway, id, attempt),
                Action::SetTimer { after, token } => self.plan(after, gateway, Event::TimerExpired { token }),
                Action::AddToCounter { .. } | Action::SubscribeToHosts => {}
            }
        }
    }

    fn withdraw(&mut self, gateway: usize, id: RequestId, attempt: u32) {
        let same = |job: &Job| (job.id, job.attempt, job.gateway) == (id, attempt, gateway);
        let taken = self.hosts.iter_mut().map(|(host, machine)| (*host, machine.take(same)));
        for (host, jobs) in taken.collect::<Vec<_>>() {
            jobs.into_iter().for_each(|job| self.end(host, job, Outcome::Cancelled));
        }
    }

    fn send(&mut self, id: RequestId, to: HostId, until: Time) {
        let now = self.now;
        let open = self.open.get_mut(&id).expect("nothing goes out after the final answer");
        let job =
            Job { id, attempt: open.attempts, gateway: open.gateway, sent: now, until, left: open.work };
        open.attempts += 1;
        self.tally.first_ms.get_or_insert((now - open.arrived) / MS);
        let Some(host) = self.hosts.get_mut(&to).filter(|host| !host.fallen) else {
            return self.end(to, job, Outcome::ConnectFailed);
        };
        if now < host.refuses_until {
            self.tally.refused += 1;
            return self.end(to, job, Outcome::ConnectFailed);
        }
        if host.share(now) < 1.0 {
            self.tally.at_cold += 1;
            let pressed = host.press(now, job.left);
            self.tally.peak = self.tally.peak.max(pressed);
            if pressed > 1.0 {
                host.fallen = true;
                self.tally.fallen += 1;
                host.jobs.push_back(job);
                let lost = host.take(|_| true);
                return lost.into_iter().for_each(|job| self.end(to, job, Outcome::ConnectionReset));
            }
        }
        if host.jobs.len() >= HANDS + LINE {
            return self.end(to, job, Outcome::Rejected);
        }
        host.jobs.push_back(job);
    }
}
