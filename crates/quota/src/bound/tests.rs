use super::*;

const PREMIUM: Quota = Quota { rate: 30.0, burst: 65.0, set_size: 3, max_request_units: 6.0 };

#[test]
fn the_bound_for_two_minutes_without_a_counter_matches_the_formula() {
    let outage = Failure::counter_unreachable(120.0, &PREMIUM);
    // 0.25 * 30 * 25 (less the part that has not decayed) + 65 * 2 / 3 + 1.5 * 30 + 3 * 7
    assert!((max_overshoot(&PREMIUM, &outage, false) - 295.29).abs() < 0.01);
    // 65 * (0.5 * 2 + 0.4 * 3) + 0.03 * 30 * 120 more
    assert!(
        (max_overshoot(&PREMIUM, &outage, true) - max_overshoot(&PREMIUM, &outage, false) - 251.0).abs()
            < 1e-9
    );
}

#[test]
fn a_partition_with_answering_counters_adds_the_rate_until_detection() {
    let with_answers = Failure { duration_s: 120.0, partitions: 2, counter_answers: true, counter_resets: 0 };
    let without_answers = Failure { counter_answers: false, ..with_answers };
    assert!(
        (max_overshoot(&PREMIUM, &with_answers, false)
            - max_overshoot(&PREMIUM, &without_answers, false)
            - 97.5)
            .abs()
            < 1e-9
    );
}

#[test]
fn partitions_do_not_raise_the_bound_of_a_customer_of_one_gateway() {
    let quota = Quota { set_size: 1, ..PREMIUM };
    let with_answers = Failure { duration_s: 120.0, partitions: 3, counter_answers: true, counter_resets: 0 };
    assert!(max_overshoot(&quota, &with_answers, false) <= 45.0 + 7.0 + 1e-9);
}
