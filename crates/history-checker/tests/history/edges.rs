//! Where each rule begins and ends.

use crate::day::{first, order, read, Ask, Day, SERVED, START};
use crate::{rules, terms};
use cluster_model::observation::{ClientOutcome, HostOutcome, Lifecycle, ObservationKind};
use cluster_model::{MS, SECOND};
use history_checker::{History, Rule, StateUse};
use invariants::Rule as Judged;

const ID: u64 = 16;

fn down() -> ObservationKind {
    ObservationKind::GatewayDown { gateway: 0, expected: true }
}

fn signal(kill: bool) -> ObservationKind {
    ObservationKind::GatewaySignalled { gateway: 0, kill }
}

#[test]
fn what_a_gateway_took_with_it_is_the_clients_to_repeat_unless_it_was_asked_to_stop() {
    let lost = |before: &[(u64, ObservationKind)]| {
        let mut day = Day::default();
        day.ask(5_000, read(ID)).answer(5_050, ID, ClientOutcome::ConnectionClosed);
        before.iter().for_each(|(ms, what)| {
            day.see(*ms, what.clone());
        });
        rules(&day)
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
fn a_request_that_is_due_after_the_end_of_the_run_may_still_be_answered() {
    let mut history = History::new(terms(), 0);
    let mut day = Day::default();
    day.ask(0, read(ID));
    let asked = &day.sightings()[0];
    history.observe(asked);
    assert_eq!(history.check(asked.at + 1_000 * MS), []);
}

#[test]
fn a_request_that_crossed_the_end_of_its_connection_is_written_again() {
    let mut day = Day::default();
    day.ask(0, read(ID)).ask(900, read(ID)).answer(1_500, ID, SERVED);
    assert_eq!(rules(&day), []);
}

#[test]
fn an_order_whose_gateway_died_may_be_written_to_another_one() {
    let acts = |refuses: bool, died_ms: Option<u64>| {
        let mut day = Day::default();
        day.ask(0, order(ID)).receive(2, ID, 0).done(30, ID, 0, HostOutcome::Undelivered);
        day.ask(20, Ask { gateway: 1, ..order(ID) });
        if refuses {
            day.see(
                22,
                ObservationKind::RequestEnded {
                    request: ID,
                    gateway: 1,
                    outcome: ClientOutcome::Rejected(None),
                },
            );
        } else {
            let first_byte = START + 21 * MS;
            day.see(
                22,
                ObservationKind::AttemptReceived {
                    request: ID,
                    host: 1,
                    gateway: 1,
                    first_byte,
                    expected_work: MS,
                },
            );
            day.answer(40, ID, SERVED);
        }
        if let Some(ms) = died_ms {
            day.see(ms, down());
        }
        (rules(&day), day.broken())
    };
    let caught = (vec![Rule::NoDuplicateExecution], vec![Judged::NoDuplicateExecution]);
    for refuses in [false, true] {
        assert_eq!(acts(refuses, None), caught, "it closed a connection whose request it had read");
        assert_eq!(acts(refuses, Some(19)), (vec![], vec![]));
        assert_eq!(acts(refuses, Some(70)), (vec![], vec![]), "seen a little later");
        assert_eq!(acts(refuses, Some(73)), caught, "later than that");
    }
}

#[test]
fn nobody_minds_what_comes_after_a_client_has_left() {
    let mut day = Day::default();
    day.ask(0, read(ID))
        .see(30, ObservationKind::ClientDisconnected { request: ID })
        .answer(40, ID, SERVED)
        .answer(50, ID, SERVED);
    assert_eq!(rules(&day), []);
}

#[test]
fn units_count_once_a_try_and_are_put_right_when_the_truth_is_told() {
    let broken = |units: f64, truth: f64| {
        let (mut day, id) = (Day::default(), first(1));
        day.ask(0, Ask { units, ..read(id) }).receive(2, id, 0).done(9, id, 0, HostOutcome::Rejected);
        day.receive(12, id, 1).done_for(13, id, 1, truth).answer(14, id, SERVED);
        rules(&day)
    };
    // 10 at once, 2 more are stated, and 0.044 come in the 11 ms.
    assert_eq!(broken(12.0, 12.0), []);
    assert_eq!(broken(12.1, 12.1), [Rule::QuotaWindow]);
    assert_eq!(broken(3.0, 12.04), []);
    assert_eq!(broken(3.0, 12.1), [Rule::QuotaWindow]);
}

#[test]
fn a_drain_counts_from_when_the_gateway_was_told_or_six_seconds_after_its_agent_heard() {
    // 250 ms at the default site, and 50 ms on sockets.
    let grace = 300;
    let sent = |ms: u64, tell: &dyn Fn(&mut Day)| {
        let mut day = Day::default();
        tell(&mut day);
        day.ask(ms, read(ID)).receive(ms, ID, 0).done(ms + 1, ID, 0, HostOutcome::Served).answer(
            ms + 1,
            ID,
            SERVED,
        );
        rules(&day)
    };
    let told = |day: &mut Day| {
        day.tell(0, 0, 0, Lifecycle::Draining);
    };
    assert_eq!(sent(grace, &told), []);
    assert_eq!(sent(grace + 1, &told), [Rule::DrainGrace]);
    let heard = |day: &mut Day| {
        day.hear(0, 0, 0, Lifecycle::Removed);
    };
    assert_eq!(sent(6_000 + grace, &heard), []);
    assert_eq!(sent(6_001 + grace, &heard), [Rule::DrainGrace]);
    let started_late = |day: &mut Day| {
        {
            day.hear(0, 0, 0, Lifecycle::Removed).see(20_000, ObservationKind::GatewayUp { gateway: 0 });
        };
    };
    assert_eq!(sent(20_000 + grace, &started_late), [], "nobody is told before it runs");
    let back = |day: &mut Day| {
        day.tell(0, 0, 0, Lifecycle::Removed).tell(5_000, 0, 0, Lifecycle::InService);
    };
    assert_eq!(sent(9_000, &back), [], "it is back");
    let other = |day: &mut Day| {
        day.tell(0, 1, 0, Lifecycle::Removed).tell(0, 0, 1, Lifecycle::Removed);
    };
    assert_eq!(sent(9_000, &other), [], "another gateway, another host");
}

#[test]
fn a_verdict_may_be_as_old_as_stated_and_no_older() {
    let aged = |age| {
        let mut history = History::new(terms(), 0);
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
fn the_news_of_a_start_may_be_six_seconds_old() {
    let sent = |ms: u64, told_ms: Option<u64>| {
        let mut day = Day::default();
        let (gateway, host, state, started) = (0, 0, Lifecycle::InService, 77);
        day.see(0, ObservationKind::AgentNotified { gateway, host, state, started });
        told_ms.iter().for_each(|ms| {
            day.see(*ms, ObservationKind::GatewayNotified { gateway, host, state, started });
        });
        day.ask(ms, read(ID)).receive(ms, ID, 0).done(ms + 1, ID, 0, HostOutcome::Served).answer(
            ms + 1,
            ID,
            SERVED,
        );
        rules(&day)
    };
    assert_eq!(sent(6_050, None), []);
    assert_eq!(sent(6_051, None), [Rule::StaleState]);
    assert_eq!(sent(9_000, Some(4_000)), []);
    assert_eq!(sent(9_000, Some(9_001)), [Rule::StaleState]);
}
