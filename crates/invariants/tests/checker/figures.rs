//! Statistics of latencies and hosts, and of the run second by second.

use crate::run_builder::{first, read, RequestSpec, RunBuilder, PREMIUM, READ, SERVED, STANDARD, START};
use cluster_model::observation::{ClientOutcome, HostOutcome, Observation, ObservationKind};
use cluster_model::requests;
use cluster_model::scenario::{Site, Traffic};
use cluster_model::{MS, SECOND};
use invariants::{FleetFigures, InvariantChecker};

#[test]
fn percentiles_are_exact() {
    let mut run = RunBuilder::default();
    (1..=200).for_each(|n| {
        run.ask(0, read(first(n))).answer(n, first(n), SERVED);
    });
    let latency = run.verdict(&Site::default()).classes[READ as usize].latency;
    assert_eq!(
        [latency.p50_ms, latency.p95_ms, latency.p99_ms, latency.max_ms],
        [100.0, 190.0, 198.0, 200.0]
    );
}

#[test]
fn operation_ends_like_its_last_request() {
    let ended =
        |last: ClientOutcome| {
            let mut run = RunBuilder::default();
            run.refuse(0, read(requests::request_id(1, 0)))
                .ask(100, read(requests::request_id(1, 1)))
                .answer(120, requests::request_id(1, 1), last);
            let counts = run.verdict(&Site::default()).counts;
            [counts.asked, counts.served, counts.refused, counts.failed]
        };
    assert_eq!(ended(SERVED), [1, 1, 0, 0]);
    assert_eq!(ended(ClientOutcome::Rejected(None)), [1, 0, 1, 0]);
    assert_eq!(ended(ClientOutcome::Failed), [1, 0, 0, 1]);
    assert_eq!(ended(ClientOutcome::ConnectionClosed), [1, 0, 0, 1]);
}

#[test]
fn requests_count_in_the_seconds_of_arrival_and_end() {
    let mut run = RunBuilder::default();
    run.serve(0, read(first(1))).serve_after(500, 700, read(first(2))).refuse(1_100, read(first(3)));
    // Without a response the request fails when its deadline expires, 1066 ms later.
    run.ask(1_200, read(first(4)));
    let timeline = run.verdict(&Site::default()).timeline;
    let counts: Vec<[u32; 5]> = timeline
        .iter()
        .map(|second| [second.offered, second.served, second.late, second.refused, second.failed])
        .collect();
    assert_eq!(counts, [[2, 1, 0, 0, 0], [2, 0, 1, 1, 0], [0, 0, 0, 0, 1], [0; 5], [0; 5]]);
}

#[test]
fn incomplete_response_fails_a_request_once() {
    let mut run = RunBuilder::default();
    run.ask(0, read(first(1))).answer(10, first(1), ClientOutcome::ConnectionClosed);
    let failed: Vec<u32> =
        run.verdict(&Site::default()).timeline.iter().map(|second| second.failed).collect();
    assert_eq!(failed, [1, 0, 0, 0]);
}

#[test]
fn response_after_the_deadline_ends_a_request_once() {
    let mut run = RunBuilder::default();
    run.serve_after(0, 1_300, read(first(1)));
    let verdict = run.verdict(&Site::default());
    let sum = |of: &dyn Fn(usize) -> u32| (0..verdict.timeline.len()).map(of).sum::<u32>();
    let (served, late) = (sum(&|s| verdict.timeline[s].served), sum(&|s| verdict.timeline[s].late));
    assert_eq!((served, late, sum(&|s| verdict.timeline[s].failed)), (0, 0, 1));
    // The response violates the rule, but arrives before the class's deadline: it counts as served and earns the late share.
    assert_eq!((verdict.counts.served, verdict.counts.within_objective, verdict.weighted_share), (1, 0, 0.2));
}

