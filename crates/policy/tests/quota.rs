//! Leases of units, settlement of actual units, the bound on the state of customers, and keys of the counter.
mod common;
use common::site::START;
use common::*;
use policy::api::*;
use policy::counter_keys;
use std::collections::{BTreeMap, BTreeSet};

/// Sends a request and replies to its calls. Before each reply the other gateways add `others` units to the
/// total.
fn request_and_reply(
    gateway: &mut TestGateway,
    id: u64,
    units: f64,
    others: f64,
    total: &mut f64,
) -> Vec<Action> {
    let mut actions = gateway.request(id, 0, 7, units);
    for (key, amount) in counter_calls_in(&actions) {
        *total += amount + others;
        actions.extend(gateway.reply_to_call(key, Outcome::Ok, *total));
    }
    actions
}

#[test]
fn units_are_leased_before_the_first_attempt_and_a_lease_serves_several_requests() {
    let (mut gateway, mut total) = (TestGateway::new(settings(), 60), 0.0);
    let first = gateway.request(1, 0, 7, 2.0);
    assert!(attempts_in(&first).is_empty(), "no attempt before the lease");
    let (key, amount) = counter_calls_in(&first)[0];
    assert!(amount >= 2.0);
    total += amount;
    assert_eq!(attempts_in(&gateway.reply_to_call(key, Outcome::Ok, total)).len(), 1);
    let mut calls = 0;
    for id in 2..8 {
        gateway.advance(100 * MS);
        calls += counter_calls_in(&request_and_reply(&mut gateway, id, 1.0, 0.0, &mut total)).len();
    }
    assert!(calls < 6, "a lease of several units instead of a call per request: {calls} calls");
}

/// More requests of a customer wait for the counter than are considered at once. The later ones wait too, and
/// are admitted by the replies to calls that include their units.
#[test]
fn requests_queued_behind_those_considered_are_admitted_by_later_replies() {
    let plan =
        Plan { rate: 1_000.0, burst: 1_000.0, weight_factor: 1.0, over_quota_cost: 0.5, ..Plan::default() };
    let (mut gateway, mut total) = (TestGateway::new(Settings { plans: vec![plan], ..settings() }, 60), 0.0);
    let mut actions: Vec<Action> = (1..=40).flat_map(|id| gateway.request(id, 1, 7, 2.0)).collect();
    let mut sent = 0;
    while !actions.is_empty() {
        sent += attempts_in(&actions).len();
        let rejected = (1..=40).filter(|id| is_rejected(&actions, *id)).count();
        assert_eq!(rejected, 0, "rejected within a quota of 1,000 units, with {sent} forwarded");
        let mut replies = Vec::new();
        for (key, amount) in counter_calls_in(&actions) {
            total += amount;
            replies.extend(gateway.reply_to_call(key, Outcome::Ok, total));
        }
        replies.extend(gateway.advance(20 * MS));
        actions = replies;
    }
    // Requests that still wait are rejected in this time.
    gateway.advance(1_000 * MS);
    assert_eq!(sent, 40);
}

#[test]
fn requests_beyond_the_token_bucket_are_rejected() {
    let (mut gateway, mut total) = (TestGateway::new(settings(), 60), 0.0);
    let mut sent = 0;
    for id in 1..=60 {
        sent += attempts_in(&request_and_reply(&mut gateway, id, 1.0, 0.0, &mut total)).len();
    }
    assert!(
        (15..=17).contains(&sent),
        "the last units are reserved for the class with the higher priority weight: {sent}"
    );
    for id in 100..=160 {
        let mut actions = gateway.request(id, 1, 7, 1.0);
        for (key, amount) in counter_calls_in(&actions) {
            total += amount;
            actions.extend(gateway.reply_to_call(key, Outcome::Ok, total));
        }
        sent += attempts_in(&actions).len();
    }
    assert!((18..=20).contains(&sent), "a burst of 20 units admits at most 20: {sent}");
}

#[test]
fn units_used_by_other_gateways_are_not_available_here() {
    let (mut gateway, mut total) = (TestGateway::new(settings(), 60), 0.0);
    let actions = request_and_reply(&mut gateway, 1, 2.0, 100.0, &mut total);
    assert!(attempts_in(&actions).is_empty());
    assert!(is_rejected(&gateway.advance(400 * MS), 1) || is_rejected(&actions, 1));
}

