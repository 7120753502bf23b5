//! Windowed admission, for customers whose quota is too small to be leased by all their gateways.
//!
//! Some requests report the demand to the counter, for several others. The total demand of a window over all
//! gateways, or the customer's demand here until that is known, decides which fraction is admitted.

use super::waiting::UnitsCheck;
use crate::api::{RequestId, Time};
use crate::policy::Policy;
use crate::quota::counter_keys::CounterNumber;

/// Factor on the probability of a call while a recent total is known.
const CALL_FACTOR_AFTER_TOTAL: f64 = 0.2;

impl Policy {
    /// Decides on a request by the demand of its customer. `has_waited`: the request waits no longer for a
    /// reply.
    pub(super) fn check_window(&mut self, now: Time, id: RequestId, has_waited: bool) -> UnitsCheck {
        let is_counter_down = self.counter.is_down(now);
        let draw = self.rng.unit();
        let Some(request) = self.requests.get_mut(&id) else { return UnitsCheck::Unavailable };
        let Some(customer) = self.customers.get_mut(request.customer) else {
            return UnitsCheck::Unavailable;
        };
        let is_first_check = !request.is_demand_considered;
        request.is_demand_considered = true;
        let units = request.units;
        let is_top_class = self.concurrency.is_top_class(request.class);
        let account = &mut customer.accounts[0];
        let is_calling = account.is_calling();
        let call_probability = if account.windowed_limiter().has_recent_total(now) {
            CALL_FACTOR_AFTER_TOTAL * self.counter.call_probability
        } else {
            self.counter.call_probability
        };
        if is_first_check && draw < call_probability && !is_counter_down && !is_calling {
            // The call stands for the requests that make none.
            let (window, amount) = account.start_demand_report(now, units / call_probability);
            let number = CounterNumber::Demand { customer: request.customer, window };
            self.call_counter(now, number, amount);
            return UnitsCheck::Wait;
        }
        if !is_first_check && is_calling && !has_waited {
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
