//! Latencies, hosts and the run second by second.

use crate::day::{first, read, Ask, Day, PREMIUM, READ, SERVED, STANDARD, START};
use cluster_model::observation::{ClientOutcome, HostOutcome, Observation, ObservationKind};
use cluster_model::requests;
use cluster_model::scenario::{Site, Traffic};
use cluster_model::{MS, SECOND};
use invariants::{FleetFigures, InvariantChecker};

#[test]
fn percentiles_are_exact() {
    let mut day = Day::default();
    (1..=200).for_each(|n| {
        day.ask(0, read(first(n))).answer(n, first(n), SERVED);
    });
    let latency = day.verdict(&Site::default()).classes[READ as usize].latency;
    assert_eq!(
        [latency.p50_ms, latency.p95_ms, latency.p99_ms, latency.max_ms],
        [100.0, 190.0, 198.0, 200.0]
    );
}

#[test]
fn a_thing_ends_as_its_last_try_does() {
    let ended =
        |last: ClientOutcome| {
            let mut day = Day::default();
            day.refuse(0, read(requests::request_id(1, 0)))
                .ask(100, read(requests::request_id(1, 1)))
                .answer(120, requests::request_id(1, 1), last);
            let counts = day.verdict(&Site::default()).counts;
            [counts.asked, counts.served, counts.refused, counts.failed]
        };
    assert_eq!(ended(SERVED), [1, 1, 0, 0]);
    assert_eq!(ended(ClientOutcome::Rejected(None)), [1, 0, 1, 0]);
    assert_eq!(ended(ClientOutcome::Failed), [1, 0, 0, 1]);
    assert_eq!(ended(ClientOutcome::ConnectionClosed), [1, 0, 0, 1]);
}

#[test]
fn seconds_count_tries_where_they_came_and_ended() {
    let mut day = Day::default();
    day.serve(0, read(first(1))).serve_after(500, 700, read(first(2))).refuse(1_100, read(first(3)));
    // Never answered: failed when its time was over, 1066 ms later.
    day.ask(1_200, read(first(4)));
    let timeline = day.verdict(&Site::default()).timeline;
    let counts: Vec<[u32; 5]> = timeline
        .iter()
        .map(|second| [second.offered, second.served, second.late, second.refused, second.failed])
        .collect();
    assert_eq!(counts, [[2, 1, 0, 0, 0], [2, 0, 1, 1, 0], [0, 0, 0, 0, 1], [0; 5], [0; 5]]);
}

#[test]
fn a_broken_answer_fails_a_try_once() {
    let mut day = Day::default();
    day.ask(0, read(first(1))).answer(10, first(1), ClientOutcome::ConnectionClosed);
    let failed: Vec<u32> =
        day.verdict(&Site::default()).timeline.iter().map(|second| second.failed).collect();
    assert_eq!(failed, [1, 0, 0, 0]);
}

#[test]
fn a_late_answer_ends_a_try_once() {
    let mut day = Day::default();
    day.serve_after(0, 1_300, read(first(1)));
    let verdict = day.verdict(&Site::default());
    let sum = |of: &dyn Fn(usize) -> u32| (0..verdict.timeline.len()).map(of).sum::<u32>();
    let (served, late) = (sum(&|s| verdict.timeline[s].served), sum(&|s| verdict.timeline[s].late));
    assert_eq!((served, late, sum(&|s| verdict.timeline[s].failed)), (0, 0, 1));
    // It came too late for the rule, but before the class's time: it is served, and worth its part.
    assert_eq!((verdict.counts.served, verdict.counts.within_objective, verdict.weighted_share), (1, 0, 0.2));
}

#[test]
fn seconds_show_units_quotas_hosts_and_gateways() {
    let mut day = Day::default();
    let id = first(1);
    day.ask(900, Ask { units: 3.0, ..read(id) }).receive(950, id, 0).done_for(1_050, id, 0, 5.0);
    day.answer(1_051, id, SERVED);
    day.serve(1_100, Ask { customer: 8, plan: STANDARD, ..read(first(2)) });
    day.see(1_000, ObservationKind::HostLoad { host: 2, requests: 1, utilization: 0.25 });
    day.see(1_500, ObservationKind::GatewayDown { gateway: 2, expected: true });
    day.see(2_500, ObservationKind::GatewayUp { gateway: 2 });
    day.see(
        2_500,
        ObservationKind::CounterCall {
            gateway: 0,
            amount: 1.0,
            added: true,
            answered: true,
            rejected: false,
            duration: 0,
        },
    );
    let verdict = day.verdict(&Site::default());
    let timeline = &verdict.timeline;
    // Settled in the second in which they were passed on.
    assert_eq!([&timeline[0].units[..], &timeline[1].units[..]], [[0.0, 5.0], [1.0, 0.0]]);
    assert_eq!([&timeline[0].quota[..], &timeline[2].quota[..]], [[0.0, 30.0], [4.5, 30.0]]);
    assert_eq!(timeline[0].busy, [None, None, None]);
    assert_eq!(timeline[1].busy, [None, None, Some(0.25)]);
    assert_eq!(timeline.iter().map(|second| second.gateways_up).collect::<Vec<_>>(), [3, 2, 3, 3, 3, 3]);
    assert_eq!((timeline[2].counter_calls, verdict.counter_calls_per_request), (1, 0.5));
    assert_eq!(verdict.plans[PREMIUM as usize].passed_units, 5.0);
}

