use super::*;

#[test]
fn excesses_are_logged_at_once_and_then_at_growing_intervals_with_their_counts() {
    let log = ClientExcessLog::default();
    let start = 1_000 * SECOND;
    let lines: Vec<(Time, [u64; 2])> = (0..100)
        .filter_map(|second| {
            let excess = if second % 2 == 0 { ClientExcess::CommandBytes } else { ClientExcess::Undecodable };
            let counts = log.count(start + second * SECOND, excess)?;
            Some((
                second,
                [ClientExcess::CommandBytes, ClientExcess::Undecodable].map(|kind| counts.of(kind)),
            ))
        })
        .collect();
    assert_eq!(lines, [(0, [1, 0]), (10, [5, 5]), (30, [10, 10]), (70, [20, 20])]);
    let after_stable_period = start + 99 * SECOND + STABLE_PERIOD + 1;
    let counts = log.count(after_stable_period, ClientExcess::LateCommand).expect("a line at once");
    assert_eq!(counts.of(ClientExcess::CommandBytes) + counts.of(ClientExcess::Undecodable), 29);
    assert_eq!(counts.of(ClientExcess::LateCommand), 1);
}
