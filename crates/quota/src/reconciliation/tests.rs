use super::*;

const S: Time = 1_000_000_000;

fn new_reconciliation() -> Reconciliation {
    Reconciliation::new(IdempotentAdder::new(0, 3, 900.0, 0))
}

/// Makes calls until none is needed, and returns the resulting total of the number.
fn reconcile(reconciliation: &mut Reconciliation, mut total: f64) -> f64 {
    let health = CounterHealth::new(0, 3);
    while reconciliation.needs_call() {
        total += reconciliation.start_call(&health, 1);
        reconciliation.complete_call(S, &health, 1, total);
    }
    total
}

#[test]
fn pending_units_are_added_once() {
    let mut reconciliation = new_reconciliation();
    reconciliation.add_pending(7.0);
    let total = reconcile(&mut reconciliation, 0.0);
    assert_eq!(total.floor(), 7.0);
    assert!(!reconciliation.needs_call());
    reconciliation.add_pending(0.3);
    assert!(!reconciliation.needs_call(), "too few units");
}

#[test]
fn units_of_a_call_without_an_answer_are_added_again_only_if_they_were_not_counted() {
    for was_counted in [true, false] {
        let mut reconciliation = new_reconciliation();
        reconciliation.add_pending(3.0);
        let mut total = reconcile(&mut reconciliation, 0.0);
        reconciliation.add_pending(7.0);
        let health = CounterHealth::new(0, 3);
        let unanswered = reconciliation.start_call(&health, 1);
        total += if was_counted { unanswered } else { 0.0 };
        reconciliation.fail_call(true);
        assert!(reconciliation.needs_call(), "the add is in doubt");
        assert_eq!(reconcile(&mut reconciliation, total).floor(), 10.0);
    }
}

#[test]
fn units_that_were_lost_in_a_reset_are_added_again_after_a_recheck() {
    let mut reconciliation = new_reconciliation();
    reconciliation.add_pending(9.0);
    reconcile(&mut reconciliation, 0.0);
    assert_eq!(reconcile(&mut reconciliation, 0.0), 0.0, "no recheck was requested");
    reconciliation.request_recheck(1);
    assert_eq!(reconcile(&mut reconciliation, 0.0).floor(), 9.0);
    reconciliation.request_recheck(2);
    assert!(!reconciliation.needs_call(), "no units were added in the new epoch");
}
