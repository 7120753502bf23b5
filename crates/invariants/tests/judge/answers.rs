//! One answer for each request.

use crate::day::{first, read, Day, SERVED, START};
use cluster_model::observation::{ClientOutcome, Observation, ObservationKind};
use cluster_model::scenario::Site;
use cluster_model::MS;
use invariants::Rule;

/// A request that was asked at gateway 0, and what came then.
fn asked() -> Day {
    let mut day = Day::default();
    day.ask(0, read(first(1)));
    day
}

fn down(gateway: u32) -> ObservationKind {
    ObservationKind::GatewayDown { gateway, expected: true }
}

#[test]
fn an_answer_within_the_slack_is_in_time_and_a_moment_later_it_is_not() {
    // Patience of 1000 ms and 66 ms of slack.
    for (late, rules) in [(0, vec![]), (1, vec![Rule::SingleResponse])] {
        let answered =
            ObservationKind::RequestEnded { request: first(1), gateway: 0, outcome: ClientOutcome::Failed };
        assert_eq!(asked().see_at(1_066 * MS + late, answered).broken(), rules);
    }
}

#[test]
fn a_forgotten_request_is_found_as_soon_as_its_time_is_over() {
    let mut judge = asked().judge(&Site::default());
    let later =
        |ms: u64| Observation { at: START + ms * MS, kind: ObservationKind::GatewayUp { gateway: 1 } };
    judge.observe(&later(1_066));
    assert_eq!(judge.violations(), &[]);
    judge.observe(&later(1_067));
    assert_eq!((judge.violations().len(), judge.violations()[0].rule), (1, Rule::SingleResponse));
    assert_eq!(judge.violations()[0].at_s, 1.066);
    assert_eq!(judge.finish(START + 2_000 * MS).violations.len(), 1);
}

#[test]
fn no_whole_answer_loses_a_request_unless_its_client_left_first() {
    for got in [ClientOutcome::ConnectionClosed, ClientOutcome::NoResponse] {
        assert_eq!(asked().answer(40, first(1), got).broken(), [Rule::SingleResponse]);
        let left_later = asked()
            .answer(40, first(1), got)
            .see(45, ObservationKind::ClientDisconnected { request: first(1) })
            .broken();
        assert_eq!(left_later, [Rule::SingleResponse]);
        let mut left = asked();
        left.see(30, ObservationKind::ClientDisconnected { request: first(1) }).answer(40, first(1), got);
        assert_eq!(left.broken(), []);
        // What crossed its leaving reached nobody.
        assert_eq!(left.answer(50, first(1), SERVED).answer(60, first(1), SERVED).broken(), []);
        let counts = left.verdict(&Site::default()).counts;
        assert_eq!((counts.left, counts.served), (1, 0));
    }
}

#[test]
fn a_second_answer_is_one_too_many() {
    let mut day = Day::default();
    day.serve(0, read(first(1)));
    assert_eq!(day.broken(), []);
    assert_eq!(day.clone().answer(150, first(1), ClientOutcome::Failed).broken(), [Rule::SingleResponse]);
    assert_eq!(
        day.see(150, ObservationKind::UnexpectedResponse { gateway: 0 }).broken(),
        [Rule::SingleResponse]
    );
}

#[test]
fn an_answer_after_a_second_copy_was_given_up_is_none_too_many() {
    let mut day = Day::default();
    day.serve(0, read(first(1))).answer(150, first(1), ClientOutcome::ConnectionClosed);
    assert_eq!(day.broken(), []);
}

#[test]
fn a_value_that_no_host_made_is_no_answer() {
    let mut day = Day::default();
    day.ask(0, read(first(1))).answer(50, first(1), ClientOutcome::Served(false));
    assert_eq!(day.broken(), [Rule::SingleResponse]);
    let verdict = day.verdict(&Site::default());
    assert_eq!((verdict.counts.served, verdict.counts.failed), (0, 1));
}

