//! Random deployments, and random steps of a run.

use crate::api::{
    Class, DedupScope, HostListKind, HostState, Idempotency, Outcome, Plan, Route, RouteLimit, Settings, Span,
};
use proptest::prelude::*;

pub(super) const MILLISECOND: Span = 1_000_000;

/// A step of a run. `pick` chooses one of those that are possible.
#[derive(Clone, Debug)]
pub enum Step {
    Request {
        class: usize,
        plan: usize,
        customer: u64,
        units: u8,
        remaining: u16,
        ago: u8,
        route: usize,
    },
    AttemptEnd {
        pick: usize,
        outcome: Outcome,
        units: u8,
    },
    CounterReply {
        pick: usize,
        answer: usize,
    },
    Disconnect {
        pick: usize,
    },
    /// The client disconnects, which is reported after what happens now.
    DisconnectUnreported {
        pick: usize,
    },
    Host {
        id: u64,
        state: HostState,
        start: Start,
    },
    /// A full endpoint list of these hosts, one bit each.
    FullList {
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
    HealthCheck {
        id: u64,
        outcome: Outcome,
        queue: u8,
    },
    Timer {
        token: u32,
    },
    Stale {
        what: usize,
    },
    Elapse {
        ms: u16,
    },
    /// The process is stopped: nothing is reported, and all that expires comes late.
    Pause {
        ms: u16,
    },
    /// Time advances to a moment that matters, or a nanosecond to either side of it; what expires then has
    /// not come yet.
    AdvanceToMoment {
        pick: usize,
        moment: usize,
        off: i64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Start {
    Same,
    Restarted,
    /// The host has restarted in another zone and cell.
    Moved,
}

/// A deployment, and how its gateway and its counter behave.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub settings: Settings,
    pub hosts: u64,
    /// Cancelled attempts end at once, as at the gateway; otherwise by a later step.
    pub cancels_at_once: bool,
    /// Of what expires in one instant, timers come first.
    pub timers_first: bool,
    /// The counter replies with the true total.
    pub is_counter_honest: bool,
}

pub(super) const ROUTES: [Route; 4] = [
    Route { pools: 0, fallback: 0, limit: None },
    Route { pools: 1, fallback: 2, limit: None },
    Route { pools: 2, fallback: 0, limit: Some(RouteLimit { route: 1, max_in_flight: 1 }) },
    Route { pools: 0, fallback: 0, limit: Some(RouteLimit { route: 2, max_in_flight: 2 }) },
];

fn idempotency() -> impl Strategy<Value = Idempotency> {
    let scope = prop_oneof![Just(DedupScope::All), Just(DedupScope::Zone), Just(DedupScope::Cell)];
    let window = prop::sample::select(vec![
        0,
        1,
        50 * MILLISECOND,
        150 * MILLISECOND,
        400 * MILLISECOND,
        2_000 * MILLISECOND,
        20_000 * MILLISECOND,
    ]);
    prop_oneof![
        2 => Just(Idempotency::Idempotent),
        1 => Just(Idempotency::NotIdempotent),
        2 => (scope, window).prop_map(|(scope, window)| Idempotency::WithKey(scope, window)),
    ]
}

fn class() -> impl Strategy<Value = Class> {
    let times = [(1_000, 4_000), (600, 1_500), (100, 100), (400, 400), (60, 100), (0, 500), (2_000, 500)];
    let weight = prop::sample::select(vec![0.0, 1.0, 5.0]);
    let late_fraction = prop::sample::select(vec![0.0, 0.2]);
    (idempotency(), prop::sample::select(times.to_vec()), weight, late_fraction).prop_map(
        |(idempotency, (objective, deadline), weight, late_fraction)| Class {
            latency_objective: objective * MILLISECOND,
            deadline: deadline * MILLISECOND,
            priority_weight: weight,
            late_fraction,
            idempotency,
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

pub fn deployment() -> impl Strategy<Value = Deployment> {
    let classes = prop::collection::vec(class(), 1..4);
    let plans = prop::collection::vec(plan(), 1..3);
    let sizes = (prop::sample::select(vec![1_u32, 3, 40]), 0..5_u32, 1..7_u64);
    let cold = prop::sample::select(vec![0, 2_000 * MILLISECOND]);
    let room = prop::sample::select(vec![0, 4_000, 1 << 20]);
    let flags = any::<[bool; 8]>();
    (classes, plans, sizes, cold, room, flags).prop_map(|(classes, plans, sizes, cold, customer_bytes, flags)| {
        let [may_cancel, may_duplicate, counter, must_subscribe, advises, cancels_at_once, timers_first, is_counter_honest] = flags;
        let (gateways, max_attempts, hosts) = sizes;
        let settings = Settings {
            gateways,
            classes,
            plans,
            may_cancel,
            may_hedge: may_duplicate,
            max_attempts,
            has_counter: counter,
            counter_timeout: 30 * MILLISECOND,
            must_subscribe,
            must_poll_within: 1_000 * MILLISECOND,
            max_retry_after: advises.then_some(1_000 * MILLISECOND),
            cold_capacity: 0.2,
            warm_up: cold,
            customer_bytes,
            ..Settings::default()
        };
        Deployment { settings, hosts, cancels_at_once, timers_first, is_counter_honest }
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

fn host_step() -> impl Strategy<Value = Step> {
    let state =
        prop::sample::select(vec![HostState::Ready, HostState::Ready, HostState::Draining, HostState::Gone]);
    let start = prop::sample::select(vec![Start::Same, Start::Restarted, Start::Moved]);
    let kind = prop::sample::select(vec![HostListKind::Full, HostListKind::Cached, HostListKind::Failed]);
    prop_oneof![
        3 => (1..7_u64, state, start).prop_map(|(id, state, start)| Step::Host { id, state, start }),
        1 => (any::<u8>(), kind).prop_map(|(mask, kind)| Step::FullList { mask, kind }),
        1 => (1..8_u64, outcome(), 0..9_u8).prop_map(|(id, outcome, queue)| Step::HealthCheck { id, outcome, queue }),
    ]
}

pub fn step() -> impl Strategy<Value = Step> {
    let any_of = any::<usize>;
    let remaining = prop_oneof![4 => 1..4_000_u16, 1 => 80..160_u16];
    let request = (0..3_usize, 0..2_usize, 0..4_u64, 0..9_u8, remaining, 0..60_u8, 0..8_usize);
    prop_oneof![
        10 => request.prop_map(|(class, plan, customer, units, remaining, ago, route)| {
            Step::Request { class, plan, customer, units, remaining, ago, route }
        }),
        10 => (any_of(), outcome(), 0..9_u8).prop_map(|(pick, outcome, units)| Step::AttemptEnd { pick, outcome, units }),
        10 => (any_of(), any_of()).prop_map(|(pick, answer)| Step::CounterReply { pick, answer }),
        2 => any_of().prop_map(|pick| Step::Disconnect { pick }),
        1 => any_of().prop_map(|pick| Step::DisconnectUnreported { pick }),
        4 => host_step(),
        1 => any_of().prop_map(|change| Step::Plans { change }),
        1 => (0..6_usize, 0..4_u8).prop_map(|(cell, keep)| Step::Shed { cell, keep }),
        1 => any::<u32>().prop_map(|token| Step::Timer { token }),
        1 => any_of().prop_map(|what| Step::Stale { what }),
        7 => (1..300_u16).prop_map(|ms| Step::Elapse { ms }),
        1 => (1..6_000_u16).prop_map(|ms| Step::Pause { ms }),
        4 => (any_of(), any_of(), -1..2_i64).prop_map(|(pick, moment, off)| Step::AdvanceToMoment { pick, moment, off }),
    ]
}
