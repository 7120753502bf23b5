use super::*;

/// Plays new connections, one each 10 ms from `from` on, of which each `every`th is rejected.
fn play(pressure: &mut ConnectionPressure, from: Time, count: u64, every: u64) -> Time {
    for n in 1..=count {
        match n % every {
            0 => pressure.on_unused_end(from + n * 10 * MS, from + n * 10 * MS - MS),
            _ => pressure.on_first_response(),
        }
    }
    from + count * 10 * MS
}

#[test]
fn rejections_of_many_new_connections_are_pressure_and_single_ones_are_not() {
    for (every, is_high) in [(1, true), (4, true), (50, false), (u64::MAX, false)] {
        let mut pressure = ConnectionPressure::default();
        let now = play(&mut pressure, 0, 100, every);
        assert_eq!(pressure.is_high(now), is_high, "one in {every}");
    }
}

#[test]
fn pressure_holds_for_a_minute_after_the_last_rejection() {
    let mut pressure = ConnectionPressure::default();
    let told = play(&mut pressure, 0, 10, 1);
    let now = play(&mut pressure, told, 200, u64::MAX);
    assert!(pressure.is_high(now) && pressure.is_high(told + HOLD_TIME - 1));
    assert!(!pressure.is_high(told + HOLD_TIME));
}

#[test]
fn a_new_connection_that_breaks_later_was_not_rejected() {
    let mut pressure = ConnectionPressure::default();
    (0..100).for_each(|n| pressure.on_unused_end(n * REJECTION_TIME + REJECTION_TIME, n * REJECTION_TIME));
    assert!(!pressure.is_high(100 * REJECTION_TIME));
}
