use super::*;

const S: Time = 1_000_000_000;

/// Returns a limiter with windows of two seconds that begin at even seconds.
fn new_limiter() -> WindowedLimiter {
    WindowedLimiter::new(10.0, 20.0, 0, 100)
}

/// Returns a limiter that read a total one second into a window: this many units were requested from all gateways.
fn limiter_with_total(requested_units: f64) -> WindowedLimiter {
    let mut limiter = new_limiter();
    let window = limiter.window_at(101 * S);
    limiter.record_total(101 * S, window, requested_units + 2.0, 2.0);
    limiter
}

#[test]
fn one_total_shows_the_demand_at_all_gateways() {
    assert_eq!(new_limiter().demand_ratio(101 * S), None);
    let ratio = |requested_units| limiter_with_total(requested_units).demand_ratio(101 * S).unwrap();
    assert!(
        (ratio(40.0) - 45.0 / 15.0).abs() < 1e-9,
        "40 requested and 5 previously estimated units, where the quota covers 15"
    );
    assert!(ratio(3.0) < 1.0 && ratio(10.0) == 1.0);
}

#[test]
fn a_window_admits_up_to_its_part_of_the_quota_with_the_highest_priority_first() {
    // (units requested before, whether of the highest priority, probability of admission)
    let cases =
        [(8.0, false, 1.0), (19.0, true, 1.0), (19.0, false, 0.0), (60.0, false, 0.0), (60.0, true, 1.0)];
    for (requested_units, is_top_priority, probability) in cases {
        assert_eq!(
            limiter_with_total(requested_units).admission_probability(101 * S, is_top_priority, 0.16),
            probability,
            "{requested_units} {is_top_priority}"
        );
    }
    let single_priority = limiter_with_total(19.0).admission_probability(101 * S, true, 0.99);
    assert_eq!(single_priority, 1.0, "a single priority has no precedence");
    assert_eq!(limiter_with_total(60.0).admission_probability(101 * S, true, 0.99), 0.0);
}

#[test]
fn a_recent_total_is_used_beyond_its_window_until_the_own_estimate_replaces_it() {
    let mut limiter = limiter_with_total(60.0);
    let ratio = limiter.demand_ratio(101 * S).unwrap();
    let probability = |limiter: &WindowedLimiter, at: u64| limiter.admission_probability(at * S, false, 0.0);
    assert_eq!(probability(&limiter, 102), TARGET_UTILIZATION / ratio);
    assert!(limiter.has_recent_total(104 * S) && !limiter.has_recent_total(106 * S));
    assert!(limiter.demand_ratio(130 * S).is_some() && limiter.demand_ratio(132 * S).is_none());
    // The quota covers 0.1 units per second at this gateway: ten seconds without a request weigh half a request of two
    // units.
    limiter.record_request(111 * S, 2.0, 1.0, 0);
    assert!((probability(&limiter, 111) - TARGET_UTILIZATION / (ratio / 1.5)).abs() < 1e-9);
    limiter.record_request(112 * S, 2.0, 1.0, 0);
    assert!(
        probability(&limiter, 112) < TARGET_UTILIZATION / (ratio / 1.5),
        "two requests within a second show a high demand"
    );
}

#[test]
fn without_a_total_admission_follows_the_rate_of_requests_at_this_gateway() {
    // The quota covers 0.1 units per second at this gateway, and the customer requests two units at this interval in
    // seconds: in ten minutes 60 units are admitted, and one or two requests in advance.
    for (interval_s, min_units, max_units) in
        [(60, 18.0, 20.0), (20, 50.0, 60.0), (5, 50.0, 62.0), (1, 50.0, 64.0)]
    {
        let mut limiter = new_limiter();
        let mut admitted = 0.0;
        for n in 0..600 / interval_s {
            let now = (100 + n * interval_s) * S;
            limiter.record_request(now, 2.0, 1.5, 90 * S);
            let probability = limiter.admission_probability(now, false, 0.0);
            admitted += if limiter.admit(2.0, probability) { 2.0 } else { 0.0 };
        }
        assert!((min_units..=max_units).contains(&admitted), "every {interval_s} s: {admitted}");
    }
    let mut limiter = new_limiter();
    limiter.record_request(100 * S, 2.0, 1.5, 100 * S);
    assert_eq!(
        limiter.admission_probability(100 * S, false, 0.0),
        TARGET_UTILIZATION / 1.5,
        "the first request is decided by the usual demand"
    );
}

#[test]
fn sampling_error_of_a_call_on_behalf_of_many_requests_rejects_no_request() {
    let mut limiter = new_limiter();
    // One call is made on behalf of twenty requests of a customer with little demand.
    limiter.record_total(101 * S, limiter.window_at(101 * S), 60.0, 40.0);
    assert_eq!(limiter.admission_probability(101 * S, false, 0.0), 1.0);
    limiter.record_total(101 * S, limiter.window_at(101 * S), 120.0, 40.0);
    assert_eq!(
        limiter.admission_probability(101 * S, false, 0.0),
        0.0,
        "the units of three such calls exceed the sampling error"
    );
}

#[test]
fn windows_follow_one_another_and_their_starts_depend_on_the_phase() {
    let limiter = WindowedLimiter::new(10.0, 20.0, 700_000_000, 100);
    let window = limiter.window_at(100 * S);
    assert_eq!(limiter.window_at(limiter.window_start(window)), window);
    assert_eq!(limiter.window_at(limiter.window_start(window) - 1), window - 1);
    assert_eq!(limiter.window_start(window + 1) - limiter.window_start(window), limiter.window_length());
    assert_ne!(
        limiter.window_start(window) % limiter.window_length(),
        new_limiter().window_start(window) % new_limiter().window_length()
    );
    assert_eq!(WindowedLimiter::new(10.0, 2.0, 0, 100).window_length(), S, "the minimum is one second");
    assert_eq!(WindowedLimiter::new(1.0, 60.0, 0, 100).window_length(), 5 * S);
}

#[test]
fn admissions_follow_the_probability_evenly() {
    let mut limiter = new_limiter();
    assert_eq!((0..100).filter(|_| limiter.admit(2.0, 0.25)).count(), 25);
}
