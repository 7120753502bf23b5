//! How a gateway divides its memory. All parts that keep something per request, connection or customer are held to this
//! one budget, which is derived from `limits.memory_mb`.

use policy::customers_within;
use resp::MAX_VALUE;

/// The program, its runtime and buffers, and what the allocator leaves unused, in bytes.
const PROGRAM_BYTES: usize = 6 << 20;
/// Maximum number of commands in flight on all connections together, however much memory there is: far above a day's peak.
const MAX_COMMANDS: usize = 512;
/// A connection's task and its buffers while it is idle, in bytes. What it has in flight counts as commands.
const CONNECTION_BYTES: usize = 4 << 10;
/// Customers get at least this fraction of the memory (one in 16).
const MIN_CUSTOMER_DIVISOR: usize = 16;
/// Eighths that customers get of what all other parts leave. The last eighth is for requests in flight and for memory that
/// is freed and not yet returned to the system.
const CUSTOMER_EIGHTHS: usize = 7;

/// Parts of the memory, in bytes except for `command_slots`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// All of the memory.
    pub total: usize,
    /// Number of commands in flight, each of which may get a response of the maximum length.
    pub command_slots: usize,
    /// Queued commands.
    pub commands: usize,
    /// Idle connections.
    pub connections: usize,
    /// Customers' state.
    pub customers: usize,
}

impl MemoryBudget {
    /// Divides the memory of a process with these limits, in bytes and descriptors. Half of it is for responses and an
    /// eighth for commands; customers get most of what these, connections and the program leave.
    pub fn within(memory: usize, sockets: usize) -> MemoryBudget {
        let command_slots = (memory / 2 / MAX_VALUE).clamp(1, MAX_COMMANDS);
        let commands = memory / 8;
        let connections = sockets * CONNECTION_BYTES;
        let used = PROGRAM_BYTES + command_slots * MAX_VALUE + commands + connections;
        let remaining = memory.saturating_sub(used) / 8 * CUSTOMER_EIGHTHS;
        let customers = remaining.max(memory / MIN_CUSTOMER_DIVISOR);
        MemoryBudget { total: memory, command_slots, commands, connections, customers }
    }

    /// Returns how many customers can be known at once: if all are active, and if all but those in flight are compact.
    pub fn max_customers(&self) -> (usize, usize) {
        customers_within(self.customers)
    }
}

#[cfg(test)]
mod tests;
