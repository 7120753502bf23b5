//! Ids of completed requests, whose repeats are answered from a cache.

use crate::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Above this number of entries, those that expire soonest are evicted.
const MAX_ENTRIES: usize = 4096;

#[derive(Clone, Debug, Default)]
pub(super) struct IdempotencyCache {
    /// Expiry by request id.
    expiries: BTreeMap<u64, Time>,
    by_expiry: BTreeSet<(Time, u64)>,
}

impl IdempotencyCache {
    /// Whether a request with this id completed within its window.
    pub(super) fn contains(&mut self, now: Time, id: u64) -> bool {
        self.evict(|expiry, _| expiry <= now);
        self.expiries.contains_key(&id)
    }

    pub(super) fn insert(&mut self, now: Time, id: u64, window: Span) {
        let expiry = now.saturating_add(window);
        if let Some(old) = self.expiries.insert(id, expiry) {
            self.by_expiry.remove(&(old, id));
        }
        self.by_expiry.insert((expiry, id));
        self.evict(|_, count| count > MAX_ENTRIES);
    }

    /// Removes entries, soonest expiry first, for as long as `should_evict` holds for the expiry of the entry
    /// and the number of entries.
    fn evict(&mut self, should_evict: impl Fn(Time, usize) -> bool) {
        while let Some((expiry, id)) = self.by_expiry.first().copied() {
            if !should_evict(expiry, self.by_expiry.len()) {
                return;
            }
            self.by_expiry.pop_first();
            self.expiries.remove(&id);
        }
    }
}
