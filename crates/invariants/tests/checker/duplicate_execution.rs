//! Duplicate execution.

use crate::run_builder::{first, order, read, RequestSpec, RunBuilder, READ, SERVED, START};
use cluster_model::observation::{ClientOutcome, HostOutcome};
use cluster_model::requests;
use cluster_model::scenario::{Idempotency, Site};
use cluster_model::{MS, SECOND};
use invariants::Rule;

/// A request with an attempt at host 0 that has this outcome, if any.
fn attempt(ask: RequestSpec, outcome: Option<HostOutcome>, out: bool) -> RunBuilder {
    let mut run = RunBuilder::default();
    run.ask(0, ask).receive(5, ask.request, 0);
    if let Some(outcome) = outcome {
        run.end(20, ask.request, 0, outcome);
    }
    if out {
        run.close_attempt(20, ask.request, 0);
    }
    run
}

/// Outcome of an attempt, whether the attempt is closed, and whether this proves that it was never executed.
const ENDS: [(Option<HostOutcome>, bool, bool); 9] = [
    (Some(HostOutcome::Rejected), true, true),
    (Some(HostOutcome::Rejected), false, true),
    (Some(HostOutcome::Dropped), true, true),
    (Some(HostOutcome::Served), true, false),
    (Some(HostOutcome::Failed), true, false),
    (Some(HostOutcome::Undelivered), true, false),
    (Some(HostOutcome::Undelivered), false, false),
    (None, true, false),
    (None, false, false),
];

#[test]
fn non_idempotent_request_is_repeated_only_if_proved_not_executed() {
    for (outcome, out, proof) in ENDS {
        let again = |ask: RequestSpec| {
            let mut run = attempt(ask, outcome, out);
            run.receive(30, ask.request, 1).done(60, ask.request, 1, HostOutcome::Served);
            run.answer(61, ask.request, SERVED).violated_rules()
        };
        let rules = if proof { vec![] } else { vec![Rule::NoDuplicateExecution] };
        assert_eq!(again(order(first(1))), rules, "{outcome:?}, closed: {out}");
        assert_eq!(again(read(first(1))), [], "{outcome:?}, closed: {out}");
    }
}

#[test]
fn non_idempotent_request_is_rejected_only_if_proved_not_executed() {
    for (outcome, out, proof) in ENDS {
        let end = |ask: RequestSpec, got: ClientOutcome| {
            attempt(ask, outcome, out).answer(30, ask.request, got).violated_rules()
        };
        let rules = if proof { vec![] } else { vec![Rule::NoDuplicateExecution] };
        assert_eq!(end(order(first(1)), ClientOutcome::Rejected(None)), rules, "{outcome:?}, closed: {out}");
        assert_eq!(end(order(first(1)), ClientOutcome::Failed), [], "{outcome:?}, closed: {out}");
        assert_eq!(end(read(first(1)), ClientOutcome::Rejected(None)), [], "{outcome:?}, closed: {out}");
    }
}

#[test]
fn possible_execution_is_remembered_after_rejected_attempts() {
    let id = first(1);
    let mut run = attempt(order(id), Some(HostOutcome::Undelivered), true);
    run.receive(30, id, 1).done(35, id, 1, HostOutcome::Rejected).receive(40, id, 2).answer(50, id, SERVED);
    // The violation is reported once for the request.
    assert_eq!(run.violated_rules(), [Rule::NoDuplicateExecution]);
}

#[test]
fn rejected_order_must_not_be_forwarded() {
    let mut run = RunBuilder::default();
    run.refuse(0, order(first(1)));
    assert_eq!(run.violated_rules(), []);
    assert_eq!(run.receive_sent(1, 5, first(1), 0).violated_rules(), [Rule::NoDuplicateExecution]);
}

#[test]
fn client_retry_is_not_a_duplicate() {
    let mut run = RunBuilder::default();
    run.refuse(0, order(requests::request_id(1, 0))).serve(200, order(requests::request_id(1, 1)));
    assert_eq!(run.violated_rules(), []);
    let mut ran = attempt(order(requests::request_id(1, 0)), Some(HostOutcome::Failed), true);
    ran.answer(30, requests::request_id(1, 0), ClientOutcome::Failed)
        .serve(200, order(requests::request_id(1, 1)));
    assert_eq!(ran.violated_rules(), []);
}

