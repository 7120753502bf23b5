//! All decisions of one gateway. Interface: `api.rs`; slots: `slots.rs`; hosts: `hosts.rs`, `host.rs`;
//! attempts and answers: `attempts.rs`; quotas: `quotas.rs`, `account.rs`. Nothing is gone through that is
//! of no concern: what has to happen later falls due.

use crate::api::*;
use crate::chance::Chance;
use crate::class::ClassState;
use crate::customer::Customer;
use crate::customers::{ByRequest, Customers, House};
use crate::debts::Debts;
use crate::due::{Dues, STEP};
use crate::fleet::Fleet;
use crate::names::EPOCH;
use crate::pace::{seconds, Due, Pace};
use crate::pending::Pending;
use crate::pools::Pools;
use crate::quotas::IN_VAIN;
use crate::slots::PERIOD;
use quota::{CounterHealth, GatewaySet};
use std::collections::HashMap;

pub use crate::fuzzy::fuzzy;

const VAIN: (f64, f64) = (0.6, 2.4); // usual latencies, at ease and strained: who waits less does in vain
const RETRY_PART: f64 = 0.15; // further attempts for each request, so that trouble is not multiplied

/// The decisions of one gateway.
pub struct Policy {
    pub(crate) s: Settings,
    pub(crate) rng: Chance,
    pub(crate) by_worth: Vec<usize>,
    pub(crate) classes: Vec<ClassState>,
    pub(crate) fleet: Fleet,
    pub(crate) pools: Pools,
    pub(crate) requests: ByRequest<Pending>,
    pub(crate) customers: Customers,
    pub(crate) names: HashMap<CounterKey, (CustomerId, usize, u64), rustc_hash::FxBuildHasher>,
    pub(crate) dues: Dues<Due>,
    pub(crate) freed: Vec<CustomerId>,
    pub(crate) parked: Vec<(usize, Route, RequestId)>, // tried before, and without a host for another attempt
    pub(crate) candidates: Vec<HostId>,
    pub(crate) changing: Vec<HostId>, // their slots may change at the end of the period
    pub(crate) actions: Vec<Action>,
    pub(crate) pace: Pace,
    pub(crate) rations: Vec<f64>, // of each plan: the usual ration of a customer met for the first time
    pub(crate) contact: CounterHealth, // what is known of the counter itself
    pub(crate) debts: Debts,
    pub(crate) quotas: bool, // there are any that are counted
    pub(crate) work: u64,    // records looked at, ever
}

impl Policy {
    /// A gateway that has just started and knows nothing but its settings.
    pub fn new(s: Settings, seed: u64) -> Self {
        let mut by_worth: Vec<usize> = (0..s.classes.len()).collect();
        by_worth.sort_by(|a, b| s.classes[*b].priority_weight.total_cmp(&s.classes[*a].priority_weight));
        Policy {
            rng: Chance::seeded(seed),
            by_worth,
            classes: s.classes.iter().map(|_| ClassState::default()).collect(),
            fleet: Fleet::default(),
            pools: Pools::new(s.gateways),
            requests: ByRequest::default(),
            customers: Customers::new(seed, s.customer_bytes as usize, House::of(&s)),
            names: HashMap::default(),
            dues: Dues::default(),
            freed: Vec::new(),
            parked: Vec::new(),
            candidates: Vec::new(),
            changing: Vec::new(),
            actions: Vec::new(),
            pace: Pace::new(s.gateways),
            rations: s.plans.iter().map(|_| 0.7).collect(),
            contact: CounterHealth::new(s.gateway_index, s.gateways),
            debts: Debts::default(),
            quotas: s.has_counter && s.plans.iter().any(|p| p.rate > 0.0 || p.ceiling_rate > 0.0),
            work: 0,
            s,
        }
    }