#[test]
fn actual_units_are_settled_through_the_lease() {
    let settings = settings();
    let (mut gateway, mut total) = (TestGateway::new(settings, 60), 0.0);
    let mut sent = 0;
    for id in 1..=40 {
        for (request, host) in attempts_in(&request_and_reply(&mut gateway, id, 1.0, 0.0, &mut total)) {
            sent += 1;
            let end = AttemptEnded {
                id: request,
                attempt: 0,
                host,
                outcome: Outcome::Ok,
                elapsed: 50 * MS,
                is_request_closed: true,
                quota_used: None,
                actual_units: Some(4.0),
                report: None,
            };
            gateway.report(Event::AttemptEnded(end));
        }
    }
    assert!((4..=6).contains(&sent), "five requests of four units spend 20 units: {sent}");
}

#[test]
fn a_counter_that_rejects_calls_leaves_each_customer_a_local_grant() {
    let mut gateway = TestGateway::new(settings(), 60);
    let mut sent = 0;
    for id in 1..=60 {
        let actions = gateway.request(id, 0, id % 6, 1.0);
        sent += attempts_in(&actions).len();
        for (key, _) in counter_calls_in(&actions) {
            sent += attempts_in(&gateway.reply_to_call(key, Outcome::Rejected, 0.0)).len();
        }
    }
    assert!(sent >= 42, "most of an even fraction of each token bucket is granted: {sent}");
    let further_calls: usize =
        (100..140).map(|id| counter_calls_in(&gateway.request(id, 0, id % 6, 1.0)).len()).sum();
    assert_eq!(further_calls, 0, "a failing counter is not called for each request");
    gateway.advance(1_100 * MS);
    assert_eq!(
        counter_calls_in(&gateway.request(200, 0, 1, 1.0)).len(),
        1,
        "the counter is called again after a delay"
    );
}

#[test]
fn requests_are_still_admitted_after_a_counter_reset() {
    let mut gateway = TestGateway::new(settings(), 60);
    let (mut totals, mut sent, mut reads) = (BTreeMap::<CounterKey, f64>::new(), 0, 0);
    for id in 1..=80 {
        if id == 40 {
            totals.clear();
        }
        let mut actions = gateway.advance(200 * MS);
        reads += counter_calls_in(&actions).iter().filter(|(_, amount)| *amount == 0.0).count();
        actions.extend(gateway.request(id, 0, 1, 1.0));
        while !actions.is_empty() {
            sent += attempts_in(&actions).len();
            let reply_actions = counter_calls_in(&actions).into_iter().flat_map(|(key, amount)| {
                let total = totals.entry(key).or_default();
                *total += amount;
                gateway.reply_to_call(key, Outcome::Ok, *total)
            });
            actions = reply_actions.collect();
        }
    }
    assert!(sent >= 75, "five units per second are within a rate of ten: {sent}");
    assert!(reads > 0, "other entries are read as well");
}

#[test]
fn a_ceiling_rejects_while_an_add_is_in_doubt() {
    let mut settings = settings();
    settings.plans[0].ceiling_rate = 20.0;
    settings.plans[0].ceiling_burst = 40.0;
    let mut gateway = TestGateway::new(settings, 60);
    let mut sent = 0;
    for id in 1..=20 {
        let actions = gateway.request(id, 0, 7, 1.0);
        sent += attempts_in(&actions).len();
        for (key, _) in counter_calls_in(&actions) {
            sent += attempts_in(&gateway.reply_to_call(key, Outcome::Timeout, 0.0)).len();
        }
    }
    assert_eq!(sent, 0);
}

#[test]
fn without_a_counter_a_customer_gets_an_even_fraction() {
    let mut settings = settings();
    settings.has_counter = false;
    let mut gateway = TestGateway::new(settings, 60);
    let sent: usize = (1..=60).map(|id| attempts_in(&gateway.request(id, 0, 7, 1.0)).len()).sum();
    assert!((7..=12).contains(&sent), "about half of a burst of 20 for a set of 2 gateways: {sent}");
}

