//! Outages of the counter: units are granted locally, and reconciled when the counter is back.
mod common;
use common::counter::{Fault, FaultWindow};
use common::site::{Customer, Scenario, Site, TrafficPattern, START};
use common::*;
use policy::api::*;
use policy::counter_keys;
use std::collections::BTreeMap;

/// What the counter of a single gateway holds.
#[derive(Default)]
struct Book {
    totals: BTreeMap<CounterKey, f64>,
}

impl Book {
    /// Replies to all calls; those to `name` as given: whether the amount is added, and whether a reply
    /// comes.
    fn answer(
        &mut self,
        g: &mut Harness,
        actions: &mut Vec<Action>,
        name: CounterKey,
        (is_added, is_answered): (bool, bool),
    ) {
        for (called, amount) in calls_in(actions) {
            let odd = called == name;
            let total = self.totals.entry(called).or_default();
            *total += if odd && !is_added { 0.0 } else { amount };
            let outcome = if odd && !is_answered { Outcome::Timeout } else { Outcome::Ok };
            actions.extend(g.counter_replied(called, outcome, *total));
        }
    }
}

/// A single gateway has no counter for the first two seconds. Returns the units forwarded until the counter
/// is called for some, and the units reconciled after the first reconciliation went like this.
fn reconciled_after_outage(first_reply: (bool, bool)) -> (f64, f64) {
    let (mut g, mut book) = (Harness::new(Settings { gateways: 1, ..settings() }, 60), Book::default());
    let [reconciled, leased] =
        [counter_keys::reconciled, counter_keys::leased].map(|name| name(CustomerId(7), g.now));
    let (mut granted, mut how) = (0.0, first_reply);
    for id in 1..80 {
        let is_counter_down = id < 20;
        let mut actions = if is_counter_down || id % 10 == 0 { g.request(id, 1, 7, 1.0) } else { Vec::new() };
        actions.extend(g.pass(100 * MS));
        let is_granted_locally = is_counter_down || !book.totals.contains_key(&leased);
        let out = attempts_in(&actions);
        granted += if is_granted_locally { out.len() as f64 } else { 0.0 };
        if is_counter_down {
            for (name, _) in calls_in(&actions) {
                let more = attempts_in(&g.counter_replied(name, Outcome::ConnectFailed, 0.0));
                granted += more.len() as f64;
                more.iter().for_each(|(id, host)| drop(g.ended(id.0, 0, *host, Outcome::Ok)));
            }
        } else {
            // The first call for a number may only read.
            let reconciles =
                calls_in(&actions).iter().any(|(name, amount)| *name == reconciled && *amount > 0.0);
            book.answer(&mut g, &mut actions, reconciled, if reconciles { how } else { (true, true) });
            how = if reconciles { (true, true) } else { how };
        }
        out.iter().for_each(|(id, host)| drop(g.ended(id.0, 0, *host, Outcome::Ok)));
    }
    (granted, book.totals.get(&reconciled).map_or(0.0, |total| total.floor()))
}

#[test]
fn units_granted_locally_are_reconciled_exactly_once() {
    for first in [(true, true), (true, false), (false, false)] {
        let (granted, reconciled) = reconciled_after_outage(first);
        assert!(granted >= 10.0, "most of 18 units were admitted: {granted}");
        assert_eq!(granted, reconciled, "the first reconciliation was (added, answered): {first:?}");
    }
}

#[test]
fn units_returned_before_a_reconciliation_do_not_prevent_a_later_one() {
    let mut g = Harness::new(Settings { gateways: 1, ..settings() }, 60);
    let key = counter_keys::reconciled(CustomerId(7), g.now);
    let mut reconciliations = Vec::new();
    for id in 1..40 {
        let mut actions = g.request(id, 1, 7, 1.0);
        let refuse = |g: &mut Harness, actions: &mut Vec<Action>| {
            for (name, _) in calls_in(actions) {
                actions.extend(g.counter_replied(name, Outcome::Rejected, 0.0));
            }
        };
        refuse(&mut g, &mut actions);
        for (request, host) in attempts_in(&actions) {
            // The first requests turn out to cost next to nothing.
            let true_units = Some(if id < 10 { 0.01 } else { 1.0 });
            let end = AttemptEnded {
                id: request,
                attempt: 0,
                host,
                outcome: Outcome::Ok,
                elapsed: 50 * MS,
                is_request_closed: true,
                quota_used: None,
                actual_units: true_units,
                report: None,
            };
            g.on(Event::AttemptEnded(end));
        }
        let mut actions = g.pass(200 * MS);
        reconciliations.extend(calls_in(&actions).into_iter().filter(|(name, _)| *name == key));
        refuse(&mut g, &mut actions);
    }
    assert!(reconciliations.len() >= 3, "it is retried: {reconciliations:?}");
}

