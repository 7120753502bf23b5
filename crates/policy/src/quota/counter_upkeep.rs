//! Calls to the counter that no request waits for: heartbeats, reconciliation, and the check of all customers
//! after a reset of the counter.

use super::account::Account;
use super::counter_keys::{CounterNumber, EPOCH};
use crate::api::{CustomerId, Time};
use crate::policy::Policy;
use crate::timers::{Timer, TIMER_STEP};
use ::quota::HeartbeatCall;

/// Slots that one step of the check after a reset looks at.
const MAX_RECHECKED: usize = 64;
/// Calls that one step of a reconciliation or of the check makes.
const MAX_CALLS: usize = 2;

impl Policy {
    /// Shows the other gateways by the counter that this gateway reaches it.
    pub(crate) fn send_heartbeat(&mut self, now: Time) {
        if !self.counter.is_used || self.settings.gateways < 2 {
            return;
        }
        if self.counter.is_down(now) {
            return self.timers.schedule(now + TIMER_STEP, Timer::Heartbeat);
        }
        for HeartbeatCall { group, epoch, amount } in self.counter.health.heartbeat_calls(now) {
            self.call_counter(now, CounterNumber::Heartbeat { group, epoch }, amount);
        }
        self.timers.schedule(now + self.counter.health.heartbeat_interval(), Timer::Heartbeat);
    }

    /// Adds units to the counter that were granted locally, and continues the check after a reset: some
    /// customers a step, until none is pending.
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
                self.call_counter(now, CounterNumber::Reconciled { customer: customer_id, epoch }, amount);
            }
            // The units were given back meanwhile. The customer is queued again once there are others.
            None => customer.is_reconciliation_pending = false,
        }
        true
    }

    /// Checks what a counter that was reset has lost, some customers a step, including idle ones.
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
                    CounterNumber::Leased { customer: customer_id, account, epoch },
                    amount,
                );
            }
        }
        self.counter.reconciliation.set_next_recheck(next);
    }
}
