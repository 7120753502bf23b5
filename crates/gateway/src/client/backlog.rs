//! Commands of a client that have not been read. The end of a connection is noticed only once everything before it has
//! been read, so a client with a backlog may have disconnected long ago.

use runtime::{Span, Time};
use std::sync::atomic::{AtomicU64, Ordering};

const MS: Span = 1_000_000;
/// A backlog is stale after this long: no attempt may begin more than 0.1 s after its client has disconnected, and some
/// time passes between the decision and the first byte.
const MAX_AGE: Span = 30 * MS;
/// Signs of a backlog that follow one another within this time belong to the same one. In between, everything that has
/// arrived may have been read, while the client's system holds back more.
const MAX_GAP: Span = 50 * MS;
/// A time that has not come.
const NEVER: Time = 0;

/// Since when a connection has had a backlog. Shared by the connection with its requests.
#[derive(Debug, Default)]
pub(crate) struct InputBacklog {
    since: AtomicU64,
    /// When there was the latest sign of it.
    latest: AtomicU64,
}

impl InputBacklog {
    /// Records a sign of a backlog.
    pub fn record(&self, now: Time) {
        if !self.exists(now) {
            self.since.store(now, Ordering::Relaxed);
        }
        self.latest.store(now, Ordering::Relaxed);
    }

    /// Returns whether the client may have disconnected too long ago for its requests to be forwarded.
    pub fn is_stale(&self, now: Time) -> bool {
        self.exists(now) && now.saturating_sub(self.since.load(Ordering::Relaxed)) >= MAX_AGE
    }

    fn exists(&self, now: Time) -> bool {
        match self.latest.load(Ordering::Relaxed) {
            NEVER => false,
            latest => now.saturating_sub(latest) < MAX_GAP,
        }
    }
}

#[cfg(test)]
mod tests;
