//! The counter: its lines of calls, its totals, and each of its ways to fail.

use cluster_model::counter::{
    Amount, CallAdmission, CallId, CallOutcome, Counter, FinishedCall, MAX_NAME_LIFETIME,
};
use cluster_model::scenario::{CounterFault, CounterSpec};
use cluster_model::{Span, Time, MS, SECOND};

const START: Time = 1000 * SECOND;
const LIFE: Span = 30 * SECOND;

fn amount(text: &str) -> Amount {
    Amount::parse(text.as_bytes()).expect("a number")
}

fn counter() -> Counter {
    Counter::new(&CounterSpec::default(), 5)
}

/// A call that finds room.
fn call(counter: &mut Counter, now: Time, gateway: u32, name: &str, added: &str) -> CallId {
    match counter.call(now, gateway, name.as_bytes(), amount(added), LIFE) {
        CallAdmission::Accepted(ticket) => ticket,
        other => panic!("not taken in: {other:?}"),
    }
}

/// Lets time pass, step by step as a driver would.
fn pass(counter: &mut Counter, until: Time) -> Vec<FinishedCall> {
    let mut settled = Vec::new();
    while let Some(due) = counter.next_event().filter(|due| *due <= until) {
        settled.extend(counter.advance(due));
    }
    settled.extend(counter.advance(until));
    settled
}

fn total(counter: &Counter, now: Time, name: &str) -> Option<Amount> {
    counter.total(now, name.as_bytes())
}

#[test]
fn a_call_is_added_in_its_turn_and_answered_a_little_later() {
    let mut counter = counter();
    let ticket = call(&mut counter, START, 0, "a", "2.5");
    assert_eq!(total(&counter, START, "a"), Some(amount("2.5")));
    assert_eq!(counter.next_event(), Some(START + MS));
    assert!(counter.advance(START + MS - 1).is_empty());
    let settled = counter.advance(START + MS);
    assert_eq!(
        settled,
        [FinishedCall { call: ticket, at: START + MS, outcome: CallOutcome::Replied(amount("2.5")) }]
    );
    assert_eq!(counter.next_event(), None);
}

#[test]
fn a_new_name_lives_from_its_first_call_and_no_longer_than_a_minute() {
    let mut counter = counter();
    call(&mut counter, START, 0, "a", "1");
    call(&mut counter, START + LIFE - 10 * MS, 0, "a", "1");
    assert_eq!(total(&counter, START + LIFE - 1, "a"), Some(amount("2")));
    assert_eq!(total(&counter, START + LIFE, "a"), None, "later calls do not extend a life");
    let again = START + LIFE;
    counter.call(again, 0, b"a", amount("5"), 10 * MAX_NAME_LIFETIME);
    assert_eq!(total(&counter, again, "a"), Some(amount("5")), "it starts anew");
    assert_eq!(total(&counter, again + MAX_NAME_LIFETIME, "a"), None);
}

#[test]
fn expired_names_are_taken_out() {
    let mut counter = counter();
    for n in 0..5000_u64 {
        counter.call(START + n * 10 * MS, 0, format!("{n}").as_bytes(), amount("1"), SECOND);
        assert!(counter.name_count(START + n * 10 * MS) <= 100);
    }
    let memory = format!("{counter:?}").matches("Entry").count();
    assert!(memory <= 200, "{memory} entries are kept for 100 names");
}

#[test]
fn at_twice_the_rate_the_line_fills_and_half_of_the_calls_are_turned_away() {
    let spec = CounterSpec { parts: 1, calls_per_s: 100.0, queue: 10, ..CounterSpec::default() };
    let mut counter = Counter::new(&spec, 5);
    let taken: Vec<bool> = (0..400)
        .map(|n| counter.call(START + n * 5 * MS, 0, b"a", amount("1"), LIFE))
        .map(|taken| matches!(taken, CallAdmission::Accepted(_)))
        .collect();
    assert!(taken[..20].iter().all(|taken| *taken), "the line has room at first");
    let late = taken[200..].iter().filter(|taken| **taken).count();
    assert_eq!(late, 100, "as many as the part serves");
    let settled = pass(&mut counter, START + 10 * SECOND);
    let most = settled.iter().enumerate().map(|(n, s)| s.at - (START + n as u64 * 10 * MS)).max();
    assert_eq!(most, Some(MS), "one every 10 ms, each answered a millisecond after its turn");
    let all = taken.iter().filter(|taken| **taken).count();
    let counted = total(&counter, START + 10 * SECOND, "a");
    assert_eq!(counted, Some(amount(&all.to_string())), "also those for which nobody waits any more");
}

