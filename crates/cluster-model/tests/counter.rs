//! The counter: call queues, totals and faults.

use cluster_model::counter::{
    Amount, CallAdmission, CallId, CallOutcome, Counter, FinishedCall, MAX_NAME_LIFETIME,
};
use cluster_model::scenario::{CounterFault, CounterSpec};
use cluster_model::{Span, Time, MS, SECOND};

const START: Time = 1000 * SECOND;
const LIFETIME: Span = 30 * SECOND;

fn amount(text: &str) -> Amount {
    Amount::parse(text.as_bytes()).expect("a number")
}

fn counter() -> Counter {
    Counter::new(&CounterSpec::default(), 5)
}

/// Makes a call that is accepted.
fn call(counter: &mut Counter, now: Time, gateway: u32, name: &str, added: &str) -> CallId {
    match counter.call(now, gateway, name.as_bytes(), amount(added), LIFETIME) {
        CallAdmission::Accepted(id) => id,
        other => panic!("not accepted: {other:?}"),
    }
}

/// Advances the counter from event to event up to `until`.
fn run_until(counter: &mut Counter, until: Time) -> Vec<FinishedCall> {
    let mut finished = Vec::new();
    while let Some(at) = counter.next_event().filter(|at| *at <= until) {
        finished.extend(counter.advance(at));
    }
    finished.extend(counter.advance(until));
    finished
}

fn total(counter: &Counter, now: Time, name: &str) -> Option<Amount> {
    counter.total(now, name.as_bytes())
}

#[test]
fn a_call_is_added_when_it_starts_and_answered_after_a_delay() {
    let mut counter = counter();
    let id = call(&mut counter, START, 0, "a", "2.5");
    assert_eq!(total(&counter, START, "a"), Some(amount("2.5")));
    assert_eq!(counter.next_event(), Some(START + MS));
    assert!(counter.advance(START + MS - 1).is_empty());
    let finished = counter.advance(START + MS);
    assert_eq!(
        finished,
        [FinishedCall { call: id, at: START + MS, outcome: CallOutcome::Replied(amount("2.5")) }]
    );
    assert_eq!(counter.next_event(), None);
}

#[test]
fn a_name_expires_after_its_first_call_and_within_a_minute() {
    let mut counter = counter();
    call(&mut counter, START, 0, "a", "1");
    call(&mut counter, START + LIFETIME - 10 * MS, 0, "a", "1");
    assert_eq!(total(&counter, START + LIFETIME - 1, "a"), Some(amount("2")));
    assert_eq!(total(&counter, START + LIFETIME, "a"), None, "later calls do not extend the lifetime");
    let again = START + LIFETIME;
    counter.call(again, 0, b"a", amount("5"), 10 * MAX_NAME_LIFETIME);
    assert_eq!(total(&counter, again, "a"), Some(amount("5")), "the total restarts");
    assert_eq!(total(&counter, again + MAX_NAME_LIFETIME, "a"), None);
}

#[test]
fn expired_names_are_removed() {
    let mut counter = counter();
    for n in 0..5000_u64 {
        counter.call(START + n * 10 * MS, 0, format!("{n}").as_bytes(), amount("1"), SECOND);
        assert!(counter.name_count(START + n * 10 * MS) <= 100);
    }
    let memory = format!("{counter:?}").matches("Entry").count();
    assert!(memory <= 200, "{memory} entries are kept for 100 names");
}

#[test]
fn at_twice_the_capacity_the_queue_fills_and_half_of_the_calls_are_rejected() {
    let spec = CounterSpec { shards: 1, calls_per_s: 100.0, queue: 10, ..CounterSpec::default() };
    let mut counter = Counter::new(&spec, 5);
    let admitted: Vec<bool> = (0..400)
        .map(|n| counter.call(START + n * 5 * MS, 0, b"a", amount("1"), LIFETIME))
        .map(|admission| matches!(admission, CallAdmission::Accepted(_)))
        .collect();
    assert!(admitted[..20].iter().all(|is_admitted| *is_admitted), "the queue is not full at first");
    let late = admitted[200..].iter().filter(|is_admitted| **is_admitted).count();
    assert_eq!(late, 100, "as many as the shard processes");
    let finished = run_until(&mut counter, START + 10 * SECOND);
    let max_delay = finished.iter().enumerate().map(|(n, s)| s.at - (START + n as u64 * 10 * MS)).max();
    assert_eq!(max_delay, Some(MS), "one call every 10 ms, each answered a millisecond after its start");
    let all = admitted.iter().filter(|is_admitted| **is_admitted).count();
    let counted = total(&counter, START + 10 * SECOND, "a");
    assert_eq!(
        counted,
        Some(amount(&all.to_string())),
        "accepted calls are added even if nobody waits for the reply"
    );
}

