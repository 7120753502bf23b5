//! Everything that a gateway knows about its sites, and the queries that concern more than one site.

use policy::api::{Span, Time};

use super::gateway_identity::GatewayIdentity;
use super::host_inventory::HostInventory;
use crate::health::{is_unreachable, AttemptStats, SiteHealth, SiteObservations};
use crate::plan::FailoverPlan;
use crate::site_state::SiteState;
use crate::status::SiteStatus;

/// Lower bound of the fleet's size where it is used as a divisor.
const MIN_FLEET_SIZE: f64 = 1e-9;

/// Since when parts of the control plane are in doubt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ControlPlaneDoubt {
    pub discovery_silent_since: Option<Time>,
    pub counter_doubtful_since: Option<Time>,
}

impl ControlPlaneDoubt {
    /// Returns the time since which any part is in doubt, or `None` if none is.
    pub fn since(&self) -> Option<Time> {
        self.discovery_silent_since.into_iter().chain(self.counter_doubtful_since).min()
    }

    fn is_everything_in_doubt(&self) -> bool {
        self.discovery_silent_since.is_some() && self.counter_doubtful_since.is_some()
    }
}

/// What a gateway knows about the sites of its plan. Lists by site have one more element for the hosts that belong to
/// no site, unless stated otherwise.
#[derive(Clone, Debug)]
pub(super) struct SiteTable {
    pub identity: GatewayIdentity,
    pub plan: FailoverPlan,
    pub inventory: HostInventory,
    pub observations: Vec<SiteObservations>,
    /// States of the sites of the plan only.
    pub states: Vec<SiteState>,
    pub control_plane: ControlPlaneDoubt,
}

impl SiteTable {
    /// Returns a table without sites.
    pub fn new(identity: GatewayIdentity) -> SiteTable {
        SiteTable {
            identity,
            plan: FailoverPlan::default(),
            inventory: HostInventory::default(),
            observations: Vec::new(),
            states: Vec::new(),
            control_plane: ControlPlaneDoubt::default(),
        }
    }

    /// Applies another plan. Sites that keep their names keep their observations and states.
    pub fn apply_plan(&mut self, plan: FailoverPlan, seed: u64, now: Time) {
        let mut observations = Vec::new();
        let mut states = Vec::new();
        for (number, site) in plan.sites.iter().enumerate() {
            if let Some(old) = self.plan.sites.iter().position(|old| old.name == site.name) {
                observations.push(std::mem::take(&mut self.observations[old]));
                states.push(self.states[old].clone());
            } else {
                observations.push(SiteObservations::default());
                states.push(SiteState::new(now, self.identity.first_turn(number, seed)));
            }
        }
        observations.push(SiteObservations::default());
        self.observations = observations;
        self.states = states;
        self.inventory.apply_plan(&plan);
        self.plan = plan;
    }

    /// Returns whether the plan has no sites.
    pub fn is_empty(&self) -> bool {
        self.plan.sites.is_empty()
    }

    /// Adds the attempts since the last tick to the observations, and returns them by site.
    pub fn tick_observations(&mut self, elapsed: Span) -> Vec<AttemptStats> {
        self.observations.iter_mut().map(|site| site.tick(elapsed)).collect()
    }

    /// Updates the listings and the capacity fractions from the latest host list, and returns whether the list or the
    /// plan has changed since the last call.
    pub fn refresh_hosts(&mut self, now: Time) -> bool {
        let has_changed = self.inventory.refresh(now);
        self.update_capacity_fractions();
        self.inventory.record_emptied(now);
        has_changed
    }

    /// Updates the sites' fractions of the fleet's capacity while all sites receive full load and none fails. A lost
    /// site thus keeps its fraction, which determines how many requests its failover targets take over.
    fn update_capacity_fractions(&mut self) {
        let total = self.inventory.total_size();
        let is_undisturbed = self.states.iter().all(SiteState::has_full_traffic)
            && !self.observations.iter().any(SiteObservations::has_failure_run);
        let is_any_emptied = (0..self.states.len())
            .any(|site| self.inventory.ready(site).is_empty() && self.has_capacity_fraction(site));
        let is_none_known = (0..self.states.len()).all(|site| !self.has_capacity_fraction(site));
        if is_undisturbed && !is_any_emptied && total > 0.0 || is_none_known {
            for site in 0..self.states.len() {
                self.update_capacity_fraction(site);
            }
        }
    }

