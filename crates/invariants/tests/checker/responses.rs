//! One response for each request.

use crate::run_builder::{first, read, RunBuilder, SERVED, START};
use cluster_model::observation::{ClientOutcome, Observation, ObservationKind};
use cluster_model::scenario::Site;
use cluster_model::MS;
use invariants::Rule;

/// A request sent to gateway 0.
fn asked() -> RunBuilder {
    let mut run = RunBuilder::default();
    run.ask(0, read(first(1)));
    run
}

fn down(gateway: u32) -> ObservationKind {
    ObservationKind::GatewayDown { gateway, expected: true }
}

#[test]
fn response_within_the_slack_is_in_time_and_1_ns_later_is_not() {
    // The timeout is 1000 ms, the slack 66 ms.
    for (late, rules) in [(0, vec![]), (1, vec![Rule::SingleResponse])] {
        let answered =
            ObservationKind::RequestEnded { request: first(1), gateway: 0, outcome: ClientOutcome::Failed };
        assert_eq!(asked().observe_at(1_066 * MS + late, answered).violated_rules(), rules);
    }
}

#[test]
fn lost_request_is_reported_when_its_deadline_expires() {
    let mut checker = asked().checker(&Site::default());
    let later =
        |ms: u64| Observation { at: START + ms * MS, kind: ObservationKind::GatewayUp { gateway: 1 } };
    checker.observe(&later(1_066));
    assert_eq!(checker.violations(), &[]);
    checker.observe(&later(1_067));
    assert_eq!((checker.violations().len(), checker.violations()[0].rule), (1, Rule::SingleResponse));
    assert_eq!(checker.violations()[0].at_s, 1.066);
    assert_eq!(checker.finish(START + 2_000 * MS).violations.len(), 1);
}

#[test]
fn incomplete_response_loses_a_request_unless_the_client_disconnected_first() {
    for got in [ClientOutcome::ConnectionClosed, ClientOutcome::NoResponse] {
        assert_eq!(asked().answer(40, first(1), got).violated_rules(), [Rule::SingleResponse]);
        let left_later = asked()
            .answer(40, first(1), got)
            .observe(45, ObservationKind::ClientDisconnected { request: first(1) })
            .violated_rules();
        assert_eq!(left_later, [Rule::SingleResponse]);
        let mut left = asked();
        left.observe(30, ObservationKind::ClientDisconnected { request: first(1) }).answer(40, first(1), got);
        assert_eq!(left.violated_rules(), []);
        // Responses after the client disconnected reach no client.
        assert_eq!(left.answer(50, first(1), SERVED).answer(60, first(1), SERVED).violated_rules(), []);
        let counts = left.verdict(&Site::default()).counts;
        assert_eq!((counts.left, counts.served), (1, 0));
    }
}

#[test]
fn reports_a_second_response() {
    let mut run = RunBuilder::default();
    run.serve(0, read(first(1)));
    assert_eq!(run.violated_rules(), []);
    assert_eq!(
        run.clone().answer(150, first(1), ClientOutcome::Failed).violated_rules(),
        [Rule::SingleResponse]
    );
    assert_eq!(
        run.observe(150, ObservationKind::UnexpectedResponse { gateway: 0 }).violated_rules(),
        [Rule::SingleResponse]
    );
}

#[test]
fn accepts_a_closed_connection_after_the_response() {
    let mut run = RunBuilder::default();
    run.serve(0, read(first(1))).answer(150, first(1), ClientOutcome::ConnectionClosed);
    assert_eq!(run.violated_rules(), []);
}

#[test]
fn reports_a_value_that_no_host_produced() {
    let mut run = RunBuilder::default();
    run.ask(0, read(first(1))).answer(50, first(1), ClientOutcome::Served(false));
    assert_eq!(run.violated_rules(), [Rule::SingleResponse]);
    let verdict = run.verdict(&Site::default());
    assert_eq!((verdict.counts.served, verdict.counts.failed), (0, 1));
}

#[test]
fn kill_of_the_gateway_excuses_its_open_requests() {
    // The client may observe the closed connection before the kill is recorded.
    for killed in [10, 39, 40, 41, 89] {
        let mut run = asked();
        run.answer(40, first(1), ClientOutcome::ConnectionClosed);
        assert_eq!(run.clone().observe(killed, down(0)).violated_rules(), [], "killed at {killed} ms");
        assert_eq!(
            run.observe(killed, down(1)).violated_rules(),
            [Rule::SingleResponse],
            "another killed at {killed} ms"
        );
    }
    assert_eq!(
        asked().answer(40, first(1), ClientOutcome::ConnectionClosed).observe(91, down(0)).violated_rules(),
        [Rule::SingleResponse]
    );
}

