//! The record of one customer, and the queues of customers to be reviewed.

use crate::api::{CustomerId, Span, Time};
use crate::quota::counter_keys::EPOCH;
use crate::quota::customer::{CompactCustomer, Customer};
use crate::slab::Slab;

/// Time without a request after which a customer is removed.
pub(super) const CUSTOMER_RETENTION: Span = EPOCH;
/// Interval between reviews of a customer that has made several requests.
pub(super) const REVIEW_INTERVAL: Span = CUSTOMER_RETENTION / 2;

/// Approximate memory per customer in the index, in bytes.
const INDEX_BYTES: usize = 12;
/// Additional memory per full customer, in bytes: allocator overhead, and the state allocated after several
/// requests.
const FULL_OVERHEAD_BYTES: usize = 320;
/// Memory per customer in compact form, in bytes.
pub(crate) const COMPACT_BYTES: usize = Slab::<CustomerRecord>::slot_bytes() + INDEX_BYTES;
/// Additional memory per customer in full form, in bytes.
pub(crate) const FULL_BYTES: usize = size_of::<Customer>() + FULL_OVERHEAD_BYTES;

/// Number of memory parts available to compact customers while memory for full ones is needed.
const COMPACT_PARTS: usize = 5;
/// Number of equal parts that the memory is divided into.
const MEMORY_PARTS: usize = 6;

/// Returns the memory available to compact customers while memory for full ones is needed, in bytes.
pub(super) fn max_compact_bytes(max_bytes: usize) -> usize {
    max_bytes / MEMORY_PARTS * COMPACT_PARTS
}

/// The form in which a customer is kept.
pub(super) enum CustomerForm {
    /// The slot is free.
    Vacant,
    Full(Box<Customer>),
    Compact(CompactCustomer),
}

/// A point in time of the gateway's uptime, in [`TICK`]s; 32 bits last for eighteen years.
#[derive(Clone, Copy, Default)]
pub(super) struct Tick(u32);

/// Resolution of a [`Tick`]: 2^27 ns, about an eighth of a second.
pub(super) const TICK: Span = 1 << 27;

impl Tick {
    /// Returns the tick of `now`, rounded up.
    pub fn of(origin: Time, now: Time) -> Tick {
        Tick(now.saturating_sub(origin).div_ceil(TICK) as u32)
    }

    /// Returns the time of a tick.
    pub fn time(self, origin: Time) -> Time {
        origin + Time::from(self.0) * TICK
    }
}

/// The record of one customer.
pub(super) struct CustomerRecord {
    pub id: CustomerId,
    /// When the customer last made a request.
    pub last_request_at: Time,
    pub form: CustomerForm,
    /// When the customer was last reviewed, or added.
    pub reviewed_at: Tick,
    /// The customer has made several requests, or was busy when it was reviewed.
    pub is_returning: bool,
}

/// The queue of a customer until its next review. The customer's form may have changed since it was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReviewQueue {
    /// In full form, with one request.
    SingleFull,
    /// In full form, with several requests.
    ReturningFull,
    /// In compact form, with one request.
    SingleCompact,
    /// In compact form, with several requests.
    ReturningCompact,
}

impl ReviewQueue {
    /// The number of review queues.
    pub const COUNT: usize = 4;
    /// The queues in the order in which customers are reviewed to free memory.
    pub const ORDER: [ReviewQueue; ReviewQueue::COUNT] = [
        ReviewQueue::SingleFull,
        ReviewQueue::SingleCompact,
        ReviewQueue::ReturningFull,
        ReviewQueue::ReturningCompact,
    ];

    /// Returns whether customers in this queue had made a single request when they were queued.
    pub fn is_single(self) -> bool {
        matches!(self, ReviewQueue::SingleFull | ReviewQueue::SingleCompact)
    }

    /// Returns the time after which a customer in this queue is reviewed again.
    pub fn review_after(self) -> Span {
        if self.is_single() {
            CUSTOMER_RETENTION
        } else {
            REVIEW_INTERVAL
        }
    }
}
