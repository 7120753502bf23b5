//! Leases of units, settlement, and the bounds on the state of customers and on keys of the counter.
mod common;
use common::site::START;
use common::*;
use policy::api::*;
use policy::counter_keys;
use std::collections::{BTreeMap, BTreeSet};

/// Sends a request and replies to its call with the total that other gateways leave.
fn lease(g: &mut Harness, id: u64, units: f64, others: f64, total: &mut f64) -> Vec<Action> {
    let mut actions = g.request(id, 0, 7, units);
    for (name, amount) in calls_in(&actions) {
        *total += amount + others;
        actions.extend(g.counter_replied(name, Outcome::Ok, *total));
    }
    actions
}

#[test]
fn units_are_leased_before_the_first_attempt_and_a_lease_serves_several_requests() {
    let (mut g, mut total) = (Harness::new(settings(), 60), 0.0);
    let first = g.request(1, 0, 7, 2.0);
    assert!(attempts_in(&first).is_empty(), "no attempt before the lease");
    let (name, amount) = calls_in(&first)[0];
    assert!(amount >= 2.0);
    total += amount;
    assert_eq!(attempts_in(&g.counter_replied(name, Outcome::Ok, total)).len(), 1);
    let mut asked = 0;
    for id in 2..8 {
        g.pass(100 * MS);
        asked += calls_in(&lease(&mut g, id, 1.0, 0.0, &mut total)).len();
    }
    assert!(asked < 6, "leases of several units, not a call for each request: {asked}");
}

/// More requests of a customer wait for the counter than are considered at once: those behind wait as well,
/// and are admitted by replies that cover them.
#[test]
fn requests_behind_those_considered_are_admitted_by_replies_that_cover_them() {
    let plan =
        Plan { rate: 1_000.0, burst: 1_000.0, weight_factor: 1.0, over_quota_cost: 0.5, ..Plan::default() };
    let (mut g, mut total) = (Harness::new(Settings { plans: vec![plan], ..settings() }, 60), 0.0);
    let mut actions: Vec<Action> = (1..=40).flat_map(|id| g.request(id, 1, 7, 2.0)).collect();
    let mut sent = 0;
    while !actions.is_empty() {
        sent += attempts_in(&actions).len();
        let refused = (1..=40).filter(|id| is_rejected(&actions, *id)).count();
        assert_eq!(refused, 0, "beyond a quota of 1,000 units, with {sent} sent");
        let mut replies = Vec::new();
        for (name, amount) in calls_in(&actions) {
            total += amount;
            replies.extend(g.counter_replied(name, Outcome::Ok, total));
        }
        replies.extend(g.pass(20 * MS));
        actions = replies;
    }
    // The requests that still wait are rejected in time.
    g.pass(1_000 * MS);
    assert_eq!(sent, 40);
}

#[test]
fn requests_beyond_the_token_bucket_are_rejected() {
    let (mut g, mut total) = (Harness::new(settings(), 60), 0.0);
    let mut sent = 0;
    for id in 1..=60 {
        sent += attempts_in(&lease(&mut g, id, 1.0, 0.0, &mut total)).len();
    }
    assert!((15..=17).contains(&sent), "the cheap class leaves the last units to the worthier one: {sent}");
    for id in 100..=160 {
        let mut actions = g.request(id, 1, 7, 1.0);
        for (name, amount) in calls_in(&actions) {
            total += amount;
            actions.extend(g.counter_replied(name, Outcome::Ok, total));
        }
        sent += attempts_in(&actions).len();
    }
    assert!((18..=20).contains(&sent), "a burst of 20 units lets in 20 at most: {sent}");
}

#[test]
fn units_used_by_other_gateways_are_not_available_here() {
    let (mut g, mut total) = (Harness::new(settings(), 60), 0.0);
    let actions = lease(&mut g, 1, 2.0, 100.0, &mut total);
    assert!(attempts_in(&actions).is_empty());
    assert!(is_rejected(&g.pass(400 * MS), 1) || is_rejected(&actions, 1));
}

#[test]
fn actual_units_are_settled_through_the_lease() {
    let settings = settings();
    let (mut g, mut total) = (Harness::new(settings, 60), 0.0);
    let mut sent = 0;
    for id in 1..=40 {
        for (request, host) in attempts_in(&lease(&mut g, id, 1.0, 0.0, &mut total)) {
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
            g.on(Event::AttemptEnded(end));
        }
    }
    assert!((4..=6).contains(&sent), "20 units are spent by five requests of four: {sent}");
}

#[test]
fn a_counter_that_rejects_calls_leaves_each_customer_a_local_grant() {
    let mut g = Harness::new(settings(), 60);
    let mut sent = 0;
    for id in 1..=60 {
        let actions = g.request(id, 0, id % 6, 1.0);
        sent += attempts_in(&actions).len();
        for (name, _) in calls_in(&actions) {
            sent += attempts_in(&g.counter_replied(name, Outcome::Rejected, 0.0)).len();
        }
    }
    assert!(sent >= 42, "most of an even fraction of each token bucket is admitted: {sent}");
    let more: usize = (100..140).map(|id| calls_in(&g.request(id, 0, id % 6, 1.0)).len()).sum();
    assert_eq!(more, 0, "a dead counter is not called for every request");
    g.pass(1_100 * MS);
    assert_eq!(calls_in(&g.request(200, 0, 1, 1.0)).len(), 1, "but called again after a while");
}

