//! The settings of a gateway: request classes, customer plans, and platform capabilities.

use super::time::Span;

/// Whether a request may be sent again after an attempt may have been executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be executed any number of times.
    #[default]
    Idempotent,
    /// The request carries an idempotency key: the hosts within the scope drop duplicates for this time after
    /// the first attempt.
    WithKey(DedupScope, Span),
    /// The request must not be sent again once it may have been executed.
    NotIdempotent,
}

/// The set of hosts that share their records of received idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All hosts share their keys.
    All,
    /// The hosts of one zone share their keys.
    Zone,
    /// The hosts of one cell share their keys.
    Cell,
}

/// A request class, with a common latency objective, priority and idempotency.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Latency up to which a response counts with the full priority weight.
    pub latency_objective: Span,
    /// Extension of the objective by a request's service time, as a multiple of that time.
    pub objective_stretch: f64,
    /// Time after arrival at which a client times out.
    pub deadline: Span,
    /// Priority weight of a request, before it is multiplied by its units and the factor of the customer's
    /// plan.
    pub priority_weight: f64,
    /// Fraction of the priority weight with which a response after the objective still counts, 0 to 1.
    pub late_fraction: f64,
    /// Whether requests of the class may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether the response is a stream.
    pub streaming: bool,
}

/// A customer plan. The limits apply to each customer across all gateways; a zero means no such limit.
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
    /// Fraction of the priority weight with which a response to a request beyond the quota counts.
    pub over_quota_weight: f64,
    /// Cost of forwarding a request beyond the quota, as a fraction of the priority weight.
    pub over_quota_cost: f64,
    /// Refill rate of the hard ceiling's token bucket, in units per second.
    pub ceiling_rate: f64,
    /// Size of the hard ceiling's token bucket, in units.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's token bucket may go below zero.
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
    /// Whether two attempts of one request may be in flight at the same time (hedging).
    pub may_hedge: bool,
    /// Longest `Retry-After` that clients respect; `None` if rejections may not carry one.
    pub max_retry_after: Option<Span>,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether the shared counter service may be used.
    pub has_counter: bool,
    /// Timeout of a call to the counter.
    pub counter_timeout: Span,
    /// Whether the endpoint list must be subscribed to.
    pub must_subscribe: bool,
    /// Maximum time without a watch event or a poll: after that, the gateway counts as notified of any change
    /// of the endpoint list.
    pub must_poll_within: Span,
    /// Minimum fraction of a host's full capacity at its start (slow start).
    pub initial_capacity: f64,
    /// Duration of the warm-up after a host's start.
    pub warm_up: Span,
    /// Maximum memory for customers' state, in bytes; zero means no limit.
    pub customer_bytes: u64,
}
