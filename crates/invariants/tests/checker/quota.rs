//! Quotas. The standard plan has 4.5 units a second, a burst of 23, and at most 4 attempts in flight.

use crate::run_builder::{first, read, RequestSpec, RunBuilder, SERVED, STANDARD};
use cluster_model::observation::{ClientOutcome, HostOutcome};
use cluster_model::requests;
use cluster_model::scenario::Site;
use invariants::{CustomerFigures, Verdict};

fn ask(request: u64, units: f64) -> RequestSpec {
    RequestSpec { plan: STANDARD, units, ..read(request) }
}

fn verdict(run: &RunBuilder) -> Verdict {
    run.verdict(&Site::default())
}

/// The only customer.
fn customer(run: &RunBuilder) -> CustomerFigures {
    let customers = verdict(run).customers;
    assert_eq!(customers.len(), 1);
    customers[0].clone()
}

fn near(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-6
}

#[test]
fn full_token_bucket_admits_exactly_its_burst() {
    let mut site = Site::default();
    site.plans[STANDARD as usize].max_in_flight = 0;
    let mut run = RunBuilder::default();
    (1..=23).for_each(|n| {
        run.serve(0, ask(first(n), 1.0));
    });
    assert_eq!(run.verdict(&site).customers[0].beyond_units, 0.0);
    run.serve(0, ask(first(24), 1.0));
    let customer = &run.verdict(&site).customers[0];
    assert_eq!((customer.passed_units, customer.beyond_units), (24.0, 1.0));
}

#[test]
fn token_bucket_refills_at_its_rate() {
    let mut run = RunBuilder::default();
    run.serve(0, ask(first(1), 23.0));
    // 1 s later the bucket holds 4.5 units: enough for a request of 4, but not for the next of 1.
    run.serve(1_000, ask(first(2), 4.0));
    assert_eq!(customer(&run).beyond_units, 0.0);
    run.serve(1_010, ask(first(3), 1.0));
    assert_eq!(customer(&run).beyond_units, 1.0);
    // A request beyond the quota takes nothing: 0.5 + 0.2 x 4.5 = 1.4.
    run.serve(1_200, ask(first(4), 1.4));
    assert_eq!(customer(&run).beyond_units, 1.0);
}

#[test]
fn units_are_settled_with_the_first_successful_response() {
    let settled = |named: f64, told: f64, next: f64| {
        let mut run = RunBuilder::default();
        let id = first(1);
        run.ask(0, ask(id, named)).receive(0, id, 0).receive(0, id, 1);
        run.done_for(50, id, 0, told).done_for(60, id, 1, 99.0).answer(70, id, SERVED);
        run.serve(98, ask(first(2), next));
        customer(&run)
    };
    // 100 ms refill 0.45 units: 23 - 2 - 6 more or 1 less, plus the refill. A second response settles nothing.
    assert_eq!(settled(2.0, 8.0, 15.45).beyond_units, 0.0);
    assert_eq!(settled(2.0, 8.0, 15.46).beyond_units, 15.46);
    assert!(near(settled(2.0, 8.0, 15.45).passed_units, 23.45));
    // Returned units fill the bucket up to the burst.
    assert_eq!(settled(20.0, 1.0, 22.225).beyond_units, 0.0);
    assert_eq!(settled(20.0, 1.0, 22.5).beyond_units, 22.5);
}

#[test]
fn token_bucket_may_become_negative() {
    let mut run = RunBuilder::default();
    let id = first(1);
    run.ask(0, ask(id, 23.0)).receive(0, id, 0).done_for(0, id, 0, 32.0).answer(1, id, SERVED);
    // The bucket is at -9 units at first and at 0 after 2 s.
    run.serve(1_998, ask(first(2), 0.1)).serve(2_098, ask(first(3), 0.4));
    assert_eq!(customer(&run).beyond_units, 0.1);
}

#[test]
fn request_beyond_the_quota_counts_actual_units_and_takes_none() {
    let mut run = RunBuilder::default();
    let id = first(2);
    run.serve(0, ask(first(1), 23.0));
    run.ask(100, ask(id, 3.0)).receive(100, id, 0).done_for(120, id, 0, 5.0).answer(121, id, SERVED);
    assert_eq!(customer(&run).beyond_units, 5.0);
    assert_eq!(customer(&run).passed_units, 28.0);
    run.serve(998, ask(first(3), 4.49));
    assert_eq!(customer(&run).beyond_units, 5.0);
}

