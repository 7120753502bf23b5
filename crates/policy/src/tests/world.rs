//! One module under random legal events, and a gateway in its smallest form that carries out what the module
//! wants. After each event the five rules are checked, and what the module keeps is held against what there
//! is.

use crate::api::*;
use crate::attempts::request::{InFlightRequest, RequestState};
use crate::policy::Policy;
use crate::quota::counter_keys::CounterNumber;
use crate::timers::TIMER_STEP;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const MS: Span = 1_000_000;
/// Within so much after its time a request has its answer: due moments are rounded up.
const LATE: Span = 8 * MS;

/// What happens next.
#[derive(Clone, Debug)]
pub enum Step {
    Request {
        class: usize,
        plan: usize,
        customer: u64,
        units: u8,
        patience: u16,
        ago: u8,
        route: usize,
    },
    End {
        pick: usize,
        outcome: Outcome,
        units: u8,
    },
    Count {
        pick: usize,
        answer: usize,
    },
    Leave {
        pick: usize,
    },
    /// The client has gone; the word of it is on its way behind what happens now.
    Go {
        pick: usize,
    },
    Host {
        id: u64,
        state: HostState,
        start: Start,
    },
    /// A whole list of these hosts, a bit each.
    Whole {
        mask: u8,
        kind: HostListKind,
    },
    Plans {
        change: usize,
    },
    Shed {
        cell: usize,
        keep: u8,
    },
    Probe {
        id: u64,
        outcome: Outcome,
        queue: u8,
    },
    Timer {
        token: u32,
    },
    Unknown {
        what: usize,
    },
    Pass {
        ms: u16,
    },
    /// The process is stopped for so long: nothing is told, and all that was due comes late.
    Stop {
        ms: u16,
    },
    /// Time goes on up to a moment that matters, or a nanosecond to either side; what is due then has not
    /// come yet.
    Meet {
        pick: usize,
        moment: usize,
        off: i64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Start {
    Same,
    Anew,
    /// Also in another zone and cell.
    Elsewhere,
}

/// A deployment, and how its gateway goes about things.
#[derive(Clone, Debug)]
pub struct Given {
    pub settings: Settings,
    pub hosts: u64,
    /// Attempts that are withdrawn end at once, as at the gateway; else as they are drawn.
    pub is_prompt: bool,
    /// Of what is due in one instant, timers come first.
    pub timers_first: bool,
    /// The counter tells what was added, or that nothing was.
    pub is_honest: bool,
}

const ROUTES: [Route; 4] = [
    Route { pools: 0, fallback: 0, limit: None },
    Route { pools: 1, fallback: 2, limit: None },
    Route { pools: 2, fallback: 0, limit: Some(RouteLimit { route: 1, max_in_flight: 1 }) },
    Route { pools: 0, fallback: 0, limit: Some(RouteLimit { route: 2, max_in_flight: 2 }) },
];

fn effect() -> impl Strategy<Value = Idempotency> {
    let scope = prop_oneof![Just(DedupScope::All), Just(DedupScope::Zone), Just(DedupScope::Cell)];
    let window = prop::sample::select(vec![0, 1, 50 * MS, 150 * MS, 400 * MS, 2_000 * MS, 20_000 * MS]);
    prop_oneof![
        2 => Just(Idempotency::Idempotent),
        1 => Just(Idempotency::NotIdempotent),
        2 => (scope, window).prop_map(|(scope, window)| Idempotency::WithKey(scope, window)),
    ]
}

fn class() -> impl Strategy<Value = Class> {
    let times = [(1_000, 4_000), (600, 1_500), (100, 100), (400, 400), (60, 100), (0, 500), (2_000, 500)];
    let worth = prop::sample::select(vec![0.0, 1.0, 5.0]);
    let late_worth = prop::sample::select(vec![0.0, 0.2]);
    (effect(), prop::sample::select(times.to_vec()), worth, late_worth).prop_map(
        |(effect, (aim, deadline), worth, late_worth)| Class {
            latency_objective: aim * MS,
            deadline: deadline * MS,
            priority_weight: worth,
            late_fraction: late_worth,
            idempotency: effect,
            ..Class::default()
        },
    )
}

fn plan() -> impl Strategy<Value = Plan> {
    let pick = |values: &[f64]| prop::sample::select(values.to_vec());
    let open = prop::sample::select(vec![0, 0, 1, 6]);
    (pick(&[0.0, 2.0, 10.0, 1_000.0]), pick(&[1.0, 20.0]), open, pick(&[0.0, 0.0, 3.0]), any::<bool>())
        .prop_map(|(rate, burst, open, ceiling_rate, earns)| Plan {
            rate,
            burst,
            max_concurrent: open,
            weight_factor: 1.0,
            over_quota_weight: if earns { 0.3 } else { 0.0 },
            over_quota_cost: if earns { 0.0 } else { 0.6 },
            ceiling_rate,
            ceiling_burst: 8.0,
            ..Plan::default()
        })
}

pub fn given() -> impl Strategy<Value = Given> {
    let classes = prop::collection::vec(class(), 1..4);
    let plans = prop::collection::vec(plan(), 1..3);
    let sizes = (prop::sample::select(vec![1_u32, 3, 40]), 0..5_u32, 1..7_u64);
    let cold = prop::sample::select(vec![0, 2_000 * MS]);
    let room = prop::sample::select(vec![0, 4_000, 1 << 20]);
    let flags = any::<[bool; 8]>();
    (classes, plans, sizes, cold, room, flags).prop_map(|(classes, plans, sizes, cold, customer_bytes, flags)| {
        let [may_cancel, may_duplicate, counter, must_subscribe, advises, is_prompt, timers_first, is_honest] = flags;
        let (gateways, max_attempts, hosts) = sizes;
        let settings = Settings {
            gateways,
            classes,
            plans,
            may_cancel,
            may_hedge: may_duplicate,
            max_attempts,
            has_counter: counter,
            counter_timeout: 30 * MS,
            must_subscribe,
            must_poll_within: 1_000 * MS,
            max_retry_after: advises.then_some(1_000 * MS),
            cold_capacity: 0.2,
            warm_up: cold,
            customer_bytes,
            ..Settings::default()
        };
        Given { settings, hosts, is_prompt, timers_first, is_honest }
    })
}

fn outcome() -> impl Strategy<Value = Outcome> {
    use Outcome::*;
    prop::sample::select(vec![
        Ok,
        Ok,
        Ok,
        Error,
        Rejected,
        Timeout,
        ConnectFailed,
        ConnectionReset,
        Cancelled,
        NotSent,
    ])
}

fn of_host() -> impl Strategy<Value = Step> {
    let state =
        prop::sample::select(vec![HostState::Ready, HostState::Ready, HostState::Draining, HostState::Gone]);
    let start = prop::sample::select(vec![Start::Same, Start::Anew, Start::Elsewhere]);
    let kind = prop::sample::select(vec![HostListKind::Full, HostListKind::Cached, HostListKind::Failed]);
    prop_oneof![
        3 => (1..7_u64, state, start).prop_map(|(id, state, start)| Step::Host { id, state, start }),
        1 => (any::<u8>(), kind).prop_map(|(mask, kind)| Step::Whole { mask, kind }),
        1 => (1..8_u64, outcome(), 0..9_u8).prop_map(|(id, outcome, queue)| Step::Probe { id, outcome, queue }),
    ]
}

pub fn step() -> impl Strategy<Value = Step> {
    let any_of = any::<usize>;
    let patience = prop_oneof![4 => 1..4_000_u16, 1 => 80..160_u16];
    let request = (0..3_usize, 0..2_usize, 0..4_u64, 0..9_u8, patience, 0..60_u8, 0..8_usize);
    prop_oneof![
        10 => request.prop_map(|(class, plan, customer, units, patience, ago, route)| {
            Step::Request { class, plan, customer, units, patience, ago, route }
        }),
        10 => (any_of(), outcome(), 0..9_u8).prop_map(|(pick, outcome, units)| Step::End { pick, outcome, units }),
        10 => (any_of(), any_of()).prop_map(|(pick, answer)| Step::Count { pick, answer }),
        2 => any_of().prop_map(|pick| Step::Leave { pick }),
        1 => any_of().prop_map(|pick| Step::Go { pick }),
        4 => of_host(),
        1 => any_of().prop_map(|change| Step::Plans { change }),
        1 => (0..6_usize, 0..4_u8).prop_map(|(cell, keep)| Step::Shed { cell, keep }),
        1 => any::<u32>().prop_map(|token| Step::Timer { token }),
        1 => any_of().prop_map(|what| Step::Unknown { what }),
        7 => (1..300_u16).prop_map(|ms| Step::Pass { ms }),
        1 => (1..6_000_u16).prop_map(|ms| Step::Stop { ms }),
        4 => (any_of(), any_of(), -1..2_i64).prop_map(|(pick, moment, off)| Step::Meet { pick, moment, off }),
    ]
}

/// An attempt that the module started.
struct Tried {
    host: HostId,
    /// Where the host stood then.
    there: (u32, u32),
    sent: Time,
    until: Time,
    withdrawn: bool,
    outcome: Option<Outcome>,
}

impl Tried {
    fn has_reached(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::ConnectFailed | Outcome::NotSent))
    }

