use super::*;
use crate::rng::Rng;

const SECOND: Time = 1_000_000_000;

/// Returns the limit of a host after a number of periods. While this gateway's share is in use, the latency
/// inflation is `log_inflation`, a function of the current slots.
fn limit_after(periods: u64, is_demand_unmet: bool, log_inflation: impl Fn(f64) -> f64) -> ConcurrencyLimit {
    let mut limit = ConcurrencyLimit::default();
    for period in 1..=periods {
        for _ in 0..30 {
            limit.record_response(period, 0.3, 0.0);
            limit.record_response(period, 1.0, log_inflation(limit.slots()));
        }
        limit.adjust(period, is_demand_unmet);
    }
    limit
}

#[test]
fn a_host_without_latency_inflation_gets_more_slots_up_to_the_maximum() {
    assert!((limit_after(5, true, |_| 0.0).slots - MIN_SLOTS * INCREASE_FACTOR.powi(5)).abs() < 1e-9);
    assert_eq!(limit_after(100, true, |_| 0.05).slots, MAX_SLOTS);
    assert_eq!(limit_after(100, false, |_| 0.0).slots, MIN_SLOTS, "no request had to wait");
}

#[test]
fn a_host_with_latency_inflation_stays_at_the_minimum_slots() {
    assert_eq!(limit_after(100, true, |_| 0.2).slots, MIN_SLOTS);
    assert_eq!(limit_after(100, true, |_| 0.7).slots, MIN_SLOTS);
}

#[test]
fn slots_settle_where_latency_inflation_begins() {
    // The host executes 20 attempts concurrently; above that, latency rises in proportion.
    let limit = limit_after(200, true, |slots| libm::log((slots / 20.0).max(1.0)));
    assert!((16.0..=30.0).contains(&limit.slots()), "{}", limit.slots());
}

#[test]
fn a_host_that_rejects_attempts_gets_fewer_slots_down_to_the_minimum() {
    let mut limit = limit_after(10, true, |_| 0.0);
    let before = limit.slots();
    limit.record_rejection();
    assert!(limit.adjust(11, true) < 0.0);
    for period in 12..60 {
        limit.record_rejection();
        limit.adjust(period, true);
    }
    assert!(before > MIN_SLOTS && limit.slots() == MIN_SLOTS);
}

#[test]
fn responses_to_attempts_sent_under_an_earlier_limit_are_ignored() {
    let mut limit = limit_after(3, true, |_| 0.0);
    let slots = limit.slots();
    (0..100).for_each(|_| limit.record_response(1, 1.0, 2.0));
    assert_eq!(limit.adjust(4, true), 0.0);
    assert_eq!(limit.slots(), slots);
}

#[test]
fn too_few_responses_do_not_change_the_limit() {
    let mut limit = ConcurrencyLimit::default();
    (0..100).for_each(|_| limit.record_response(1, 0.3, 0.0));
    (0..11).for_each(|_| limit.record_response(1, 1.0, 0.0));
    assert_eq!(limit.adjust(1, true), 0.0);
    limit.record_response(1, 1.0, 0.0);
    assert!(limit.adjust(1, true) > 0.0);
}

#[test]
fn a_host_never_observed_unloaded_is_probed_and_left_alone_after_a_failed_probe() {
    let probed = |capacity: f64| {
        let mut limit = ConcurrencyLimit::default();
        let mut max_slots = MIN_SLOTS;
        for second in 1..=50 {
            for _ in 0..50 {
                // Attempts beyond the capacity are queued at the host.
                let log_inflation = libm::log((limit.slots() / capacity).max(1.0));
                limit.record_response(second * SECOND, 1.0, log_inflation);
            }
            limit.adjust(second * SECOND, true);
            max_slots = max_slots.max(limit.slots());
        }
        (limit.slots(), max_slots)
    };
    assert_eq!(probed(4.0), (MIN_SLOTS, MIN_SLOTS * INCREASE_FACTOR));
    let (slots, _) = probed(40.0);
    assert!((30.0..=52.0).contains(&slots), "{slots}");
}

#[test]
fn no_probe_starts_where_responses_are_too_rare_to_decide_it() {
    let is_probed = |per_second: u32, noise: f64| {
        let mut limit = ConcurrencyLimit::default();
        for second in 1..=30 {
            for n in 0..per_second {
                limit.record_response(second * SECOND, 1.0, if n % 2 == 0 { noise } else { -noise });
            }
            limit.adjust(second * SECOND, true);
        }
        limit.slots() > MIN_SLOTS
    };
    assert_eq!([is_probed(5, 1.0), is_probed(500, 1.0), is_probed(5, 0.0)], [false, true, true]);
}

#[test]
fn responses_of_very_different_lengths_do_not_change_the_limit() {
    let mut rng = Rng::seeded(7);
    let mut limit = ConcurrencyLimit::default();
    let mut max_slots = MIN_SLOTS;
    for second in 1..=60 {
        // Four exponentially distributed response times per second, half of them from an unloaded host.
        for utilisation in [0.3, 1.0, 0.3, 1.0] {
            let log_inflation = libm::log(-libm::log(1.0 - rng.unit()));
            limit.record_response(second * SECOND, utilisation, log_inflation);
        }
        limit.adjust(second * SECOND, true);
        max_slots = max_slots.max(limit.slots());
    }
    assert_eq!(max_slots, MIN_SLOTS);
}
