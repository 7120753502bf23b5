//! A gateway under test: default settings, and helpers that report events and read the returned actions.
#![allow(dead_code)]
pub mod counter;
pub mod load;
pub mod site;
pub mod slow_start;
pub mod world;

use policy::api::*;
use policy::counter_keys;
use policy::policy::Policy;
use std::collections::BTreeMap;

pub const MS: Span = 1_000_000;

pub fn class(priority_weight: f64, idempotency: Idempotency) -> Class {
    Class {
        latency_objective: 1_000 * MS,
        deadline: 4_000 * MS,
        priority_weight,
        idempotency,
        ..Class::default()
    }
}

pub fn settings() -> Settings {
    Settings {
        gateways: 3,
        classes: vec![class(1.0, Idempotency::Idempotent), class(5.0, Idempotency::NotIdempotent)],
        plans: vec![Plan {
            rate: 10.0,
            burst: 20.0,
            weight_factor: 1.0,
            over_quota_cost: 0.5,
            ..Plan::default()
        }],
        may_cancel: true,
        max_attempts: 4,
        has_counter: true,
        counter_timeout: 30 * MS,
        initial_capacity: 0.2,
        warm_up: 10_000 * MS,
        ..Settings::default()
    }
}

pub fn entry(id: u64) -> HostEntry {
    HostEntry { id: HostId(id), size: 1.0, ..HostEntry::default() }
}

/// The decision module of one gateway in virtual time, with a counter that replies to its heartbeats.
pub struct TestGateway {
    pub policy: Policy,
    pub now: Time,
    gateways: u32,
    /// Whether the other gateways send heartbeats and this one gets replies to its own.
    pub others_send_heartbeats: bool,
    heartbeat_totals: BTreeMap<CounterKey, f64>,
}

/// Number of gateways whose heartbeats are added to one entry of the counter.
const HEARTBEAT_GROUP: u32 = 4;

/// Number of values of one member's heartbeat count in that entry: the base of its digits.
const HEARTBEAT_BASE: f64 = 56.0;

impl TestGateway {
    pub fn new(settings: Settings, hosts: u64) -> Self {
        let mut gateway = TestGateway::just_started(settings, hosts);
        gateway.advance(4_000 * MS);
        gateway
    }
    /// Returns a gateway that has just started and has not received heartbeats of the others yet.
    pub fn just_started(settings: Settings, hosts: u64) -> Self {
        let gateways = settings.gateways;
        let policy = Policy::new(settings, 1);
        let (now, heartbeat_totals) = (1_000_000 * MS, BTreeMap::new());
        let mut gateway =
            TestGateway { policy, now, gateways, others_send_heartbeats: true, heartbeat_totals };
        gateway.report_host_list(HostListKind::Cached, (1..=hosts).map(entry).collect());
        gateway
    }
    pub fn report(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        self.reply_to_heartbeats(&mut actions);
        actions
    }
    /// Replies to calls that add heartbeats, as if the other gateways had added theirs.
    fn reply_to_heartbeats(&mut self, actions: &mut Vec<Action>) {
        let groups = self.gateways.div_ceil(HEARTBEAT_GROUP);
        let heartbeat_keys: Vec<CounterKey> =
            (0..groups).map(|group| counter_keys::heartbeat(group, self.now)).collect();
        let group_of = |key: CounterKey| heartbeat_keys.iter().position(|candidate| *candidate == key);
        let heartbeats: Vec<(CounterKey, f64)> =
            counter_calls_in(actions).into_iter().filter(|(key, _)| group_of(*key).is_some()).collect();
        actions
            .retain(|action| !matches!(action, Action::AddToCounter { key, .. } if group_of(*key).is_some()));
        for (key, amount) in heartbeats {
            let other_members = if self.others_send_heartbeats { 1..HEARTBEAT_GROUP } else { 0..0 };
            let added_by_others: f64 = other_members.map(|member| HEARTBEAT_BASE.powi(member as i32)).sum();
            let added_by_first_member =
                if group_of(key) == Some(0) || !self.others_send_heartbeats { 0.0 } else { 1.0 };
            let total = self.heartbeat_totals.entry(key).or_default();
            *total += amount + added_by_others + added_by_first_member;
            let total = *total;
            actions.extend(self.reply_to_call(key, Outcome::Ok, total));
        }
    }
    pub fn report_host_list(&mut self, kind: HostListKind, entries: Vec<HostEntry>) -> Vec<Action> {
        self.report(Event::HostList { kind, entries })
    }
    pub fn request(&mut self, id: u64, class: usize, customer: u64, units: f64) -> Vec<Action> {
        let (id, customer) = (RequestId(id), CustomerId(customer));
        let remaining = 4_000 * MS;
        self.report(Event::Request(Request {
            id,
            class,
            customer,
            remaining,
            units,
            set_size: 2,
            ..Request::default()
        }))
    }
    pub fn end_attempt(&mut self, id: u64, attempt: u32, host: HostId, outcome: Outcome) -> Vec<Action> {
        self.end_attempt_after(50 * MS, id, attempt, host, outcome)
    }
    pub fn end_attempt_after(
        &mut self,
        elapsed: Span,
        id: u64,
        attempt: u32,
        host: HostId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let is_request_closed = outcome == Outcome::Ok;
        let end = AttemptEnded {
            id: RequestId(id),
            attempt,
            host,
            outcome,
            elapsed,
            is_request_closed,
            quota_used: None,
            actual_units: None,
            report: None,
        };
        self.report(Event::AttemptEnded(end))
    }
    pub fn reply_to_call(&mut self, key: CounterKey, outcome: Outcome, total: f64) -> Vec<Action> {
        self.report(Event::CounterReplied { key, outcome, total, elapsed: 2 * MS })
    }
    /// Advances time in equal steps, and reports an expired timer after each.
    pub fn advance(&mut self, span: Span) -> Vec<Action> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.now + 20 * MS <= end {
            self.now += 20 * MS;
            all.extend(self.report(Event::TimerExpired { token: 0 }));
        }
        self.now = end;
        all
    }
}

pub fn counter_calls_in(actions: &[Action]) -> Vec<(CounterKey, f64)> {
    let as_call = |a: &Action| match a {
        Action::AddToCounter { key, amount, .. } => Some((*key, *amount)),
        _ => None,
    };
    actions.iter().filter_map(as_call).collect()
}

pub fn attempts_in(actions: &[Action]) -> Vec<(RequestId, HostId)> {
    let as_attempt = |a: &Action| match a {
        Action::Forward { id, host, .. } => Some((*id, *host)),
        _ => None,
    };
    actions.iter().filter_map(as_attempt).collect()
}

pub fn is_rejected(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id: i, .. } if i.0 == id))
}

pub fn is_failed(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { id: i, .. } if i.0 == id))
}

/// A pseudorandom number generator, SplitMix64. It is implemented here so that no release of a crate changes
/// the numbers.
pub struct Prng(pub u64);

impl Prng {
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }
    /// Returns a uniformly distributed number from 0 up to but not including 1.
    pub fn uniform(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }
    pub fn below(&mut self, count: u64) -> u64 {
        self.next_u64() % count
    }
    pub fn chance(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -libm::log(1.0 - self.uniform()) * mean
    }
}
