//! Removal and compaction of idle customers, after a time or to free memory.
//!
//! Where a customer needs more memory than is left, customers are reviewed in this order, each time those
//! first that have been idle for longest: of those with one request, full ones become compact, and compact
//! ones are removed; of those with several, full ones that have made no request since the last review become
//! compact, and compact ones are removed.

use super::record::{
    max_compact_bytes, CustomerForm, CustomerRecord, ReviewQueue, Tick, COMPACT_BYTES, CUSTOMER_RETENTION,
};
use super::Customers;
use crate::api::Time;
use crate::quota::customer::CompactCustomer;

/// Customers that one review removes at the most.
pub(super) const MAX_REVIEWED: u64 = 128;
/// Customers that are reviewed for each queue to free memory for one.
const MAX_REVIEWED_FOR_MEMORY: usize = 16;
/// Why a customer is reviewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReviewReason {
    /// Its time has come.
    Expiry,
    /// Memory has to be freed.
    Memory,
}

/// What becomes of a customer.
enum Verdict {
    Keep,
    Compact(CompactCustomer),
    Remove,
}

impl Customers {
    /// Reviews customers that have been idle for long, a bounded number. Returns how many, and when the next
    /// review is due, if there are any customers.
    pub fn review_expired(&mut self, now: Time) -> (u64, Option<Time>) {
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
        (reviewed, next)
    }

    /// Returns when the first customer of a queue is reviewed.
    fn next_review(&self, queue: ReviewQueue) -> Option<Time> {
        let first = self.records.front(&self.review_queues[queue as usize])?;
        Some(first.reviewed.time(self.first_added_at) + queue.review_after())
    }

    /// Makes memory available for this number of bytes, if possible, and returns whether it is.
    pub(super) fn make_memory_available(&mut self, now: Time, bytes: usize) -> bool {
        // Compact customers leave memory to full ones, or requests of these would have to wait for one
        // another.
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
                    (false, _) => record.reviewed.time(self.first_added_at),
                };
                self.review(now, slot, idle_since, ReviewReason::Memory);
            }
        }
        self.fits(bytes)
    }

    fn fits(&self, bytes: usize) -> bool {
        self.bytes().saturating_add(bytes) <= self.max_bytes
    }

    /// Reviews a customer that has left its queue. If it is idle and has made no request since `idle_since`,
    /// it is removed, or compacted if that is possible and memory has to be freed. Otherwise it is queued for
    /// another review.
    fn review(&mut self, now: Time, slot: u32, idle_since: Time, reason: ReviewReason) {
        let Some(record) = self.records.get_mut(slot) else { return };
        match verdict(record, now, idle_since, reason) {
            Verdict::Keep => {}
            Verdict::Remove => return self.remove(slot),
            Verdict::Compact(compact) => {
                record.form = CustomerForm::Compact(compact);
                self.full_count -= 1;
            }
        }
        let queue = match (&record.form, record.is_returning) {
            (CustomerForm::Compact(_), false) => ReviewQueue::SingleCompact,
            (CustomerForm::Compact(_), true) => ReviewQueue::ReturningCompact,
            (CustomerForm::Full(_) | CustomerForm::Vacant, _) => ReviewQueue::ReturningFull,
        };
        // A customer that was busy when it was reviewed counts as one with several requests.
        record.is_returning |= queue == ReviewQueue::ReturningFull;
        // One with a single request keeps its turn: it is removed when it was added long ago.
        if queue != ReviewQueue::SingleCompact {
            record.reviewed = Tick::of(self.first_added_at, now);
        }
        self.records.push_back(&mut self.review_queues[queue as usize], slot);
    }
}

fn verdict(record: &CustomerRecord, now: Time, idle_since: Time, reason: ReviewReason) -> Verdict {
    let mut compact = None;
    if let CustomerForm::Full(customer) = &record.form {
        if customer.is_busy() || customer.has_ceiling_to_refill(now) {
            return Verdict::Keep;
        }
        if reason == ReviewReason::Memory {
            compact = customer.compact();
        }
    }
    if record.last_request_at > idle_since {
        return Verdict::Keep;
    }
    compact.map_or(Verdict::Remove, Verdict::Compact)
}
