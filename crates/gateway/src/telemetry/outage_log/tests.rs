use super::*;

#[test]
fn an_outage_of_an_hour_is_logged_in_eleven_lines() {
    let mut outage = OutageLog::default();
    let lines = (0..3600 * 5).filter_map(|n| outage.on_failure(1_000 * SECOND + n * SECOND / 5)).count();
    assert_eq!(lines, 11);
    assert_eq!(outage.on_recovery(4_601 * SECOND), Some(3_601 * SECOND));
    assert_eq!(outage.on_recovery(4_602 * SECOND), None);
}

#[test]
fn a_flapping_peer_is_logged_12_to_26_times_an_hour() {
    let mut outage = OutageLog::default();
    let mut lines = 0;
    for n in 0..3600 {
        let now = (1_000 + n) * SECOND;
        lines += usize::from(outage.on_failure(now).is_some());
        lines += usize::from(outage.on_recovery(now + SECOND / 2).is_some());
    }
    assert!((12..=26).contains(&lines), "{lines}");
}

#[test]
fn a_failure_after_a_stable_period_is_logged_immediately() {
    let mut outage = OutageLog::default();
    assert_eq!(outage.on_failure(1_000 * SECOND), Some(0));
    assert_eq!(outage.on_failure(1_001 * SECOND), None);
    outage.on_recovery(1_002 * SECOND);
    assert_eq!(outage.on_failure(1_003 * SECOND), None);
    outage.on_recovery(1_004 * SECOND);
    assert_eq!(outage.on_failure(1_100 * SECOND), Some(0));
}
