//! The latency distribution, the loss rate, and the resulting delay of hedged requests.

use hedging::{LatencyDistribution, LossRate, RemainingTime};

/// Returns a lognormal distribution of response times with a median of 40 ms and this coefficient of variation,
/// built from quantiles instead of random numbers.
fn lognormal_latencies(coefficient_of_variation: f64) -> LatencyDistribution {
    let mut latencies = LatencyDistribution::default();
    let sigma = libm::sqrt(libm::log(1.0 + coefficient_of_variation * coefficient_of_variation));
    for n in 0..1_000 {
        // Quantiles of the logistic distribution, which approximate those of the normal distribution.
        let p = (f64::from(n) + 0.5) / 1_000.0;
        let z = libm::log(p / (1.0 - p)) / 1.702;
        latencies.record_response(0.04 * libm::exp(sigma * z));
    }
    latencies
}

#[test]
fn the_probability_that_an_attempt_is_lost_grows_with_the_time_without_a_response() {
    let latencies = lognormal_latencies(0.8);
    let probability_lost = |seconds| latencies.probability_lost(seconds, 0.037);
    let (early, late) = (probability_lost(0.01), probability_lost(0.3));
    assert!(early < 0.05 && late > 0.7, "{early} {late}");
    assert!([0.02, 0.05, 0.1, 0.2, 0.4].windows(2).all(|w| probability_lost(w[0]) < probability_lost(w[1])));
    assert!((latencies.fraction_above(0.04) - 0.5).abs() < 0.05);
}

#[test]
fn the_hedge_delay_leaves_enough_time_for_a_further_attempt() {
    let up_to =
        |seconds| RemainingTime { until_objective: seconds, until_deadline: seconds, late_fraction: 0.0 };
    let late = RemainingTime { until_objective: 0.24, until_deadline: 0.6, late_fraction: 0.2 };
    let past_objective = RemainingTime { until_objective: -0.1, ..late };
    // Remaining time, loss rate, attempt cost; minimum and maximum of the hedge delay.
    let cases = [
        (up_to(0.6), 0.037, 0.03, 0.12, 0.45), // time for two attempts
        (up_to(0.6), 0.5, 0.1, 0.02, 0.45),    // half of the attempts are lost
        (up_to(0.05), 0.037, 0.1, 0.05, 0.05), // time for one attempt only
        (up_to(0.6), 0.0001, 0.03, 0.6, 0.6),  // nearly all attempts get a response
        (up_to(0.6), 0.037, 5.0, 0.6, 0.6),    // the cost exceeds any possible gain
        (late, 0.037, 0.03, 0.1, 0.24),        // a further attempt may still meet the objective
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
fn the_hedge_delay_is_beyond_both_modes_of_a_bimodal_distribution() {
    let mut latencies = LatencyDistribution::default();
    for n in 0..1_000 {
        latencies.record_response(if n % 5 == 0 { 0.2 } else { 0.004 });
    }
    let remaining = RemainingTime { until_objective: 0.6, until_deadline: 0.6, late_fraction: 0.0 };
    let delay = latencies.hedge_delay(remaining, 0.01, 0.03);
    assert!(delay > 0.2, "a fifth of the responses take 200 ms: {delay}");
}

#[test]
fn abandoned_attempts_do_not_shift_the_distribution_to_shorter_times() {
    let mut latencies = lognormal_latencies(0.8);
    let before = latencies.fraction_above(0.1);
    // Attempts that take longer than 100 ms are abandoned, a hundred of them in succession.
    for _ in 0..20 {
        (0..900).for_each(|n| latencies.record_response(0.02 + 0.00005 * f64::from(n)));
        (0..100).for_each(|_| latencies.record_abandoned(0.1, 0.0));
    }
    assert!(
        latencies.fraction_above(0.1) > 0.8 * before,
        "{}, before {before}",
        latencies.fraction_above(0.1)
    );
}

#[test]
fn older_slow_responses_lose_weight_in_the_distribution() {
    let mut latencies = lognormal_latencies(0.3);
    (0..1_000).for_each(|_| latencies.record_response(1.0));
    assert!(latencies.fraction_above(0.5) > 0.4);
    (0..8_000).for_each(|_| latencies.record_response(0.04));
    assert!(latencies.fraction_above(0.5) < 0.05, "{}", latencies.fraction_above(0.5));
}

#[test]
fn older_lost_attempts_lose_weight_in_the_loss_rate() {
    let mut loss_rate = LossRate::default();
    (0..100).for_each(|_| loss_rate.record(1.0));
    (0..2_000).for_each(|_| loss_rate.record(0.0));
    assert!(loss_rate.estimate(0.0, 0.0) < 0.02, "{loss_rate:?}");
}

#[test]
fn the_distribution_and_the_loss_rate_have_their_expected_sizes() {
    // 96 counts of four bytes and a total of eight; two sums of four bytes. Gateways keep these records for each
    // class and host, so they have to be small.
    assert_eq!(size_of::<LatencyDistribution>(), 96 * 4 + 8);
    assert_eq!(size_of::<LossRate>(), 8);
}
