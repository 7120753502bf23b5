use super::*;

/// Connections to a host are dropped unseen after so long; requests come every 5 to 500 ms, one in six of which may
/// run only once. How many found a dead one, of each kind, and how many wanted a new connection.
fn play(drops_after: Span, requests: u64) -> [u64; 4] {
    let (mut reuse, mut host) = (IdleReuse::new(7_500 * MS), HostIdleReuse::default());
    let mut counts = [0; 4];
    let mut now = 0;
    for n in 0..requests {
        now += 20 * MS;
        let idle = (5 + n * 7919 % 496) * MS;
        let once = n % 6 == 0;
        if idle >= reuse.limit(now, host, !once) {
            counts[2 + usize::from(once)] += 1;
        } else if idle > drops_after {
            counts[usize::from(once)] += 1;
            reuse.on_dropped(now, &mut host, idle);
        } else {
            reuse.on_success(now, &mut host, idle);
        }
    }
    counts
}

#[test]
fn requests_that_are_not_idempotent_hardly_ever_find_a_dropped_connection() {
    for drops_after in [20 * MS, 100 * MS, 300 * MS] {
        let [dead, dead_once, ..] = play(drops_after, 20_000);
        assert!(dead < 20_000 / 20, "{drops_after}: {dead}");
        assert!(dead_once <= 2, "{drops_after}: {dead_once}");
    }
    let [dead, dead_once, new, _] = play(Span::MAX, 20_000);
    assert_eq!([dead, dead_once, new], [0; 3], "where none is dropped all are used");
}

#[test]
fn a_host_that_drops_connections_does_not_affect_the_others() {
    let mut reuse = IdleReuse::new(7_500 * MS);
    let (mut bad, mut good) = (HostIdleReuse::default(), HostIdleReuse::default());
    reuse.on_dropped(MS, &mut bad, 200 * MS);
    reuse.on_dropped(MS, &mut good, 400 * MS);
    (0..200).for_each(|_| reuse.on_success(MS, &mut good, 5_000 * MS));
    assert_eq!((reuse.limit(MS, bad, true), reuse.limit(MS, good, true)), (100 * MS, 7_500 * MS));
    // Ends that are seen take away a part.
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
        "and no longer than before"
    );
}
