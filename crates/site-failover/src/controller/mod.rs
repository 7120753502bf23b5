//! The controller of one gateway: observes hosts, attempts and requests, and decides which hosts are excluded, where a
//! request may go, and which requests are shed. The caller passes the time.

mod exclusions;
mod gateway_identity;
mod health_decision;
mod host_inventory;
mod site_table;
mod suspect_query;
mod update;

use policy::api::{
    AttemptEnded, HostEntry, HostId, HostListKind, Outcome, RejectReason, RequestId, Span, Time,
};

pub use gateway_identity::GatewayIdentity;
pub use update::FailoverUpdate;

use crate::health::SiteObservations;
use crate::plan::{FailoverPlan, SiteSet};
use crate::shedding::LoadShedder;
use crate::site_state::SiteState;
use crate::status::SiteStatus;
use crate::time::{MILLISECOND, SECOND};
use crate::traffic_split;
use crate::transition::Transition;
use exclusions::ExcludedHosts;
use health_decision::TickInput;
use site_table::SiteTable;
use suspect_query::SuspectQueries;

/// Span between two ticks while all sites are healthy.
const TICK_INTERVAL: Span = SECOND;
/// Span between two ticks while a site fails, is excluded, or recovers.
const ALERT_TICK_INTERVAL: Span = 100 * MILLISECOND;
/// Consecutive failures at a site from which on ticks follow at [`ALERT_TICK_INTERVAL`].
const ALERT_FAILURES: u32 = suspect_query::MIN_FAILURES;

/// The controller of site failover at one gateway.
#[derive(Clone, Debug)]
pub struct FailoverController {
    /// Shifts this gateway's turns to probe lost sites.
    seed: u64,
    table: SiteTable,
    shedder: LoadShedder,
    excluded_hosts: ExcludedHosts,
    suspect_queries: SuspectQueries,
    /// Whether all sites receive all of their load, so that requests are not restricted.
    is_unrestricted: bool,
    last_tick: Time,
    next_tick_at: Time,
}

impl FailoverController {
    /// Returns a controller that has not observed anything yet and considers all sites healthy. `seed` shifts this
    /// gateway's turns to probe lost sites.
    #[must_use]
    pub fn new(plan: FailoverPlan, identity: GatewayIdentity, seed: u64, now: Time) -> FailoverController {
        let mut controller = FailoverController {
            seed,
            table: SiteTable::new(identity),
            shedder: LoadShedder::new(&plan.shedding),
            excluded_hosts: ExcludedHosts::default(),
            suspect_queries: SuspectQueries::default(),
            is_unrestricted: true,
            last_tick: now,
            next_tick_at: now,
        };
        controller.apply_plan(plan, now);
        controller
    }

    /// Applies another version of the plan. Sites that keep their names keep their observations and states. Host
    /// lists are ignored while the plan has no sites, so after such a plan a full list has to be passed again.
    pub fn apply_plan(&mut self, plan: FailoverPlan, now: Time) {
        if self.table.plan.shedding != plan.shedding || plan.sites.is_empty() {
            self.shedder.reset(&plan.shedding);
        }
        self.table.apply_plan(plan, self.seed, now);
        self.suspect_queries.clear();
        self.excluded_hosts.invalidate();
        self.is_unrestricted &= self.is_idle();
        // With a plan without sites, one more tick revokes the exclusions and the shedding of the previous plan.
        let has_reported = !self.excluded_hosts.is_empty() || self.shedder.is_shedding_reported();
        self.next_tick_at = if self.is_idle() && !has_reported { Time::MAX } else { now };
    }

