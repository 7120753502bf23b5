//! All customers known to this gateway, within a memory limit.
//!
//! Customers are indexed by identifier, compacted ([`super::customer::CompactCustomer`]) while they are idle
//! and memory is scarce, and removed after a time without requests ([`review`]). A customer with requests or
//! calls in flight, with units to reconcile, or with a ceiling that has not refilled, is neither compacted
//! nor removed.

mod record;
mod review;
#[cfg(test)]
mod tests;

use super::customer::{Customer, GatewayContext};
use crate::api::{CustomerId, Time};
use crate::slab::{Slab, SlotQueue};
use foldhash::fast::FixedState;
use hashbrown::HashTable;
use record::{max_compact_bytes, CustomerForm, CustomerRecord, ReviewQueue, Tick, COMPACT_BYTES, FULL_BYTES};
use std::hash::BuildHasher;

/// Number of index partitions. Each grows separately, so that no resize causes a latency spike.
const INDEX_PARTS: usize = 512;

/// Returns the maximum number of customers within this memory, in bytes: if all are in full form, and if as
/// many as possible are in compact form.
#[must_use]
pub fn customers_within(bytes: usize) -> (usize, usize) {
    let full = bytes / (COMPACT_BYTES + FULL_BYTES);
    (full, (max_compact_bytes(bytes) / COMPACT_BYTES).max(full))
}

/// Customers by identifier.
pub(crate) struct Customers {
    pub context: GatewayContext,
    /// A timer is set for the next review of customers.
    pub is_review_scheduled: bool,
    /// Clients choose the identifiers, so the hash uses a secret seed of this gateway against collision
    /// attacks.
    hashing: FixedState,
    index: Vec<HashTable<u32>>,
    records: Slab<CustomerRecord>,
    review_queues: [SlotQueue; ReviewQueue::COUNT],
    count: usize,
    full_count: usize,
    /// When the first customer was added; the origin of all [`Tick`]s.
    first_added_at: Time,
    max_bytes: usize,
}

/// Result of one step of a scan over all slots.
pub(crate) struct ScannedSlot<'a> {
    /// The customer in the slot, if it is relevant to the scan.
    pub customer: Option<(CustomerId, &'a mut Customer)>,
    /// The next slot; `None` after the last one.
    pub next: Option<usize>,
}

impl Customers {
    /// Returns an empty set of customers with a memory limit of `max_bytes`; zero means no limit.
    pub fn new(seed: u64, max_bytes: usize, context: GatewayContext) -> Customers {
        Customers {
            context,
            is_review_scheduled: false,
            hashing: FixedState::with_seed(seed),
            index: (0..INDEX_PARTS).map(|_| HashTable::new()).collect(),
            records: Slab::new(),
            review_queues: Default::default(),
            count: 0,
            full_count: 0,
            first_added_at: 0,
            max_bytes: if max_bytes == 0 { usize::MAX } else { max_bytes },
        }
    }

    /// Returns the number of customers.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns the memory used for the customers in their current forms, in bytes.
    pub fn bytes(&self) -> usize {
        self.count * COMPACT_BYTES + self.full_count * FULL_BYTES
    }

    fn hash(&self, id: CustomerId) -> u64 {
        self.hashing.hash_one(id)
    }

    /// Returns the index partition for a hash, selected by bits that the hash table itself does not use.
    fn index_part(hash: u64) -> usize {
        (hash >> 24) as usize % INDEX_PARTS
    }

    fn find(&self, id: CustomerId) -> Option<u32> {
        let hash = self.hash(id);
        let is_same = |slot: &u32| self.records.get(*slot).is_some_and(|record| record.id == id);
        self.index[Self::index_part(hash)].find(hash, is_same).copied()
    }

    /// Returns a customer if it is in full form, as all customers with requests in flight or units to
    /// reconcile are.
    pub fn get(&self, id: CustomerId) -> Option<&Customer> {
        match &self.records.get(self.find(id)?)?.form {
            CustomerForm::Full(customer) => Some(customer),
            CustomerForm::Compact(_) | CustomerForm::Vacant => None,
        }
    }

    /// Returns a mutable reference to a customer if it is in full form.
    pub fn get_mut(&mut self, id: CustomerId) -> Option<&mut Customer> {
        let slot = self.find(id)?;
        self.full_customer_in(slot)
    }

    fn full_customer_in(&mut self, slot: u32) -> Option<&mut Customer> {
        match &mut self.records.get_mut(slot)?.form {
            CustomerForm::Full(customer) => Some(customer),
            CustomerForm::Compact(_) | CustomerForm::Vacant => None,
        }
    }

