//! Observations of a run: network traffic as seen by the fake services at the far end of each connection, and
//! the state changes of the site that the invariants depend on. Nothing here is reported by a gateway itself.

use crate::{Span, Time};

/// A timestamped event. Observations are recorded in time order.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Time on the clock of the run.
    pub at: Time,
    /// The observed event.
    pub kind: ObservationKind,
}

/// State of a host in discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// The host accepts requests.
    InService,
    /// The host accepts no new requests.
    Draining,
    /// The host has been removed.
    Removed,
}

/// Outcome of a request, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// A value was returned; true if it is the value that a host computed for this request.
    Served(bool),
    /// The request was rejected, with an optional retry-after delay.
    Rejected(Option<Span>),
    /// Any other complete response.
    Failed,
    /// The connection was closed or reset before the response was complete.
    ConnectionClosed,
    /// No response arrived within the client's timeout and a grace period after it.
    NoResponse,
}

/// Outcome of a completely received command at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostOutcome {
    /// The command ran and a value was returned.
    Served,
    /// The command ran and an error or a corrupted response was returned.
    Failed,
    /// The command was rejected and never ran.
    Rejected,
    /// The connection closed before the command ran, so it was dropped.
    Dropped,
    /// The command ran at least in part, but the response could not be delivered.
    Undelivered,
}

