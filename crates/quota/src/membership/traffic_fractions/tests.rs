use super::*;

const S: Time = 1_000_000_000;

#[test]
fn fractions_add_up_to_one_and_follow_the_observed_traffic() {
    let mut fractions = TrafficFractions::new(0, 3, 30.0);
    assert!((0..3).all(|member| (fractions.fraction_of(member, 0, 0) - 1.0 / 3.0).abs() < 1e-9));
    for second in 1..=30 {
        fractions.record_usage(second * S, [(0, 20.0), (1, 10.0)].into_iter());
    }
    let values: Vec<f64> = (0..3).map(|member| fractions.fraction_of(member, 0, 0)).collect();
    assert!((values.iter().sum::<f64>() - 1.0).abs() < 1e-9);
    assert!(values[0] > 0.5 && values[1] > 0.28 && values[2] < 0.1, "{values:?}");
    assert!((fractions.usage_by_others(0) - 10.0).abs() < 1.0);
}

#[test]
fn a_fraction_decays_towards_an_even_one() {
    let mut fractions = TrafficFractions::new(0, 3, 30.0);
    (1..=30).for_each(|second| fractions.record_usage(second * S, [(0, 30.0)].into_iter()));
    let (first, later, last) = (
        fractions.fraction_of(0, 0, 0),
        fractions.fraction_of(0, 0, 15 * S),
        fractions.fraction_of(0, 0, 600 * S),
    );
    assert!(
        first > 0.7 && later > 0.5 && later < first && (last - 1.0 / 3.0).abs() < 0.01,
        "{first} {later} {last}"
    );
}

#[test]
fn an_unobserved_fraction_decays_faster_the_more_of_the_quota_was_used() {
    let retained = |used: f64| {
        let mut fractions = TrafficFractions::new(0, 2, 30.0);
        (1..=30).for_each(|second| {
            fractions.record_usage(second * S, [(0, used / 2.0), (1, used / 2.0)].into_iter())
        });
        fractions.fraction_of(0, 20 * S, 0) / fractions.fraction_of(0, 0, 0)
    };
    let values: Vec<f64> = [3.0, 10.0, 20.0, 30.0].map(retained).to_vec();
    assert!(
        values.windows(2).all(|pair| pair[0] > pair[1]) && values[0] > 0.99 && values[3] < 0.2,
        "{values:?}"
    );
}

#[test]
fn members_beyond_the_tracked_number_have_even_fractions() {
    let mut fractions = TrafficFractions::new(0, 20, 30.0);
    fractions.record_usage(S, [(0, 30.0)].into_iter());
    assert!((fractions.fraction_of(0, 0, 0) - 0.05).abs() < 1e-9);
}
