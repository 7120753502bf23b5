//! Removal and compaction of idle customers, after a retention time or to free memory.
//!
//! If a customer needs more memory than is available, customers are reviewed in this order, in each group
//! those first that were reviewed the longest time ago: of customers with a single request, full ones are
//! compacted, then compact ones are removed; of customers with several requests, full ones without a request
//! since their last review are compacted, then compact ones are removed.

use super::record::{
    max_compact_bytes, CustomerForm, CustomerRecord, ReviewQueue, Tick, COMPACT_BYTES, CUSTOMER_RETENTION,
};
use super::Customers;
use crate::api::Time;
use crate::quota::customer::CompactCustomer;

/// Maximum number of customers per review.
pub(super) const MAX_REVIEWED: u64 = 128;
/// Maximum number of customers reviewed per queue to free memory for one customer.
const MAX_REVIEWED_FOR_MEMORY: usize = 16;
/// Result of a review of expired customers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReviewSummary {
    /// Number of customers reviewed.
    pub reviewed: u64,
    /// Time of the next review; `None` if there are no customers.
    pub next_review_at: Option<Time>,
}

/// The reason for a review.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReviewReason {
    /// The customer's review time has been reached.
    Expiry,
    /// Memory has to be freed.
    Memory,
}

/// Result of the review of one customer.
enum ReviewOutcome {
    Keep,
    Compact(CompactCustomer),
    Remove,
}

impl Customers {
    /// Reviews customers whose review time has been reached, at most [`MAX_REVIEWED`].
    pub fn review_expired(&mut self, now: Time) -> ReviewSummary {
        let mut reviewed = 0;
        for queue in ReviewQueue::ORDER {
            while reviewed < MAX_REVIEWED && self.next_review(queue).is_some_and(|at| at <= now) {
                let Some(slot) = self.records.pop_front(&mut self.review_queues[queue as usize]) else {
                    break;
                };
                let idle_since = now.saturating_sub(CUSTOMER_RETENTION);
                self.review(now, slot, idle_since, ReviewReason::Expiry);
                reviewed += 1;
            }
        }
        let next = ReviewQueue::ORDER.into_iter().filter_map(|queue| self.next_review(queue)).min();
        ReviewSummary { reviewed, next_review_at: next }
    }

    /// Returns the review time of the first customer in a queue.
    fn next_review(&self, queue: ReviewQueue) -> Option<Time> {
        let first = self.records.front(&self.review_queues[queue as usize])?;
        Some(first.reviewed_at.time(self.first_added_at) + queue.review_after())
    }

    /// Frees memory until `bytes` more bytes fit, and returns whether they do.
    pub(super) fn make_memory_available(&mut self, now: Time, bytes: usize) -> bool {
        // Compact customers may not use all memory: too few full ones would fit, and their requests would
        // have to wait for one another.
        let has_too_many_compact = self.count * COMPACT_BYTES > max_compact_bytes(self.max_bytes);
        let first = has_too_many_compact.then_some(ReviewQueue::SingleCompact);
        for queue in first.into_iter().chain(ReviewQueue::ORDER) {
            for _ in 0..MAX_REVIEWED_FOR_MEMORY {
                if self.fits(bytes) {
                    return true;
                }
                let Some(slot) = self.records.pop_front(&mut self.review_queues[queue as usize]) else {
                    break;
                };
                let Some(record) = self.records.get(slot) else { break };
                let idle_since = match (queue.is_single(), record.is_returning) {
                    (true, false) => Time::MAX,
                    // The customer has made another request since it was queued.
                    (true, true) => 0,
                    (false, _) => record.reviewed_at.time(self.first_added_at),
                };
                self.review(now, slot, idle_since, ReviewReason::Memory);
            }
        }
        self.fits(bytes)
    }

    fn fits(&self, bytes: usize) -> bool {
        self.bytes().saturating_add(bytes) <= self.max_bytes
    }

    /// Reviews a customer that was removed from its queue. If it is idle and has made no request since
    /// `idle_since`, it is removed, or compacted if that is possible and the reason is to free memory.
    /// Otherwise it is queued for another review.
    fn review(&mut self, now: Time, slot: u32, idle_since: Time, reason: ReviewReason) {
        let Some(record) = self.records.get_mut(slot) else { return };
        match review_outcome(record, now, idle_since, reason) {
            ReviewOutcome::Keep => {}
            ReviewOutcome::Remove => return self.remove(slot),
            ReviewOutcome::Compact(compact) => {
                record.form = CustomerForm::Compact(compact);
                self.full_count -= 1;
            }
        }
        let queue = match (&record.form, record.is_returning) {
            (CustomerForm::Compact(_), false) => ReviewQueue::SingleCompact,
            (CustomerForm::Compact(_), true) => ReviewQueue::ReturningCompact,
            (CustomerForm::Full(_) | CustomerForm::Vacant, _) => ReviewQueue::ReturningFull,
        };
        // A customer that is busy when it is reviewed counts as one with several requests.
        record.is_returning |= queue == ReviewQueue::ReturningFull;
        // A customer with a single request keeps its review time, so that it is removed
        // [`CUSTOMER_RETENTION`] after it was added.
        if queue != ReviewQueue::SingleCompact {
            record.reviewed_at = Tick::of(self.first_added_at, now);
        }
        self.records.push_back(&mut self.review_queues[queue as usize], slot);
    }
}

/// Returns how the review of a customer ends. `idle_since`: see [`Customers::review`].
fn review_outcome(
    record: &CustomerRecord,
    now: Time,
    idle_since: Time,
    reason: ReviewReason,
) -> ReviewOutcome {
    let mut compact = None;
    if let CustomerForm::Full(customer) = &record.form {
        if customer.is_busy() || customer.has_ceiling_to_refill(now) {
            return ReviewOutcome::Keep;
        }
        if reason == ReviewReason::Memory {
            compact = customer.compact();
        }
    }
    if record.last_request_at > idle_since {
        return ReviewOutcome::Keep;
    }
    compact.map_or(ReviewOutcome::Remove, ReviewOutcome::Compact)
}