#[test]
fn hosts_count_what_came_to_them() {
    let mut day = Day::default();
    let id = first(1);
    day.see(0, ObservationKind::HostConnectionOpened { host: 1, gateway: 0 }).ask(0, read(id));
    day.receive(5, id, 1).done(6, id, 1, HostOutcome::Rejected).receive(9, id, 0).done(
        60,
        id,
        0,
        HostOutcome::Served,
    );
    day.answer(61, id, SERVED).ask(70, read(first(2))).answer(71, first(2), ClientOutcome::Failed);
    let verdict = day.verdict(&Site::default());
    let hosts: Vec<[u64; 4]> = verdict
        .hosts
        .iter()
        .map(|host| [host.received, host.served, host.rejected, host.connections])
        .collect();
    assert_eq!(hosts, [[1, 1, 0, 0], [1, 0, 1, 1]]);
    assert_eq!(verdict.attempts_per_request, 1.0);
}

#[test]
fn the_fleet_is_summed_from_the_first_request_to_the_last_try() {
    let mut day = Day::default();
    let id = first(1);
    let counted = |amount, answered, turned_away, ms| ObservationKind::CounterCall {
        gateway: 0,
        amount,
        added: answered,
        answered,
        rejected: turned_away,
        duration: ms * MS,
    };
    let connected = |host| ObservationKind::HostConnectionOpened { host, gateway: 1 };
    day.ask(0, Ask { units: 3.0, ..read(id) });
    day.receive_sent(30, 31, id, 0).done(60, id, 0, HostOutcome::Served).answer(61, id, SERVED);
    day.see(100, counted(1.0, true, false, 2)).see(110, counted(0.0, true, false, 51));
    day.see(120, counted(1.0, false, true, 0)).see(130, counted(0.0, false, false, 9));
    day.see(200, connected(0)).see(210, connected(1));
    day.see(220, ObservationKind::HostConnectionClosed { host: 0, gateway: 1 }).see(230, connected(2));
    day.see(240, connected(3)).see(300, ObservationKind::HealthCheckReceived { host: 1, gateway: 2 });
    day.see(310, ObservationKind::DiscoveryRequest { gateway: 2, watch: false });
    for (count, what) in [
        (2, ObservationKind::DiscoveryRequest { gateway: 2, watch: true }),
        (3, ObservationKind::DiscoveryMessage { gateway: 2 }),
    ] {
        (0..count).for_each(|_| {
            day.see(320, what.clone());
        });
    }
    // One of 100 units is beyond the store of 65, and one is refused with all of it there.
    day.ask(1_000, Ask { units: 100.0, ..read(first(2)) });
    day.receive_sent(1_050, 1_051, first(2), 0).done(1_090, first(2), 0, HostOutcome::Served);
    day.answer(1_091, first(2), SERVED).refuse(2_000, read(first(3)));
    let wanted = FleetFigures {
        gateways: 3,
        counter_calls_per_s: 2.0,
        counter_rejected: 0.25,
        counter_unanswered: 0.5,
        counter_read_only: 0.5,
        health_checks_per_s: 0.5,
        connections_per_s: 2.0,
        peak_open_connections: 3,
        handshake_cores: 2.0 * 0.0009,
        list_calls_per_s: 0.5,
        watches_per_s: 1.0,
        list_lines_per_s: 1.5,
        beyond_quota: 100.0 / 103.0,
        rejected_with_quota: 1.0 / 3.0,
        first_attempt_p50_ms: 30.0,
        first_attempt_p99_ms: 50.0,
    };
    assert_eq!(day.verdict(&Site::default()).fleet, wanted);
    // What was before the first request is none of the day, but what is open is open.
    let mut judge = InvariantChecker::new(&Site::default(), &Traffic::default(), START);
    for what in [counted(1.0, false, true, 0), ObservationKind::DiscoveryMessage { gateway: 2 }, connected(0)]
    {
        judge.observe(&Observation { at: START - 1, kind: what });
    }
    day.sightings().iter().for_each(|seen| judge.observe(seen));
    let fleet = judge.finish(START + 3 * SECOND).fleet;
    assert_eq!(fleet, FleetFigures { peak_open_connections: 4, ..wanted });
}

#[test]
fn events_keep_their_words_and_times() {
    let mut judge = InvariantChecker::new(&Site::default(), &Traffic::default(), START);
    for (at, text) in
        [(START - SECOND, "the hosts are up"), (START + 1_500 * MS, "kill 41 % of the gateways")]
    {
        judge.observe(&Observation { at, kind: ObservationKind::ScenarioEvent { text: text.into() } });
    }
    let verdict = judge.finish(START + 2 * SECOND);
    assert_eq!(
        verdict.events,
        [(-1.0, "the hosts are up".into()), (1.5, "kill 41 % of the gateways".into())]
    );
    assert_eq!(verdict.timeline.len(), 2);
}