    /// Sets a site's fraction of the fleet's capacity to that of its ready hosts.
    pub fn update_capacity_fraction(&mut self, site: usize) {
        let total = self.inventory.total_size().max(MIN_FLEET_SIZE);
        self.states[site].set_capacity_fraction(self.inventory.listings()[site].size / total);
    }

    /// Returns whether the site's fraction of the fleet's capacity is known, as it has had ready hosts.
    pub fn has_capacity_fraction(&self, site: usize) -> bool {
        self.states[site].capacity_fraction() != 0.0
    }

    /// Returns whether a site, or the hosts that belong to no site, receive load.
    fn receives_load(&self, site: usize) -> bool {
        self.states.get(site).is_none_or(|state| !state.is_excluded())
    }

    /// Returns whether this gateway cannot reach any host that receives load. No site may be excluded then.
    pub fn is_gateway_isolated(&self, now: Time) -> bool {
        let mut receiving = (0..self.observations.len())
            .filter(|site| self.receives_load(*site) && !self.inventory.ready(*site).is_empty())
            .peekable();
        receiving.peek().is_some() && receiving.all(|site| self.is_unreachable(site, now))
    }

    /// Returns whether this gateway fails to reach a site, whatever other sites do.
    pub fn is_unreachable(&self, site: usize, now: Time) -> bool {
        is_unreachable(&self.observations[site], now, self.inventory.ready(site).len())
    }

    /// Returns whether there are ready hosts outside a site that receive load.
    pub fn is_another_available(&self, site: usize) -> bool {
        (0..self.observations.len()).any(|other| {
            other != site && !self.inventory.ready(other).is_empty() && self.receives_load(other)
        })
    }

    /// Returns whether more than one site is recovering.
    pub fn are_several_recovering(&self) -> bool {
        let is_recovering = |state: &&SiteState| state.health() == SiteHealth::Recovering;
        self.states.iter().filter(is_recovering).count() > 1
    }

    /// Returns the observations of the other sites that receive load, and of the hosts that belong to no site.
    pub fn others_receiving_load(&self, site: usize) -> impl Iterator<Item = &SiteObservations> + '_ {
        let others = self.observations.iter().enumerate();
        others.filter_map(move |(other, observations)| {
            (other != site && self.receives_load(other)).then_some(observations)
        })
    }

    /// Returns the sum of the attempts since the last tick at the other sites that receive full load.
    pub fn attempts_elsewhere(&self, site: usize, new_attempts: &[AttemptStats]) -> AttemptStats {
        let mut elsewhere = AttemptStats::default();
        for (other, attempts) in new_attempts.iter().enumerate() {
            let has_full_traffic = self.states.get(other).is_none_or(SiteState::has_full_traffic);
            if other != site && has_full_traffic {
                elsewhere.add(attempts);
            }
        }
        elsewhere
    }

    /// Returns whether discovery and the counter are in doubt and, apart from the site that this gateway is in, no
    /// site answers. In that case the gateway's own site may be isolated, and the site `lost` may not have failed.
    pub fn is_own_site_alone(&self, now: Time, lost: usize) -> bool {
        let Some(own) = self.plan.site_of(self.identity.zone) else { return false };
        own != lost
            && self.control_plane.is_everything_in_doubt()
            && (0..self.observations.len())
                .filter(|site| *site != lost && *site != own)
                .all(|site| self.is_silent(site, now))
    }

    fn is_silent(&self, site: usize, now: Time) -> bool {
        self.inventory.ready(site).is_empty() || !self.receives_load(site) || self.is_unreachable(site, now)
    }

    /// Returns the status of a site.
    pub fn status(&self, site: usize) -> SiteStatus {
        let state = &self.states[site];
        let observations = &self.observations[site];
        SiteStatus {
            name: self.plan.sites[site].name.clone(),
            health: state.health(),
            operator_override: self.plan.sites[site].operator_override,
            traffic_fraction: state.traffic_fraction(),
            since: state.since(),
            ready_hosts: self.inventory.ready(site).len(),
            capacity_fraction: state.capacity_fraction(),
            attempts_per_second: observations.attempts_per_second,
            failure_fraction: observations.recent.failure_fraction(),
            failures: observations.failure_count(),
        }
    }
}
