//! Worth. A read is worth 3 (0.2 of it when late), an order 9; standard counts 1.3 times and earns 0.3 beyond its
//! quota; premium counts 1.6 times, and beyond its quota earns nothing and costs 0.6.

use crate::day::{first, order, read, Ask, Day, ORDER, PREMIUM, SERVED, STANDARD};
use cluster_model::observation::{ClientOutcome, HostOutcome};
use cluster_model::requests;
use cluster_model::scenario::Site;
use invariants::Verdict;

fn verdict(day: &Day) -> Verdict {
    day.verdict(&Site::default())
}

fn assert_near(left: f64, right: f64) {
    assert!((left - right).abs() < 1e-9, "{left} is not {right}");
}

fn standard(request: u64, units: f64) -> Ask {
    Ask { plan: STANDARD, customer: 1, units, ..read(request) }
}

#[test]
fn a_tiny_day_adds_up() {
    let mut day = Day::default();
    // Premium: a read of 2 units in time (9.6), an order in time (14.4), an order late (14.4, earns nothing).
    day.serve(0, Ask { units: 2.0, ..read(first(1)) }).serve(10, order(first(2)));
    day.serve_after(20, 601, order(first(3)));
    // Standard: a read in time (3.9), a read late (3.9, earns 0.78), a read refused (3.9).
    day.serve_after(30, 600, standard(first(4), 1.0)).serve_after(40, 601, standard(first(5), 1.0));
    day.refuse(50, standard(first(6), 1.0));
    let verdict = verdict(&day);
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
fn time_runs_from_the_first_try_and_a_thing_counts_once() {
    let retried = |again_ms: u64| {
        let mut day = Day::default();
        day.refuse(0, read(requests::request_id(1, 0))).serve(again_ms, read(requests::request_id(1, 1)));
        verdict(&day)
    };
    assert_near(retried(500).weighted_share, 1.0);
    assert_near(retried(501).weighted_share, 0.2);
    // Nothing after the class's time of 1500 ms.
    assert_near(retried(1_400).weighted_share, 0.2);
    assert_near(retried(1_401).weighted_share, 0.0);
    let counts = retried(501).counts;
    assert_eq!((counts.asked, counts.served, counts.within_objective, counts.refused), (1, 1, 0, 0));
}

#[test]
fn the_first_good_answer_counts() {
    let mut day = Day::default();
    day.serve(0, read(requests::request_id(1, 0))).serve_after(200, 500, read(requests::request_id(1, 1)));
    assert_near(verdict(&day).weighted_share, 1.0);
}

#[test]
fn the_one_gateway_settles_what_it_let_in_and_nothing_else() {
    let served = |day: &mut Day, ms: u64, ask: Ask, told: f64| {
        let id = ask.request;
        day.ask(ms, ask).receive(ms, id, 0).done_for(ms + 1, id, 0, told).answer(ms + 2, id, SERVED);
    };
    let mut more = Day::default();
    served(&mut more, 0, standard(first(1), 1.0), 23.0);
    more.refuse(5, standard(first(2), 22.0));
    assert_near(verdict(&more).weighted_share, 23.0 / (23.0 + 0.3 * 22.0));
    let mut beyond = Day::default();
    served(&mut beyond, 0, standard(first(1), 23.0), 23.0);
    served(&mut beyond, 5, standard(first(2), 10.0), 1.0);
    beyond.refuse(10, standard(first(3), 5.0));
    assert_near(verdict(&beyond).weighted_share, (23.0 + 0.3) / (23.0 + 0.3 + 0.3 * 5.0));
}

#[test]
fn beyond_the_quota_a_standard_request_earns_a_part_of_its_worth() {
    let mut day = Day::default();
    day.serve(0, standard(first(1), 23.0)).serve(5, standard(first(2), 10.0));
    // The one gateway lets 23 units in and offers 0.3 of the other 10; so was it served.
    assert_near(verdict(&day).weighted_share, 1.0);
    let mut refused = Day::default();
    refused.serve(0, standard(first(1), 23.0)).refuse(5, standard(first(2), 10.0));
    assert_near(verdict(&refused).weighted_share, 23.0 / 26.0);
    assert_near(verdict(&refused).weighted_share_worst_plan, 1.0);
}

#[test]
fn beyond_the_quota_a_premium_request_costs_for_each_try_served_or_not() {
    let mut day = Day::default();
    day.serve(0, Ask { units: 65.0, ..read(first(1)) });
    let over = Ask { units: 10.0, ..read(first(2)) };
    assert_near(verdict(day.clone().serve(5, over)).weighted_share, (65.0 - 6.0) / 65.0);
    let retry = Ask { request: requests::request_id(2, 1), ..over };
    day.ask(5, over).receive(6, over.request, 0).done(7, over.request, 0, HostOutcome::Rejected);
    day.answer(8, over.request, ClientOutcome::Rejected(None)).serve(20, retry);
    assert_near(verdict(&day).weighted_share, (65.0 - 12.0) / 65.0);
}

#[test]
fn worth_goes_by_the_true_units_where_they_are_told() {
    let mut day = Day::default();
    let id = first(1);
    day.ask(0, read(id)).receive(1, id, 0).done_for(50, id, 0, 4.0).answer(51, id, SERVED);
    day.refuse(100, read(first(2)));
    assert_near(verdict(&day).weighted_share, 4.0 / 5.0);
    assert_eq!(verdict(&day).plans[PREMIUM as usize].asked_units, 5.0);
}

#[test]
fn the_one_gateway_keeps_the_limit_on_attempts() {
    // Five orders of one unit at once, of which four may be out; 50 ms later all of those are through.
    let mut day = Day::default();
    (1..=5).for_each(|n| {
        day.refuse(0, Ask { class: ORDER, ..standard(first(n), 1.0) });
    });
    day.serve(1, standard(first(6), 1.0));
    // 4 orders inside (46.8) and one beyond (3.51); the read finds the limit reached too (1.17).
    assert_near(verdict(&day).weighted_share, 3.9 / (46.8 + 3.51 + 1.17));
    let mut later = Day::default();
    (1..=4).for_each(|n| {
        later.refuse(0, Ask { class: ORDER, ..standard(first(n), 1.0) });
    });
    later.serve(50, standard(first(6), 1.0));
    assert_near(verdict(&later).weighted_share, 3.9 / (46.8 + 3.9));
}

#[test]
fn the_worst_ten_seconds_are_found_where_they_lie() {
    let mut day = Day::default();
    // A request a second for 30 s; those from 12 s up to 18 s are refused.
    for second in 0..30 {
        let (ms, ask) = (second * 1_000, read(first(second + 1)));
        if (12..18).contains(&second) {
            day.refuse(ms, ask);
        } else {
            day.serve(ms, ask);
        }
    }
    assert_near(verdict(&day).weighted_share_worst_10s, 0.4);
    assert_near(verdict(&day).weighted_share, 0.8);
    // A lonely request after a long silence is no window of its own.
    day.refuse(59_900, read(first(99)));
    assert_near(verdict(&day).weighted_share_worst_10s, 0.4);
}

#[test]
fn a_request_held_in_vain_for_over_half_of_its_time_costs_extra() {
    let held = |ms: u64, got: ClientOutcome, sent: bool| {
        let mut day = Day::default();
        let id = first(1);
        day.serve(0, read(first(2))).ask(0, read(id));
        if sent {
            day.receive(1, id, 1).done(2, id, 1, HostOutcome::Rejected);
        }
        verdict(day.answer(ms, id, got)).weighted_share
    };
    assert_near(held(500, ClientOutcome::Failed, false), 0.5);
    assert_near(held(501, ClientOutcome::Failed, false), 0.35);
    assert_near(held(501, ClientOutcome::Rejected(None), false), 0.35);
    assert_near(held(501, ClientOutcome::Failed, true), 0.5);
    // Never answered costs the same, whenever its client learns of that.
    assert_near(held(100, ClientOutcome::NoResponse, false), 0.35);
    assert_near(held(600, ClientOutcome::NoResponse, false), 0.35);
}

#[test]
fn nothing_asked_for_is_nothing_lost() {
    let verdict = verdict(&Day::default());
    assert_eq!((verdict.weighted_score, verdict.share_served, verdict.counts.asked), (1.0, 1.0, 0));
}
