//! Messages between the parts of the network side. Clients, hosts, the counter and discovery each know these and nothing
//! of one another: they report to the gateway's event loop, which alone knows them all.

use crate::client::call::Call;
use crate::discovery::endpoint_list::EndpointList;
use crate::lifecycle::reload::Reload;
use bytes::Bytes;
use policy::api::{CounterKey, HostId, Outcome, Request, RequestId, Span, Time};
use resp::{Frame, RespError};
use std::net::SocketAddr;
use tokio::sync::mpsc::UnboundedSender;

/// What clients, hosts and the counter report to the gateway's event loop.
#[derive(Debug)]
pub(crate) enum TrafficEvent {
    /// A client has sent a request.
    Request(Box<IncomingRequest>),
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// Something has happened on a connection to a host.
    Host(HostEvent),
    /// Something has happened on a connection to the counter.
    Counter(CounterEvent),
}

/// What the gateway's event loop processes before all traffic, however much of that is queued.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// Discovery has sent an endpoint list, or changes to it.
    EndpointList(EndpointList),
    /// Discovery has become unreachable, or reachable again.
    DiscoveryReachable(bool),
    /// A configuration has been read again.
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

/// The final answer to a request; there is exactly one.
#[derive(Debug)]
pub(crate) enum FinalAnswer {
    /// The response of a host.
    Response(Bytes),
    /// Rejected without effect; the client may retry after this time.
    Rejected(Option<Span>),
    /// Failed; the request may have been executed.
    Failed,
}

/// Numbers the commands of a connection, in order.
pub(crate) type CommandNumber = u64;

/// A final answer on its way to the connection of its client.
pub(crate) type NumberedAnswer = (CommandNumber, FinalAnswer);

/// Where the final answer to a request goes.
#[derive(Debug)]
pub(crate) struct ReplyTo {
    pub command: CommandNumber,
    pub answers: UnboundedSender<NumberedAnswer>,
}

impl ReplyTo {
    /// Returns whether the client's connection has closed. This is known at once, while the event of it is still queued.
    pub fn is_closed(&self) -> bool {
        self.answers.is_closed()
    }

    /// Sends the answer; it is dropped if the client's connection has closed.
    pub fn send(self, answer: FinalAnswer) {
        let _ = self.answers.send((self.command, answer));
    }
}

/// Phase of the process between its start and its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LifecyclePhase {
    /// No endpoint list has arrived yet.
    #[default]
    Starting,
    /// Requests are served.
    Ready,
    /// Shutting down: new connections are still accepted, but health checks fail.
    Stopping,
    /// Connections close when they are between requests.
    Closing,
    /// New requests are rejected, since there may not be the time to answer them.
    Rejecting,
}

/// An attempt: its request and its index among the request's attempts.
pub(crate) type AttemptKey = (RequestId, u32);

/// Identifies a connection to a host; never used twice.
pub(crate) type ConnectionId = u64;

/// What a connection to a host reports.
#[derive(Debug)]
pub(crate) enum HostEvent {
    /// The connection is established.
    Connected(ConnectionId),
    /// A response to the request on the connection has arrived; `is_reusable` if no byte has followed it.
    Response { id: ConnectionId, frame: Frame, is_reusable: bool },
    /// The host has violated the protocol.
    ProtocolViolation { id: ConnectionId, error: RespError },
    /// The connection has closed, or could not be established.
    Closed(ConnectionId),
    /// The quarantine of a connection to this host is over.
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
    /// The number after the call.
    pub total: f64,
    pub elapsed: Span,
    /// When the call would have timed out.
    pub deadline: Time,
}

/// What a connection to the counter reports.
#[derive(Debug)]
pub(crate) enum CounterEvent {
    /// A call has ended.
    CallEnded { connection: u64, call: CallId, outcome: Outcome, total: f64 },
    /// The counter has violated the protocol.
    ProtocolViolation { address: SocketAddr, error: RespError },
    /// The connection has closed, or could not be established.
    Closed(u64),
}