#[test]
fn a_counter_that_is_back_gets_at_most_300_calls_a_second_at_first() {
    let customer = |n: usize| Customer {
        rate: 4.0,
        burst: 10.0,
        set_size: 3,
        first_gateway: n % 3,
        most_units: 1,
        actual_factor: 1.0,
        traffic: TrafficPattern::Even(0.3),
        from: 0,
    };
    let (lost, back) = (START + 12_000 * MS, START + 20_000 * MS);
    let scenario = Scenario {
        fleets: 1,
        gateways: 3,
        start: START,
        length: 26_000 * MS,
        customers: (0..400).map(customer).collect(),
        faults: vec![FaultWindow { fault: Fault::Unreachable, gateway: None, from: lost, until: back }],
        kills: Vec::new(),
        seed: 5,
    };
    let mut site = Site::new(scenario);
    site.run_to_end();
    let calls_from =
        |from: Time| site.counter.calls.iter().filter(|at| (from..from + 1_000 * MS).contains(*at)).count();
    let after: Vec<usize> = (0..20).map(|tenth| calls_from(back + tenth * 100 * MS)).collect();
    // The heartbeats, four a second, do not wait.
    assert!(after.iter().all(|count| *count <= 305), "calls in each second after it is back: {after:?}");
    assert!(after.iter().any(|count| *count >= 100), "and it is used: {after:?}");
}

#[test]
fn a_ceiling_in_a_partition_grants_an_even_fraction_whatever_the_traffic_was() {
    let let_in = |others_send_heartbeats: bool| {
        let mut settings = settings();
        settings.plans[0] = Plan { ceiling_rate: 20.0, ceiling_burst: 40.0, ..Plan::default() };
        let (mut g, mut total) = (Harness::new(settings, 60), 0.0);
        for round in 0..60 {
            ask(&mut g, 1_000 + round * 5..1_003 + round * 5, |_, amount| {
                total += amount;
                (Outcome::Ok, total)
            });
            g.pass(250 * MS);
        }
        g.others_send_heartbeats = others_send_heartbeats;
        g.pass(4_000 * MS);
        ask(&mut g, 1..81, |_, amount| {
            total += amount;
            (Outcome::Ok, total)
        })
    };
    let (complete, partitioned) = (let_in(true), let_in(false));
    assert!((36..=41).contains(&complete), "all of a token bucket of 40: {complete}");
    assert!((15..=21).contains(&partitioned), "half of it for one of two gateways: {partitioned}");
}

/// Requests one unit each, replies to all calls, and returns the number of attempts.
fn ask(
    g: &mut Harness,
    ids: std::ops::Range<u64>,
    mut answer: impl FnMut(CounterKey, f64) -> (Outcome, f64),
) -> usize {
    let mut sent = 0;
    for id in ids {
        let mut actions = g.request(id, 1, 7, 1.0);
        for (name, amount) in calls_in(&actions) {
            let (outcome, total) = answer(name, amount);
            actions.extend(g.counter_replied(name, outcome, total));
        }
        for (request, host) in attempts_in(&actions) {
            sent += 1;
            g.ended(request.0, 0, host, Outcome::Ok);
        }
    }
    sent
}

/// A counter that holds these units and what is added from now on, marks included.
fn adds_to(mut total: f64) -> impl FnMut(CounterKey, f64) -> (Outcome, f64) {
    move |_, amount| {
        total += amount;
        (Outcome::Ok, total)
    }
}

fn no_connection(_: CounterKey, _: f64) -> (Outcome, f64) {
    (Outcome::ConnectFailed, 0.0)
}

#[test]
fn units_used_elsewhere_meanwhile_are_not_granted_once_the_counter_is_back() {
    let mut g = Harness::new(settings(), 60);
    ask(&mut g, 1..2, |_, amount| (Outcome::Ok, amount));
    let granted = ask(&mut g, 2..40, no_connection);
    assert!((8..=11).contains(&granted), "its fraction of a token bucket of 20: {granted}");
    g.pass(2_000 * MS);
    // Units are granted locally to the first while its call is in flight.
    let back = ask(&mut g, 40..60, |_, amount| (Outcome::Ok, 200.0 + amount));
    assert!(back <= 1, "the others took all there was: {back}");
}

#[test]
fn units_used_elsewhere_from_a_full_token_bucket_leave_no_deficit_after_an_outage() {
    let mut g = Harness::new(settings(), 60);
    let mut first = 0.0;
    ask(&mut g, 1..2, |_, amount| {
        first += amount;
        (Outcome::Ok, first)
    });
    // Ten units a second, of which the others use eight, and the gateway makes no call.
    g.pass(10_000 * MS);
    ask(&mut g, 2..8, no_connection);
    g.pass(1_000 * MS);
    let back = ask(&mut g, 8..28, adds_to(90.0 + first));
    assert!(back >= 7, "there is room for its part: {back}");
}

#[test]
fn a_customer_first_known_during_an_outage_does_not_owe_the_whole_epoch() {
    let mut g = Harness::new(settings(), 60);
    g.pass(30_000 * MS);
    ask(&mut g, 1..3, no_connection);
    g.pass(1_000 * MS);
    let back = ask(&mut g, 3..23, adds_to(200.0));
    assert!(back >= 7, "200 units of 350 are gone: {back}");
}

#[test]
fn a_customer_first_known_just_before_an_outage_gets_no_grant_beyond_its_fraction() {
    let let_in = |met_before: Span| {
        let mut g = Harness::new(settings(), 60);
        ask(&mut g, 1..2, |_, amount| (Outcome::Ok, amount));
        g.pass(met_before);
        ask(&mut g, 2..4, no_connection);
        g.pass(11_000 * MS);
        ask(&mut g, 4..60, no_connection)
    };
    let (new, known) = (let_in(4_000 * MS), let_in(12_000 * MS));
    assert!((8..=11).contains(&new), "half of a token bucket of 20: {new}");
    assert!((17..=26).contains(&known), "and what a known customer is granted: {known}");
}
