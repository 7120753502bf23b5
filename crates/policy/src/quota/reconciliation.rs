//! The customers whose units have to be reconciled with the counter.

use super::account::Account;
use super::customer::Customer;
use crate::api::{CustomerId, Time};
use crate::timers::{Timer, TimerQueue, TIMER_STEP};
use std::collections::VecDeque;

/// Pending reconciliations: of single customers, and a scan over all after a reset of the counter.
#[derive(Default)]
pub(crate) struct ReconciliationQueue {
    customers: VecDeque<CustomerId>,
    /// The slot from which on customers are yet to be checked after a reset of the counter.
    next_recheck: Option<usize>,
    is_scheduled: bool,
}

impl ReconciliationQueue {
    /// Queues a customer if units have yet to be added to the counter, unless it is queued already.
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

    /// Removes and returns the customer that was queued first.
    pub fn pop(&mut self) -> Option<CustomerId> {
        self.customers.pop_front()
    }

    /// Returns the slot at which the scan continues, if there is one.
    pub fn next_recheck(&self) -> Option<usize> {
        self.next_recheck
    }

    /// Sets the slot at which the scan continues; `None` ends it.
    pub fn set_next_recheck(&mut self, slot: Option<usize>) {
        self.next_recheck = slot;
    }

    /// Begins a scan over all customers, because the counter was reset.
    pub fn start_recheck(&mut self, now: Time, timers: &mut TimerQueue<Timer>) {
        self.next_recheck = Some(0);
        self.schedule(now, timers);
    }

    /// Notes that the timer has expired.
    pub fn on_timer(&mut self) {
        self.is_scheduled = false;
    }

    /// Sets the timer for the next reconciliation, if any is pending.
    pub fn schedule(&mut self, now: Time, timers: &mut TimerQueue<Timer>) {
        let is_pending = !self.customers.is_empty() || self.next_recheck.is_some();
        if is_pending && !self.is_scheduled {
            self.is_scheduled = true;
            timers.schedule(now + TIMER_STEP, Timer::Reconciliation);
        }
    }
}
