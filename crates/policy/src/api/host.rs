//! Entries of the endpoint list.

use super::ids::HostId;
use super::time::Time;

/// State of a host in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostState {
    /// The host accepts requests.
    #[default]
    Ready,
    /// The host finishes what is in flight and accepts nothing new.
    Draining,
    /// The host was removed.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct HostEntry {
    /// The host.
    pub id: HostId,
    /// Zone of the host.
    pub zone: u32,
    /// Index of the host's machine type.
    pub machine_type: u32,
    /// Cell of the host: the hosts that share the idempotency keys they have seen.
    pub cell: u32,
    /// State of the host.
    pub state: HostState,
    /// Relative size of the host, without a unit.
    pub size: f64,
    /// Latest start of the host's process; zero for one long past.
    pub started_at: Time,
    /// Pools that the host belongs to, one bit each.
    pub pools: u64,
}

/// How a received endpoint list relates to the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostListKind {
    /// Only entries that changed.
    Delta,
    /// All entries.
    Full,
    /// All entries as they were known before a restart.
    Cached,
    /// No entries: a poll or the subscription failed.
    Failed,
}
