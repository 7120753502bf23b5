//! Windowed admission: quotas too small to be leased by all gateways of their customer.
mod common;
use common::*;
use policy::api::*;
use policy::counter_keys;
use quota::{GatewaySet, WindowedLimiter};
use std::collections::VecDeque;

/// Returns how many of 200 requests one of 200 gateways admits of a customer that all of them serve, when all
/// together get `use_of_rate` times the customer's rate.
fn let_in_when_spread(use_of_rate: f64) -> usize {
    let many = Settings { gateways: 200, ..settings() };
    let set = GatewaySet { first_gateway: 0, set_size: 200, gateway_index: 0, gateways: 200 };
    let windows = WindowedLimiter::new(many.plans[0].rate, many.plans[0].burst, set.phase(), set.set_size);
    let mut g = Harness::new(many, 60);
    let mut sent = 0;
    for id in 1..=200 {
        let request = Request {
            id: RequestId(id),
            units: 2.0,
            remaining: 4_000 * MS,
            set_size: 200,
            ..Request::default()
        };
        let mut actions = g.on(Event::Request(request));
        for (name, amount) in calls_in(&actions) {
            // In a window, which has a number of its own, the demand is as given.
            let window = windows.window_at(g.now);
            assert_eq!(name, counter_keys::demand(CustomerId(0), window));
            let lasted = (g.now - windows.window_start(window)) as f64 / windows.window_length() as f64;
            let asked = use_of_rate * 20.0 * lasted;
            actions.extend(g.counter_replied(name, Outcome::Ok, asked + amount));
        }
        for (request, host) in attempts_in(&actions) {
            sent += 1;
            g.ended(request.0, 0, host, Outcome::Ok);
        }
        g.pass(100 * MS);
    }
    sent
}

#[test]
fn a_small_quota_over_many_gateways_is_admitted_by_the_demand_at_all_of_them() {
    let (calm, heavy) = (let_in_when_spread(0.3), let_in_when_spread(4.0));
    assert!(calm >= 180, "inside its quota nearly all of it comes in: {calm}");
    assert!((1..=60).contains(&heavy), "at four times its quota at most its ration does: {heavy}");
}

#[test]
fn calls_decrease_while_the_counter_is_slow_and_increase_again() {
    let mut g = Harness::new(Settings { gateways: 200, ..settings() }, 60);
    let asked = |g: &mut Harness, ids: std::ops::Range<u64>, outcome: Outcome| {
        let mut count = 0;
        for id in ids {
            let request = Request {
                id: RequestId(id),
                units: 1.0,
                remaining: 4_000 * MS,
                customer: CustomerId(id),
                ..Request::default()
            };
            let mut actions = g.on(Event::Request(Request { set_size: 200, ..request }));
            for (name, _) in calls_in(&actions) {
                count += 1;
                actions.extend(g.counter_replied(name, outcome, 1.0));
            }
            for (request, host) in attempts_in(&actions) {
                g.ended(request.0, 0, host, Outcome::Ok);
            }
            g.pass(200 * MS);
        }
        count
    };
    let before = asked(&mut g, 1..100, Outcome::Ok);
    let during = asked(&mut g, 100..200, Outcome::Timeout);
    asked(&mut g, 200..400, Outcome::Ok);
    let after = asked(&mut g, 400..500, Outcome::Ok);
    assert!(during * 2 < before && after * 3 > before * 2, "{before}, then {during}, then {after} calls");
}

/// Replies to all calls with what they add, and returns the attempts.
fn sent_when_counted(g: &mut Harness, mut actions: Vec<Action>) -> Vec<(RequestId, HostId)> {
    while let Some(at) = actions.iter().position(|action| matches!(action, Action::AddToCounter { .. })) {
        let (name, amount) = calls_in(&[actions.swap_remove(at)])[0];
        actions.extend(g.counter_replied(name, Outcome::Ok, amount));
    }
    attempts_in(&actions)
}

#[test]
fn a_customer_under_windowed_admission_has_no_more_open_requests_than_its_plan_allows() {
    let mut many = Settings { gateways: 200, ..settings() };
    many.plans[0].max_concurrent = 200;
    let mut g = Harness::new(many, 60);
    let (mut out, mut most, mut sent) = (VecDeque::<(RequestId, HostId)>::new(), 0, 0);
    for id in 1..=100 {
        let request = Request { id: RequestId(id), units: 1.0, remaining: 4_000 * MS, ..Request::default() };
        let mut actions = g.on(Event::Request(Request { set_size: 200, ..request }));
        actions.extend(g.pass(20 * MS));
        let over = if id % 5 == 0 { out.pop_front() } else { None };
        if let Some((request, host)) = over {
            actions.extend(g.ended(request.0, 0, host, Outcome::Ok));
        }
        let more = sent_when_counted(&mut g, actions);
        sent += more.len();
        out.extend(more);
        most = most.max(out.len());
    }
    assert_eq!(most, 1, "this gateway's part of the limit");
    assert!(sent >= 18, "and each that ends makes room: {sent}");
}