#[test]
fn a_total_that_decreased_leaves_no_units_to_reconcile() {
    let mut g = Harness::new(settings(), 60);
    let (mut totals, mut sent, mut reads) = (BTreeMap::<CounterKey, f64>::new(), 0, 0);
    for id in 1..=80 {
        if id == 40 {
            totals.clear();
        }
        let mut actions = g.pass(200 * MS);
        reads += calls_in(&actions).iter().filter(|(_, amount)| *amount == 0.0).count();
        actions.extend(g.request(id, 0, 1, 1.0));
        while !actions.is_empty() {
            sent += attempts_in(&actions).len();
            let answers = calls_in(&actions).into_iter().flat_map(|(name, amount)| {
                let total = totals.entry(name).or_default();
                *total += amount;
                g.counter_replied(name, Outcome::Ok, *total)
            });
            actions = answers.collect();
        }
    }
    assert!(sent >= 75, "five units a second of a rate of ten: {sent}");
    assert!(reads > 0, "the other numbers are read as well");
}

#[test]
fn a_ceiling_rejects_while_an_add_is_in_doubt() {
    let mut settings = settings();
    settings.plans[0].ceiling_rate = 20.0;
    settings.plans[0].ceiling_burst = 40.0;
    let mut g = Harness::new(settings, 60);
    let mut sent = 0;
    for id in 1..=20 {
        let actions = g.request(id, 0, 7, 1.0);
        sent += attempts_in(&actions).len();
        for (name, _) in calls_in(&actions) {
            sent += attempts_in(&g.counter_replied(name, Outcome::Timeout, 0.0)).len();
        }
    }
    assert_eq!(sent, 0);
}

#[test]
fn without_a_counter_a_customer_gets_an_even_fraction() {
    let mut settings = settings();
    settings.has_counter = false;
    let mut g = Harness::new(settings, 60);
    let sent: usize = (1..=60).map(|id| attempts_in(&g.request(id, 0, 7, 1.0)).len()).sum();
    assert!((7..=12).contains(&sent), "about half of a burst of 20 for a spread of 2: {sent}");
}

#[test]
fn customers_and_hosts_that_come_and_go_leave_no_state() {
    let mut g = Harness::new(Settings { gateways: 200, ..settings() }, 0);
    let (mut id, mut most) = (0, 0);
    for round in 0..40 {
        g.list(HostListKind::Full, (1..=20).map(|host| entry(1_000 * round + host)).collect());
        for _ in 0..100 {
            id += 1;
            let request = Request {
                id: RequestId(id),
                customer: CustomerId(id),
                units: 1.0,
                set_size: 200,
                ..Request::default()
            };
            let mut actions = g.on(Event::Request(Request { remaining: 4_000 * MS, ..request }));
            for (name, amount) in calls_in(&actions) {
                actions.extend(g.counter_replied(name, Outcome::Ok, amount));
            }
            for (request, host) in attempts_in(&actions) {
                g.ended(request.0, 0, host, Outcome::Ok);
            }
            g.pass(100 * MS);
        }
        most = most.max(g.policy.record_count());
    }
    assert!(most < 1_500, "4,000 customers and 800 hosts came and went: {most} records at the most");
    g.pass(120_000 * MS);
    assert!(
        g.policy.record_count() <= 20,
        "only the hosts of the last list are left: {}",
        g.policy.record_count()
    );
}

#[test]
fn any_set_size_and_any_number_of_gateways_give_valid_decisions() {
    for (gateways, spread) in
        [(1, 0), (1, 1), (1, 10_000), (3, 0), (3, 3), (5_000, 1), (5_000, 4_000), (5_000, u32::MAX)]
    {
        let mut g = Harness::new(Settings { gateways, ..settings() }, 60);
        let (mut sent, mut refusals) = (0, 0);
        for id in 1..=100 {
            let request = Request {
                id: RequestId(id),
                units: 1.0,
                remaining: 4_000 * MS,
                set_size: spread,
                ..Request::default()
            };
            let mut actions = g.on(Event::Request(request));
            for (name, amount) in calls_in(&actions) {
                assert!(
                    amount.is_finite() && amount >= 0.0,
                    "{gateways} gateways, spread {spread}: adds {amount}"
                );
                actions.extend(g.counter_replied(name, Outcome::Ok, amount));
            }
            actions.extend(g.pass(1_000 * MS));
            for (request, host) in attempts_in(&actions) {
                sent += 1;
                g.ended(request.0, 0, host, Outcome::Ok);
            }
            refusals += (1..=id).filter(|id| is_rejected(&actions, *id)).count();
        }
        assert_eq!(sent + refusals, 100, "{gateways} gateways, spread {spread}: each request has its answer");
        assert!(
            sent > 0,
            "{gateways} gateways, spread {spread}: a customer far within its quota is admitted"
        );
    }
}

#[test]
fn no_two_numbers_on_the_counter_share_a_key() {
    let mut all = BTreeSet::new();
    for epoch in 0..40 {
        let at = START + epoch * counter_keys::EPOCH;
        for customer in (0..200).chain((1 << 33) - 200..1 << 33).map(CustomerId) {
            assert!(all.insert(counter_keys::leased(customer, at)), "{customer:?}, leased in epoch {epoch}");
            assert!(
                all.insert(counter_keys::reconciled(customer, at)),
                "{customer:?}, reconciled in epoch {epoch}"
            );
        }
    }
    for epoch in 0..80 {
        for group in 0..50 {
            let at = START + epoch * quota::HEARTBEAT_EPOCH;
            assert!(
                all.insert(counter_keys::heartbeat(group, at)),
                "heartbeats of group {group}, epoch {epoch}"
            );
        }
    }
    let (first, last) = (START, START + counter_keys::EPOCH - 1);
    assert_eq!(
        counter_keys::leased(CustomerId(1), first),
        counter_keys::leased(CustomerId(1), last),
        "one name an epoch"
    );
}
