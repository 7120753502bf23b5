//! Each faulty gateway violates exactly its rule; and the rules that the invariant checker reports for the same run.

use crate::run_builder::{first, order, read, RequestSpec, RunBuilder, SERVED, START};
use crate::{rules, site, KEYED};
use cluster_model::observation::{ClientOutcome, HostOutcome, Lifecycle, ObservationKind};
use cluster_model::SECOND;
use history_checker::Rule;
use invariants::Rule as CheckerRule;

const ID: u64 = 16;

/// Description of the fault, the run, the rule that the history checker reports, and those of the invariant checker.
type FaultyGateway = (&'static str, fn() -> RunBuilder, Rule, &'static [CheckerRule]);

fn run(build: impl Fn(&mut RunBuilder)) -> RunBuilder {
    let mut run = RunBuilder::default();
    build(&mut run);
    run
}

fn keyed() -> RequestSpec {
    RequestSpec { class: KEYED, ..order(ID) }
}

const ALL: [FaultyGateway; 14] = [
    (
        "answers twice",
        || {
            run(|d| {
                d.serve(0, read(ID)).answer(120, ID, ClientOutcome::Failed);
            })
        },
        Rule::SingleResponse,
        SINGLE,
    ),
    (
        "talks to itself",
        || {
            run(|d| {
                d.observe(9, ObservationKind::UnexpectedResponse { gateway: 0 });
            })
        },
        Rule::SingleResponse,
        SINGLE,
    ),
    (
        "forgets a request",
        || {
            run(|d| {
                d.ask(0, read(ID)).serve(5, read(first(2)));
            })
        },
        Rule::SingleResponse,
        SINGLE,
    ),
    (
        "cuts a client off",
        || {
            run(|d| {
                d.ask(0, read(ID)).answer(20, ID, ClientOutcome::ConnectionClosed);
            })
        },
        Rule::SingleResponse,
        SINGLE,
    ),
    ("repeats an order whose answer was lost", repeats_an_order, Rule::NoDuplicateExecution, DUPLICATE),
    (
        "repeats an order that is still out",
        repeats_an_order_in_flight,
        Rule::NoDuplicateExecution,
        DUPLICATE_IN_FLIGHT,
    ),
    ("refuses an order that ran", rejects_an_executed_order, Rule::NoDuplicateExecution, DUPLICATE),
    (
        "sends an order that it refused",
        forwards_after_rejection,
        Rule::NoDuplicateExecution,
        DUPLICATE_AFTER_REJECTION,
    ),
    ("repeats a keyed one too late", || repeats_keyed(600, 1), Rule::NoDuplicateExecution, DUPLICATE),
    // The invariant checker has no groups: in scenarios all hosts form one group.
    ("repeats a keyed one elsewhere", || repeats_keyed(200, 2), Rule::NoDuplicateExecution, &[]),
    // 24 units in 4 s are within the stated 28; only the window of 1 s exceeds its bound. The invariant checker has no such
    // rule: it accounts the units beyond the quota.
    ("lets too much in at once", admits_too_many_units, Rule::QuotaWindow, &[]),
    ("sends to a draining host", sends_to_draining, Rule::DrainGrace, DRAINS),
    (
        "never hears of drains",
        || forwards_after_agent_notification(Lifecycle::Removed, 0),
        Rule::DrainGrace,
        DRAINS,
    ),
    // The invariant checker reports this only if the host crashes from overload.
    (
        "never hears of starts",
        || forwards_after_agent_notification(Lifecycle::InService, START),
        Rule::StaleState,
        &[],
    ),
];
const SINGLE: &[CheckerRule] = &[CheckerRule::SingleResponse];
const DUPLICATE: &[CheckerRule] = &[CheckerRule::NoDuplicateExecution];
const DUPLICATE_IN_FLIGHT: &[CheckerRule] = &[CheckerRule::NoDuplicateExecution];
const DUPLICATE_AFTER_REJECTION: &[CheckerRule] =
    &[CheckerRule::SingleResponse, CheckerRule::NoDuplicateExecution];