#[test]
fn shards_process_calls_in_parallel() {
    let spec = CounterSpec { shards: 4, calls_per_s: 400.0, queue: 1000, ..CounterSpec::default() };
    let mut counter = Counter::new(&spec, 5);
    (0..400).for_each(|n| {
        call(&mut counter, START, 0, &format!("name {n}"), "1");
    });
    let finished = run_until(&mut counter, START + SECOND / 2);
    assert!((190..=204).contains(&finished.len()), "{} in half a second", finished.len());
}

#[test]
fn an_unreachable_counter_refuses_calls_and_keeps_its_totals() {
    let mut counter = counter();
    call(&mut counter, START, 0, "a", "1");
    run_until(&mut counter, START + SECOND);
    let (lost, back) = (START + SECOND, START + 3 * SECOND);
    counter.inject_fault(lost, CounterFault::Unreachable, back);
    assert!(counter.is_unreachable());
    assert_eq!(counter.connection_resets(), 1);
    assert_eq!(counter.call(back - 1, 0, b"a", amount("1"), LIFETIME), CallAdmission::Unreachable);
    assert_eq!(counter.next_event(), Some(back));
    call(&mut counter, back, 0, "a", "1");
    assert!(!counter.is_unreachable());
    assert_eq!(total(&counter, back, "a"), Some(amount("2")));
}

