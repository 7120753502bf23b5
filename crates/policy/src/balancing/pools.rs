//! Pools of hosts and limited routes: which pools serve a route, and how many attempts may be in flight in
//! pools and on limited routes.

use crate::api::{HostEntry, HostState, Route, RouteLimit};
use crate::concurrency::adaptive_share::AdaptiveShare;
use std::collections::BTreeMap;

/// Number of pools in a bit mask.
const MAX_POOLS: usize = 64;
/// Tolerance for accumulated rounding errors, as a fraction of a slot.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Slots of the pools, and attempts in flight in pools and on limited routes.
pub(crate) struct Pools {
    gateways: f64,
    /// The adaptive share, common to all pools: a single pool gets too few responses to adapt its own.
    share: AdaptiveShare,
    /// This gateway's even share of the slots of each pool's hosts that accept requests.
    slots: [f64; MAX_POOLS],
    /// Bit mask of the pools with a host that accepts requests.
    available: u64,
    in_flight: [u32; MAX_POOLS],
    /// Attempts in flight on each limited route that has at least one.
    limited_routes: BTreeMap<u32, u32>,
}

/// Iterates over the indexes of the pools in a bit mask.
pub(super) fn pools_in(mask: u64) -> impl Iterator<Item = usize> {
    let remaining = std::iter::successors(Some(mask), |mask| Some(mask & mask.wrapping_sub(1)));
    remaining.take_while(|mask| *mask != 0).map(|mask| mask.trailing_zeros() as usize)
}

impl Pools {
    /// Returns pools without hosts, for one of `gateways` gateways.
    pub fn new(gateways: u32) -> Pools {
        Pools {
            gateways: f64::from(gateways.max(1)),
            share: AdaptiveShare::new(gateways),
            slots: [0.0; MAX_POOLS],
            available: 0,
            in_flight: [0; MAX_POOLS],
            limited_routes: BTreeMap::new(),
        }
    }

    /// Recomputes the slots of all pools after the endpoint list has changed, from each host's slots for all
    /// gateways together.
    pub fn recount<'a>(&mut self, hosts: impl Iterator<Item = (&'a HostEntry, f64)>) {
        self.slots = [0.0; MAX_POOLS];
        self.available = 0;
        for (host, slots) in hosts.filter(|(host, _)| host.state == HostState::Ready) {
            self.available |= host.pools;
            self.change_slots(host.pools, slots / self.gateways);
        }
    }

    /// Sets the share of the slots that this gateway may use.
    pub fn set_share(&mut self, share: AdaptiveShare) {
        self.share = share;
    }

    /// Changes the even share of these pools by this number of slots.
    pub fn change_slots(&mut self, pools: u64, change: f64) {
        pools_in(pools).for_each(|pool| self.slots[pool] += change);
    }

    /// Returns the pools that currently serve a route; zero means all hosts.
    pub fn serving_pools(&self, route: &Route) -> u64 {
        let is_unavailable = route.pools & self.available == 0;
        if is_unavailable && route.fallback != 0 {
            route.fallback
        } else {
            route.pools
        }
    }

    /// Returns whether a request of this route may be forwarded to this host.
    pub fn is_eligible(&self, route: &Route, host: &HostEntry) -> bool {
        let pools = self.serving_pools(route);
        pools == 0 || pools & host.pools != 0
    }

    /// Returns whether nothing can be forwarded on a route although hosts are known, so that waiting is
    /// useless.
    pub fn is_unservable(&self, route: &Route, has_hosts: bool) -> bool {
        let pools = self.serving_pools(route);
        let is_unavailable = has_hosts && pools != 0 && pools & self.available == 0;
        is_unavailable || route.limit.is_some_and(|limit| limit.max_in_flight == 0)
    }

    /// Returns whether the pools of a route have a free slot, and the route is below its limit.
    pub fn has_free_slot(&self, route: &Route) -> bool {
        let is_below = |limit: &RouteLimit| self.in_flight_on(limit.route) < limit.max_in_flight;
        let pools = self.serving_pools(route);
        route.limit.as_ref().is_none_or(is_below)
            && (pools == 0 || pools_in(pools).any(|pool| self.pool_has_free_slot(pool)))
    }

    fn pool_has_free_slot(&self, pool: usize) -> bool {
        f64::from(self.in_flight[pool]) < (self.share.slots(self.slots[pool]) - ROUNDING_TOLERANCE).ceil()
    }

    fn in_flight_on(&self, route: u32) -> u32 {
        self.limited_routes.get(&route).copied().unwrap_or(0)
    }

    /// Records that an attempt is forwarded, and returns the pools whose slots it occupies, for
    /// [`Pools::release_slot`].
    #[must_use]
    pub fn start_attempt(&mut self, route: &Route) -> u64 {
        if let Some(limit) = &route.limit {
            *self.limited_routes.entry(limit.route).or_default() += 1;
        }
        let pools = self.serving_pools(route);
        pools_in(pools).for_each(|pool| self.in_flight[pool] += 1);
        pools
    }

    /// Releases the slots that an attempt occupies in these pools.
    pub fn release_slot(&mut self, occupied_pools: u64) {
        pools_in(occupied_pools).for_each(|pool| self.in_flight[pool] -= 1);
    }

    /// Records that an attempt on this route has ended.
    pub fn end_attempt(&mut self, route: &Route) {
        let Some(limit) = &route.limit else { return };
        let Some(in_flight) = self.limited_routes.get_mut(&limit.route) else { return };
        *in_flight -= 1;
        if *in_flight == 0 {
            self.limited_routes.remove(&limit.route);
        }
    }
}