    fn may_have_run(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent))
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Client {
    Waits,
    /// It has gone, and the module has not been told.
    Gone,
    Left,
    Answered,
}

struct Held {
    request: Request,
    deadline: Time,
    client: Client,
    /// When its units were taken from its customer's ceiling.
    drawn: Option<Time>,
    attempts: Vec<Tried>,
}

impl Held {
    fn is_over(&self) -> bool {
        matches!(self.client, Client::Left | Client::Answered)
    }

    fn out(&self) -> impl Iterator<Item = &Tried> {
        self.attempts.iter().filter(|a| a.outcome.is_none())
    }

    fn ran(&self) -> Option<&Tried> {
        self.attempts.iter().find(|a| a.may_have_run())
    }
}

/// A call of the counter that is out.
struct Call {
    name: CounterKey,
    amount: f64,
    until: Time,
}

/// A ceiling as the operators count it.
struct Ceiling {
    level: f64,
    /// Seconds for which units were held that were given back.
    overflow: f64,
    at: Time,
}

pub struct World {
    given: Given,
    policy: Policy,
    now: Time,
    /// When the process last went on after it was stopped.
    resumed: Time,
    next: u64,
    held: BTreeMap<RequestId, Held>,
    hosts: BTreeMap<HostId, HostEntry>,
    calls: Vec<Call>,
    totals: BTreeMap<CounterKey, f64>,
    timers: Vec<Time>,
    news: VecDeque<Event>,
    ceilings: BTreeMap<CustomerId, Ceiling>,
    has_other_plans: bool,
    /// What the steps came to.
    pub sends: u64,
    pub further: u64,
}

