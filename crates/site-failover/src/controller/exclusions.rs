//! The excluded hosts, and how they change.

use std::collections::BTreeSet;

use policy::api::HostId;

use super::host_inventory::{HostInventory, SiteListing};
use crate::site_state::{Exclusion, SiteState};

/// The hosts that were reported as excluded, and the sites' exclusions that they were computed from.
#[derive(Clone, Debug, Default)]
pub(super) struct ExcludedHosts {
    reported: BTreeSet<HostId>,
    exclusions: Vec<Option<Exclusion>>,
    is_stale: bool,
}

impl ExcludedHosts {
    /// Returns whether no host was reported as excluded.
    pub fn is_empty(&self) -> bool {
        self.reported.is_empty()
    }

    /// Marks the reported hosts as stale, because the plan or the host list has changed.
    pub fn invalidate(&mut self) {
        self.is_stale = true;
    }

    /// Returns the hosts whose exclusion has changed since the last call, in either direction.
    pub fn changed_hosts(&mut self, inventory: &HostInventory, states: &[SiteState]) -> Vec<HostId> {
        let exclusions: Vec<Option<Exclusion>> = states.iter().map(SiteState::exclusion).collect();
        let is_stale = std::mem::take(&mut self.is_stale);
        if !is_stale && exclusions == self.exclusions {
            return Vec::new();
        }
        let mut excluded = BTreeSet::new();
        for (exclusion, listing) in exclusions.iter().zip(inventory.listings()) {
            if let Some(exclusion) = exclusion {
                excluded.extend(excluded_hosts(listing, exclusion));
            }
        }
        let changed = self.reported.symmetric_difference(&excluded).copied().collect();
        self.reported = excluded;
        self.exclusions = exclusions;
        changed
    }
}

fn excluded_hosts<'a>(
    listing: &'a SiteListing,
    exclusion: &'a Exclusion,
) -> impl Iterator<Item = HostId> + 'a {
    listing.ready.iter().copied().filter(|host| exclusion.excludes(*host))
}