    /// Returns whether the plan has no sites, so that the controller has nothing to do.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.table.is_empty()
    }

    /// Observes a host list of discovery.
    pub fn on_host_list(&mut self, now: Time, kind: HostListKind, entries: &[HostEntry]) {
        if kind == HostListKind::Failed || self.is_idle() {
            return;
        }
        self.table.inventory.on_host_list(now, kind, entries, &self.table.plan);
        self.next_tick_at = self.next_tick_at.min(now);
    }

    /// Observes the end of an attempt.
    pub fn on_attempt_ended(&mut self, now: Time, ended: &AttemptEnded) {
        if self.is_idle() {
            return;
        }
        let Some(host) = self.table.inventory.host(ended.host) else { return };
        let site = host.site;
        let is_ready = host.is_ready();
        let observations = &mut self.table.observations[site];
        let Some(is_answered) = is_answered(ended, observations) else { return };
        if is_answered {
            observations.on_answer(now, ended.elapsed);
        } else if is_ready {
            observations.on_failure(now, ended.host);
        }
        let is_alert = !is_answered && observations.failure_count().failures >= ALERT_FAILURES;
        if let Some(state) = self.table.states.get_mut(site) {
            state.on_attempt_ended(now, ended.host, is_answered, ended.elapsed);
            if state.is_probe_finished() {
                self.next_tick_at = self.next_tick_at.min(now);
            }
        }
        if is_alert {
            let alert_tick = now.max(self.last_tick + ALERT_TICK_INTERVAL);
            self.next_tick_at = self.next_tick_at.min(alert_tick);
        }
    }

    /// Observes a request of a class and a customer plan, before it is admitted or shed.
    pub fn on_request_received(&mut self, class: usize, plan: usize) {
        self.shedder.on_request(self.table.plan.shedding.cell(class, plan));
    }

    /// Observes the rejection of a request.
    pub fn on_request_rejected(&mut self, reason: RejectReason) {
        self.shedder.on_rejected(reason);
    }

    /// Observes whether discovery is silent: its subscription is lost, or its queries fail.
    pub fn on_discovery_status(&mut self, now: Time, is_silent: bool) {
        let since = &mut self.table.control_plane.discovery_silent_since;
        *since = is_silent.then(|| since.unwrap_or(now));
    }

    /// Observes whether the counter is in doubt: it does not answer, or not reliably.
    pub fn on_counter_status(&mut self, now: Time, is_in_doubt: bool) {
        let since = &mut self.table.control_plane.counter_doubtful_since;
        *since = is_in_doubt.then(|| since.unwrap_or(now));
    }

    /// Returns the time of the next tick, [`Time::MAX`] if none is needed. It may become earlier with the end of an
    /// attempt or a host list.
    #[must_use]
    pub fn next_tick_at(&self) -> Time {
        self.next_tick_at
    }

    /// Returns whether a host is excluded from new requests although discovery lists it as ready.
    #[must_use]
    pub fn is_excluded(&self, host: HostId) -> bool {
        let Some(listed) = self.table.inventory.host(host) else { return false };
        let exclusion = self.table.states.get(listed.site).and_then(SiteState::exclusion);
        exclusion.is_some_and(|exclusion| exclusion.excludes(host))
    }

    /// Returns the sites that a request may go to. Must be called once for each request, because an idempotent
    /// request may be used as a health probe.
    pub fn allowed_sites(&mut self, now: Time, request: RequestId, is_idempotent: bool) -> SiteSet {
        if is_idempotent {
            if let Some(site) = self.suspect_queries.next_query(&self.table, now) {
                return SiteSet::one(site);
            }
        }
        if self.is_unrestricted {
            return SiteSet::ALL;
        }
        if is_idempotent {
            if let Some(site) = self.table.states.iter_mut().position(|state| state.start_probe(now)) {
                return SiteSet::one(site);
            }
        }
        traffic_split::allowed_sites(&self.table.plan, &self.table.states, request, is_idempotent)
    }

    /// Returns the status of each site, in the order of the plan.
    pub fn statuses(&self) -> impl Iterator<Item = SiteStatus> + '_ {
        (0..self.table.states.len()).map(|site| self.table.status(site))
    }

    /// Returns the number of tiers that are shed down to their floors, plus the shed part of the next one.
    #[must_use]
    pub fn shedding_level(&self) -> f64 {
        self.shedder.level()
    }

    /// Updates the decisions from the observations since the last tick, and returns the changes, if there are any.
    #[must_use]
    pub fn tick(&mut self, now: Time) -> Option<FailoverUpdate> {
        if self.is_idle() {
            return self.revoke_everything();
        }
        let elapsed = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        let transitions = self.decide_health(now, elapsed);
        self.is_unrestricted = self.table.states.iter().all(SiteState::has_full_traffic);
        self.suspect_queries.update(&self.table, now);
        let mut update = FailoverUpdate {
            changed_hosts: self.excluded_hosts.changed_hosts(&self.table.inventory, &self.table.states),
            admission_fractions: None,
            transitions,
        };
        self.adjust_shedding(elapsed, &mut update);
        self.next_tick_at = now + self.tick_interval();
        update.into_option()
    }

    /// Revokes the exclusions and the shedding of the previous plan, because the present plan has no sites.
    fn revoke_everything(&mut self) -> Option<FailoverUpdate> {
        self.is_unrestricted = true;
        self.table.inventory.clear();
        let update = FailoverUpdate {
            changed_hosts: self.excluded_hosts.changed_hosts(&self.table.inventory, &self.table.states),
            admission_fractions: self.shedder.changed_admission_fractions(&self.table.plan.shedding),
            transitions: Vec::new(),
        };
        self.next_tick_at = Time::MAX;
        update.into_option()
    }

    /// Decides the health of each site.
    fn decide_health(&mut self, now: Time, elapsed: Span) -> Vec<Transition> {
        let table = &mut self.table;
        let new_attempts = table.tick_observations(elapsed);
        if table.refresh_hosts(now) {
            self.excluded_hosts.invalidate();
        }
        let is_gateway_isolated = table.is_gateway_isolated(now);
        let tick = TickInput { now, elapsed, new_attempts: &new_attempts, is_gateway_isolated };
        let mut transitions = Vec::new();
        for site in 0..table.states.len() {
            let previous = table.states[site].health();
            if let Some(cause) = health_decision::decide(table, site, &tick) {
                transitions.push(Transition::Site { previous, current: table.status(site), cause });
            }
        }
        transitions
    }

    fn adjust_shedding(&mut self, elapsed: Span, update: &mut FailoverUpdate) {
        let shedding = &self.table.plan.shedding;
        let all_available = self.table.states.iter().all(SiteState::is_fully_available);
        let previous_tier = self.shedder.current_tier_number();
        self.shedder.tick(elapsed, shedding, all_available);
        update.admission_fractions = self.shedder.changed_admission_fractions(shedding);
        if self.shedder.current_tier_number() != previous_tier {
            let level = self.shedder.level();
            let tier = self.shedder.current_tier(shedding).map(|tier| tier.name.clone());
            update.transitions.push(Transition::Shedding { level, tier });
        }
    }

    fn tick_interval(&self) -> Span {
        let is_failing = |site: &SiteObservations| site.failure_count().failures >= ALERT_FAILURES;
        let is_alert = !self.is_unrestricted
            || self.table.observations.iter().any(is_failing)
            || self.table.inventory.listings().iter().any(|listing| listing.emptied.is_some());
        if is_alert {
            ALERT_TICK_INTERVAL
        } else {
            TICK_INTERVAL
        }
    }
}

/// Returns whether the attempt was answered or failed, or `None` if its end says nothing about the site.
fn is_answered(ended: &AttemptEnded, observations: &SiteObservations) -> Option<bool> {
    match ended.outcome {
        Outcome::Ok | Outcome::Error | Outcome::Rejected => Some(true),
        Outcome::ConnectFailed | Outcome::Timeout | Outcome::ConnectionReset => Some(false),
        Outcome::Cancelled if observations.is_cancelled_as_failed(ended.elapsed) => Some(false),
        Outcome::Cancelled | Outcome::NotSent => None,
    }
}
