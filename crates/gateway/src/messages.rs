//! What passes between the parts of the network side. Each part knows this and nothing of the others: clients,
//! hosts, the counter and discovery tell the gateway what happened, and it alone knows them all.

use crate::client::call::Call;
use crate::discovery::endpoint_list::Membership;
use crate::lifecycle::reload::Reload;
use bytes::Bytes;
use policy::api::{CounterKey, HostId, Outcome, Request, RequestId, Span, Time};
use resp::{Frame, RespError};
use std::net::SocketAddr;
use tokio::sync::mpsc::UnboundedSender;

/// What happens around the gateway.
#[derive(Debug)]
pub(crate) enum Input {
    Request(Box<Incoming>),
    /// The client of this request has gone.
    Left(RequestId),
    Host(HostEvent),
    Counter(CounterEvent),
}

/// What binds: it goes before all that happens, however much of that waits.
#[derive(Debug)]
pub(crate) enum News {
    /// What discovery tells of the hosts.
    Hosts(Membership),
    /// Discovery does not answer any more (true), or does again.
    DiscoverySilent(bool),
    /// A configuration that was read again.
    Reload(Box<Reload>),
}

/// A request as it came in.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub at: Time,
    pub request: Request,
    pub call: Call,
    pub reply: ReplyTo,
}

/// The one final answer of a request.
#[derive(Debug)]
pub(crate) enum Answer {
    Served(Bytes),
    Busy(Option<Span>),
    Failed,
}

/// Where the answer of one request goes.
#[derive(Debug)]
pub(crate) struct ReplyTo {
    pub slot: u64,
    pub answers: UnboundedSender<(u64, Answer)>,
}

impl ReplyTo {
    /// Whether the client's connection has ended: known at once, before the word of it has had its turn in the queue.
    pub fn is_gone(&self) -> bool {
        self.answers.is_closed()
    }

    /// Gives the answer; a connection that has ended takes none.
    pub fn answer(self, answer: Answer) {
        let _ = self.answers.send((self.slot, answer));
    }
}

/// How far the gateway is with starting and stopping.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    #[default]
    Starting,
    Ready,
    /// New connections still come and are served, but no front should take this gateway in.
    Stopping,
    /// Connections close when they are between requests.
    Closing,
    /// Commands that still come are refused: there may not be the time to answer them.
    Refusing,
}

/// An attempt of a request.
pub(crate) type AttemptKey = (RequestId, u32);
/// Number of a connection to a host; never used twice.
pub(crate) type ConnId = u64;

/// What a connection to a host tells.
#[derive(Debug)]
pub(crate) enum HostEvent {
    /// It is up.
    Up(ConnId),
    /// It answered the request on it; `clean`: with nothing behind, so it can carry another.
    Answered { id: ConnId, frame: Frame, clean: bool },
    /// What came on it is not what a host says.
    Nonsense { id: ConnId, error: RespError },
    /// It has ended, or never came up.
    Down(ConnId),
    /// A connection to this host has rested since its answer.
    Rested(HostId),
}

/// Number of a call to the counter.
pub(crate) type CallId = u64;

/// How a call to the counter ended.
#[derive(Debug)]
pub(crate) struct Counted {
    pub call: CallId,
    pub name: CounterKey,
    pub outcome: Outcome,
    pub total: f64,
    pub took: Span,
    /// When it would have been given up.
    pub until: Time,
}

/// What a connection to the counter tells.
#[derive(Debug)]
pub(crate) enum CounterEvent {
    Ended {
        link: u64,
        call: CallId,
        outcome: Outcome,
        total: f64,
    },
    /// What came on it is not what a counter says.
    Nonsense {
        address: SocketAddr,
        error: RespError,
    },
    Down(u64),
}
