//! Reconciliation after a counter outage: units of one customer that the counter has yet to count, because they were
//! granted while it was unreachable or because they were lost in a reset. They are added once, to a separate number.

use crate::counter_health::CounterHealth;
use crate::idempotent_add::IdempotentAdder;
use crate::time::Time;

#[cfg(test)]
mod tests;

/// Minimum number of pending units for which a call is made.
const MIN_PENDING_UNITS: f64 = 0.5;

/// The units of one customer that the counter has yet to count, and the number to which they are added.
#[derive(Clone, Debug, Default)]
pub struct Reconciliation {
    adder: IdempotentAdder,
    pending_units: f64,
    /// Whether the number's total has been read since this gateway started.
    has_total: bool,
    /// Whether the total has to be read again, because the counter was reset.
    needs_recheck: bool,
    last_total_at: Time,
}

impl Reconciliation {
    /// Returns a reconciliation without pending units, for the number that this adder adds to.
    pub fn new(adder: IdempotentAdder) -> Reconciliation {
        Reconciliation { adder, ..Reconciliation::default() }
    }

    /// Adds units to the pending ones; a negative number removes units from them.
    pub fn add_pending(&mut self, units: f64) {
        self.pending_units += units;
    }

    /// Returns whether a call has to be made.
    pub fn needs_call(&self) -> bool {
        let has_reason = self.pending_units >= MIN_PENDING_UNITS
            || self.adder.in_doubt_units() > 0.0
            || self.needs_recheck;
        has_reason && !self.adder.is_call_in_flight()
    }

    /// Starts a call and returns its amount. The first call only reads, unless a later total could prove an add
    /// without an answer, so that no units are added twice.
    pub fn start_call(&mut self, health: &CounterHealth, epoch: u64) -> f64 {
        let may_add = self.has_total || self.adder.can_prove_next_add();
        let has_enough = self.pending_units >= MIN_PENDING_UNITS;
        let units = if has_enough && may_add { self.pending_units } else { 0.0 };
        let reset_suspected = health.was_reset_since(self.last_total_at);
        self.adder.start_call(epoch, units, reset_suspected)
    }

    /// Completes the call with its total.
    pub fn complete_call(&mut self, now: Time, health: &CounterHealth, epoch: u64, total: f64) {
        let reset_suspected = health.was_reset_since(self.last_total_at) || self.needs_recheck;
        self.needs_recheck = false;
        self.last_total_at = now;
        self.has_total = true;
        let outcome = self.adder.complete_call(epoch, total, reset_suspected);
        self.pending_units += outcome.lost_units - outcome.confirmed_units;
    }

    /// Ends the call without an answer. `may_have_counted`: the add may have been carried out.
    pub fn fail_call(&mut self, may_have_counted: bool) {
        self.adder.fail_call(may_have_counted);
    }

    /// Requests that the total be read again after a reset of the counter, if units were added in this epoch.
    pub fn request_recheck(&mut self, epoch: u64) {
        self.needs_recheck |= self.adder.has_added_in(epoch);
    }
}
