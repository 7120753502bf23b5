use super::*;

/// New connections of which each `every`th is turned away, one each 10 ms from `from` on.
fn play(shortage: &mut Shortage, from: Time, count: u64, every: u64) -> Time {
    for n in 1..=count {
        match n % every {
            0 => shortage.ended(from + n * 10 * MS, from + n * 10 * MS - MS),
            _ => shortage.served(),
        }
    }
    from + count * 10 * MS
}

#[test]
fn a_share_of_new_connections_turned_away_tells_of_a_shortage_and_single_ones_do_not() {
    for (every, is_short) in [(1, true), (4, true), (50, false), (u64::MAX, false)] {
        let mut shortage = Shortage::default();
        let now = play(&mut shortage, 0, 100, every);
        assert_eq!(shortage.is_on(now), is_short, "one in {every}");
    }
}

#[test]
fn a_shortage_lasts_for_a_minute_after_the_last_sign_of_it() {
    let mut shortage = Shortage::default();
    let told = play(&mut shortage, 0, 10, 1);
    let now = play(&mut shortage, told, 200, u64::MAX);
    assert!(shortage.is_on(now) && shortage.is_on(told + HOLDS - 1));
    assert!(!shortage.is_on(told + HOLDS));
}

#[test]
fn a_new_connection_that_breaks_later_was_not_turned_away() {
    let mut shortage = Shortage::default();
    (0..100).for_each(|n| shortage.ended(n * AT_ONCE + AT_ONCE, n * AT_ONCE));
    assert!(!shortage.is_on(100 * AT_ONCE));
}
