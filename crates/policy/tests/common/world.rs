//! A single gateway in virtual time. Each core of a host executes one attempt at a time; hosts may be slow
//! and may lose responses.
use super::*;
use policy::policy::Policy;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// The properties of a host.
#[derive(Clone, Copy, Debug)]
pub struct HostSpec {
    pub cores: usize,
    /// Execution time of an attempt as a multiple of the usual one.
    pub time_factor: f64,
    /// Fraction of attempts whose response is lost.
    pub loss_fraction: f64,
}

pub const NORMAL_HOST: HostSpec = HostSpec { cores: 1, time_factor: 1.0, loss_fraction: 0.0 };

/// An attempt in flight.
struct InFlight {
    host: HostId,
    sent: Time,
    lost: bool,
}

pub struct World {
    policy: Policy,
    pub now: Time,
    hosts: BTreeMap<HostId, HostSpec>,
    /// When each core of a host is next idle.
    cores: BTreeMap<HostId, Vec<Time>>,
    /// Draws the execution time of an attempt.
    execution_time: fn(&mut Prng) -> Span,
    in_flight: BTreeMap<(u64, u32), InFlight>,
    ends: BinaryHeap<Reverse<(Time, u64, u32, bool)>>,
    closed: std::collections::BTreeSet<u64>,
    attempts: BTreeMap<u64, u32>,
    prng: Prng,
    last_id: u64,
    pub sent: BTreeMap<HostId, u64>,
    pub served: u64,
    pub requests: u64,
    /// For each attempt whose response was lost, the time after which another attempt was made beside it.
    pub detection_times: Vec<Span>,
    pub lost: u64,
    /// Number of attempts made beside one whose response was not lost.
    pub false_alarms: u64,
}

impl World {
    pub fn new(settings: Settings, hosts: &[HostSpec], execution_time: fn(&mut Prng) -> Span) -> World {
        let all = || (1..).map(HostId).zip(hosts);
        let mut world = World {
            policy: Policy::new(settings, 1),
            now: 1_000_000 * MS,
            hosts: all().map(|(id, spec)| (id, *spec)).collect(),
            cores: all().map(|(id, spec)| (id, vec![0; spec.cores])).collect(),
            execution_time,
            in_flight: BTreeMap::new(),
            ends: BinaryHeap::new(),
            closed: Default::default(),
            attempts: BTreeMap::new(),
            prng: Prng(1),
            last_id: 0,
            sent: BTreeMap::new(),
            served: 0,
            requests: 0,
            detection_times: Vec::new(),
            lost: 0,
            false_alarms: 0,
        };
        let entries = all().map(|(id, spec)| HostEntry { size: spec.cores as f64, ..entry(id.0) }).collect();
        world.report(Event::HostList { kind: HostListKind::Full, entries });
        world
    }

    /// Resets all counts.
    pub fn reset_counts(&mut self) {
        (self.sent, self.detection_times) = Default::default();
        (self.served, self.requests, self.lost, self.false_alarms) = (0, 0, 0, 0);
    }

    fn report(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Forward { id, host, deadline, .. } => self.forward(id.0, host, deadline),
                Action::Cancel { id, attempt } => self.ends.push(Reverse((self.now, id.0, attempt, false))),
                _ => {}
            }
        }
    }

    fn forward(&mut self, id: u64, host: HostId, deadline: Time) {
        let attempts_made = self.attempts.entry(id).or_default();
        let attempt = *attempts_made;
        *attempts_made += 1;
        for (_, in_flight) in self.in_flight.range((id, 0)..(id, attempt)) {
            if in_flight.lost {
                self.detection_times.push(self.now - in_flight.sent);
            } else {
                self.false_alarms += 1;
            }
        }
        *self.sent.entry(host).or_default() += 1;
        let spec = self.hosts[&host];
        let lost = self.prng.uniform() < spec.loss_fraction;
        self.lost += u64::from(lost);
        let execution_time = ((self.execution_time)(&mut self.prng) as f64 * spec.time_factor) as Span;
        let idle_from =
            self.cores.get_mut(&host).and_then(|cores| cores.iter_mut().min()).expect("a known host");
        *idle_from = (*idle_from).max(self.now) + execution_time;
        let (end, has_response) =
            if lost || *idle_from > deadline { (deadline, false) } else { (*idle_from, true) };
        self.in_flight.insert((id, attempt), InFlight { host, sent: self.now, lost });
        self.ends.push(Reverse((end, id, attempt, has_response)));
    }

    fn end(&mut self, id: u64, attempt: u32, has_response: bool, at: Time) {
        let Some(in_flight) = self.in_flight.remove(&(id, attempt)) else { return };
        let is_closed = self.closed.contains(&id);
        let outcome = match (has_response, is_closed) {
            (true, _) => Outcome::Ok,
            (false, true) => Outcome::Cancelled,
            (false, false) => Outcome::Timeout,
        };
        if has_response && self.closed.insert(id) {
            self.served += 1;
        }
        let end = AttemptEnded {
            id: RequestId(id),
            attempt,
            host: in_flight.host,
            outcome,
            elapsed: at.saturating_sub(in_flight.sent),
            is_request_closed: has_response || is_closed,
            quota_used: None,
            actual_units: None,
            report: None,
        };
        self.report(Event::AttemptEnded(end));
    }

    /// Runs for this number of seconds, with this number of requests per second of the first class.
    pub fn run(&mut self, seconds: u64, rate: u64, remaining: Span) {
        for n in 0..seconds * 1_000 {
            self.now += MS;
            while self.ends.peek().is_some_and(|Reverse((at, ..))| *at <= self.now) {
                let Some(Reverse((at, id, attempt, has_response))) = self.ends.pop() else { break };
                self.end(id, attempt, has_response, at);
            }
            if n % 20 == 0 {
                self.report(Event::TimerExpired { token: 0 });
            }
            if n * rate / 1_000 != (n + 1) * rate / 1_000 {
                (self.last_id, self.requests) = (self.last_id + 1, self.requests + 1);
                let (id, customer) = (RequestId(self.last_id), CustomerId(self.last_id));
                let request =
                    Request { id, customer, remaining, units: 1.0, set_size: 1, ..Request::default() };
                self.report(Event::Request(request));
            }
        }
    }
}

/// Returns the settings of a single gateway without a counter and without quotas.
pub fn single_gateway() -> Settings {
    let mut settings = settings();
    (settings.gateways, settings.has_counter) = (1, false);
    (settings.plans[0].rate, settings.plans[0].burst) = (0.0, 0.0);
    settings
}
