use super::*;
use crate::membership::HEARTBEAT_EPOCH;

const S: Time = 1_000_000_000;
const START: Time = 40 * HEARTBEAT_EPOCH;

/// Returns the health of a counter that was unreachable and answers again from `START` on.
fn recovered_health() -> CounterHealth {
    let mut health = CounterHealth::new(0, 3);
    (0..3).for_each(|n| health.record_failure(START - 2 * S + n * 100 * MILLISECOND));
    health.record_answer(START);
    health
}

#[test]
fn three_consecutive_failures_make_the_counter_unreachable_and_one_answer_ends_that() {
    let mut health = CounterHealth::new(0, 3);
    (0..2).for_each(|_| health.record_failure(START));
    health.record_answer(START);
    (0..2).for_each(|_| health.record_failure(START));
    assert!(!health.is_backing_off(START));
    health.record_failure(START);
    assert!(health.is_backing_off(START) && !health.is_backing_off(START + RETRY_INTERVAL));
    assert_eq!(health.report(START).state, CounterState::Unreachable);
    health.record_answer(START + S);
    assert!(!health.is_backing_off(START + S) && health.is_just_recovered(START + S));
    assert!(!health.is_just_recovered(START + S + PEERS_NOTICE_RECOVERY_WITHIN));
}

#[test]
fn fewer_than_three_failures_start_no_recovery() {
    let mut health = CounterHealth::new(0, 3);
    (0..2).for_each(|_| health.record_failure(START));
    health.record_answer(START);
    assert!(!health.is_just_recovered(START) && !health.must_defer_calls(START));
}

#[test]
fn the_backoff_of_each_gateway_grows_with_the_fleet() {
    let mut health = CounterHealth::new(0, 100);
    (0..3).for_each(|_| health.record_failure(START));
    assert!(health.is_backing_off(START + S - MILLISECOND) && !health.is_backing_off(START + S));
}

#[test]
fn calls_to_a_recovered_counter_stay_within_this_gateway_s_part_of_the_budget() {
    let mut health = recovered_health();
    let mut calls = 0;
    for tick in 0..150 {
        let now = START + tick * 20 * MILLISECOND;
        while !health.must_defer_calls(now) && calls < 10_000 {
            health.record_call(now);
            calls += 1;
        }
    }
    // 100 calls per second for 3 s, and the saved-up calls.
    assert!((285..=320).contains(&calls), "{calls}");
    assert!(!health.must_defer_calls(START + 3 * S));
}

#[test]
fn a_reset_is_detected_by_this_gateway_s_heartbeat_and_counted_once() {
    let mut health = CounterHealth::new(0, 3);
    let mut total = 0.0;
    let mut heartbeat = |health: &mut CounterHealth, n: u64, is_reset: bool| {
        let now = START + n * HEARTBEAT_INTERVAL;
        let mut shows_reset = false;
        for call in health.heartbeat_calls(now) {
            total = if is_reset { call.amount } else { total + call.amount };
            shows_reset |= health.record_heartbeats(now, call.group, call.epoch, total);
        }
        shows_reset
    };
    assert!((0..6).all(|n| !heartbeat(&mut health, n, false)));
    assert!(heartbeat(&mut health, 6, true));
    assert!((7..12).all(|n| !heartbeat(&mut health, n, false)));
    let reset_at = START + 6 * HEARTBEAT_INTERVAL;
    assert_eq!((health.last_reset_at(), health.report(reset_at).counter_resets), (Some(reset_at), 1));
    // A total read before the reset, or for a while after it, may predate the reset; a later one does not.
    assert!(health.was_reset_since(reset_at) && health.was_reset_since(reset_at + SAME_RESET_WITHIN - 1));
    assert!(!health.was_reset_since(reset_at + SAME_RESET_WITHIN));
}

#[test]
fn signs_of_a_reset_in_quick_succession_are_counted_once() {
    let mut health = CounterHealth::new(0, 3);
    assert!(health.record_reset(START));
    assert!(!health.record_reset(START + SAME_RESET_WITHIN));
    assert!(health.record_reset(START + SAME_RESET_WITHIN + 1));
    assert_eq!(health.report(START).counter_resets, 2);
}

#[test]
fn local_grants_add_up_until_they_are_cleared() {
    let grant = |health: &mut CounterHealth, units, previous_overshoot, overshoot| {
        health.record_local_grant(&LocalGrant { units, previous_overshoot, overshoot });
    };
    let mut health = CounterHealth::new(0, 3);
    grant(&mut health, 5.0, 0.0, 0.0);
    grant(&mut health, 5.0, 0.0, 3.0);
    grant(&mut health, 4.0, 3.0, 7.0);
    grant(&mut health, 2.0, 0.0, 2.0);
    let grants = health.report(START).local_grants;
    assert_eq!((grants.units, grants.overshoot_units, grants.max_customer_overshoot), (16.0, 9.0, 7.0));
    health.clear_local_grants();
    assert_eq!(health.report(START).local_grants, LocalGrants::default());
}
