//! Updates of the endpoint list, the end of a restarted host's warm-up, and the removal of gone hosts' state.

use super::slow_start::max_attempts_on_credit;
use crate::api::{Action, HostEntry, HostId, HostListKind, HostState, Span, Time};
use crate::policy::Policy;
use crate::quota::counter_keys::EPOCH;
use crate::timers::Timer;

/// Retention time of the state of a host that accepts no requests and sends no responses.
const HOST_RETENTION: Span = EPOCH;

impl Policy {
    /// Applies an endpoint list or an update to it.
    pub(crate) fn on_host_list(&mut self, now: Time, kind: HostListKind, entries: Vec<HostEntry>) {
        self.hosts.count_warm_time(now);
        match kind {
            HostListKind::Failed => self.schedule_host_poll(now + self.settings.must_poll_within / 8),
            HostListKind::Delta => {}
            HostListKind::Full | HostListKind::Cached => {
                self.hosts.iter_mut().for_each(|host| host.entry.state = HostState::Gone);
            }
        }
        let mut restarted = Vec::new();
        for entry in entries {
            let id = entry.id;
            if self.update_host(now, entry) {
                restarted.push(id);
            }
        }
        for id in self.hosts.rebuild(self.settings.gateway_index, self.settings.gateways) {
            self.timers.schedule(now + HOST_RETENTION, Timer::HostRemoval(id));
        }
        self.grant_initial_credit(&restarted);
        self.pools.recount(self.hosts.entries_and_slots());
        self.concurrency.budget.set_even_share(self.hosts.slots() / self.settings.gateways.max(1) as f64);
        self.concurrency.unblock();
    }

    /// Updates a host from its entry, and returns whether its process has restarted and is warming up.
    fn update_host(&mut self, now: Time, entry: HostEntry) -> bool {
        let id = entry.id;
        let warm_at = entry.started_at.saturating_add(self.settings.warm_up);
        let host = self.hosts.get_or_insert(id);
        let is_restarted = entry.started_at > host.entry.started_at && warm_at > now;
        if is_restarted {
            host.restart(now, entry.started_at, self.rng.unit(), &self.settings);
            self.timers.schedule(warm_at, Timer::HostWarmUp(id));
        }
        host.entry = entry;
        host.refilled_at = now;
        is_restarted
    }

    fn grant_initial_credit(&mut self, restarted: &[HostId]) {
        let max_on_credit = max_attempts_on_credit(&self.settings, self.hosts.subset_count());
        for id in restarted {
            let Some(host) = self.hosts.get_mut(*id) else { continue };
            host.restore_credit(host.tokens / host.traffic_fraction + max_on_credit, max_on_credit);
        }
    }

    /// Marks a host as warm once its warm-up time has passed.
    pub(crate) fn on_host_warm_up(&mut self, now: Time, id: HostId) {
        let Some(host) = self.hosts.get_mut(id) else { return };
        let is_warm =
            host.warming_since.is_some_and(|since| now >= since.saturating_add(self.settings.warm_up));
        if !is_warm {
            return;
        }
        host.warming_since = None;
        if host.is_ready() && host.traffic_fraction >= 1.0 {
            self.hosts.record_warmed_up(now);
        }
        self.concurrency.unblock();
    }

    /// Removes a host that accepts no requests and has sent no responses for [`HOST_RETENTION`], so that the
    /// state stays bounded.
    pub(crate) fn on_host_removal(&mut self, now: Time, id: HostId) {
        let Some(host) = self.hosts.get_mut(id) else { return };
        host.is_removal_scheduled = !host.is_ready();
        if host.is_ready() {
            return;
        }
        let removal_at = host.refilled_at.max(host.last_response_at) + HOST_RETENTION;
        if host.in_flight > 0 || now < removal_at {
            self.timers.schedule(removal_at.max(now + HOST_RETENTION / 4), Timer::HostRemoval(id));
        } else {
            self.hosts.remove(id);
        }
    }

    /// Subscribes to the endpoint list if the poll time has been reached.
    pub(crate) fn poll_hosts(&mut self, now: Time) {
        if now >= self.hosts.next_poll_at {
            self.schedule_host_poll(now + self.settings.must_poll_within / 2);
            self.actions.push(Action::SubscribeToHosts);
        }
    }

    fn schedule_host_poll(&mut self, at: Time) {
        self.hosts.next_poll_at = at;
        if self.settings.must_subscribe {
            self.timers.schedule(at.max(1), Timer::PollHosts);
        }
    }
}
