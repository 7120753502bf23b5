//! Which pool a request goes to.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use config_language::model::{Operators, Route};

use crate::groups::{Groups, Names};
use crate::pools::Pools;
use crate::sites::{with_parts, Parts};
use crate::tables::{Span, Tables};
use crate::{HostAttributes, PlatformNames, PoolMask, RoutingError, RoutingErrorKind, MAX_RANGES};

/// The most routes of a file set.
pub const MAX_ROUTES: usize = 65_535;

/// A route of one version, by its place in the order. The next version may have another in that place, see
/// [`RoutingTable::successors`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteId(u16);

impl RouteId {
    /// Its place in the order, from 0, below [`RoutingTable::len`].
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Where a request goes. It keeps to this until it is answered, whatever is reloaded meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Destination {
    /// The route, in the version that was asked; none if none holds.
    pub route: Option<RouteId>,
    /// The pool; [`PoolMask::ALL`] without a route.
    pub pool: PoolMask,
    /// The pool that takes over while no host of the first is in service; may be empty.
    pub fallback: PoolMask,
    /// Attempts of this route that may be out at once, from one gateway; none: no such limit. Zero is a limit too:
    /// the route lets nothing out.
    pub max_in_flight: Option<u32>,
}

impl Default for Destination {
    /// What holds without a route: all hosts, no limit.
    fn default() -> Destination {
        Destination { route: None, pool: PoolMask::ALL, fallback: PoolMask::NONE, max_in_flight: None }
    }
}

impl Destination {
    /// The pools that it names: none without a route. What [`RoutingTable::compile_after`] has to be told.
    pub fn named_pools(&self) -> PoolMask {
        match self.route {
            Some(_) => self.pool | self.fallback,
            None => PoolMask::NONE,
        }
    }
}

/// One version of the operators' pools and routes, compiled. The default has neither: all requests go to all hosts.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    pools: Pools,
    /// What sites make of pools.
    parts: Parts,
    classes: Groups,
    plans: Groups,
    tables: Tables,
    /// What each route chooses.
    choices: Box<[Destination]>,
    /// The name of each route.
    names: Box<[Box<str>]>,
}

impl RoutingTable {
    /// Compiles a first version.
    ///
    /// # Errors
    /// A name that is not known or not alone, too many pools or routes, or tables beyond their bound. The checker
    /// of the language finds all but the bounds earlier and says more.
    pub fn compile(operators: &Operators, facts: &PlatformNames) -> Result<RoutingTable, RoutingError> {
        RoutingTable::compile_after(&RoutingTable::default(), PoolMask::NONE, operators, facts)
    }

    /// Compiles the version that follows `before`. Pools keep their bits by name. `in_use` has the pools of all
    /// choices that requests in hand hold ([`Destination::named_pools`]): those keep their bits and hosts even if they are
    /// removed.
    ///
    /// # Errors
    /// As [`RoutingTable::compile`], and if a new pool finds no bit because removed ones are in use: that passes.
    pub fn compile_after(
        before: &RoutingTable,
        in_use: PoolMask,
        operators: &Operators,
        facts: &PlatformNames,
    ) -> Result<RoutingTable, RoutingError> {
        let pools = Pools::new(&with_parts(operators, facts)?, facts, &before.pools, in_use)?;
        let parts = Parts::new(operators, facts, &pools);
        let routes = &operators.routes;
        check(routes)?;
        let claims = claims(routes, facts)?;
        let classes = Groups::new(facts.classes.len(), claims.iter().map(|c| c.classes.as_deref()));
        let plans = Groups::new(facts.plans.len(), claims.iter().map(|c| c.plans.as_deref()));
        let tables = tables(routes, &claims, &classes, &plans)?;
        let choices = choices(routes, &pools.by_name())?;
        let names = routes.iter().map(|route| route.name.value.as_str().into()).collect();
        Ok(RoutingTable { pools, parts, classes, plans, tables, choices, names })
    }

    /// The pools that a host is in. For each change of the membership, not for each request: it goes through all
    /// pools.
    pub fn pools_of(&self, host: &HostAttributes) -> PoolMask {
        self.pools.of(host)
    }

    /// The parts of these pools that are in sites of a set: a bit for each site, by its place in the files, and bit 63
    /// for hosts that are in none. [`PoolMask::ALL`] or none: the parts of all hosts. Parts are pools like others.
    pub fn pools_in_sites(&self, pools: PoolMask, sites: u64) -> PoolMask {
        self.parts.within(pools, sites)
    }