#[test]
fn state_of_former_customers_and_hosts_is_removed() {
    let mut gateway = TestGateway::new(Settings { gateways: 200, ..settings() }, 0);
    let (mut id, mut max_records) = (0, 0);
    for round in 0..40 {
        gateway
            .report_host_list(HostListKind::Full, (1..=20).map(|host| entry(1_000 * round + host)).collect());
        for _ in 0..100 {
            id += 1;
            let request = Request {
                id: RequestId(id),
                customer: CustomerId(id),
                units: 1.0,
                set_size: 200,
                ..Request::default()
            };
            let mut actions = gateway.report(Event::Request(Request { remaining: 4_000 * MS, ..request }));
            for (key, amount) in counter_calls_in(&actions) {
                actions.extend(gateway.reply_to_call(key, Outcome::Ok, amount));
            }
            for (request, host) in attempts_in(&actions) {
                gateway.end_attempt(request.0, 0, host, Outcome::Ok);
            }
            gateway.advance(100 * MS);
        }
        max_records = max_records.max(gateway.policy.record_count());
    }
    assert!(max_records < 1_500, "at most {max_records} records for 4,000 customers and 800 hosts in turn");
    gateway.advance(120_000 * MS);
    assert!(
        gateway.policy.record_count() <= 20,
        "only records of the hosts in the last list remain: {}",
        gateway.policy.record_count()
    );
}

#[test]
fn any_set_size_and_any_number_of_gateways_give_valid_decisions() {
    for (gateways, set_size) in
        [(1, 0), (1, 1), (1, 10_000), (3, 0), (3, 3), (5_000, 1), (5_000, 4_000), (5_000, u32::MAX)]
    {
        let mut gateway = TestGateway::new(Settings { gateways, ..settings() }, 60);
        let (mut sent, mut rejected) = (0, 0);
        for id in 1..=100 {
            let request = Request {
                id: RequestId(id),
                units: 1.0,
                remaining: 4_000 * MS,
                set_size,
                ..Request::default()
            };
            let mut actions = gateway.report(Event::Request(request));
            for (key, amount) in counter_calls_in(&actions) {
                assert!(
                    amount.is_finite() && amount >= 0.0,
                    "{gateways} gateways, set of {set_size}: adds {amount}"
                );
                actions.extend(gateway.reply_to_call(key, Outcome::Ok, amount));
            }
            actions.extend(gateway.advance(1_000 * MS));
            for (request, host) in attempts_in(&actions) {
                sent += 1;
                gateway.end_attempt(request.0, 0, host, Outcome::Ok);
            }
            rejected += (1..=id).filter(|id| is_rejected(&actions, *id)).count();
        }
        assert_eq!(
            sent + rejected,
            100,
            "{gateways} gateways, set of {set_size}: each request is forwarded or rejected"
        );
        assert!(
            sent > 0,
            "{gateways} gateways, set of {set_size}: a customer far within its quota is admitted"
        );
    }
}

#[test]
fn no_two_counter_entries_share_a_key() {
    let mut keys = BTreeSet::new();
    for epoch in 0..40 {
        let at = START + epoch * counter_keys::EPOCH;
        for customer in (0..200).chain((1 << 33) - 200..1 << 33).map(CustomerId) {
            assert!(keys.insert(counter_keys::leased(customer, at)), "{customer:?}, leased in epoch {epoch}");
            assert!(
                keys.insert(counter_keys::reconciled(customer, at)),
                "{customer:?}, reconciled in epoch {epoch}"
            );
        }
    }
    for epoch in 0..80 {
        for group in 0..50 {
            let at = START + epoch * quota::HEARTBEAT_EPOCH;
            assert!(
                keys.insert(counter_keys::heartbeat(group, at)),
                "heartbeats of group {group}, epoch {epoch}"
            );
        }
    }
    let (first, last) = (START, START + counter_keys::EPOCH - 1);
    assert_eq!(
        counter_keys::leased(CustomerId(1), first),
        counter_keys::leased(CustomerId(1), last),
        "the key is the same throughout an epoch"
    );
}
