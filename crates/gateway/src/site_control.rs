//! Connects the gateway's event loop to the site failover controller: events are reported to the controller, and hosts
//! of the sites that it excludes are reported to the decision module as draining. Without sites in the plan it does
//! nothing.

use policy::api::{
    AttemptEnded, HostEntry, HostListKind, HostState, RejectReason, Request, RequestId, Settings, Time,
};
use site_failover::{FailoverController, FailoverPlan, FailoverUpdate, GatewayIdentity, SiteSet};

/// The site failover of this gateway.
pub(crate) struct SiteControl {
    controller: FailoverController,
    class_count: usize,
    plan_count: usize,
    /// The latest admission fractions, by class and plan.
    admission_fractions: Vec<f64>,
    /// Expiry of the event loop's timer for the next tick.
    tick_timer: Time,
}

/// A change of a timer's expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TimerMove {
    pub from: Time,
    pub to: Time,
}

impl SiteControl {
    /// Creates the site failover with all sites healthy.
    pub fn new(plan: &FailoverPlan, settings: &Settings, seed: u64, now: Time) -> SiteControl {
        let identity = GatewayIdentity {
            gateways: settings.gateways,
            gateway_index: settings.gateway_index,
            zone: settings.zone,
        };
        SiteControl {
            controller: FailoverController::new(plan.clone(), identity, seed, now),
            class_count: settings.classes.len(),
            plan_count: settings.plans.len(),
            admission_fractions: Vec::new(),
            tick_timer: Time::MAX,
        }
    }

    /// Returns whether the plan has no sites, so that there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.controller.is_idle()
    }

    /// Puts another version of the plan into effect.
    pub fn apply_plan(&mut self, plan: &FailoverPlan, now: Time) {
        self.controller.apply_plan(plan.clone(), now);
    }

    /// Reports an endpoint list to the controller, and marks the hosts of excluded sites in it as draining.
    pub fn on_host_list(&mut self, now: Time, kind: HostListKind, entries: &mut [HostEntry]) {
        self.controller.on_host_list(now, kind, entries);
        self.drain_excluded(entries);
    }

    /// Marks the hosts of excluded sites as draining. Entries of hosts that are draining or removed stay as they are.
    pub fn drain_excluded(&self, entries: &mut [HostEntry]) {
        if self.is_idle() {
            return;
        }
        for entry in entries.iter_mut().filter(|entry| entry.state == HostState::Ready) {
            if self.controller.is_excluded(entry.id) {
                entry.state = HostState::Draining;
            }
        }
    }

    /// Reports a request to the controller, and returns the sites that it may be forwarded to. The sites are
    /// derived from the client's identifier of the request, so that all retries of the request get the same ones.
    pub fn on_request(
        &mut self,
        now: Time,
        request: &Request,
        client_id: u64,
        is_idempotent: bool,
    ) -> SiteSet {
        if self.is_idle() {
            return SiteSet::ALL;
        }
        if self.has_class_and_plan(request.class, request.plan) {
            self.controller.on_request_received(request.class, request.plan);
        }
        self.controller.allowed_sites(now, RequestId(client_id), is_idempotent)
    }

    fn has_class_and_plan(&self, class: usize, plan: usize) -> bool {
        class < self.class_count && plan < self.plan_count
    }

    /// Reports the end of an attempt to the controller.
    pub fn on_attempt_ended(&mut self, now: Time, ended: &AttemptEnded) {
        self.controller.on_attempt_ended(now, ended);
    }

    /// Reports to the controller that a request was rejected or failed.
    pub fn on_rejected(&mut self, class: usize, plan: usize, reason: RejectReason) {
        if !self.is_idle() && self.has_class_and_plan(class, plan) {
            self.controller.on_request_rejected(reason);
        }
    }

    /// Reports to the controller whether discovery is reachable.
    pub fn on_discovery_reachable(&mut self, now: Time, is_reachable: bool) {
        self.controller.on_discovery_status(now, !is_reachable);
    }

    /// Returns whether the controller needs a tick now. It needs one more after the last site has been removed from the
    /// plan, to make the hosts of that site available again.
    pub fn needs_tick(&self, now: Time) -> bool {
        now >= self.controller.next_tick_at()
    }

    /// Runs a tick of the controller, and returns its decisions if any have changed.
    pub fn tick(&mut self, now: Time, is_counter_degraded: bool) -> Option<FailoverUpdate> {
        self.controller.on_counter_status(now, is_counter_degraded);
        let update = self.controller.tick(now)?;
        if let Some(fractions) = &update.admission_fractions {
            self.admission_fractions.clone_from(fractions);
        }
        Some(update)
    }

    /// Returns the latest admission fractions, for a restarted decision module.
    pub fn admission_fractions(&self) -> Vec<f64> {
        self.admission_fractions.clone()
    }

    /// Returns how the timer of the next tick has to be moved; `None` if it stays.
    pub fn move_timer(&mut self, now: Time) -> Option<TimerMove> {
        let to = self.controller.next_tick_at().max(now + 1);
        if to == self.tick_timer {
            return None;
        }
        let from = std::mem::replace(&mut self.tick_timer, to);
        (to != Time::MAX).then_some(TimerMove { from, to })
    }
}
