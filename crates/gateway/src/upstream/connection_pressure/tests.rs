use super::*;

/// Simulates new connections at intervals of 10 ms, the first 10 ms after `start`; every `every`th one is rejected.
/// Returns the time of the last one.
fn simulate_connections(pressure: &mut ConnectionPressure, start: Time, count: u64, every: u64) -> Time {
    for n in 1..=count {
        match n % every {
            0 => pressure.on_unused_end(start + n * 10 * MS, start + n * 10 * MS - MS),
            _ => pressure.on_first_response(),
        }
    }
    start + count * 10 * MS
}

#[test]
fn many_rejections_raise_the_pressure_and_single_ones_do_not() {
    for (every, is_high) in [(1, true), (4, true), (50, false), (u64::MAX, false)] {
        let mut pressure = ConnectionPressure::default();
        let now = simulate_connections(&mut pressure, 0, 100, every);
        assert_eq!(pressure.is_high(now), is_high, "one in {every}");
    }
}

#[test]
fn pressure_lasts_for_a_minute_after_the_last_rejection() {
    let mut pressure = ConnectionPressure::default();
    let last_rejection = simulate_connections(&mut pressure, 0, 10, 1);
    let now = simulate_connections(&mut pressure, last_rejection, 200, u64::MAX);
    assert!(pressure.is_high(now) && pressure.is_high(last_rejection + MIN_PRESSURE_TIME - 1));
    assert!(!pressure.is_high(last_rejection + MIN_PRESSURE_TIME));
}

#[test]
fn a_connection_that_fails_later_does_not_count_as_rejected() {
    let mut pressure = ConnectionPressure::default();
    (0..100).for_each(|n| pressure.on_unused_end(n * REJECTION_TIME + REJECTION_TIME, n * REJECTION_TIME));
    assert!(!pressure.is_high(100 * REJECTION_TIME));
}
