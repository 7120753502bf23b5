use super::*;

#[test]
fn the_baseline_falls_quickly_and_rises_slowly() {
    let mut baseline = BaselineLatency::default();
    let mut after =
        |latency: f64, responses: usize| (0..responses).map(|_| baseline.update(latency)).last().unwrap();
    assert_eq!(after(0.3, 19), 0.3);
    assert!(after(0.1, 60) < 0.12);
    let baseline_after_burst = after(1.0, 100);
    assert!(
        (0.15..0.25).contains(&baseline_after_burst),
        "a burst of 100 slow responses in ten seconds raises the baseline only slightly: {baseline_after_burst}"
    );
}
