//! The gateway's state of a host.

use crate::discovery::endpoint_list::{Endpoint, Lifecycle};
use crate::messages::{AttemptKey, ConnectionId};
use crate::request_routing::RequestRouter;
use crate::telemetry::outage_log::OutageLog;
use crate::upstream::address_reuse::AddressClaim;
use crate::upstream::idle_reuse::HostIdleReuse;
use platform_settings::PlatformSettings;
use policy::api::{HostEntry, HostId, HostState, Span, Time};
use routing::HostAttributes;
use std::collections::VecDeque;
use std::net::SocketAddr;

const MS: Span = 1_000_000;

/// The attributes by which pools select hosts.
#[derive(Default)]
pub(super) struct HostNames {
    pub id: String,
    zone: String,
    machine_type: String,
}

impl HostNames {
    fn attributes(&self, cell: u32) -> HostAttributes<'_> {
        HostAttributes { id: &self.id, zone: &self.zone, machine_type: &self.machine_type, cell }
    }
}

/// The state of a host and of its connections.
#[derive(Default)]
pub(super) struct Host {
    /// The host's entry as last reported to the decision module.
    pub entry: HostEntry,
    pub address: Option<SocketAddr>,
    pub names: HostNames,
    started_at_ms: u64,
    /// Whether the host accepts requests.
    pub is_ready: bool,
    /// Increases with each change of address and each restart: connections of an earlier generation are not reused.
    pub generation: u32,
    /// Idle connections, the oldest first.
    pub idle: Vec<ConnectionId>,
    /// Attempts that wait for a connection, in order.
    pub waiting: VecDeque<AttemptKey>,
    /// Whether an event is scheduled for the end of a connection's quarantine.
    pub awaits_quarantine_end: bool,
    /// Number of connections that are being established.
    pub connecting: usize,
    /// Number of connections, established or not.
    pub connections: usize,
    /// When the host last sent a response.
    pub last_response: Time,
    pub idle_reuse: HostIdleReuse,
    pub protocol_violations: OutageLog,
}

impl Host {
    /// Marks the host as removed: it is missing from a complete list.
    pub fn remove(&mut self) {
        self.is_ready = false;
        self.entry.state = HostState::Gone;
    }

    /// Returns the host's claim to its address; `None` if it has been removed.
    pub fn address_claim(&self, host: HostId, is_latest: bool) -> Option<AddressClaim> {
        let address = self.address.filter(|_| self.entry.state != HostState::Gone)?;
        Some(AddressClaim { host, address, started_at_ms: self.started_at_ms, is_latest })
    }

    /// Applies an entry of the endpoint list. Returns the attempts that must no longer be sent: if the host has
    /// restarted, it has to warm up again, and a new decision is needed for attempts that were meant for a warm host.
    pub fn update(&mut self, endpoint: &Endpoint) -> Vec<AttemptKey> {
        let mut unsent = Vec::new();
        let has_moved = self.address != endpoint.address || self.started_at_ms != endpoint.started_at_ms;
        if endpoint.address.is_some() && has_moved {
            if endpoint.started_at_ms > self.started_at_ms {
                unsent.extend(self.waiting.drain(..));
            }
            self.generation += 1;
            self.address = endpoint.address;
            self.started_at_ms = endpoint.started_at_ms;
        }
        self.is_ready = endpoint.lifecycle == Lifecycle::InService;
        if endpoint.address.is_some() {
            self.names = HostNames {
                id: endpoint.instance_id.clone(),
                zone: endpoint.zone.clone(),
                machine_type: endpoint.machine_type.clone(),
            };
        }
        unsent
    }

    /// Sets the entry for the decision module.
    pub fn set_entry(
        &mut self,
        id: HostId,
        endpoint: &Endpoint,
        platform: &PlatformSettings,
        router: &RequestRouter,
    ) {
        self.entry = HostEntry {
            id,
            zone: position(&platform.zone_names, &endpoint.zone),
            machine_type: position(&platform.machine_types, &endpoint.machine_type),
            cell: endpoint.cell,
            state: match endpoint.lifecycle {
                Lifecycle::InService => HostState::Ready,
                Lifecycle::Terminating => HostState::Draining,
                Lifecycle::Terminated => HostState::Gone,
            },
            size: endpoint.weight,
            started_at: endpoint.started_at_ms.saturating_mul(MS),
            pools: router.pools_of(&self.names.attributes(endpoint.cell)),
        };
    }

    /// Reassigns the host's pools.
    pub fn assign_pools(&mut self, router: &RequestRouter) {
        self.entry.pools = router.pools_of(&self.names.attributes(self.entry.cell));
    }
}

/// Returns a host's identifier for the decision module: a hash of the name alone, so that no state is needed for
/// removed hosts. The hash function is fixed (FNV-1a), so that every build computes the same identifier.
pub(super) fn host_id_of(name: &str) -> HostId {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    HostId(name.bytes().fold(OFFSET_BASIS, mix))
}

/// Returns the index of a name; `names.len()` for an unknown one.
fn position(names: &[String], name: &str) -> u32 {
    names.iter().position(|candidate| candidate == name).unwrap_or(names.len()) as u32
}