#[test]
fn a_flapping_counter_alternates_between_unreachable_and_reachable() {
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
fn a_silent_counter_adds_nothing_and_sends_no_replies() {
    let mut counter = Counter::new(&CounterSpec { shards: 1, ..CounterSpec::default() }, 5);
    let first = call(&mut counter, START, 0, "a", "1");
    let queued = call(&mut counter, START, 0, "a", "1");
    counter.inject_fault(START, CounterFault::DropCalls, START + SECOND);
    let within = call(&mut counter, START, 0, "a", "1");
    let outcomes: Vec<_> =
        run_until(&mut counter, START + 2 * SECOND).iter().map(|s| (s.call, s.outcome)).collect();
    assert_eq!(
        outcomes,
        [(within, CallOutcome::Dropped), (first, CallOutcome::NoReply), (queued, CallOutcome::Dropped)]
    );
    assert_eq!(total(&counter, START + 2 * SECOND, "a"), Some(amount("1")));
}

#[test]
fn a_mute_counter_adds_and_sends_no_replies() {
    let mut counter = counter();
    counter.inject_fault(START, CounterFault::DropReplies, START + SECOND);
    let id = call(&mut counter, START, 0, "a", "1");
    let finished = run_until(&mut counter, START + 2 * SECOND);
    assert_eq!(finished, [FinishedCall { call: id, at: START, outcome: CallOutcome::NoReply }]);
    assert_eq!(total(&counter, START + 2 * SECOND, "a"), Some(amount("1")));
}

#[test]
fn a_slow_counter_adds_at_once_and_replies_in_call_order() {
    let mut counter = counter();
    counter.inject_fault(START, CounterFault::DelayReplies(80 * MS, 500 * MS), START + 60 * SECOND);
    let calls: Vec<(Time, CallId)> = (0..200)
        .map(|n| START + n * 10 * MS)
        .map(|at| (at, call(&mut counter, at, (at % 3) as u32, "a", "1")))
        .collect();
    let last = calls[199].0;
    assert_eq!(total(&counter, last, "a"), Some(amount("200")));
    let finished = run_until(&mut counter, START + 10 * SECOND);
    let order: Vec<CallId> = finished.iter().map(|s| s.call).collect();
    assert_eq!(order, calls.iter().map(|(_, id)| *id).collect::<Vec<_>>());
    let expected: Vec<CallOutcome> =
        (1..=200).map(|n| CallOutcome::Replied(amount(&n.to_string()))).collect();
    assert_eq!(finished.iter().map(|s| s.outcome).collect::<Vec<_>>(), expected);
    let delays: Vec<Span> = finished.iter().zip(&calls).map(|(s, (at, _))| s.at - at).collect();
    assert!(delays.iter().all(|delay| (80 * MS..=500 * MS).contains(delay)), "{delays:?}");
    assert!(delays.iter().min() < delays.iter().max());
}

#[test]
fn a_slow_reply_does_not_delay_other_names() {
    let mut counter = counter();
    counter.inject_fault(START, CounterFault::DelayReplies(80 * MS, 500 * MS), START + 60 * SECOND);
    let calls = 0..100_u64;
    calls.for_each(|n| {
        call(&mut counter, START + n * 10 * MS, 0, &format!("{n}"), "1");
    });
    let finished = run_until(&mut counter, START + 10 * SECOND);
    assert!(finished.windows(2).any(|pair| pair[0].call > pair[1].call), "delays differ");
}

#[test]
fn a_full_counter_rejects_new_calls_and_processes_queued_ones() {
    let mut counter = counter();
    let id = call(&mut counter, START, 0, "a", "1");
    counter.inject_fault(START, CounterFault::Overloaded, START + SECOND);
    assert_eq!(counter.call(START, 0, b"a", amount("1"), LIFETIME), CallAdmission::Rejected);
    let finished = run_until(&mut counter, START + SECOND - 1);
    assert_eq!((finished.len(), finished[0].call), (1, id));
    call(&mut counter, START + SECOND, 0, "a", "1");
    assert_eq!(total(&counter, START + SECOND, "a"), Some(amount("2")));
}

#[test]
fn a_fresh_counter_has_lost_all_names_and_calls() {
    let mut counter = Counter::new(&CounterSpec { shards: 1, ..CounterSpec::default() }, 5);
    let added = call(&mut counter, START, 0, "a", "1");
    let queued = call(&mut counter, START, 0, "a", "1");
    let now = START + MS / 2;
    counter.inject_fault(now, CounterFault::Reset, START + SECOND);
    assert!(!counter.is_unreachable());
    assert_eq!((counter.connection_resets(), counter.name_count(now)), (1, 0));
    let outcomes: Vec<_> = run_until(&mut counter, now).iter().map(|s| (s.call, s.outcome)).collect();
    assert_eq!(
        outcomes,
        [(added, CallOutcome::NoReply), (queued, CallOutcome::Dropped)],
        "lost with the old process"
    );
    call(&mut counter, now, 0, "a", "3");
    assert_eq!(total(&counter, now, "a"), Some(amount("3")));
    assert_eq!(run_until(&mut counter, START + 2 * SECOND).len(), 1);
}

/// Makes a call and returns the total in its reply.
fn reply_total(counter: &mut Counter, now: Time, gateway: u32, name: &str, added: &str) -> Amount {
    let id = call(counter, now, gateway, name, added);
    let finished = run_until(counter, now + 10 * MS);
    match finished.iter().find(|s| s.call == id).map(|s| s.outcome) {
        Some(CallOutcome::Replied(total)) => total,
        other => panic!("no total in the reply: {other:?}"),
    }
}

#[test]
fn partitioned_replicas_count_separately_and_are_merged_at_the_end() {
    let mut counter = counter();
    call(&mut counter, START, 0, "old", "10");
    call(&mut counter, START, 0, "untouched", "7");
    let (partitioned, healed) = (START + SECOND, START + 5 * SECOND);
    counter.inject_fault(partitioned, CounterFault::SplitBrain(vec![vec![1], vec![2, 3]]), healed);
    let later = partitioned + SECOND;
    assert_eq!(reply_total(&mut counter, later, 0, "old", "1"), amount("11"));
    assert_eq!(reply_total(&mut counter, later, 1, "old", "2"), amount("12"));
    assert_eq!(
        reply_total(&mut counter, later + MS, 2, "old", "3"),
        amount("15"),
        "shares the replica of its group"
    );
    assert_eq!(reply_total(&mut counter, later, 3, "old", "4"), amount("14"), "in no group: its own replica");
    assert_eq!(
        reply_total(&mut counter, later, 4, "old", "5"),
        amount("15"),
        "each isolated gateway has its own replica"
    );
    assert_eq!(reply_total(&mut counter, later, 0, "new", "1"), amount("1"));
    assert_eq!(reply_total(&mut counter, later, 1, "new", "2"), amount("2"));
    let before = counter.totals(healed - 1);
    counter.advance(healed);
    assert_eq!(counter.totals(healed), before, "totals during the partition equal the merged totals");
    assert_eq!(total(&counter, healed, "old"), Some(amount("25")));
    assert_eq!(total(&counter, healed, "new"), Some(amount("3")));
    assert_eq!(total(&counter, healed, "untouched"), Some(amount("7")));
    assert_eq!(reply_total(&mut counter, healed, 1, "old", "0"), amount("25"));
}

#[test]
fn a_name_that_expires_during_a_partition_counts_only_later_calls() {
    let mut counter = counter();
    call(&mut counter, START, 0, "a", "10");
    let (partitioned, healed) = (START + LIFETIME - SECOND, START + LIFETIME + 5 * SECOND);
    counter.inject_fault(partitioned, CounterFault::SplitBrain(vec![vec![1], vec![2]]), healed);
    call(&mut counter, partitioned, 0, "a", "1");
    call(&mut counter, START + LIFETIME, 0, "a", "2");
    call(&mut counter, START + LIFETIME + SECOND, 1, "a", "3");
    counter.advance(healed);
    assert_eq!(total(&counter, healed, "a"), Some(amount("5")));
}

#[test]
fn a_second_partition_ends_the_first_and_clearing_ends_all_faults() {
    let mut counter = counter();
    let until = START + 60 * SECOND;
    counter.inject_fault(START, CounterFault::SplitBrain(vec![vec![1], vec![2]]), START + 10 * SECOND);
    call(&mut counter, START, 0, "a", "1");
    call(&mut counter, START, 1, "a", "2");
    counter.inject_fault(START + SECOND, CounterFault::SplitBrain(vec![vec![1, 2]]), until);
    assert_eq!(
        reply_total(&mut counter, START + 11 * SECOND, 1, "a", "0"),
        amount("3"),
        "the first partition has ended"
    );
    assert_eq!(reply_total(&mut counter, START + 12 * SECOND, 5, "a", "1"), amount("4"));
    counter.inject_fault(START + 13 * SECOND, CounterFault::Unreachable, until);
    counter.inject_fault(START + 13 * SECOND, CounterFault::Overloaded, until);
    counter.clear_faults(START + 14 * SECOND);
    assert!(!counter.is_unreachable());
    assert_eq!(reply_total(&mut counter, START + 14 * SECOND, 0, "a", "0"), amount("4"));
    assert_eq!(counter.next_event(), None);
}

#[test]
fn faults_take_precedence_over_calls_at_the_same_time() {
    let mut counter = Counter::new(&CounterSpec { shards: 1, ..CounterSpec::default() }, 5);
    call(&mut counter, START, 0, "a", "1");
    let queued = call(&mut counter, START, 0, "a", "1");
    let second_start = START + libm::round(1e9 / 870.0) as Time;
    counter.inject_fault(second_start, CounterFault::DropCalls, second_start + SECOND);
    let finished = run_until(&mut counter, second_start);
    assert!(
        finished.contains(&FinishedCall { call: queued, at: second_start, outcome: CallOutcome::Dropped }),
        "{finished:?}"
    );
}

#[test]
fn the_same_seed_gives_the_same_replies() {
    let run = |seed| {
        let mut counter = Counter::new(&CounterSpec::default(), seed);
        counter.inject_fault(START, CounterFault::DelayReplies(80 * MS, 500 * MS), START + SECOND);
        (0..50).for_each(|n| {
            call(&mut counter, START + n * MS * 10, 0, &format!("{n}"), "1");
        });
        run_until(&mut counter, START + 2 * SECOND)
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}
