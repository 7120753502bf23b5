//! Client requests, and the hosts that they may be forwarded to.

use super::ids::{CustomerId, RequestId};
use super::time::{Span, Time};

/// The hosts that a request may be forwarded to. The default allows all hosts without a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Route {
    /// Bit mask of pools: a host has to be in at least one of them. Zero allows any host.
    pub pools: u64,
    /// Bit mask of fallback pools, used while no host of `pools` accepts requests; zero for none.
    pub fallback: u64,
    /// Concurrency limit of the route, in addition to those of its pools.
    pub limit: Option<RouteLimit>,
}

/// A limit on the concurrent attempts of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteLimit {
    /// Number of the route; it must not change while attempts of the route are in flight.
    pub route: u32,
    /// Maximum number of attempts in flight from this gateway.
    pub max_in_flight: u32,
}

/// A client request, with the class, customer and route that the gateway has assigned to it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Identifier of the request.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of the customer's plan.
    pub plan: usize,
    /// The customer.
    pub customer: CustomerId,
    /// Remaining deadline: time from arrival until the client times out.
    pub remaining: Span,
    /// Units that the request costs; an estimate if the response reports the actual units.
    pub units: f64,
    /// Number of gateways that serve this customer.
    pub set_size: u32,
    /// Index of the first of these gateways; the others follow in order, wrapping around.
    pub first_gateway: u32,
    /// Whether the request retries an earlier one.
    pub is_retry: bool,
    /// The hosts that the request may be forwarded to, fixed while it is in flight.
    pub route: Route,
    /// When the request arrived, possibly earlier than it is reported; zero means now.
    pub arrived_at: Time,
}
