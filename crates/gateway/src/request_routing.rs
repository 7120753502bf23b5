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

/// Number of pools: the bits of a mask.
const POOLS: usize = 64;

/// Why the operators' files cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperatorsError {
    /// The pools, routes or quota policies cannot be used.
    #[error(transparent)]
    Routing(#[from] RoutingError),
    /// The plan for lost sites cannot be used.
    #[error(transparent)]
    Failover(#[from] PlanError),
}

/// The current version of the operators' files, and what requests in flight still use of earlier ones.
pub(crate) struct RequestRouter {
    platform: Arc<PlatformSettings>,
    table: RoutingTable,
    /// The platform's plans, tightened by the operators.
    plans: Vec<Plan>,
    failover_plan: FailoverPlan,
    /// Numbers of the routes, by index in the table. A route that the next version has by the same name keeps its number,
    /// so that its limit counts the attempts of both versions.
    route_numbers: Vec<u32>,
    last_route_number: u32,
    /// Number of requests in flight that may go to each pool.
    requests_by_pool: [u32; POOLS],
    /// Pools with a host that accepts requests, one bit each.
    pools_with_hosts: u64,
}

impl RequestRouter {
    /// Creates the router with the first version of the files.
    ///
    /// # Errors
    /// The files cannot be used.
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
            requests_by_pool: [0; POOLS],
            pools_with_hosts: 0,
        };
        router.reload(operators)?;
        Ok(router)
    }

    /// Puts another version of the files into effect as a whole.
    ///
    /// # Errors
    /// The files cannot be used; nothing changes then.
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
        self.route_numbers = self.numbers_in(&table);
        self.plans = plans;
        self.failover_plan = failover_plan;
        self.table = table;
        Ok(())
    }

    /// Numbers the routes of the next table.
    fn numbers_in(&mut self, next: &RoutingTable) -> Vec<u32> {
        let mut kept = BTreeMap::new();
        for (number, successor) in self.route_numbers.iter().zip(self.table.successors(next)) {
            if let Some(successor) = successor {
                kept.insert(successor.index(), *number);
            }
        }
        let mut number = |index: usize| match kept.get(&index) {
            Some(number) => *number,
            None => {
                self.last_route_number = self.last_route_number.wrapping_add(1);
                self.last_route_number
            }
        };
        (0..next.len()).map(&mut number).collect()
    }

    fn pools_in_use(&self) -> PoolMask {
        let used = (0..POOLS).filter(|pool| self.requests_by_pool[*pool] > 0);
        PoolMask(used.fold(0, |mask, pool| mask | 1 << pool))
    }

    /// Returns the plans in effect.
    pub fn plans(&self) -> &[Plan] {
        &self.plans
    }

    /// Returns the plan for lost sites.
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

    /// Sets the pools of all hosts that accept requests.
    pub fn set_pools_with_hosts(&mut self, pools: impl Iterator<Item = u64>) {
        self.pools_with_hosts = pools.fold(0, |all, pools| all | pools);
    }

    /// Selects the route of a request that is restricted to these sites. Its pools stay in use until
    /// [`RequestRouter::release`].
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

    /// Restricts a route to sites. A pool without a host there is not restricted: hosts of lost sites accept no requests
    /// anyway. Once the sites have no host any more, the rest of the pool takes over, and only where there is no rest the
    /// route's fallback.
    fn restrict(&self, route: Route, sites: SiteSet) -> Route {
        let pools_in = |sites: SiteSet| self.table.pools_in_sites(PoolMask(route.pools), sites.0).0;
        let allowed = pools_in(sites);
        let all = pools_in(SiteSet::ALL);
        if allowed & self.pools_with_hosts == 0 {
            return route;
        }
        let has_rest = all & !allowed & self.pools_with_hosts != 0;
        let fallback = if has_rest { all } else { route.fallback };
        Route { pools: allowed, fallback, ..route }
    }

    /// Releases the pools of a request that is over, with all its attempts.
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

/// Checks whether gateways with these settings can put operators' files into effect.
///
/// # Errors
/// The first error, with file, line, column and reason.
pub fn check_operators(platform: &PlatformSettings, operators: &Operators) -> Result<(), OperatorsError> {
    RequestRouter::new(Arc::new(platform.clone()), operators).map(drop)
}

/// Returns the platform's plans, tightened by the operators' quota policies.
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
