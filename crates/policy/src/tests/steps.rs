//! Strategies for random deployments and random steps of a run.

use crate::api::{
    Class, DedupScope, HostListKind, HostState, Idempotency, Outcome, Plan, Route, RouteLimit, Settings, Span,
};
use proptest::prelude::*;

pub(super) const MILLISECOND: Span = 1_000_000;

/// A step of a run. `pick` selects one of the possible targets.
#[derive(Clone, Debug)]
pub enum Step {
    Request(RequestStep),
    AttemptEnd {
        pick: usize,
        outcome: Outcome,
        units: u8,
    },
    CounterReply {
        pick: usize,
        reply_kind: usize,
    },
    Disconnect {
        pick: usize,
    },
    /// The client disconnects, but the event is reported only after the event that is being handled.
    DisconnectUnreported {
        pick: usize,
    },
    Host {
        id: u64,
        state: HostState,
        start: Start,
    },
    /// A complete endpoint list with the hosts in this bit mask.
    FullList {
        mask: u8,
        kind: HostListKind,
    },
    Plans {
        change: usize,
    },
    Shed {
        cell: usize,
        admitted_thirds: u8,
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
        kind: usize,
    },
    Elapse {
        ms: u16,
    },
    /// The process is paused: nothing is reported, and everything that expires is handled after the pause.
    Pause {
        ms: u16,
    },
    /// Time advances to the expiry of a deadline, timer or window, or to a nanosecond before or after it,
    /// before anything that expires at that time is handled.
    AdvanceToInstant {
        pick: usize,
        kind: usize,
        offset_ns: i64,
    },
}

/// A request; its indexes are taken modulo the number of classes and plans.
#[derive(Clone, Debug)]
pub struct RequestStep {
    pub class: usize,
    pub plan: usize,
    pub customer: u64,
    pub units: u8,
    pub remaining_ms: u16,
    pub ago_ms: u8,
    pub route: usize,
}

/// How the process of a host changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Start {
    Same,
    Restarted,
    /// The host has restarted in another zone and cell.
    Moved,
}

/// A deployment, and the behaviour of its gateway and its counter.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub settings: Settings,
    pub hosts: u64,
    /// Cancelled attempts end immediately, as in the real gateway; otherwise a later step ends them.
    pub cancels_at_once: bool,
    /// Timers are handled before attempts and calls that expire at the same time.
    pub timers_first: bool,
    /// The counter always replies with the correct total.
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
    let max_concurrent = prop::sample::select(vec![0, 0, 1, 6]);
    (
        pick(&[0.0, 2.0, 10.0, 1_000.0]),
        pick(&[1.0, 20.0]),
        max_concurrent,
        pick(&[0.0, 0.0, 3.0]),
        any::<bool>(),
    )
        .prop_map(|(rate, burst, max_concurrent, ceiling_rate, may_exceed_quota)| Plan {
            rate,
            burst,
            max_concurrent,
            weight_factor: 1.0,
            over_quota_weight: if may_exceed_quota { 0.3 } else { 0.0 },
            over_quota_cost: if may_exceed_quota { 0.0 } else { 0.6 },
            ceiling_rate,
            ceiling_burst: 8.0,
            ..Plan::default()
        })
}

pub fn deployment() -> impl Strategy<Value = Deployment> {
    let classes = prop::collection::vec(class(), 1..4);
    let plans = prop::collection::vec(plan(), 1..3);
    let sizes = (prop::sample::select(vec![1_u32, 3, 40]), 0..5_u32, 1..7_u64);
    let warm_up = prop::sample::select(vec![0, 2_000 * MILLISECOND]);
    let customer_bytes = prop::sample::select(vec![0, 4_000, 1 << 20]);
    let flags = any::<[bool; 8]>();
    (classes, plans, sizes, warm_up, customer_bytes, flags).prop_map(|(classes, plans, sizes, warm_up, customer_bytes, flags)| {
        let [may_cancel, may_hedge, has_counter, must_subscribe, sends_retry_after, cancels_at_once, timers_first, is_counter_honest] = flags;
        let (gateways, max_attempts, hosts) = sizes;
        let settings = Settings {
            gateways,
            classes,
            plans,
            may_cancel,
            may_hedge,
            max_attempts,
            has_counter,
            counter_timeout: 30 * MILLISECOND,
            must_subscribe,
            must_poll_within: 1_000 * MILLISECOND,
            max_retry_after: sends_retry_after.then_some(1_000 * MILLISECOND),
            initial_capacity: 0.2,
            warm_up,
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
    let any_index = any::<usize>;
    let remaining = prop_oneof![4 => 1..4_000_u16, 1 => 80..160_u16];
    let request = (0..3_usize, 0..2_usize, 0..4_u64, 0..9_u8, remaining, 0..60_u8, 0..8_usize);
    prop_oneof![
        10 => request.prop_map(|(class, plan, customer, units, remaining_ms, ago_ms, route)| {
            Step::Request(RequestStep { class, plan, customer, units, remaining_ms, ago_ms, route })
        }),
        10 => (any_index(), outcome(), 0..9_u8).prop_map(|(pick, outcome, units)| Step::AttemptEnd { pick, outcome, units }),
        10 => (any_index(), any_index()).prop_map(|(pick, reply_kind)| Step::CounterReply { pick, reply_kind }),
        2 => any_index().prop_map(|pick| Step::Disconnect { pick }),
        1 => any_index().prop_map(|pick| Step::DisconnectUnreported { pick }),
        4 => host_step(),
        1 => any_index().prop_map(|change| Step::Plans { change }),
        1 => (0..6_usize, 0..4_u8).prop_map(|(cell, admitted_thirds)| Step::Shed { cell, admitted_thirds }),
        1 => any::<u32>().prop_map(|token| Step::Timer { token }),
        1 => any_index().prop_map(|kind| Step::Stale { kind }),
        7 => (1..300_u16).prop_map(|ms| Step::Elapse { ms }),
        1 => (1..6_000_u16).prop_map(|ms| Step::Pause { ms }),
        4 => (any_index(), any_index(), -1..2_i64).prop_map(|(pick, kind, offset_ns)| Step::AdvanceToInstant { pick, kind, offset_ns }),
    ]
}
