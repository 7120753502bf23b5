//! The operators' pools, routes and quota policies in effect at this gateway, across versions of their files.

use config_language::model::Operators;
use platform_settings::PlatformSettings;
use policy::api::{Plan, Request, Route, RouteLimit};
use routing::{
    effective_quotas, Destination, EffectiveQuota, GrantedQuota, HostAttributes, PlatformNames, PoolMask,
    RequestAttributes, RoutingError, RoutingTable,
};
use site_failover::{FailoverPlan, PlanError, SiteSet};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of pools: the number of bits in a pool mask.
const MAX_POOLS: usize = 64;

/// Why the operators' files cannot be put into effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperatorsError {
    /// The pools, routes or quota policies are invalid.
    #[error(transparent)]
    Routing(#[from] RoutingError),
    /// The site failover plan is invalid.
    #[error(transparent)]
    Failover(#[from] PlanError),
}

/// The current version of the operators' files, with the pools of earlier versions that requests in flight still use.
pub(crate) struct RequestRouter {
    platform: Arc<PlatformSettings>,
    table: RoutingTable,
    /// The platform's plans, with the stricter limits of the operators' quota policies applied.
    plans: Vec<Plan>,
    failover_plan: FailoverPlan,
    /// Numbers of the routes, by index in the table. A route that the next version has under the same name keeps its
    /// number, so that its limit counts the attempts of both versions together.
    route_numbers: Vec<u32>,
    last_route_number: u32,
    /// Number of requests in flight that may be forwarded to each pool.
    requests_by_pool: [u32; MAX_POOLS],
    /// Pools with a host that accepts requests, one bit each.
    pools_with_hosts: u64,
}

impl RequestRouter {
    /// Creates the router with the first version of the files.
    ///
    /// # Errors
    /// The files are invalid.
    pub fn new(
        platform: Arc<PlatformSettings>,
        operators: &Operators,
    ) -> Result<RequestRouter, OperatorsError> {
        let mut router = RequestRouter {
            plans: platform.settings.plans.clone(),
            platform,
            table: RoutingTable::default(),
            failover_plan: FailoverPlan::default(),
            route_numbers: Vec::new(),
            last_route_number: 0,
            requests_by_pool: [0; MAX_POOLS],
            pools_with_hosts: 0,
        };
        router.reload(operators)?;
        Ok(router)
    }

    /// Puts another version of the files into effect, completely or not at all.
    ///
    /// # Errors
    /// The files are invalid; the current version stays in effect.
    pub fn reload(&mut self, operators: &Operators) -> Result<(), OperatorsError> {
        let platform = &self.platform;
        let names = PlatformNames {
            classes: &platform.class_names,
            plans: &platform.plan_names,
            zones: &platform.zone_names,
            machine_types: &platform.machine_types,
        };
        let failover_names = site_failover::PlatformNames {
            classes: &platform.class_names,
            plans: &platform.plan_names,
            zones: &platform.zone_names,
        };
        let plans = tightened_plans(platform, operators)?;
        let failover_plan = FailoverPlan::compile(operators, &failover_names)?;
        let table = RoutingTable::compile_after(&self.table, self.pools_in_use(), operators, &names)?;
        self.route_numbers = self.assign_route_numbers(&table);
        self.plans = plans;
        self.failover_plan = failover_plan;
        self.table = table;
        Ok(())
    }

    /// Returns the numbers of the routes in the next table: routes of the current table keep theirs, others get new
    /// ones.
    fn assign_route_numbers(&mut self, next: &RoutingTable) -> Vec<u32> {
        let mut numbers_by_index = BTreeMap::new();
        for (number, successor) in self.route_numbers.iter().zip(self.table.successors(next)) {
            if let Some(successor) = successor {
                numbers_by_index.insert(successor.index(), *number);
            }
        }
        let mut number_of = |index: usize| match numbers_by_index.get(&index) {
            Some(number) => *number,
            None => {
                self.last_route_number = self.last_route_number.wrapping_add(1);
                self.last_route_number
            }
        };
        (0..next.len()).map(&mut number_of).collect()
    }

    /// Returns the pools to which requests in flight may be forwarded.
    fn pools_in_use(&self) -> PoolMask {
        let used = (0..MAX_POOLS).filter(|pool| self.requests_by_pool[*pool] > 0);
        PoolMask(used.fold(0, |mask, pool| mask | 1 << pool))
    }

    /// Returns the plans in effect.
    pub fn plans(&self) -> &[Plan] {
        &self.plans
    }

    /// Returns the site failover plan in effect.
    pub fn failover_plan(&self) -> &FailoverPlan {
        &self.failover_plan
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns the pools that a host belongs to.
    pub fn pools_of(&self, host: &HostAttributes) -> u64 {
        self.table.pools_of(host).0
    }

    /// Sets which pools have a host that accepts requests, from the pools of each such host.
    pub fn set_pools_with_hosts(&mut self, pools: impl Iterator<Item = u64>) {
        self.pools_with_hosts = pools.fold(0, |all, pools| all | pools);
    }

    /// Selects the route of a request that may be forwarded to these sites only. The route's pools count as in use
    /// until [`RequestRouter::release`].
    pub fn select(&mut self, request: &Request, sites: SiteSet) -> Route {
        let attributes =
            RequestAttributes { class: request.class, plan: request.plan, customer: request.customer.0 };
        let destination = self.table.lookup(attributes);
        let route = self.route_to(&destination);
        let route = if sites == SiteSet::ALL { route } else { self.restrict(route, sites) };
        self.for_each_pool(&route, |requests| *requests = requests.wrapping_add(1));
        route
    }

    fn route_to(&self, destination: &Destination) -> Route {
        let number = destination.route.and_then(|route| self.route_numbers.get(route.index()).copied());
        let Some(number) = number else { return Route::default() };
        let limit =
            destination.max_in_flight.map(|max_in_flight| RouteLimit { route: number, max_in_flight });
        Route { pools: destination.pool.0, fallback: destination.fallback.0, limit }
    }

    /// Restricts a route to sites. A route is not restricted if its pool has no host in these sites that accepts
    /// requests; hosts of lost sites accept none anyway. If the sites lose their last host later, the pool's hosts in
    /// all sites are the fallback, or the route's own fallback if the pool has no host in other sites.
    fn restrict(&self, route: Route, sites: SiteSet) -> Route {
        let pools_in = |sites: SiteSet| self.table.pools_in_sites(PoolMask(route.pools), sites.0).0;
        let allowed = pools_in(sites);
        let all = pools_in(SiteSet::ALL);
        if allowed & self.pools_with_hosts == 0 {
            return route;
        }
        let has_other_hosts = all & !allowed & self.pools_with_hosts != 0;
        let fallback = if has_other_hosts { all } else { route.fallback };
        Route { pools: allowed, fallback, ..route }
    }

    /// Releases the pools of a request that has been answered and whose attempts have all ended.
    pub fn release(&mut self, route: &Route) {
        self.for_each_pool(route, |requests| *requests = requests.wrapping_sub(1));
    }

    fn for_each_pool(&mut self, route: &Route, change: impl Fn(&mut u32)) {
        let mut remaining = route.pools | route.fallback;
        while remaining != 0 {
            change(&mut self.requests_by_pool[remaining.trailing_zeros() as usize]);
            remaining &= remaining - 1;
        }
    }
}

/// Checks whether gateways with these settings can put the operators' files into effect.
///
/// # Errors
/// Returns the first error, with file, line, column and reason.
pub fn check_operators(platform: &PlatformSettings, operators: &Operators) -> Result<(), OperatorsError> {
    RequestRouter::new(Arc::new(platform.clone()), operators).map(drop)
}

/// Returns the platform's plans, with the stricter limits of the operators' quota policies applied.
fn tightened_plans(platform: &PlatformSettings, operators: &Operators) -> Result<Vec<Plan>, RoutingError> {
    let plans = &platform.settings.plans;
    let named = platform.plan_names.iter().zip(plans);
    let granted: Vec<GrantedQuota> = named
        .map(|(name, plan)| GrantedQuota {
            plan: name,
            rate: plan.rate,
            burst: plan.burst,
            max_concurrent: plan.max_concurrent,
        })
        .collect();
    let effective = effective_quotas(operators, &granted)?;
    let tightened = |(plan, quota): (&Plan, EffectiveQuota)| Plan {
        rate: quota.rate.value,
        burst: quota.burst.value,
        max_concurrent: quota.max_concurrent.value,
        ..plan.clone()
    };
    Ok(plans.iter().zip(effective).map(tightened).collect())
}

#[cfg(test)]
mod tests;
