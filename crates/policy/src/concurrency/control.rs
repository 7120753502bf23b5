//! The end of a control period: concurrency limits and reservations are adjusted.

use crate::api::Time;
use crate::policy::Policy;
use crate::time::seconds_between;
use crate::timers::{Timer, CONTROL_PERIOD};

impl Policy {
    /// Ends a control period and starts the next one.
    pub(crate) fn on_control_period(&mut self, now: Time) {
        self.hosts.end_warm_rate_period(now);
        self.adjust_host_limits(now);
        let share = self.concurrency.budget.adjust_share();
        self.pools.set_share(share);
        let uptime = seconds_between(self.started_at, now);
        self.concurrency.adjust_reservations(&self.settings.classes, uptime);
        self.timers.schedule(now + CONTROL_PERIOD, Timer::ControlPeriod);
    }

    /// Adjusts the concurrency limits of hosts that have responded to or rejected an attempt in this period.
    fn adjust_host_limits(&mut self, now: Time) {
        let budget = &mut self.concurrency.budget;
        let is_demand_unmet = std::mem::take(&mut budget.have_requests_waited);
        for id in std::mem::take(&mut budget.hosts_to_adjust) {
            let Some(host) = self.hosts.get_mut(id) else { continue };
            host.is_limit_adjustment_scheduled = false;
            let change = host.limit.adjust(now, is_demand_unmet) / self.settings.gateways.max(1) as f64;
            if host.is_ready() {
                budget.change_even_share(change);
                self.pools.change_slots(host.entry.pools, change);
            }
        }
    }
}