#[test]
fn parts_work_side_by_side() {
    let spec = CounterSpec { parts: 4, calls_per_s: 400.0, queue: 1000, ..CounterSpec::default() };
    let mut counter = Counter::new(&spec, 5);
    (0..400).for_each(|n| {
        call(&mut counter, START, 0, &format!("name {n}"), "1");
    });
    let settled = pass(&mut counter, START + SECOND / 2);
    assert!((190..=204).contains(&settled.len()), "{} in half a second", settled.len());
}

#[test]
fn a_lost_counter_refuses_calls_and_keeps_its_counts() {
    let mut counter = counter();
    call(&mut counter, START, 0, "a", "1");
    pass(&mut counter, START + SECOND);
    let (lost, back) = (START + SECOND, START + 3 * SECOND);
    counter.inject_fault(lost, CounterFault::Lost, back);
    assert!(counter.is_unreachable());
    assert_eq!(counter.connection_resets(), 1);
    assert_eq!(counter.call(back - 1, 0, b"a", amount("1"), LIFE), CallAdmission::Unreachable);
    assert_eq!(counter.next_event(), Some(back));
    call(&mut counter, back, 0, "a", "1");
    assert!(!counter.is_unreachable());
    assert_eq!(total(&counter, back, "a"), Some(amount("2")));
}

#[test]
fn a_flapping_counter_is_lost_and_back_by_turns() {
    let mut counter = counter();
    counter.inject_fault(START, CounterFault::Flapping(SECOND), START + 5 * SECOND);
    let lost: Vec<bool> = (0..7)
        .map(|n| {
            counter.advance(START + n * SECOND);
            counter.is_unreachable()
        })
        .collect();
    assert_eq!(lost, [true, false, true, false, true, false, false]);
    assert_eq!(counter.connection_resets(), 3);
    assert_eq!(counter.next_event(), None);
}

#[test]
fn a_silent_counter_adds_nothing_and_says_nothing() {
    let mut counter = Counter::new(&CounterSpec { parts: 1, ..CounterSpec::default() }, 5);
    let first = call(&mut counter, START, 0, "a", "1");
    let waits = call(&mut counter, START, 0, "a", "1");
    counter.inject_fault(START, CounterFault::Silent, START + SECOND);
    let within = call(&mut counter, START, 0, "a", "1");
    let ends: Vec<_> = pass(&mut counter, START + 2 * SECOND).iter().map(|s| (s.call, s.outcome)).collect();
    assert_eq!(
        ends,
        [(within, CallOutcome::Dropped), (first, CallOutcome::NoReply), (waits, CallOutcome::Dropped)]
    );
    assert_eq!(total(&counter, START + 2 * SECOND, "a"), Some(amount("1")));
}

#[test]
fn a_mute_counter_adds_and_says_nothing() {
    let mut counter = counter();
    counter.inject_fault(START, CounterFault::Mute, START + SECOND);
    let ticket = call(&mut counter, START, 0, "a", "1");
    let settled = pass(&mut counter, START + 2 * SECOND);
    assert_eq!(settled, [FinishedCall { call: ticket, at: START, outcome: CallOutcome::NoReply }]);
    assert_eq!(total(&counter, START + 2 * SECOND, "a"), Some(amount("1")));
}

