//! Sightings of one instant, in any order; and those that fit nowhere.

use crate::day::{first, order, read, Ask, Day, SERVED, START};
use cluster_model::observation::{ClientOutcome, HostOutcome, Observation, ObservationKind};
use cluster_model::rng::Rng;
use cluster_model::scenario::{Site, Traffic};
use cluster_model::SECOND;
use invariants::{InvariantChecker, Verdict};

fn judged(seen: &[Observation]) -> Verdict {
    let mut judge = InvariantChecker::new(&Site::default(), &Traffic::default(), START);
    seen.iter().for_each(|seen| judge.observe(seen));
    judge.finish(START + 10 * SECOND)
}

fn json(verdict: &Verdict) -> String {
    serde_json::to_string(verdict).unwrap()
}

#[test]
fn a_life_in_one_instant_may_be_told_in_any_order() {
    let mut day = Day::default();
    let id = first(1);
    day.ask(0, order(id)).receive(0, id, 0).done_for(0, id, 0, 3.0).answer(0, id, SERVED);
    let expected = json(&judged(&day.sightings()));
    assert!(expected.contains("\"breaches\":[]") && expected.contains("\"notes\":[]"), "{expected}");
    let mut rng = Rng::stream(1, "order", 0);
    for _ in 0..200 {
        let mut seen = day.sightings();
        rng.shuffle(&mut seen);
        assert_eq!(json(&judged(&seen)), expected, "{seen:?}");
    }
}

#[test]
fn a_kill_and_what_its_clients_saw_may_be_told_in_any_order() {
    let mut rng = Rng::stream(2, "order", 0);
    for _ in 0..200 {
        let mut day = Day::default();
        day.ask(0, read(first(1))).answer(0, first(1), ClientOutcome::ConnectionClosed);
        day.see(0, ObservationKind::GatewaySignalled { gateway: 0, kill: true });
        day.see(0, ObservationKind::GatewayDown { gateway: 0, expected: true });
        let mut seen = day.sightings();
        rng.shuffle(&mut seen);
        assert_eq!(judged(&seen).violations, [], "{seen:?}");
    }
}

#[test]
fn a_host_that_writes_faster_than_a_client_is_understood() {
    let mut day = Day::default();
    let id = first(1);
    // On sockets the client's note of its last byte may come after the host's of the whole command.
    day.receive(4, id, 0).done(5, id, 0, HostOutcome::Served).ask(6, read(id)).answer(9, id, SERVED);
    let verdict = day.verdict(&Site::default());
    assert_eq!((verdict.violations, verdict.notes), (vec![], vec![]));
    assert_eq!((verdict.hosts[0].received, verdict.hosts[0].served), (1, 1));
}

#[test]
fn what_fits_nowhere_is_noted() {
    let mut day = Day::default();
    day.receive(4, first(1), 0).serve(10, read(first(2))).end(300, first(2), 5, HostOutcome::Served);
    day.ask(20, Ask { class: 9, ..read(first(3)) });
    let verdict = day.verdict(&Site::default());
    assert_eq!((verdict.violations, verdict.notes.len()), (vec![], 3));
}

#[test]
fn the_same_sightings_give_the_same_verdict() {
    let mut day = Day::default();
    (1..500).for_each(|n| {
        day.serve(7 * n, Ask { customer: n % 13, units: 1.0 + (n % 6) as f64, ..read(first(n)) });
    });
    assert_eq!(json(&judged(&day.sightings())), json(&judged(&day.sightings())));
}

#[test]
fn a_thoroughly_wrong_gateway_does_not_fill_the_memory() {
    let mut day = Day::default();
    (1..=1_500).for_each(|n| {
        day.ask(0, read(first(n)));
    });
    let verdict = day.verdict(&Site::default());
    assert_eq!((verdict.violations.len(), verdict.counts.failed), (1_000, 1_500));
    assert_eq!(verdict.notes, ["500 violations found after the first 1000 are not listed"]);
}
