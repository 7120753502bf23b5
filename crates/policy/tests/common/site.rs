//! A simulated site for quotas under failures: gateways, their counter, hosts that always respond, customers
//! with traffic patterns, and a record of what each of them got. Everything runs in virtual time, and a run
//! is a function of its scenario.
use super::counter::{Counter, FaultWindow};
use super::{class, entry, Dice, MS};
use policy::api::*;
use policy::counter_keys;
use policy::policy::Policy;
use std::collections::BTreeMap;

pub const START: Time = 1_000_000 * MS;
const HOSTS: u64 = 20;
const RESPONSE_TIME: Span = 50 * MS;
const REMAINING: Span = 4_000 * MS;
/// Time for which clients keep using a gateway that has died.
const FAILOVER_TIME: Span = 1_000 * MS;
pub const TIMEOUT: Span = 30 * MS;

/// The traffic of a customer. Up to its rate its requests come evenly, beyond it at random.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TrafficPattern {
    /// A multiple of its rate, evenly through all of its gateways.
    Even(f64),
    /// A multiple of its rate, all of it through one gateway, which changes after this time.
    Shifting(f64, Span),
    /// A multiple of its rate, evenly through all of its gateways, but between these times all through one,
    /// so that the others do not observe it.
    Concentrated(f64, Span, Span),
}

