//! Hosts whose address another host has taken over. Discovery may tell of the new process at an address before it tells
//! that the old one is gone, or out of order; requests for the old one would reach the new one.

use policy::api::HostId;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;

/// A host as discovery last reported it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AddressClaim {
    pub host: HostId,
    pub address: SocketAddr,
    /// When the host's process started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Whether the latest list names the host.
    pub is_latest: bool,
}

impl AddressClaim {
    /// Returns whether this host's process has replaced the other one at the same address: it started later, or was
    /// reported later. If neither is known to be later, both keep their address.
    fn supersedes(&self, other: &AddressClaim) -> bool {
        (self.started_at_ms, self.is_latest) > (other.started_at_ms, other.is_latest)
    }
}

/// Returns the hosts that have been superseded at their address, in the order of the claims.
pub(super) fn superseded(claims: &[AddressClaim]) -> Vec<HostId> {
    let mut latest: FxHashMap<SocketAddr, AddressClaim> = FxHashMap::default();
    for claim in claims {
        let holder = latest.entry(claim.address).or_insert(*claim);
        if claim.supersedes(holder) {
            *holder = *claim;
        }
    }
    let is_superseded = |claim: &&AddressClaim| latest[&claim.address].supersedes(claim);
    claims.iter().filter(is_superseded).map(|claim| claim.host).collect()
}

#[cfg(test)]
mod tests;
