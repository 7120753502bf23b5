//! Faulty gateways: each violates exactly its rule, and a gateway without a fault violates none.

use crate::run_builder::{first, order, read, RequestSpec, RunBuilder, PREMIUM, SERVED, START};
use cluster_model::observation::{ClientOutcome, HostOutcome, Lifecycle, ObservationKind};
use cluster_model::scenario::Site;
use cluster_model::{MS, SECOND};
use invariants::Rule;

const ID: u64 = 16;

/// Description of the fault, the run, and the rule that it violates.
type FaultyGateway = (&'static str, fn() -> RunBuilder, Rule);

/// An order that host 0 executes for 100 ms.
fn sent_order() -> RunBuilder {
    let mut run = RunBuilder::default();
    run.ask(0, order(ID)).receive(2, ID, 0);
    run
}

fn responds_twice() -> RunBuilder {
    let mut run = RunBuilder::default();
    run.serve(0, read(ID)).answer(120, ID, SERVED);
    run
}

fn sends_unexpected_bytes() -> RunBuilder {
    let mut run = RunBuilder::default();
    run.serve(0, read(ID)).observe(120, ObservationKind::UnexpectedResponse { gateway: 0 });
    run
}

fn repeats_an_order() -> RunBuilder {
    let mut run = sent_order();
    run.done(100, ID, 0, HostOutcome::Undelivered).receive(102, ID, 1).done(150, ID, 1, HostOutcome::Served);
    run.answer(151, ID, SERVED);
    run
}

fn rejects_an_executed_order() -> RunBuilder {
    let mut run = sent_order();
    run.done(100, ID, 0, HostOutcome::Failed).answer(102, ID, ClientOutcome::Rejected(None));
    run
}

fn sends_to_a_draining_host() -> RunBuilder {
    let mut run = RunBuilder::default();
    run.notify_gateway(0, 0, 0, Lifecycle::Draining).serve(1_000, read(ID));
    run
}

fn ignores_agent_drain_notifications() -> RunBuilder {
    let mut run = RunBuilder::default();
    run.notify_agent(0, 0, 0, Lifecycle::Draining).serve(6_000, read(first(2))).serve(7_000, read(ID));
    run
}

fn ignores_agent_start_notifications() -> RunBuilder {
    let mut run = RunBuilder::default();
    run.observe(
        0,
        ObservationKind::HostStarted {
            host: 0,
            full_capacity: 1e9,
            initial_share: 0.25,
            warm_up: 10 * SECOND,
        },
    );
    run.observe(
        100,
        ObservationKind::AgentNotified { gateway: 0, host: 0, state: Lifecycle::InService, started: START },
    );
    (1..=80).for_each(|n| {
        run.serve(7_000, RequestSpec { customer: n, ..read(first(n)) });
    });
    run.observe(7_050, ObservationKind::HostOverloadCrash { host: 0 });
    run
}

fn overloads_a_warming_host() -> RunBuilder {
    let mut run = RunBuilder::default();
    run.observe(
        0,
        ObservationKind::HostStarted {
            host: 0,
            full_capacity: 1e9,
            initial_share: 0.25,
            warm_up: 10 * SECOND,
        },
    );
    run.observe(
        100,
        ObservationKind::GatewayNotified { gateway: 0, host: 0, state: Lifecycle::InService, started: START },
    );
    (1..=40).for_each(|n| {
        run.serve(1_000, read(first(n)));
    });
    run.observe(1_050, ObservationKind::HostOverloadCrash { host: 0 });
    run
}

fn loses_a_request() -> RunBuilder {
    let mut run = RunBuilder::default();
    run.serve(0, read(first(2))).ask(10, read(ID));
    run
}

fn closes_a_client_connection() -> RunBuilder {
    let mut run = RunBuilder::default();
    run.ask(10, read(ID)).answer(20, ID, ClientOutcome::ConnectionClosed);
    run
}

fn exceeds_the_ceiling() -> RunBuilder {
    let mut run = RunBuilder::default();
    (1..=9).for_each(|n| {
        run.serve(0, RequestSpec { units: 6.0, ..read(first(n)) });
    });
    run
}

fn serves_a_fabricated_value() -> RunBuilder {
    let mut run = RunBuilder::default();
    run.ask(0, read(ID)).answer(20, ID, ClientOutcome::Served(false));
    run
}

fn crashes() -> RunBuilder {
    let mut run = RunBuilder::default();
    run.ask(0, read(ID)).observe(20, ObservationKind::GatewayDown { gateway: 0, expected: false });
    run.answer(21, ID, ClientOutcome::ConnectionClosed);
    run
}

/// The default site, with a ceiling of 48 units on the premium plan.
fn site() -> Site {
    let mut site = Site::default();
    let plan = &mut site.plans[PREMIUM as usize];
    plan.ceiling_rate = 1.0;
    plan.ceiling_burst = 40.0;
    plan.ceiling_slack = 8.0;
    site
}

#[test]
fn each_fault_violates_exactly_its_rule() {
    let faulty_gateways: [FaultyGateway; 13] = [
        ("answers twice", responds_twice, Rule::SingleResponse),
        ("talks to itself", sends_unexpected_bytes, Rule::SingleResponse),
        ("repeats an order", repeats_an_order, Rule::NoDuplicateExecution),
        ("refuses an order that ran", rejects_an_executed_order, Rule::NoDuplicateExecution),
        ("sends to a draining host", sends_to_a_draining_host, Rule::DrainGrace),
        ("never hears of drains", ignores_agent_drain_notifications, Rule::DrainGrace),
        ("floods a cold host", overloads_a_warming_host, Rule::SlowStart),
        ("never hears of starts", ignores_agent_start_notifications, Rule::SlowStart),
        ("forgets a request", loses_a_request, Rule::SingleResponse),
        ("cuts a client off", closes_a_client_connection, Rule::SingleResponse),
        ("exceeds the ceiling", exceeds_the_ceiling, Rule::Ceilings),
        ("serves a value that no host made", serves_a_fabricated_value, Rule::SingleResponse),
        ("crashes", crashes, Rule::NoCrash),
    ];
    for (fault, run, rule) in faulty_gateways {
        let verdict = run().verdict(&site());
        let rules: Vec<Rule> = verdict.violations.iter().map(|violation| violation.rule).collect();
        assert_eq!(rules, [rule], "{fault}: {:?}", verdict.violations);
        assert_eq!(verdict.notes, Vec::<String>::new(), "{fault}");
    }
}

#[test]
fn correct_gateway_has_no_violations() {
    let mut run = RunBuilder::default();
    run.observe(
        0,
        ObservationKind::HostStarted {
            host: 0,
            full_capacity: 2e9,
            initial_share: 1.0,
            warm_up: 10 * SECOND,
        },
    );
    run.notify_gateway(0, 0, 3, Lifecycle::Draining);
    (1..=40).for_each(|n| {
        run.serve(100 * n, RequestSpec { customer: n % 4, ..read(first(n)) });
    });
    let id = first(50);
    run.ask(50, order(id)).receive(60, id, 1).done(65, id, 1, HostOutcome::Rejected);
    run.receive(70, id, 2).done(90, id, 2, HostOutcome::Dropped).answer(
        95,
        id,
        ClientOutcome::Rejected(Some(50 * MS)),
    );
    run.observe(5_000, ObservationKind::GatewayDown { gateway: 1, expected: true })
        .observe(6_000, ObservationKind::GatewayUp { gateway: 1 });
    let verdict = run.verdict(&site());
    assert_eq!((verdict.violations, verdict.notes), (vec![], vec![]));
    assert_eq!((verdict.counts.asked, verdict.counts.served, verdict.counts.refused), (41, 40, 1));
}

#[test]
fn violation_names_its_subject() {
    let mut run = RunBuilder::default();
    let mut texts = Vec::new();
    for wrong in [repeats_an_order(), sends_to_a_draining_host(), exceeds_the_ceiling()] {
        texts.extend(wrong.verdict(&site()).violations.into_iter().map(|violation| violation.text));
    }
    let named = ["request 0000000000000010", "host 1", "customer 0000000000000007"];
    assert_eq!(texts.len(), named.len());
    named.iter().zip(&texts).for_each(|(name, text)| assert!(text.contains(name), "{text}"));
    assert_eq!(
        run.observe(0, ObservationKind::UnexpectedResponse { gateway: 2 }).verdict(&site()).violations[0]
            .at_s,
        0.0
    );
}
