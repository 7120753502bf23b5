//! A simulated site for quotas under failures: gateways, their counter, hosts that always respond, and
//! customers with traffic patterns, with a record of the units that each customer got. Everything runs in
//! virtual time, and the result depends on the scenario only.
use super::counter::{Counter, FaultWindow};
use super::{class, entry, Prng, MS};
use policy::api::*;
use policy::counter_keys;
use policy::policy::Policy;
use std::collections::BTreeMap;

pub const START: Time = 1_000_000 * MS;
const HOSTS: u64 = 20;
const RESPONSE_TIME: Span = 50 * MS;
const REMAINING_DEADLINE: Span = 4_000 * MS;
/// Time for which clients keep using a gateway that was killed.
const FAILOVER_TIME: Span = 1_000 * MS;
pub const COUNTER_TIMEOUT: Span = 30 * MS;

/// The traffic of a customer. Requests arrive at nearly even intervals up to the customer's rate, and at
/// random beyond it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TrafficPattern {
    /// A multiple of the rate, spread evenly over all of the customer's gateways.
    Even(f64),
    /// A multiple of the rate, all at one gateway, which changes each time this duration has passed.
    Shifting(f64, Span),
    /// A multiple of the rate, spread evenly over all of the customer's gateways, except between these times,
    /// when all of it is at one gateway and the others do not observe the customer.
    Concentrated(f64, Span, Span),
}

