//! Background calls to the counter: heartbeats, reconciliation, and the scan over all customers after a
//! counter reset.

use super::account::Account;
use super::counter_keys::{CounterEntry, EPOCH};
use crate::api::{CustomerId, Time};
use crate::policy::Policy;
use crate::timers::{Timer, TIMER_STEP};
use ::quota::HeartbeatCall;

/// Maximum number of slots examined per step of the scan after a counter reset.
const MAX_RECHECKED: usize = 64;
/// Maximum number of calls per step of the reconciliation or the scan.
const MAX_CALLS: usize = 2;

impl Policy {
    /// Sends heartbeats, which show the other gateways that this gateway reaches the counter.
    pub(crate) fn send_heartbeat(&mut self, now: Time) {
        if !self.counter.is_used || self.settings.gateways < 2 {
            return;
        }
        if self.counter.is_down(now) {
            return self.timers.schedule(now + TIMER_STEP, Timer::Heartbeat);
        }
        for HeartbeatCall { group, epoch, amount } in self.counter.health.heartbeat_calls(now) {
            self.call_counter(now, CounterEntry::Heartbeat { group, epoch }, amount);
        }
        self.timers.schedule(now + self.counter.health.heartbeat_interval(), Timer::Heartbeat);
    }

    /// Adds locally granted units to the counter, and continues the scan after a counter reset: a few
    /// customers per step, until none is pending.
    pub(crate) fn reconcile(&mut self, now: Time) {
        self.counter.reconciliation.on_timer();
        if !self.counter.is_down(now) {
            for _ in 0..self.counter.health.background_calls(now).clamp(1, MAX_CALLS) {
                let Some(customer) = self.counter.reconciliation.pop() else { break };
                if !self.reconcile_customer(now, customer) {
                    break;
                }
            }
            self.continue_recheck(now);
        }
        self.counter.reconciliation.schedule(now, &mut self.timers);
    }

    /// Adds a customer's units to the counter. Returns whether the customer is known.
    fn reconcile_customer(&mut self, now: Time, customer_id: CustomerId) -> bool {
        let epoch = now / EPOCH;
        let Some(customer) = self.customers.get_mut(customer_id) else { return false };
        let account = customer.accounts.first_mut().filter(|account| account.needs_reconciliation());
        match account.and_then(Account::pending_reconciliation) {
            Some(reconciliation) => {
                let amount = reconciliation.start_call(&self.counter.health, epoch);
                self.call_counter(now, CounterEntry::Reconciled { customer: customer_id, epoch }, amount);
            }
            // The units were refunded in the meantime. The customer is queued again once it has other units
            // to reconcile.
            None => customer.is_reconciliation_pending = false,
        }
        true
    }

    /// Checks customers, including idle ones, for units lost by a counter reset: a few per step.
    fn continue_recheck(&mut self, now: Time) {
        let epoch = now / EPOCH;
        let mut next = self.counter.reconciliation.next_recheck();
        let mut calls_left = self.counter.health.background_calls(now).min(MAX_CALLS);
        let mut checked = 0;
        while let Some(slot) = next {
            if calls_left == 0 || checked == MAX_RECHECKED {
                break;
            }
            let scanned = self.customers.scan(now, slot, epoch);
            next = scanned.next;
            checked += 1;
            let Some((customer_id, customer)) = scanned.customer else { continue };
            let rechecks: Vec<(usize, f64)> = customer.start_rechecks(epoch).collect();
            self.counter.reconciliation.push(now, &mut self.timers, customer_id, customer);
            calls_left -= usize::from(!rechecks.is_empty());
            for (account, amount) in rechecks {
                self.call_counter(
                    now,
                    CounterEntry::Leased { customer: customer_id, account, epoch },
                    amount,
                );
            }
        }
        self.counter.reconciliation.set_next_recheck(next);
    }
}
