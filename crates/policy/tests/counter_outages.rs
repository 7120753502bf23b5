//! Outages of the counter: units are granted locally, and reconciled when the counter is back.
mod common;
use common::counter::{Fault, FaultWindow};
use common::site::{Customer, Scenario, Site, TrafficPattern, START};
use common::*;
use policy::api::*;
use policy::counter_keys;
use std::collections::BTreeMap;

/// A counter that only a single gateway uses.
#[derive(Default)]
struct FakeCounter {
    totals: BTreeMap<CounterKey, f64>,
}

impl FakeCounter {
    /// Replies to all calls. The two flags state for calls that add to `special_key` whether the amount is
    /// added and whether a reply is sent; all other calls succeed.
    fn reply_to_calls(
        &mut self,
        gateway: &mut TestGateway,
        actions: &mut Vec<Action>,
        special_key: CounterKey,
        (is_added, has_reply): (bool, bool),
    ) {
        for (key, amount) in counter_calls_in(actions) {
            let is_special = key == special_key;
            let total = self.totals.entry(key).or_default();
            *total += if is_special && !is_added { 0.0 } else { amount };
            let outcome = if is_special && !has_reply { Outcome::Timeout } else { Outcome::Ok };
            actions.extend(gateway.reply_to_call(key, outcome, *total));
        }
    }
}

/// Runs a single gateway whose counter is unreachable for the first two seconds. `first_reply` states whether
/// the first reconciliation is added and whether it gets a reply. Returns the units that were granted locally
/// before the first lease, and the units that were reconciled.
fn reconciled_after_outage(first_reply: (bool, bool)) -> (f64, f64) {
    let (mut gateway, mut counter) =
        (TestGateway::new(Settings { gateways: 1, ..settings() }, 60), FakeCounter::default());
    let [reconciled, leased] =
        [counter_keys::reconciled, counter_keys::leased].map(|key_of| key_of(CustomerId(7), gateway.now));
    let (mut granted, mut reply) = (0.0, first_reply);
    for id in 1..80 {
        let is_counter_down = id < 20;
        let mut actions =
            if is_counter_down || id % 10 == 0 { gateway.request(id, 1, 7, 1.0) } else { Vec::new() };
        actions.extend(gateway.advance(100 * MS));
        let is_granted_locally = is_counter_down || !counter.totals.contains_key(&leased);
        let attempts = attempts_in(&actions);
        granted += if is_granted_locally { attempts.len() as f64 } else { 0.0 };
        if is_counter_down {
            for (key, _) in counter_calls_in(&actions) {
                let further_attempts = attempts_in(&gateway.reply_to_call(key, Outcome::ConnectFailed, 0.0));
                granted += further_attempts.len() as f64;
                further_attempts
                    .iter()
                    .for_each(|(id, host)| drop(gateway.end_attempt(id.0, 0, *host, Outcome::Ok)));
            }
        } else {
            // The first call for an entry may only read it.
            let reconciles =
                counter_calls_in(&actions).iter().any(|(key, amount)| *key == reconciled && *amount > 0.0);
            counter.reply_to_calls(
                &mut gateway,
                &mut actions,
                reconciled,
                if reconciles { reply } else { (true, true) },
            );
            reply = if reconciles { (true, true) } else { reply };
        }
        attempts.iter().for_each(|(id, host)| drop(gateway.end_attempt(id.0, 0, *host, Outcome::Ok)));
    }
    (granted, counter.totals.get(&reconciled).map_or(0.0, |total| total.floor()))
}

#[test]
fn units_granted_locally_are_reconciled_exactly_once() {
    for first in [(true, true), (true, false), (false, false)] {
        let (granted, reconciled) = reconciled_after_outage(first);
        assert!(granted >= 10.0, "of 18 units most were granted: {granted}");
        assert_eq!(granted, reconciled, "first reconciliation (added, replied to): {first:?}");
    }
}

