//! What the counter has yet to be told of one customer: units that were lent while it was away, and units that a
//! counter which has begun anew has forgotten. They are told once, under a name of their own.

use crate::counter_health::CounterHealth;
use crate::idempotent_adder::IdempotentAdder;
use crate::Time;

/// Less than this need not be told.
const LEAST: f64 = 0.5;

/// Units that the counter has yet to be told, and the number that they go to.
#[derive(Clone, Debug, Default)]
pub struct Reconciliation {
    adder: IdempotentAdder,
    debt: f64,
    /// What stands under that name has been asked for.
    asked: bool,
    /// The counter has begun anew: it is to be asked for again.
    doubted: bool,
    seen_at: Time,
}

impl Reconciliation {
    /// Nothing to tell, under a number that this adds to.
    pub fn new(adder: IdempotentAdder) -> Reconciliation {
        Reconciliation { adder, ..Reconciliation::default() }
    }

    /// More is to be told; less, below zero.
    pub fn add_pending(&mut self, units: f64) {
        self.debt += units;
    }

    /// Whether a call is due.
    pub fn needs_call(&self) -> bool {
        (self.debt >= LEAST || self.adder.in_doubt_units() > 0.0 || self.doubted)
            && !self.adder.is_call_in_flight()
    }

    /// The call: its amount. The first only reads, lest one without an answer be told again.
    pub fn start_call(&mut self, contact: &CounterHealth, epoch: u64) -> f64 {
        let tells = self.debt >= LEAST && (self.asked || self.adder.can_prove_next_add());
        self.adder.start_call(
            epoch,
            if tells { self.debt } else { 0.0 },
            contact.was_reset_since(self.seen_at),
        )
    }

    /// The call got this total.
    pub fn complete_call(&mut self, now: Time, contact: &CounterHealth, epoch: u64, total: f64) {
        let suspected = contact.was_reset_since(self.seen_at) | std::mem::take(&mut self.doubted);
        self.seen_at = now;
        self.asked = true;
        let told = self.adder.complete_call(epoch, total, suspected);
        self.debt += told.forgotten_units - told.confirmed_units;
    }

    /// The call got no answer, and it may have counted or not.
    pub fn fail_call(&mut self, may_count: bool) {
        self.adder.fail_call(may_count);
    }

    /// The counter has begun anew: what was told in this epoch is to be looked at again.
    pub fn request_recheck(&mut self, epoch: u64) {
        self.doubted |= self.adder.has_added_in(epoch);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Time = 1_000_000_000;

    fn late() -> Reconciliation {
        Reconciliation::new(IdempotentAdder::new(0, 3, 900.0, 0))
    }

    /// Tells it all; gives what stands on the counter then.
    fn tell(late: &mut Reconciliation, mut total: f64) -> f64 {
        let contact = CounterHealth::new(0, 3);
        while late.needs_call() {
            total += late.start_call(&contact, 1);
            late.complete_call(S, &contact, 1, total);
        }
        total
    }

    #[test]
    fn what_is_owed_is_told_once() {
        let mut late = late();
        late.add_pending(7.0);
        let total = tell(&mut late, 0.0);
        assert_eq!(total.floor(), 7.0);
        assert!(!late.needs_call());
        late.add_pending(0.3);
        assert!(!late.needs_call(), "too little");
    }

    #[test]
    fn a_call_without_an_answer_is_told_again_only_if_it_did_not_count() {
        for counts in [true, false] {
            let mut late = late();
            late.add_pending(3.0);
            let mut total = tell(&mut late, 0.0);
            late.add_pending(7.0);
            let contact = CounterHealth::new(0, 3);
            let lost = late.start_call(&contact, 1);
            total += if counts { lost } else { 0.0 };
            late.fail_call(true);
            assert!(late.needs_call(), "it is in doubt");
            assert_eq!(tell(&mut late, total).floor(), 10.0);
        }
    }

    #[test]
    fn what_a_counter_that_has_begun_anew_forgot_is_told_again_also_where_nothing_is_owed() {
        let mut late = late();
        late.add_pending(9.0);
        tell(&mut late, 0.0);
        assert_eq!(tell(&mut late, 0.0), 0.0, "nobody looks");
        late.request_recheck(1);
        assert_eq!(tell(&mut late, 0.0).floor(), 9.0);
        late.request_recheck(2);
        assert!(!late.needs_call(), "in another epoch nothing was told");
    }
}