#[test]
fn keyed_request_may_be_repeated_within_its_deduplication_window() {
    let mut site = Site::default();
    site.classes[READ as usize].idempotency = Idempotency::Keyed(SECOND / 2);
    let violated_rules = |first_dealt: HostOutcome, again_ms: u64| {
        let id = first(1);
        let mut run = RunBuilder::default();
        run.ask(0, read(id)).receive(100, id, 0).done(120, id, 0, first_dealt);
        run.receive_sent(again_ms, again_ms + 100, id, 1).answer(
            again_ms + 110,
            id,
            ClientOutcome::Rejected(None),
        );
        run.violated_rules_at(&site)
    };
    // The window starts when the first attempt that may have been executed is sent, and is extended by 50 ms like all limits.
    assert_eq!(violated_rules(HostOutcome::Undelivered, 650), []);
    assert_eq!(violated_rules(HostOutcome::Undelivered, 651), [Rule::NoDuplicateExecution]);
    assert_eq!(violated_rules(HostOutcome::Rejected, 651), []);
}

#[test]
fn without_hedging_attempts_must_not_overlap() {
    let site = Site { hedging: false, ..Site::default() };
    let violated_rules = |out_ms: Option<u64>| {
        let id = first(1);
        let mut run = RunBuilder::default();
        run.ask(0, read(id)).receive(10, id, 0).receive(100, id, 1).done(200, id, 1, HostOutcome::Served);
        run.answer(201, id, SERVED);
        out_ms.map(|ms| run.done(ms, id, 0, HostOutcome::Undelivered).violated_rules_at(&site));
        assert_eq!(run.violated_rules(), [], "the default site allows them");
        run.violated_rules_at(&site)
    };
    assert_eq!(violated_rules(Some(90)), []);
    // The host may observe the end of the connection after another host received the second attempt.
    assert_eq!(violated_rules(Some(150)), []);
    assert_eq!(violated_rules(Some(151)), [Rule::NoDuplicateExecution]);
    assert_eq!(violated_rules(None), [Rule::NoDuplicateExecution]);
}

#[test]
fn delayed_attempt_may_arrive_after_a_later_one() {
    let site = Site { hedging: false, ..Site::default() };
    let id = first(1);
    let violated_rules = |out_ms: u64, late: bool| {
        let mut run = RunBuilder::default();
        let calls = |late| cluster_model::observation::ObservationKind::HostTrafficDelayed {
            gateway: 0,
            host: 0,
            delayed: late,
            send_time_unknown: false,
        };
        run.ask(0, read(id)).receive(500, id, 1);
        // Sent at 10 ms; the other attempt was sent after this one had been cancelled.
        run.observe(550, calls(late)).receive_sent(10, 600, id, 0);
        run.done(800, id, 1, HostOutcome::Served).answer(801, id, SERVED);
        run.done(out_ms, id, 0, HostOutcome::Undelivered).violated_rules_at(&site)
    };
    assert_eq!(violated_rules(650, false), []);
    assert_eq!(violated_rules(651, false), [Rule::NoDuplicateExecution]);
    assert_eq!(violated_rules(900, true), [], "its end was on its way all the time");
}

#[test]
fn connection_end_may_be_unobserved_at_the_end_of_the_run() {
    let site = Site { hedging: false, ..Site::default() };
    let mut run = RunBuilder::default();
    let id = first(1);
    run.ask(0, read(id)).receive(10, id, 0).receive(100, id, 1).done(110, id, 1, HostOutcome::Served);
    run.answer(111, id, SERVED);
    let violated_rules = |end_ms: u64| run.checker(&site).finish(START + end_ms * MS).violations.len();
    assert_eq!([violated_rules(150), violated_rules(151)], [0, 1]);
}

#[test]
fn reports_attempts_beyond_the_limit() {
    let id = first(1);
    let mut run = RunBuilder::default();
    run.ask(0, read(id));
    for n in 0..4 {
        run.receive(10 + 10 * n, id, n as u32).done(15 + 10 * n, id, n as u32, HostOutcome::Rejected);
    }
    assert_eq!(run.clone().answer(60, id, ClientOutcome::Rejected(None)).violated_rules(), []);
    assert_eq!(
        run.receive(50, id, 4).answer(60, id, ClientOutcome::Rejected(None)).violated_rules(),
        [Rule::NoDuplicateExecution]
    );
}
