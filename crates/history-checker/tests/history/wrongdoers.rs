//! Each wrongdoer is caught by its own rule and by no other; and what the judge says of the same day.

use crate::day::{first, order, read, Ask, Day, SERVED, START};
use crate::{rules, site, KEYED};
use cluster_model::observation::{ClientOutcome, HostOutcome, Lifecycle, ObservationKind};
use cluster_model::SECOND;
use history_checker::Rule;
use invariants::Rule as Judged;

const ID: u64 = 16;

/// What it does, as words and as sightings; the rule by which the history catches it, and those of the judge.
type Wrongdoer = (&'static str, fn() -> Day, Rule, &'static [Judged]);

fn day(tell: impl Fn(&mut Day)) -> Day {
    let mut day = Day::default();
    tell(&mut day);
    day
}

fn keyed() -> Ask {
    Ask { class: KEYED, ..order(ID) }
}

const ALL: [Wrongdoer; 14] = [
    (
        "answers twice",
        || {
            day(|d| {
                d.serve(0, read(ID)).answer(120, ID, ClientOutcome::Failed);
            })
        },
        Rule::SingleResponse,
        ONE,
    ),
    (
        "talks to itself",
        || {
            day(|d| {
                d.see(9, ObservationKind::UnexpectedResponse { gateway: 0 });
            })
        },
        Rule::SingleResponse,
        ONE,
    ),
    (
        "forgets a request",
        || {
            day(|d| {
                d.ask(0, read(ID)).serve(5, read(first(2)));
            })
        },
        Rule::SingleResponse,
        ONE,
    ),
    (
        "cuts a client off",
        || {
            day(|d| {
                d.ask(0, read(ID)).answer(20, ID, ClientOutcome::ConnectionClosed);
            })
        },
        Rule::SingleResponse,
        ONE,
    ),
    ("repeats an order whose answer was lost", repeats_an_order, Rule::NoDuplicateExecution, TWICE),
    ("repeats an order that is still out", repeats_one_that_is_out, Rule::NoDuplicateExecution, TWICE_OUT),
    ("refuses an order that ran", refuses_one_that_ran, Rule::NoDuplicateExecution, TWICE),
    ("sends an order that it refused", sends_after_refusal, Rule::NoDuplicateExecution, TWICE_LATE),
    ("repeats a keyed one too late", || repeats_keyed(600, 1), Rule::NoDuplicateExecution, TWICE),
    // The judge knows no groups: at the sites that scenarios speak of all hosts are one.
    ("repeats a keyed one elsewhere", || repeats_keyed(200, 2), Rule::NoDuplicateExecution, &[]),
    // In all 24 units in 4 s, of 28 that are stated: only the window of 1 s is too much. The judge keeps no such
    // rule: it counts what went beyond.
    ("lets too much in at once", lets_too_much_in, Rule::QuotaWindow, &[]),
    ("sends to a draining host", sends_to_draining, Rule::DrainGrace, DRAINS),
    ("never hears of drains", || sends_after_hearing(Lifecycle::Removed, 0), Rule::DrainGrace, DRAINS),
    // It may push the host over or not: the judge speaks of it only where one falls.
    ("never hears of starts", || sends_after_hearing(Lifecycle::InService, START), Rule::StaleState, &[]),
];
const ONE: &[Judged] = &[Judged::SingleResponse];
const TWICE: &[Judged] = &[Judged::NoDuplicateExecution];
const TWICE_OUT: &[Judged] = &[Judged::NoDuplicateExecution];
const TWICE_LATE: &[Judged] = &[Judged::SingleResponse, Judged::NoDuplicateExecution];
const DRAINS: &[Judged] = &[Judged::DrainGrace];

fn repeats_an_order() -> Day {
    day(|day| {
        day.ask(0, order(ID))
            .receive(2, ID, 0)
            .done(100, ID, 0, HostOutcome::Undelivered)
            .receive(102, ID, 1);
        day.done(150, ID, 1, HostOutcome::Served).answer(151, ID, SERVED);
    })
}

fn repeats_one_that_is_out() -> Day {
    day(|day| {
        day.ask(0, order(ID)).receive(2, ID, 0).receive(10, ID, 1);
        // The gateway could not know that the host would turn it away.
        day.done(20, ID, 0, HostOutcome::Rejected)
            .done(150, ID, 1, HostOutcome::Served)
            .answer(151, ID, SERVED);
    })
}

fn refuses_one_that_ran() -> Day {
    day(|day| {
        day.ask(0, order(ID)).receive(2, ID, 0).done(100, ID, 0, HostOutcome::Failed);
        day.answer(102, ID, ClientOutcome::Rejected(None));
    })
}

fn sends_after_refusal() -> Day {
    day(|day| {
        day.ask(0, order(ID)).answer(2, ID, ClientOutcome::Rejected(None)).receive(90, ID, 0).done(
            99,
            ID,
            0,
            HostOutcome::Served,
        );
    })
}

fn repeats_keyed(ms: u64, host: u32) -> Day {
    day(|day| {
        day.ask(0, keyed())
            .receive(2, ID, 0)
            .done(100, ID, 0, HostOutcome::Undelivered)
            .receive(ms, ID, host);
        day.done(ms + 50, ID, host, HostOutcome::Served).answer(ms + 51, ID, SERVED);
    })
}

fn lets_too_much_in() -> Day {
    day(|day| {
        for (n, ms) in [0, 3_000, 3_250, 3_500].into_iter().enumerate() {
            day.serve(ms, Ask { units: 6.0, ..read(first(n as u64 + 1)) });
        }
    })
}

fn sends_to_draining() -> Day {
    day(|day| {
        day.tell(0, 0, 0, Lifecycle::Draining).serve(1_000, read(ID));
    })
}

fn sends_after_hearing(state: Lifecycle, started: u64) -> Day {
    day(|day| {
        day.see(0, ObservationKind::AgentNotified { gateway: 0, host: 0, state, started });
        day.serve(6_000, read(first(2))).serve(7_000, read(ID));
    })
}

#[test]
fn each_is_caught_by_its_own_rule_and_by_no_other() {
    for (deed, day, rule, judged) in ALL {
        assert_eq!(rules(&day()), [rule], "{deed}");
        let judges: Vec<Judged> = day().broken_at(&site());
        assert_eq!(judges, judged, "{deed}, before the judge");
    }
}

#[test]
fn a_gateway_that_does_no_wrong_is_not_caught() {
    let id = first(50);
    let day = day(|day| {
        day.tell(0, 0, 3, Lifecycle::Draining).hear(0, 0, 3, Lifecycle::Draining);
        (1..=40).for_each(|n| {
            day.serve(250 * n, read(first(n)));
        });
        day.ask(50, order(id)).receive(60, id, 1).done(65, id, 1, HostOutcome::Rejected);
        day.receive(70, id, 2).done(90, id, 2, HostOutcome::Dropped).answer(
            95,
            id,
            ClientOutcome::Rejected(None),
        );
        day.see(5_000, ObservationKind::GatewayDown { gateway: 1, expected: true })
            .see(6_000, ObservationKind::GatewayUp { gateway: 1 });
        let started = START + SECOND;
        day.see(
            1_000,
            ObservationKind::AgentNotified { gateway: 0, host: 0, state: Lifecycle::InService, started },
        );
        day.see(
            1_010,
            ObservationKind::GatewayNotified { gateway: 0, host: 0, state: Lifecycle::InService, started },
        );
    });
    assert_eq!(rules(&day), []);
}
