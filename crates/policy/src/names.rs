//! Names of numbers on the counter, the same at every gateway. They start anew with each epoch.

use crate::api::{CounterKey, CustomerId, Span, Time};

/// Numbers of customers start anew this often; they are kept for a while longer.
pub const EPOCH: Span = 50_000_000_000;
/// For so long a number is kept from its first call.
pub const KEEP: Span = EPOCH + EPOCH / 5;
/// The same for what a rationed customer is asked for in a window.
pub(crate) const KEEP_ASKED: Span = EPOCH / 5;
/// Whose numbers tell of gateways and not of a customer.
pub(crate) const ALL: CustomerId = CustomerId(u64::MAX >> 1);
/// Place of the number that tells what was lent in the dark.
pub(crate) const LATE: usize = usize::MAX;

/// Place of the numbers to which a rationed customer's gateways add what they are asked for, one for each
/// window.
pub(crate) const ASKED: usize = usize::MAX - 1;

/// The number of one of a customer's stores, by its place, in an epoch.
pub(crate) fn count_name(customer: CustomerId, store: usize, epoch: u64) -> CounterKey {
    let x = (customer.0 << 8 | store as u64 & 0xff) ^ epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    CounterKey(x ^ (x >> 29))
}

/// What is leased of a customer's quota at that moment's epoch.
pub fn leased(customer: CustomerId, at: Time) -> CounterKey {
    count_name(customer, 0, at / EPOCH)
}

/// What was lent to a customer while the counter was away, or forgotten by a new one, and told afterwards in
/// that moment's epoch.
pub fn told_late(customer: CustomerId, at: Time) -> CounterKey {
    count_name(customer, LATE, at / EPOCH)
}

/// What the gateways of a rationed customer are asked for in a window, see [`quota::WindowedLimiter`].
pub fn asked(customer: CustomerId, window: u64) -> CounterKey {
    count_name(customer, ASKED, window)
}

/// The pulse of a group of gateways, see [`quota::FailureDetector`].
pub fn pulse(group: u32, at: Time) -> CounterKey {
    count_name(ALL, 1 + group as usize, at / quota::HEARTBEAT_EPOCH)
}
