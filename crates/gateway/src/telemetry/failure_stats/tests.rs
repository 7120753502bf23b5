use super::*;

fn attempt(outcome: Outcome, elapsed: Span, connection: AttemptConnection) -> FailedAttempt {
    FailedAttempt { host: HostId(1), outcome, elapsed, connection }
}

#[test]
fn a_line_describes_each_attempt_with_its_connection() {
    let attempts = [
        attempt(Outcome::ConnectionReset, 3 * MS, AttemptConnection::Reused(1_200 * MS)),
        attempt(Outcome::ConnectionReset, 80 * MS, AttemptConnection::New),
        attempt(Outcome::ConnectFailed, 20 * MS, AttemptConnection::None),
    ];
    assert_eq!(
        describe(&attempts, |_| "s-1"),
        "s-1: connection idle for 1200 ms, stale connection after 3 ms; s-1: new connection, connection reset after 80 ms; \
         s-1: no connection, connect failed after 20 ms"
    );
}

#[test]
fn a_summary_adds_up_weights_and_names_the_greatest_first() {
    let mut stats = FailureStats::new(0);
    (0..100).for_each(|_| stats.count_request(2.0));
    let stale = attempt(Outcome::ConnectionReset, MS, AttemptConnection::Reused(MS));
    for (reason, last, weight) in [
        (FailureReason::Rejected(RejectReason::QuotaExceeded), None, 2.0),
        (FailureReason::Rejected(RejectReason::NotIdempotent), Some(&stale), 2.0),
        (FailureReason::Rejected(RejectReason::NotIdempotent), Some(&stale), 2.0),
    ] {
        assert_eq!(stats.count_failure(1, reason, last, weight), Some(0));
    }
    assert!(!stats.needs_summary(SUMMARY_PERIOD - 1) && stats.needs_summary(SUMMARY_PERIOD));
    let text = stats.summary(SUMMARY_PERIOD).unwrap();
    assert_eq!(
        text,
        "3.0 % of the priority weight, 3 of 100 requests; 2.0 % not idempotent after stale connection (2); \
         1.0 % quota exceeded (1)"
    );
    assert_eq!(stats.summary(2 * SUMMARY_PERIOD), None);
}

#[test]
fn lines_are_limited_and_the_suppressed_ones_are_counted() {
    let mut stats = FailureStats::new(0);
    let mut fail = |now| stats.count_failure(now, FailureReason::ObjectiveMissed, None, 1.0);
    let lines = (0..1_000).filter_map(|_| fail(MS)).count();
    assert_eq!(lines, LINE_BURST as usize);
    assert_eq!(fail(SECOND), Some(900));
    assert_eq!(
        stats.failures[&(FailureReason::ObjectiveMissed, "")].requests,
        1_001,
        "a failure without a line was not counted"
    );
}
