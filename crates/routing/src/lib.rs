//! Determines from the operators' files which pools a host is in, which pool a request goes to, and which quota a plan
//! has.
//!
//! The operators define pools of hosts, routes that send requests to pools, and quota policies. A gateway compiles
//! them once when it reads the files, into a [`RoutingTable`] and [`EffectiveQuota`]s, and from then on only looks
//! values up. The crate does no I/O, reads no clock and draws no random numbers.
//!
//! ```
//! use config_language::model::{At, Operators, Origin, Pool, Route};
//! use routing::{HostAttributes, PlatformNames, RequestAttributes, RoutingTable};
//!
//! fn at<T>(value: T) -> At<T> {
//!     At { value, origin: Origin::default() }
//! }
//! let east = Pool {
//!     name: at("east".to_owned()),
//!     zones: Some(at(vec!["east".to_owned()])),
//!     machines: None,
//!     cells: None,
//!     ids: None,
//! };
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
//! let classes = ["order", "read"].map(str::to_owned);
//! let plans = ["standard"].map(str::to_owned);
//! let zones = ["east", "west"].map(str::to_owned);
//! let names = PlatformNames { classes: &classes, plans: &plans, zones: &zones, machine_types: &[] };
//! let table = RoutingTable::compile(&operators, &names)?;
//!
//! // Once for each change of the endpoint list:
//! let eastern = table.pools_of(&HostAttributes { id: "s-1", zone: "east", machine_type: "big", cell: 0 });
//! let western = table.pools_of(&HostAttributes { id: "s-2", zone: "west", machine_type: "big", cell: 1 });
//! // Once for each request; here class "order" and plan "standard":
//! let request = RequestAttributes { class: 0, plan: 0, customer: 77 };
//! let order = table.lookup(request);
//! assert!(order.pool.accepts(eastern) && !order.pool.accepts(western));
//! assert_eq!(order.route.map(|route| table.route_name(route)), Some("orders"));
//! assert_eq!(order.max_in_flight, Some(50));
//! // No route applies to reads, so they may go to any host.
//! assert!(table.lookup(RequestAttributes { class: 1, ..request }).pool.accepts(western));
//! # Ok::<(), routing::RoutingError>(())
//! ```
//!
//! # The first route that applies
//!
//! The routes are ordered as in the files, and the first one that applies to the class, plan and customer of a request
//! decides. This route is computed when the files are compiled. Classes that are named by the same routes form a group,
//! and so do plans. Each pair of groups has one table, which divides the customers into disjoint ranges and stores the
//! winning route of each. A look-up reads the groups of class and plan and does a binary search in one table. A table
//! for `n` ranges in the files has at most `2 n + 1` ranges of 10 bytes each; [`MAX_RANGES`] bounds all tables
//! together.
//!
//! # Reload
//!
//! A [`RoutingTable`] never changes. On a reload the gateway replaces it by the next one
//! ([`RoutingTable::compile_after`]). A request keeps its [`Destination`], also for retries and while it is queued:
//!
//! - A pool keeps its bit from one version to the next by its name, so the mask in a destination stays valid. The
//!   gateway recomputes the masks of all hosts. From then on a host that has left a pool receives no requests for it,
//!   not even those that were queued before. [`RoutingTable::pools_left_by`] returns the pools that a host has
//!   left.
//! - A removed pool keeps its bit and its hosts as long as a request in flight may need it. The gateway passes these
//!   pools at each reload, as the union of [`Destination::named_pools`]. New requests are not routed to them.
//! - A [`RouteId`] is valid within its version. [`RoutingTable::successors`] returns the route with the same name in
//!   the next version, so that attempts in flight still count towards [`Destination::max_in_flight`].
//!
//! # Files
//!
//! | file | contents |
//! |---|---|
//! | `routing_table.rs` | [`RoutingTable`]: compiling a version, and the queries |
//! | `destination.rs` | [`RequestAttributes`], which a look-up takes, and [`Destination`], which it returns |
//! | `table_grid.rs` | the table for each class and plan, and building the tables from the routes |
//! | `position_groups.rs` | groups of classes and plans that all routes treat alike |
//! | `range_tables.rs` | tables of disjoint customer ranges, and the binary search |
//! | `pool_set.rs` | pools with their bits, and which of them a host is in |
//! | `site_pools.rs` | the part of each pool that is in a site |
//! | `pool_mask.rs` | [`PoolMask`], a set of pools |
//! | `quota.rs` | [`effective_quotas`]: quota policies applied to what the platform grants |
//! | `platform_names.rs` | names of the platform that the files refer to |
//! | `limits.rs` | bounds on what the files may define |
//! | `error.rs` | [`RoutingError`] |

#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::fn_params_excessive_bools))]

mod destination;
mod error;
mod limits;
mod platform_names;
mod pool_mask;
mod pool_set;
mod position_groups;
mod quota;
mod range_tables;
mod routing_table;
mod site_pools;
mod table_grid;

pub use destination::{Destination, RequestAttributes, RouteId};
pub use error::{RoutingError, RoutingErrorKind};
pub use limits::{MAX_POOLS, MAX_RANGES, MAX_ROUTES};
pub use platform_names::PlatformNames;
pub use pool_mask::PoolMask;
pub use pool_set::HostAttributes;
pub use quota::{effective_quotas, EffectiveQuota, GrantedQuota, Limit, LimitSource};
pub use routing_table::RoutingTable;
