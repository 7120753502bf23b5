//! Boundary cases of each rule.

use crate::run_builder::{first, order, read, RequestSpec, RunBuilder, SERVED, START};
use crate::{limits, rules};
use cluster_model::observation::{ClientOutcome, HostOutcome, Lifecycle, ObservationKind};
use cluster_model::{MS, SECOND};
use history_checker::{History, Rule, StateUse};
use invariants::Rule as CheckerRule;

const ID: u64 = 16;

fn down() -> ObservationKind {
    ObservationKind::GatewayDown { gateway: 0, expected: true }
}

fn signal(kill: bool) -> ObservationKind {
    ObservationKind::GatewaySignalled { gateway: 0, kill }
}

#[test]
fn exit_excuses_open_requests_unless_the_gateway_got_sigterm() {
    let lost = |before: &[(u64, ObservationKind)]| {
        let mut run = RunBuilder::default();
        run.ask(5_000, read(ID)).answer(5_050, ID, ClientOutcome::ConnectionClosed);
        before.iter().for_each(|(ms, what)| {
            run.observe(*ms, what.clone());
        });
        rules(&run)
    };
    assert_eq!(lost(&[]), [Rule::SingleResponse]);
    assert_eq!(lost(&[(5_049, down())]), [], "killed");
    assert_eq!(lost(&[(5_090, down())]), [], "and seen a little later");
    assert_eq!(lost(&[(5_101, down())]), [Rule::SingleResponse], "killed after that");
    assert_eq!(
        lost(&[(4_900, signal(false)), (5_049, down())]),
        [Rule::SingleResponse],
        "it ended by itself"
    );
    let (early, late) = (signal(false), signal(true));
    assert_eq!(
        lost(&[(2_400, early.clone()), (5_100, late.clone()), (5_100, down())]),
        [Rule::SingleResponse]
    );
    assert_eq!(lost(&[(2_401, early), (5_100, late), (5_100, down())]), [], "sooner than a restart kills");
    assert_eq!(lost(&[(10, down())]), [], "no gateway ran");
    let up = ObservationKind::GatewayUp { gateway: 0 };
    assert_eq!(lost(&[(10, down()), (400, up)]), [Rule::SingleResponse], "it ran again");
    let cut = |cut: bool| ObservationKind::ClientLinksCut { gateway: 0, cut };
    assert_eq!(lost(&[(5_010, cut(true)), (9_000, cut(false))]), []);
    assert_eq!(lost(&[(4_000, cut(true)), (4_999, cut(false))]), [Rule::SingleResponse]);
}

#[test]
fn request_with_deadline_after_the_end_of_the_run_is_not_lost() {
    let mut history = History::new(limits(), 0);
    let mut run = RunBuilder::default();
    run.ask(0, read(ID));
    let asked = &run.observations()[0];
    history.observe(asked);
    assert_eq!(history.check(asked.at + 1_000 * MS), []);
}

#[test]
fn request_may_be_rewritten_after_its_connection_closed_unread() {
    let mut run = RunBuilder::default();
    run.ask(0, read(ID)).ask(900, read(ID)).answer(1_500, ID, SERVED);
    assert_eq!(rules(&run), []);
}

#[test]
fn order_may_be_rewritten_after_its_gateway_crashed() {
    let acts = |refuses: bool, died_ms: Option<u64>| {
        let mut run = RunBuilder::default();
        run.ask(0, order(ID)).receive(2, ID, 0).done(30, ID, 0, HostOutcome::Undelivered);
        run.ask(20, RequestSpec { gateway: 1, ..order(ID) });
        if refuses {
            run.observe(
                22,
                ObservationKind::RequestEnded {
                    request: ID,
                    gateway: 1,
                    outcome: ClientOutcome::Rejected(None),
                },
            );
        } else {
            let first_byte = START + 21 * MS;
            run.observe(
                22,
                ObservationKind::AttemptReceived {
                    request: ID,
                    host: 1,
                    gateway: 1,
                    first_byte,
                    expected_work: MS,
                },
            );
            run.answer(40, ID, SERVED);
        }
        if let Some(ms) = died_ms {
            run.observe(ms, down());
        }
        (rules(&run), run.violated_rules())
    };
    let caught = (vec![Rule::NoDuplicateExecution], vec![CheckerRule::NoDuplicateExecution]);
    for refuses in [false, true] {
        assert_eq!(acts(refuses, None), caught, "it closed a connection whose request it had read");
        assert_eq!(acts(refuses, Some(19)), (vec![], vec![]));
        assert_eq!(acts(refuses, Some(70)), (vec![], vec![]), "seen a little later");
        assert_eq!(acts(refuses, Some(73)), caught, "later than that");
    }
}

