//! Bounds the memory of all clients' commands together.

use crate::config::memory_budget::MemoryBudget;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A connection may acquire another permit while it holds less than this fraction (one in four) of the available
/// permits. Thus some permits remain for other clients, regardless of how many clients do not read their replies.
const FAIR_SHARE_DIVISOR: usize = 4;

/// Memory budget of all commands in flight. A command that exceeds it is rejected at once: if it waited for memory,
/// clients that are slow to read could starve the others.
#[derive(Clone)]
pub(crate) struct CommandBudget {
    /// One permit for each command, since each may get a response of the maximum length.
    pub(super) slots: Arc<Semaphore>,
    /// One permit for each byte of the commands themselves.
    pub(super) bytes: Arc<Semaphore>,
}

impl CommandBudget {
    /// Creates the budget for a gateway with this division of its memory.
    pub fn within(memory: &MemoryBudget) -> CommandBudget {
        let bytes = memory.commands.min(Semaphore::MAX_PERMITS);
        CommandBudget {
            slots: Arc::new(Semaphore::new(memory.command_slots)),
            bytes: Arc::new(Semaphore::new(bytes)),
        }
    }
}

/// The permits of a semaphore that one connection holds.
pub(super) struct HeldPermits {
    semaphore: Arc<Semaphore>,
    permits: Option<OwnedSemaphorePermit>,
}

impl HeldPermits {
    /// Creates an empty set of permits, to be acquired from this semaphore.
    pub fn new(semaphore: Arc<Semaphore>) -> HeldPermits {
        HeldPermits { semaphore, permits: None }
    }

    /// Returns the number of permits held.
    pub fn count(&self) -> usize {
        self.permits.as_ref().map_or(0, |permits| permits.num_permits())
    }

    /// Returns whether the connection holds at least one in [`FAIR_SHARE_DIVISOR`] of the available permits.
    pub fn exceeds_fair_share(&self) -> bool {
        let held = self.count();
        held > 0 && held * FAIR_SHARE_DIVISOR >= self.semaphore.available_permits()
    }

    /// Acquires more permits without waiting. Returns false, and acquires none, if not enough are available.
    pub fn extend(&mut self, count: u32) -> bool {
        if count == 0 {
            return true;
        }
        let Ok(more) = self.semaphore.clone().try_acquire_many_owned(count) else { return false };
        match &mut self.permits {
            Some(permits) => permits.merge(more),
            none => *none = Some(more),
        }
        true
    }

    /// Returns the held permits beyond this number to the semaphore.
    pub fn shrink_to(&mut self, count: usize) {
        if let Some(permits) = &mut self.permits {
            drop(permits.split(permits.num_permits().saturating_sub(count)));
        }
    }

    /// Acquires or returns permits without waiting, so that this many are held. Returns false, and acquires none, if not
    /// enough are available.
    pub fn resize(&mut self, count: usize) -> bool {
        if count > self.count() {
            return self.extend((count - self.count()) as u32);
        }
        self.shrink_to(count);
        true
    }
}