    /// The pools of this version that a host is in, and no longer in `after`, by the bits of this version. Pools are
    /// told by their names.
    pub fn pools_left_by(&self, after: &RoutingTable, host: &HostAttributes) -> PoolMask {
        self.pools.left_by(&after.pools, host)
    }

    /// The names of the pools in a mask, removed ones that requests still use included.
    pub fn pool_names(&self, mask: PoolMask) -> impl Iterator<Item = &str> {
        self.pools.names(mask)
    }

    /// What the first route says that holds for a request, given the positions of its class and its plan among the
    /// [`PlatformNames`]; the default where none holds. One search by halves in one table.
    #[inline]
    pub fn lookup(&self, class: usize, plan: usize, customer: u64) -> Destination {
        self.choose_and(class, plan, customer, || ())
    }

    /// Chooses; `compared` is called at each comparison of the search.
    #[inline]
    fn choose_and(&self, class: usize, plan: usize, customer: u64, compared: impl FnMut()) -> Destination {
        let Some((class, plan)) = self.classes.of(class).zip(self.plans.of(plan)) else {
            return Destination::default();
        };
        let winner = self.tables.winner(class * self.plans.count + plan, customer, compared);
        // `NO_ROUTE` lies beyond the most routes there can be.
        self.choices.get(usize::from(winner)).copied().unwrap_or_default()
    }

    /// The name of a route of this version; empty for an id that only another version has.
    pub fn route_name(&self, route: RouteId) -> &str {
        self.names.get(route.index()).map_or("", |name| name)
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.choices.len()
    }

    /// Whether there is no route, so that every choice is the default.
    pub fn is_empty(&self) -> bool {
        self.choices.is_empty()
    }

    /// For each route of this version the one in `after` that has its name.
    pub fn successors(&self, after: &RoutingTable) -> Vec<Option<RouteId>> {
        let ids = (0..=u16::MAX).map(RouteId);
        let now: BTreeMap<&str, RouteId> = after.names.iter().map(|name| &**name).zip(ids).collect();
        self.names.iter().map(|name| now.get(&**name).copied()).collect()
    }

    /// Ranges in the tables.
    pub fn range_count(&self) -> usize {
        self.tables.ranges()
    }

    /// Bytes that a look-up may read: the tables and what the routes choose, without the names.
    pub fn lookup_bytes(&self) -> usize {
        self.tables.bytes() + self.classes.bytes() + self.plans.bytes() + size_of_val(&*self.choices)
    }
}

/// Whether there are few enough, each with a name of its own.
fn check(routes: &[Route]) -> Result<(), RoutingError> {
    if let Some(route) = routes.get(MAX_ROUTES) {
        return Err(RoutingErrorKind::TooManyRoutes(route.name.value.clone()).at(&route.name.origin));
    }
    let mut names = BTreeSet::new();
    match routes.iter().find(|route| !names.insert(&route.name.value)) {
        Some(route) => Err(RoutingErrorKind::DuplicateRoute(route.name.value.clone()).at(&route.name.origin)),
        None => Ok(()),
    }
}

/// What a route holds for: classes and plans by position, none where it leaves them open.
struct Claim {
    classes: Option<Vec<usize>>,
    plans: Option<Vec<usize>>,
}

fn claims(routes: &[Route], facts: &PlatformNames) -> Result<Vec<Claim>, RoutingError> {
    let (classes, plans) = (Names::new(facts.classes), Names::new(facts.plans));
    let claim = |route: &Route| {
        let classes = route.classes.as_ref().map(|names| classes.find(names, RoutingErrorKind::UnknownClass));
        let plans = route.plans.as_ref().map(|names| plans.find(names, RoutingErrorKind::UnknownPlan));
        Ok(Claim { classes: classes.transpose()?, plans: plans.transpose()? })
    };
    routes.iter().map(claim).collect()
}

/// The customers of a route; one range with all where it leaves them open. A range that ends before it begins has
/// none.
fn customers(route: &Route) -> impl Iterator<Item = (u64, u64)> + '_ {
    const EVERYONE: &[RangeInclusive<u64>] = &[0..=u64::MAX];
    let ranges = route.customers.as_ref().map_or(EVERYONE, |ranges| &ranges.value);
    ranges.iter().filter(|range| !range.is_empty()).map(|range| (*range.start(), *range.end()))
}

