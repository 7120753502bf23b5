//! Keys of the numbers that all gateways share on the counter service.
//!
//! The keys are the same at every gateway. A customer's numbers start anew with each [`EPOCH`].

use crate::api::{CounterKey, CustomerId, Span, Time};

/// Time after which a customer's numbers start anew under other keys.
pub const EPOCH: Span = 50_000_000_000;
/// How long the counter keeps a number from its first call.
pub const TIME_TO_LIVE: Span = EPOCH + EPOCH / 5;
/// How long the counter keeps the demand of a window.
const DEMAND_TIME_TO_LIVE: Span = EPOCH / 5;

/// The customer in whose name the gateways' heartbeats are counted.
const HEARTBEATS: CustomerId = CustomerId(u64::MAX >> 1);
/// Place of the number of reconciled units.
const RECONCILED: usize = usize::MAX;
/// Place of the demand of a window.
const DEMAND: usize = usize::MAX - 1;

/// A number on the counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CounterNumber {
    /// Units leased in an epoch from one of a customer's token buckets, by its index.
    Leased { customer: CustomerId, account: usize, epoch: u64 },
    /// Units granted locally, or lost by a reset of the counter, and added afterwards.
    Reconciled { customer: CustomerId, epoch: u64 },
    /// Units requested by a customer of windowed admission, in a window.
    Demand { customer: CustomerId, window: u64 },
    /// Heartbeats of a group of gateways.
    Heartbeat { group: u32, epoch: u64 },
}

impl CounterNumber {
    /// Returns the key of the number.
    pub fn key(&self) -> CounterKey {
        match *self {
            CounterNumber::Leased { customer, account, epoch } => key(customer, account, epoch),
            CounterNumber::Reconciled { customer, epoch } => key(customer, RECONCILED, epoch),
            CounterNumber::Demand { customer, window } => key(customer, DEMAND, window),
            CounterNumber::Heartbeat { group, epoch } => key(HEARTBEATS, 1 + group as usize, epoch),
        }
    }

    /// Returns how long the counter keeps the number from its first call.
    pub fn time_to_live(&self) -> Span {
        match self {
            CounterNumber::Demand { .. } => DEMAND_TIME_TO_LIVE,
            CounterNumber::Leased { .. }
            | CounterNumber::Reconciled { .. }
            | CounterNumber::Heartbeat { .. } => TIME_TO_LIVE,
        }
    }
}

/// Returns the key of the number at a customer's place in an epoch; only the last byte of the place counts.
fn key(customer: CustomerId, place: usize, epoch: u64) -> CounterKey {
    let x = (customer.0 << 8 | place as u64 & 0xff) ^ epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    CounterKey(x ^ (x >> 29))
}

/// Returns the key of the units leased from a customer's quota in the epoch of a moment.
#[must_use]
pub fn leased(customer: CustomerId, at: Time) -> CounterKey {
    CounterNumber::Leased { customer, account: 0, epoch: at / EPOCH }.key()
}

/// Returns the key of the units that were granted locally to a customer while the counter was unreachable, or
/// lost by a reset of the counter, and reconciled in the epoch of a moment.
#[must_use]
pub fn reconciled(customer: CustomerId, at: Time) -> CounterKey {
    CounterNumber::Reconciled { customer, epoch: at / EPOCH }.key()
}

/// Returns the key of the demand in a window of a customer under windowed admission, see
/// [`::quota::WindowedLimiter`].
#[must_use]
pub fn demand(customer: CustomerId, window: u64) -> CounterKey {
    CounterNumber::Demand { customer, window }.key()
}

/// Returns the key of the heartbeats of a group of gateways, see [`::quota::FailureDetector`].
#[must_use]
pub fn heartbeat(group: u32, at: Time) -> CounterKey {
    CounterNumber::Heartbeat { group, epoch: at / ::quota::HEARTBEAT_EPOCH }.key()
}
