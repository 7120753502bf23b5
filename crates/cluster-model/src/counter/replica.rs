//! One replica of the counter: names with their totals, and a call queue for each shard.

use super::{Amount, Name};
use crate::{Span, Time, SECOND};
use std::collections::{BTreeMap, VecDeque};

/// Maximum lifetime of a name.
pub const MAX_NAME_LIFETIME: Span = 60 * SECOND;

/// A name's total.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// Total at the start of the current partition, common to all replicas.
    shared: Amount,
    /// Amount added by this replica since then.
    local: Amount,
    /// When the name expires; the next call then starts a new total.
    expires: Time,
    /// When the latest reply with the total of this name is sent.
    last_reply: Time,
}

impl Entry {
    fn total(&self) -> Amount {
        self.shared + self.local
    }
}

/// Queue of the calls at one shard.
#[derive(Clone, Debug, Default)]
struct CallQueue {
    /// When the shard can start another call.
    free_at: Time,
    /// Start times of the waiting calls, soonest first.
    waiting: VecDeque<Time>,
}

/// An independent copy of the counter's totals and queues.
#[derive(Clone, Debug)]
pub(super) struct Replica {
    entries: BTreeMap<Name, Entry>,
    queues: Vec<CallQueue>,
}

impl Replica {
    /// Creates an empty replica.
    pub fn new(shards: u32) -> Replica {
        Replica { entries: BTreeMap::new(), queues: vec![CallQueue::default(); shards.max(1) as usize] }
    }

    /// Enqueues a call that occupies its shard for `service_time`. Returns when the call starts, or `None` if the
    /// queue is full.
    pub fn enqueue(&mut self, now: Time, name: &[u8], service_time: Span, capacity: u32) -> Option<Time> {
        let shard = shard_of(name, self.queues.len());
        let queue = &mut self.queues[shard];
        while queue.waiting.front().is_some_and(|start| *start <= now) {
            queue.waiting.pop_front();
        }
        let start = queue.free_at.max(now);
        if start > now {
            if queue.waiting.len() >= capacity as usize {
                return None;
            }
            queue.waiting.push_back(start);
        }
        queue.free_at = start.saturating_add(service_time);
        Some(start)
    }

    /// Adds an amount and returns the total. A new name expires after `lifetime`.
    pub fn add(&mut self, now: Time, name: &[u8], amount: Amount, lifetime: Span) -> Amount {
        let entry = match self.entries.get_mut(name) {
            Some(entry) => entry,
            None => self.entries.entry(name.into()).or_default(),
        };
        if entry.expires <= now {
            let expires = now.saturating_add(lifetime.clamp(1, MAX_NAME_LIFETIME));
            *entry = Entry { expires, last_reply: entry.last_reply, ..Entry::default() };
        }
        entry.local += amount;
        entry.total()
    }

    /// Returns when a reply for this name that is ready at `at` is sent, which is not before earlier replies for
    /// the name.
    pub fn reply_at(&mut self, name: &[u8], at: Time) -> Time {
        let Some(entry) = self.entries.get_mut(name) else { return at };
        entry.last_reply = entry.last_reply.max(at);
        entry.last_reply
    }

    /// Removes names that have expired and have no outstanding reply.
    pub fn remove_expired(&mut self, now: Time) {
        self.entries.retain(|_, entry| entry.expires.max(entry.last_reply) > now);
    }

    /// Removes all names and waiting calls.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.queues.fill(CallQueue::default());
    }

    /// Marks all totals as shared with the copies that are made of this replica from now on.
    pub fn mark_shared(&mut self) {
        for entry in self.entries.values_mut() {
            entry.shared = entry.total();
            entry.local = Amount::default();
        }
    }

    /// Adds the amounts that a copy of this replica has added since it was made. Each shard keeps the longer of the
    /// two queues, so that waiting calls keep their start times.
    pub fn merge(&mut self, now: Time, other: Replica) {
        for (name, other_entry) in other.entries {
            let entry = self.entries.entry(name).or_default();
            if other_entry.expires > now {
                // Copies of a name expire together. If this one has expired, the other one was started after that.
                entry.shared = if entry.expires > now { entry.shared } else { other_entry.shared };
                entry.local =
                    if entry.expires > now { entry.local + other_entry.local } else { other_entry.local };
                entry.expires = entry.expires.max(other_entry.expires);
            }
            entry.last_reply = entry.last_reply.max(other_entry.last_reply);
        }
        for (queue, other_queue) in self.queues.iter_mut().zip(other.queues) {
            if other_queue.free_at > queue.free_at {
                *queue = other_queue;
            }
        }
    }

    /// The total of a name that has not expired.
    pub fn total(&self, now: Time, name: &[u8]) -> Option<Amount> {
        self.entries.get(name).filter(|entry| entry.expires > now).map(Entry::total)
    }

    /// Names that have not expired, and their totals.
    pub fn totals(&self, now: Time) -> impl Iterator<Item = (&Name, Amount)> {
        let live = self.entries.iter().filter(move |(_, entry)| entry.expires > now);
        live.map(|(name, entry)| (name, entry.total()))
    }
}

/// Hashes the name with FNV-1a and the finalizer of MurmurHash3. With FNV-1a alone, names that differ only in
/// their last bytes get nearly the same high half and similar low bits.
fn shard_of(name: &[u8], shards: usize) -> usize {
    let hash = name.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    (((hash >> 32) * shards as u64) >> 32) as usize
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_are_spread_evenly_over_the_shards() {
        let mut counts = [0; 4];
        (0..4000).for_each(|n| counts[shard_of(format!("{n:016x}").as_bytes(), 4)] += 1);
        assert!(counts.iter().all(|count| (800..1200).contains(count)), "{counts:?}");
    }
}