impl TrafficPattern {
    /// Returns the load as a multiple of the rate.
    pub fn load_factor(self) -> f64 {
        match self {
            TrafficPattern::Even(factor)
            | TrafficPattern::Shifting(factor, _)
            | TrafficPattern::Concentrated(factor, ..) => factor,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Customer {
    pub rate: f64,
    pub burst: f64,
    pub set_size: usize,
    pub first_gateway: usize,
    /// Requests are estimated to cost from 1 up to this number of units.
    pub max_units: u64,
    /// Actual units as a multiple of the estimate.
    pub actual_factor: f64,
    pub traffic: TrafficPattern,
    /// Time after the start at which the customer appears.
    pub from: Span,
}

impl Customer {
    pub fn gateways(&self, total: usize) -> Vec<usize> {
        (0..self.set_size).map(|n| (self.first_gateway + n) % total).collect()
    }
}

/// A gateway is killed, loses its state, and is started again later.
#[derive(Clone, Copy, Debug)]
pub struct Kill {
    pub gateway: usize,
    pub from: Time,
    pub until: Time,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub gateways: usize,
    /// Number of sites among which the gateways are divided; usually one. Several sites have the same
    /// settings and share the counter, which is a configuration error.
    pub sites: usize,
    pub start: Time,
    pub length: Span,
    pub customers: Vec<Customer>,
    pub faults: Vec<FaultWindow>,
    pub kills: Vec<Kill>,
    pub seed: u64,
}

/// The units and final answers that a customer got. A request spends its estimated units when it is first
/// forwarded, and the difference to the actual units when its response arrives.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub forwarded_units: f64,
    /// Units available in the customer's token bucket; negative once the quota is exceeded.
    available: f64,
    filled: Time,
    /// Largest excess over `rate * time + burst` in any interval.
    pub max_overshoot: f64,
    /// Largest excess over `rate * time + burst` in any interval that begins at the start.
    pub max_overshoot_since_start: f64,
    rejected_since: Option<Time>,
    /// Longest time for which requests were rejected while units were available, and when it ended.
    pub longest_rejection: (Span, Time),
    pub requests: u64,
    pub served: u64,
    pub rejected: u64,
}

struct Gateway {
    policy: Option<Policy>,
    incarnation: u32,
    down_since: Time,
}

struct OpenRequest {
    customer: usize,
    gateway: usize,
    units: f64,
    actual_units: f64,
    is_forwarded: bool,
    final_answers: u32,
}

enum ScheduledStep {
    Start(usize),
    Kill(usize),
    Request(usize),
    Deliver(usize, u32, Event),
}

pub struct Site {
    pub scenario: Scenario,
    pub now: Time,
    pub counter: Counter,
    gateways: Vec<Gateway>,
    schedule: BTreeMap<(Time, u64), ScheduledStep>,
    last_number: u64,
    requests: BTreeMap<RequestId, OpenRequest>,
    pub records: Vec<Record>,
    prng: Prng,
    /// Requests that got no final answer, or more than one.
    pub wrong_answers: Vec<RequestId>,
}

impl Site {
    pub fn new(scenario: Scenario) -> Site {
        let new_record =
            |c: &Customer| Record { available: c.burst, filled: scenario.start, ..Record::default() };
        let mut site = Site {
            now: scenario.start,
            counter: Counter::new(scenario.gateways, COUNTER_TIMEOUT, scenario.faults.clone()),
            gateways: (0..scenario.gateways)
                .map(|_| Gateway { policy: None, incarnation: 0, down_since: 0 })
                .collect(),
            schedule: BTreeMap::new(),
            last_number: 0,
            requests: BTreeMap::new(),
            records: scenario.customers.iter().map(new_record).collect(),
            prng: Prng(scenario.seed),
            wrong_answers: Vec::new(),
            scenario,
        };
        for gateway in 0..site.scenario.gateways {
            site.schedule(site.scenario.start + 7 * MS * gateway as u64, ScheduledStep::Start(gateway));
        }
        for kill in site.scenario.kills.clone() {
            site.schedule(kill.from, ScheduledStep::Kill(kill.gateway));
            site.schedule(kill.until, ScheduledStep::Start(kill.gateway));
        }
        for customer in 0..site.scenario.customers.len() {
            let draw = site.prng.below(100) * MS;
            site.schedule(
                site.scenario.start + 50 * MS + site.scenario.customers[customer].from + draw,
                ScheduledStep::Request(customer),
            );
        }
        site
    }

    fn schedule(&mut self, at: Time, step: ScheduledStep) {
        self.last_number += 1;
        self.schedule.insert((at, self.last_number), step);
    }

    /// Runs to the end of the scenario, and on until each request should have its final answer.
    pub fn run_to_end(&mut self) {
        self.run(self.scenario.start + self.scenario.length);
        self.run(self.scenario.start + self.scenario.length + REMAINING_DEADLINE + 500 * MS);
        let unanswered =
            self.requests.iter().filter(|(_, request)| request.final_answers == 0).map(|(id, _)| *id);
        self.wrong_answers.extend(unanswered);
    }

    /// Runs until this time.
    pub fn run(&mut self, until: Time) {
        while let Some(first) = self.schedule.first_entry().filter(|first| first.key().0 <= until) {
            let ((at, _), step) = first.remove_entry();
            self.now = at;
            match step {
                ScheduledStep::Start(gateway) => self.start(gateway),
                ScheduledStep::Kill(gateway) => self.kill(gateway),
                ScheduledStep::Request(customer) => self.send_request(customer),
                ScheduledStep::Deliver(gateway, incarnation, event)
                    if self.gateways[gateway].incarnation == incarnation =>
                {
                    self.record_response(&event);
                    self.report(gateway, event);
                }
                ScheduledStep::Deliver(..) => {}
            }
        }
        self.now = until;
    }

    fn settings(&self, gateway_index: usize) -> Settings {
        let plan = |c: &Customer| Plan {
            rate: c.rate,
            burst: c.burst,
            weight_factor: 1.0,
            over_quota_cost: 0.6,
            ..Plan::default()
        };
        Settings {
            gateways: (self.scenario.gateways / self.scenario.sites) as u32,
            gateway_index: (gateway_index % (self.scenario.gateways / self.scenario.sites)) as u32,
            classes: vec![class(1.0, Idempotency::Idempotent)],
            plans: self.scenario.customers.iter().map(plan).collect(),
            may_cancel: true,
            max_attempts: 4,
            has_counter: true,
            counter_timeout: COUNTER_TIMEOUT,
            initial_capacity: 0.2,
            warm_up: 10_000 * MS,
            ..Settings::default()
        }
    }

    fn start(&mut self, gateway: usize) {
        if self.gateways[gateway].policy.is_some() {
            return;
        }
        let seed = self.prng.next_u64();
        self.gateways[gateway].policy = Some(Policy::new(self.settings(gateway), seed));
        let entries = (1..=HOSTS).map(entry).collect();
        self.report(gateway, Event::HostList { kind: HostListKind::Cached, entries });
    }

    fn kill(&mut self, gateway: usize) {
        let now = self.now;
        let killed = &mut self.gateways[gateway];
        if killed.policy.take().is_some() {
            (killed.incarnation, killed.down_since) = (killed.incarnation + 1, now);
        }
        // Its clients lose their connections, so their requests get no final answer.
        self.requests.retain(|_, request| request.gateway != gateway || request.final_answers > 0);
    }

    /// Returns the gateway that a customer's next request is sent to, `None` if it was killed. Clients fail
    /// over from a gateway that they have detected as dead.
    fn route(&mut self, customer: usize) -> Option<usize> {
        let c = &self.scenario.customers[customer];
        let position = match c.traffic {
            TrafficPattern::Concentrated(_, from, until)
                if (from..until).contains(&(self.now - self.scenario.start)) =>
            {
                0
            }
            TrafficPattern::Even(_) | TrafficPattern::Concentrated(..) => {
                self.prng.below(c.set_size as u64) as usize
            }
            TrafficPattern::Shifting(_, every) => {
                ((self.now - self.scenario.start) / every) as usize % c.set_size
            }
        };
        let set = c.gateways(self.scenario.gateways);
        let is_known_dead = |g: &Gateway| g.policy.is_none() && g.down_since + FAILOVER_TIME <= self.now;
        let to = (0..set.len())
            .map(|n| set[(position + n) % set.len()])
            .find(|n| !is_known_dead(&self.gateways[*n]));
        to.filter(|n| self.gateways[*n].policy.is_some())
    }

    fn send_request(&mut self, customer: usize) {
        if self.now >= self.scenario.start + self.scenario.length {
            return;
        }
        let c = self.scenario.customers[customer].clone();
        let units = 1 + self.prng.below(c.max_units);
        let requests_per_second =
            c.traffic.load_factor() * c.rate / (0.5 * (1 + c.max_units) as f64 * c.actual_factor);
        let interval = match c.traffic.load_factor() <= 1.0 {
            true => (0.5 + self.prng.uniform()) / requests_per_second,
            false => self.prng.exponential(1.0 / requests_per_second),
        };
        // A customer within its quota waits in proportion to the units of its request.
        let relative_size = if c.traffic.load_factor() <= 1.0 {
            units as f64 / (0.5 * (1 + c.max_units) as f64)
        } else {
            1.0
        };
        self.schedule(self.now + (interval * relative_size * 1e9) as Span, ScheduledStep::Request(customer));
        let Some(gateway) = self.route(customer) else { return };
        self.last_number += 1;
        let id = RequestId(self.last_number);
        let actual_units = units as f64 * c.actual_factor;
        let units = units as f64;
        self.records[customer].requests += 1;
        self.requests.insert(
            id,
            OpenRequest { customer, gateway, units, actual_units, is_forwarded: false, final_answers: 0 },
        );
        let request = Request {
            id,
            plan: customer,
            customer: CustomerId(1 + customer as u64),
            remaining: REMAINING_DEADLINE,
            units,
            set_size: (c.set_size / self.scenario.sites) as u32,
            first_gateway: c.first_gateway as u32,
            ..Request::default()
        };
        self.report(gateway, Event::Request(request));
    }

    fn report(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        let Some(policy) = &mut self.gateways[gateway].policy else { return };
        policy.handle(self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.execute(gateway, action));
    }

    fn execute(&mut self, gateway: usize, action: Action) {
        let incarnation = self.gateways[gateway].incarnation;
        let deliver = |event| ScheduledStep::Deliver(gateway, incarnation, event);
        match action {
            Action::SetTimer { after, token } => {
                self.schedule(self.now + after, deliver(Event::TimerExpired { token }))
            }
            Action::AddToCounter { key, amount, time_to_live } => {
                let draw = self.prng.uniform();
                let reply = self.counter.call(self.now, gateway, (key, amount, time_to_live), draw);
                let (outcome, total, elapsed) = (reply.outcome, reply.total, reply.elapsed);
                self.schedule(
                    self.now + elapsed,
                    deliver(Event::CounterReplied { key, outcome, total, elapsed }),
                );
            }
            Action::Forward { id, host, .. } => {
                let actual_units = self.forward(id);
                let end = AttemptEnded {
                    id,
                    attempt: 0,
                    host,
                    outcome: Outcome::Ok,
                    elapsed: RESPONSE_TIME,
                    is_request_closed: true,
                    quota_used: None,
                    actual_units: Some(actual_units),
                    report: None,
                };
                self.schedule(self.now + RESPONSE_TIME, deliver(Event::AttemptEnded(end)));
            }
            Action::Reject { id, .. } => self.record_rejection(id),
            Action::Fail { id, .. } => panic!("{id:?} has failed although no host fails"),
            Action::Cancel { .. } | Action::SubscribeToHosts => {}
        }
    }

    /// Charges the estimated units of a request to its customer; returns the actual units.
    fn forward(&mut self, id: RequestId) -> f64 {
        let request = self.requests.get_mut(&id).expect("an open request");
        assert!(
            !request.is_forwarded && request.final_answers == 0,
            "a single attempt, since all hosts respond"
        );
        request.is_forwarded = true;
        let (customer, units, actual_units) = (request.customer, request.units, request.actual_units);
        self.records[customer].rejected_since = None;
        self.spend(customer, units);
        actual_units
    }

    fn record_response(&mut self, event: &Event) {
        let Event::AttemptEnded(end) = event else { return };
        let request = self.requests.get_mut(&end.id).expect("an open request");
        request.final_answers += 1;
        if request.final_answers > 1 {
            self.wrong_answers.push(end.id);
        }
        let (customer, further_units) = (request.customer, request.actual_units - request.units);
        self.records[customer].served += 1;
        self.spend(customer, further_units);
    }

    fn spend(&mut self, customer: usize, units: f64) {
        let (c, now) = (&self.scenario.customers[customer], self.now);
        let record = &mut self.records[customer];
        record.forwarded_units += units;
        record.fill(c, now);
        record.available -= units;
        record.max_overshoot = record.max_overshoot.max(-record.available);
        let allowed = c.rate * (now - self.scenario.start) as f64 / 1e9 + c.burst;
        record.max_overshoot_since_start =
            record.max_overshoot_since_start.max(record.forwarded_units - allowed);
    }

    fn record_rejection(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).expect("an open request");
        request.final_answers += 1;
        if request.final_answers > 1 {
            self.wrong_answers.push(id);
        }
        let (c, now, units) = (&self.scenario.customers[request.customer], self.now, request.units);
        let record = &mut self.records[request.customer];
        record.rejected += 1;
        record.fill(c, now);
        if record.available < units {
            record.rejected_since = None;
            return;
        }
        let since = *record.rejected_since.get_or_insert(now);
        record.longest_rejection = record.longest_rejection.max((now - since, now));
    }

    /// Returns the units of a customer that are on the counter, leased or reconciled. Units that the counter
    /// has lost during their epoch are not included: the gateways add them again.
    pub fn counted_units(&self, customer: usize) -> f64 {
        let id = CustomerId(1 + customer as u64);
        let units_of_entry = |key, epoch| {
            let added = self.counter.added.get(&key).copied().unwrap_or(0.0);
            let lost_by_reset = self.counter.lost_by_reset.get(&key).into_iter().flatten();
            let lost_by_reset =
                lost_by_reset.filter(|(at, _)| at / counter_keys::EPOCH == epoch).map(|(_, units)| units);
            without_marks(added - lost_by_reset.sum::<f64>())
        };
        let epochs = self.scenario.start / counter_keys::EPOCH..=self.now / counter_keys::EPOCH;
        let keys = |at: Time| [counter_keys::leased(id, at), counter_keys::reconciled(id, at)];
        epochs.flat_map(|n| keys(n * counter_keys::EPOCH).map(|key| units_of_entry(key, n))).sum()
    }
}

/// Returns the units of a total, without the contribution marks in its fractional part.
fn without_marks(total: f64) -> f64 {
    libm::floor(total + 0.005)
}

impl Record {
    fn fill(&mut self, c: &Customer, now: Time) {
        self.available = (self.available + c.rate * (now - self.filled) as f64 / 1e9).min(c.burst);
        self.filled = now;
    }
}
