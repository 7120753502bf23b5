//! Weights of operations. A read has the priority weight 3 (0.2 of it when late), an order 9. The standard plan has the
//! factor 1.3 and earns 0.3 beyond its quota; the premium plan has the factor 1.6, and beyond its quota earns nothing and
//! costs 0.6.

use crate::run_builder::{first, order, read, RequestSpec, RunBuilder, ORDER, PREMIUM, SERVED, STANDARD};
use cluster_model::observation::{ClientOutcome, HostOutcome};
use cluster_model::requests;
use cluster_model::scenario::Site;
use invariants::Verdict;

fn verdict(run: &RunBuilder) -> Verdict {
    run.verdict(&Site::default())
}

fn assert_near(left: f64, right: f64) {
    assert!((left - right).abs() < 1e-9, "{left} is not {right}");
}

fn standard(request: u64, units: f64) -> RequestSpec {
    RequestSpec { plan: STANDARD, customer: 1, units, ..read(request) }
}

#[test]
fn small_run_has_the_computed_weights() {
    let mut run = RunBuilder::default();
    // Premium: a read of 2 units in time (9.6), an order in time (14.4), an order late (14.4, earns nothing).
    run.serve(0, RequestSpec { units: 2.0, ..read(first(1)) }).serve(10, order(first(2)));
    run.serve_after(20, 601, order(first(3)));
    // Standard: a read in time (3.9), a read late (3.9, earns 0.78), a read refused (3.9).
    run.serve_after(30, 600, standard(first(4), 1.0)).serve_after(40, 601, standard(first(5), 1.0));
    run.refuse(50, standard(first(6), 1.0));
    let verdict = verdict(&run);
    let whole = (9.6 + 14.4 + 3.9 + 0.78) / (9.6 + 2.0 * 14.4 + 3.0 * 3.9);
    assert_near(verdict.weighted_share, whole);
    assert_near(verdict.weighted_share_worst_10s, whole);
    assert_near(verdict.plans[PREMIUM as usize].weighted_quota_share, 24.0 / 38.4);
    assert_near(verdict.plans[STANDARD as usize].weighted_quota_share, 4.68 / 11.7);
    assert_near(verdict.weighted_share_worst_plan, 0.4);
    assert_near(verdict.weighted_score, 0.55 * whole + 0.2 * whole + 0.25 * 0.4);
    let counts = verdict.counts;
    assert_eq!((counts.asked, counts.served, counts.within_objective, counts.refused), (6, 5, 3, 1));
    assert_eq!(
        (
            verdict.classes[ORDER as usize].counts.served,
            verdict.classes[ORDER as usize].counts.within_objective
        ),
        (2, 1)
    );
}

#[test]
fn latency_starts_at_the_first_request_and_an_operation_counts_once() {
    let retried = |again_ms: u64| {
        let mut run = RunBuilder::default();
        run.refuse(0, read(requests::request_id(1, 0))).serve(again_ms, read(requests::request_id(1, 1)));
        verdict(&run)
    };
    assert_near(retried(500).weighted_share, 1.0);
    assert_near(retried(501).weighted_share, 0.2);
    // A response after the class's deadline of 1500 ms earns nothing.
    assert_near(retried(1_400).weighted_share, 0.2);
    assert_near(retried(1_401).weighted_share, 0.0);
    let counts = retried(501).counts;
    assert_eq!((counts.asked, counts.served, counts.within_objective, counts.refused), (1, 1, 0, 0));
}

#[test]
fn first_successful_response_counts() {
    let mut run = RunBuilder::default();
    run.serve(0, read(requests::request_id(1, 0))).serve_after(200, 500, read(requests::request_id(1, 1)));
    assert_near(verdict(&run).weighted_share, 1.0);
}

#[test]
fn ideal_gateway_settles_only_admitted_operations() {
    let served = |run: &mut RunBuilder, ms: u64, ask: RequestSpec, told: f64| {
        let id = ask.request;
        run.ask(ms, ask).receive(ms, id, 0).done_for(ms + 1, id, 0, told).answer(ms + 2, id, SERVED);
    };
    let mut more = RunBuilder::default();
    served(&mut more, 0, standard(first(1), 1.0), 23.0);
    more.refuse(5, standard(first(2), 22.0));
    assert_near(verdict(&more).weighted_share, 23.0 / (23.0 + 0.3 * 22.0));
    let mut beyond = RunBuilder::default();
    served(&mut beyond, 0, standard(first(1), 23.0), 23.0);
    served(&mut beyond, 5, standard(first(2), 10.0), 1.0);
    beyond.refuse(10, standard(first(3), 5.0));
    assert_near(verdict(&beyond).weighted_share, (23.0 + 0.3) / (23.0 + 0.3 + 0.3 * 5.0));
}

