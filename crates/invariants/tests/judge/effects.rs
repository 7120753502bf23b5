//! Nothing twice.

use crate::day::{first, order, read, Ask, Day, READ, SERVED, START};
use cluster_model::observation::{ClientOutcome, HostOutcome};
use cluster_model::requests;
use cluster_model::scenario::{Idempotency, Site};
use cluster_model::{MS, SECOND};
use invariants::Rule;

/// An attempt at host 0 that came to this, if to anything.
fn attempt(ask: Ask, dealt: Option<HostOutcome>, out: bool) -> Day {
    let mut day = Day::default();
    day.ask(0, ask).receive(5, ask.request, 0);
    if let Some(dealt) = dealt {
        day.end(20, ask.request, 0, dealt);
    }
    if out {
        day.out(20, ask.request, 0);
    }
    day
}

/// What an attempt may come to, and whether it proves that it never ran.
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
fn an_order_is_sent_again_only_when_it_is_proved_not_to_have_run() {
    for (dealt, out, proof) in ENDS {
        let again = |ask: Ask| {
            let mut day = attempt(ask, dealt, out);
            day.receive(30, ask.request, 1).done(60, ask.request, 1, HostOutcome::Served);
            day.answer(61, ask.request, SERVED).broken()
        };
        let rules = if proof { vec![] } else { vec![Rule::NoDuplicateExecution] };
        assert_eq!(again(order(first(1))), rules, "{dealt:?}, out: {out}");
        assert_eq!(again(read(first(1))), [], "{dealt:?}, out: {out}");
    }
}

#[test]
fn an_order_is_refused_only_when_it_is_proved_not_to_have_run() {
    for (dealt, out, proof) in ENDS {
        let end =
            |ask: Ask, got: ClientOutcome| attempt(ask, dealt, out).answer(30, ask.request, got).broken();
        let rules = if proof { vec![] } else { vec![Rule::NoDuplicateExecution] };
        assert_eq!(end(order(first(1)), ClientOutcome::Rejected(None)), rules, "{dealt:?}, out: {out}");
        assert_eq!(end(order(first(1)), ClientOutcome::Failed), [], "{dealt:?}, out: {out}");
        assert_eq!(end(read(first(1)), ClientOutcome::Rejected(None)), [], "{dealt:?}, out: {out}");
    }
}

#[test]
fn what_ran_is_remembered_when_later_attempts_did_not() {
    let id = first(1);
    let mut day = attempt(order(id), Some(HostOutcome::Undelivered), true);
    day.receive(30, id, 1).done(35, id, 1, HostOutcome::Rejected).receive(40, id, 2).answer(50, id, SERVED);
    // Named once for the request.
    assert_eq!(day.broken(), [Rule::NoDuplicateExecution]);
}

#[test]
fn a_refused_order_goes_to_no_host() {
    let mut day = Day::default();
    day.refuse(0, order(first(1)));
    assert_eq!(day.broken(), []);
    assert_eq!(day.receive_sent(1, 5, first(1), 0).broken(), [Rule::NoDuplicateExecution]);
}

#[test]
fn a_clients_own_retry_is_no_repeat() {
    let mut day = Day::default();
    day.refuse(0, order(requests::request_id(1, 0))).serve(200, order(requests::request_id(1, 1)));
    assert_eq!(day.broken(), []);
    let mut ran = attempt(order(requests::request_id(1, 0)), Some(HostOutcome::Failed), true);
    ran.answer(30, requests::request_id(1, 0), ClientOutcome::Failed)
        .serve(200, order(requests::request_id(1, 1)));
    assert_eq!(ran.broken(), []);
}

