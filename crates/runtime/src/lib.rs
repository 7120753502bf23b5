//! Traits for clock, timers, tasks and streams, and their implementation on the operating system.
//!
//! All code that talks to peers is generic over [`Env`], so that the same code runs on sockets ([`SystemEnv`]) and on a
//! simulated network in virtual time. Dispatch is static and has no cost on sockets. The environment is the only source
//! of time; random seeds are part of the configuration.
//!
//! ```
//! use runtime::{Elapsed, Env, SystemEnv};
//!
//! # tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime").block_on(async {
//! let env = SystemEnv::start();
//! let started = env.now();
//! assert_eq!(env.timeout(1_000_000, std::future::pending::<()>()).await, Err(Elapsed));
//! assert!(env.now() >= started + 1_000_000);
//! # });
//! ```
//!
//! This file defines the traits, `system` implements them on tokio's sockets and timers.

#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::fn_params_excessive_bools))]

mod system;

pub use system::{SystemEnv, SystemListener, SystemReader, SystemTask, SystemWriter};

use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::task::Poll;
use tokio::io::{AsyncRead, AsyncWrite};

/// A point in time: nanoseconds of Unix time, on a clock that never goes back.
pub type Time = u64;
/// A duration, in nanoseconds.
pub type Span = u64;

/// The error of a future that did not complete within its timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl std::fmt::Display for Elapsed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("timed out")
    }
}

impl std::error::Error for Elapsed {}

impl From<Elapsed> for io::Error {
    fn from(_: Elapsed) -> io::Error {
        io::ErrorKind::TimedOut.into()
    }
}

/// The environment that a process runs in.
pub trait Env: Clone + Send + Sync + 'static {
    /// A connection.
    type Stream: Stream;
    /// A listening socket.
    type Listener: Listener<Stream = Self::Stream>;
    /// A timer.
    type Sleep: Sleep;
    /// A handle to a spawned task.
    type Task: Task;

    /// Returns the current time.
    fn now(&self) -> Time;

    /// Returns a timer that expires at `at`, or immediately if that time has passed.
    fn sleep_until(&self, at: Time) -> Self::Sleep;

    /// Spawns a task, which keeps running when the handle is dropped.
    fn spawn<F: Future<Output = ()> + Send + 'static>(&self, task: F) -> Self::Task;

    /// Opens a connection. The caller limits the time for it.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>> + Send;

    /// Listens on this address only; port 0 selects a free port.
    fn listen(&self, on: SocketAddr, backlog: u32) -> io::Result<Self::Listener>;

    /// Returns a timer that expires after `span`.
    fn sleep(&self, span: Span) -> Self::Sleep {
        self.sleep_until(self.now().saturating_add(span))
    }

    /// Awaits a future for at most `span`.
    fn timeout<F: Future + Send>(
        &self,
        span: Span,
        future: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> + Send {
        within(self.sleep(span), future)
    }

    /// Awaits a future no later than `at`.
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

/// A timer: a future that completes when it expires.
pub trait Sleep: Future<Output = ()> + Send {
    /// Returns when the timer expires.
    fn deadline(&self) -> Time;
    /// Changes when the timer expires.
    fn reset(self: Pin<&mut Self>, at: Time);
}

/// A handle to a spawned task.
pub trait Task: Send + Sync + 'static {
    /// Cancels the task at its next await point: its state is dropped, which closes its connections.
    fn abort(&self);
}

/// A bidirectional connection.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static {
    /// The receiving half.
    type Reader: Reader;
    /// The sending half; dropping it closes the sending direction.
    type Writer: Writer;

    /// Splits the connection into its halves.
    fn into_split(self) -> (Self::Reader, Self::Writer);
    /// Returns the address of the peer.
    fn peer_addr(&self) -> io::Result<SocketAddr>;
}

/// The receiving half of a connection.
pub trait Reader: AsyncRead + Unpin + Send + 'static {
    /// Returns when the first byte of the latest read was sent, if known: only a simulated network knows it.
    fn sent_at(&self) -> Option<Time> {
        None
    }
}

/// The sending half of a connection.
pub trait Writer: AsyncWrite + Unpin + Send + 'static {
    /// Returns whether neither bytes nor the end of the stream are waiting to be read. Queries the operating system,
    /// which may have received input that the runtime has not been notified of.
    fn has_no_unread_input(&self) -> bool;

    /// Resets the connection immediately; data in flight may be lost.
    fn reset(self);
}

/// A listening socket, which accepts connections.
pub trait Listener: Send + 'static {
    /// A connection.
    type Stream: Stream;
    /// Waits for the next connection and returns it with the address of its peer.
    fn accept(&mut self) -> impl Future<Output = io::Result<(Self::Stream, SocketAddr)>> + Send;
    /// Returns the address that the socket listens on.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}
