//! What an operators' file set means, after includes and defaults: plain data, each part with the place that it
//! comes from. Routing is made of this, and comparisons speak of it.

use std::ops::RangeInclusive;
use std::sync::Arc;

/// A place in a file.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// The file, as it was named.
    pub file: Arc<str>,
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
}

/// A value and where it was written.
#[derive(Clone, Debug, PartialEq)]
pub struct At<T> {
    /// The value.
    pub value: T,
    /// Where.
    pub origin: Origin,
}

/// A set of hosts, chosen by what discovery tells. All that is given has to hold; what is not given always does.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: At<String>,
    /// Zones, by name.
    pub zones: Option<At<Vec<String>>>,
    /// Kinds of machine, by name.
    pub machines: Option<At<Vec<String>>>,
    /// Cells.
    pub cells: Option<At<Vec<RangeInclusive<u32>>>>,
    /// Beginnings of host ids.
    pub ids: Option<At<Vec<String>>>,
}

/// Sends requests to a pool. All that is given has to hold of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: At<String>,
    /// Classes, by name.
    pub classes: Option<At<Vec<String>>>,
    /// Plans, by name.
    pub plans: Option<At<Vec<String>>>,
    /// Customers, by number.
    pub customers: Option<At<Vec<RangeInclusive<u64>>>>,
    /// The pool.
    pub pool: At<String>,
    /// The pool that takes over while no host of the first is in service.
    pub fallback: Option<At<String>>,
    /// Attempts of this route that may be out at once, from one gateway.
    pub most_out: Option<At<u32>>,
}

/// Tightens what the platform's settings grant the customers of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaPolicy {
    /// Its name.
    pub name: At<String>,
    /// The plan, by name.
    pub plan: At<String>,
    /// Units a second.
    pub rate: Option<At<f64>>,
    /// Units that the store holds.
    pub burst: Option<At<f64>>,
    /// Attempts out at once.
    pub open: Option<At<u32>>,
}

/// A site: hosts that are lost together, because they stand in the same building.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Its name.
    pub name: At<String>,
    /// Its zones, by name. A zone is in one site at the most.
    pub zones: At<Vec<String>>,
    /// Requests a second that its hosts carry when all of them are warm.
    pub capacity: Option<At<f64>>,
    /// Requests a second that its hosts are asked for at the busiest hour.
    pub load: Option<At<f64>>,
    /// Share of its capacity that stays free when it takes load of others.
    pub headroom: Option<At<f64>>,
    /// How long the return to its full share takes at the least, in nanoseconds.
    pub ramp: Option<At<u64>>,
    /// What operators say of it by hand: `lost` or `whole`.
    pub told: Option<At<String>>,
}

/// Who takes the load of a site that is lost.
#[derive(Clone, Debug, PartialEq)]
pub struct Takeover {
    /// Its name.
    pub name: At<String>,
    /// The site that is lost, by name.
    pub lost: At<String>,
    /// The site that takes load of it, by name.
    pub by: At<String>,
    /// Share of the lost site's load.
    pub share: Option<At<f64>>,
}

/// What is refused when load does not fit after a loss. They stand in the order in which they are used: the first
/// goes first.
#[derive(Clone, Debug, PartialEq)]
pub struct Shed {
    /// Its name.
    pub name: At<String>,
    /// Classes, by name.
    pub classes: Option<At<Vec<String>>>,
    /// Plans, by name.
    pub plans: Option<At<Vec<String>>>,
    /// Share of these requests that is let in whatever happens.
    pub floor: Option<At<f64>>,
}

/// All that a file set says. Routes stand in the order in which they are tried: the first that holds counts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operators {
    /// Pools.
    pub pools: Vec<Pool>,
    /// Routes.
    pub routes: Vec<Route>,
    /// Quota policies.
    pub policies: Vec<QuotaPolicy>,
    /// Sites.
    pub sites: Vec<Site>,
    /// Who takes the load of lost sites.
    pub takeovers: Vec<Takeover>,
    /// What is refused first, in order.
    pub sheds: Vec<Shed>,
}
