//! A load on one gateway's decisions, in time of its own.
use super::*;
use policy::policy::Policy;
use std::collections::{BTreeMap, VecDeque};

const ANSWERS_IN: Span = 20 * MS;

/// A gateway alone whose hosts and counter answer after a while, and which is asked at even distances.
pub struct Load {
    pub policy: Policy,
    pub now: Time,
    pub next: u64,
    /// Attempts that are out, in the order in which they end.
    pub out: VecDeque<(Time, RequestId, HostId)>,
    pub totals: BTreeMap<CounterKey, f64>,
    pub served: u64,
    pub refused: u64,
    /// The most that one event cost.
    pub most: u64,
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
            out: VecDeque::new(),
            totals: BTreeMap::new(),
            served: 0,
            refused: 0,
            most: 0,
        };
        let entries = (1..=hosts).map(|id| HostEntry { started_at: started, ..entry(id) }).collect();
        load.tell(Event::HostList { kind: HostListKind::Full, entries });
        load
    }

    pub fn tell(&mut self, event: Event) {
        let mut news = VecDeque::from([event]);
        while let Some(event) = news.pop_front() {
            let mut actions = Vec::new();
            let before = self.policy.work();
            self.policy.handle(self.now, event, &mut actions);
            self.most = self.most.max(self.policy.work() - before);
            for action in actions {
                match action {
                    Action::Forward { id, host, .. } => self.out.push_back((self.now + ANSWERS_IN, id, host)),
                    Action::Reject { .. } | Action::Fail { .. } => self.refused += 1,
                    Action::AddToCounter { key: name, amount, .. } => {
                        let total = self.totals.entry(name).or_default();
                        *total += amount;
                        let (outcome, total, took) = (Outcome::Ok, *total, MS);
                        news.push_back(Event::CounterReplied { key: name, outcome, total, elapsed: took });
                    }
                    _ => {}
                }
            }
        }
    }

    /// Time goes on, with what it brings.
    pub fn pass(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now += MS.min(until - self.now);
            while self.out.front().is_some_and(|(at, ..)| *at <= self.now) {
                let Some((_, id, host)) = self.out.pop_front() else { break };
                self.served += 1;
                let end = AttemptEnded {
                    id,
                    attempt: 0,
                    host,
                    outcome: Outcome::Ok,
                    elapsed: ANSWERS_IN,
                    is_request_closed: true,
                    quota_used: None,
                    actual_units: None,
                    report: None,
                };
                self.tell(Event::AttemptEnded(end));
            }
            if self.now % (20 * MS) == 0 {
                self.tell(Event::TimerExpired { token: 0 });
            }
        }
    }

    pub fn ask(&mut self, customer: u64) {
        self.next += 1;
        self.tell(Event::Request(Request {
            id: RequestId(self.next),
            class: (self.next % 2) as usize,
            customer: CustomerId(customer),
            remaining: 4_000 * MS,
            units: 1.0,
            set_size: 1,
            ..Request::default()
        }));
    }

    /// So many requests, one each millisecond, of these customers in turn; gives what one costs.
    pub fn cost(&mut self, requests: u64, customers: u64) -> f64 {
        let (before, asked) = (self.policy.work(), self.next);
        for n in 0..requests {
            self.ask(n * 7919 % customers);
            self.pass(MS);
        }
        (self.policy.work() - before) as f64 / (self.next - asked) as f64
    }
}
