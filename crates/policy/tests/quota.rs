//! Leases: blocks, return, settlement, and a counter that is silent, empty or slow.
mod common;
use common::*;
use fennelbeam_policy::api::*;

/// Sends a request and answers its call with the total that other gateways leave.
fn lease(g: &mut Harness, id: u64, units: f64, others: f64, total: &mut f64) -> Vec<Action> {
    let mut actions = g.request(id, 0, 7, units);
    for (name, amount) in calls(&actions) {
        *total += amount + others;
        actions.extend(g.counted(name, Outcome::Ok, *total));
    }
    actions
}

#[test]
fn units_are_leased_before_the_first_send_and_a_block_serves_several() {
    let (mut g, mut total) = (Harness::new(settings(), 60), 0.0);
    let first = g.request(1, 0, 7, 2.0);
    assert!(sends(&first).is_empty(), "nothing goes out before the lease");
    let (name, amount) = calls(&first)[0];
    assert!(amount >= 2.0);
    total += amount;
    assert_eq!(sends(&g.counted(name, Outcome::Ok, total)).len(), 1);
    let mut asked = 0;
    for id in 2..8 {
        g.pass(100 * MS);
        asked += calls(&lease(&mut g, id, 1.0, 0.0, &mut total)).len();
    }
    assert!(asked < 6, "blocks of several units, not a call a request: {asked}");
}

#[test]
fn beyond_what_the_store_holds_requests_are_refused() {
    let (mut g, mut total) = (Harness::new(settings(), 60), 0.0);
    let mut sent = 0;
    for id in 1..=60 {
        sent += sends(&lease(&mut g, id, 1.0, 0.0, &mut total)).len();
    }
    assert!((15..=17).contains(&sent), "the cheap class leaves the last units to the worthier one: {sent}");
    for id in 100..=160 {
        let mut actions = g.request(id, 1, 7, 1.0);
        for (name, amount) in calls(&actions) {
            total += amount;
            actions.extend(g.counted(name, Outcome::Ok, total));
        }
        sent += sends(&actions).len();
    }
    assert!((18..=20).contains(&sent), "a burst of 20 units lets in 20 at most: {sent}");
}

#[test]
fn units_used_by_other_gateways_are_not_there_for_us() {
    let (mut g, mut total) = (Harness::new(settings(), 60), 0.0);
    let actions = lease(&mut g, 1, 2.0, 100.0, &mut total);
    assert!(sends(&actions).is_empty());
    assert!(refused(&g.pass(400 * MS), 1) || refused(&actions, 1));
}

#[test]
fn true_units_are_settled_through_the_lease() {
    let settings = settings();
    let (mut g, mut total) = (Harness::new(settings, 60), 0.0);
    let mut sent = 0;
    for id in 1..=40 {
        for (request, host) in sends(&lease(&mut g, id, 1.0, 0.0, &mut total)) {
            sent += 1;
            let end = Ended {
                id: request,
                attempt: 0,
                host,
                outcome: Outcome::Ok,
                took: 50 * MS,
                closed: true,
                used: None,
                true_units: Some(4.0),
                report: None,
            };
            g.on(Event::Ended(end));
        }
    }
    assert!((4..=6).contains(&sent), "20 units are spent by five requests of four: {sent}");
}

#[test]
fn a_refusing_counter_leaves_a_local_part_to_every_customer() {
    let mut g = Harness::new(settings(), 60);
    let mut sent = 0;
    for id in 1..=60 {
        let actions = g.request(id, 0, id % 6, 1.0);
        sent += sends(&actions).len();
        for (name, _) in calls(&actions) {
            sent += sends(&g.counted(name, Outcome::Full, 0.0)).len();
        }
    }
    assert!(sent >= 42, "most of an even part of each store is let in: {sent}");
    let more: usize = (100..140).map(|id| calls(&g.request(id, 0, id % 6, 1.0)).len()).sum();
    assert_eq!(more, 0, "a dead counter is not called for every request");
    g.pass(1_100 * MS);
    assert_eq!(calls(&g.request(200, 0, 1, 1.0)).len(), 1, "but tried again after a while");
}

#[test]
fn a_total_that_went_backwards_leaves_no_debt() {
    let (mut g, mut total) = (Harness::new(settings(), 60), 0.0);
    let mut sent = 0;
    for id in 1..=80 {
        g.pass(200 * MS);
        if id == 40 {
            total = 0.0;
        }
        sent += sends(&lease(&mut g, id, 1.0, 0.0, &mut total)).len();
    }
    assert!(sent >= 75, "five units a second of a rate of ten: {sent}");
}

#[test]
fn a_ceiling_in_doubt_refuses() {
    let mut settings = settings();
    settings.plans[0].ceiling_rate = 20.0;
    settings.plans[0].ceiling_burst = 40.0;
    let mut g = Harness::new(settings, 60);
    let mut sent = 0;
    for id in 1..=20 {
        let actions = g.request(id, 0, 7, 1.0);
        sent += sends(&actions).len();
        for (name, _) in calls(&actions) {
            sent += sends(&g.counted(name, Outcome::Timeout, 0.0)).len();
        }
    }
    assert_eq!(sent, 0);
}

