//! Load on the decisions of one gateway, in virtual time.
use super::*;
use policy::policy::Policy;
use std::collections::{BTreeMap, VecDeque};

const RESPONSE_TIME: Span = 20 * MS;

/// A single gateway whose hosts and counter always respond, with requests at even intervals.
pub struct Load {
    pub policy: Policy,
    pub now: Time,
    pub next: u64,
    /// Attempts in flight, in the order in which they end.
    pub in_flight: VecDeque<(Time, RequestId, HostId)>,
    pub totals: BTreeMap<CounterKey, f64>,
    pub served: u64,
    pub rejected: u64,
    /// Largest work for one event.
    pub most_work: u64,
}

impl Load {
    pub fn new(hosts: u64, started: Time) -> Load {
        let mut settings = settings();
        settings.gateways = 1;
        settings.plans[0].rate = 1_000.0;
        settings.plans[0].burst = 1_000.0;
        Load::with(settings, hosts, started)
    }

    pub fn with(settings: Settings, hosts: u64, started: Time) -> Load {
        let mut load = Load {
            policy: Policy::new(settings, 1),
            now: 1_000_000 * MS,
            next: 0,
            in_flight: VecDeque::new(),
            totals: BTreeMap::new(),
            served: 0,
            rejected: 0,
            most_work: 0,
        };
        let entries = (1..=hosts).map(|id| HostEntry { started_at: started, ..entry(id) }).collect();
        load.report(Event::HostList { kind: HostListKind::Full, entries });
        load
    }

    pub fn report(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            let before = self.policy.work();
            self.policy.handle(self.now, event, &mut actions);
            self.most_work = self.most_work.max(self.policy.work() - before);
            for action in actions {
                match action {
                    Action::Forward { id, host, .. } => {
                        self.in_flight.push_back((self.now + RESPONSE_TIME, id, host))
                    }
                    Action::Reject { .. } | Action::Fail { .. } => self.rejected += 1,
                    Action::AddToCounter { key: name, amount, .. } => {
                        let total = self.totals.entry(name).or_default();
                        *total += amount;
                        let (outcome, total, elapsed) = (Outcome::Ok, *total, MS);
                        events.push_back(Event::CounterReplied { key: name, outcome, total, elapsed });
                    }
                    _ => {}
                }
            }
        }
    }

    /// Advances time, with the responses and timers of it.
    pub fn pass(&mut self, span: Span) {
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

    pub fn ask(&mut self, customer: u64) {
        self.next += 1;
        self.report(Event::Request(Request {
            id: RequestId(self.next),
            class: (self.next % 2) as usize,
            customer: CustomerId(customer),
            remaining: 4_000 * MS,
            units: 1.0,
            set_size: 1,
            ..Request::default()
        }));
    }

    /// Sends this number of requests, one each millisecond, of these customers in turn; returns the work for
    /// one.
    pub fn cost(&mut self, requests: u64, customers: u64) -> f64 {
        let (before, requests_before) = (self.policy.work(), self.next);
        for n in 0..requests {
            self.ask(n * 7919 % customers);
            self.pass(MS);
        }
        (self.policy.work() - before) as f64 / (self.next - requests_before) as f64
    }
}
