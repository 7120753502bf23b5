//! A request as routes see it, and where it goes.

use crate::pool_mask::PoolMask;

/// Attributes of a request by which routes apply to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestAttributes {
    /// Position of the class in [`PlatformNames::classes`](crate::PlatformNames::classes).
    pub class: usize,
    /// Position of the customer's plan in [`PlatformNames::plans`](crate::PlatformNames::plans).
    pub plan: usize,
    /// Number of the customer.
    pub customer: u64,
}

/// A route of one version of the routing table, by its position in the order of the files. The next version may have
/// another route in that position, see [`RoutingTable::successors`](crate::RoutingTable::successors).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteId(pub(crate) u16);

impl RouteId {
    /// Returns the position in the order of the files, from 0, below [`RoutingTable::len`](crate::RoutingTable::len).
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Where a request goes. A request keeps its destination until it is answered, also if the files are reloaded
/// meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// The route in the version that made the destination; none if no route applies.
    pub route: Option<RouteId>,
    /// The pool of the route; [`PoolMask::ALL`] without a route.
    pub pool: PoolMask,
    /// The pool that takes over while no host of `pool` is in service; may be empty.
    pub fallback: PoolMask,
    /// Maximum number of attempts of the route that one gateway may have in flight, `most-out` in the operators'
    /// language; none for no limit. A limit of 0 lets no attempt through.
    pub max_in_flight: Option<u32>,
}

impl Default for Destination {
    /// Returns the destination without a route: all hosts, no limit.
    fn default() -> Destination {
        Destination { route: None, pool: PoolMask::ALL, fallback: PoolMask::NONE, max_in_flight: None }
    }
}

impl Destination {
    /// Returns the pools that the route names; none without a route. A gateway passes the union over its requests in
    /// flight to [`RoutingTable::compile_after`](crate::RoutingTable::compile_after).
    #[must_use]
    pub fn named_pools(&self) -> PoolMask {
        match self.route {
            Some(_) => self.pool | self.fallback,
            None => PoolMask::NONE,
        }
    }
}
