//! Requests that have run and whose repeats are answered from memory.

use crate::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// More are forgotten, the ones first that would be forgotten soonest.
const MOST: usize = 4096;

#[derive(Clone, Debug, Default)]
pub(super) struct Memory {
    until: BTreeMap<u64, Time>,
    order: BTreeSet<(Time, u64)>,
}

impl Memory {
    /// Whether a request with this id has run within its window.
    pub(super) fn holds(&mut self, now: Time, id: u64) -> bool {
        self.forget(|first, _| first <= now);
        self.until.contains_key(&id)
    }

    pub(super) fn keep(&mut self, now: Time, id: u64, window: Span) {
        let until = now.saturating_add(window);
        if let Some(old) = self.until.insert(id, until) {
            self.order.remove(&(old, id));
        }
        self.order.insert((until, id));
        self.forget(|_, count| count > MOST);
    }

    fn forget(&mut self, outdated: impl Fn(Time, usize) -> bool) {
        while let Some((until, id)) = self.order.first().copied() {
            if !outdated(until, self.order.len()) {
                return;
            }
            self.order.pop_first();
            self.until.remove(&id);
        }
    }
}
