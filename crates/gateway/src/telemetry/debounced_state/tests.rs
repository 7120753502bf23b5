use super::*;

/// Returns the states that are reported if these are sampled in order.
fn reported(states: &str) -> String {
    let mut state = DebouncedState::new('-', 0);
    let samples = states.chars().zip(1..);
    samples.filter_map(|(sample, n)| state.sample(n * SAMPLE_INTERVAL, sample)).collect()
}

#[test]
fn a_state_that_lasts_is_reported_once() {
    assert_eq!(reported("wwwwaaaawww"), "waw");
    assert_eq!(reported("---"), "");
}

#[test]
fn a_state_that_lasts_for_one_sample_is_not_reported() {
    assert_eq!(reported("apwwawwpaww"), "w", "only the state that lasts for two samples");
    assert_eq!(reported("wwawawaw"), "w");
}

#[test]
fn a_sample_is_needed_after_the_interval() {
    let mut state = DebouncedState::new(0, 100);
    assert!(!state.needs_sample(99 + SAMPLE_INTERVAL) && state.needs_sample(100 + SAMPLE_INTERVAL));
    state.sample(100 + SAMPLE_INTERVAL, 1);
    assert!(!state.needs_sample(101 + SAMPLE_INTERVAL));
}
