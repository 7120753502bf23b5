use super::*;

/// Simulates a host that silently drops connections after an idle time. Requests arrive every 5 to 500 ms; one in six
/// is not idempotent. Returns the number of requests that found a dropped connection and the number that needed a new
/// one, each for idempotent requests and then for those that are not.
fn simulate_requests(drops_after: Span, requests: u64) -> [u64; 4] {
    let (mut reuse, mut host) = (IdleReuse::new(7_500 * MS), HostIdleReuse::default());
    let mut counts = [0; 4];
    let mut now = 0;
    for n in 0..requests {
        now += 20 * MS;
        let idle = (5 + n * 7919 % 496) * MS;
        let is_not_idempotent = n % 6 == 0;
        if idle >= reuse.limit(now, host, !is_not_idempotent) {
            counts[2 + usize::from(is_not_idempotent)] += 1;
        } else if idle > drops_after {
            counts[usize::from(is_not_idempotent)] += 1;
            reuse.on_dropped(now, &mut host, idle);
        } else {
            reuse.on_success(now, &mut host, idle);
        }
    }
    counts
}

#[test]
fn requests_that_are_not_idempotent_rarely_find_a_dropped_connection() {
    for drops_after in [20 * MS, 100 * MS, 300 * MS] {
        let [dropped, dropped_not_idempotent, ..] = simulate_requests(drops_after, 20_000);
        assert!(dropped < 20_000 / 20, "{drops_after}: {dropped}");
        assert!(dropped_not_idempotent <= 2, "{drops_after}: {dropped_not_idempotent}");
    }
    let [dropped, dropped_not_idempotent, new, _] = simulate_requests(Span::MAX, 20_000);
    assert_eq!([dropped, dropped_not_idempotent, new], [0; 3], "reused connections where none is dropped");
}

#[test]
fn a_host_that_drops_connections_does_not_lower_the_limit_of_others() {
    let mut reuse = IdleReuse::new(7_500 * MS);
    let (mut bad, mut good) = (HostIdleReuse::default(), HostIdleReuse::default());
    reuse.on_dropped(MS, &mut bad, 200 * MS);
    reuse.on_dropped(MS, &mut good, 400 * MS);
    (0..200).for_each(|_| reuse.on_success(MS, &mut good, 5_000 * MS));
    assert_eq!((reuse.limit(MS, bad, true), reuse.limit(MS, good, true)), (100 * MS, 7_500 * MS));
    // An observed close lowers the limit by a fraction.
    reuse.on_ended(MS, &mut good, 5_000 * MS);
    assert_eq!(reuse.limit(MS, good, true), 6_750 * MS);
}

#[test]
fn with_few_requests_connections_are_reused_again_after_one_was_dropped() {
    let mut reuse = IdleReuse::new(7_500 * MS);
    let mut host = HostIdleReuse::default();
    reuse.on_dropped(0, &mut host, 30 * MS);
    assert_eq!(reuse.limit(0, host, true), 15 * MS);
    assert_eq!(reuse.limit(2 * DOUBLING_TIME, host, true), 60 * MS);
    assert_eq!(
        reuse.limit(20 * DOUBLING_TIME, host, false),
        7_500 * MS / NOT_IDEMPOTENT_DIVISOR,
        "the limit exceeds its maximum"
    );
}
