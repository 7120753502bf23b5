//! Quotas. The standard plan: 4.5 units a second up to 23, and 4 attempts out.

use crate::day::{first, read, Ask, Day, SERVED, STANDARD};
use cluster_model::observation::{ClientOutcome, HostOutcome};
use cluster_model::requests;
use cluster_model::scenario::Site;
use invariants::{CustomerFigures, Verdict};

fn ask(request: u64, units: f64) -> Ask {
    Ask { plan: STANDARD, units, ..read(request) }
}

fn verdict(day: &Day) -> Verdict {
    day.verdict(&Site::default())
}

/// The only customer.
fn customer(day: &Day) -> CustomerFigures {
    let customers = verdict(day).customers;
    assert_eq!(customers.len(), 1);
    customers[0].clone()
}

fn near(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-6
}

#[test]
fn a_full_store_lets_its_burst_in_and_no_more() {
    let mut site = Site::default();
    site.plans[STANDARD as usize].max_in_flight = 0;
    let mut day = Day::default();
    (1..=23).for_each(|n| {
        day.serve(0, ask(first(n), 1.0));
    });
    assert_eq!(day.verdict(&site).customers[0].beyond_units, 0.0);
    day.serve(0, ask(first(24), 1.0));
    let customer = &day.verdict(&site).customers[0];
    assert_eq!((customer.passed_units, customer.beyond_units), (24.0, 1.0));
}

#[test]
fn the_store_fills_at_its_rate() {
    let mut day = Day::default();
    day.serve(0, ask(first(1), 23.0));
    // 1 s later it holds 4.5 units: one of 4 finds them, the next of 1 does not.
    day.serve(1_000, ask(first(2), 4.0));
    assert_eq!(customer(&day).beyond_units, 0.0);
    day.serve(1_010, ask(first(3), 1.0));
    assert_eq!(customer(&day).beyond_units, 1.0);
    // What is beyond takes nothing: 0.5 + 0.2 x 4.5 = 1.4.
    day.serve(1_200, ask(first(4), 1.4));
    assert_eq!(customer(&day).beyond_units, 1.0);
}

#[test]
fn units_are_settled_with_the_first_good_answer() {
    let settled = |named: f64, told: f64, next: f64| {
        let mut day = Day::default();
        let id = first(1);
        day.ask(0, ask(id, named)).receive(0, id, 0).receive(0, id, 1);
        day.done_for(50, id, 0, told).done_for(60, id, 1, 99.0).answer(70, id, SERVED);
        day.serve(98, ask(first(2), next));
        customer(&day)
    };
    // 100 ms bring 0.45 units: 23 - 2 - 6 more or 1 less, and what came in. A second answer settles nothing.
    assert_eq!(settled(2.0, 8.0, 15.45).beyond_units, 0.0);
    assert_eq!(settled(2.0, 8.0, 15.46).beyond_units, 15.46);
    assert!(near(settled(2.0, 8.0, 15.45).passed_units, 23.45));
    // Given back, it fills up to the burst at the most.
    assert_eq!(settled(20.0, 1.0, 22.225).beyond_units, 0.0);
    assert_eq!(settled(20.0, 1.0, 22.5).beyond_units, 22.5);
}

#[test]
fn the_store_may_go_below_nothing() {
    let mut day = Day::default();
    let id = first(1);
    day.ask(0, ask(id, 23.0)).receive(0, id, 0).done_for(0, id, 0, 32.0).answer(1, id, SERVED);
    // 9 units below nothing at first, level after 2 s.
    day.serve(1_998, ask(first(2), 0.1)).serve(2_098, ask(first(3), 0.4));
    assert_eq!(customer(&day).beyond_units, 0.1);
}

#[test]
fn a_try_beyond_the_quota_counts_its_true_units_and_takes_none() {
    let mut day = Day::default();
    let id = first(2);
    day.serve(0, ask(first(1), 23.0));
    day.ask(100, ask(id, 3.0)).receive(100, id, 0).done_for(120, id, 0, 5.0).answer(121, id, SERVED);
    assert_eq!(customer(&day).beyond_units, 5.0);
    assert_eq!(customer(&day).passed_units, 28.0);
    day.serve(998, ask(first(3), 4.49));
    assert_eq!(customer(&day).beyond_units, 5.0);
}

