use super::*;

/// Times of signs, and times at which the backlog is stale or not.
type Case<'a> = (&'a [Span], &'a [(Span, bool)]);

#[test]
fn a_backlog_is_stale_if_its_signs_follow_one_another_for_longer_than_its_maximum_age() {
    let start = 1_000 * MS;
    let step = MAX_GAP - 1;
    let cases: [Case; 5] = [
        (&[], &[(0, false), (MAX_AGE, false)]),
        (&[0], &[(0, false), (MAX_AGE - 1, false), (MAX_AGE, true), (MAX_GAP, false)]),
        (&[0, step], &[(step, true), (step + MAX_GAP - 1, true), (step + MAX_GAP, false)]),
        (&[0, step, 2 * step], &[(2 * step, true), (2 * step + MAX_GAP, false)]),
        (&[0, MAX_GAP], &[(MAX_GAP, false), (MAX_GAP + MAX_AGE - 1, false), (MAX_GAP + MAX_AGE, true)]),
    ];
    for (signs, expected) in cases {
        let backlog = InputBacklog::default();
        signs.iter().for_each(|at| backlog.record(start + at));
        for (at, is_stale) in expected {
            assert_eq!(backlog.is_stale(start + at), *is_stale, "signs at {signs:?}, {at} ns");
        }
    }
}
