//! What the operators' files decide: which pools a host is in, which pool a request goes to, and what is left of a
//! plan's quota. No I/O, no clock, no chance: tables are compiled once when a file set is read, and then only
//! looked up.
//!
//! ```
//! use config_language::model::{At, Operators, Origin, Pool, Route};
//! use routing::{PlatformNames, HostAttributes, RoutingTable};
//!
//! fn at<T>(value: T) -> At<T> {
//!     At { value, origin: Origin::default() }
//! }
//! let (zones, cells, ids, machines) = (Some(at(vec!["east".to_owned()])), None, None, None);
//! let east = Pool { name: at("east".to_owned()), zones, machines, cells, ids };
//! let orders = Route {
//!     name: at("orders".to_owned()),
//!     classes: Some(at(vec!["order".to_owned()])),
//!     plans: None,
//!     customers: None,
//!     pool: at("east".to_owned()),
//!     fallback: None,
//!     most_out: Some(at(50)),
//! };
//! let operators = Operators { pools: vec![east], routes: vec![orders], ..Operators::default() };
//! let names = ["order", "read", "standard", "east", "west"].map(str::to_owned);
//! let facts = PlatformNames { classes: &names[..2], plans: &names[2..3], zones: &names[3..], machine_types: &[] };
//! let routes = RoutingTable::compile(&operators, &facts).unwrap();
//!
//! // Once per change of the membership:
//! let eastern = routes.pools_of(&HostAttributes { id: "s-1", zone: "east", machine_type: "big", cell: 0 });
//! let western = routes.pools_of(&HostAttributes { id: "s-2", zone: "west", machine_type: "big", cell: 1 });
//! // Once per request:
//! let order = routes.lookup(0, 0, 77);
//! assert!(order.pool.accepts(eastern) && !order.pool.accepts(western));
//! assert_eq!((order.route.map(|r| routes.route_name(r)), order.max_in_flight), (Some("orders"), Some(50)));
//! // No route names reads, so any host will do.
//! assert!(routes.lookup(1, 0, 77).pool.accepts(western));
//! ```
//!
//! # The first route that holds
//!
//! RoutingTable are tried in the order in which they stand; the first of which everything holds counts. Which one that is
//! gets worked out beforehand. Classes that the same routes name form a group, and so do plans; for each pair of
//! groups there is one table: the customers cut into ranges that do not overlap, and with each the route that wins
//! there. A look-up reads two positions and searches one table by halves. A table with `n` ranges written in the
//! files has at most `2 n + 1` of its own, 10 bytes each; see [`MAX_RANGES`] for the bound on all tables together.
//!
//! # Reload
//!
//! A [`RoutingTable`] never changes. A gateway swaps one for the next ([`RoutingTable::compile_after`]) and a request keeps the
//! [`Destination`] that it began with, retries and waiting included:
//!
//! - A pool keeps its bit from one version to the next by its name, so the mask in a choice stays true. The hosts of
//!   all masks are worked out anew; one that has left a pool takes nothing more for it from that moment, not even
//!   for requests that were there before. [`RoutingTable::pools_left_by`] says which pools a host has left.
//! - A pool that was removed keeps its bit and its hosts as long as a request needs it: the gateway says at each
//!   reload which are needed, by or-ing [`Destination::named_pools`] over the requests in hand. No new request is sent there.
//! - A [`RouteId`] counts within its version. [`RoutingTable::successors`] says which route has the name now, so that
//!   attempts which are out count on against [Destination::max_in_flight].

mod error;
mod groups;
mod pools;
mod quota;
mod routes;
mod sites;
mod tables;

pub use error::{RoutingError, RoutingErrorKind};
pub use pools::{HostAttributes, PoolMask, MAX_POOLS};
pub use quota::{effective_quotas, EffectiveQuota, GrantedQuota, Limit, LimitSource};
pub use routes::{Destination, RouteId, RoutingTable, MAX_ROUTES};
pub use tables::MAX_RANGES;

/// Names that the platform's settings give, each list by position as the gateway counts them.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformNames<'a> {
    /// Classes of requests.
    pub classes: &'a [String],
    /// Plans of customers.
    pub plans: &'a [String],
    /// Zones.
    pub zones: &'a [String],
    /// Kinds of machine.
    pub machine_types: &'a [String],
}
