//! The memory budget of a gateway. All parts that keep state per request, connection or customer are limited by this
//! one budget, which is derived from `limits.memory_mb`.

use policy::customers_within;
use resp::MAX_VALUE;

/// The program, its runtime and buffers, and the overhead of the allocator, in bytes.
const PROGRAM_BYTES: usize = 6 << 20;
/// Maximum number of commands in flight on all connections together, regardless of the memory: far above a day's peak.
const MAX_COMMANDS: usize = 512;
/// The task and the buffers of an idle connection, in bytes. Requests in flight are budgeted as commands.
const CONNECTION_BYTES: usize = 4 << 10;
/// Divisor for the minimum fraction of the memory that customers get (one in 16).
const MIN_CUSTOMER_DIVISOR: usize = 16;
/// Eighths of the remaining memory that customers get. The last eighth is for requests in flight and for memory that
/// has been freed but not yet returned to the system.
const CUSTOMER_EIGHTHS: usize = 7;

/// The parts of the memory, in bytes except for `command_slots`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Total memory.
    pub total: usize,
    /// Number of commands in flight, each of which may get a response of the maximum length.
    pub command_slots: usize,
    /// Queued commands.
    pub commands: usize,
    /// Idle connections.
    pub connections: usize,
    /// State of customers.
    pub customers: usize,
}

impl MemoryBudget {
    /// Divides the memory of a process with these limits, in bytes and file descriptors. Responses get half of it and
    /// commands an eighth; customers get most of the memory that these, connections and the program leave unused.
    pub fn within(memory: usize, sockets: usize) -> MemoryBudget {
        let command_slots = (memory / 2 / MAX_VALUE).clamp(1, MAX_COMMANDS);
        let commands = memory / 8;
        let connections = sockets * CONNECTION_BYTES;
        let used = PROGRAM_BYTES + command_slots * MAX_VALUE + commands + connections;
        let remaining = memory.saturating_sub(used) / 8 * CUSTOMER_EIGHTHS;
        let customers = remaining.max(memory / MIN_CUSTOMER_DIVISOR);
        MemoryBudget { total: memory, command_slots, commands, connections, customers }
    }

    /// Returns the maximum number of customers: if all are active, and if all except those with requests in flight have
    /// compact state.
    pub fn max_customers(&self) -> (usize, usize) {
        customers_within(self.customers)
    }
}

#[cfg(test)]
mod tests;