#[test]
fn a_keyed_request_is_repeated_while_hosts_remember_it() {
    let mut site = Site::default();
    site.classes[READ as usize].idempotency = Idempotency::Keyed(SECOND / 2);
    let broken = |first_dealt: HostOutcome, again_ms: u64| {
        let id = first(1);
        let mut day = Day::default();
        day.ask(0, read(id)).receive(100, id, 0).done(120, id, 0, first_dealt);
        day.receive_sent(again_ms, again_ms + 100, id, 1).answer(
            again_ms + 110,
            id,
            ClientOutcome::Rejected(None),
        );
        day.broken_at(&site)
    };
    // From the sending of the first that may have run, with the 50 ms that all limits get.
    assert_eq!(broken(HostOutcome::Undelivered, 650), []);
    assert_eq!(broken(HostOutcome::Undelivered, 651), [Rule::NoDuplicateExecution]);
    assert_eq!(broken(HostOutcome::Rejected, 651), []);
}

#[test]
fn where_there_are_no_second_copies_none_is_out_beside_the_first() {
    let site = Site { hedging: false, ..Site::default() };
    let broken = |out_ms: Option<u64>| {
        let id = first(1);
        let mut day = Day::default();
        day.ask(0, read(id)).receive(10, id, 0).receive(100, id, 1).done(200, id, 1, HostOutcome::Served);
        day.answer(201, id, SERVED);
        out_ms.map(|ms| day.done(ms, id, 0, HostOutcome::Undelivered).broken_at(&site));
        assert_eq!(day.broken(), [], "the default site allows them");
        day.broken_at(&site)
    };
    assert_eq!(broken(Some(90)), []);
    // The end of its connection was on its way while the second came.
    assert_eq!(broken(Some(150)), []);
    assert_eq!(broken(Some(151)), [Rule::NoDuplicateExecution]);
    assert_eq!(broken(None), [Rule::NoDuplicateExecution]);
}

#[test]
fn a_copy_that_was_held_up_on_its_way_may_come_after_a_later_one_and_ends_as_it_comes() {
    let site = Site { hedging: false, ..Site::default() };
    let id = first(1);
    let broken = |out_ms: u64, late: bool| {
        let mut day = Day::default();
        let calls = |late| cluster_model::observation::ObservationKind::HostTrafficDelayed {
            gateway: 0,
            host: 0,
            delayed: late,
            send_time_unknown: false,
        };
        day.ask(0, read(id)).receive(500, id, 1);
        // Sent at 10 ms; the other was sent when this one had been withdrawn.
        day.see(550, calls(late)).receive_sent(10, 600, id, 0);
        day.done(800, id, 1, HostOutcome::Served).answer(801, id, SERVED);
        day.done(out_ms, id, 0, HostOutcome::Undelivered).broken_at(&site)
    };
    assert_eq!(broken(650, false), []);
    assert_eq!(broken(651, false), [Rule::NoDuplicateExecution]);
    assert_eq!(broken(900, true), [], "its end was on its way all the time");
}

#[test]
fn the_end_of_a_connection_may_be_on_its_way_when_the_run_ends() {
    let site = Site { hedging: false, ..Site::default() };
    let mut day = Day::default();
    let id = first(1);
    day.ask(0, read(id)).receive(10, id, 0).receive(100, id, 1).done(110, id, 1, HostOutcome::Served);
    day.answer(111, id, SERVED);
    let broken = |end_ms: u64| day.judge(&site).finish(START + end_ms * MS).violations.len();
    assert_eq!([broken(150), broken(151)], [0, 1]);
}

#[test]
fn a_request_has_so_many_attempts_at_the_most() {
    let id = first(1);
    let mut day = Day::default();
    day.ask(0, read(id));
    for n in 0..4 {
        day.receive(10 + 10 * n, id, n as u32).done(15 + 10 * n, id, n as u32, HostOutcome::Rejected);
    }
    assert_eq!(day.clone().answer(60, id, ClientOutcome::Rejected(None)).broken(), []);
    assert_eq!(
        day.receive(50, id, 4).answer(60, id, ClientOutcome::Rejected(None)).broken(),
        [Rule::NoDuplicateExecution]
    );
}
