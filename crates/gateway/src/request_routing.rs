//! The operators' pools, routes and quota policies as they are in force at this gateway.

use config_language::model::Operators;
use platform_settings::PlatformSettings;
use policy::api::{Plan, Request, Route, RouteLimit};
use routing::{
    effective_quotas, Destination, EffectiveQuota, GrantedQuota, HostAttributes, PlatformNames, PoolMask,
    RequestAttributes, RoutingError, RoutingTable,
};
use site_failover::{PlanError, SiteSet};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Why the operators' files cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Unusable {
    #[error(transparent)]
    Route(#[from] RoutingError),
    #[error(transparent)]
    Plan(#[from] PlanError),
}

/// One version of the operators' files after the other, and what requests in hand still hold of earlier ones.
pub(crate) struct Routing {
    site: Arc<PlatformSettings>,
    routes: RoutingTable,
    /// What the platform grants, tightened by the operators.
    plans: Vec<Plan>,
    /// What to do when a whole site is lost.
    sites: site_failover::FailoverPlan,
    /// Numbers of the routes, by place. One that is there by its name in the next version keeps its number, so
    /// that its limit counts what is out of both.
    numbers: Vec<u32>,
    next_number: u32,
    /// How many requests in hand may go to each pool.
    held: [u32; 64],
    /// Pools with a host that takes work, a bit each.
    peopled: u64,
}

impl Routing {
    /// The first version.
    pub fn new(site: Arc<PlatformSettings>, operators: &Operators) -> Result<Routing, Unusable> {
        let plans = site.settings.plans.clone();
        let sites = site_failover::FailoverPlan::default();
        let routes = RoutingTable::default();
        let numbers = Vec::new();
        let mut routing =
            Routing { site, routes, plans, sites, numbers, next_number: 0, held: [0; 64], peopled: 0 };
        routing.turn(operators)?;
        Ok(routing)
    }

    /// Puts another version in force as a whole, or leaves all as it was.
    pub fn turn(&mut self, operators: &Operators) -> Result<(), Unusable> {
        let site = &self.site;
        let facts = PlatformNames {
            classes: &site.class_names,
            plans: &site.plan_names,
            zones: &site.zone_names,
            machine_types: &site.machine_types,
        };
        let plans = plans(site, operators)?;
        let facts_of_sites = site_failover::PlatformNames {
            classes: &site.class_names,
            plans: &site.plan_names,
            zones: &site.zone_names,
        };
        let sites = site_failover::FailoverPlan::compile(operators, &facts_of_sites)?;
        let routes = RoutingTable::compile_after(&self.routes, self.in_use(), operators, &facts)?;
        self.number(&routes);
        self.plans = plans;
        self.sites = sites;
        self.routes = routes;
        Ok(())
    }

    fn number(&mut self, next: &RoutingTable) {
        let mut kept = BTreeMap::new();
        for (number, successor) in self.numbers.iter().zip(self.routes.successors(next)) {
            if let Some(successor) = successor {
                kept.insert(successor.index(), *number);
            }
        }
        let fresh = &mut self.next_number;
        let number = |place: usize| {
            kept.get(&place).copied().unwrap_or_else(|| {
                *fresh = fresh.wrapping_add(1);
                *fresh
            })
        };
        self.numbers = (0..next.len()).map(number).collect();
    }

    fn in_use(&self) -> PoolMask {
        let used = (0..64).filter(|bit| self.held[*bit] > 0);
        PoolMask(used.fold(0, |mask, bit| mask | 1 << bit))
    }

    /// The plans in force.
    pub fn plans(&self) -> &[Plan] {
        &self.plans
    }

    /// What to do when a whole site is lost.
    pub fn sites(&self) -> &site_failover::FailoverPlan {
        &self.sites
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// The pools that a host is in.
    pub fn pools_of(&self, host: &HostAttributes) -> u64 {
        self.routes.pools_of(host).0
    }

    /// These hosts are all that take work, each with its pools.
    pub fn people(&mut self, pools: impl Iterator<Item = u64>) {
        self.peopled = pools.fold(0, |all, pools| all | pools);
    }

    /// Says where a request may go that is kept to these sites, and holds the pools for it until [`Routing::let_go`].
    pub fn choose(&mut self, request: &Request, sites: SiteSet) -> Route {
        let attributes =
            RequestAttributes { class: request.class, plan: request.plan, customer: request.customer.0 };
        let choice = self.routes.lookup(attributes);
        let route = self.route(&choice);
        let route = if sites == SiteSet::ALL { route } else { self.within(route, sites) };
        self.count(&route, 1);
        route
    }

    fn route(&self, choice: &Destination) -> Route {
        let Some(number) = choice.route.and_then(|route| self.numbers.get(route.index()).copied()) else {
            return Route::default();
        };
        let limit =
            choice.max_in_flight.map(|most_out| RouteLimit { route: number, max_in_flight: most_out });
        Route { pools: choice.pool.0, fallback: choice.fallback.0, limit }
    }

    /// The same, kept to sites. Where its pool has no host there, its route counts as it stands: hosts of lost sites
    /// take no work anyway. Once those sites have no host any more, the rest of its pool takes over, and only where
    /// there is no rest, what its route falls back on.
    fn within(&self, route: Route, sites: SiteSet) -> Route {
        let part = |sites: SiteSet| self.routes.pools_in_sites(PoolMask(route.pools), sites.0).0;
        let (here, all) = (part(sites), part(SiteSet::ALL));
        if here & self.peopled == 0 {
            return route;
        }
        let fallback = match all & !here & self.peopled {
            0 => route.fallback,
            _ => all,
        };
        Route { pools: here, fallback, ..route }
    }

    /// The request is over, and all its attempts.
    pub fn let_go(&mut self, route: &Route) {
        self.count(route, -1);
    }

    fn count(&mut self, route: &Route, by: i32) {
        let mut left = route.pools | route.fallback;
        while left != 0 {
            let held = &mut self.held[left.trailing_zeros() as usize];
            *held = held.wrapping_add_signed(by);
            left &= left - 1;
        }
    }
}

/// Whether the gateways of a site can put operators' files in force.
///
/// # Errors
/// The first error, with file, line, column and reason.
pub fn check_operators(site: &PlatformSettings, operators: &Operators) -> anyhow::Result<()> {
    Ok(Routing::new(Arc::new(site.clone()), operators).map(drop)?)
}

/// What the platform grants, tightened.
fn plans(site: &PlatformSettings, operators: &Operators) -> Result<Vec<Plan>, RoutingError> {
    let granted = &site.settings.plans;
    let mut quotas = Vec::with_capacity(granted.len());
    for (name, plan) in site.plan_names.iter().zip(granted) {
        quotas.push(GrantedQuota {
            plan: name,
            rate: plan.rate,
            burst: plan.burst,
            max_concurrent: plan.max_concurrent,
        });
    }
    let in_force = effective_quotas(operators, &quotas)?;
    let plan = |(plan, force): (&Plan, EffectiveQuota)| Plan {
        rate: force.rate.value,
        burst: force.burst.value,
        max_concurrent: force.max_concurrent.value,
        ..plan.clone()
    };
    Ok(granted.iter().zip(in_force).map(plan).collect())
}

#[cfg(test)]
mod tests {
    use super::*;
    use config_language::{load, loader::Memory};

    fn operators(text: &str) -> Operators {
        load("site.fb".as_ref(), &Memory::default().with("site.fb", text), None).set.unwrap().operators
    }

    fn route(name: &str, pool: &str) -> String {
        format!("route \"{name}\" {{\n  customers = 1..9\n  pool = \"{pool}\"\n  most-out = 5 attempts\n}}\n")
    }

    fn routing(text: &str) -> Routing {
        let site =
            PlatformSettings::parse(&crate::config::sample("safe", 1_000_000_000, 1_000_000_000)).unwrap();
        Routing::new(Arc::new(site), &operators(text)).unwrap()
    }

    fn request() -> Request {
        Request { customer: policy::api::CustomerId(1), ..Request::default() }
    }

    fn number(routing: &mut Routing) -> u32 {
        let route = routing.choose(&request(), SiteSet::ALL);
        routing.let_go(&route);
        route.limit.unwrap().route
    }

    #[test]
    fn a_route_keeps_its_number_by_its_name_and_no_other_gets_it() {
        let pool = "pool \"all\" {}\n";
        let mut routing = routing(&format!("{pool}{}", route("a", "all")));
        let first = number(&mut routing);
        let other = format!(
            "{pool}route \"before\" {{\n  customers = 77\n  pool = \"all\"\n}}\n{}",
            route("a", "all")
        );
        routing.turn(&operators(&other)).unwrap();
        assert_eq!(number(&mut routing), first);
        routing.turn(&operators(&format!("{pool}{}", route("b", "all")))).unwrap();
        assert_ne!(number(&mut routing), first);
    }

    #[test]
    fn a_pool_is_held_for_requests_in_hand_and_not_for_longer() {
        let mut routing = routing(&format!("pool \"old\" {{}}\n{}", route("a", "old")));
        let held = routing.choose(&request(), SiteSet::ALL);
        let again = routing.choose(&request(), SiteSet::ALL);
        routing.let_go(&again);
        let next = operators(&format!("pool \"new\" {{}}\n{}", route("a", "new")));
        routing.turn(&next).unwrap();
        let host = HostAttributes { id: "s-1", zone: "a", machine_type: "m", cell: 0 };
        assert_ne!(routing.pools_of(&host) & held.pools, 0, "its request may still go there");
        routing.let_go(&held);
        routing.turn(&next).unwrap();
        assert_eq!(routing.pools_of(&host).count_ones(), 1, "nobody holds it any more");
    }

    #[test]
    fn with_an_error_all_stays_as_it_was() {
        let mut routing = routing(&format!("pool \"all\" {{}}\n{}", route("a", "all")));
        let before = number(&mut routing);
        let policy = "quota policy \"q\" {\n  plan = \"nobody\"\n  rate = 1 units/s\n}\n";
        let broken = operators(&format!("{policy}pool \"all\" {{}}\n{}", route("b", "all")));
        let error = routing.turn(&broken).unwrap_err().to_string();
        assert!(error.starts_with("site.fb:2:10"), "{error}");
        assert_eq!((number(&mut routing), routing.len()), (before, 1));
    }
}