#[test]
fn kill_excuses_a_request_without_an_end_only_before_its_deadline() {
    assert_eq!(asked().observe(500, down(0)).violated_rules(), []);
    assert_eq!(asked().observe(1_070, down(0)).violated_rules(), [Rule::SingleResponse]);
}

#[test]
fn stopped_gateway_owes_no_responses() {
    let mut run = RunBuilder::default();
    run.observe(0, down(0)).ask(5, read(first(1))).answer(6, first(1), ClientOutcome::ConnectionClosed);
    assert_eq!(run.violated_rules(), []);
    run.observe(50, ObservationKind::GatewayUp { gateway: 0 });
    assert_eq!(run.clone().ask(60, read(first(2))).violated_rules(), [Rule::SingleResponse]);
    assert_eq!(run.serve(60, read(first(2))).violated_rules(), []);
}

#[test]
fn gateway_has_to_respond_to_all_requests_after_sigterm() {
    let signal = |kill: bool| ObservationKind::GatewaySignalled { gateway: 0, kill };
    let violated_rules = |term: Option<u64>, kill: Option<u64>| {
        let mut run = RunBuilder::default();
        let asked = 5_000;
        term.map(|ms| run.observe(ms, signal(false)).violated_rules());
        run.ask(asked, read(first(1)));
        kill.map(|ms| run.observe(ms, signal(true)).violated_rules());
        run.observe(5_100, down(0)).answer(5_100, first(1), ClientOutcome::ConnectionClosed).violated_rules()
    };
    assert_eq!(violated_rules(Some(4_900), None), [Rule::SingleResponse], "it ended by itself");
    // The longest deadline is 2 s, and 0.7 s are added.
    assert_eq!(
        violated_rules(Some(2_400), Some(5_100)),
        [Rule::SingleResponse],
        "killed when it had to be done"
    );
    assert_eq!(
        violated_rules(Some(2_401), Some(5_100)),
        [],
        "killed by another event, sooner than a restart kills"
    );
    assert_eq!(violated_rules(None, Some(5_100)), []);
}

#[test]
fn kill_after_a_restart_excuses_open_requests() {
    let mut run = RunBuilder::default();
    run.observe(0, ObservationKind::GatewaySignalled { gateway: 0, kill: false }).observe(400, down(0));
    run.observe(900, ObservationKind::GatewayUp { gateway: 0 });
    run.ask(5_000, read(first(1))).observe(5_100, down(0)).answer(
        5_100,
        first(1),
        ClientOutcome::ConnectionClosed,
    );
    assert_eq!(run.violated_rules(), []);
}

#[test]
fn client_link_cut_excuses_overlapping_requests() {
    let cut = |cut: bool| ObservationKind::ClientLinksCut { gateway: 0, cut };
    let mut run = RunBuilder::default();
    run.observe(100, cut(true)).observe(1_000, cut(false));
    assert_eq!(run.clone().ask(50, read(first(1))).violated_rules(), []);
    assert_eq!(run.clone().ask(900, read(first(1))).violated_rules(), []);
    assert_eq!(run.ask(1_001, read(first(1))).violated_rules(), [Rule::SingleResponse]);
}

#[test]
fn reports_an_attempt_sent_after_the_response() {
    let mut run = RunBuilder::default();
    run.serve(0, read(first(1)));
    assert_eq!(run.clone().receive_sent(150, 900, first(1), 1).violated_rules(), []);
    assert_eq!(run.receive(151, first(1), 1).violated_rules(), [Rule::SingleResponse]);
}

#[test]
fn request_may_be_rewritten_after_its_connection_closed_unread() {
    let mut run = asked();
    run.ask(900, read(first(1))).answer(1_500, first(1), SERVED);
    assert_eq!(run.violated_rules(), []);
    assert_eq!(run.verdict(&Site::default()).counts.asked, 1);
    // The deadline starts again when the request is rewritten.
    assert_eq!(asked().ask(900, read(first(1))).violated_rules(), [Rule::SingleResponse]);
}
