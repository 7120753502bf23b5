//! Bounds the memory of all clients' commands together.

use crate::config::memory_budget::MemoryBudget;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A connection may take another permit while it holds fewer than one in this many of those that are left: however many
/// clients do not read their replies, some permits stay for those that do.
const FAIR_SHARE_DIVISOR: usize = 4;

/// What all commands in flight may take together. A command that does not fit is rejected at once: waiting would let
/// clients that are slow to read starve the others.
#[derive(Clone)]
pub(crate) struct CommandBudget {
    /// A permit for each command, which may get a response of the maximum length.
    pub(super) slots: Arc<Semaphore>,
    /// A permit for each byte of the commands themselves.
    pub(super) bytes: Arc<Semaphore>,
}

impl CommandBudget {
    /// Creates the budget for commands within a gateway's memory.
    pub fn within(memory: &MemoryBudget) -> CommandBudget {
        let bytes = memory.commands.min(Semaphore::MAX_PERMITS);
        CommandBudget {
            slots: Arc::new(Semaphore::new(memory.command_slots)),
            bytes: Arc::new(Semaphore::new(bytes)),
        }
    }
}

/// The permits that one connection holds.
pub(super) struct HeldPermits {
    semaphore: Arc<Semaphore>,
    permits: Option<OwnedSemaphorePermit>,
}

impl HeldPermits {
    /// Starts without permits of this semaphore.
    pub fn new(semaphore: Arc<Semaphore>) -> HeldPermits {
        HeldPermits { semaphore, permits: None }
    }

    /// Returns the number of permits held.
    pub fn count(&self) -> usize {
        self.permits.as_ref().map_or(0, |permits| permits.num_permits())
    }

    /// Returns whether the connection holds so many permits that too few are left for others.
    pub fn exceeds_fair_share(&self) -> bool {
        let held = self.count();
        held > 0 && held * FAIR_SHARE_DIVISOR >= self.semaphore.available_permits()
    }

    /// Takes more permits. Returns false, and takes none, if there are not enough.
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

    /// Gives the permits beyond this number back to the semaphore.
    pub fn shrink_to(&mut self, count: usize) {
        if let Some(permits) = &mut self.permits {
            drop(permits.split(permits.num_permits().saturating_sub(count)));
        }
    }

    /// Gives all permits back to the semaphore.
    pub fn release(&mut self) {
        self.permits = None;
    }
}