/// An observed event. Requests are identified by the ids in their commands; gateways, hosts, classes and plans
/// are numbered from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum ObservationKind {
    /// A client wrote the last byte of a request.
    RequestSent {
        /// Id of the request.
        request: u64,
        /// Id of the first request of the same operation.
        first_request: u64,
        /// Gateway that the request was sent to.
        gateway: u32,
        /// Customer who sent the request.
        customer: u64,
        /// Index of the request's class in the site.
        class: u32,
        /// Index of the customer's plan in the site.
        plan: u32,
        /// Units that the request declares.
        units: f64,
        /// How long the client waits for the response.
        timeout: Span,
    },
    /// A request ended for its client: with its one response, or without any.
    RequestEnded {
        /// Id of the request.
        request: u64,
        /// Gateway that the request was sent to.
        gateway: u32,
        /// Outcome at the client.
        outcome: ClientOutcome,
    },
    /// A client closed its connection before the request was answered.
    ClientDisconnected {
        /// Id of the request.
        request: u64,
    },
    /// A client received bytes that belong to none of its requests.
    UnexpectedResponse {
        /// Gateway that sent the bytes.
        gateway: u32,
    },
    /// A host received a complete command.
    AttemptReceived {
        /// Id of the request.
        request: u64,
        /// Number of the host, in the order in which hosts were added.
        host: u32,
        /// Gateway that forwarded the request.
        gateway: u32,
        /// When the first byte was sent, as far as the host can tell.
        first_byte: Time,
        /// Usual work of such a request, in nanoseconds of one core at speed 1.
        expected_work: Span,
    },
    /// A host finished processing a command.
    AttemptEnded {
        /// Id of the request.
        request: u64,
        /// Number of the host.
        host: u32,
        /// Gateway that forwarded the request.
        gateway: u32,
        /// Outcome at the host.
        outcome: HostOutcome,
        /// Actual units, if the response contained them.
        units: Option<f64>,
    },
    /// An attempt is no longer in flight: its connection closed, or its response has been written.
    AttemptClosed {
        /// Id of the request.
        request: u64,
        /// Number of the host.
        host: u32,
        /// Gateway that forwarded the request.
        gateway: u32,
    },
    /// A gateway opened a connection to a host.
    HostConnectionOpened {
        /// Number of the host.
        host: u32,
        /// Gateway that opened the connection.
        gateway: u32,
    },
    /// A connection to a host was closed.
    HostConnectionClosed {
        /// Number of the host.
        host: u32,
        /// Gateway that had opened the connection.
        gateway: u32,
    },
    /// A host received a health check.
    HealthCheckReceived {
        /// Number of the host.
        host: u32,
        /// Gateway that sent the health check.
        gateway: u32,
    },
    /// A host started. Its capacity rises linearly from `initial_share` of `full_capacity` to all of it over
    /// `warm_up`.
    HostStarted {
        /// Number of the host.
        host: u32,
        /// Nanoseconds of work per second after warming up.
        full_capacity: f64,
        /// Share of the capacity at the start; 1 for a host that does not warm up.
        initial_share: f64,
        /// Duration of the warm-up.
        warm_up: Span,
    },
    /// A host's speed changed: requests take `factor` times as long from now on.
    HostSlowed {
        /// Number of the host.
        host: u32,
        /// Slowdown factor; 1 for the usual speed.
        factor: f64,
    },
    /// A host crashed because it was overloaded while warming up; it does not recover.
    HostOverloadCrash {
        /// Number of the host.
        host: u32,
    },
    /// A host crashed or shut down.
    HostStopped {
        /// Number of the host.
        host: u32,
    },
    /// The discovery agent of a gateway learned the state of a host, whether or not the gateway is notified.
    AgentNotified {
        /// Gateway of the agent.
        gateway: u32,
        /// Number of the host.
        host: u32,
        /// State of the host.
        state: Lifecycle,
        /// Start time of the host in this update; 0 if it started before the run.
        started: Time,
    },
    /// Discovery sent the state of a host to a gateway.
    GatewayNotified {
        /// Gateway that was notified.
        gateway: u32,
        /// Number of the host.
        host: u32,
        /// State of the host.
        state: Lifecycle,
        /// Start time of the host in this update; 0 if it started before the run.
        started: Time,
    },
    /// A gateway requested the endpoint list or opened a watch.
    DiscoveryRequest {
        /// Gateway that sent the request.
        gateway: u32,
        /// True for a watch.
        watch: bool,
    },
    /// Discovery sent a complete endpoint list, a watch event or a heartbeat to a gateway.
    DiscoveryMessage {
        /// Gateway that the message was sent to.
        gateway: u32,
    },
    /// The counter finished a call.
    CounterCall {
        /// Gateway that made the call.
        gateway: u32,
        /// Amount of the call.
        amount: f64,
        /// Whether the amount was added.
        added: bool,
        /// Whether a reply with the total was written.
        answered: bool,
        /// Whether the call was rejected.
        rejected: bool,
        /// Time from receipt of the call until its reply was written, or until it was certain to get none.
        duration: Span,
    },
    /// A gateway process started.
    GatewayUp {
        /// Number of the gateway.
        gateway: u32,
    },
    /// A gateway process ended.
    GatewayDown {
        /// Number of the gateway.
        gateway: u32,
        /// True if the scenario killed the process, or if it ended after SIGTERM as requested.
        expected: bool,
    },
    /// The scenario sent a signal to a gateway. An expected end of the process without this observation counts
    /// as a kill.
    GatewaySignalled {
        /// Number of the gateway.
        gateway: u32,
        /// True for SIGKILL; false for SIGTERM, after which the gateway still answers every accepted request.
        kill: bool,
    },
    /// The links between the clients and a gateway were cut or restored.
    ClientLinksCut {
        /// Number of the gateway.
        gateway: u32,
        /// True if nothing gets through from now on.
        cut: bool,
    },
    /// A gateway process was suspended (SIGSTOP) or resumed.
    GatewaySuspended {
        /// Number of the gateway.
        gateway: u32,
        /// True if suspended.
        suspended: bool,
    },
    /// A fault began or ended on the link between a gateway and discovery.
    DiscoveryLinkFault {
        /// Number of the gateway.
        gateway: u32,
        /// True if the link is faulty from now on.
        active: bool,
    },
    /// Traffic from a gateway to a host may be delayed from now on, or no longer is. This includes connection
    /// closes, by which a host learns that an attempt was cancelled.
    HostTrafficDelayed {
        /// Number of the gateway.
        gateway: u32,
        /// Number of the host.
        host: u32,
        /// True if traffic may be delayed.
        delayed: bool,
        /// True if the host cannot tell when the traffic was sent.
        send_time_unknown: bool,
    },
    /// An event of the scenario took place.
    ScenarioEvent {
        /// Description of the event.
        text: String,
    },
    /// Load of a host, sampled once a second for the plots.
    HostLoad {
        /// Number of the host.
        host: u32,
        /// Requests running and queued.
        requests: u32,
        /// Share of the current capacity that was used since the previous sample.
        utilization: f64,
    },
}
