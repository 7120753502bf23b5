//! Changes of plans, and the removal of idle customers.

use crate::api::{Plan, Time};
use crate::policy::Policy;
use crate::timers::{Timer, TIMER_STEP};

impl Policy {
    /// Replaces the plans, also for known customers.
    pub(crate) fn on_plans_changed(&mut self, now: Time, plans: Vec<Plan>) {
        self.customers.context.plans.clone_from(&plans);
        self.settings.plans = plans;
        for customer in self.customers.iter_full_mut() {
            let plan = &self.settings.plans[customer.plan];
            customer.change_plan(now, &self.counter.health, plan);
        }
    }

    /// Removes customers that have been idle for long, and schedules the next review.
    pub(crate) fn review_customers(&mut self, now: Time) {
        let summary = self.customers.review_expired(now);
        self.work += summary.reviewed;
        self.customers.is_review_scheduled = summary.next_review_at.is_some();
        if let Some(at) = summary.next_review_at {
            self.timers.schedule(at.max(now + TIMER_STEP), Timer::CustomerExpiry);
        }
    }
}
