//! Maps each pair of a class and a plan to a table, and builds the tables from the routes.

use std::ops::RangeInclusive;

use config_language::model::Route;

use crate::destination::RequestAttributes;
use crate::error::{RoutingError, RoutingErrorKind};
use crate::limits::MAX_RANGES;
use crate::platform_names::{NameIndex, PlatformNames};
use crate::position_groups::PositionGroups;
use crate::range_tables::{CustomerRange, RangeTables};

/// The positions of the classes and plans that a route applies to; `None` where it applies to all.
struct RouteScope {
    classes: Option<Vec<usize>>,
    plans: Option<Vec<usize>>,
}

impl RouteScope {
    /// Resolves the names of classes and plans of each route.
    ///
    /// # Errors
    /// The first name that the platform does not have.
    fn resolve_all(routes: &[Route], names: &PlatformNames) -> Result<Vec<RouteScope>, RoutingError> {
        let class_index = NameIndex::new(names.classes);
        let plan_index = NameIndex::new(names.plans);
        let resolve = |route: &Route| {
            let unknown_class = RoutingErrorKind::UnknownClass;
            let classes = route.classes.as_ref().map(|names| class_index.positions(names, unknown_class));
            let unknown_plan = RoutingErrorKind::UnknownPlan;
            let plans = route.plans.as_ref().map(|names| plan_index.positions(names, unknown_plan));
            Ok(RouteScope { classes: classes.transpose()?, plans: plans.transpose()? })
        };
        routes.iter().map(resolve).collect()
    }
}

/// The tables of all pairs of a group of classes and a group of plans.
#[derive(Clone, Debug, Default)]
pub(crate) struct TableGrid {
    classes: PositionGroups,
    plans: PositionGroups,
    tables: RangeTables,
}

impl TableGrid {
    /// Compiles the tables of these routes.
    ///
    /// # Errors
    /// A class or plan that the platform does not have, or more than [`MAX_RANGES`] ranges.
    pub(crate) fn compile(routes: &[Route], names: &PlatformNames) -> Result<TableGrid, RoutingError> {
        let scopes = RouteScope::resolve_all(routes, names)?;
        let named_classes = scopes.iter().map(|scope| scope.classes.as_deref());
        let named_plans = scopes.iter().map(|scope| scope.plans.as_deref());
        let classes = PositionGroups::new(names.classes.len(), named_classes);
        let plans = PositionGroups::new(names.plans.len(), named_plans);
        let mut grid = TableGrid { classes, plans, tables: RangeTables::default() };
        let routes_of_tables = grid.routes_of_tables(routes, &scopes)?;
        let ranges_of_tables = routes_of_tables
            .iter()
            .map(|numbers| numbers.iter().flat_map(|number| customer_ranges(routes, *number)));
        grid.tables = RangeTables::build(ranges_of_tables);
        Ok(grid)
    }

    /// Returns, for each table, the numbers of the routes that apply in it, ascending.
    ///
    /// # Errors
    /// The first route with which the ranges exceed [`MAX_RANGES`].
    fn routes_of_tables(
        &self,
        routes: &[Route],
        scopes: &[RouteScope],
    ) -> Result<Vec<Vec<u16>>, RoutingError> {
        let table_count = self.classes.count * self.plans.count;
        let mut routes_of_tables: Vec<Vec<u16>> = vec![Vec::new(); table_count];
        let mut range_count = table_count;
        for ((route, scope), number) in routes.iter().zip(scopes).zip(0_u16..) {
            let tables = self.tables_of_scope(scope);
            let added = tables.len().saturating_mul(customer_bounds(route).count());
            range_count = range_count.saturating_add(added);
            if range_count > MAX_RANGES {
                let name = route.name.value.clone();
                return Err(RoutingErrorKind::TooManyRanges(name).at(&route.name.origin));
            }
            for table in tables {
                routes_of_tables[table].push(number);
            }
        }
        Ok(routes_of_tables)
    }

    /// Returns the tables in which a route applies, each once.
    fn tables_of_scope(&self, scope: &RouteScope) -> Vec<usize> {
        let plan_groups = self.plans.groups_of(scope.plans.as_deref());
        let mut tables = Vec::new();
        for class_group in self.classes.groups_of(scope.classes.as_deref()) {
            tables.extend(plan_groups.iter().map(|plan_group| self.table_index(class_group, *plan_group)));
        }
        tables
    }

    #[inline]
    fn table_index(&self, class_group: usize, plan_group: usize) -> usize {
        class_group * self.plans.count + plan_group
    }

    /// Returns the number of the route that wins for a request, or
    /// [`NO_ROUTE`](crate::range_tables::NO_ROUTE); `None` for a class or plan that the platform does not have.
    /// `on_comparison` is called at each comparison of the search.
    #[inline]
    pub(crate) fn winner(&self, request: RequestAttributes, on_comparison: impl FnMut()) -> Option<u16> {
        let class_group = self.classes.group_of(request.class)?;
        let plan_group = self.plans.group_of(request.plan)?;
        Some(self.tables.winner(self.table_index(class_group, plan_group), request.customer, on_comparison))
    }

    /// Returns the number of ranges in all tables.
    pub(crate) fn range_count(&self) -> usize {
        self.tables.range_count()
    }

    /// Returns the number of bytes on the heap.
    pub(crate) fn heap_bytes(&self) -> usize {
        self.tables.heap_bytes() + self.classes.heap_bytes() + self.plans.heap_bytes()
    }
}

/// Returns the first and last customer of each range that a route applies to; one range with all customers if the
/// route names no customers. Skips ranges that end before they begin, because no customer is in them.
fn customer_bounds(route: &Route) -> impl Iterator<Item = (u64, u64)> + '_ {
    const ALL_CUSTOMERS: &[RangeInclusive<u64>] = &[0..=u64::MAX];
    let ranges = route.customers.as_ref().map_or(ALL_CUSTOMERS, |ranges| &ranges.value);
    ranges.iter().filter(|range| !range.is_empty()).map(|range| (*range.start(), *range.end()))
}

/// Returns the customer ranges of the route with this number.
fn customer_ranges(routes: &[Route], number: u16) -> impl Iterator<Item = CustomerRange> + '_ {
    let route = &routes[usize::from(number)];
    customer_bounds(route).map(move |(first, last)| CustomerRange { first, last, route: number })
}