#[test]
fn seconds_show_units_quotas_hosts_and_gateways() {
    let mut run = RunBuilder::default();
    let id = first(1);
    run.ask(900, RequestSpec { units: 3.0, ..read(id) }).receive(950, id, 0).done_for(1_050, id, 0, 5.0);
    run.answer(1_051, id, SERVED);
    run.serve(1_100, RequestSpec { customer: 8, plan: STANDARD, ..read(first(2)) });
    run.observe(1_000, ObservationKind::HostLoad { host: 2, requests: 1, utilization: 0.25 });
    run.observe(1_500, ObservationKind::GatewayDown { gateway: 2, expected: true });
    run.observe(2_500, ObservationKind::GatewayUp { gateway: 2 });
    run.observe(
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
    let verdict = run.verdict(&Site::default());
    let timeline = &verdict.timeline;
    // Units are settled in the second in which they were forwarded.
    assert_eq!([&timeline[0].units[..], &timeline[1].units[..]], [[0.0, 5.0], [1.0, 0.0]]);
    assert_eq!([&timeline[0].quota[..], &timeline[2].quota[..]], [[0.0, 30.0], [4.5, 30.0]]);
    assert_eq!(timeline[0].busy, [None, None, None]);
    assert_eq!(timeline[1].busy, [None, None, Some(0.25)]);
    assert_eq!(timeline.iter().map(|second| second.gateways_up).collect::<Vec<_>>(), [3, 2, 3, 3, 3, 3]);
    assert_eq!((timeline[2].counter_calls, verdict.counter_calls_per_request), (1, 0.5));
    assert_eq!(verdict.plans[PREMIUM as usize].passed_units, 5.0);
}

#[test]
fn hosts_count_received_attempts() {
    let mut run = RunBuilder::default();
    let id = first(1);
    run.observe(0, ObservationKind::HostConnectionOpened { host: 1, gateway: 0 }).ask(0, read(id));
    run.receive(5, id, 1).done(6, id, 1, HostOutcome::Rejected).receive(9, id, 0).done(
        60,
        id,
        0,
        HostOutcome::Served,
    );
    run.answer(61, id, SERVED).ask(70, read(first(2))).answer(71, first(2), ClientOutcome::Failed);
    let verdict = run.verdict(&Site::default());
    let hosts: Vec<[u64; 4]> = verdict
        .hosts
        .iter()
        .map(|host| [host.received, host.served, host.rejected, host.connections])
        .collect();
    assert_eq!(hosts, [[1, 1, 0, 0], [1, 0, 1, 1]]);
    assert_eq!(verdict.attempts_per_request, 1.0);
}

#[test]
fn fleet_rates_cover_first_to_last_request() {
    let mut run = RunBuilder::default();
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
    run.ask(0, RequestSpec { units: 3.0, ..read(id) });
    run.receive_sent(30, 31, id, 0).done(60, id, 0, HostOutcome::Served).answer(61, id, SERVED);
    run.observe(100, counted(1.0, true, false, 2)).observe(110, counted(0.0, true, false, 51));
    run.observe(120, counted(1.0, false, true, 0)).observe(130, counted(0.0, false, false, 9));
    run.observe(200, connected(0)).observe(210, connected(1));
    run.observe(220, ObservationKind::HostConnectionClosed { host: 0, gateway: 1 })
        .observe(230, connected(2));
    run.observe(240, connected(3)).observe(300, ObservationKind::HealthCheckReceived { host: 1, gateway: 2 });
    run.observe(310, ObservationKind::DiscoveryRequest { gateway: 2, watch: false });
    for (count, what) in [
        (2, ObservationKind::DiscoveryRequest { gateway: 2, watch: true }),
        (3, ObservationKind::DiscoveryMessage { gateway: 2 }),
    ] {
        (0..count).for_each(|_| {
            run.observe(320, what.clone());
        });
    }
    // One request of 100 units exceeds the bucket of 65, and one is rejected with a full bucket.
    run.ask(1_000, RequestSpec { units: 100.0, ..read(first(2)) });
    run.receive_sent(1_050, 1_051, first(2), 0).done(1_090, first(2), 0, HostOutcome::Served);
    run.answer(1_091, first(2), SERVED).refuse(2_000, read(first(3)));
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
    assert_eq!(run.verdict(&Site::default()).fleet, wanted);
    // Events before the first request are not counted, but connections opened before it stay open.
    let mut checker = InvariantChecker::new(&Site::default(), &Traffic::default(), START);
    for what in [counted(1.0, false, true, 0), ObservationKind::DiscoveryMessage { gateway: 2 }, connected(0)]
    {
        checker.observe(&Observation { at: START - 1, kind: what });
    }
    run.observations().iter().for_each(|seen| checker.observe(seen));
    let fleet = checker.finish(START + 3 * SECOND).fleet;
    assert_eq!(fleet, FleetFigures { peak_open_connections: 4, ..wanted });
}

#[test]
fn events_preserve_text_and_time() {
    let mut checker = InvariantChecker::new(&Site::default(), &Traffic::default(), START);
    for (at, text) in
        [(START - SECOND, "the hosts are up"), (START + 1_500 * MS, "kill 41 % of the gateways")]
    {
        checker.observe(&Observation { at, kind: ObservationKind::ScenarioEvent { text: text.into() } });
    }
    let verdict = checker.finish(START + 2 * SECOND);
    assert_eq!(
        verdict.events,
        [(-1.0, "the hosts are up".into()), (1.5, "kill 41 % of the gateways".into())]
    );
    assert_eq!(verdict.timeline.len(), 2);
}
