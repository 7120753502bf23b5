//! The attributes of a request that routes match on, and the destination that a look-up returns.

use crate::pool_mask::PoolMask;

/// Attributes of a request that routes match on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestAttributes {
    /// Position of the class in [`PlatformNames::classes`](crate::PlatformNames::classes).
    pub class: usize,
    /// Position of the customer's plan in [`PlatformNames::plans`](crate::PlatformNames::plans).
    pub plan: usize,
    /// Number of the customer.
    pub customer: u64,
}

/// Identifies a route within one version of the routing table by its position in the order of the files. The next
/// version may have another route in that position, see [`RoutingTable::successors`](crate::RoutingTable::successors).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteId(pub(crate) u16);

impl RouteId {
    /// Returns the position in the order of the files, from 0, below [`RoutingTable::len`](crate::RoutingTable::len).
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The pools that a request may go to. A request keeps its destination until it is answered, even if the files are
/// reloaded meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// The route, in the version of the table that returned the destination; `None` if no route applies.
    pub route: Option<RouteId>,
    /// The pool of the route; [`PoolMask::ALL`] without a route.
    pub pool: PoolMask,
    /// The pool that takes over while no host of `pool` is in service; may be empty.
    pub fallback: PoolMask,
    /// Maximum number of attempts for the route that one gateway may have in flight, `most-out` in the operators'
    /// language; `None` for no limit. A limit of 0 admits no attempt.
    pub max_in_flight: Option<u32>,
}

impl Default for Destination {
    /// Returns the destination without a route: all hosts, no limit.
    fn default() -> Destination {
        Destination { route: None, pool: PoolMask::ALL, fallback: PoolMask::NONE, max_in_flight: None }
    }
}

impl Destination {
    /// Returns the pools that the route names; no pool without a route. A gateway passes the union over its requests in
    /// flight to [`RoutingTable::compile_after`](crate::RoutingTable::compile_after).
    #[must_use]
    pub fn named_pools(&self) -> PoolMask {
        match self.route {
            Some(_) => self.pool | self.fallback,
            None => PoolMask::NONE,
        }
    }
}