    /// Takes in one event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if self.pace.met == 0 {
            self.begin_life(now);
        }
        match event {
            Event::HostList { kind, entries } => self.on_list(now, kind, entries),
            Event::Request(request) => self.on_request(now, request),
            Event::ResponseStarted { id, .. } => self.begin(id),
            Event::AttemptEnded(end) => self.on_ended(now, end),
            Event::ClientDisconnected { id } => self.close(id),
            Event::TimerExpired { .. } => self.dues.woken(now),
            Event::HealthCheckEnded { host, outcome, report } => self.on_report(now, host, outcome, report),
            Event::CounterReplied { key: name, outcome, total, elapsed: took } => {
                self.on_counted(now, name, outcome, total, took)
            }
            Event::PlansChanged(plans) => {
                self.customers.house.plans.clone_from(&plans);
                self.s.plans = plans;
                let change = |c: &mut Customer| c.change_plan(now, &self.contact, &self.s.plans[c.plan]);
                self.customers.iter_mut().for_each(change);
            }
            Event::AdmissionFractionsChanged(keep) => self.pace.keep = keep,
            Event::PeerMessage { .. } => {}
        }
        loop {
            let due = self.dues.take(now);
            if due.is_empty() {
                break;
            }
            due.into_iter().for_each(|due| self.fall_due(now, due));
        }
        loop {
            std::mem::take(&mut self.freed).into_iter().for_each(|customer| self.settle(now, customer));
            self.dispatch(now);
            if self.freed.is_empty() {
                break;
            }
        }
        if let Some(after) = self.dues.arm(now) {
            self.actions.push(Action::SetTimer { after, token: 0 });
        }
        actions.append(&mut self.actions);
    }

    fn begin_life(&mut self, now: Time) {
        let pace = &mut self.pace;
        (pace.met, pace.warmed, pace.saved_at) = (now, now, now);
        self.customers.house.epoch = now / EPOCH;
        self.dues.put(now + PERIOD, Due::Control);
        self.dues.put(now + 1 + self.contact.first_heartbeat_delay(|| self.rng.unit()), Due::Beat);
        if self.s.must_subscribe {
            self.dues.put(now + 1, Due::Subscribe);
        }
    }

    fn fall_due(&mut self, now: Time, due: Due) {
        self.work += 1;
        match due {
            Due::Control => {
                self.count_warm(now);
                (self.pace.answers, self.pace.warm) = (0.7 * self.pace.answers, 0.7 * self.pace.warm);
                self.settle_rooms(now);
                self.control(now);
                self.dues.put(now + PERIOD, Due::Control);
            }
            Due::Subscribe => self.subscribe(now),
            Due::Units(id) => self.settle_one(now, id),
            Due::Late(id) => self.late(now, id),
            Due::Dispatch => {
                self.pace.retrying = false;
                self.unblock();
            }
            Due::Watch(id, attempt) => self.watch(now, id, attempt),
            Due::Warm(host) => self.warm(now, host),
            Due::Forget(host) => self.forget_host(now, host),
            Due::Age => self.age(now),
            Due::Beat => self.beat(now),
            Due::Tell => self.tell_counter(now),
        }
    }

    fn subscribe(&mut self, now: Time) {
        if now >= self.pace.ask_at {
            self.ask_for_list(now + self.s.must_poll_within / 2);
            self.actions.push(Action::SubscribeToHosts);
        }
    }

    /// The list of hosts is to be asked for then.
    pub(crate) fn ask_for_list(&mut self, at: Time) {
        self.pace.ask_at = at;
        if self.s.must_subscribe {
            self.dues.put(at.max(1), Due::Subscribe);
        }
    }

    fn age(&mut self, now: Time) {
        let (looked, next) = self.customers.age(now);
        self.work += looked;
        self.pace.aging = next.is_some();
        if let Some(at) = next {
            self.dues.put(at.max(now + STEP), Due::Age);
        }
    }

    fn on_request(&mut self, now: Time, request: Request) {
        let Request {
            id,
            class,
            plan,
            customer,
            remaining: patience,
            units,
            set_size: spread,
            first_gateway: first,
            route,
            arrived_at: arrived,
            ..
        } = request;
        let (Some(c), Some(_)) = (self.s.classes.get(class), self.s.plans.get(plan)) else {
            return self.actions.push(Action::Reject {
                id,
                retry_after: None,
                reason: RejectReason::UnknownClassOrPlan,
            });
        };
        let units = if units.is_finite() { units.max(0.0) } else { 1.0 };
        // Its time runs from when it came, however late this module hears of it.
        let arrived = if arrived == 0 { now } else { arrived.min(now) };
        let deadline = arrived.saturating_add(patience);
        let (aim, aim_at) = (c.latency_objective, arrived.saturating_add(c.latency_objective).min(deadline));
        let held = Pending { class, route, customer, units, arrived, aim_at, deadline, ..Pending::default() };
        self.requests.insert(id, held);
        self.pace.retries = (self.pace.retries + RETRY_PART).min(10.0);
        // No time for an answer, nor for a later look at it; or no host for it.
        let vain = [VAIN.0, VAIN.1][usize::from(self.pace.strain.is_strained(self.pace.part))];
        let vain = (vain * self.classes[class].latency).min(0.5 * seconds(0, aim));
        let is_short = aim_at <= now + 2 * STEP || seconds(now, aim_at) < vain;
        let is_closed = self.pools.lets_nothing_out(&route, !self.fleet.is_empty());
        let keep = self.pace.keep.get(class * self.s.plans.len() + plan).copied().unwrap_or(1.0);
        let is_shed = keep < 1.0 && self.rng.unit() >= keep;
        let against = [
            (is_short, RejectReason::DeadlineTooShort),
            (is_closed, RejectReason::NoHost),
            (is_shed, RejectReason::LoadShed),
        ];
        if let Some((_, why)) = against.into_iter().find(|(is_so, _)| *is_so) {
            return self.give_up(id, why);
        }
        let set = GatewaySet {
            first_gateway: first,
            set_size: spread,
            gateway_index: self.s.gateway_index,
            gateways: self.s.gateways,
        };
        let met = |house: &House| Customer::met(now, house, plan, set, || units * self.rng.unit());
        let met = self.customers.meet(now, customer, met);
        // More customers at once than there is room for.
        let (Some(met), Some(r)) = (met, self.requests.get_mut(&id)) else {
            return self.give_up(id, RejectReason::TooManyCustomers);
        };
        (met.in_hand, r.met) = (met.in_hand + 1, true);
        let usual = 1.0 / self.rations[plan].max(0.05);
        met.stores.iter_mut().for_each(|a| a.ask(now, units, usual, self.pace.met));
        met.waiting.push_back(id);
        let is_behind = met.waiting.len() > IN_VAIN;
        self.settle(now, customer);
        if is_behind {
            // It is tried all the same: it may be worth more than those before it, or smaller.
            self.settle_one(now, id);
        }
        if !self.pace.aging {
            self.age(now);
        }
    }
}