#[test]
fn a_slow_counter_adds_at_once_and_answers_in_the_order_of_the_calls() {
    let mut counter = counter();
    counter.inject_fault(START, CounterFault::Slow(80 * MS, 500 * MS), START + 60 * SECOND);
    let calls: Vec<(Time, CallId)> = (0..200)
        .map(|n| START + n * 10 * MS)
        .map(|at| (at, call(&mut counter, at, (at % 3) as u32, "a", "1")))
        .collect();
    let last = calls[199].0;
    assert_eq!(total(&counter, last, "a"), Some(amount("200")));
    let settled = pass(&mut counter, START + 10 * SECOND);
    let order: Vec<CallId> = settled.iter().map(|s| s.call).collect();
    assert_eq!(order, calls.iter().map(|(_, ticket)| *ticket).collect::<Vec<_>>());
    let told: Vec<CallOutcome> = (1..=200).map(|n| CallOutcome::Replied(amount(&n.to_string()))).collect();
    assert_eq!(settled.iter().map(|s| s.outcome).collect::<Vec<_>>(), told);
    let took: Vec<Span> = settled.iter().zip(&calls).map(|(s, (at, _))| s.at - at).collect();
    assert!(took.iter().all(|took| (80 * MS..=500 * MS).contains(took)), "{took:?}");
    assert!(took.iter().min() < took.iter().max());
}

#[test]
fn a_slow_answer_holds_up_no_other_names() {
    let mut counter = counter();
    counter.inject_fault(START, CounterFault::Slow(80 * MS, 500 * MS), START + 60 * SECOND);
    let calls = 0..100_u64;
    calls.for_each(|n| {
        call(&mut counter, START + n * 10 * MS, 0, &format!("{n}"), "1");
    });
    let settled = pass(&mut counter, START + 10 * SECOND);
    assert!(settled.windows(2).any(|pair| pair[0].call > pair[1].call), "draws differ");
}

#[test]
fn a_full_counter_refuses_and_serves_what_waits() {
    let mut counter = counter();
    let ticket = call(&mut counter, START, 0, "a", "1");
    counter.inject_fault(START, CounterFault::Full, START + SECOND);
    assert_eq!(counter.call(START, 0, b"a", amount("1"), LIFE), CallAdmission::Rejected);
    let settled = pass(&mut counter, START + SECOND - 1);
    assert_eq!((settled.len(), settled[0].call), (1, ticket));
    call(&mut counter, START + SECOND, 0, "a", "1");
    assert_eq!(total(&counter, START + SECOND, "a"), Some(amount("2")));
}

#[test]
fn a_fresh_counter_has_forgotten_everything() {
    let mut counter = Counter::new(&CounterSpec { parts: 1, ..CounterSpec::default() }, 5);
    let added = call(&mut counter, START, 0, "a", "1");
    let waits = call(&mut counter, START, 0, "a", "1");
    let now = START + MS / 2;
    counter.inject_fault(now, CounterFault::Fresh, START + SECOND);
    assert!(!counter.is_unreachable());
    assert_eq!((counter.connection_resets(), counter.name_count(now)), (1, 0));
    let ends: Vec<_> = pass(&mut counter, now).iter().map(|s| (s.call, s.outcome)).collect();
    assert_eq!(
        ends,
        [(added, CallOutcome::NoReply), (waits, CallOutcome::Dropped)],
        "they went with the old one"
    );
    call(&mut counter, now, 0, "a", "3");
    assert_eq!(total(&counter, now, "a"), Some(amount("3")));
    assert_eq!(pass(&mut counter, START + 2 * SECOND).len(), 1);
}

/// The total that a gateway is told when it adds this.
fn told(counter: &mut Counter, now: Time, gateway: u32, name: &str, added: &str) -> Amount {
    let ticket = call(counter, now, gateway, name, added);
    let settled = pass(counter, now + 10 * MS);
    match settled.iter().find(|s| s.call == ticket).map(|s| s.outcome) {
        Some(CallOutcome::Replied(total)) => total,
        other => panic!("no total: {other:?}"),
    }
}

