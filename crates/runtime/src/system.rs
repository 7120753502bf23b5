//! The operating system's clock and sockets, on the tokio runtime that runs the caller.

use crate::{Env, Listener, Reader, Sleep, Span, Stream, Task, Time, Writer};
use socket2::SockRef;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::Instant;

/// Size of the send buffer, in bytes; by default the system buffers megabytes for a peer that does not read.
const SEND_BUFFER: u32 = 128 * 1024;

/// The operating system's environment. Its clock starts at Unix time, so that it is comparable with the times of other
/// machines, and advances with the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct SystemEnv {
    base: Time,
    started: Instant,
}

impl SystemEnv {
    /// Creates an environment whose clock starts at the current Unix time.
    pub fn start() -> SystemEnv {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        SystemEnv::with_clock_at(unix.as_nanos() as Time)
    }

    /// Creates an environment whose clock starts at this time.
    pub fn with_clock_at(now: Time) -> SystemEnv {
        SystemEnv { base: now, started: Instant::now() }
    }

    fn instant(&self, time: Time) -> Instant {
        self.started + Duration::from_nanos(time.saturating_sub(self.base))
    }

    fn time(&self, instant: Instant) -> Time {
        self.base + instant.saturating_duration_since(self.started).as_nanos() as Time
    }
}

impl Env for SystemEnv {
    type Stream = TcpStream;
    type Listener = SystemListener;
    type Sleep = SystemSleep;
    type Task = SystemTask;

    fn now(&self) -> Time {
        self.base + self.started.elapsed().as_nanos() as Time
    }

    fn sleep_until(&self, at: Time) -> SystemSleep {
        SystemSleep { env: *self, sleep: tokio::time::sleep_until(self.instant(at)) }
    }

    fn spawn<F: Future<Output = ()> + Send + 'static>(&self, task: F) -> SystemTask {
        SystemTask(tokio::spawn(task).abort_handle())
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn listen(&self, on: SocketAddr, backlog: u32) -> io::Result<SystemListener> {
        let socket = if on.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        // Accepted connections inherit the size from the listener.
        socket.set_send_buffer_size(SEND_BUFFER)?;
        socket.bind(on)?;
        Ok(SystemListener(socket.listen(backlog)?))
    }

    fn sleep(&self, span: Span) -> SystemSleep {
        let duration = Duration::from_nanos(span);
        SystemSleep { env: *self, sleep: tokio::time::sleep_until(Instant::now() + duration) }
    }
}

pin_project_lite::pin_project! {
    /// A timer of the tokio runtime.
    pub struct SystemSleep {
        env: SystemEnv,
        #[pin]
        sleep: tokio::time::Sleep,
    }
}

impl Future for SystemSleep {
    type Output = ();
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.project().sleep.poll(cx)
    }
}

impl Sleep for SystemSleep {
    fn deadline(&self) -> Time {
        self.env.time(self.sleep.deadline())
    }
    fn reset(self: Pin<&mut Self>, at: Time) {
        let at = self.env.instant(at);
        self.project().sleep.reset(at);
    }
}

/// A handle to a task of the tokio runtime.
#[derive(Debug)]
pub struct SystemTask(tokio::task::AbortHandle);

impl Task for SystemTask {
    fn abort(&self) {
        self.0.abort();
    }
}

/// A listening TCP socket.
#[derive(Debug)]
pub struct SystemListener(TcpListener);

impl Listener for SystemListener {
    type Stream = TcpStream;
    async fn accept(&mut self) -> io::Result<(TcpStream, SocketAddr)> {
        let (stream, from) = self.0.accept().await?;
        // If the connection has failed already, reading from it returns the error.
        let _ = stream.set_nodelay(true);
        Ok((stream, from))
    }
    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

impl Stream for TcpStream {
    type Reader = SystemReader;
    type Writer = SystemWriter;
    fn into_split(self) -> (SystemReader, SystemWriter) {
        TcpStream::into_split(self)
    }
    fn peer_addr(&self) -> io::Result<SocketAddr> {
        TcpStream::peer_addr(self)
    }
}

/// The receiving half of a TCP socket.
pub type SystemReader = OwnedReadHalf;
/// The sending half of a TCP socket.
pub type SystemWriter = OwnedWriteHalf;

impl Reader for OwnedReadHalf {}

impl Writer for OwnedWriteHalf {
    fn has_no_unread_input(&self) -> bool {
        let peeked = SockRef::from(self.as_ref()).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    fn reset(self) {
        let _ = SockRef::from(self.as_ref()).set_linger(Some(Duration::ZERO));
        self.forget();
    }
}

#[cfg(test)]
mod tests;
