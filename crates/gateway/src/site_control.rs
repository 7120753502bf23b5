//! Between the gateway and the controller of its sites: what the gateway sees is told to that, and what it withholds
//! is put into the lines of hosts that the decision module is told. Without sites nothing is done and nothing falls
//! due.

use policy::api::{
    AttemptEnded, HostEntry, HostListKind, HostState, RejectReason, Request, RequestId, Settings, Time,
};
use site_failover::{FailoverController, FailoverPlan, FailoverUpdate, GatewayIdentity, SiteSet};

/// The sites of this gateway.
pub(crate) struct Watch {
    sites: FailoverController,
    /// Classes and plans that the platform has.
    cells: (usize, usize),
    /// What of requests is let in, as it was said last.
    keep: Vec<f64>,
    /// When the next look is, as the timers know.
    armed: Time,
}

impl Watch {
    /// All is held for whole.
    pub fn new(plan: &FailoverPlan, settings: &Settings, seed: u64, now: Time) -> Watch {
        let Settings { gateways, gateway_index: me, zone, .. } = *settings;
        let sites = FailoverController::new(
            plan.clone(),
            GatewayIdentity { gateways, gateway_index: me, zone },
            seed,
            now,
        );
        let cells = (settings.classes.len(), settings.plans.len());
        Watch { sites, cells, keep: Vec::new(), armed: Time::MAX }
    }

    /// There are none.
    pub fn is_idle(&self) -> bool {
        self.sites.is_idle()
    }

    /// Another version of the plan.
    pub fn turn(&mut self, plan: &FailoverPlan, now: Time) {
        self.sites.apply_plan(plan.clone(), now);
    }

    /// Takes in what discovery tells, and withholds.
    pub fn on_list(&mut self, now: Time, kind: HostListKind, entries: &mut [HostEntry]) {
        self.sites.on_host_list(now, kind, entries);
        self.withhold(entries);
    }

    /// Hosts of lost sites drain, whatever discovery says of them; that they drain or are gone counts always.
    pub fn withhold(&self, entries: &mut [HostEntry]) {
        if self.is_idle() {
            return;
        }
        let ready = entries.iter_mut().filter(|entry| entry.state == HostState::Ready);
        ready.filter(|entry| self.sites.is_excluded(entry.id)).for_each(|entry| {
            entry.state = HostState::Draining;
        });
    }

    /// A request has come in. Where it may go: the same for each of its tries, so it is drawn by its client's id.
    pub fn on_asked(&mut self, now: Time, request: &Request, client_id: u64, is_safe: bool) -> SiteSet {
        if self.is_idle() {
            return SiteSet::ALL;
        }
        if request.class < self.cells.0 && request.plan < self.cells.1 {
            self.sites.on_request_received(request.class, request.plan);
        }
        self.sites.allowed_sites(now, RequestId(client_id), is_safe)
    }

    /// An attempt has ended.
    pub fn on_ended(&mut self, now: Time, ended: &AttemptEnded) {
        self.sites.on_attempt_ended(now, ended);
    }

    /// A request was given up.
    pub fn on_given_up(&mut self, class: usize, plan: usize, why: RejectReason) {
        if !self.is_idle() && class < self.cells.0 && plan < self.cells.1 {
            self.sites.on_request_rejected(why);
        }
    }

    /// Discovery does not answer, or does again.
    pub fn on_discovery(&mut self, now: Time, silent: bool) {
        self.sites.on_discovery_status(now, silent);
    }

    /// Whether it is time to look; once more after the last site has left the plan, to let go of what is withheld.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.sites.next_tick_at()
    }

    /// Looks; gives what has changed.
    pub fn tick(&mut self, now: Time, counter_in_doubt: bool) -> Option<FailoverUpdate> {
        self.sites.on_counter_status(now, counter_in_doubt);
        let turn = self.sites.tick(now)?;
        turn.admission_fractions.iter().for_each(|keep| self.keep.clone_from(keep));
        Some(turn)
    }

    /// What of requests is let in, for a module that begins anew.
    pub fn keep(&self) -> Vec<f64> {
        self.keep.clone()
    }

    /// When to look next, if the timers do not know: the moment that they knew, and the one that counts.
    pub fn arm(&mut self, now: Time) -> Option<(Time, Time)> {
        let due = self.sites.next_tick_at().max(now + 1);
        if due == self.armed {
            return None;
        }
        Some((std::mem::replace(&mut self.armed, due), due)).filter(|_| due != Time::MAX)
    }
}