#[test]
fn sides_of_a_split_count_apart_and_are_summed_when_it_is_over() {
    let mut counter = counter();
    call(&mut counter, START, 0, "old", "10");
    call(&mut counter, START, 0, "untouched", "7");
    let (split, healed) = (START + SECOND, START + 5 * SECOND);
    counter.inject_fault(split, CounterFault::Split(vec![vec![1], vec![2, 3]]), healed);
    let later = split + SECOND;
    assert_eq!(told(&mut counter, later, 0, "old", "1"), amount("11"));
    assert_eq!(told(&mut counter, later, 1, "old", "2"), amount("12"));
    assert_eq!(told(&mut counter, later + MS, 2, "old", "3"), amount("15"), "with its group");
    assert_eq!(told(&mut counter, later, 3, "old", "4"), amount("14"), "in no group: its own store");
    assert_eq!(told(&mut counter, later, 4, "old", "5"), amount("15"), "and each its own");
    assert_eq!(told(&mut counter, later, 0, "new", "1"), amount("1"));
    assert_eq!(told(&mut counter, later, 1, "new", "2"), amount("2"));
    let before = counter.totals(healed - 1);
    counter.advance(healed);
    assert_eq!(counter.totals(healed), before, "what a test reads in a split is what comes of it");
    assert_eq!(total(&counter, healed, "old"), Some(amount("25")));
    assert_eq!(total(&counter, healed, "new"), Some(amount("3")));
    assert_eq!(total(&counter, healed, "untouched"), Some(amount("7")));
    assert_eq!(told(&mut counter, healed, 1, "old", "0"), amount("25"));
}

#[test]
fn a_name_that_expires_in_a_split_counts_only_what_came_after() {
    let mut counter = counter();
    call(&mut counter, START, 0, "a", "10");
    let (split, healed) = (START + LIFE - SECOND, START + LIFE + 5 * SECOND);
    counter.inject_fault(split, CounterFault::Split(vec![vec![1], vec![2]]), healed);
    call(&mut counter, split, 0, "a", "1");
    call(&mut counter, START + LIFE, 0, "a", "2");
    call(&mut counter, START + LIFE + SECOND, 1, "a", "3");
    counter.advance(healed);
    assert_eq!(total(&counter, healed, "a"), Some(amount("5")));
}

#[test]
fn a_second_split_ends_the_first_and_healing_ends_all() {
    let mut counter = counter();
    let until = START + 60 * SECOND;
    counter.inject_fault(START, CounterFault::Split(vec![vec![1], vec![2]]), START + 10 * SECOND);
    call(&mut counter, START, 0, "a", "1");
    call(&mut counter, START, 1, "a", "2");
    counter.inject_fault(START + SECOND, CounterFault::Split(vec![vec![1, 2]]), until);
    assert_eq!(told(&mut counter, START + 11 * SECOND, 1, "a", "0"), amount("3"), "the first is over");
    assert_eq!(told(&mut counter, START + 12 * SECOND, 5, "a", "1"), amount("4"));
    counter.inject_fault(START + 13 * SECOND, CounterFault::Lost, until);
    counter.inject_fault(START + 13 * SECOND, CounterFault::Full, until);
    counter.clear_faults(START + 14 * SECOND);
    assert!(!counter.is_unreachable());
    assert_eq!(told(&mut counter, START + 14 * SECOND, 0, "a", "0"), amount("4"));
    assert_eq!(counter.next_event(), None);
}

#[test]
fn what_happens_at_an_instant_goes_before_the_calls_of_that_instant() {
    let mut counter = Counter::new(&CounterSpec { parts: 1, ..CounterSpec::default() }, 5);
    call(&mut counter, START, 0, "a", "1");
    let waits = call(&mut counter, START, 0, "a", "1");
    let turn = START + libm::round(1e9 / 870.0) as Time;
    counter.inject_fault(turn, CounterFault::Silent, turn + SECOND);
    let settled = pass(&mut counter, turn);
    assert!(
        settled.contains(&FinishedCall { call: waits, at: turn, outcome: CallOutcome::Dropped }),
        "{settled:?}"
    );
}

#[test]
fn the_same_seed_gives_the_same_answers() {
    let run = |seed| {
        let mut counter = Counter::new(&CounterSpec::default(), seed);
        counter.inject_fault(START, CounterFault::Slow(80 * MS, 500 * MS), START + SECOND);
        (0..50).for_each(|n| {
            call(&mut counter, START + n * MS * 10, 0, &format!("{n}"), "1");
        });
        pass(&mut counter, START + 2 * SECOND)
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}
