//! The settings of a gateway: request classes, customers' plans, and what the platform allows.

use super::time::Span;

/// Whether a request of a class may be executed again once an attempt may have reached a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be executed any number of times.
    #[default]
    Idempotent,
    /// The request carries an idempotency key: the hosts within the scope drop duplicates for this long after
    /// the first attempt.
    WithKey(DedupScope, Span),
    /// The request must not be sent again once it may have been executed.
    NotIdempotent,
}

/// The set of hosts that share the idempotency keys they have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All hosts share their keys.
    All,
    /// The hosts of one zone share their keys.
    Zone,
    /// The hosts of one cell share their keys.
    Cell,
}

/// A class of requests with a common latency objective, priority and idempotency.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Latency within which a response earns the full priority weight.
    pub latency_objective: Span,
    /// Growth of the objective with a request's own work, as a multiple of that work.
    pub objective_stretch: f64,
    /// Time after which a client gives a request up, counted from its arrival.
    pub deadline: Span,
    /// Priority weight of a request, before its units and the factor of the customer's plan.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response after the objective still earns, 0 to 1.
    pub late_fraction: f64,
    /// Whether requests of the class may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether the response is a stream.
    pub streaming: bool,
}

/// A customer's plan. Its quota holds for each customer over all gateways together; a zero means no such
/// limit.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Refill rate of the quota's token bucket, in units per second.
    pub rate: f64,
    /// Size of the quota's token bucket, in units.
    pub burst: f64,
    /// Maximum number of the customer's requests in flight.
    pub max_concurrent: u32,
    /// Factor on the priority weight of the customer's requests.
    pub weight_factor: f64,
    /// Fraction of the priority weight that a request beyond the quota earns.
    pub over_quota_weight: f64,
    /// Fraction of the priority weight that forwarding a request beyond the quota costs.
    pub over_quota_cost: f64,
    /// Refill rate of the hard ceiling's token bucket, in units per second.
    pub ceiling_rate: f64,
    /// Size of the hard ceiling's token bucket, in units.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's bucket may go below zero.
    pub ceiling_slack: f64,
}

/// The settings with which a gateway starts.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gateways in the fleet.
    pub gateways: u32,
    /// Index of this gateway among them, from 0.
    pub gateway_index: u32,
    /// Zone of this gateway.
    pub zone: u32,
    /// Classes of requests, by index.
    pub classes: Vec<Class>,
    /// Plans of customers, by index.
    pub plans: Vec<Plan>,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether two attempts of one request may be in flight together (hedging).
    pub may_hedge: bool,
    /// Longest `Retry-After` that clients heed; `None` if rejections may not carry one.
    pub max_retry_after: Option<Span>,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether the shared counter service may be used.
    pub has_counter: bool,
    /// Time after which a call to the counter counts as failed.
    pub counter_timeout: Span,
    /// Whether the endpoint list must be subscribed to.
    pub must_subscribe: bool,
    /// Time without a watch event or a poll after which changes of the endpoint list count as notified all
    /// the same.
    pub must_poll_within: Span,
    /// Fraction of its capacity with which a host starts, at the least.
    pub cold_capacity: f64,
    /// Time after its start at which a host is warm.
    pub warm_up: Span,
    /// Maximum memory for customers' state, in bytes; zero means no bound.
    pub customer_bytes: u64,
}
