//! A single gateway under load, in virtual time, and the work that its decisions take.
use super::*;
use policy::policy::Policy;
use std::collections::{BTreeMap, VecDeque};

const RESPONSE_TIME: Span = 20 * MS;

/// A single gateway whose hosts and counter always respond, each after a fixed time.
pub struct LoadedGateway {
    pub policy: Policy,
    pub now: Time,
    pub last_id: u64,
    /// Attempts in flight, in the order in which they end.
    pub in_flight: VecDeque<(Time, RequestId, HostId)>,
    pub totals: BTreeMap<CounterKey, f64>,
    pub served: u64,
    pub rejected: u64,
    /// Most work that one event took.
    pub max_work: u64,
}

impl LoadedGateway {
    pub fn new(hosts: u64, started: Time) -> LoadedGateway {
        let mut settings = settings();
        settings.gateways = 1;
        settings.plans[0].rate = 1_000.0;
        settings.plans[0].burst = 1_000.0;
        LoadedGateway::with_settings(settings, hosts, started)
    }

    pub fn with_settings(settings: Settings, hosts: u64, started: Time) -> LoadedGateway {
        let mut load = LoadedGateway {
            policy: Policy::new(settings, 1),
            now: 1_000_000 * MS,
            last_id: 0,
            in_flight: VecDeque::new(),
            totals: BTreeMap::new(),
            served: 0,
            rejected: 0,
            max_work: 0,
        };
        let entries = (1..=hosts).map(|id| HostEntry { started_at: started, ..entry(id) }).collect();
        load.report(Event::HostList { kind: HostListKind::Full, entries });
        load
    }

    pub fn report(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            let work_before = self.policy.work();
            self.policy.handle(self.now, event, &mut actions);
            self.max_work = self.max_work.max(self.policy.work() - work_before);
            for action in actions {
                match action {
                    Action::Forward { id, host, .. } => {
                        self.in_flight.push_back((self.now + RESPONSE_TIME, id, host))
                    }
                    Action::Reject { .. } | Action::Fail { .. } => self.rejected += 1,
                    Action::AddToCounter { key, amount, .. } => {
                        let total = self.totals.entry(key).or_default();
                        *total += amount;
                        let (outcome, total, elapsed) = (Outcome::Ok, *total, MS);
                        events.push_back(Event::CounterReplied { key, outcome, total, elapsed });
                    }
                    _ => {}
                }
            }
        }
    }

    /// Advances time, and reports the responses and expired timers that fall into it.
    pub fn advance(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now += MS.min(until - self.now);
            while self.in_flight.front().is_some_and(|(at, ..)| *at <= self.now) {
                let Some((_, id, host)) = self.in_flight.pop_front() else { break };
                self.served += 1;
                let end = AttemptEnded {
                    id,
                    attempt: 0,
                    host,
                    outcome: Outcome::Ok,
                    elapsed: RESPONSE_TIME,
                    is_request_closed: true,
                    quota_used: None,
                    actual_units: None,
                    report: None,
                };
                self.report(Event::AttemptEnded(end));
            }
            if self.now % (20 * MS) == 0 {
                self.report(Event::TimerExpired { token: 0 });
            }
        }
    }

    pub fn send_request(&mut self, customer: u64) {
        self.last_id += 1;
        self.report(Event::Request(Request {
            id: RequestId(self.last_id),
            class: (self.last_id % 2) as usize,
            customer: CustomerId(customer),
            remaining: 4_000 * MS,
            units: 1.0,
            set_size: 1,
            ..Request::default()
        }));
    }

    /// Sends this number of requests, one per millisecond, spread over this number of customers. Returns the
    /// mean work per request.
    pub fn mean_work(&mut self, requests: u64, customers: u64) -> f64 {
        let (work_before, requests_before) = (self.policy.work(), self.last_id);
        for n in 0..requests {
            self.send_request(n * 7919 % customers);
            self.advance(MS);
        }
        (self.policy.work() - work_before) as f64 / (self.last_id - requests_before) as f64
    }
}
