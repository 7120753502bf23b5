//! Builders for the operators' file sets, without parsing files.

use std::ops::RangeInclusive;

use config_language::model::{At, Operators, Origin, Pool, QuotaPolicy, Route};
use routing::{PlatformNames, RequestAttributes, RoutingTable};

/// Returns a value whose origin is the given line.
pub fn at<T>(line: u32, value: T) -> At<T> {
    At { value, origin: Origin { file: "park.fb".into(), line, column: 3 } }
}

pub fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

/// Owns the platform's names.
pub struct Platform {
    pub classes: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
    pub machines: Vec<String>,
}

impl Platform {
    pub fn new() -> Platform {
        Platform {
            classes: names(&["read", "order", "report"]),
            plans: names(&["standard", "premium"]),
            zones: names(&["east", "west"]),
            machines: names(&["small", "big"]),
        }
    }

    pub fn names(&self) -> PlatformNames<'_> {
        PlatformNames {
            classes: &self.classes,
            plans: &self.plans,
            zones: &self.zones,
            machine_types: &self.machines,
        }
    }

    pub fn compile(&self, operators: &Operators) -> RoutingTable {
        RoutingTable::compile(operators, &self.names()).unwrap()
    }
}

pub fn request(class: usize, plan: usize, customer: u64) -> RequestAttributes {
    RequestAttributes { class, plan, customer }
}

/// Returns a pool with all hosts.
pub fn pool(name: &str) -> Pool {
    Pool { name: at(1, name.to_owned()), zones: None, machines: None, cells: None, ids: None }
}

/// Returns a pool with the hosts of a zone.
pub fn zone_pool(name: &str, zone: &str) -> Pool {
    Pool { zones: Some(at(2, names(&[zone]))), ..pool(name) }
}

/// Returns a route for all requests.
pub fn route(name: &str, pool: &str) -> Route {
    Route {
        name: at(3, name.to_owned()),
        classes: None,
        plans: None,
        customers: None,
        pool: at(4, pool.to_owned()),
        fallback: None,
        most_out: None,
    }
}

/// Returns a route for some customers.
pub fn route_for_customers(name: &str, pool: &str, customers: &[RangeInclusive<u64>]) -> Route {
    Route { customers: Some(at(5, customers.to_vec())), ..route(name, pool) }
}

/// Returns a policy without limits.
pub fn policy(name: &str, plan: &str) -> QuotaPolicy {
    QuotaPolicy {
        name: at(6, name.to_owned()),
        plan: at(7, plan.to_owned()),
        rate: None,
        burst: None,
        open: None,
    }
}

pub fn operators(pools: Vec<Pool>, routes: Vec<Route>) -> Operators {
    Operators { pools, routes, ..Operators::default() }
}
