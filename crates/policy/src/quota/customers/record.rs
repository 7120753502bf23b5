//! The record of one customer, and the queue that it stands in until it is reviewed.

use crate::api::{CustomerId, Span, Time};
use crate::quota::counter_keys::EPOCH;
use crate::quota::customer::{CompactCustomer, Customer};
use crate::slab::Slab;

/// Time without a request after which a customer is removed.
pub(super) const CUSTOMER_RETENTION: Span = EPOCH;
/// Time between two reviews of a customer that has made several requests.
pub(super) const REVIEW_INTERVAL: Span = CUSTOMER_RETENTION / 2;

/// Memory that the index takes for a customer, in bytes, about.
const INDEX_BYTES: usize = 12;
/// Memory beside a full customer, in bytes: overhead of the allocator, and what is known of one that has made
/// several requests.
const FULL_OVERHEAD_BYTES: usize = 320;
/// Memory that a customer takes in its compact form, in bytes.
pub(crate) const COMPACT_BYTES: usize = Slab::<CustomerRecord>::slot_bytes() + INDEX_BYTES;
/// Memory that a customer takes in its full form beyond that of the compact form, in bytes.
pub(crate) const FULL_BYTES: usize = size_of::<Customer>() + FULL_OVERHEAD_BYTES;

/// Parts of the memory that compact forms may take while full ones are needed.
const COMPACT_PARTS: usize = 5;
/// Parts that the memory is divided into.
const MEMORY_PARTS: usize = 6;

/// Returns the part of the memory that compact forms may take while full ones are needed, in bytes.
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

/// A moment of the gateway's uptime, in [`TICK`]s: eighteen years of them.
#[derive(Clone, Copy, Default)]
pub(super) struct Tick(u32);

/// An eighth of a second, in nanoseconds.
pub(super) const TICK: Span = 1 << 27;

impl Tick {
    /// Returns the tick of a moment, rounded up.
    pub fn of(first: Time, now: Time) -> Tick {
        Tick(now.saturating_sub(first).div_ceil(TICK) as u32)
    }

    /// Returns the moment of a tick.
    pub fn time(self, first: Time) -> Time {
        first + Time::from(self.0) * TICK
    }
}

/// The record of one customer.
pub(super) struct CustomerRecord {
    pub id: CustomerId,
    /// When the customer last made a request.
    pub last_request_at: Time,
    pub form: CustomerForm,
    /// When the customer was reviewed last, or added.
    pub reviewed: Tick,
    /// The customer has made several requests, or was busy when it was reviewed.
    pub is_returning: bool,
}

/// The queue that a customer stands in until its next review. Its form may have changed since it was queued.
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

    /// Returns whether its customers had made one request when they were queued.
    pub fn is_single(self) -> bool {
        matches!(self, ReviewQueue::SingleFull | ReviewQueue::SingleCompact)
    }

    /// Returns the time after which a customer is reviewed again.
    pub fn review_after(self) -> Span {
        if self.is_single() {
            CUSTOMER_RETENTION
        } else {
            REVIEW_INTERVAL
        }
    }
}
