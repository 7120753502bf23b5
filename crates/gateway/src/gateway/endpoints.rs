//! Endpoint lists, reloads and site failover: the inputs that determine which hosts requests may be forwarded to.

use super::{DecisionModule, Gateway, Timer};
use crate::crash_points::{self, CrashPoint};
use crate::discovery::endpoint_list::EndpointList;
use crate::lifecycle::reload::Reload;
use crate::request_routing::OperatorsError;
use config_language::model::Operators;
use policy::api::{Event, HostListKind, HostState};
use runtime::Env;
use site_failover::FailoverUpdate;

impl<E: Env, D: DecisionModule> Gateway<E, D> {
    /// Applies a list from discovery. While the cached list has not been used, a list that holds only changes is merged
    /// into it, and both are reported as one: if the cached list were reported first, queued requests would be
    /// forwarded to hosts that are draining by now.
    pub(super) fn on_endpoint_list(&mut self, list: EndpointList) {
        match self.cached_endpoints.take() {
            Some(cached) if !list.is_complete => {
                self.apply_endpoints(&cached.with_changes(list), HostListKind::Cached);
            }
            _ if list.is_complete => self.apply_endpoints(&list, HostListKind::Full),
            _ => self.apply_endpoints(&list, HostListKind::Delta),
        }
        self.set_ready();
    }

    /// Uses the cached list if discovery has not sent one within [`super::CACHED_LIST_DELAY`].
    pub(super) fn use_cached_endpoints(&mut self) {
        if let Some(cached) = self.cached_endpoints.take() {
            self.apply_endpoints(&cached, HostListKind::Cached);
        }
        self.set_ready();
    }

    pub(super) fn apply_endpoints(&mut self, list: &EndpointList, kind: HostListKind) {
        if list.invalid_entries > 0 && self.invalid_entries.on_failure(self.env.now()).is_some() {
            tracing::warn!(entries = list.invalid_entries, "endpoint list has invalid entries");
        }
        let mut entries = self.upstream.update(list, kind, &self.router);
        self.sites.on_host_list(self.env.now(), kind, &mut entries);
        self.update_pools_with_hosts();
        self.notify(Event::HostList { kind, entries });
        self.report_finished();
    }

    /// Applies a reloaded configuration, completely or not at all.
    pub(super) fn on_reload(&mut self, reload: Reload) {
        let Reload { counter, operators, done } = reload;
        let outcome = self.reload_operators(operators);
        crash_points::crash_if_armed(CrashPoint::ReloadHalf);
        if outcome.is_ok() {
            self.counter.move_to(counter);
        }
        // The task that reloads the configuration may have ended.
        let _ = done.send(outcome);
    }

    /// Applies another version of the operators' files completely, or changes nothing if it is invalid. Requests in
    /// flight keep their pools; attempts that wait for a connection to a host that has left these pools are cancelled.
    /// Files with the same contents as before are not reported to the decision module.
    fn reload_operators(&mut self, operators: Operators) -> Result<(), OperatorsError> {
        if operators == self.operators {
            return Ok(());
        }
        self.router.reload(&operators)?;
        self.operators = operators;
        tracing::info!(routes = self.router.len(), "operators' files are in effect");
        let plans = self.router.plans().to_vec();
        self.settings.plans.clone_from(&plans);
        self.notify(Event::PlansChanged(plans));
        let now = self.env.now();
        let mut ready = self.upstream.ready_entries();
        self.sites.apply_plan(self.router.failover_plan(), now);
        self.sites.on_host_list(now, HostListKind::Full, &mut ready);
        let mut entries = self.upstream.assign_pools(&self.router);
        self.sites.drain_excluded(&mut entries);
        self.update_pools_with_hosts();
        self.notify(Event::HostList { kind: HostListKind::Delta, entries });
        self.cancel_misrouted();
        self.report_finished();
        Ok(())
    }

    /// Cancels attempts that wait for a connection to a host that is no longer in any of their pools.
    fn cancel_misrouted(&mut self) {
        for (key, pools) in self.upstream.waiting_attempts() {
            let (id, _) = key;
            let is_misrouted = self.requests.get(&id).is_some_and(|request| {
                let route = &request.route;
                route.pools != 0 && pools & (route.pools | route.fallback) == 0
            });
            if is_misrouted {
                self.upstream.cancel_unwritten(key);
            }
        }
    }

    /// Runs a tick of the site failover controller if it needs one now, and sets the timer for the next.
    pub(super) fn update_sites(&mut self) {
        let now = self.env.now();
        if self.sites.needs_tick(now) {
            let is_counter_degraded = self.module.counter_report(now).state.is_degraded();
            if let Some(update) = self.sites.tick(now, is_counter_degraded) {
                self.apply_failover(update);
            }
        }
        if let Some(timer) = self.sites.move_timer(now) {
            self.timers.cancel(timer.from, Timer::Sites);
            self.timers.set(timer.to, Timer::Sites);
        }
    }

    /// Applies the controller's decisions. Attempts that wait for a connection to a host that is now excluded are
    /// cancelled.
    fn apply_failover(&mut self, update: FailoverUpdate) {
        for transition in &update.transitions {
            tracing::info!(%transition, "site failover");
        }
        if !update.changed_hosts.is_empty() {
            let mut entries = self.upstream.ready_entries();
            entries.retain(|entry| update.changed_hosts.contains(&entry.id));
            self.sites.drain_excluded(&mut entries);
            for entry in entries.iter().filter(|entry| entry.state == HostState::Draining) {
                self.upstream.drop_waiting(entry.id);
            }
            self.update_pools_with_hosts();
            self.notify(Event::HostList { kind: HostListKind::Delta, entries });
        }
        if let Some(fractions) = update.admission_fractions {
            self.notify(Event::AdmissionFractionsChanged(fractions));
        }
        self.report_finished();
    }

    /// Reports to the router which pools have a host that accepts requests. The router needs this for requests that are
    /// restricted to some sites.
    fn update_pools_with_hosts(&mut self) {
        if !self.sites.is_idle() {
            let mut entries = self.upstream.ready_entries();
            self.sites.drain_excluded(&mut entries);
            let ready = entries.iter().filter(|entry| entry.state == HostState::Ready);
            self.router.set_pools_with_hosts(ready.map(|entry| entry.pools));
        }
    }
}
