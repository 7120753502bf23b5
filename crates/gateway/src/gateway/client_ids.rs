//! Clients' identifiers of requests that must not be forwarded again: those in flight, and those that may have been
//! executed a short time ago.

use runtime::{Span, Time};
use std::collections::{HashSet, VecDeque};

/// Maximum number of identifiers that are kept after their requests have ended. If there are more, the oldest are
/// forgotten.
const MAX_KEPT: usize = 8 * 1024;

/// The identifiers. Clients choose them, so the set is hashed with a random seed against deliberate collisions. It is
/// never iterated, so that the seed does not affect the gateway's behaviour.
#[derive(Debug)]
pub(super) struct ClientIds {
    known: HashSet<u64>,
    /// Identifiers of requests that have ended, with the time until which they are kept, the earliest first.
    kept: VecDeque<(Time, u64)>,
    /// How long an identifier is kept.
    period: Span,
}

impl ClientIds {
    /// Creates an empty set that keeps identifiers for this long after their requests have ended.
    pub fn new(period: Span) -> ClientIds {
        ClientIds { known: HashSet::new(), kept: VecDeque::new(), period }
    }

    /// Adds the identifier of a request. Returns false if a request with this identifier is in flight, or may have been
    /// executed.
    pub fn insert(&mut self, now: Time, id: u64) -> bool {
        while self.kept.front().is_some_and(|(until, _)| *until <= now) {
            self.forget_oldest();
        }
        self.known.insert(id)
    }

    /// Removes the identifier of a request that has ended, and was not executed or may be executed again.
    pub fn remove(&mut self, id: u64) {
        self.known.remove(&id);
    }

    /// Keeps the identifier of a request that has ended, and may have been executed.
    pub fn keep(&mut self, now: Time, id: u64) {
        self.kept.push_back((now.saturating_add(self.period), id));
        if self.kept.len() > MAX_KEPT {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.kept.pop_front() {
            self.known.remove(&id);
        }
    }

    /// Returns whether no identifier is known.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

#[cfg(test)]
mod tests;