/// The tables, one for each group of classes and group of plans.
fn tables(
    routes: &[Route],
    claims: &[Claim],
    classes: &Groups,
    plans: &Groups,
) -> Result<Tables, RoutingError> {
    let count = classes.count * plans.count;
    let mut held: Vec<Vec<u16>> = vec![Vec::new(); count];
    let mut ranges = count;
    for ((route, claim), number) in routes.iter().zip(claims).zip(0_u16..) {
        let (of_classes, of_plans) =
            (classes.named(claim.classes.as_deref()), plans.named(claim.plans.as_deref()));
        let tables = of_classes.len() * of_plans.len();
        ranges = ranges.saturating_add(tables.saturating_mul(customers(route).count()));
        if ranges > MAX_RANGES {
            return Err(RoutingErrorKind::TooManyRanges(route.name.value.clone()).at(&route.name.origin));
        }
        for class in of_classes {
            for plan in &of_plans {
                held[class * plans.count + plan].push(number);
            }
        }
    }
    Ok(sweep(routes, &held))
}

/// Makes a table of each list of routes.
fn sweep(routes: &[Route], held: &[Vec<u16>]) -> Tables {
    let mut tables = Tables::default();
    let mut spans = Vec::new();
    for held in held {
        spans.clear();
        for &route in held {
            let of_route = customers(&routes[usize::from(route)]);
            spans.extend(of_route.map(|(first, last)| Span { first, last, route }));
        }
        tables.add(&mut spans);
    }
    tables.shrink();
    tables
}

/// What each route chooses.
fn choices(routes: &[Route], pools: &BTreeMap<&str, PoolMask>) -> Result<Box<[Destination]>, RoutingError> {
    let find = |pool: &config_language::model::At<String>| {
        let mask = pools.get(pool.value.as_str()).copied();
        mask.ok_or_else(|| RoutingErrorKind::UnknownPool(pool.value.clone()).at(&pool.origin))
    };
    let choose = |(route, number): (&Route, u16)| {
        Ok(Destination {
            route: Some(RouteId(number)),
            pool: find(&route.pool)?,
            fallback: route.fallback.as_ref().map_or(Ok(PoolMask::NONE), find)?,
            max_in_flight: route.most_out.as_ref().map(|most| most.value),
        })
    };
    routes.iter().zip(0..).map(choose).collect()
}

#[cfg(test)]
mod tests {
    use config_language::model::{At, Origin, Pool};

    use super::*;

    fn at<T>(value: T) -> At<T> {
        At { value, origin: Origin::default() }
    }

    /// RoutingTable for every other ten customers.
    fn every_other(count: u64) -> RoutingTable {
        let pool = Pool { name: at("a".into()), zones: None, machines: None, cells: None, ids: None };
        let route = |number: u64| Route {
            name: at(number.to_string()),
            classes: None,
            plans: None,
            customers: Some(at(vec![20 * number..=20 * number + 9])),
            pool: at("a".into()),
            fallback: None,
            most_out: None,
        };
        let routes = (0..count).map(route).collect();
        let operators = Operators { pools: vec![pool], routes, ..Operators::default() };
        let names = ["class".to_owned(), "plan".to_owned()];
        let facts = PlatformNames { classes: &names[..1], plans: &names[1..], ..PlatformNames::default() };
        RoutingTable::compile(&operators, &facts).unwrap()
    }

    #[test]
    fn a_look_up_compares_as_often_as_halving_takes() {
        for count in [0, 1, 10, 10_000, 50_000] {
            let routes = every_other(count);
            let halvings = (2 * count).max(1).ilog2() + 1;
            let asked = (0..1000).map(|part| part * 20 * count / 1000).chain([u64::MAX]);
            for customer in asked {
                let mut compared = 0;
                let choice = routes.choose_and(0, 0, customer, || compared += 1);
                let (route, within) = (customer / 20, customer % 20 < 10);
                let expected = (route < count && within).then(|| route.to_string());
                assert_eq!(choice.route.map(|id| routes.route_name(id).to_owned()), expected);
                assert!((1..=halvings + 1).contains(&compared), "{compared} with {count} routes");
            }
        }
    }
}