#[test]
fn a_fifth_attempt_at_once_is_beyond_the_limit() {
    let mut day = Day::default();
    // A copy takes no units, but is out: two tries with two attempts each.
    for n in 1..=2 {
        day.ask(0, ask(first(n), 1.0)).receive(0, first(n), 0).receive(1, first(n), 1);
    }
    let fifth = |day: &mut Day| day.serve(10, ask(first(3), 1.0)).clone();
    assert_eq!(customer(&fifth(&mut day.clone())).beyond_units, 1.0);
    // Dropped, but still out by its connection; then out no more.
    day.end(5, first(1), 0, HostOutcome::Dropped);
    assert_eq!(customer(&fifth(&mut day.clone())).beyond_units, 1.0);
    day.out(5, first(1), 0);
    assert_eq!(customer(&fifth(&mut day.clone())).beyond_units, 0.0);
}

#[test]
fn a_clients_retry_takes_its_units_anew_but_was_asked_once() {
    let mut day = Day::default();
    day.ask(0, ask(requests::request_id(1, 0), 20.0)).receive(0, requests::request_id(1, 0), 0).done(
        5,
        requests::request_id(1, 0),
        0,
        HostOutcome::Failed,
    );
    day.answer(6, requests::request_id(1, 0), ClientOutcome::Failed)
        .serve(10, ask(requests::request_id(1, 1), 20.0));
    let customer = customer(&day);
    assert_eq!((customer.asked, customer.asked_units), (2, 20.0));
    assert_eq!((customer.passed_units, customer.beyond_units), (40.0, 20.0));
}

#[test]
fn the_allowance_is_the_burst_and_the_rate_times_the_time() {
    let mut day = Day::default();
    day.serve(6_900, ask(first(1), 1.0));
    // It ends 3 s after the last sighting at 7 s.
    assert!(near(customer(&day).allowed_units, 23.0 + 4.5 * 10.0));
}

#[test]
fn the_longest_refusal_is_one_without_a_break_while_units_were_there() {
    let mut day = Day::default();
    day.refuse(0, ask(first(1), 1.0)).refuse(2_000, ask(first(2), 1.0)).serve(2_500, ask(first(3), 1.0));
    day.refuse(3_000, ask(first(4), 1.0)).refuse(4_500, ask(first(5), 1.0));
    assert!(near(customer(&day).longest_refused_s, 2.001));
    assert_eq!((customer(&day).asked, customer(&day).refused), (5, 4));
    // A refusal for want of units breaks it too.
    day.refuse(5_500, ask(first(6), 24.0)).refuse(6_500, ask(first(7), 1.0));
    assert!(near(customer(&day).longest_refused_s, 2.001));
}

#[test]
fn refused_with_room_means_with_half_of_the_store() {
    let with_room = |taken: f64| {
        let mut day = Day::default();
        day.serve(0, ask(first(1), taken)).refuse(10, ask(first(2), 1.0));
        verdict(&day).plans[STANDARD as usize].rejected_with_quota
    };
    assert_eq!(with_room(11.5), 0.5);
    assert_eq!(with_room(11.6), 0.0);
}

#[test]
fn whoever_was_refused_longest_is_named_though_others_are_further_beyond_their_quotas() {
    let mut day = Day::default();
    for customer in 1..=300 {
        day.serve(0, Ask { customer, ..ask(first(customer), 24.0) });
    }
    for n in 0..3 {
        day.refuse(5_000 + 3_000 * n, Ask { customer: 299, ..ask(first(1_000 + n), 1.0) });
    }
    let customers = verdict(&day).customers;
    assert_eq!(customers.len(), 201);
    let last = customers.last().map(|last| (last.customer, last.longest_refused_s));
    assert_eq!(last, Some((299, 6.001)));
}

#[test]
fn those_most_beyond_their_quotas_come_first_and_no_more_than_200() {
    let mut day = Day::default();
    for customer in 1..=300 {
        let over = if customer % 100 == 0 { customer as f64 } else { 1.0 };
        day.serve(0, Ask { customer, ..ask(first(customer), 23.0 + over) });
    }
    let verdict = verdict(&day);
    let customers: Vec<u64> = verdict.customers.iter().map(|customer| customer.customer).collect();
    assert_eq!((customers.len(), &customers[..5]), (200, &[300, 200, 100, 1, 2][..]));
    let plan = &verdict.plans[STANDARD as usize];
    // All 300 count, listed or not.
    assert_eq!((plan.customers, plan.beyond_units), (300, 300.0 * 23.0 + 297.0 + 600.0));
}
