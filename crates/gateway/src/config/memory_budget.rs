//! What a gateway's memory goes to. One budget, made of `limits.memory_mb`, that all who keep something for a request,
//! a connection or a customer are held to; what is said of it to operators is said from here.

use policy::customers_within;
use resp::MAX_VALUE;

/// The program, its runtime and its buffers, and what the allocator leaves unused.
const PROGRAM: usize = 6 << 20;
/// Commands in hand on all connections together, however much memory there is: far above a day's peak.
const MAX_IN_HAND: usize = 512;
/// A connection's task and its buffers, at rest; what it has in hand beyond that is counted with the commands.
const CONNECTION: usize = 4 << 10;
/// Customers get one in so many of the bytes at the least, and of what is left beside all else so many in eight: the
/// rest is for requests in hand and for what is freed and not yet given back to the system.
const LEAST_FOR_CUSTOMERS: usize = 16;
const EIGHTHS_FOR_CUSTOMERS: usize = 7;

/// Parts of the memory, in bytes but for `places`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// All of it.
    pub memory: usize,
    /// Commands in hand, each of which may have a value of the greatest length coming.
    pub places: usize,
    /// Commands themselves, as long as they wait.
    pub commands: usize,
    /// Connections at rest.
    pub connections: usize,
    /// Customers known.
    pub customers: usize,
}

impl Budget {
    /// For a process that may take so many bytes and hold so many descriptors. Half of the memory is for values, an
    /// eighth for commands; what these, connections and the program leave is for customers.
    pub fn within(memory: usize, sockets: usize) -> Budget {
        let places = (memory / 2 / MAX_VALUE).clamp(1, MAX_IN_HAND);
        let commands = memory / 8;
        let connections = sockets * CONNECTION;
        let taken = PROGRAM + places * MAX_VALUE + commands + connections;
        let left = memory.saturating_sub(taken) / 8 * EIGHTHS_FOR_CUSTOMERS;
        let customers = left.max(memory / LEAST_FOR_CUSTOMERS);
        Budget { memory, places, commands, connections, customers }
    }

    /// Customers that can be known at once: all of them in full, and all but those in hand in their small form.
    pub fn customers_known(&self) -> (usize, usize) {
        customers_within(self.customers)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_parts_fit_into_the_whole_on_any_machine_of_service() {
        for (mb, sockets) in [(32, 256), (32, 1024), (64, 512), (192, 1024), (2048, 4096)] {
            let budget = Budget::within(mb << 20, sockets);
            let parts = budget.places * MAX_VALUE + budget.commands + budget.connections + budget.customers;
            assert!(parts + PROGRAM <= budget.memory, "{mb} MB: {budget:?}");
            assert!(budget.places >= 64, "{mb} MB: {budget:?}");
        }
    }

    #[test]
    fn the_smallest_machine_knows_thirty_thousand_customers_and_a_usual_one_most_of_a_million() {
        let known = |mb: usize, sockets| Budget::within(mb << 20, sockets).customers_known().1;
        assert!(known(32, 256) >= 30_000, "{}", known(32, 256));
        assert!(known(64, 512) >= 100_000, "{}", known(64, 512));
        assert!(known(192, 1024) >= 700_000, "{}", known(192, 1024));
        assert!(known(4, 64) >= 1_000, "also on less than it needs: {}", known(4, 64));
    }
}
