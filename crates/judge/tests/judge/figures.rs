//! Latencies, hosts and the run second by second.

use crate::day::{first, read, Ask, Day, PREMIUM, READ, SERVED, STANDARD, START};
use fennelbeam_judge::Judge;
use fennelbeam_model::draw;
use fennelbeam_model::scenario::{Site, Traffic};
use fennelbeam_model::seen::{Dealt, Got, What};
use fennelbeam_model::{MS, SECOND};

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
    let ended = |last: Got| {
        let mut day = Day::default();
        day.refuse(0, read(draw::id(1, 0))).ask(100, read(draw::id(1, 1))).answer(120, draw::id(1, 1), last);
        let counts = day.verdict(&Site::default()).counts;
        [counts.asked, counts.served, counts.refused, counts.failed]
    };
    assert_eq!(ended(SERVED), [1, 1, 0, 0]);
    assert_eq!(ended(Got::Busy(None)), [1, 0, 1, 0]);
    assert_eq!(ended(Got::Failed), [1, 0, 0, 1]);
    assert_eq!(ended(Got::Broken), [1, 0, 0, 1]);
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
    day.ask(0, read(first(1))).answer(10, first(1), Got::Broken);
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
    assert_eq!((verdict.counts.served, verdict.counts.in_aim, verdict.worth_whole), (1, 0, 0.2));
}

#[test]
fn seconds_show_units_quotas_hosts_and_gateways() {
    let mut day = Day::default();
    let id = first(1);
    day.ask(900, Ask { units: 3.0, ..read(id) }).receive(950, id, 0).done_for(1_050, id, 0, 5.0);
    day.answer(1_051, id, SERVED);
    day.serve(1_100, Ask { customer: 8, plan: STANDARD, ..read(first(2)) });
    day.see(1_000, What::Load { host: 2, held: 1, busy: 0.25 });
    day.see(1_500, What::GatewayDown { gateway: 2, meant: true });
    day.see(2_500, What::GatewayUp { gateway: 2 });
    day.see(2_500, What::Counted { gateway: 0, amount: 1.0, added: true, answered: true });
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
    day.see(0, What::Connected { host: 1, gateway: 0 }).ask(0, read(id));
    day.receive(5, id, 1).done(6, id, 1, Dealt::TurnedAway).receive(9, id, 0).done(60, id, 0, Dealt::Served);
    day.answer(61, id, SERVED).ask(70, read(first(2))).answer(71, first(2), Got::Failed);
    let verdict = day.verdict(&Site::default());
    let hosts: Vec<[u64; 4]> = verdict
        .hosts
        .iter()
        .map(|host| [host.received, host.served, host.turned_away, host.connections])
        .collect();
    assert_eq!(hosts, [[1, 1, 0, 0], [1, 0, 1, 1]]);
    assert_eq!(verdict.attempts_per_request, 1.0);
}

#[test]
fn events_keep_their_words_and_times() {
    let mut judge = Judge::new(&Site::default(), &Traffic::default(), START);
    for (at, text) in
        [(START - SECOND, "the hosts are up"), (START + 1_500 * MS, "kill 41 % of the gateways")]
    {
        judge.see(&fennelbeam_model::seen::Seen { at, what: What::Event { text: text.into() } });
    }
    let verdict = judge.finish(START + 2 * SECOND);
    assert_eq!(
        verdict.events,
        [(-1.0, "the hosts are up".into()), (1.5, "kill 41 % of the gateways".into())]
    );
    assert_eq!(verdict.timeline.len(), 2);
}