#[test]
fn responses_after_a_client_disconnect_are_ignored() {
    let mut run = RunBuilder::default();
    run.ask(0, read(ID))
        .observe(30, ObservationKind::ClientDisconnected { request: ID })
        .answer(40, ID, SERVED)
        .answer(50, ID, SERVED);
    assert_eq!(rules(&run), []);
}

#[test]
fn units_count_once_per_request_and_are_corrected_to_actual_units() {
    let violated_rules = |units: f64, truth: f64| {
        let (mut run, id) = (RunBuilder::default(), first(1));
        run.ask(0, RequestSpec { units, ..read(id) }).receive(2, id, 0).done(9, id, 0, HostOutcome::Rejected);
        run.receive(12, id, 1).done_for(13, id, 1, truth).answer(14, id, SERVED);
        rules(&run)
    };
    // The burst is 10, the allowance 2, and 0.044 are refilled in the 11 ms.
    assert_eq!(violated_rules(12.0, 12.0), []);
    assert_eq!(violated_rules(12.1, 12.1), [Rule::QuotaWindow]);
    assert_eq!(violated_rules(3.0, 12.04), []);
    assert_eq!(violated_rules(3.0, 12.1), [Rule::QuotaWindow]);
}

#[test]
fn drain_counts_from_gateway_notification_or_six_seconds_after_agent() {
    // 250 ms at the default site, plus 50 ms on sockets.
    let grace = 300;
    let sent = |ms: u64, notify: &dyn Fn(&mut RunBuilder)| {
        let mut run = RunBuilder::default();
        notify(&mut run);
        run.ask(ms, read(ID)).receive(ms, ID, 0).done(ms + 1, ID, 0, HostOutcome::Served).answer(
            ms + 1,
            ID,
            SERVED,
        );
        rules(&run)
    };
    let told = |run: &mut RunBuilder| {
        run.notify_gateway(0, 0, 0, Lifecycle::Draining);
    };
    assert_eq!(sent(grace, &told), []);
    assert_eq!(sent(grace + 1, &told), [Rule::DrainGrace]);
    let heard = |run: &mut RunBuilder| {
        run.notify_agent(0, 0, 0, Lifecycle::Removed);
    };
    assert_eq!(sent(6_000 + grace, &heard), []);
    assert_eq!(sent(6_001 + grace, &heard), [Rule::DrainGrace]);
    let started_late = |run: &mut RunBuilder| {
        {
            run.notify_agent(0, 0, 0, Lifecycle::Removed)
                .observe(20_000, ObservationKind::GatewayUp { gateway: 0 });
        };
    };
    assert_eq!(sent(20_000 + grace, &started_late), [], "nobody is told before it runs");
    let back = |run: &mut RunBuilder| {
        run.notify_gateway(0, 0, 0, Lifecycle::Removed).notify_gateway(5_000, 0, 0, Lifecycle::InService);
    };
    assert_eq!(sent(9_000, &back), [], "it is back");
    let other = |run: &mut RunBuilder| {
        run.notify_gateway(0, 1, 0, Lifecycle::Removed).notify_gateway(0, 0, 1, Lifecycle::Removed);
    };
    assert_eq!(sent(9_000, &other), [], "another gateway, another host");
}

#[test]
fn cached_state_must_not_exceed_its_maximum_age() {
    let aged = |age| {
        let mut history = History::new(limits(), 0);
        let (user, subject, value) = ("gateway 2".to_owned(), "building 1".to_owned(), "lost".to_owned());
        history.record_state_use(StateUse {
            user,
            subject,
            value,
            confirmed_at: SECOND,
            used_at: SECOND + age,
            max_age: 3 * SECOND,
        });
        history.check(9 * SECOND).iter().map(|finding| finding.rule).collect::<Vec<_>>()
    };
    assert_eq!(aged(3_050 * MS), []);
    assert_eq!(aged(3_051 * MS), [Rule::StaleState]);
}

#[test]
fn start_notification_may_be_six_seconds_old() {
    let sent = |ms: u64, told_ms: Option<u64>| {
        let mut run = RunBuilder::default();
        let (gateway, host, state, started) = (0, 0, Lifecycle::InService, 77);
        run.observe(0, ObservationKind::AgentNotified { gateway, host, state, started });
        told_ms.iter().for_each(|ms| {
            run.observe(*ms, ObservationKind::GatewayNotified { gateway, host, state, started });
        });
        run.ask(ms, read(ID)).receive(ms, ID, 0).done(ms + 1, ID, 0, HostOutcome::Served).answer(
            ms + 1,
            ID,
            SERVED,
        );
        rules(&run)
    };
    assert_eq!(sent(6_050, None), []);
    assert_eq!(sent(6_051, None), [Rule::StaleState]);
    assert_eq!(sent(9_000, Some(4_000)), []);
    assert_eq!(sent(9_000, Some(9_001)), [Rule::StaleState]);
}
