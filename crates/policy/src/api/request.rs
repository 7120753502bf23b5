//! Requests of clients, and where they may be forwarded to.

use super::ids::{CustomerId, RequestId};
use super::time::{Span, Time};

/// The hosts that a request may be forwarded to. The default allows all hosts without a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Route {
    /// Pools, one bit each: a host has to be in one of them. Zero allows any host.
    pub pools: u64,
    /// Pools that take over while no host of `pools` accepts requests; zero for none.
    pub fallback: u64,
    /// Concurrency limit of the route, beside those of its pools.
    pub limit: Option<RouteLimit>,
}

/// A concurrency limit on the attempts of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteLimit {
    /// Number of the route, the same for as long as attempts of it are in flight.
    pub route: u32,
    /// Maximum number of attempts in flight from this gateway.
    pub max_in_flight: u32,
}

/// A request of a client.
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
    /// Remaining deadline: time from the arrival until the client gives the request up.
    pub remaining: Span,
    /// Units that the request costs; an estimate where the response tells the actual units.
    pub units: f64,
    /// Number of gateways that serve this customer.
    pub set_size: u32,
    /// Index of the first of these gateways; the others follow in order, wrapping around.
    pub first_gateway: u32,
    /// Whether the request retries an earlier one.
    pub is_retry: bool,
    /// The hosts that it may be forwarded to, for as long as it is in flight.
    pub route: Route,
    /// When it arrived, which may be a while ago; zero for now.
    pub arrived_at: Time,
}
