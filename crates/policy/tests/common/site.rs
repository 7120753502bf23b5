//! A closed world for quotas under doubt: gateways, their counter, hosts that answer everything after a while,
//! customers with habits, and a referee. All in virtual time; a world is a function of its description.
use super::counter::{Counter, Trouble};
use super::{class, entry, Dice, MS};
use policy::api::*;
use policy::counter_keys;
use policy::policy::Policy;
use std::collections::BTreeMap;

pub const START: Time = 1_000_000 * MS;
const HOSTS: u64 = 20;
const ANSWERS_IN: Span = 50 * MS;
const PATIENCE: Span = 4_000 * MS;
/// So long clients go on calling a gateway that has died.
const MISSED_IN: Span = 1_000 * MS;
pub const TIMEOUT: Span = 30 * MS;

/// How a customer asks. Up to its rate its requests come evenly, beyond it at random.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Habit {
    /// For so many times its rate, through all of its gateways alike.
    Even(f64),
    /// For so many times its rate, all of it through one gateway, and through another one after so long.
    Shifting(f64, Span),
    /// For so many times its rate, through all of its gateways alike, but between these times all through one: so
    /// that the others do not see what became of it.
    Gathering(f64, Span, Span),
}

impl Habit {
    /// Times its rate.
    pub fn times(self) -> f64 {
        match self {
            Habit::Even(times) | Habit::Shifting(times, _) | Habit::Gathering(times, ..) => times,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Customer {
    pub rate: f64,
    pub burst: f64,
    pub spread: usize,
    pub first: usize,
    /// Requests name 1 to so many units.
    pub most_units: u64,
    /// True units as a multiple of those named.
    pub truth: f64,
    pub habit: Habit,
    /// It appears so long after the start.
    pub from: Span,
}

impl Customer {
    pub fn gateways(&self, all: usize) -> Vec<usize> {
        (0..self.spread).map(|n| (self.first + n) % all).collect()
    }
}

/// A gateway is killed, with all that it knows, and starts anew later.
#[derive(Clone, Copy, Debug)]
pub struct Kill {
    pub gateway: usize,
    pub from: Time,
    pub until: Time,
}

#[derive(Clone, Debug)]
pub struct Plot {
    pub gateways: usize,
    /// So many fleets, alike and by mistake on one counter, divide the gateways; else one.
    pub fleets: usize,
    pub start: Time,
    pub length: Span,
    pub customers: Vec<Customer>,
    pub troubles: Vec<Trouble>,
    pub kills: Vec<Kill>,
    pub seed: u64,
}

/// What the referee saw of a customer. A try takes its units when it is first sent on; the answer tells the
/// true ones.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub passed: f64,
    /// Units that the customer's store holds; below nought what went beyond it.
    store: f64,
    filled: Time,
    /// The most that passed beyond `rate * time + burst`, over any span of time.
    pub beyond: f64,
    /// The most that passed beyond `rate * time + burst`, counted from the start.
    pub beyond_since_start: f64,
    refused_since: Option<Time>,
    /// The longest time that it was refused on end while its store had room, and when that ended.
    pub longest_refused: (Span, Time),
    pub asked: u64,
    pub served: u64,
    pub refused: u64,
}

struct Gateway {
    policy: Option<Policy>,
    life: u32,
    down_since: Time,
}

struct Try {
    customer: usize,
    gateway: usize,
    units: f64,
    truth: f64,
    sent: bool,
    answers: u32,
}

enum Step {
    Start(usize),
    Kill(usize),
    Ask(usize),
    Tell(usize, u32, Event),
}

pub struct Site {
    pub plot: Plot,
    pub now: Time,
    pub counter: Counter,
    gateways: Vec<Gateway>,
    agenda: BTreeMap<(Time, u64), Step>,
    next: u64,
    tries: BTreeMap<RequestId, Try>,
    pub records: Vec<Record>,
    dice: Dice,
    /// Tries whose final answer is owed, or that got more than one.
    pub wrong_answers: Vec<RequestId>,
}

impl Site {
    pub fn new(plot: Plot) -> Site {
        let fresh = |c: &Customer| Record { store: c.burst, filled: plot.start, ..Record::default() };
        let mut site = Site {
            now: plot.start,
            counter: Counter::new(plot.gateways, TIMEOUT, plot.troubles.clone()),
            gateways: (0..plot.gateways).map(|_| Gateway { policy: None, life: 0, down_since: 0 }).collect(),
            agenda: BTreeMap::new(),
            next: 0,
            tries: BTreeMap::new(),
            records: plot.customers.iter().map(fresh).collect(),
            dice: Dice(plot.seed),
            wrong_answers: Vec::new(),
            plot,
        };
        for gateway in 0..site.plot.gateways {
            site.put(site.plot.start + 7 * MS * gateway as u64, Step::Start(gateway));
        }
        for kill in site.plot.kills.clone() {
            site.put(kill.from, Step::Kill(kill.gateway));
            site.put(kill.until, Step::Start(kill.gateway));
        }
        for customer in 0..site.plot.customers.len() {
            let lot = site.dice.below(100) * MS;
            site.put(
                site.plot.start + 50 * MS + site.plot.customers[customer].from + lot,
                Step::Ask(customer),
            );
        }
        site
    }

    fn put(&mut self, at: Time, step: Step) {
        self.next += 1;
        self.agenda.insert((at, self.next), step);
    }

    /// Plays to the end, and until all tries must have had their answers.
    pub fn play(&mut self) {
        self.run(self.plot.start + self.plot.length);
        self.run(self.plot.start + self.plot.length + PATIENCE + 500 * MS);
        let owed = self.tries.iter().filter(|(_, t)| t.answers == 0).map(|(id, _)| *id);
        self.wrong_answers.extend(owed);
    }

    /// Plays until then.
    pub fn run(&mut self, until: Time) {
        while let Some(first) = self.agenda.first_entry().filter(|first| first.key().0 <= until) {
            let ((at, _), step) = first.remove_entry();
            self.now = at;
            match step {
                Step::Start(gateway) => self.start(gateway),
                Step::Kill(gateway) => self.kill(gateway),
                Step::Ask(customer) => self.ask(customer),
                Step::Tell(gateway, life, event) if self.gateways[gateway].life == life => {
                    self.answered(&event);
                    self.tell(gateway, event);
                }
                Step::Tell(..) => {}
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
            gateways: (self.plot.gateways / self.plot.fleets) as u32,
            gateway_index: (me % (self.plot.gateways / self.plot.fleets)) as u32,
            classes: vec![class(1.0, Idempotency::Idempotent)],
            plans: self.plot.customers.iter().map(plan).collect(),
            may_cancel: true,
            max_attempts: 4,
            has_counter: true,
            counter_timeout: TIMEOUT,
            cold_capacity: 0.2,
            warm_up: 10_000 * MS,
            ..Settings::default()
        }
    }

    fn start(&mut self, gateway: usize) {
        if self.gateways[gateway].policy.is_some() {
            return;
        }
        let seed = self.dice.bits();
        self.gateways[gateway].policy = Some(Policy::new(self.settings(gateway), seed));
        let entries = (1..=HOSTS).map(entry).collect();
        self.tell(gateway, Event::HostList { kind: HostListKind::Cached, entries });
    }

    fn kill(&mut self, gateway: usize) {
        let now = self.now;
        let killed = &mut self.gateways[gateway];
        if killed.policy.take().is_some() {
            (killed.life, killed.down_since) = (killed.life + 1, now);
        }
        // Its clients find their connections broken.
        self.tries.retain(|_, t| t.gateway != gateway || t.answers > 0);
    }

    /// The gateway that a customer's next try goes to; clients leave one that they know to be dead.
    fn route(&mut self, customer: usize) -> Option<usize> {
        let c = &self.plot.customers[customer];
        let turn = match c.habit {
            Habit::Gathering(_, from, until) if (from..until).contains(&(self.now - self.plot.start)) => 0,
            Habit::Even(_) | Habit::Gathering(..) => self.dice.below(c.spread as u64) as usize,
            Habit::Shifting(_, every) => ((self.now - self.plot.start) / every) as usize % c.spread,
        };
        let set = c.gateways(self.plot.gateways);
        let missed = |g: &Gateway| g.policy.is_none() && g.down_since + MISSED_IN <= self.now;
        let to = (0..set.len()).map(|n| set[(turn + n) % set.len()]).find(|n| !missed(&self.gateways[*n]));
        to.filter(|n| self.gateways[*n].policy.is_some())
    }

    fn ask(&mut self, customer: usize) {
        if self.now >= self.plot.start + self.plot.length {
            return;
        }
        let c = self.plot.customers[customer].clone();
        let units = 1 + self.dice.below(c.most_units);
        let per_second = c.habit.times() * c.rate / (0.5 * (1 + c.most_units) as f64 * c.truth);
        let gap = match c.habit.times() <= 1.0 {
            true => (0.5 + self.dice.unit()) / per_second,
            false => self.dice.exponential(1.0 / per_second),
        };
        // Whoever stays within its quota waits longer after a larger request.
        let size =
            if c.habit.times() <= 1.0 { units as f64 / (0.5 * (1 + c.most_units) as f64) } else { 1.0 };
        self.put(self.now + (gap * size * 1e9) as Span, Step::Ask(customer));
        let Some(gateway) = self.route(customer) else { return };
        self.next += 1;
        let id = RequestId(self.next);
        let truth = units as f64 * c.truth;
        let units = units as f64;
        self.records[customer].asked += 1;
        self.tries.insert(id, Try { customer, gateway, units, truth, sent: false, answers: 0 });
        let request = Request {
            id,
            plan: customer,
            customer: CustomerId(1 + customer as u64),
            remaining: PATIENCE,
            units,
            set_size: (c.spread / self.plot.fleets) as u32,
            first_gateway: c.first as u32,
            ..Request::default()
        };
        self.tell(gateway, Event::Request(request));
    }

    fn tell(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        let Some(policy) = &mut self.gateways[gateway].policy else { return };
        policy.handle(self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.act(gateway, action));
    }

    fn act(&mut self, gateway: usize, action: Action) {
        let life = self.gateways[gateway].life;
        let later = |event| Step::Tell(gateway, life, event);
        match action {
            Action::SetTimer { after, token } => {
                self.put(self.now + after, later(Event::TimerExpired { token }))
            }
            Action::AddToCounter { key: name, amount, time_to_live: keep } => {
                let lot = self.dice.unit();
                let reply = self.counter.call(self.now, gateway, (name, amount, keep), lot);
                let (outcome, total, took) = (reply.outcome, reply.total, reply.took);
                self.put(
                    self.now + took,
                    later(Event::CounterReplied { key: name, outcome, total, elapsed: took }),
                );
            }
            Action::Forward { id, host, .. } => {
                let truth = self.sent(id);
                let end = AttemptEnded {
                    id,
                    attempt: 0,
                    host,
                    outcome: Outcome::Ok,
                    elapsed: ANSWERS_IN,
                    is_request_closed: true,
                    quota_used: None,
                    actual_units: Some(truth),
                    report: None,
                };
                self.put(self.now + ANSWERS_IN, later(Event::AttemptEnded(end)));
            }
            Action::Reject { id, .. } => self.refused(id),
            Action::Fail { id, .. } => panic!("{id:?} has failed, where no host fails"),
            Action::Cancel { .. } | Action::SubscribeToHosts => {}
        }
    }

    /// Takes the units of a try; gives the true ones.
    fn sent(&mut self, id: RequestId) -> f64 {
        let t = self.tries.get_mut(&id).expect("a try that is open");
        assert!(!t.sent && t.answers == 0, "one attempt is enough where hosts answer");
        t.sent = true;
        let (customer, units, truth) = (t.customer, t.units, t.truth);
        self.records[customer].refused_since = None;
        self.take(customer, units);
        truth
    }

    fn answered(&mut self, event: &Event) {
        let Event::AttemptEnded(end) = event else { return };
        let t = self.tries.get_mut(&end.id).expect("a try that is open");
        t.answers += 1;
        if t.answers > 1 {
            self.wrong_answers.push(end.id);
        }
        let (customer, more) = (t.customer, t.truth - t.units);
        self.records[customer].served += 1;
        self.take(customer, more);
    }

    fn take(&mut self, customer: usize, units: f64) {
        let (c, now) = (&self.plot.customers[customer], self.now);
        let record = &mut self.records[customer];
        record.passed += units;
        record.fill(c, now);
        record.store -= units;
        record.beyond = record.beyond.max(-record.store);
        let allowed = c.rate * (now - self.plot.start) as f64 / 1e9 + c.burst;
        record.beyond_since_start = record.beyond_since_start.max(record.passed - allowed);
    }

    fn refused(&mut self, id: RequestId) {
        let t = self.tries.get_mut(&id).expect("a try that is open");
        t.answers += 1;
        if t.answers > 1 {
            self.wrong_answers.push(id);
        }
        let (c, now, units) = (&self.plot.customers[t.customer], self.now, t.units);
        let record = &mut self.records[t.customer];
        record.refused += 1;
        record.fill(c, now);
        if record.store < units {
            record.refused_since = None;
            return;
        }
        let since = *record.refused_since.get_or_insert(now);
        record.longest_refused = record.longest_refused.max((now - since, now));
    }

    /// Units of a customer that the counter was told of, leased or late; without those that it has forgotten
    /// while their epoch went on, which it is to be told again.
    pub fn told(&self, customer: usize) -> f64 {
        let id = CustomerId(1 + customer as u64);
        let of = |name, epoch| {
            let added = self.counter.added.get(&name).copied().unwrap_or(0.0);
            let forgotten = self.counter.forgotten.get(&name).into_iter().flatten();
            let forgotten =
                forgotten.filter(|(at, _)| at / counter_keys::EPOCH == epoch).map(|(_, units)| units);
            whole(added - forgotten.sum::<f64>())
        };
        let epochs = self.plot.start / counter_keys::EPOCH..=self.now / counter_keys::EPOCH;
        let both = |at: Time| [counter_keys::leased(id, at), counter_keys::reconciled(id, at)];
        epochs.flat_map(|n| both(n * counter_keys::EPOCH).map(|name| of(name, n))).sum()
    }
}

/// Units without the marks behind the point.
fn whole(total: f64) -> f64 {
    libm::floor(total + 0.005)
}

impl Record {
    fn fill(&mut self, c: &Customer, now: Time) {
        self.store = (self.store + c.rate * (now - self.filled) as f64 / 1e9).min(c.burst);
        self.filled = now;
    }
}
