//! Messages between the gateway's modules. The modules for clients, hosts, the counter and discovery do not depend on
//! one another: each reports to the gateway's event loop with these messages, and only the event loop depends on all of
//! them.

use crate::client::backlog::InputBacklog;
use crate::client::call::Call;
use crate::discovery::endpoint_list::EndpointList;
use crate::lifecycle::reload::Reload;
use bytes::Bytes;
use policy::api::{CounterKey, HostId, Outcome, Request, RequestId, Span, Time};
use resp::{Frame, RespError};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;

/// Events that connections to clients, hosts and the counter report to the gateway's event loop.
#[derive(Debug)]
pub(crate) enum TrafficEvent {
    /// A client has sent a request.
    Request(Box<IncomingRequest>),
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// An event on a connection to a host.
    Host(HostEvent),
    /// An event on a connection to the counter.
    Counter(CounterEvent),
}

/// Events that the gateway's event loop processes before all traffic events, regardless of how many of those are
/// queued.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// Discovery has sent a complete endpoint list, or changes to it.
    EndpointList(EndpointList),
    /// Discovery has become unreachable, or reachable again.
    DiscoveryReachable(bool),
    /// The configuration has been reloaded.
    Reload(Box<Reload>),
}

/// A request as it arrived from a client.
#[derive(Debug)]
pub(crate) struct IncomingRequest {
    pub arrived_at: Time,
    pub request: Request,
    pub call: Call,
    pub reply_to: ReplyTo,
}

/// The final answer to a request. Each request gets exactly one.
#[derive(Debug)]
pub(crate) enum FinalAnswer {
    /// The response of a host.
    Response(Bytes),
    /// Rejected without effect; the client may retry after this time.
    Rejected(Option<Span>),
    /// Failed; the request may have been executed.
    Failed,
}

/// Sequence number of a command on its connection.
pub(crate) type CommandNumber = u64;

/// A final answer, with the number of its command on the client's connection. It is boxed, since the channel of each
/// connection allocates space for 32 messages at once.
pub(crate) type NumberedAnswer = Box<(CommandNumber, FinalAnswer)>;

/// A client's connection, as its requests see it.
#[derive(Clone, Debug)]
pub(crate) struct ClientChannel {
    pub answers: UnboundedSender<NumberedAnswer>,
    pub backlog: Arc<InputBacklog>,
}

impl ClientChannel {
    /// Creates the channel of a connection without unread input.
    pub fn new(answers: UnboundedSender<NumberedAnswer>) -> ClientChannel {
        ClientChannel { answers, backlog: Arc::default() }
    }

    /// Returns whether the connection has closed. This is visible at once, while the
    /// [`TrafficEvent::ClientDisconnected`] may still be queued.
    pub fn is_closed(&self) -> bool {
        self.answers.is_closed()
    }

    /// Returns whether requests may be forwarded now: the client has not disconnected, or not long ago.
    pub fn permits_attempts(&self, now: Time) -> bool {
        !self.is_closed() && !self.backlog.is_stale(now)
    }
}

/// Recipient of the final answer to a request: a command on a client's connection.
#[derive(Debug)]
pub(crate) struct ReplyTo {
    pub command: CommandNumber,
    pub client: ClientChannel,
}

impl ReplyTo {
    /// Sends the answer; it is dropped if the client's connection has closed.
    pub fn send(self, answer: FinalAnswer) {
        let _ = self.client.answers.send(Box::new((self.command, answer)));
    }
}

/// Phase of the process's life cycle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LifecyclePhase {
    /// No endpoint list has arrived yet.
    #[default]
    Starting,
    /// Requests are served.
    Ready,
    /// Graceful shutdown: new connections are still accepted, but health checks fail.
    Stopping,
    /// Connections close as soon as they have no request in flight.
    Closing,
    /// New requests are rejected, since there may not be enough time to answer them.
    Rejecting,
    /// The process ends soon: commands that have arrived in part are answered with an error.
    Ending,
}

/// Identifies an attempt: its request and its index among the request's attempts.
pub(crate) type AttemptKey = (RequestId, u32);

/// Identifies a connection to a host; never reused.
pub(crate) type ConnectionId = u64;

/// Events that a connection to a host reports.
#[derive(Debug)]
pub(crate) enum HostEvent {
    /// The connection is established.
    Connected(ConnectionId),
    /// A response to the request on the connection has arrived. `is_reusable` is false if more bytes have followed it.
    Response { id: ConnectionId, frame: Frame, is_reusable: bool },
    /// The host has violated the protocol.
    ProtocolViolation { id: ConnectionId, error: RespError },
    /// The connection has closed, or could not be established.
    Closed(ConnectionId),
    /// The quarantine of a connection to this host has ended.
    QuarantineEnded(HostId),
}

/// Identifies a call to the counter.
pub(crate) type CallId = u64;

/// The end of a call to the counter.
#[derive(Debug)]
pub(crate) struct CounterResult {
    pub call: CallId,
    pub key: CounterKey,
    pub outcome: Outcome,
    /// Value of the counter after the call.
    pub total: f64,
    pub elapsed: Span,
    /// When the call would have timed out.
    pub deadline: Time,
}

/// Events that a connection to the counter reports.
#[derive(Debug)]
pub(crate) enum CounterEvent {
    /// A call has ended.
    CallEnded { connection: u64, call: CallId, outcome: Outcome, total: f64 },
    /// The counter has violated the protocol.
    ProtocolViolation { address: SocketAddr, error: RespError },
    /// The connection has closed, or could not be established.
    Closed(u64),
}