#[test]
fn fifth_concurrent_attempt_exceeds_the_limit() {
    let mut run = RunBuilder::default();
    // A hedged attempt takes no units, but counts as in flight: two requests with two attempts each.
    for n in 1..=2 {
        run.ask(0, ask(first(n), 1.0)).receive(0, first(n), 0).receive(1, first(n), 1);
    }
    let fifth = |run: &mut RunBuilder| run.serve(10, ask(first(3), 1.0)).clone();
    assert_eq!(customer(&fifth(&mut run.clone())).beyond_units, 1.0);
    // A dropped attempt counts as in flight until its connection closes.
    run.end(5, first(1), 0, HostOutcome::Dropped);
    assert_eq!(customer(&fifth(&mut run.clone())).beyond_units, 1.0);
    run.close_attempt(5, first(1), 0);
    assert_eq!(customer(&fifth(&mut run.clone())).beyond_units, 0.0);
}

#[test]
fn retry_takes_units_again_but_counts_once_as_requested() {
    let mut run = RunBuilder::default();
    run.ask(0, ask(requests::request_id(1, 0), 20.0)).receive(0, requests::request_id(1, 0), 0).done(
        5,
        requests::request_id(1, 0),
        0,
        HostOutcome::Failed,
    );
    run.answer(6, requests::request_id(1, 0), ClientOutcome::Failed)
        .serve(10, ask(requests::request_id(1, 1), 20.0));
    let customer = customer(&run);
    assert_eq!((customer.asked, customer.asked_units), (2, 20.0));
    assert_eq!((customer.passed_units, customer.beyond_units), (40.0, 20.0));
}

#[test]
fn allowed_units_are_burst_plus_rate_times_duration() {
    let mut run = RunBuilder::default();
    run.serve(6_900, ask(first(1), 1.0));
    // The run ends 3 s after the last observation at 7 s.
    assert!(near(customer(&run).allowed_units, 23.0 + 4.5 * 10.0));
}

#[test]
fn longest_rejection_is_uninterrupted_with_units_available() {
    let mut run = RunBuilder::default();
    run.refuse(0, ask(first(1), 1.0)).refuse(2_000, ask(first(2), 1.0)).serve(2_500, ask(first(3), 1.0));
    run.refuse(3_000, ask(first(4), 1.0)).refuse(4_500, ask(first(5), 1.0));
    assert!(near(customer(&run).longest_refused_s, 2.001));
    assert_eq!((customer(&run).asked, customer(&run).refused), (5, 4));
    // A rejection because of missing units interrupts the series, too.
    run.refuse(5_500, ask(first(6), 24.0)).refuse(6_500, ask(first(7), 1.0));
    assert!(near(customer(&run).longest_refused_s, 2.001));
}

#[test]
fn rejected_with_quota_requires_a_half_full_token_bucket() {
    let with_room = |taken: f64| {
        let mut run = RunBuilder::default();
        run.serve(0, ask(first(1), taken)).refuse(10, ask(first(2), 1.0));
        verdict(&run).plans[STANDARD as usize].rejected_with_quota
    };
    assert_eq!(with_room(11.5), 0.5);
    assert_eq!(with_room(11.6), 0.0);
}

#[test]
fn lists_the_customer_rejected_longest_besides_those_beyond_quota() {
    let mut run = RunBuilder::default();
    for customer in 1..=300 {
        run.serve(0, RequestSpec { customer, ..ask(first(customer), 24.0) });
    }
    for n in 0..3 {
        run.refuse(5_000 + 3_000 * n, RequestSpec { customer: 299, ..ask(first(1_000 + n), 1.0) });
    }
    let customers = verdict(&run).customers;
    assert_eq!(customers.len(), 201);
    let last = customers.last().map(|last| (last.customer, last.longest_refused_s));
    assert_eq!(last, Some((299, 6.001)));
}

#[test]
fn lists_at_most_200_customers_sorted_by_units_beyond_quota() {
    let mut run = RunBuilder::default();
    for customer in 1..=300 {
        let over = if customer % 100 == 0 { customer as f64 } else { 1.0 };
        run.serve(0, RequestSpec { customer, ..ask(first(customer), 23.0 + over) });
    }
    let verdict = verdict(&run);
    let customers: Vec<u64> = verdict.customers.iter().map(|customer| customer.customer).collect();
    assert_eq!((customers.len(), &customers[..5]), (200, &[300, 200, 100, 1, 2][..]));
    let plan = &verdict.plans[STANDARD as usize];
    // All 300 count, listed or not.
    assert_eq!((plan.customers, plan.beyond_units), (300, 300.0 * 23.0 + 297.0 + 600.0));
}