impl World {
    pub fn new(given: Given, seed: u64) -> World {
        let policy = Policy::new(given.settings.clone(), seed);
        let host = |id: u64| HostEntry {
            id: HostId(id),
            zone: id as u32 % 2,
            cell: id as u32 / 3,
            size: 1.0,
            pools: 1 << (id % 3),
            ..HostEntry::default()
        };
        let entries: Vec<HostEntry> = (1..=given.hosts).map(host).collect();
        let mut world = World {
            policy,
            now: 1_000_000 * MS,
            resumed: 0,
            next: 0,
            held: BTreeMap::new(),
            hosts: entries.iter().map(|e| (e.id, e.clone())).collect(),
            calls: Vec::new(),
            totals: BTreeMap::new(),
            timers: Vec::new(),
            news: VecDeque::new(),
            ceilings: BTreeMap::new(),
            has_other_plans: false,
            sends: 0,
            further: 0,
            given,
        };
        world.tell(Event::HostList { kind: HostListKind::Cached, entries });
        world
    }

    /// Tells the module, and carries out what it wants, one turn after the other, as the gateway does.
    fn tell(&mut self, event: Event) {
        self.news.push_back(event);
        while let Some(event) = self.news.pop_front() {
            if let Event::ClientDisconnected { id } = event {
                if let Some(r) = self.held.get_mut(&id).filter(|r| !r.is_over()) {
                    r.client = Client::Left;
                    self.give_back(id);
                }
            }
            let mut actions = Vec::new();
            self.policy.handle(self.now, event, &mut actions);
            self.count_units(&actions);
            actions.into_iter().for_each(|action| self.carry_out(action));
        }
        self.let_go();
        self.audit();
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Forward { id, host, deadline: until, write_by } => self.send(id, host, until, write_by),
            Action::Cancel { id, attempt } => self.withdraw(id, attempt as usize),
            Action::Reject { id, .. } => self.give_up(id, true),
            Action::Fail { id, .. } => self.give_up(id, false),
            Action::AddToCounter { key: name, amount, .. } => {
                assert!(self.given.settings.has_counter && amount.is_finite() && amount.abs() < 1e9);
                // A pulse goes on while the answer to the one before is late: what it tells is read, not
                // added up.
                let is_pulse = matches!(
                    self.policy.counter.pending_calls.get(&name),
                    Some(CounterNumber::Heartbeat { .. })
                );
                let is_first = self.calls.iter().all(|call| call.name != name);
                assert!(
                    is_pulse || is_first || self.has_other_plans,
                    "one call of a number is out at a time"
                );
                let until = self.now + self.given.settings.counter_timeout;
                self.calls.push(Call { name, amount, until });
            }
            Action::SetTimer { after, .. } => self.timers.push(self.now + after),
            Action::SubscribeToHosts => assert!(self.given.settings.must_subscribe),
        }
    }

    fn send(&mut self, id: RequestId, host: HostId, until: Time, write_by: Time) {
        let to = self.hosts.get(&host).expect("a listed host");
        assert_eq!(to.state, HostState::Ready, "drains are kept");
        let there = (to.zone, to.cell);
        let s = &self.given.settings;
        let r = self.held.get(&id).expect("a request that is held");
        assert!(!r.is_over(), "nothing goes out after the final answer");
        assert!(s.may_hedge || r.out().count() == 0, "no second copy");
        assert!(r.attempts.len() < s.max_attempts.max(1) as usize, "not too many attempts");
        assert!(self.now < until && until <= r.deadline, "no attempt tells more time than is left");
        assert!(self.now < write_by);
        let in_pools = |pools: u64| pools == 0 || pools & to.pools != 0;
        let route = r.request.route;
        assert!(in_pools(route.pools) || route.fallback != 0 && in_pools(route.fallback), "its pools");
        if let Some(first) = r.ran() {
            match s.classes[r.request.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => panic!("an unsafe request may have run twice"),
                Idempotency::WithKey(scope, window) => {
                    assert!(write_by < first.sent + window, "within the window, also its last byte");
                    let is_there = match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => first.there.0 == there.0,
                        DedupScope::Cell => first.there == there,
                    };
                    assert!(is_there, "only where repeats are dropped");
                }
            }
        }
        if let Some(limit) = route.limit {
            let of_route = |r: &&Held| r.request.route.limit.is_some_and(|other| other.route == limit.route);
            let out: usize = self.held.values().filter(of_route).map(|r| r.out().count()).sum();
            assert!(out < limit.max_in_flight as usize, "the limit of its route");
        }
        self.sends += 1;
        self.further += u64::from(!r.attempts.is_empty());
        let Some(r) = self.held.get_mut(&id) else { return };
        let attempt = r.attempts.len() as u32;
        r.attempts.push(Tried { host, there, sent: self.now, until, withdrawn: false, outcome: None });
        if r.client == Client::Gone {
            r.client = Client::Left;
            self.news.push_back(Event::ClientDisconnected { id });
            self.end(id, attempt, Outcome::NotSent, 0);
        }
    }

    /// What is let in takes its units from the ceiling, and gives them back where it ends without an attempt
    /// that came whole to a host. That an attempt follows a little later is what the slack is for.
    fn count_units(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Reject { id, .. } | Action::Fail { id, .. } = action {
                self.give_back(*id);
            }
        }
        let is_in = |(_, r): &(&RequestId, &InFlightRequest)| {
            r.holds_units && !matches!(r.state, RequestState::AwaitingUnits | RequestState::Closed)
        };
        let inside: Vec<RequestId> = self.policy.requests.iter().filter(is_in).map(|(id, _)| *id).collect();
        for id in inside {
            let Some(r) = self.held.get_mut(&id).filter(|r| !r.is_over() && r.drawn.is_none()) else {
                continue;
            };
            r.drawn = Some(self.now);
            self.draw(id, 1.0);
        }
    }

    fn give_back(&mut self, id: RequestId) {
        let Some(r) = self.held.get_mut(&id).filter(|r| r.attempts.iter().all(|a| !a.has_reached())) else {
            return;
        };
        let Some(drawn) = r.drawn.take() else { return };
        // What it held back meanwhile may have overflowed.
        let overflow = (self.now - drawn) as f64 / 1e9;
        self.ceilings.entry(r.request.customer).and_modify(|ceiling| ceiling.overflow += overflow);
        self.draw(id, -1.0);
    }

    fn draw(&mut self, id: RequestId, times: f64) {
        let Request { plan, customer, units, .. } = self.held[&id].request;
        let plan = &self.given.settings.plans[plan];
        if plan.ceiling_rate > 0.0 && self.given.is_honest && !self.has_other_plans {
            let new = Ceiling { level: plan.ceiling_burst, overflow: 0.0, at: self.now };
            let ceiling = self.ceilings.entry(customer).or_insert(new);
            let filled = plan.ceiling_rate * (self.now - ceiling.at) as f64 / 1e9;
            ceiling.level = (ceiling.level + filled).min(plan.ceiling_burst) - times * units;
            ceiling.at = self.now;
            let slack = plan.ceiling_slack + plan.ceiling_rate * ceiling.overflow;
            assert!(ceiling.level > -slack - 1e-3, "ceilings are kept: {}", ceiling.level);
        }
    }

    fn withdraw(&mut self, id: RequestId, attempt: usize) {
        assert!(self.given.settings.may_cancel, "attempts may be withdrawn");
        let is_end = |event: &Event| matches!(event, Event::AttemptEnded(end) if (end.id, end.attempt as usize) == (id, attempt));
        if self.news.iter().any(is_end) {
            return;
        }
        let tried = self.held.get_mut(&id).and_then(|r| r.attempts.get_mut(attempt)).expect("it was sent");
        assert!(tried.outcome.is_none() && !tried.withdrawn, "it is out, and was not withdrawn before");
        tried.withdrawn = true;
        if self.given.is_prompt {
            self.end(id, attempt as u32, Outcome::Cancelled, 0);
        }
    }

    fn give_up(&mut self, id: RequestId, is_refused: bool) {
        let r = self.held.get_mut(&id).expect("a request that is held");
        assert!(!r.is_over(), "one final answer");
        assert_eq!(r.out().count(), 0, "what is out may answer yet");
        let effect = self.given.settings.classes[r.request.class].idempotency;
        let is_dropped = matches!(effect, Idempotency::Idempotent | Idempotency::WithKey(DedupScope::All, _));
        assert!(
            !is_refused || is_dropped || r.ran().is_none(),
            "a refusal says that to try again is harmless"
        );
        assert!(is_refused || r.ran().is_some(), "what never ran is refused");
        r.client = Client::Answered;
    }

    /// An attempt ends: the module is told behind what it has yet to be told.
    fn end(&mut self, id: RequestId, attempt: u32, outcome: Outcome, units: u8) {
        let Some(r) = self.held.get_mut(&id) else { return };
        let tried = &mut r.attempts[attempt as usize];
        tried.outcome = Some(outcome);
        let (host, took) = (tried.host, self.now - tried.sent);
        if outcome == Outcome::Ok && !r.is_over() {
            r.client = Client::Answered;
        }
        let (closed, used, report) = (r.is_over(), None, None);
        let true_units = Some(f64::from(units)).filter(|units| *units > 0.0);
        let end = AttemptEnded {
            id,
            attempt,
            host,
            outcome,
            elapsed: took,
            is_request_closed: closed,
            quota_used: used,
            actual_units: true_units,
            report,
        };
        self.news.push_back(Event::AttemptEnded(end));
        if closed {
            self.give_back(id);
        }
    }

    /// Tells what lies in the news.
    fn tell_on(&mut self) {
        if let Some(event) = self.news.pop_back() {
            self.tell(event);
        }
    }

    fn let_go(&mut self) {
        self.held.retain(|_, r| !r.is_over() || r.out().count() > 0);
    }

    /// What the module keeps is what there is.
    fn audit(&self) {
        let p = &self.policy;
        let known: BTreeSet<RequestId> = p.requests.keys().copied().collect();
        assert!(known.iter().eq(self.held.keys()), "requests in hand: {known:?}");
        for (class, k) in p.concurrency.classes.iter().enumerate() {
            let of_class = || p.requests.values().filter(|r| r.class == class);
            let slots = of_class().flat_map(|r| &r.attempts).filter(|a| a.occupied_pools.is_some()).count();
            let queued = of_class().filter(|r| r.is_queued()).count();
            assert_eq!(
                (k.in_use, k.waiting()),
                (slots, queued as f64),
                "slots in use, and requests that wait for one"
            );
        }
        for (id, entry) in &self.hosts {
            let out = self.held.values().flat_map(Held::out).filter(|a| a.host == *id).count();
            let host = p.hosts.get(*id);
            assert_eq!(host.map_or(0, |host| host.in_flight) as usize, out, "attempts out at a host");
            assert!(host.is_some() || entry.state != HostState::Ready);
        }
        for id in 0..4 {
            let customer = CustomerId(id);
            let of = |is: fn(RequestState) -> bool| {
                let ids = p
                    .requests
                    .iter()
                    .filter(move |(_, r)| r.is_counted_by_customer && r.customer == customer && is(r.state));
                ids.map(|(id, _)| *id).collect::<BTreeSet<RequestId>>()
            };
            let Some(c) = p.customers.get(customer) else {
                assert!(of(|_| true).is_empty(), "whoever has something in hand is known");
                continue;
            };
            let open = of(|state| !matches!(state, RequestState::AwaitingUnits | RequestState::Closed)).len();
            assert_eq!((c.in_flight as usize, c.open as usize), (of(|_| true).len(), open));
            let waiting: BTreeSet<RequestId> = c.waiting.iter().copied().collect();
            assert_eq!(waiting.len(), c.waiting.len(), "each waits once");
            assert_eq!(waiting, of(|state| state == RequestState::AwaitingUnits), "who waits for units");
        }
        assert!(p.counter.pending_calls.len() <= self.calls.len());
        assert!(!self.timers.is_empty(), "it is woken again");
    }

    /// Everything that falls due up to then, in its order.
    fn pass(&mut self, until: Time) {
        while let Some(due) = self.due().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.ring();
        }
        self.now = self.now.max(until);
    }

    fn due(&self) -> Option<Time> {
        let ends = self.held.values().flat_map(Held::out).map(|a| a.until);
        let calls = self.calls.iter().map(|call| call.until);
        self.timers.iter().copied().chain(ends).chain(calls).min()
    }

    /// All that is due now comes; then nobody waits beyond its time.
    fn ring(&mut self) {
        let now = self.now;
        for timers in [self.given.timers_first, !self.given.timers_first] {
            if timers {
                let due = self.timers.iter().filter(|at| **at <= now).count();
                self.timers.retain(|at| *at > now);
                (0..due).for_each(|_| self.tell(Event::TimerExpired { token: 0 }));
                continue;
            }
            let is_due = |a: &Tried| a.outcome.is_none() && a.until <= now;
            for (id, attempt) in self.pick_of(is_due) {
                self.end(id, attempt, Outcome::Timeout, 0);
                self.tell_on();
            }
            while let Some(at) = self.calls.iter().position(|call| call.until <= now) {
                self.answer_call(at, Outcome::Timeout, 0.0);
            }
        }
        let is_late = |r: &Held| !r.is_over() && r.deadline.max(self.resumed + TIMER_STEP) + LATE < now;
        let late = self.held.iter().find(|(_, r)| is_late(r));
        assert!(late.is_none(), "{:?} has no final answer in its time", late.map(|(id, _)| id));
    }

    fn pick_of(&self, is_it: impl Fn(&Tried) -> bool) -> Vec<(RequestId, u32)> {
        let numbered = |(id, r): (&RequestId, &Held)| {
            let ids = r.attempts.iter().enumerate().filter(|(_, a)| is_it(a)).map(|(n, _)| (*id, n as u32));
            ids.collect::<Vec<_>>()
        };
        self.held.iter().flat_map(numbered).collect()
    }

    fn answer_call(&mut self, at: usize, outcome: Outcome, total: f64) {
        let Call { name, until, .. } = self.calls.remove(at);
        let took = self.given.settings.counter_timeout - until.saturating_sub(self.now).min(30 * MS);
        self.tell(Event::CounterReplied { key: name, outcome, total, elapsed: took });
    }

    /// A call is answered in one of the ways in which a counter does.
    fn count(&mut self, at: usize, answer: usize) {
        let Call { name, amount, .. } = self.calls[at];
        let total = self.totals.entry(name).or_default();
        let lies = if self.given.is_honest { 0 } else { answer / 10 % 8 };
        match lies {
            1 => *total = 0.0,
            2 => *total += 30.0,
            3 => *total *= 0.5,
            _ => {}
        }
        let outcome = match answer % 10 {
            0 => Outcome::Timeout,
            1 => Outcome::Rejected,
            2 => Outcome::ConnectFailed,
            3 => Outcome::ConnectionReset,
            _ => Outcome::Ok,
        };
        let is_added = match outcome {
            Outcome::Ok => true,
            Outcome::Timeout => answer % 20 == 0,
            _ => false,
        };
        *total += if is_added { amount } else { 0.0 };
        let told = match lies {
            4 => f64::NAN,
            5 => -3.0,
            6 => 1e12,
            _ => *total,
        };
        self.answer_call(at, outcome, told);
    }

    fn now_waiting(&self, pick: usize) -> Option<RequestId> {
        let waiting: Vec<RequestId> =
            self.held.iter().filter(|(_, r)| !r.is_over()).map(|(id, _)| *id).collect();
        waiting.get(pick % waiting.len().max(1)).copied()
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Request { class, plan, customer, units, patience, ago, route } => {
                self.next += 1;
                let (s, id) = (&self.given.settings, RequestId(self.next));
                let request = Request {
                    id,
                    class: class % s.classes.len(),
                    plan: customer as usize % 2 % s.plans.len(),
                    customer: CustomerId(customer),
                    remaining: u64::from(patience) * MS,
                    units: f64::from(units),
                    set_size: plan as u32 + 1,
                    route: ROUTES[if route < 4 { route } else { 0 }],
                    arrived_at: self.now - u64::from(ago.saturating_sub(40)) * MS,
                    ..Request::default()
                };
                let (deadline, attempts) = (request.arrived_at + request.remaining, Vec::new());
                self.held.insert(
                    id,
                    Held { request: request.clone(), deadline, client: Client::Waits, drawn: None, attempts },
                );
                self.tell(Event::Request(request));
            }
            Step::End { pick, outcome, units } => {
                let out = self.pick_of(|a| a.outcome.is_none());
                if let Some((id, attempt)) = out.get(pick % out.len().max(1)).copied() {
                    self.end(id, attempt, outcome, units);
                    self.tell_on();
                }
            }
            Step::Count { pick, answer } if !self.calls.is_empty() => {
                self.count(pick % self.calls.len(), answer)
            }
            Step::Leave { pick } => {
                if let Some(id) = self.now_waiting(pick) {
                    self.tell(Event::ClientDisconnected { id });
                }
            }
            Step::Go { pick } => {
                let id = self.now_waiting(pick);
                id.and_then(|id| self.held.get_mut(&id)).into_iter().for_each(|r| r.client = Client::Gone);
            }
            Step::Host { id, state, start } => self.host(HostId(1 + id % self.given.hosts), state, start),
            Step::Whole { mask, kind } => self.list(mask, kind),
            Step::Plans { change } => self.plans(change),
            Step::Shed { cell, keep } => {
                let mut shares = vec![1.0; cell];
                shares.push(f64::from(keep) / 3.0);
                self.tell(Event::AdmissionFractionsChanged(if keep == 3 { Vec::new() } else { shares }));
            }
            Step::Probe { id, outcome, queue } => {
                let report = LoadReport { queued: Some(f64::from(queue)), ..LoadReport::default() };
                self.tell(Event::HealthCheckEnded { host: HostId(id), outcome, report: Some(report) });
            }
            Step::Timer { token } => self.tell(Event::TimerExpired { token }),
            Step::Unknown { what } => self.unknown(what),
            Step::Pass { ms } => self.pass(self.now + u64::from(ms) * MS),
            Step::Stop { ms } => {
                self.now += u64::from(ms) * MS;
                self.resumed = self.now;
            }
            Step::Meet { pick, moment, off } => self.meet(pick, moment, off),
            Step::Count { .. } => {}
        }
    }

    fn host(&mut self, id: HostId, state: HostState, start: Start) {
        let now = self.now;
        let Some(entry) = self.hosts.get_mut(&id) else { return };
        entry.state = state;
        entry.started_at = if start == Start::Same { entry.started_at } else { now };
        if start == Start::Elsewhere {
            (entry.zone, entry.cell) = ((entry.zone + 1) % 2, (entry.cell + 1) % 3);
        }
        let entries = vec![entry.clone()];
        self.tell(Event::HostList { kind: HostListKind::Delta, entries });
    }

    fn list(&mut self, mask: u8, kind: HostListKind) {
        let mut entries = Vec::new();
        for entry in self.hosts.values_mut().filter(|_| kind != HostListKind::Failed) {
            let is_named = mask >> (entry.id.0 % 8) & 1 == 1;
            entry.state = if is_named { HostState::Ready } else { HostState::Gone };
            entries.extend(Some(entry.clone()).filter(|_| is_named));
        }
        self.tell(Event::HostList { kind, entries });
    }

    /// Operators tighten a quota, take that back, or the limits that a plan has change.
    fn plans(&mut self, change: usize) {
        let plans = &mut self.given.settings.plans;
        let at = change % plans.len();
        let plan = &mut plans[at];
        match change / 8 % 5 {
            0 => plan.rate *= 0.5,
            1 => plan.burst = (0.5 * plan.burst).max(0.5),
            2 => plan.max_concurrent = 1,
            3 => plan.rate = 1_000.0,
            // No operator's words do this, but the module is to live with it.
            _ => (plan.rate, self.has_other_plans) = (0.0, true),
        }
        self.has_other_plans |= change / 8 % 5 == 3;
        let plans = plans.clone();
        self.tell(Event::PlansChanged(plans));
    }

    /// What comes twice, too late or for nobody.
    fn unknown(&mut self, what: usize) {
        let id = RequestId(1 + what as u64 % self.next.max(1));
        let host = HostId(1 + what as u64 % 9);
        let is_known = self.held.contains_key(&id);
        match what / 16 % 5 {
            0 if !is_known => self.tell(Event::ClientDisconnected { id }),
            1 => {
                let name = CounterKey(what as u64);
                self.tell(Event::CounterReplied { key: name, outcome: Outcome::Ok, total: 7.0, elapsed: MS });
            }
            // An attempt that ended before, or never was.
            2 | 3 => {
                let ended = |r: &Held| {
                    let at = r.attempts.iter().position(|a| a.outcome.is_some());
                    at.map_or((r.attempts.len(), host), |at| (at, r.attempts[at].host))
                };
                let held = self.held.get(&id);
                let (attempt, host) = held.map_or((0, host), ended);
                let (attempt, outcome, took) = (attempt as u32, Outcome::Ok, MS);
                let closed = held.is_none_or(Held::is_over);
                let (used, true_units, report) = (None, Some(3.0), None);
                let end = AttemptEnded {
                    id,
                    attempt,
                    host,
                    outcome,
                    elapsed: took,
                    is_request_closed: closed,
                    quota_used: used,
                    actual_units: true_units,
                    report,
                };
                self.tell(Event::AttemptEnded(end));
            }
            // A call that was answered before.
            _ => {
                let is_out = |name: &CounterKey| self.calls.iter().any(|call| call.name == *name);
                if let Some(name) = self.totals.keys().find(|name| !is_out(name)).copied() {
                    self.tell(Event::CounterReplied {
                        key: name,
                        outcome: Outcome::Ok,
                        total: 9.0,
                        elapsed: MS,
                    });
                }
            }
        }
    }

    /// Goes up to a moment at which two things meet.
    fn meet(&mut self, pick: usize, moment: usize, off: i64) {
        let moments: Vec<Time> = match moment % 6 {
            0 => self.held.values().flat_map(Held::out).map(|a| a.until).collect(),
            1 => self.held.values().filter(|r| !r.is_over()).map(|r| r.deadline).collect(),
            2 => self.held.values().filter(|r| !r.is_over()).filter_map(|r| self.window_end(r)).collect(),
            3 => self.hosts.values().map(|host| host.started_at + self.given.settings.warm_up).collect(),
            4 => self.timers.clone(),
            _ => self.calls.iter().map(|call| call.until).collect(),
        };
        let ahead: Vec<Time> = moments.into_iter().filter(|at| *at > self.now + 1).collect();
        if let Some(at) = ahead.get(pick % ahead.len().max(1)) {
            let at = at.saturating_add_signed(off);
            self.pass(at - 1);
            self.now = at;
        }
    }

    fn window_end(&self, r: &Held) -> Option<Time> {
        let first = r.ran()?;
        match self.given.settings.classes[r.request.class].idempotency {
            Idempotency::WithKey(_, window) => {
                Some(first.sent + window.saturating_sub((window / 10).max(100 * MS)))
            }
            _ => None,
        }
    }

    /// All comes to its end; what is left then is what there was before.
    pub fn rest(&mut self) {
        let end = self.now + 10_000 * MS;
        self.pass(end);
        assert!(self.held.is_empty(), "each request has had its final answer");
        // A counter that answers, and nobody asks.
        while self.now < end + 140_000 * MS {
            let Some(due) = self.due() else { break };
            self.now = self.now.max(due.min(self.now + 1_000 * MS));
            self.ring();
            while !self.calls.is_empty() {
                self.count(0, 4);
            }
        }
        let ready = self.hosts.values().filter(|entry| entry.state == HostState::Ready).count();
        let p = &self.policy;
        assert_eq!((p.requests.len(), p.counter.pending_calls.len(), p.concurrency.unplaced()), (0, 0, 0));
        assert_eq!((p.customers.len(), p.hosts.len()), (0, ready), "customers and hosts are forgotten");
        assert_eq!(p.concurrency.in_use(), 0.0);
        let is_there =
            |pools| self.hosts.values().any(|e| e.state == HostState::Ready && e.pools & pools != 0);
        for route in ROUTES.iter().filter(|route| route.pools == 0 || is_there(route.pools)) {
            assert!(p.pools.has_free_slot(route), "{route:?} has room again");
        }
    }
}
