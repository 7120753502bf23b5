use super::*;

#[test]
fn expired_timers_are_returned_step_by_step_in_scheduling_order() {
    let mut timers = TimerQueue::default();
    for (at, timer) in
        [(3 * TIMER_STEP, 'c'), (TIMER_STEP - 5, 'a'), (3 * TIMER_STEP - 1, 'd'), (TIMER_STEP, 'b')]
    {
        timers.schedule(at, timer);
    }
    assert_eq!(timers.pop_expired(TIMER_STEP - 1), []);
    assert_eq!(timers.pop_expired(10 * TIMER_STEP), ['a', 'b']);
    assert_eq!(timers.pop_expired(10 * TIMER_STEP), ['c', 'd']);
    assert_eq!(timers.pop_expired(10 * TIMER_STEP), []);
}

#[test]
fn a_wake_up_is_requested_once_unless_an_earlier_one_is_needed() {
    let mut timers = TimerQueue::default();
    assert_eq!(timers.arm(0), None, "no timer is pending");
    timers.schedule(3 * TIMER_STEP, ());
    assert_eq!((timers.arm(TIMER_STEP), timers.arm(TIMER_STEP)), (Some(2 * TIMER_STEP), None));
    timers.schedule(2 * TIMER_STEP, ());
    assert_eq!(timers.arm(TIMER_STEP), Some(TIMER_STEP), "an earlier timer needs another wake-up");
    timers.on_wake_up(2 * TIMER_STEP);
    let _ = timers.pop_expired(2 * TIMER_STEP);
    assert_eq!(timers.arm(2 * TIMER_STEP), Some(TIMER_STEP));
    timers.on_wake_up(2 * TIMER_STEP + 1);
    assert_eq!(timers.arm(2 * TIMER_STEP + 1), None, "an early wake-up leaves the pending one armed");
}