const DRAINS: &[CheckerRule] = &[CheckerRule::DrainGrace];

fn repeats_an_order() -> RunBuilder {
    run(|run| {
        run.ask(0, order(ID))
            .receive(2, ID, 0)
            .done(100, ID, 0, HostOutcome::Undelivered)
            .receive(102, ID, 1);
        run.done(150, ID, 1, HostOutcome::Served).answer(151, ID, SERVED);
    })
}

fn repeats_an_order_in_flight() -> RunBuilder {
    run(|run| {
        run.ask(0, order(ID)).receive(2, ID, 0).receive(10, ID, 1);
        // The gateway could not know that the host would reject it.
        run.done(20, ID, 0, HostOutcome::Rejected)
            .done(150, ID, 1, HostOutcome::Served)
            .answer(151, ID, SERVED);
    })
}

fn rejects_an_executed_order() -> RunBuilder {
    run(|run| {
        run.ask(0, order(ID)).receive(2, ID, 0).done(100, ID, 0, HostOutcome::Failed);
        run.answer(102, ID, ClientOutcome::Rejected(None));
    })
}

fn forwards_after_rejection() -> RunBuilder {
    run(|run| {
        run.ask(0, order(ID)).answer(2, ID, ClientOutcome::Rejected(None)).receive(90, ID, 0).done(
            99,
            ID,
            0,
            HostOutcome::Served,
        );
    })
}

fn repeats_keyed(ms: u64, host: u32) -> RunBuilder {
    run(|run| {
        run.ask(0, keyed())
            .receive(2, ID, 0)
            .done(100, ID, 0, HostOutcome::Undelivered)
            .receive(ms, ID, host);
        run.done(ms + 50, ID, host, HostOutcome::Served).answer(ms + 51, ID, SERVED);
    })
}

fn admits_too_many_units() -> RunBuilder {
    run(|run| {
        for (n, ms) in [0, 3_000, 3_250, 3_500].into_iter().enumerate() {
            run.serve(ms, RequestSpec { units: 6.0, ..read(first(n as u64 + 1)) });
        }
    })
}

fn sends_to_draining() -> RunBuilder {
    run(|run| {
        run.notify_gateway(0, 0, 0, Lifecycle::Draining).serve(1_000, read(ID));
    })
}

fn forwards_after_agent_notification(state: Lifecycle, started: u64) -> RunBuilder {
    run(|run| {
        run.observe(0, ObservationKind::AgentNotified { gateway: 0, host: 0, state, started });
        run.serve(6_000, read(first(2))).serve(7_000, read(ID));
    })
}

#[test]
fn each_fault_violates_exactly_its_rule() {
    for (fault, run, rule, judged) in ALL {
        assert_eq!(rules(&run()), [rule], "{fault}");
        let judges: Vec<CheckerRule> = run().violated_rules_at(&site());
        assert_eq!(judges, judged, "{fault}, before the judge");
    }
}

#[test]
fn correct_gateway_has_no_violations() {
    let id = first(50);
    let run = run(|run| {
        run.notify_gateway(0, 0, 3, Lifecycle::Draining).notify_agent(0, 0, 3, Lifecycle::Draining);
        (1..=40).for_each(|n| {
            run.serve(250 * n, read(first(n)));
        });
        run.ask(50, order(id)).receive(60, id, 1).done(65, id, 1, HostOutcome::Rejected);
        run.receive(70, id, 2).done(90, id, 2, HostOutcome::Dropped).answer(
            95,
            id,
            ClientOutcome::Rejected(None),
        );
        run.observe(5_000, ObservationKind::GatewayDown { gateway: 1, expected: true })
            .observe(6_000, ObservationKind::GatewayUp { gateway: 1 });
        let started = START + SECOND;
        run.observe(
            1_000,
            ObservationKind::AgentNotified { gateway: 0, host: 0, state: Lifecycle::InService, started },
        );
        run.observe(
            1_010,
            ObservationKind::GatewayNotified { gateway: 0, host: 0, state: Lifecycle::InService, started },
        );
    });
    assert_eq!(rules(&run), []);
}
