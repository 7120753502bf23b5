//! The seam between the network side and the world it runs in: a clock, timers, tasks and streams.
//!
//! All code that talks to peers is generic over [`Env`], so the same code serves on sockets ([`Real`]) and on
//! a simulated network in virtual time. Dispatch is static: the real path pays nothing for it. There is no
//! other source of time, and no source of chance: seeds come with the configuration.

mod real;

pub use real::{Real, RealListener, RealReader, RealTask, RealWriter};

use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::task::Poll;
use tokio::io::{AsyncRead, AsyncWrite};

/// A moment in nanoseconds of Unix time, on a clock that never goes back.
pub type Time = u64;
/// A span of time in nanoseconds.
pub type Span = u64;

/// The time given for something is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl std::fmt::Display for Elapsed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("time is over")
    }
}

impl std::error::Error for Elapsed {}

impl From<Elapsed> for io::Error {
    fn from(_: Elapsed) -> io::Error {
        io::ErrorKind::TimedOut.into()
    }
}

/// The world that a process runs in.
pub trait Env: Clone + Send + Sync + 'static {
    /// A connection.
    type Stream: Stream;
    /// Where connections come in.
    type Listener: Listener<Stream = Self::Stream>;
    /// A timer.
    type Sleep: Sleep;
    /// A running task.
    type Task: Task;

    /// Now.
    fn now(&self) -> Time;

    /// A timer that falls due at `at`, at once if that has passed.
    fn sleep_until(&self, at: Time) -> Self::Sleep;

    /// Starts a task. It runs on when the handle is dropped.
    fn spawn<F: Future<Output = ()> + Send + 'static>(&self, task: F) -> Self::Task;

    /// Opens a connection. It has no time-out of its own.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>> + Send;

    /// Listens on this address only; port 0 takes a free one.
    fn listen(&self, on: SocketAddr, backlog: u32) -> io::Result<Self::Listener>;

    /// A timer that falls due in `span`.
    fn sleep(&self, span: Span) -> Self::Sleep {
        self.sleep_until(self.now().saturating_add(span))
    }

    /// What the future gives, if it does within `span`.
    fn timeout<F: Future + Send>(
        &self,
        span: Span,
        future: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> + Send {
        within(self.sleep(span), future)
    }

    /// What the future gives, if it does before `at`.
    fn timeout_at<F: Future + Send>(
        &self,
        at: Time,
        future: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> + Send {
        within(self.sleep_until(at), future)
    }
}

async fn within<S: Sleep, F: Future>(sleep: S, future: F) -> Result<F::Output, Elapsed> {
    let (mut future, mut sleep) = (pin!(future), pin!(sleep));
    poll_fn(|cx| match future.as_mut().poll(cx) {
        Poll::Ready(value) => Poll::Ready(Ok(value)),
        Poll::Pending => sleep.as_mut().poll(cx).map(|()| Err(Elapsed)),
    })
    .await
}

/// A timer.
pub trait Sleep: Future<Output = ()> + Send {
    /// When it falls due.
    fn deadline(&self) -> Time;
    /// Lets it fall due at another moment.
    fn reset(self: Pin<&mut Self>, at: Time);
}

/// A running task.
pub trait Task: Send + Sync + 'static {
    /// Ends it at its next rest: what it holds is dropped, its connections close.
    fn abort(&self);
}

/// A connection in both directions.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static {
    /// The receiving half.
    type Reader: Reader;
    /// The sending half; dropped, it ends the sending.
    type Writer: Writer;

    /// Takes the halves apart.
    fn into_split(self) -> (Self::Reader, Self::Writer);
    /// Who is at the other end.
    fn peer_addr(&self) -> io::Result<SocketAddr>;
}

/// The receiving half of a connection.
pub trait Reader: AsyncRead + Unpin + Send + 'static {
    /// When the first byte of what was read last was sent, where the world knows: only a simulated one does.
    fn sent_at(&self) -> Option<Time> {
        None
    }
}

/// The sending half of a connection.
pub trait Writer: AsyncWrite + Unpin + Send + 'static {
    /// Whether neither bytes nor an end of the connection lie here unread. Asks the system itself, which may
    /// know of more than the runtime has been told.
    fn is_quiet(&self) -> bool;

    /// Breaks the connection at once: the peer sees a reset, and what is on its way may be lost.
    fn reset(self);
}

/// Where connections come in.
pub trait Listener: Send + 'static {
    /// A connection.
    type Stream: Stream;
    /// The next connection, and who opened it.
    fn accept(&mut self) -> impl Future<Output = io::Result<(Self::Stream, SocketAddr)>> + Send;
    /// Where it listens.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}
