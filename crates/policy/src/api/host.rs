//! Entries of the endpoint list.

use super::ids::HostId;
use super::time::Time;

/// State of a host in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostState {
    /// The host accepts requests.
    #[default]
    Ready,
    /// The host completes the requests in flight and accepts no new ones.
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
    /// Cell of the host: hosts of one cell share their records of received idempotency keys.
    pub cell: u32,
    /// State of the host.
    pub state: HostState,
    /// Relative size of the host, without a unit.
    pub size: f64,
    /// When the host's process last started; zero if it started long ago.
    pub started_at: Time,
    /// Bit mask of the pools that the host belongs to.
    pub pools: u64,
}

/// How a received endpoint list relates to the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostListKind {
    /// Only the entries that have changed.
    Delta,
    /// All entries.
    Full,
    /// All entries, from the list that was cached before a restart of the gateway.
    Cached,
    /// No entries: a poll or the subscription failed.
    Failed,
}
