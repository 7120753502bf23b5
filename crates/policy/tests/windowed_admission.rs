//! Windowed admission, for quotas that are too small to be leased by all gateways of a customer.
mod common;
use common::*;
use policy::api::*;
use policy::counter_keys;
use quota::{GatewaySet, WindowedLimiter};
use std::collections::VecDeque;

/// Returns how many of 200 requests of a customer are forwarded by one of the 200 gateways that serve it,
/// while the gateways together get `load_factor` times the customer's rate.
fn count_admitted_by_one_gateway(load_factor: f64) -> usize {
    let settings_of_many_gateways = Settings { gateways: 200, ..settings() };
    let set = GatewaySet { first_gateway: 0, set_size: 200, gateway_index: 0, gateways: 200 };
    let limiter = WindowedLimiter::new(
        settings_of_many_gateways.plans[0].rate,
        settings_of_many_gateways.plans[0].burst,
        set.phase(),
        set.set_size,
    );
    let mut gateway = TestGateway::new(settings_of_many_gateways, 60);
    let mut sent = 0;
    for id in 1..=200 {
        let request = Request {
            id: RequestId(id),
            units: 2.0,
            remaining: 4_000 * MS,
            set_size: 200,
            ..Request::default()
        };
        let mut actions = gateway.report(Event::Request(request));
        for (key, amount) in counter_calls_in(&actions) {
            // Each window has a separate entry; its total follows the given demand.
            let window = limiter.window_at(gateway.now);
            assert_eq!(key, counter_keys::demand(CustomerId(0), window));
            let elapsed_fraction =
                (gateway.now - limiter.window_start(window)) as f64 / limiter.window_length() as f64;
            let demand = load_factor * 20.0 * elapsed_fraction;
            actions.extend(gateway.reply_to_call(key, Outcome::Ok, demand + amount));
        }
        for (request, host) in attempts_in(&actions) {
            sent += 1;
            gateway.end_attempt(request.0, 0, host, Outcome::Ok);
        }
        gateway.advance(100 * MS);
    }
    sent
}

#[test]
fn a_small_quota_over_many_gateways_is_admitted_by_the_demand_at_all_of_them() {
    let (within_quota, over_quota) = (count_admitted_by_one_gateway(0.3), count_admitted_by_one_gateway(4.0));
    assert!(within_quota >= 180, "within the quota nearly all requests are admitted: {within_quota}");
    assert!(
        (1..=60).contains(&over_quota),
        "at four times the quota at most its fraction is admitted: {over_quota}"
    );
}

#[test]
fn calls_decrease_while_the_counter_is_slow_and_increase_again() {
    let mut gateway = TestGateway::new(Settings { gateways: 200, ..settings() }, 60);
    let count_calls = |gateway: &mut TestGateway, ids: std::ops::Range<u64>, outcome: Outcome| {
        let mut count = 0;
        for id in ids {
            let request = Request {
                id: RequestId(id),
                units: 1.0,
                remaining: 4_000 * MS,
                customer: CustomerId(id),
                ..Request::default()
            };
            let mut actions = gateway.report(Event::Request(Request { set_size: 200, ..request }));
            for (key, _) in counter_calls_in(&actions) {
                count += 1;
                actions.extend(gateway.reply_to_call(key, outcome, 1.0));
            }
            for (request, host) in attempts_in(&actions) {
                gateway.end_attempt(request.0, 0, host, Outcome::Ok);
            }
            gateway.advance(200 * MS);
        }
        count
    };
    let before = count_calls(&mut gateway, 1..100, Outcome::Ok);
    let during = count_calls(&mut gateway, 100..200, Outcome::Timeout);
    count_calls(&mut gateway, 200..400, Outcome::Ok);
    let after = count_calls(&mut gateway, 400..500, Outcome::Ok);
    assert!(during * 2 < before && after * 3 > before * 2, "{before}, then {during}, then {after} calls");
}

/// Replies to all calls with the amount that each adds as the total, and returns the attempts.
fn reply_and_collect_attempts(
    gateway: &mut TestGateway,
    mut actions: Vec<Action>,
) -> Vec<(RequestId, HostId)> {
    while let Some(at) = actions.iter().position(|action| matches!(action, Action::AddToCounter { .. })) {
        let (key, amount) = counter_calls_in(&[actions.swap_remove(at)])[0];
        actions.extend(gateway.reply_to_call(key, Outcome::Ok, amount));
    }
    attempts_in(&actions)
}

#[test]
fn a_customer_under_windowed_admission_has_no_more_open_requests_than_its_plan_allows() {
    let mut settings_of_many_gateways = Settings { gateways: 200, ..settings() };
    settings_of_many_gateways.plans[0].max_concurrent = 200;
    let mut gateway = TestGateway::new(settings_of_many_gateways, 60);
    let (mut in_flight, mut max_in_flight, mut sent) = (VecDeque::<(RequestId, HostId)>::new(), 0, 0);
    for id in 1..=100 {
        let request = Request { id: RequestId(id), units: 1.0, remaining: 4_000 * MS, ..Request::default() };
        let mut actions = gateway.report(Event::Request(Request { set_size: 200, ..request }));
        actions.extend(gateway.advance(20 * MS));
        let ended = if id % 5 == 0 { in_flight.pop_front() } else { None };
        if let Some((request, host)) = ended {
            actions.extend(gateway.end_attempt(request.0, 0, host, Outcome::Ok));
        }
        let attempts = reply_and_collect_attempts(&mut gateway, actions);
        sent += attempts.len();
        in_flight.extend(attempts);
        max_in_flight = max_in_flight.max(in_flight.len());
    }
    assert_eq!(max_in_flight, 1, "this gateway's share of the limit");
    assert!(sent >= 18, "a request is forwarded after each one that ends: {sent}");
}
