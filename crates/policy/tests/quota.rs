//! Leases, returned units, settlement, and a counter that is unreachable, reset or slow.
mod common;
use common::counter::{Fault, FaultWindow};
use common::site::{Customer, Scenario, Site, TrafficPattern, START};
use common::*;
use policy::api::*;
use policy::counter_keys;
use quota::{GatewaySet, WindowedLimiter};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

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
        most = most.max(g.policy.size());
    }
    assert!(most < 1_500, "4,000 customers and 800 hosts came and went: {most} records at the most");
    g.pass(120_000 * MS);
    assert!(g.policy.size() <= 20, "only the hosts of the last list are left: {}", g.policy.size());
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

/// A single gateway, with a customer whose token bucket holds one request of two units and hardly refills.
fn tight() -> Harness {
    let mut settings = Settings { gateways: 1, ..settings() };
    (settings.plans[0].rate, settings.plans[0].burst) = (0.01, 2.0);
    Harness::new(settings, 60)
}

/// Requests all units, replies to the calls, and returns the attempts.
fn ask_for_all(g: &mut Harness, id: u64, total: &mut f64) -> Vec<(RequestId, HostId)> {
    let mut actions = g.request(id, 1, 7, 2.0);
    for (name, amount) in calls_in(&actions) {
        *total += amount;
        actions.extend(g.counter_replied(name, Outcome::Ok, *total));
    }
    attempts_in(&actions)
}

/// Lets each attempt of a request end like this until the request has its final answer.
fn end_all(g: &mut Harness, mut out: Vec<(RequestId, HostId)>, outcome: Outcome) -> u32 {
    let mut attempt = 0;
    while let Some((id, host)) = out.pop() {
        out.extend(attempts_in(&g.ended(id.0, attempt, host, outcome)));
        attempt += 1;
    }
    attempt
}

#[test]
fn a_request_that_reached_no_host_returns_its_units() {
    let (mut g, mut total) = (tight(), 0.0);
    let out = ask_for_all(&mut g, 1, &mut total);
    assert!(end_all(&mut g, out, Outcome::ConnectFailed) > 1, "it is forwarded to several hosts");
    assert_eq!(ask_for_all(&mut g, 2, &mut total).len(), 1, "its units are there for the next one");
    assert_eq!(ask_for_all(&mut g, 3, &mut total).len(), 0, "and only once");
}

#[test]
fn a_request_that_reached_a_host_spends_its_units() {
    for outcome in
        [Outcome::Rejected, Outcome::ConnectionReset, Outcome::Timeout, Outcome::Error, Outcome::Cancelled]
    {
        let (mut g, mut total) = (tight(), 0.0);
        let out = ask_for_all(&mut g, 1, &mut total);
        end_all(&mut g, out, outcome);
        assert_eq!(ask_for_all(&mut g, 2, &mut total).len(), 0, "{outcome:?}");
    }
    let (mut g, mut total) = (tight(), 0.0);
    let (id, host) = ask_for_all(&mut g, 1, &mut total)[0];
    let next = attempts_in(&g.ended(id.0, 0, host, Outcome::Rejected));
    end_all(&mut g, next, Outcome::ConnectFailed);
    assert_eq!(
        ask_for_all(&mut g, 2, &mut total).len(),
        0,
        "the first attempt has reached its host, the others have not"
    );
}

#[test]
fn an_attempt_that_is_cancelled_unsent_returns_its_units_once() {
    let (mut g, mut total) = (tight(), 0.0);
    let (id, host) = ask_for_all(&mut g, 1, &mut total)[0];
    let left = g.on(Event::ClientDisconnected { id });
    assert!(left.contains(&Action::Cancel { id, attempt: 0 }));
    assert_eq!(ask_for_all(&mut g, 2, &mut total).len(), 0, "it may have been sent");
    g.ended(id.0, 0, host, Outcome::NotSent);
    g.ended(id.0, 0, host, Outcome::NotSent);
    g.on(Event::ClientDisconnected { id });
    assert_eq!(ask_for_all(&mut g, 3, &mut total).len(), 1, "it was not");
    assert_eq!(ask_for_all(&mut g, 4, &mut total).len(), 0);
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
