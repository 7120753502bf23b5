use super::*;

const SECOND: Span = 1_000 * MS;

#[test]
fn a_delay_is_reported_immediately_then_at_growing_intervals_and_once_at_its_end() {
    let mut delay = EventLoopDelay::default();
    let mut lines = Vec::new();
    // A hundred events per second for a minute. From 5 s to 45 s they are delayed by 300 ms, and one of them by 800 ms.
    for n in 0..6_000 {
        let now = 100 * SECOND + n * 10 * MS;
        let event_delay = match n {
            3_000 => 800,
            500..4_500 => 300,
            _ => 100,
        };
        lines.extend(delay.observe(now, now - event_delay * MS).map(|report| (n / 100, report)));
    }
    let delayed = |ms| DelayReport::Delayed(ms * MS);
    let recovered = DelayReport::Recovered(45 * SECOND + 290 * MS);
    assert_eq!(lines, [(5, delayed(300)), (15, delayed(300)), (35, delayed(800)), (49, recovered)]);
    // The next delay is again reported immediately.
    assert_eq!(delay.observe(200 * SECOND, 199 * SECOND), Some(delayed(1_000)));
}