#[test]
fn standard_request_beyond_the_quota_earns_part_of_its_weight() {
    let mut run = RunBuilder::default();
    run.serve(0, standard(first(1), 23.0)).serve(5, standard(first(2), 10.0));
    // The ideal gateway admits 23 units and offers 0.3 of the other 10; the run was served in the same way.
    assert_near(verdict(&run).weighted_share, 1.0);
    let mut refused = RunBuilder::default();
    refused.serve(0, standard(first(1), 23.0)).refuse(5, standard(first(2), 10.0));
    assert_near(verdict(&refused).weighted_share, 23.0 / 26.0);
    assert_near(verdict(&refused).weighted_share_worst_plan, 1.0);
}

#[test]
fn premium_request_beyond_the_quota_costs_for_each_forwarded_request() {
    let mut run = RunBuilder::default();
    run.serve(0, RequestSpec { units: 65.0, ..read(first(1)) });
    let over = RequestSpec { units: 10.0, ..read(first(2)) };
    assert_near(verdict(run.clone().serve(5, over)).weighted_share, (65.0 - 6.0) / 65.0);
    let retry = RequestSpec { request: requests::request_id(2, 1), ..over };
    run.ask(5, over).receive(6, over.request, 0).done(7, over.request, 0, HostOutcome::Rejected);
    run.answer(8, over.request, ClientOutcome::Rejected(None)).serve(20, retry);
    assert_near(verdict(&run).weighted_share, (65.0 - 12.0) / 65.0);
}

#[test]
fn weight_uses_the_actual_units_if_reported() {
    let mut run = RunBuilder::default();
    let id = first(1);
    run.ask(0, read(id)).receive(1, id, 0).done_for(50, id, 0, 4.0).answer(51, id, SERVED);
    run.refuse(100, read(first(2)));
    assert_near(verdict(&run).weighted_share, 4.0 / 5.0);
    assert_eq!(verdict(&run).plans[PREMIUM as usize].asked_units, 5.0);
}

#[test]
fn ideal_gateway_respects_the_concurrency_limit() {
    // Five concurrent orders of one unit, of which four may be in flight; 50 ms later all four have ended.
    let mut run = RunBuilder::default();
    (1..=5).for_each(|n| {
        run.refuse(0, RequestSpec { class: ORDER, ..standard(first(n), 1.0) });
    });
    run.serve(1, standard(first(6), 1.0));
    // 4 orders inside the quota (46.8) and one beyond (3.51); the read exceeds the limit as well (1.17).
    assert_near(verdict(&run).weighted_share, 3.9 / (46.8 + 3.51 + 1.17));
    let mut later = RunBuilder::default();
    (1..=4).for_each(|n| {
        later.refuse(0, RequestSpec { class: ORDER, ..standard(first(n), 1.0) });
    });
    later.serve(50, standard(first(6), 1.0));
    assert_near(verdict(&later).weighted_share, 3.9 / (46.8 + 3.9));
}

#[test]
fn finds_the_worst_ten_second_window() {
    let mut run = RunBuilder::default();
    // A request a second for 30 s; those from 12 s up to 18 s are refused.
    for second in 0..30 {
        let (ms, ask) = (second * 1_000, read(first(second + 1)));
        if (12..18).contains(&second) {
            run.refuse(ms, ask);
        } else {
            run.serve(ms, ask);
        }
    }
    assert_near(verdict(&run).weighted_share_worst_10s, 0.4);
    assert_near(verdict(&run).weighted_share, 0.8);
    // A single request after a long idle period does not form a significant window.
    run.refuse(59_900, read(first(99)));
    assert_near(verdict(&run).weighted_share_worst_10s, 0.4);
}

#[test]
fn request_held_over_half_its_timeout_without_forwarding_costs_extra() {
    let held = |ms: u64, got: ClientOutcome, sent: bool| {
        let mut run = RunBuilder::default();
        let id = first(1);
        run.serve(0, read(first(2))).ask(0, read(id));
        if sent {
            run.receive(1, id, 1).done(2, id, 1, HostOutcome::Rejected);
        }
        verdict(run.answer(ms, id, got)).weighted_share
    };
    assert_near(held(500, ClientOutcome::Failed, false), 0.5);
    assert_near(held(501, ClientOutcome::Failed, false), 0.35);
    assert_near(held(501, ClientOutcome::Rejected(None), false), 0.35);
    assert_near(held(501, ClientOutcome::Failed, true), 0.5);
    // A missing response costs the same, whenever the client learns of it.
    assert_near(held(100, ClientOutcome::NoResponse, false), 0.35);
    assert_near(held(600, ClientOutcome::NoResponse, false), 0.35);
}

#[test]
fn empty_run_has_full_score() {
    let verdict = verdict(&RunBuilder::default());
    assert_eq!((verdict.weighted_score, verdict.share_served, verdict.counts.asked), (1.0, 1.0, 0));
}
