use super::*;

/// Returns a share after a number of control periods, each with seven responses of the given latency ratio.
fn share_after(gateways: u32, periods: u32, latency_ratio: f64) -> AdaptiveShare {
    let mut share = AdaptiveShare::new(gateways);
    run_periods(&mut share, periods, latency_ratio);
    share
}

fn run_periods(share: &mut AdaptiveShare, periods: u32, latency_ratio: f64) {
    for _ in 0..periods {
        (0..7).for_each(|_| share.record_response(latency_ratio));
        share.adjust();
    }
}

#[test]
fn with_few_gateways_the_share_stays_even_at_any_latency() {
    for latency_ratio in [1.0, 5.0] {
        let share = share_after(9, 30, latency_ratio);
        assert_eq!((share.slots(1.5), share.slots(13.0)), (1.5, 13.0));
        assert!(!share.is_overloaded(1.5));
    }
}

#[test]
fn one_of_many_gateways_exceeds_its_even_share_at_low_latency_and_returns_under_overload() {
    let mut share = share_after(300, 10, 1.0);
    assert_eq!((share.slots(2.5), share.slots(4.0), share.slots(13.0)), (10.0, 10.0, 13.0));
    assert!(!share.is_overloaded(2.5));
    run_periods(&mut share, 12, 3.0);
    assert_eq!(share.slots(2.5), 2.5);
    assert!(share.is_overloaded(2.5) && !share.is_overloaded(13.0));
}
