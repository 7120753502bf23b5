use super::*;

#[test]
fn the_unloaded_latency_is_that_of_hosts_with_few_attempts_in_flight() {
    let mut latency = UnloadedLatency::default();
    (0..12).for_each(|_| assert!(latency.record_response(20_000_000, 0.2).abs() < 1e-9));
    let inflation = latency.record_response(40_000_000, 1.0);
    assert!((inflation - libm::log(2.0)).abs() < 1e-9, "{inflation}");
    for _ in 0..1000 {
        assert!((latency.record_response(40_000_000, 1.0) - inflation).abs() < 1e-9);
    }
}