impl TrafficPattern {
    /// Returns the load as a multiple of the rate.
    pub fn load_factor(self) -> f64 {
        match self {
            TrafficPattern::Even(times)
            | TrafficPattern::Shifting(times, _)
            | TrafficPattern::Concentrated(times, ..) => times,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Customer {
    pub rate: f64,
    pub burst: f64,
    pub set_size: usize,
    pub first_gateway: usize,
    /// Requests are estimated at 1 up to this number of units.
    pub most_units: u64,
    /// Actual units as a multiple of the estimate.
    pub actual_factor: f64,
    pub traffic: TrafficPattern,
    /// Time after the start at which the customer appears.
    pub from: Span,
}

impl Customer {
    pub fn gateways(&self, all: usize) -> Vec<usize> {
        (0..self.set_size).map(|n| (self.first_gateway + n) % all).collect()
    }
}

/// A gateway is killed, with its state, and starts again later.
#[derive(Clone, Copy, Debug)]
pub struct Kill {
    pub gateway: usize,
    pub from: Time,
    pub until: Time,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub gateways: usize,
    /// Number of sites that are set up alike, by mistake on one counter, and divide the gateways; usually
    /// one.
    pub fleets: usize,
    pub start: Time,
    pub length: Span,
    pub customers: Vec<Customer>,
    pub faults: Vec<FaultWindow>,
    pub kills: Vec<Kill>,
    pub seed: u64,
}

/// What a customer got. A request takes its units when it is first forwarded; its response tells the actual
/// ones.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub forwarded_units: f64,
    /// Units available to the customer; negative for those beyond the quota.
    available: f64,
    filled: Time,
    /// Largest excess over `rate * time + burst`, over any span of time.
    pub max_overshoot: f64,
    /// Largest excess over `rate * time + burst`, counted from the start.
    pub max_overshoot_since_start: f64,
    rejected_since: Option<Time>,
    /// Longest time for which it was rejected while units were available, and when that ended.
    pub longest_rejection: (Span, Time),
    pub asked: u64,
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
    sent: bool,
    answers: u32,
}

enum Step {
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
    agenda: BTreeMap<(Time, u64), Step>,
    last_number: u64,
    requests: BTreeMap<RequestId, OpenRequest>,
    pub records: Vec<Record>,
    random: Dice,
    /// Requests without a final answer, or with more than one.
    pub wrong_answers: Vec<RequestId>,
}

impl Site {
    pub fn new(scenario: Scenario) -> Site {
        let new_record =
            |c: &Customer| Record { available: c.burst, filled: scenario.start, ..Record::default() };
        let mut site = Site {
            now: scenario.start,
            counter: Counter::new(scenario.gateways, TIMEOUT, scenario.faults.clone()),
            gateways: (0..scenario.gateways)
                .map(|_| Gateway { policy: None, incarnation: 0, down_since: 0 })
                .collect(),
            agenda: BTreeMap::new(),
            last_number: 0,
            requests: BTreeMap::new(),
            records: scenario.customers.iter().map(new_record).collect(),
            random: Dice(scenario.seed),
            wrong_answers: Vec::new(),
            scenario,
        };
        for gateway in 0..site.scenario.gateways {
            site.put(site.scenario.start + 7 * MS * gateway as u64, Step::Start(gateway));
        }
        for kill in site.scenario.kills.clone() {
            site.put(kill.from, Step::Kill(kill.gateway));
            site.put(kill.until, Step::Start(kill.gateway));
        }
        for customer in 0..site.scenario.customers.len() {
            let draw = site.random.below(100) * MS;
            site.put(
                site.scenario.start + 50 * MS + site.scenario.customers[customer].from + draw,
                Step::Request(customer),
            );
        }
        site
    }

    fn put(&mut self, at: Time, step: Step) {
        self.last_number += 1;
        self.agenda.insert((at, self.last_number), step);
    }

    /// Runs to the end, and until all requests must have had their answers.
    pub fn run_to_end(&mut self) {
        self.run(self.scenario.start + self.scenario.length);
        self.run(self.scenario.start + self.scenario.length + REMAINING + 500 * MS);
        let unanswered = self.requests.iter().filter(|(_, t)| t.answers == 0).map(|(id, _)| *id);
        self.wrong_answers.extend(unanswered);
    }

    /// Runs until this time.
    pub fn run(&mut self, until: Time) {
        while let Some(first) = self.agenda.first_entry().filter(|first| first.key().0 <= until) {
            let ((at, _), step) = first.remove_entry();
            self.now = at;
            match step {
                Step::Start(gateway) => self.start(gateway),
                Step::Kill(gateway) => self.kill(gateway),
                Step::Request(customer) => self.ask(customer),
                Step::Deliver(gateway, incarnation, event)
                    if self.gateways[gateway].incarnation == incarnation =>
                {
                    self.answered(&event);
                    self.report(gateway, event);
                }
                Step::Deliver(..) => {}
            }
        }
        self.now = until;
    }

    fn settings(&self, me: usize) -> Settings {
        let plan = |c: &Customer| Plan {
            rate: c.rate,
            burst: c.burst,
            weight_factor: 1.0,
            over_quota_cost: 0.6,
            ..Plan::default()
        };
        Settings {
            gateways: (self.scenario.gateways / self.scenario.fleets) as u32,
            gateway_index: (me % (self.scenario.gateways / self.scenario.fleets)) as u32,
            classes: vec![class(1.0, Idempotency::Idempotent)],
            plans: self.scenario.customers.iter().map(plan).collect(),
            may_cancel: true,
            max_attempts: 4,
            has_counter: true,
            counter_timeout: TIMEOUT,
            initial_capacity: 0.2,
            warm_up: 10_000 * MS,
            ..Settings::default()
        }
    }

    fn start(&mut self, gateway: usize) {
        if self.gateways[gateway].policy.is_some() {
            return;
        }
        let seed = self.random.bits();
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
        // The connections of its clients break.
        self.requests.retain(|_, t| t.gateway != gateway || t.answers > 0);
    }

    /// Returns the gateway that a customer's next request is sent to; clients leave one that they know to be
    /// dead.
    fn route(&mut self, customer: usize) -> Option<usize> {
        let c = &self.scenario.customers[customer];
        let turn = match c.traffic {
            TrafficPattern::Concentrated(_, from, until)
                if (from..until).contains(&(self.now - self.scenario.start)) =>
            {
                0
            }
            TrafficPattern::Even(_) | TrafficPattern::Concentrated(..) => {
                self.random.below(c.set_size as u64) as usize
            }
            TrafficPattern::Shifting(_, every) => {
                ((self.now - self.scenario.start) / every) as usize % c.set_size
            }
        };
        let set = c.gateways(self.scenario.gateways);
        let missed = |g: &Gateway| g.policy.is_none() && g.down_since + FAILOVER_TIME <= self.now;
        let to = (0..set.len()).map(|n| set[(turn + n) % set.len()]).find(|n| !missed(&self.gateways[*n]));
        to.filter(|n| self.gateways[*n].policy.is_some())
    }

    fn ask(&mut self, customer: usize) {
        if self.now >= self.scenario.start + self.scenario.length {
            return;
        }
        let c = self.scenario.customers[customer].clone();
        let units = 1 + self.random.below(c.most_units);
        let per_second =
            c.traffic.load_factor() * c.rate / (0.5 * (1 + c.most_units) as f64 * c.actual_factor);
        let gap = match c.traffic.load_factor() <= 1.0 {
            true => (0.5 + self.random.unit()) / per_second,
            false => self.random.exponential(1.0 / per_second),
        };
        // A customer within its quota waits longer after a larger request.
        let size = if c.traffic.load_factor() <= 1.0 {
            units as f64 / (0.5 * (1 + c.most_units) as f64)
        } else {
            1.0
        };
        self.put(self.now + (gap * size * 1e9) as Span, Step::Request(customer));
        let Some(gateway) = self.route(customer) else { return };
        self.last_number += 1;
        let id = RequestId(self.last_number);
        let actual_units = units as f64 * c.actual_factor;
        let units = units as f64;
        self.records[customer].asked += 1;
        self.requests
            .insert(id, OpenRequest { customer, gateway, units, actual_units, sent: false, answers: 0 });
        let request = Request {
            id,
            plan: customer,
            customer: CustomerId(1 + customer as u64),
            remaining: REMAINING,
            units,
            set_size: (c.set_size / self.scenario.fleets) as u32,
            first_gateway: c.first_gateway as u32,
            ..Request::default()
        };
        self.report(gateway, Event::Request(request));
    }

    fn report(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        let Some(policy) = &mut self.gateways[gateway].policy else { return };
        policy.handle(self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.act(gateway, action));
    }

    fn act(&mut self, gateway: usize, action: Action) {
        let incarnation = self.gateways[gateway].incarnation;
        let later = |event| Step::Deliver(gateway, incarnation, event);
        match action {
            Action::SetTimer { after, token } => {
                self.put(self.now + after, later(Event::TimerExpired { token }))
            }
            Action::AddToCounter { key: name, amount, time_to_live } => {
                let draw = self.random.unit();
                let reply = self.counter.call(self.now, gateway, (name, amount, time_to_live), draw);
                let (outcome, total, elapsed) = (reply.outcome, reply.total, reply.elapsed);
                self.put(
                    self.now + elapsed,
                    later(Event::CounterReplied { key: name, outcome, total, elapsed }),
                );
            }
            Action::Forward { id, host, .. } => {
                let actual_units = self.sent(id);
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
                self.put(self.now + RESPONSE_TIME, later(Event::AttemptEnded(end)));
            }
            Action::Reject { id, .. } => self.rejected(id),
            Action::Fail { id, .. } => panic!("{id:?} has failed, where no host fails"),
            Action::Cancel { .. } | Action::SubscribeToHosts => {}
        }
    }

    /// Takes the units of a request; returns the actual ones.
    fn sent(&mut self, id: RequestId) -> f64 {
        let t = self.requests.get_mut(&id).expect("a try that is open");
        assert!(!t.sent && t.answers == 0, "one attempt is enough where hosts answer");
        t.sent = true;
        let (customer, units, actual_units) = (t.customer, t.units, t.actual_units);
        self.records[customer].rejected_since = None;
        self.take(customer, units);
        actual_units
    }

    fn answered(&mut self, event: &Event) {
        let Event::AttemptEnded(end) = event else { return };
        let t = self.requests.get_mut(&end.id).expect("a try that is open");
        t.answers += 1;
        if t.answers > 1 {
            self.wrong_answers.push(end.id);
        }
        let (customer, more) = (t.customer, t.actual_units - t.units);
        self.records[customer].served += 1;
        self.take(customer, more);
    }

    fn take(&mut self, customer: usize, units: f64) {
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

    fn rejected(&mut self, id: RequestId) {
        let t = self.requests.get_mut(&id).expect("a try that is open");
        t.answers += 1;
        if t.answers > 1 {
            self.wrong_answers.push(id);
        }
        let (c, now, units) = (&self.scenario.customers[t.customer], self.now, t.units);
        let record = &mut self.records[t.customer];
        record.rejected += 1;
        record.fill(c, now);
        if record.available < units {
            record.rejected_since = None;
            return;
        }
        let since = *record.rejected_since.get_or_insert(now);
        record.longest_rejection = record.longest_rejection.max((now - since, now));
    }

    /// Returns the units of a customer on the counter, leased or reconciled, without those that it has lost
    /// while their epoch lasted, which are added again.
    pub fn counted_units(&self, customer: usize) -> f64 {
        let id = CustomerId(1 + customer as u64);
        let of = |name, epoch| {
            let added = self.counter.added.get(&name).copied().unwrap_or(0.0);
            let forgotten = self.counter.forgotten.get(&name).into_iter().flatten();
            let forgotten =
                forgotten.filter(|(at, _)| at / counter_keys::EPOCH == epoch).map(|(_, units)| units);
            without_marks(added - forgotten.sum::<f64>())
        };
        let epochs = self.scenario.start / counter_keys::EPOCH..=self.now / counter_keys::EPOCH;
        let both = |at: Time| [counter_keys::leased(id, at), counter_keys::reconciled(id, at)];
        epochs.flat_map(|n| both(n * counter_keys::EPOCH).map(|name| of(name, n))).sum()
    }
}

/// Returns the units of a total without the contribution marks after the decimal point.
fn without_marks(total: f64) -> f64 {
    libm::floor(total + 0.005)
}

impl Record {
    fn fill(&mut self, c: &Customer, now: Time) {
        self.available = (self.available + c.rate * (now - self.filled) as f64 / 1e9).min(c.burst);
        self.filled = now;
    }
}