#[test]
fn units_returned_before_a_reconciliation_do_not_prevent_a_later_one() {
    let mut gateway = TestGateway::new(Settings { gateways: 1, ..settings() }, 60);
    let reconciled = counter_keys::reconciled(CustomerId(7), gateway.now);
    let mut reconciliations = Vec::new();
    for id in 1..40 {
        let mut actions = gateway.request(id, 1, 7, 1.0);
        let reject_calls = |gateway: &mut TestGateway, actions: &mut Vec<Action>| {
            for (key, _) in counter_calls_in(actions) {
                actions.extend(gateway.reply_to_call(key, Outcome::Rejected, 0.0));
            }
        };
        reject_calls(&mut gateway, &mut actions);
        for (request, host) in attempts_in(&actions) {
            // The first requests cost almost nothing, so that units are returned.
            let actual_units = Some(if id < 10 { 0.01 } else { 1.0 });
            let end = AttemptEnded {
                id: request,
                attempt: 0,
                host,
                outcome: Outcome::Ok,
                elapsed: 50 * MS,
                is_request_closed: true,
                quota_used: None,
                actual_units,
                report: None,
            };
            gateway.report(Event::AttemptEnded(end));
        }
        let mut actions = gateway.advance(200 * MS);
        reconciliations.extend(counter_calls_in(&actions).into_iter().filter(|(key, _)| *key == reconciled));
        reject_calls(&mut gateway, &mut actions);
    }
    assert!(reconciliations.len() >= 3, "the reconciliation is retried: {reconciliations:?}");
}

#[test]
fn a_restored_counter_gets_at_most_300_calls_per_second_at_first() {
    let customer = |n: usize| Customer {
        rate: 4.0,
        burst: 10.0,
        set_size: 3,
        first_gateway: n % 3,
        max_units: 1,
        actual_factor: 1.0,
        traffic: TrafficPattern::Even(0.3),
        from: 0,
    };
    let (outage_start, outage_end) = (START + 12_000 * MS, START + 20_000 * MS);
    let scenario = Scenario {
        sites: 1,
        gateways: 3,
        start: START,
        length: 26_000 * MS,
        customers: (0..400).map(customer).collect(),
        faults: vec![FaultWindow {
            fault: Fault::Unreachable,
            gateway: None,
            from: outage_start,
            until: outage_end,
        }],
        kills: Vec::new(),
        seed: 5,
    };
    let mut site = Site::new(scenario);
    site.run_to_end();
    let calls_from =
        |from: Time| site.counter.calls.iter().filter(|at| (from..from + 1_000 * MS).contains(*at)).count();
    let after: Vec<usize> = (0..20).map(|tenth| calls_from(outage_end + tenth * 100 * MS)).collect();
    // Four heartbeats per second are not delayed.
    assert!(after.iter().all(|count| *count <= 305), "calls per second after the counter is back: {after:?}");
    assert!(after.iter().any(|count| *count >= 100), "the counter is used again: {after:?}");
}

#[test]
fn a_ceiling_in_a_partition_grants_an_even_fraction_regardless_of_earlier_traffic() {
    let count_admitted = |others_send_heartbeats: bool| {
        let mut settings = settings();
        settings.plans[0] = Plan { ceiling_rate: 20.0, ceiling_burst: 40.0, ..Plan::default() };
        let (mut gateway, mut total) = (TestGateway::new(settings, 60), 0.0);
        for round in 0..60 {
            send_requests(&mut gateway, 1_000 + round * 5..1_003 + round * 5, |_, amount| {
                total += amount;
                (Outcome::Ok, total)
            });
            gateway.advance(250 * MS);
        }
        gateway.others_send_heartbeats = others_send_heartbeats;
        gateway.advance(4_000 * MS);
        send_requests(&mut gateway, 1..81, |_, amount| {
            total += amount;
            (Outcome::Ok, total)
        })
    };
    let (complete, partitioned) = (count_admitted(true), count_admitted(false));
    assert!((36..=41).contains(&complete), "without a partition, a full token bucket of 40: {complete}");
    assert!(
        (15..=21).contains(&partitioned),
        "in a partition, half of it for one of two gateways: {partitioned}"
    );
}

