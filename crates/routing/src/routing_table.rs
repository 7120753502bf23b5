//! One version of the operators' pools and routes, compiled for look-ups.

use std::collections::{BTreeMap, BTreeSet};

use config_language::model::{At, Operators, Route};

use crate::destination::{Destination, RequestAttributes, RouteId};
use crate::error::{RoutingError, RoutingErrorKind};
use crate::limits::MAX_ROUTES;
use crate::platform_names::PlatformNames;
use crate::pool_mask::PoolMask;
use crate::pool_set::{HostAttributes, PoolSet};
use crate::site_pools::{with_site_pools, SitePools};
use crate::table_grid::TableGrid;

#[cfg(test)]
mod tests;

/// One version of the operators' pools and routes, compiled. It never changes. The default has neither pools nor
/// routes: all requests go to all hosts.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    pools: PoolSet,
    site_pools: SitePools,
    grid: TableGrid,
    /// The destination of each route.
    destinations: Box<[Destination]>,
    /// The name of each route.
    names: Box<[Box<str>]>,
}

impl RoutingTable {
    /// Compiles a first version.
    ///
    /// # Errors
    /// A name that is unknown or not unique, too many pools or routes, or tables beyond
    /// [`MAX_RANGES`](crate::MAX_RANGES). The checker of the operators' language reports all but
    /// the exceeded bounds earlier, in more detail.
    pub fn compile(operators: &Operators, names: &PlatformNames) -> Result<RoutingTable, RoutingError> {
        RoutingTable::compile_after(&RoutingTable::default(), PoolMask::NONE, operators, names)
    }

    /// Compiles the version that follows `previous`. Pools keep their bits by name.
    ///
    /// `in_use` is the union of [`Destination::named_pools`] over all requests in flight: these pools keep their bits
    /// and hosts even if the files no longer have them.
    ///
    /// # Errors
    /// As [`RoutingTable::compile`], and temporarily if there is no bit for a new pool because removed ones are in
    /// use.
    pub fn compile_after(
        previous: &RoutingTable,
        in_use: PoolMask,
        operators: &Operators,
        names: &PlatformNames,
    ) -> Result<RoutingTable, RoutingError> {
        let defined_pools = with_site_pools(operators, names)?;
        let pools = PoolSet::assign_bits(&defined_pools, names, &previous.pools, in_use)?;
        let site_pools = SitePools::new(operators, names, &pools);
        let routes = &operators.routes;
        check_routes(routes)?;
        let grid = TableGrid::compile(routes, names)?;
        let destinations = destinations(routes, &pools.defined_masks_by_name())?;
        let names = routes.iter().map(|route| route.name.value.as_str().into()).collect();
        Ok(RoutingTable { pools, site_pools, grid, destinations, names })
    }

    /// Returns the pools that a host is in. The host is compared with each pool, so this is meant to be called at each
    /// change of the endpoint list, not for each request.
    #[must_use]
    pub fn pools_of(&self, host: &HostAttributes) -> PoolMask {
        self.pools.pools_of(host)
    }

    /// Returns the parts of `pools` that are in a set of sites; each part is a pool itself. [`PoolMask::ALL`]
    /// and [`PoolMask::NONE`] mean all hosts.
    ///
    /// `sites` has a bit for each site, by its position in the files, and bit 63 for the hosts that are in no site.
    #[must_use]
    pub fn pools_in_sites(&self, pools: PoolMask, sites: u64) -> PoolMask {
        self.site_pools.in_sites(pools, sites)
    }

    /// Returns the pools that a host is in according to this version but not according to `next`, as bits of this
    /// version. Pools are matched by name.
    #[must_use]
    pub fn pools_left_by(&self, next: &RoutingTable, host: &HostAttributes) -> PoolMask {
        self.pools.pools_left_by(&next.pools, host)
    }

    /// Returns the names of the pools in a mask, including removed pools that requests in flight use.
    pub fn pool_names(&self, mask: PoolMask) -> impl Iterator<Item = &str> {
        self.pools.names(mask)
    }

    /// Returns the destination of the first route that applies to a request, or the default if none does.
    ///
    /// The cost is one binary search in one table.
    #[inline]
    #[must_use]
    pub fn lookup(&self, request: RequestAttributes) -> Destination {
        self.lookup_counting(request, || ())
    }

    /// Does [`RoutingTable::lookup`], and calls `on_comparison` at each comparison of the search.
    #[inline]
    fn lookup_counting(&self, request: RequestAttributes, on_comparison: impl FnMut()) -> Destination {
        let Some(winner) = self.grid.winner(request, on_comparison) else {
            return Destination::default();
        };
        // `NO_ROUTE` is past the last route, so it gets the default destination.
        self.destinations.get(usize::from(winner)).copied().unwrap_or_default()
    }

    /// Returns the name of a route of this version; empty for an id that only another version has.
    #[must_use]
    pub fn route_name(&self, route: RouteId) -> &str {
        self.names.get(route.index()).map_or("", |name| name)
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.destinations.len()
    }

    /// Returns whether there are no routes, so that each request has the default destination.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.destinations.is_empty()
    }

    /// Returns, for each route of this version, the route of `next` that has the same name.
    #[must_use]
    pub fn successors(&self, next: &RoutingTable) -> Vec<Option<RouteId>> {
        let ids = (0..=u16::MAX).map(RouteId);
        let next_ids: BTreeMap<&str, RouteId> = next.names.iter().map(|name| &**name).zip(ids).collect();
        self.names.iter().map(|name| next_ids.get(&**name).copied()).collect()
    }

    /// Returns the number of customer ranges in all tables.
    #[must_use]
    pub fn range_count(&self) -> usize {
        self.grid.range_count()
    }

    /// Returns the number of bytes that a look-up may read: the tables and the destinations, without the names.
    #[must_use]
    pub fn lookup_bytes(&self) -> usize {
        self.grid.heap_bytes() + size_of_val(&*self.destinations)
    }
}

/// Checks that there are not too many routes, and that their names are unique.
fn check_routes(routes: &[Route]) -> Result<(), RoutingError> {
    if let Some(route) = routes.get(MAX_ROUTES) {
        return Err(RoutingErrorKind::TooManyRoutes(route.name.value.clone()).at(&route.name.origin));
    }
    let mut unique = BTreeSet::new();
    match routes.iter().find(|route| !unique.insert(&route.name.value)) {
        Some(route) => Err(RoutingErrorKind::DuplicateRoute(route.name.value.clone()).at(&route.name.origin)),
        None => Ok(()),
    }
}

/// Returns the destination of each route.
///
/// # Errors
/// The first name of a pool that is not defined.
fn destinations(
    routes: &[Route],
    pools: &BTreeMap<&str, PoolMask>,
) -> Result<Box<[Destination]>, RoutingError> {
    let mask_of = |pool: &At<String>| {
        let mask = pools.get(pool.value.as_str()).copied();
        mask.ok_or_else(|| RoutingErrorKind::UnknownPool(pool.value.clone()).at(&pool.origin))
    };
    let destination = |(route, number): (&Route, u16)| {
        Ok(Destination {
            route: Some(RouteId(number)),
            pool: mask_of(&route.pool)?,
            fallback: route.fallback.as_ref().map_or(Ok(PoolMask::NONE), mask_of)?,
            max_in_flight: route.most_out.as_ref().map(|limit| limit.value),
        })
    };
    routes.iter().zip(0..).map(destination).collect()
}
