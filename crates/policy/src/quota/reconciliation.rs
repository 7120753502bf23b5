//! Queue of the customers whose units have to be reconciled with the counter.

use super::account::Account;
use super::customer::Customer;
use crate::api::{CustomerId, Time};
use crate::timers::{Timer, TimerQueue, TIMER_STEP};
use std::collections::VecDeque;

/// Pending reconciliations of single customers, and the progress of a scan over all customers after a counter
/// reset.
#[derive(Default)]
pub(crate) struct ReconciliationQueue {
    customers: VecDeque<CustomerId>,
    /// Next slot of the scan over all customers after a counter reset; `None` if no scan is in progress.
    next_recheck: Option<usize>,
    is_scheduled: bool,
}

impl ReconciliationQueue {
    /// Queues a customer if it has units to reconcile and is not queued already.
    pub fn push(
        &mut self,
        now: Time,
        timers: &mut TimerQueue<Timer>,
        id: CustomerId,
        customer: &mut Customer,
    ) {
        let is_needed = customer.accounts.first().is_some_and(Account::needs_reconciliation);
        if is_needed && !customer.is_reconciliation_pending {
            customer.is_reconciliation_pending = true;
            self.customers.push_back(id);
            self.schedule(now, timers);
        }
    }

    /// Removes and returns the first customer in the queue.
    pub fn pop(&mut self) -> Option<CustomerId> {
        self.customers.pop_front()
    }

    /// Returns the next slot of the scan, if one is in progress.
    pub fn next_recheck(&self) -> Option<usize> {
        self.next_recheck
    }

    /// Sets the next slot of the scan; `None` ends it.
    pub fn set_next_recheck(&mut self, slot: Option<usize>) {
        self.next_recheck = slot;
    }

    /// Starts a scan over all customers, because the counter was reset.
    pub fn start_recheck(&mut self, now: Time, timers: &mut TimerQueue<Timer>) {
        self.next_recheck = Some(0);
        self.schedule(now, timers);
    }

    /// Records that the timer has expired.
    pub fn on_timer(&mut self) {
        self.is_scheduled = false;
    }

    /// Sets the timer for the next reconciliation step, if one is needed.
    pub fn schedule(&mut self, now: Time, timers: &mut TimerQueue<Timer>) {
        let is_pending = !self.customers.is_empty() || self.next_recheck.is_some();
        if is_pending && !self.is_scheduled {
            self.is_scheduled = true;
            timers.schedule(now + TIMER_STEP, Timer::Reconciliation);
        }
    }
}
