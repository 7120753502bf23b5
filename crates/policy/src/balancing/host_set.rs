//! All hosts, and lists of the ready ones by pool and by cell, so that a selection examines eligible hosts
//! only.

use super::host::{Host, ReportedLoad};
use super::pools::pools_in;
use super::slow_start::{SlowStartBudget, WarmHostRate};
use crate::api::{HostEntry, HostId, LoadReport, Settings, Time};
use crate::concurrency::host_limit::MIN_SLOTS;
use smallvec::SmallVec;
use std::collections::{BTreeMap, HashMap};

/// Location of a host: its zone and cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Location {
    pub zone: u32,
    pub cell: u32,
}

impl Location {
    /// Returns the location of a host.
    pub fn of(entry: &HostEntry) -> Location {
        Location { zone: entry.zone, cell: entry.cell }
    }
}

/// The hosts that a request may be forwarded to, regardless of their state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Eligible {
    /// Hosts of these pools; zero means all hosts.
    Pools(u64),
    /// Hosts of a zone.
    Zone(u32),
    /// Hosts of a cell.
    Cell(Location),
}

/// EWMA weight of a load report in the mean load.
const LOAD_EWMA_WEIGHT: f64 = 0.05;

/// Hosts by identifier, and lists of those that accept requests.
#[derive(Default)]
pub(crate) struct HostSet {
    /// Identifiers come from discovery, not from clients, so the hash needs no secret seed.
    by_id: HashMap<HostId, Host, rustc_hash::FxBuildHasher>,
    /// All hosts that accept requests, ordered by identifier.
    ready: Vec<HostId>,
    ready_by_pool: BTreeMap<usize, Vec<HostId>>,
    ready_by_location: BTreeMap<Location, Vec<HostId>>,
    /// The hosts that this gateway prefers, see [`::subset`].
    subset: Vec<HostId>,
    /// Number of disjoint subsets that together contain all hosts.
    subset_count: f64,
    /// Number of warm hosts in the subset.
    warm_in_subset: usize,
    warm_rate: WarmHostRate,
    /// Smoothed load reported by hosts, in requests.
    mean_reported_load: f64,
    /// Time of the next poll of the endpoint list.
    pub(super) next_poll_at: Time,
    /// Buffer for the candidates of a selection, reused to avoid an allocation per request.
    pub(super) candidates: Vec<HostId>,
}

impl HostSet {
    /// Returns the number of hosts.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns a host by its identifier.
    pub fn get(&self, id: HostId) -> Option<&Host> {
        self.by_id.get(&id)
    }

    /// Returns a mutable reference to a host by its identifier.
    pub fn get_mut(&mut self, id: HostId) -> Option<&mut Host> {
        self.by_id.get_mut(&id)
    }

    /// Returns the host with this identifier, and inserts it if it is unknown.
    pub fn get_or_insert(&mut self, id: HostId) -> &mut Host {
        self.by_id.entry(id).or_default()
    }

    /// Removes a host's state.
    pub fn remove(&mut self, id: HostId) {
        self.by_id.remove(&id);
    }

    /// Iterates over the entry and the slots of each host.
    pub fn entries_and_slots(&self) -> impl Iterator<Item = (&HostEntry, f64)> {
        self.by_id.values().map(|host| (&host.entry, host.limit.slots()))
    }

