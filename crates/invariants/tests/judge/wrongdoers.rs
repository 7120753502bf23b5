//! Gateways that do wrong: each is caught by its own rule and by no other, and does no wrong without its deed.

use crate::day::{first, order, read, Ask, Day, PREMIUM, SERVED, START};
use cluster_model::observation::{ClientOutcome, HostOutcome, Lifecycle, ObservationKind};
use cluster_model::scenario::Site;
use cluster_model::{MS, SECOND};
use invariants::Rule;

const ID: u64 = 16;

/// What it does, as words and as sightings, and the rule that it breaks.
type Wrongdoer = (&'static str, fn() -> Day, Rule);

/// An order that host 0 has, for 100 ms.
fn sent_order() -> Day {
    let mut day = Day::default();
    day.ask(0, order(ID)).receive(2, ID, 0);
    day
}

fn answers_twice() -> Day {
    let mut day = Day::default();
    day.serve(0, read(ID)).answer(120, ID, SERVED);
    day
}

fn talks_to_itself() -> Day {
    let mut day = Day::default();
    day.serve(0, read(ID)).see(120, ObservationKind::UnexpectedResponse { gateway: 0 });
    day
}

fn repeats_an_order() -> Day {
    let mut day = sent_order();
    day.done(100, ID, 0, HostOutcome::Undelivered).receive(102, ID, 1).done(150, ID, 1, HostOutcome::Served);
    day.answer(151, ID, SERVED);
    day
}

fn refuses_an_order_that_ran() -> Day {
    let mut day = sent_order();
    day.done(100, ID, 0, HostOutcome::Failed).answer(102, ID, ClientOutcome::Rejected(None));
    day
}

fn sends_to_a_draining_host() -> Day {
    let mut day = Day::default();
    day.tell(0, 0, 0, Lifecycle::Draining).serve(1_000, read(ID));
    day
}

fn never_hears_of_drains() -> Day {
    let mut day = Day::default();
    day.hear(0, 0, 0, Lifecycle::Draining).serve(6_000, read(first(2))).serve(7_000, read(ID));
    day
}

fn never_hears_of_starts() -> Day {
    let mut day = Day::default();
    day.see(
        0,
        ObservationKind::HostStarted {
            host: 0,
            full_capacity: 1e9,
            initial_share: 0.25,
            warm_up: 10 * SECOND,
        },
    );
    day.see(
        100,
        ObservationKind::AgentNotified { gateway: 0, host: 0, state: Lifecycle::InService, started: START },
    );
    (1..=80).for_each(|n| {
        day.serve(7_000, Ask { customer: n, ..read(first(n)) });
    });
    day.see(7_050, ObservationKind::HostOverloadCrash { host: 0 });
    day
}

fn floods_a_cold_host() -> Day {
    let mut day = Day::default();
    day.see(
        0,
        ObservationKind::HostStarted {
            host: 0,
            full_capacity: 1e9,
            initial_share: 0.25,
            warm_up: 10 * SECOND,
        },
    );
    day.see(
        100,
        ObservationKind::GatewayNotified { gateway: 0, host: 0, state: Lifecycle::InService, started: START },
    );
    (1..=40).for_each(|n| {
        day.serve(1_000, read(first(n)));
    });
    day.see(1_050, ObservationKind::HostOverloadCrash { host: 0 });
    day
}

fn forgets_a_request() -> Day {
    let mut day = Day::default();
    day.serve(0, read(first(2))).ask(10, read(ID));
    day
}

fn cuts_a_client_off() -> Day {
    let mut day = Day::default();
    day.ask(10, read(ID)).answer(20, ID, ClientOutcome::ConnectionClosed);
    day
}

fn exceeds_the_ceiling() -> Day {
    let mut day = Day::default();
    (1..=9).for_each(|n| {
        day.serve(0, Ask { units: 6.0, ..read(first(n)) });
    });
    day
}

fn serves_a_value_that_no_host_made() -> Day {
    let mut day = Day::default();
    day.ask(0, read(ID)).answer(20, ID, ClientOutcome::Served(false));
    day
}

fn crashes() -> Day {
    let mut day = Day::default();
    day.ask(0, read(ID)).see(20, ObservationKind::GatewayDown { gateway: 0, expected: false });
    day.answer(21, ID, ClientOutcome::ConnectionClosed);
    day
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
fn each_is_caught_by_its_own_rule_and_by_no_other() {
    let wrongdoers: [Wrongdoer; 13] = [
        ("answers twice", answers_twice, Rule::SingleResponse),
        ("talks to itself", talks_to_itself, Rule::SingleResponse),
        ("repeats an order", repeats_an_order, Rule::NoDuplicateExecution),
        ("refuses an order that ran", refuses_an_order_that_ran, Rule::NoDuplicateExecution),
        ("sends to a draining host", sends_to_a_draining_host, Rule::DrainGrace),
        ("never hears of drains", never_hears_of_drains, Rule::DrainGrace),
        ("floods a cold host", floods_a_cold_host, Rule::SlowStart),
        ("never hears of starts", never_hears_of_starts, Rule::SlowStart),
        ("forgets a request", forgets_a_request, Rule::SingleResponse),
        ("cuts a client off", cuts_a_client_off, Rule::SingleResponse),
        ("exceeds the ceiling", exceeds_the_ceiling, Rule::Ceilings),
        ("serves a value that no host made", serves_a_value_that_no_host_made, Rule::SingleResponse),
        ("crashes", crashes, Rule::NoCrash),
    ];
    for (deed, day, rule) in wrongdoers {
        let verdict = day().verdict(&site());
        let rules: Vec<Rule> = verdict.violations.iter().map(|breach| breach.rule).collect();
        assert_eq!(rules, [rule], "{deed}: {:?}", verdict.violations);
        assert_eq!(verdict.notes, Vec::<String>::new(), "{deed}");
    }
}

#[test]
fn a_gateway_that_does_no_wrong_is_not_caught() {
    let mut day = Day::default();
    day.see(
        0,
        ObservationKind::HostStarted {
            host: 0,
            full_capacity: 2e9,
            initial_share: 1.0,
            warm_up: 10 * SECOND,
        },
    );
    day.tell(0, 0, 3, Lifecycle::Draining);
    (1..=40).for_each(|n| {
        day.serve(100 * n, Ask { customer: n % 4, ..read(first(n)) });
    });
    let id = first(50);
    day.ask(50, order(id)).receive(60, id, 1).done(65, id, 1, HostOutcome::Rejected);
    day.receive(70, id, 2).done(90, id, 2, HostOutcome::Dropped).answer(
        95,
        id,
        ClientOutcome::Rejected(Some(50 * MS)),
    );
    day.see(5_000, ObservationKind::GatewayDown { gateway: 1, expected: true })
        .see(6_000, ObservationKind::GatewayUp { gateway: 1 });
    let verdict = day.verdict(&site());
    assert_eq!((verdict.violations, verdict.notes), (vec![], vec![]));
    assert_eq!((verdict.counts.asked, verdict.counts.served, verdict.counts.refused), (41, 40, 1));
}

#[test]
fn a_breach_names_whom_it_is_about() {
    let mut day = Day::default();
    let mut texts = Vec::new();
    for wrong in [repeats_an_order(), sends_to_a_draining_host(), exceeds_the_ceiling()] {
        texts.extend(wrong.verdict(&site()).violations.into_iter().map(|breach| breach.text));
    }
    let named = ["request 0000000000000010", "host 1", "customer 0000000000000007"];
    assert_eq!(texts.len(), named.len());
    named.iter().zip(&texts).for_each(|(name, text)| assert!(text.contains(name), "{text}"));
    assert_eq!(
        day.see(0, ObservationKind::UnexpectedResponse { gateway: 2 }).verdict(&site()).violations[0].at_s,
        0.0
    );
}
