//! Calls to the counter service and their replies.

use super::counter_keys::{CounterEntry, EPOCH};
use crate::api::{Action, CounterKey, CustomerId, Outcome, Span, Time};
use crate::policy::Policy;
use ::quota::CounterEpoch;

/// EWMA weight of a customer in the typical fraction of the demand that the quota covers.
const TYPICAL_FRACTION_EWMA_WEIGHT: f64 = 0.05;

/// The result of a call to the counter.
struct Reply {
    outcome: Outcome,
    /// The counter has replied with a finite value.
    is_success: bool,
    /// Value of the entry after the call.
    total: f64,
}

impl Policy {
    /// Calls the counter to add an amount to an entry.
    pub(crate) fn call_counter(&mut self, now: Time, entry: CounterEntry, amount: f64) {
        let key = entry.key();
        self.counter.pending_calls.insert(key, entry);
        self.counter.health.record_call(now);
        self.actions.push(Action::AddToCounter { key, amount, time_to_live: entry.time_to_live() });
    }

    /// Handles the end of a call to the counter.
    pub(crate) fn on_counter_reply(
        &mut self,
        now: Time,
        key: CounterKey,
        outcome: Outcome,
        total: f64,
        elapsed: Span,
    ) {
        let Some(entry) = self.counter.pending_calls.remove(&key) else { return };
        let reply = Reply { outcome, is_success: outcome == Outcome::Ok && total.is_finite(), total };
        self.counter.record_reply(now, outcome, reply.is_success, elapsed);
        match entry {
            CounterEntry::Heartbeat { group, epoch } => self.on_heartbeats(now, group, epoch, &reply),
            CounterEntry::Leased { customer, account, epoch } => {
                self.on_leased_total(now, customer, account, epoch, &reply);
            }
            CounterEntry::Reconciled { customer, epoch } => {
                self.on_reconciled_total(now, customer, epoch, &reply);
            }
            CounterEntry::Demand { customer, window } => {
                self.on_window_total(now, customer, window, &reply);
            }
        }
    }

    fn on_heartbeats(&mut self, now: Time, group: u32, epoch: u64, reply: &Reply) {
        if reply.is_success && self.counter.health.record_heartbeats(now, group, epoch, reply.total) {
            self.start_recheck(now);
        }
    }

    fn on_leased_total(
        &mut self,
        now: Time,
        customer_id: CustomerId,
        index: usize,
        epoch: u64,
        reply: &Reply,
    ) {
        let Some(customer) = self.customers.get_mut(customer_id) else { return };
        let mut shows_reset = false;
        // The customer's plan may no longer have this limit.
        if let Some(account) = customer.accounts.get_mut(index) {
            let health = &self.counter.health;
            if reply.is_success {
                let epoch = CounterEpoch { number: epoch, start: epoch * EPOCH };
                shows_reset = account.record_leased_total(now, health, epoch, reply.total);
            } else {
                account.on_call_failed(now, health, reply.outcome == Outcome::Timeout);
            }
            self.counter.reconciliation.push(now, &mut self.timers, customer_id, customer);
        }
        if shows_reset && self.counter.health.record_reset(now) {
            self.start_recheck(now);
        }
        self.check_waiting(now, customer_id);
    }

    fn on_reconciled_total(&mut self, now: Time, customer_id: CustomerId, epoch: u64, reply: &Reply) {
        let Some(customer) = self.customers.get_mut(customer_id) else { return };
        customer.is_reconciliation_pending = false;
        if let Some(account) = customer.accounts.first_mut() {
            if let Some(reconciliation) = account.pending_reconciliation() {
                if reply.is_success {
                    reconciliation.complete_call(now, &self.counter.health, epoch, reply.total);
                } else {
                    reconciliation.fail_call(reply.outcome == Outcome::Timeout);
                }
            }
            self.counter.reconciliation.push(now, &mut self.timers, customer_id, customer);
        }
        self.check_waiting(now, customer_id);
    }

    fn on_window_total(&mut self, now: Time, customer_id: CustomerId, window: u64, reply: &Reply) {
        let Some(customer) = self.customers.get_mut(customer_id) else { return };
        let plan = customer.plan;
        if let Some(account) = customer.accounts.first_mut() {
            if reply.is_success {
                let is_first_total = account.windowed_limiter().demand_ratio(now).is_none();
                let covered = account.record_window_total(now, window, reply.total);
                if is_first_total {
                    let typical = &mut self.admission.typical_fractions[plan];
                    *typical += TYPICAL_FRACTION_EWMA_WEIGHT * (covered - *typical);
                }
            } else {
                account.on_call_failed(now, &self.counter.health, reply.outcome == Outcome::Timeout);
            }
            self.counter.reconciliation.push(now, &mut self.timers, customer_id, customer);
        }
        self.check_waiting(now, customer_id);
    }

    /// Starts a scan over all customers for lost units, because the counter was reset.
    fn start_recheck(&mut self, now: Time) {
        self.counter.reconciliation.start_recheck(now, &mut self.timers);
    }
}
