//! What passed on the wires, as the stand-ins at their far ends saw it, and the facts of the site that the
//! rules speak of. Nothing here comes from a gateway's own books.

use crate::{Span, Time};

/// Something seen, and when. Sightings come in the order of time.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// When, on the clock of the rehearsal.
    pub at: Time,
    /// What.
    pub kind: ObservationKind,
}

/// State of a host, as discovery tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It takes work.
    InService,
    /// It wants nothing new.
    Draining,
    /// It is gone.
    Removed,
}

/// What a client got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// A value; true: it is the one that a host made for this request.
    Served(bool),
    /// Turned away, perhaps with advice when to come back.
    Rejected(Option<Span>),
    /// Failed: any other whole answer.
    Failed,
    /// The connection ended, or was reset, before a whole answer.
    ConnectionClosed,
    /// Nothing came, up to a while after the client's time.
    NoResponse,
}

/// How a host dealt with a command that had come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostOutcome {
    /// It ran and was answered with a value.
    Served,
    /// It ran and was answered with an error or a spoilt answer.
    Failed,
    /// It was turned away and never ran.
    Rejected,
    /// It was dropped before it ran: its connection ended first.
    Dropped,
    /// It ran, or ran in part, and nobody was there for the answer.
    Undelivered,
}

/// What was seen. Requests are numbered by the ids that stand in their commands.
#[derive(Clone, Debug, PartialEq)]
pub enum ObservationKind {
    /// A client wrote the last byte of a request.
    RequestSent {
        /// Its id.
        request: u64,
        /// The id of the client's first try of the same thing.
        first_request: u64,
        /// Where.
        gateway: u32,
        /// Who.
        customer: u64,
        /// Position of its class in the site.
        class: u32,
        /// Position of its plan in the site.
        plan: u32,
        /// Units, as the request names them.
        units: f64,
        /// How long the client waits.
        timeout: Span,
    },
    /// A client got the end of a request: the one answer, or none.
    RequestEnded {
        /// Its id.
        request: u64,
        /// From where.
        gateway: u32,
        /// What.
        outcome: ClientOutcome,
    },
    /// A client closed its connection with the request unanswered.
    ClientDisconnected {
        /// Its id.
        request: u64,
    },
    /// A client got bytes that belong to no request of its own.
    UnexpectedResponse {
        /// From where.
        gateway: u32,
    },
    /// A command has come whole to a host.
    AttemptReceived {
        /// Its id.
        request: u64,
        /// Number of the host, in the order of their coming, from 0.
        host: u32,
        /// From where.
        gateway: u32,
        /// When the first byte was sent (as far as the host can tell).
        first_byte: Time,
        /// Work that one like it usually costs, in nanoseconds of one core at speed 1.
        expected_work: Span,
    },
    /// A host is through with a command.
    AttemptEnded {
        /// Its id.
        request: u64,
        /// The host.
        host: u32,
        /// From where it had come.
        gateway: u32,
        /// How.
        outcome: HostOutcome,
        /// The true units, where the answer told them.
        units: Option<f64>,
    },
    /// The connection that carried a command has ended, or its answer is written: the attempt is out no more.
    AttemptClosed {
        /// Its id.
        request: u64,
        /// The host.
        host: u32,
        /// From where.
        gateway: u32,
    },
    /// A connection to a host was opened.
    HostConnectionOpened {
        /// The host.
        host: u32,
        /// From where.
        gateway: u32,
    },
    /// A connection to a host is open no more.
    HostConnectionClosed {
        /// The host.
        host: u32,
        /// From where it came.
        gateway: u32,
    },
    /// A host was asked whether it is there.
    HealthCheckReceived {
        /// The host.
        host: u32,
        /// From where.
        gateway: u32,
    },
    /// A host started. It can do `full` nanoseconds of work a second when warm; it starts at `share` of that
    /// and rises evenly to it over `cold`.
    HostStarted {
        /// The host.
        host: u32,
        /// Work a second when warm.
        full_capacity: f64,
        /// Share at the start, 1 if it is warm.
        initial_share: f64,
        /// Span of the rise.
        warm_up: Span,
    },
    /// A host works this many times slower from now on; 1: as usual.
    HostSlowed {
        /// The host.
        host: u32,
        /// How many times.
        factor: f64,
    },
    /// A host was pushed over while it was cold, and stays down.
    HostOverloadCrash {
        /// The host.
        host: u32,
    },
    /// A host died, or went in the ordinary way.
    HostStopped {
        /// The host.
        host: u32,
    },
    /// A gateway's agent has heard this of a host, whether or not it comes to tell the gateway.
    AgentNotified {
        /// The gateway.
        gateway: u32,
        /// The host.
        host: u32,
        /// Its state.
        state: Lifecycle,
        /// When the host had started by what was heard; 0: long ago.
        started: Time,
    },
    /// Discovery wrote this to a gateway.
    GatewayNotified {
        /// The gateway.
        gateway: u32,
        /// The host.
        host: u32,
        /// Its state.
        state: Lifecycle,
        /// When the host had started by what was told; 0: long ago.
        started: Time,
    },
    /// A gateway asked discovery for the whole list, or opened a watch.
    DiscoveryRequest {
        /// The gateway.
        gateway: u32,
        /// It is a watch.
        watch: bool,
    },
    /// Discovery wrote a whole list to a gateway, or a line of a watch, be it an empty one.
    DiscoveryMessage {
        /// The gateway.
        gateway: u32,
    },
    /// A gateway took a counter call to the counter.
    CounterCall {
        /// From where.
        gateway: u32,
        /// Amount.
        amount: f64,
        /// It was added.
        added: bool,
        /// An answer with the total was written.
        answered: bool,
        /// It was turned away.
        rejected: bool,
        /// From its coming until its answer was written, or it was known that there would be none.
        duration: Span,
    },
    /// A gateway's process was started.
    GatewayUp {
        /// The gateway.
        gateway: u32,
    },
    /// A gateway's process ended; true: it was killed by the scenario, or ended after SIGTERM as asked.
    GatewayDown {
        /// The gateway.
        gateway: u32,
        /// It was meant to.
        expected: bool,
    },
    /// The scenario sent a gateway a signal. Without this sighting a meant end is held for a kill.
    GatewaySignalled {
        /// The gateway.
        gateway: u32,
        /// True: SIGKILL; else SIGTERM, after which it owes an answer to all that it has taken.
        kill: bool,
    },
    /// From now on nothing passes between the clients and a gateway, or it passes again.
    ClientLinksCut {
        /// The gateway.
        gateway: u32,
        /// Nothing passes.
        cut: bool,
    },
    /// A gateway's process stands still from now on (SIGSTOP), or goes on.
    GatewaySuspended {
        /// The gateway.
        gateway: u32,
        /// It stands still.
        suspended: bool,
    },
    /// Its link to discovery fails from now on, or is whole again.
    DiscoveryLinkFault {
        /// The gateway.
        gateway: u32,
        /// It fails.
        active: bool,
    },
    /// What a gateway sends may come late to a host from now on, or comes as usual again: also the end of a
    /// connection, by which a host learns that an attempt is withdrawn.
    HostTrafficDelayed {
        /// The gateway.
        gateway: u32,
        /// The host.
        host: u32,
        /// It may come late.
        delayed: bool,
        /// The host cannot tell when it was sent.
        send_time_unknown: bool,
    },
    /// An event of the scenario, in words.
    ScenarioEvent {
        /// Its words.
        text: String,
    },
    /// Load of a host, taken once a second for the plots.
    HostLoad {
        /// The host.
        host: u32,
        /// Requests in work and waiting.
        requests: u32,
        /// Share of its present capacity in use since the last one.
        utilization: f64,
    },
}
