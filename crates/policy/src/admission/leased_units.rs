//! Admission on leased units: a request takes its units from all token buckets of its customer, or none.

use super::waiting::UnitsCheck;
use crate::api::{CustomerId, RequestId, Time};
use crate::policy::Policy;
use crate::quota::counter_keys::{CounterNumber, EPOCH};
use crate::quota::customer::Customer;
use ::quota::CounterHealth;
use smallvec::SmallVec;

/// Seconds of recent demand that a lease covers.
const LEASE_HORIZON: f64 = 1.5;
/// Fraction of a token bucket that is reserved for the class of the highest priority.
const RESERVED_FRACTION: f64 = 0.15;

/// A call to start.
struct LeaseCall {
    /// Index of the account.
    account: usize,
    amount: f64,
}

/// The units that a request needs, and what they are taken from.
struct UnitsRequest<'a> {
    now: Time,
    epoch: u64,
    units: f64,
    /// Fraction of the token buckets that the request may not touch.
    reserved_fraction: f64,
    is_counter_down: bool,
    customer: &'a mut Customer,
    /// Calls to start, whatever becomes of the request.
    calls: SmallVec<[LeaseCall; 2]>,
}

impl UnitsRequest<'_> {
    /// Refills the token buckets. Without the counter they grant units locally.
    fn refill(&mut self, health: &CounterHealth) {
        for account in &mut self.customer.accounts {
            if self.is_counter_down && !account.is_granting_locally() {
                account.grant_locally(self.now, health);
            }
            account.refill(self.now, health);
        }
    }

    /// Checks whether the counter replies again, for accounts that grant units locally. Nothing waits for the
    /// reply.
    fn probe_counter(&mut self, health: &CounterHealth) {
        if self.is_counter_down || health.must_defer_calls(self.now) {
            return;
        }
        for (index, account) in self.customer.accounts.iter_mut().enumerate() {
            if account.is_granting_locally() && account.may_call(self.now) {
                let amount = account.start_lease(health, self.epoch, 0.0, LEASE_HORIZON);
                self.calls.push(LeaseCall { account: index, amount });
            }
        }
    }

    /// Takes the units from all accounts, if all have them.
    fn take(&mut self, health: &mut CounterHealth) -> bool {
        let accounts = &mut self.customer.accounts;
        let has_units = accounts.iter().all(|account| account.can_spend(self.units, self.reserved_fraction));
        if has_units {
            for account in accounts {
                account.spend(self.units, health);
            }
        }
        has_units
    }

    /// Leases units for the accounts that are short of them. Returns whether the request should wait.
    fn lease_missing(&mut self, health: &CounterHealth) -> bool {
        let (now, units, reserved) = (self.now, self.units, self.reserved_fraction);
        let accounts = &mut self.customer.accounts;
        if accounts.iter().any(|account| account.is_granting_locally() && !account.can_spend(units, reserved))
        {
            return false;
        }
        for (index, account) in accounts.iter_mut().enumerate() {
            if account.is_granting_locally() || account.spendable() >= units || account.is_calling() {
                continue;
            }
            if self.is_counter_down || !account.may_call(now) || !account.can_lease(units, reserved) {
                return false;
            }
            let amount = account.start_lease(health, self.epoch, units, LEASE_HORIZON);
            self.calls.push(LeaseCall { account: index, amount });
        }
        true
    }
}

impl Policy {
    /// Takes a request's units from all accounts of its customer, and starts calls for units that are short.
    pub(super) fn take_leased_units(
        &mut self,
        now: Time,
        customer_id: CustomerId,
        id: RequestId,
    ) -> UnitsCheck {
        let Some(request) = self.requests.get(&id) else { return UnitsCheck::Unavailable };
        let Some(customer) = self.customers.get_mut(customer_id) else { return UnitsCheck::Unavailable };
        // The last units of a token bucket are for the class of the highest priority.
        let is_top_class = self.concurrency.is_top_class(request.class);
        let epoch = now / EPOCH;
        let mut units_request = UnitsRequest {
            now,
            epoch,
            units: request.units,
            reserved_fraction: if is_top_class { 0.0 } else { RESERVED_FRACTION },
            is_counter_down: self.counter.is_down(now),
            customer,
            calls: SmallVec::new(),
        };
        units_request.refill(&self.counter.health);
        units_request.probe_counter(&self.counter.health);
        let check = if units_request.take(&mut self.counter.health) {
            UnitsCheck::Taken
        } else if units_request.lease_missing(&self.counter.health) {
            UnitsCheck::Wait
        } else {
            UnitsCheck::Unavailable
        };
        let UnitsRequest { customer, calls, .. } = units_request;
        if check == UnitsCheck::Taken && customer.accounts.iter().any(|account| account.is_granting_locally())
        {
            self.counter.reconciliation.push(now, &mut self.timers, customer_id, customer);
        }
        if let Some(call) = calls.first() {
            self.counter.health.record_lease(now, customer.accounts[call.account].gateway_set());
        }
        for LeaseCall { account, amount } in calls {
            self.call_counter(now, CounterNumber::Leased { customer: customer_id, account, epoch }, amount);
        }
        check
    }
}