#[test]
fn without_a_counter_a_customer_gets_its_even_part() {
    let mut settings = settings();
    settings.counter = false;
    let mut g = Harness::new(settings, 60);
    let sent: usize = (1..=60).map(|id| sends(&g.request(id, 0, 7, 1.0)).len()).sum();
    assert!((7..=12).contains(&sent), "about half of a burst of 20 for a spread of 2: {sent}");
}

/// One of 200 gateways meets a customer spread over all of them: how many of 200 requests it lets in when
/// all gateways together are asked for `use_of_rate` times the customer's rate.
fn let_in_when_spread(use_of_rate: f64) -> usize {
    let many = Settings { gateways: 200, ..settings() };
    let rate = many.plans[0].rate;
    let mut g = Harness::new(many, 60);
    let (start, mut sent, mut ran) = (g.now, 0, 0.0);
    for id in 1..=200 {
        let request = Request {
            id: RequestId(id),
            units: 2.0,
            patience: 4_000 * MS,
            spread: 200,
            ..Request::default()
        };
        let mut actions = g.on(Event::Request(request));
        for (name, amount) in calls(&actions) {
            // The count of the gateways' own time is the small one; it tells how long the counter has run.
            let age = (g.now - start) as f64 / 1e9;
            let mine = amount > 1.0;
            ran = if mine { ran } else { age };
            let total = if mine { use_of_rate * rate * age + 20.0 * use_of_rate } else { ran };
            actions.extend(g.counted(name, Outcome::Ok, total));
        }
        for (request, host) in sends(&actions) {
            sent += 1;
            g.ended(request.0, 0, host, Outcome::Ok);
        }
        g.pass(100 * MS);
    }
    sent
}

#[test]
fn a_customer_spread_thin_is_rationed_by_what_all_gateways_are_asked_for() {
    let (calm, heavy) = (let_in_when_spread(0.3), let_in_when_spread(4.0));
    assert!(calm >= 180, "inside its quota nearly all of it comes in: {calm}");
    assert!((1..=60).contains(&heavy), "at four times its quota at most its ration does: {heavy}");
}

#[test]
fn calls_fall_while_the_counter_has_no_room_and_rise_again() {
    let mut g = Harness::new(Settings { gateways: 200, ..settings() }, 60);
    let asked = |g: &mut Harness, ids: std::ops::Range<u64>, outcome: Outcome| {
        let mut count = 0;
        for id in ids {
            let request = Request {
                id: RequestId(id),
                units: 1.0,
                patience: 4_000 * MS,
                customer: CustomerId(id),
                ..Request::default()
            };
            let mut actions = g.on(Event::Request(Request { spread: 200, ..request }));
            for (name, _) in calls(&actions) {
                count += 1;
                actions.extend(g.counted(name, outcome, 1.0));
            }
            for (request, host) in sends(&actions) {
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
fn customers_and_hosts_that_come_and_go_leave_nothing_behind() {
    let mut g = Harness::new(Settings { gateways: 200, ..settings() }, 0);
    let (mut id, mut most) = (0, 0);
    for round in 0..40 {
        g.list(ListKind::Full, (1..=20).map(|host| entry(1_000 * round + host)).collect());
        for _ in 0..100 {
            id += 1;
            let request = Request {
                id: RequestId(id),
                customer: CustomerId(id),
                units: 1.0,
                spread: 200,
                ..Request::default()
            };
            let mut actions = g.on(Event::Request(Request { patience: 4_000 * MS, ..request }));
            for (name, amount) in calls(&actions) {
                actions.extend(g.counted(name, Outcome::Ok, amount));
            }
            for (request, host) in sends(&actions) {
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
fn any_spread_and_any_number_of_gateways_give_sound_decisions() {
    for (gateways, spread) in
        [(1, 0), (1, 1), (1, 10_000), (3, 0), (3, 3), (5_000, 1), (5_000, 4_000), (5_000, u32::MAX)]
    {
        let mut g = Harness::new(Settings { gateways, ..settings() }, 60);
        let (mut sent, mut refusals) = (0, 0);
        for id in 1..=100 {
            let request =
                Request { id: RequestId(id), units: 1.0, patience: 4_000 * MS, spread, ..Request::default() };
            let mut actions = g.on(Event::Request(request));
            for (name, amount) in calls(&actions) {
                assert!(
                    amount.is_finite() && amount >= 0.0,
                    "{gateways} gateways, spread {spread}: adds {amount}"
                );
                actions.extend(g.counted(name, Outcome::Ok, amount));
            }
            actions.extend(g.pass(1_000 * MS));
            for (request, host) in sends(&actions) {
                sent += 1;
                g.ended(request.0, 0, host, Outcome::Ok);
            }
            refusals += (1..=id).filter(|id| refused(&actions, *id)).count();
        }
        assert_eq!(sent + refusals, 100, "{gateways} gateways, spread {spread}: each request has its answer");
        assert!(sent > 0, "{gateways} gateways, spread {spread}: a customer far inside its quota is let in");
    }
}
