//! The latency distribution, the loss rate, and the delay of hedged requests that follows from them.

use hedging::{LatencyDistribution, LossRate, RemainingTime};

/// Returns response times with a median of 40 ms and a long tail: lognormal with this coefficient of variation, by
/// quantiles instead of random draws.
fn lognormal_latencies(coefficient_of_variation: f64) -> LatencyDistribution {
    let mut latencies = LatencyDistribution::default();
    let sigma = libm::sqrt(libm::log(1.0 + coefficient_of_variation * coefficient_of_variation));
    for n in 0..1_000 {
        // Logistic quantiles, near enough to those of a normal distribution.
        let p = (f64::from(n) + 0.5) / 1_000.0;
        let z = libm::log(p / (1.0 - p)) / 1.702;
        latencies.record_response(0.04 * libm::exp(sigma * z));
    }
    latencies
}

#[test]
fn the_probability_that_an_attempt_is_lost_grows_with_the_time_it_has_no_response() {
    let latencies = lognormal_latencies(0.8);
    let probability_lost = |seconds| latencies.probability_lost(seconds, 0.037);
    let (early, late) = (probability_lost(0.01), probability_lost(0.3));
    assert!(early < 0.05 && late > 0.7, "{early} {late}");
    assert!([0.02, 0.05, 0.1, 0.2, 0.4].windows(2).all(|w| probability_lost(w[0]) < probability_lost(w[1])));
    assert!((latencies.fraction_above(0.04) - 0.5).abs() < 0.05);
}

#[test]
fn the_hedge_delay_leaves_a_further_attempt_enough_time() {
    let up_to =
        |seconds| RemainingTime { until_objective: seconds, until_deadline: seconds, late_fraction: 0.0 };
    let late = RemainingTime { until_objective: 0.24, until_deadline: 0.6, late_fraction: 0.2 };
    let past_objective = RemainingTime { until_objective: -0.1, ..late };
    // Remaining time, loss rate, attempt cost; from when to when the further attempt is sent.
    let cases = [
        (up_to(0.6), 0.037, 0.03, 0.12, 0.45), // time enough for two
        (up_to(0.6), 0.5, 0.1, 0.02, 0.45),    // half are lost
        (up_to(0.05), 0.037, 0.1, 0.05, 0.05), // time for one only
        (up_to(0.6), 0.0001, 0.03, 0.6, 0.6),  // nearly all get a response
        (up_to(0.6), 0.037, 5.0, 0.6, 0.6),    // a further one costs more than it can gain
        (late, 0.037, 0.03, 0.1, 0.24),        // it may still meet the objective
        (past_objective, 0.9, 0.05, 0.04, 0.6),
    ];
    for (remaining, loss_rate, attempt_cost, from, to) in cases {
        let delay = lognormal_latencies(0.8).hedge_delay(remaining, loss_rate, attempt_cost);
        assert!((from..=to).contains(&delay), "{remaining:?} {loss_rate} {attempt_cost}: {delay}");
    }
    assert_eq!(LatencyDistribution::default().hedge_delay(late, 0.5, 0.1), 0.6, "no samples");
    let value = |remaining| lognormal_latencies(0.8).value_of_attempt(remaining, 0.0);
    let short = RemainingTime { until_objective: -0.1, until_deadline: 0.3, ..late };
    assert!(value(late) > 0.9 && (0.1..=0.2).contains(&value(short)));
}

#[test]
fn the_hedge_delay_does_not_fall_between_two_humps() {
    let mut latencies = LatencyDistribution::default();
    for n in 0..1_000 {
        latencies.record_response(if n % 5 == 0 { 0.2 } else { 0.004 });
    }
    let remaining = RemainingTime { until_objective: 0.6, until_deadline: 0.6, late_fraction: 0.0 };
    let delay = latencies.hedge_delay(remaining, 0.01, 0.03);
    assert!(delay > 0.2, "a fifth of all responses take 200 ms: {delay}");
}

#[test]
fn abandoned_attempts_do_not_make_responses_look_faster() {
    let mut latencies = lognormal_latencies(0.8);
    let before = latencies.fraction_above(0.1);
    // Each attempt that takes longer than 100 ms is abandoned, a hundred of them in a row.
    for _ in 0..20 {
        (0..900).for_each(|n| latencies.record_response(0.02 + 0.00005 * f64::from(n)));
        (0..100).for_each(|_| latencies.record_abandoned(0.1, 0.0));
    }
    assert!(latencies.fraction_above(0.1) > 0.8 * before, "{} was {before}", latencies.fraction_above(0.1));
}

#[test]
fn slow_responses_fade_from_the_distribution() {
    let mut latencies = lognormal_latencies(0.3);
    (0..1_000).for_each(|_| latencies.record_response(1.0));
    assert!(latencies.fraction_above(0.5) > 0.4);
    (0..8_000).for_each(|_| latencies.record_response(0.04));
    assert!(latencies.fraction_above(0.5) < 0.05, "{}", latencies.fraction_above(0.5));
}

#[test]
fn lost_attempts_fade_from_the_loss_rate() {
    let mut loss_rate = LossRate::default();
    (0..100).for_each(|_| loss_rate.record(1.0));
    (0..2_000).for_each(|_| loss_rate.record(0.0));
    assert!(loss_rate.estimate(0.0, 0.0) < 0.02, "{loss_rate:?}");
}

#[test]
fn the_records_kept_for_each_class_and_host_stay_small() {
    // 96 counts of four bytes and a total; two sums.
    assert_eq!(size_of::<LatencyDistribution>(), 96 * 4 + 8);
    assert_eq!(size_of::<LossRate>(), 8);
}
