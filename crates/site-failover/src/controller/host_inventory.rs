//! The hosts that discovery lists, by site.

use std::collections::BTreeMap;

use policy::api::{HostEntry, HostId, HostListKind, HostState, Span, Time};

use crate::plan::FailoverPlan;
use crate::time::SECOND;

/// Time for which a removed host is remembered, so that its last attempts still count for its site.
const REMOVED_HOST_LIFETIME: Span = 10 * SECOND;
/// Lower bound of a host's size, so that each ready host has a weight above zero.
const MIN_HOST_SIZE: f64 = 1e-9;

/// A host as discovery lists it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListedHost {
    zone: u32,
    /// Index of its site; the number of sites if it belongs to none.
    pub site: usize,
    size: f64,
    started: Time,
    state: HostState,
    /// Time of its removal, if it is removed.
    removed: Time,
}

impl ListedHost {
    /// Returns whether discovery lists the host as ready.
    pub fn is_ready(&self) -> bool {
        self.state == HostState::Ready
    }

    fn remove(&mut self, now: Time) {
        if self.state != HostState::Gone {
            self.state = HostState::Gone;
            self.removed = now;
        }
    }
}

/// The ready hosts of a site.
#[derive(Clone, Debug, Default)]
pub(super) struct SiteListing {
    /// Ready hosts, by ascending id.
    pub ready: Vec<HostId>,
    /// Sum of their sizes.
    pub size: f64,
    /// Time at which the site was left without ready hosts, until the controller has acted on their return.
    pub emptied: Option<Time>,
    /// Latest time at which one of the ready hosts was started.
    latest_start: Time,
}

/// The hosts that discovery lists, by site.
#[derive(Clone, Debug, Default)]
pub(super) struct HostInventory {
    hosts: BTreeMap<HostId, ListedHost>,
    /// By site, and one more for the hosts that belong to none.
    listings: Vec<SiteListing>,
    has_changed: bool,
}

impl HostInventory {
    /// Assigns the hosts to the sites of another plan.
    pub fn apply_plan(&mut self, plan: &FailoverPlan) {
        self.listings = vec![SiteListing::default(); plan.sites.len() + 1];
        for host in self.hosts.values_mut() {
            host.site = site_or_none(plan, host.zone);
        }
        self.has_changed = true;
    }

    /// Forgets all hosts that discovery has listed.
    pub fn clear(&mut self) {
        self.hosts.clear();
    }

    /// Applies a host list.
    pub fn on_host_list(
        &mut self,
        now: Time,
        kind: HostListKind,
        entries: &[HostEntry],
        plan: &FailoverPlan,
    ) {
        if kind != HostListKind::Delta {
            self.hosts.values_mut().for_each(|host| host.remove(now));
        }
        for entry in entries {
            let host = ListedHost {
                zone: entry.zone,
                site: site_or_none(plan, entry.zone),
                size: entry.size,
                started: entry.started_at,
                state: entry.state,
                removed: now,
            };
            if entry.state == HostState::Gone {
                self.hosts.entry(entry.id).or_insert(host).remove(now);
            } else {
                self.hosts.insert(entry.id, host);
            }
        }
        self.has_changed = true;
    }

    /// Rebuilds the listings if a host list or a plan was applied since the last call, and returns whether one was.
    pub fn refresh(&mut self, now: Time) -> bool {
        if !std::mem::take(&mut self.has_changed) {
            return false;
        }
        self.hosts
            .retain(|_, host| host.state != HostState::Gone || now < host.removed + REMOVED_HOST_LIFETIME);
        for listing in &mut self.listings {
            *listing = SiteListing { emptied: listing.emptied, ..SiteListing::default() };
        }
        for (id, host) in self.hosts.iter().filter(|(_, host)| host.is_ready()) {
            let listing = &mut self.listings[host.site];
            listing.ready.push(*id);
            listing.size += host.size.max(MIN_HOST_SIZE);
            listing.latest_start = listing.latest_start.max(host.started);
        }
        true
    }

    /// Records which sites have no ready hosts. A site whose hosts return without a restart is treated as never empty.
    /// If the fleet has no ready host at all, the list says nothing about sites.
    pub fn record_emptied(&mut self, now: Time) {
        if self.total_size() <= 0.0 {
            return;
        }
        for listing in &mut self.listings {
            if listing.ready.is_empty() {
                listing.emptied.get_or_insert(now);
            } else if listing.emptied.is_some_and(|emptied| listing.latest_start < emptied) {
                listing.emptied = None;
            }
        }
    }

    /// Returns a host, if discovery lists it or has listed it lately.
    pub fn host(&self, id: HostId) -> Option<&ListedHost> {
        self.hosts.get(&id)
    }

    /// Returns the listings by site, and the one of the hosts that belong to no site.
    pub fn listings(&self) -> &[SiteListing] {
        &self.listings
    }

    /// Returns the ready hosts of a site.
    pub fn ready(&self, site: usize) -> &[HostId] {
        &self.listings[site].ready
    }

    /// Returns the time at which a site was left without ready hosts.
    pub fn emptied(&self, site: usize) -> Option<Time> {
        self.listings[site].emptied
    }

    /// Forgets that a site was left without ready hosts.
    pub fn forget_emptied(&mut self, site: usize) {
        self.listings[site].emptied = None;
    }

    /// Returns the sum of the sizes of all ready hosts.
    pub fn total_size(&self) -> f64 {
        self.listings.iter().map(|listing| listing.size).sum()
    }
}

fn site_or_none(plan: &FailoverPlan, zone: u32) -> usize {
    plan.site_of(zone).unwrap_or(plan.sites.len())
}