/// Sends requests of one unit each, replies to all calls with the given function, and returns the number of
/// requests that are forwarded.
fn send_requests(
    gateway: &mut TestGateway,
    ids: std::ops::Range<u64>,
    mut reply_to_call: impl FnMut(CounterKey, f64) -> (Outcome, f64),
) -> usize {
    let mut forwarded = 0;
    for id in ids {
        let mut actions = gateway.request(id, 1, 7, 1.0);
        for (key, amount) in counter_calls_in(&actions) {
            let (outcome, total) = reply_to_call(key, amount);
            actions.extend(gateway.reply_to_call(key, outcome, total));
        }
        for (request, host) in attempts_in(&actions) {
            forwarded += 1;
            gateway.end_attempt(request.0, 0, host, Outcome::Ok);
        }
    }
    forwarded
}

/// Replies as a counter whose total is `total` and grows by each added amount, contribution marks included.
fn counter_with_total(mut total: f64) -> impl FnMut(CounterKey, f64) -> (Outcome, f64) {
    move |_, amount| {
        total += amount;
        (Outcome::Ok, total)
    }
}

fn unreachable_counter(_: CounterKey, _: f64) -> (Outcome, f64) {
    (Outcome::ConnectFailed, 0.0)
}

#[test]
fn units_used_by_other_gateways_during_an_outage_are_not_granted_after_it() {
    let mut gateway = TestGateway::new(settings(), 60);
    send_requests(&mut gateway, 1..2, |_, amount| (Outcome::Ok, amount));
    let granted = send_requests(&mut gateway, 2..40, unreachable_counter);
    assert!((8..=11).contains(&granted), "this gateway's fraction of a token bucket of 20: {granted}");
    gateway.advance(2_000 * MS);
    // The first request gets a local grant while its call is in flight.
    let admitted = send_requests(&mut gateway, 40..60, |_, amount| (Outcome::Ok, 200.0 + amount));
    assert!(admitted <= 1, "the other gateways have used all units: {admitted}");
}

#[test]
fn units_used_by_other_gateways_from_a_full_token_bucket_leave_no_deficit_after_an_outage() {
    let mut gateway = TestGateway::new(settings(), 60);
    let mut first = 0.0;
    send_requests(&mut gateway, 1..2, |_, amount| {
        first += amount;
        (Outcome::Ok, first)
    });
    // The bucket refills by ten units per second, of which the others use eight; this gateway makes no call.
    gateway.advance(10_000 * MS);
    send_requests(&mut gateway, 2..8, unreachable_counter);
    gateway.advance(1_000 * MS);
    let admitted = send_requests(&mut gateway, 8..28, counter_with_total(90.0 + first));
    assert!(admitted >= 7, "units are available for this gateway's fraction: {admitted}");
}

#[test]
fn a_customer_first_observed_during_an_outage_has_no_deficit_from_earlier_use_in_the_epoch() {
    let mut gateway = TestGateway::new(settings(), 60);
    gateway.advance(30_000 * MS);
    send_requests(&mut gateway, 1..3, unreachable_counter);
    gateway.advance(1_000 * MS);
    let admitted = send_requests(&mut gateway, 3..23, counter_with_total(200.0));
    assert!(admitted >= 7, "200 of 350 units have been used: {admitted}");
}

#[test]
fn a_customer_first_observed_just_before_an_outage_gets_no_grant_beyond_an_even_fraction() {
    let count_admitted = |known_for: Span| {
        let mut gateway = TestGateway::new(settings(), 60);
        send_requests(&mut gateway, 1..2, |_, amount| (Outcome::Ok, amount));
        gateway.advance(known_for);
        send_requests(&mut gateway, 2..4, unreachable_counter);
        gateway.advance(11_000 * MS);
        send_requests(&mut gateway, 4..60, unreachable_counter)
    };
    let (first_observed, known) = (count_admitted(4_000 * MS), count_admitted(12_000 * MS));
    assert!((8..=11).contains(&first_observed), "half of a token bucket of 20: {first_observed}");
    assert!((17..=26).contains(&known), "a known customer is granted more: {known}");
}
