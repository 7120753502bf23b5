//! Admission on leased units: a request takes its units from all token buckets of its customer, or from none.

use super::waiting::UnitsCheck;
use crate::api::{CustomerId, RequestId, Time};
use crate::policy::Policy;
use crate::quota::counter_keys::{CounterEntry, EPOCH};
use crate::quota::customer::Customer;
use ::quota::CounterHealth;
use smallvec::SmallVec;

/// Seconds of recent demand that a lease covers.
const LEASE_HORIZON_SECONDS: f64 = 1.5;
/// Fraction of a token bucket that is reserved for the class of the highest priority.
const RESERVED_FRACTION: f64 = 0.15;

/// A counter call to be made.
struct LeaseCall {
    /// Index of the account.
    account: usize,
    amount: f64,
}

/// The units that a request needs, and the customer whose accounts supply them.
struct UnitsRequest<'a> {
    now: Time,
    epoch: u64,
    units: f64,
    /// Fraction of the token buckets that is reserved for requests of higher priority.
    reserved_fraction: f64,
    is_counter_down: bool,
    customer: &'a mut Customer,
    /// Counter calls to be made, whether or not the request is admitted.
    calls: SmallVec<[LeaseCall; 2]>,
}

impl UnitsRequest<'_> {
    /// Refills the token buckets. While the counter is down, they switch to local grants.
    fn refill(&mut self, health: &CounterHealth) {
        for account in &mut self.customer.accounts {
            if self.is_counter_down && !account.is_granting_locally() {
                account.grant_locally(self.now, health);
            }
            account.refill(self.now, health);
        }
    }

    /// Probes whether the counter replies again, for accounts with local grants. No request waits for the
    /// reply.
    fn probe_counter(&mut self, health: &CounterHealth) {
        if self.is_counter_down || health.must_defer_calls(self.now) {
            return;
        }
        for (index, account) in self.customer.accounts.iter_mut().enumerate() {
            if account.is_granting_locally() && account.may_call(self.now) {
                let amount = account.start_lease(health, self.epoch, 0.0, LEASE_HORIZON_SECONDS);
                self.calls.push(LeaseCall { account: index, amount });
            }
        }
    }

    /// Takes the units from all accounts, if each has enough.
    fn try_take(&mut self, health: &mut CounterHealth) -> bool {
        let accounts = &mut self.customer.accounts;
        let has_units = accounts.iter().all(|account| account.can_spend(self.units, self.reserved_fraction));
        if has_units {
            for account in accounts {
                account.spend(self.units, health);
            }
        }
        has_units
    }

    /// Leases units for the accounts that have too few. Returns whether the request should wait for them.
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
            let amount = account.start_lease(health, self.epoch, units, LEASE_HORIZON_SECONDS);
            self.calls.push(LeaseCall { account: index, amount });
        }
        true
    }
}

impl Policy {
    /// Takes a request's units from all accounts of its customer, and makes calls to lease missing units.
    pub(super) fn take_leased_units(
        &mut self,
        now: Time,
        customer_id: CustomerId,
        id: RequestId,
    ) -> UnitsCheck {
        let Some(request) = self.requests.get(&id) else { return UnitsCheck::Unavailable };
        let Some(customer) = self.customers.get_mut(customer_id) else { return UnitsCheck::Unavailable };
        // The last units of a token bucket are reserved for the class of the highest priority.
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
        let check = if units_request.try_take(&mut self.counter.health) {
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
            self.call_counter(now, CounterEntry::Leased { customer: customer_id, account, epoch }, amount);
        }
        check
    }
}
