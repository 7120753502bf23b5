//! Observations with equal timestamps in any order, and inconsistent observations.

use crate::run_builder::{first, order, read, RequestSpec, RunBuilder, SERVED, START};
use cluster_model::observation::{ClientOutcome, HostOutcome, Observation, ObservationKind};
use cluster_model::rng::Rng;
use cluster_model::scenario::{Site, Traffic};
use cluster_model::SECOND;
use invariants::{InvariantChecker, Verdict};

fn judged(seen: &[Observation]) -> Verdict {
    let mut checker = InvariantChecker::new(&Site::default(), &Traffic::default(), START);
    seen.iter().for_each(|seen| checker.observe(seen));
    checker.finish(START + 10 * SECOND)
}

fn json(verdict: &Verdict) -> String {
    serde_json::to_string(verdict).unwrap()
}

#[test]
fn observations_of_a_request_with_equal_timestamps_may_come_in_any_order() {
    let mut run = RunBuilder::default();
    let id = first(1);
    run.ask(0, order(id)).receive(0, id, 0).done_for(0, id, 0, 3.0).answer(0, id, SERVED);
    let expected = json(&judged(&run.observations()));
    assert!(expected.contains("\"breaches\":[]") && expected.contains("\"notes\":[]"), "{expected}");
    let mut rng = Rng::stream(1, "order", 0);
    for _ in 0..200 {
        let mut seen = run.observations();
        rng.shuffle(&mut seen);
        assert_eq!(json(&judged(&seen)), expected, "{seen:?}");
    }
}

#[test]
fn kill_and_client_observations_with_equal_timestamps_may_come_in_any_order() {
    let mut rng = Rng::stream(2, "order", 0);
    for _ in 0..200 {
        let mut run = RunBuilder::default();
        run.ask(0, read(first(1))).answer(0, first(1), ClientOutcome::ConnectionClosed);
        run.observe(0, ObservationKind::GatewaySignalled { gateway: 0, kill: true });
        run.observe(0, ObservationKind::GatewayDown { gateway: 0, expected: true });
        let mut seen = run.observations();
        rng.shuffle(&mut seen);
        assert_eq!(judged(&seen).violations, [], "{seen:?}");
    }
}

#[test]
fn host_observations_may_precede_the_request_observation() {
    let mut run = RunBuilder::default();
    let id = first(1);
    // On sockets the client may record its last byte after the host has recorded the complete command.
    run.receive(4, id, 0).done(5, id, 0, HostOutcome::Served).ask(6, read(id)).answer(9, id, SERVED);
    let verdict = run.verdict(&Site::default());
    assert_eq!((verdict.violations, verdict.notes), (vec![], vec![]));
    assert_eq!((verdict.hosts[0].received, verdict.hosts[0].served), (1, 1));
}

#[test]
fn inconsistent_observations_are_noted() {
    let mut run = RunBuilder::default();
    run.receive(4, first(1), 0).serve(10, read(first(2))).end(300, first(2), 5, HostOutcome::Served);
    run.ask(20, RequestSpec { class: 9, ..read(first(3)) });
    let verdict = run.verdict(&Site::default());
    assert_eq!((verdict.violations, verdict.notes.len()), (vec![], 3));
}

#[test]
fn same_observations_give_the_same_verdict() {
    let mut run = RunBuilder::default();
    (1..500).for_each(|n| {
        run.serve(7 * n, RequestSpec { customer: n % 13, units: 1.0 + (n % 6) as f64, ..read(first(n)) });
    });
    assert_eq!(json(&judged(&run.observations())), json(&judged(&run.observations())));
}

#[test]
fn number_of_listed_violations_is_limited() {
    let mut run = RunBuilder::default();
    (1..=1_500).for_each(|n| {
        run.ask(0, read(first(n)));
    });
    let verdict = run.verdict(&Site::default());
    assert_eq!((verdict.violations.len(), verdict.counts.failed), (1_000, 1_500));
    assert_eq!(verdict.notes, ["500 violations found after the first 1000 are not listed"]);
}
