use super::*;

#[test]
fn kept_identifiers_are_forgotten_after_their_period_or_when_there_are_too_many() {
    let mut ids = ClientIds::new(10);
    assert!(ids.insert(0, 1) && ids.insert(0, 2));
    ids.keep(5, 1);
    ids.remove(2);
    assert!(ids.insert(6, 2), "an identifier that has been removed");
    assert!(!ids.insert(14, 1), "an identifier that is kept");
    assert!(ids.insert(15, 1), "an identifier whose period is over");
    for id in 100..100 + MAX_KEPT as u64 + 1 {
        assert!(ids.insert(20, id));
        ids.keep(20, id);
    }
    assert!(ids.insert(20, 100), "the oldest of too many");
    assert!(!ids.insert(20, 101));
}