#[test]
fn what_a_killed_gateway_held_is_the_clients_to_repeat() {
    // The client may notice before whoever killed it has written that down.
    for killed in [10, 39, 40, 41, 89] {
        let mut day = asked();
        day.answer(40, first(1), ClientOutcome::ConnectionClosed);
        assert_eq!(day.clone().see(killed, down(0)).broken(), [], "killed at {killed} ms");
        assert_eq!(
            day.see(killed, down(1)).broken(),
            [Rule::SingleResponse],
            "another killed at {killed} ms"
        );
    }
    assert_eq!(
        asked().answer(40, first(1), ClientOutcome::ConnectionClosed).see(91, down(0)).broken(),
        [Rule::SingleResponse]
    );
}

#[test]
fn a_request_without_any_end_is_excused_by_a_kill_only_in_its_time() {
    assert_eq!(asked().see(500, down(0)).broken(), []);
    assert_eq!(asked().see(1_070, down(0)).broken(), [Rule::SingleResponse]);
}

#[test]
fn a_gateway_that_does_not_run_takes_nothing() {
    let mut day = Day::default();
    day.see(0, down(0)).ask(5, read(first(1))).answer(6, first(1), ClientOutcome::ConnectionClosed);
    assert_eq!(day.broken(), []);
    day.see(50, ObservationKind::GatewayUp { gateway: 0 });
    assert_eq!(day.clone().ask(60, read(first(2))).broken(), [Rule::SingleResponse]);
    assert_eq!(day.serve(60, read(first(2))).broken(), []);
}

#[test]
fn after_sigterm_a_gateway_owes_all_that_it_has_taken() {
    let signal = |kill: bool| ObservationKind::GatewaySignalled { gateway: 0, kill };
    let broken = |term: Option<u64>, kill: Option<u64>| {
        let mut day = Day::default();
        let asked = 5_000;
        term.map(|ms| day.see(ms, signal(false)).broken());
        day.ask(asked, read(first(1)));
        kill.map(|ms| day.see(ms, signal(true)).broken());
        day.see(5_100, down(0)).answer(5_100, first(1), ClientOutcome::ConnectionClosed).broken()
    };
    assert_eq!(broken(Some(4_900), None), [Rule::SingleResponse], "it ended by itself");
    // The longest deadline is 2 s, and 0.7 s are added.
    assert_eq!(broken(Some(2_400), Some(5_100)), [Rule::SingleResponse], "killed when it had to be done");
    assert_eq!(broken(Some(2_401), Some(5_100)), [], "killed by another event, sooner than a restart kills");
    assert_eq!(broken(None, Some(5_100)), []);
}

#[test]
fn a_restarted_gateway_may_be_killed_again() {
    let mut day = Day::default();
    day.see(0, ObservationKind::GatewaySignalled { gateway: 0, kill: false }).see(400, down(0));
    day.see(900, ObservationKind::GatewayUp { gateway: 0 });
    day.ask(5_000, read(first(1))).see(5_100, down(0)).answer(
        5_100,
        first(1),
        ClientOutcome::ConnectionClosed,
    );
    assert_eq!(day.broken(), []);
}

#[test]
fn a_cut_between_clients_and_a_gateway_excuses_what_it_covers() {
    let cut = |cut: bool| ObservationKind::ClientLinksCut { gateway: 0, cut };
    let mut day = Day::default();
    day.see(100, cut(true)).see(1_000, cut(false));
    assert_eq!(day.clone().ask(50, read(first(1))).broken(), []);
    assert_eq!(day.clone().ask(900, read(first(1))).broken(), []);
    assert_eq!(day.ask(1_001, read(first(1))).broken(), [Rule::SingleResponse]);
}

#[test]
fn nothing_goes_out_for_a_request_after_its_answer() {
    let mut day = Day::default();
    day.serve(0, read(first(1)));
    assert_eq!(day.clone().receive_sent(150, 900, first(1), 1).broken(), []);
    assert_eq!(day.receive(151, first(1), 1).broken(), [Rule::SingleResponse]);
}

#[test]
fn a_request_that_crossed_the_end_of_its_connection_is_written_again() {
    let mut day = asked();
    day.ask(900, read(first(1))).answer(1_500, first(1), SERVED);
    assert_eq!(day.broken(), []);
    assert_eq!(day.verdict(&Site::default()).counts.asked, 1);
    // Its time runs anew, but does run.
    assert_eq!(asked().ask(900, read(first(1))).broken(), [Rule::SingleResponse]);
}