    /// Returns the customer of a request in full form; an unknown customer is created by `new`. `None` if
    /// there is no memory for it.
    pub fn get_or_insert(
        &mut self,
        now: Time,
        id: CustomerId,
        new: impl FnOnce(&GatewayContext) -> Customer,
    ) -> Option<&mut Customer> {
        let slot = match self.find(id) {
            Some(slot) => slot,
            None => self.insert(now, id, new)?,
        };
        let record = self.records.get_mut(slot)?;
        record.is_returning = record.last_request_at > 0;
        record.last_request_at = now.max(1);
        self.expand(now, slot)
    }

    /// Adds a customer and returns its slot; `None` if there is no memory for it.
    fn insert(
        &mut self,
        now: Time,
        id: CustomerId,
        new: impl FnOnce(&GatewayContext) -> Customer,
    ) -> Option<u32> {
        if !self.make_memory_available(now, COMPACT_BYTES + FULL_BYTES) {
            return None;
        }
        if self.first_added_at == 0 {
            self.first_added_at = now;
        }
        let slot = self.records.insert(CustomerRecord {
            id,
            last_request_at: 0,
            form: CustomerForm::Full(Box::new(new(&self.context))),
            reviewed_at: Tick::of(self.first_added_at, now),
            is_returning: false,
        });
        let hash = self.hash(id);
        let rehash =
            |slot: &u32| self.records.get(*slot).map_or(0, |record| self.hashing.hash_one(record.id));
        self.index[Self::index_part(hash)].insert_unique(hash, slot, rehash);
        self.count += 1;
        self.full_count += 1;
        self.records.push_back(&mut self.review_queues[ReviewQueue::SingleFull as usize], slot);
        Some(slot)
    }

    /// Expands the customer in a slot and returns it; `None` if there is no memory for the full form.
    fn expand(&mut self, now: Time, slot: u32) -> Option<&mut Customer> {
        let CustomerForm::Compact(compact) = self.records.get(slot)?.form else {
            return self.full_customer_in(slot);
        };
        // The customer is in a review queue itself, so it is marked as busy while memory is freed.
        let mut expanded = Customer::expand(now, &self.context, compact);
        expanded.in_flight = 1;
        self.records.get_mut(slot)?.form = CustomerForm::Full(Box::new(expanded));
        self.full_count += 1;
        if !self.make_memory_available(now, 0) {
            self.records.get_mut(slot)?.form = CustomerForm::Compact(compact);
            self.full_count -= 1;
        }
        let expanded = self.full_customer_in(slot)?;
        expanded.in_flight = 0;
        Some(expanded)
    }

    fn remove(&mut self, slot: u32) {
        let Some(record) = self.records.get(slot) else { return };
        let id = record.id;
        let hash = self.hash(id);
        self.full_count -= usize::from(matches!(record.form, CustomerForm::Full(_)));
        self.count -= 1;
        if let Ok(entry) = self.index[Self::index_part(hash)].find_entry(hash, |other| *other == slot) {
            entry.remove();
        }
        let vacant = CustomerRecord {
            id,
            last_request_at: 0,
            form: CustomerForm::Vacant,
            reviewed_at: Tick::default(),
            is_returning: false,
        };
        self.records.remove(slot, vacant);
    }

    /// Returns the customer in a slot, for a scan over all customers with units on the counter in this epoch.
    /// A compact customer is returned only if it has such units and there is memory for its full form.
    pub fn scan(&mut self, now: Time, slot: usize, epoch: u64) -> ScannedSlot<'_> {
        let next = Some(slot + 1).filter(|next| *next < self.records.len());
        let concerned = self.records.get(slot as u32).and_then(|record| match &record.form {
            CustomerForm::Full(_) => Some(record.id),
            CustomerForm::Compact(compact) if compact.has_added(epoch) => Some(record.id),
            CustomerForm::Compact(_) | CustomerForm::Vacant => None,
        });
        let customer = concerned.and_then(|id| Some((id, self.expand(now, slot as u32)?)));
        ScannedSlot { customer, next }
    }

    /// Iterates mutably over all customers in full form, for a change to all customers. It is applied to
    /// compact ones when they are expanded.
    pub fn iter_full_mut(&mut self) -> impl Iterator<Item = &mut Customer> {
        self.records.iter_mut().filter_map(|record| match &mut record.form {
            CustomerForm::Full(customer) => Some(customer.as_mut()),
            CustomerForm::Compact(_) | CustomerForm::Vacant => None,
        })
    }
}
