//! Windowed admission, for customers whose quota is too small to be leased by all gateways that serve them.
//!
//! A sample of the requests reports the demand to the counter. The fraction to admit is derived from the
//! total demand of a window over all gateways, or from the customer's demand at this gateway until the total
//! is known.

use super::waiting::UnitsCheck;
use crate::api::{RequestId, Time};
use crate::policy::Policy;
use crate::quota::counter_keys::CounterEntry;

/// Factor on the call probability while a recent total is known.
const CALL_FACTOR_AFTER_TOTAL: f64 = 0.2;

impl Policy {
    /// Checks a request against the demand of its customer. `has_wait_expired`: the request may no longer
    /// wait for a reply.
    pub(super) fn check_windowed_admission(
        &mut self,
        now: Time,
        id: RequestId,
        has_wait_expired: bool,
    ) -> UnitsCheck {
        let is_counter_down = self.counter.is_down(now);
        let random = self.rng.unit();
        let Some(request) = self.requests.get_mut(&id) else { return UnitsCheck::Unavailable };
        let Some(customer) = self.customers.get_mut(request.customer) else {
            return UnitsCheck::Unavailable;
        };
        let is_first_check = !request.is_demand_report_decided;
        request.is_demand_report_decided = true;
        let units = request.units;
        let is_top_class = self.concurrency.is_top_class(request.class);
        let account = &mut customer.accounts[0];
        let is_calling = account.is_calling();
        let call_probability = if account.windowed_limiter().has_recent_total(now) {
            CALL_FACTOR_AFTER_TOTAL * self.counter.call_probability
        } else {
            self.counter.call_probability
        };
        if is_first_check && random < call_probability && !is_counter_down && !is_calling {
            // The amount is scaled up to represent the requests that make no call.
            let (window, amount) = account.start_demand_report(now, units / call_probability);
            let entry = CounterEntry::Demand { customer: request.customer, window };
            self.call_counter(now, entry, amount);
            return UnitsCheck::Wait;
        }
        if !is_first_check && is_calling && !has_wait_expired {
            return UnitsCheck::Wait;
        }
        self.admission.record_windowed_demand(units, is_top_class);
        let top_class_fraction = self.admission.top_class_fraction();
        let limiter = account.windowed_limiter();
        let admitted_fraction = limiter.admission_probability(now, is_top_class, top_class_fraction);
        if limiter.admit(units, admitted_fraction) {
            UnitsCheck::Taken
        } else {
            UnitsCheck::Unavailable
        }
    }
}
