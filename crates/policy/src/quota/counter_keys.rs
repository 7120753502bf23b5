//! Keys of the entries that all gateways share on the counter service.
//!
//! The keys are the same at every gateway. A customer's entries start from zero under new keys in each
//! [`EPOCH`].

use crate::api::{CounterKey, CustomerId, Span, Time};

/// Length of an epoch, after which a customer's entries start from zero under new keys.
pub const EPOCH: Span = 50_000_000_000;
/// Time to live of an entry on the counter, from its first call.
pub const TIME_TO_LIVE: Span = EPOCH + EPOCH / 5;
/// Time to live of the entry with the demand of a window.
const DEMAND_TIME_TO_LIVE: Span = EPOCH / 5;

/// Reserved customer identifier for the entries of the gateways' heartbeats.
const HEARTBEAT_CUSTOMER: CustomerId = CustomerId(u64::MAX >> 1);
/// Index of the entry of reconciled units.
const RECONCILED_INDEX: usize = usize::MAX;
/// Index of the entry of the demand of a window.
const DEMAND_INDEX: usize = usize::MAX - 1;

/// An entry of the counter service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CounterEntry {
    /// Units leased in an epoch from the token bucket of one of a customer's accounts.
    Leased { customer: CustomerId, account: usize, epoch: u64 },
    /// Units granted locally, or lost by a counter reset, and added afterwards.
    Reconciled { customer: CustomerId, epoch: u64 },
    /// Units requested in a window by a customer under windowed admission.
    Demand { customer: CustomerId, window: u64 },
    /// Heartbeats of a group of gateways.
    Heartbeat { group: u32, epoch: u64 },
}

impl CounterEntry {
    /// Returns the key of the entry.
    pub fn key(&self) -> CounterKey {
        match *self {
            CounterEntry::Leased { customer, account, epoch } => key(customer, account, epoch),
            CounterEntry::Reconciled { customer, epoch } => key(customer, RECONCILED_INDEX, epoch),
            CounterEntry::Demand { customer, window } => key(customer, DEMAND_INDEX, window),
            CounterEntry::Heartbeat { group, epoch } => key(HEARTBEAT_CUSTOMER, 1 + group as usize, epoch),
        }
    }

    /// Returns the time to live of the entry, from its first call.
    pub fn time_to_live(&self) -> Span {
        match self {
            CounterEntry::Demand { .. } => DEMAND_TIME_TO_LIVE,
            CounterEntry::Leased { .. }
            | CounterEntry::Reconciled { .. }
            | CounterEntry::Heartbeat { .. } => TIME_TO_LIVE,
        }
    }
}

/// Returns the key of the entry at a customer's index in an epoch; only the lowest byte of the index is used.
fn key(customer: CustomerId, index: usize, epoch: u64) -> CounterKey {
    let x = (customer.0 << 8 | index as u64 & 0xff) ^ epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    CounterKey(x ^ (x >> 29))
}

/// Returns the key of the units leased from a customer's quota in the epoch that contains `at`.
#[must_use]
pub fn leased(customer: CustomerId, at: Time) -> CounterKey {
    CounterEntry::Leased { customer, account: 0, epoch: at / EPOCH }.key()
}

/// Returns the key of the units that were granted locally to a customer while the counter was unreachable, or
/// lost by a counter reset, and reconciled in the epoch that contains `at`.
#[must_use]
pub fn reconciled(customer: CustomerId, at: Time) -> CounterKey {
    CounterEntry::Reconciled { customer, epoch: at / EPOCH }.key()
}

/// Returns the key of a customer's demand in a window under windowed admission, see
/// [`::quota::WindowedLimiter`].
#[must_use]
pub fn demand(customer: CustomerId, window: u64) -> CounterKey {
    CounterEntry::Demand { customer, window }.key()
}

/// Returns the key of the heartbeats of a group of gateways, see [`::quota::FailureDetector`].
#[must_use]
pub fn heartbeat(group: u32, at: Time) -> CounterKey {
    CounterEntry::Heartbeat { group, epoch: at / ::quota::HEARTBEAT_EPOCH }.key()
}