    /// Iterates mutably over all hosts.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Host> {
        self.by_id.values_mut()
    }

    /// Returns the total slots of all hosts that accept requests, for all gateways together.
    pub fn slots(&self) -> f64 {
        let slots = self.by_id.values().filter(|host| host.is_ready()).map(|host| host.limit.slots());
        slots.sum::<f64>().max(MIN_SLOTS)
    }

    /// Returns the hosts of this gateway's subset.
    pub fn subset(&self) -> &[HostId] {
        &self.subset
    }

    /// Returns whether this gateway's subset contains all hosts that accept requests.
    pub fn is_subset_complete(&self) -> bool {
        self.subset.len() == self.ready.len()
    }

    /// Returns whether all hosts of this gateway's subset are warm.
    pub fn is_subset_warm(&self) -> bool {
        self.subset.len() <= self.warm_in_subset
    }

    /// Returns the number of disjoint subsets that together contain all hosts.
    pub fn subset_count(&self) -> f64 {
        self.subset_count.max(1.0)
    }

    /// Starts to measure the time for which hosts are warm.
    pub fn start(&mut self, now: Time) {
        self.warm_rate.start(now);
    }

    /// Adds the time up to now for which hosts of the subset were warm.
    pub fn count_warm_time(&mut self, now: Time) {
        self.warm_rate.count_until(now, self.warm_in_subset);
    }

    /// Records that a host of the subset has warmed up.
    pub fn record_warmed_up(&mut self, now: Time) {
        self.count_warm_time(now);
        self.warm_in_subset += 1;
    }

    /// Records a response of a warm host.
    pub fn record_warm_response(&mut self) {
        self.warm_rate.record_response();
    }

    /// Decays the response rate of warm hosts at the end of a control period.
    pub fn end_warm_rate_period(&mut self, now: Time) {
        self.count_warm_time(now);
        self.warm_rate.decay();
    }

    /// Returns the current budget of a host that is warming up.
    pub fn slow_start_budget(&self, now: Time, settings: &Settings) -> SlowStartBudget {
        let responses_per_second = self.warm_rate.per_host(now, self.warm_in_subset);
        SlowStartBudget::new(settings, responses_per_second, self.subset_count())
    }

    /// Returns the mean load reported by hosts, in requests.
    pub fn mean_reported_load(&self) -> f64 {
        self.mean_reported_load
    }

    /// Records the load report of a host.
    pub fn record_load(&mut self, now: Time, id: HostId, report: &LoadReport) {
        let Some(host) = self.by_id.get_mut(&id) else { return };
        let requests = report.queued.or(report.in_flight).unwrap_or(0.0);
        let load = requests + report.utilisation.unwrap_or(0.0);
        self.mean_reported_load += LOAD_EWMA_WEIGHT * (load - self.mean_reported_load);
        host.reported_load = Some(ReportedLoad { at: now, load });
    }

    /// Rebuilds the lists after the endpoint list has changed. Returns the hosts that no longer accept
    /// requests and whose removal is not scheduled yet.
    pub fn rebuild(&mut self, gateway_index: u32, gateways: u32) -> Vec<HostId> {
        self.rebuild_ready_lists();
        self.rebuild_subset(gateway_index as usize, gateways.max(1) as usize);
        self.take_unscheduled_removals()
    }

    fn rebuild_ready_lists(&mut self) {
        let mut ready: Vec<&Host> = self.by_id.values().filter(|host| host.is_ready()).collect();
        ready.sort_unstable_by_key(|host| host.entry.id);
        self.ready_by_pool.clear();
        self.ready_by_location.clear();
        for host in &ready {
            let entry = &host.entry;
            self.ready_by_location.entry(Location::of(entry)).or_default().push(entry.id);
            for pool in pools_in(entry.pools) {
                self.ready_by_pool.entry(pool).or_default().push(entry.id);
            }
        }
        self.ready = ready.into_iter().map(|host| host.entry.id).collect();
    }

    fn rebuild_subset(&mut self, gateway_index: usize, gateways: usize) {
        let ids: Vec<u64> = self.ready.iter().map(|id| id.0).collect();
        self.subset_count = ::subset::subset_count(ids.len(), gateways) as f64;
        let subset = ::subset::subset_of_gateway(&ids, gateway_index, gateways);
        self.subset = subset.into_iter().map(|index| self.ready[index]).collect();
        let fraction_outside = 1.0 / self.subset_count();
        for host in self.by_id.values_mut() {
            host.traffic_fraction = fraction_outside;
        }
        for id in &self.subset {
            self.by_id.entry(*id).and_modify(|host| host.traffic_fraction = 1.0);
        }
        let is_warm = |id: &&HostId| self.by_id.get(id).is_some_and(|host| !host.is_warming_up());
        self.warm_in_subset = self.subset.iter().filter(is_warm).count();
    }

    fn take_unscheduled_removals(&mut self) -> Vec<HostId> {
        let mut removals = Vec::new();
        for host in self.by_id.values_mut().filter(|host| !host.is_ready() && !host.is_removal_scheduled) {
            host.is_removal_scheduled = true;
            removals.push(host.entry.id);
        }
        removals.sort_unstable();
        removals
    }

    /// Returns the lists of ready hosts that contain the eligible ones; a host may be in several lists.
    pub fn lists(&self, eligible: Eligible) -> SmallVec<[&[HostId]; 4]> {
        match eligible {
            Eligible::Pools(0) => std::iter::once(self.ready.as_slice()).collect(),
            Eligible::Pools(mask) => {
                let lists = pools_in(mask).filter_map(|pool| self.ready_by_pool.get(&pool));
                lists.map(Vec::as_slice).collect()
            }
            Eligible::Cell(location) => {
                self.ready_by_location.get(&location).map(Vec::as_slice).into_iter().collect()
            }
            Eligible::Zone(zone) => {
                let first = Location { zone, cell: 0 };
                let last = Location { zone, cell: u32::MAX };
                self.ready_by_location.range(first..=last).map(|(_, list)| list.as_slice()).collect()
            }
        }
    }
}
