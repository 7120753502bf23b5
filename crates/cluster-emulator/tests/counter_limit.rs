//! A counter that takes fewer calls than a large fleet would make, for the whole day.

use cluster_emulator::{run_virtual, VirtualOptions};
use cluster_model::file;

/// The calm day of 30 gateways, a quarter of it, with a counter that takes so many calls a second: how many are
/// made a second, the share turned away, and the worth of the day.
fn calm_with(calls_per_s: f64) -> (f64, f64, f64) {
    let mut day = file::parse("calm-fleet", file::find("calm-fleet").unwrap()).unwrap().with_gateways(30);
    day.length /= 4;
    day.events.clear();
    day.site.counter.calls_per_s = calls_per_s;
    let played = run_virtual(&day, 1, VirtualOptions::default()).unwrap();
    assert_eq!(played.verdict.violations, [], "{calls_per_s} calls a second");
    assert_eq!(played.errors, [""; 0], "{calls_per_s} calls a second");
    let fleet = &played.verdict.fleet;
    (fleet.counter_calls_per_s, fleet.counter_rejected, played.verdict.weighted_score)
}

#[test]
fn with_a_counter_at_its_limit_all_day_no_rule_is_broken_and_calls_stay_bounded() {
    let (calls, away, worth) = calm_with(1_200.0);
    assert!(away < 0.05, "{away} turned away with room for all");
    for limit in [30.0, 3.0] {
        let (asked, away, left) = calm_with(limit);
        assert!(away > 0.3, "{limit} calls a second: {away} turned away, so it was at its limit");
        assert!(asked < 1.5 * calls, "{limit} calls a second: {asked} made, {calls} with room");
        assert!(left > 0.75 * worth, "{limit} calls a second: worth {left}, {worth} with room");
    }
}
