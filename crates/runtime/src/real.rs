//! The machine's own clock and sockets, on the runtime that runs the caller.

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

/// Bytes that the system takes of what is sent to a peer that does not read; on its own it takes megabytes.
const SEND_BUFFER: u32 = 128 * 1024;

/// The real world. Its clock reads as Unix time, so that moments told by others compare with it, and is
/// carried on from the start by the monotonic one.
#[derive(Clone, Copy, Debug)]
pub struct Real {
    base: Time,
    started: Instant,
}

impl Real {
    /// Takes the time, once.
    pub fn start() -> Real {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Real::showing(unix.as_nanos() as Time)
    }

    /// One whose clock shows this now, and goes on from there.
    pub fn showing(now: Time) -> Real {
        Real { base: now, started: Instant::now() }
    }

    fn instant(&self, time: Time) -> Instant {
        self.started + Duration::from_nanos(time.saturating_sub(self.base))
    }

    fn time(&self, instant: Instant) -> Time {
        self.base + instant.saturating_duration_since(self.started).as_nanos() as Time
    }
}

impl Env for Real {
    type Stream = TcpStream;
    type Listener = RealListener;
    type Sleep = RealSleep;
    type Task = RealTask;

    fn now(&self) -> Time {
        self.base + self.started.elapsed().as_nanos() as Time
    }

    fn sleep_until(&self, at: Time) -> RealSleep {
        RealSleep { env: *self, sleep: tokio::time::sleep_until(self.instant(at)) }
    }

    fn spawn<F: Future<Output = ()> + Send + 'static>(&self, task: F) -> RealTask {
        RealTask(tokio::spawn(task).abort_handle())
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn listen(&self, on: SocketAddr, backlog: u32) -> io::Result<RealListener> {
        let socket = if on.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        // Connections have it from their listener.
        socket.set_send_buffer_size(SEND_BUFFER)?;
        socket.bind(on)?;
        Ok(RealListener(socket.listen(backlog)?))
    }

    fn sleep(&self, span: Span) -> RealSleep {
        let far = Duration::from_nanos(span);
        RealSleep { env: *self, sleep: tokio::time::sleep_until(Instant::now() + far) }
    }
}

pin_project_lite::pin_project! {
    /// A timer of the runtime.
    pub struct RealSleep {
        env: Real,
        #[pin]
        sleep: tokio::time::Sleep,
    }
}

impl Future for RealSleep {
    type Output = ();
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.project().sleep.poll(cx)
    }
}

impl Sleep for RealSleep {
    fn deadline(&self) -> Time {
        self.env.time(self.sleep.deadline())
    }
    fn reset(self: Pin<&mut Self>, at: Time) {
        let at = self.env.instant(at);
        self.project().sleep.reset(at);
    }
}

/// A task of the runtime.
#[derive(Debug)]
pub struct RealTask(tokio::task::AbortHandle);

impl Task for RealTask {
    fn abort(&self) {
        self.0.abort();
    }
}

/// A listening socket.
#[derive(Debug)]
pub struct RealListener(TcpListener);

impl Listener for RealListener {
    type Stream = TcpStream;
    async fn accept(&mut self) -> io::Result<(TcpStream, SocketAddr)> {
        let (stream, from) = self.0.accept().await?;
        // A connection that is gone already says so when it is read.
        let _ = stream.set_nodelay(true);
        Ok((stream, from))
    }
    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

impl Stream for TcpStream {
    type Reader = RealReader;
    type Writer = RealWriter;
    fn into_split(self) -> (RealReader, RealWriter) {
        TcpStream::into_split(self)
    }
    fn peer_addr(&self) -> io::Result<SocketAddr> {
        TcpStream::peer_addr(self)
    }
}

/// The receiving half of a socket.
pub type RealReader = OwnedReadHalf;
/// The sending half of a socket.
pub type RealWriter = OwnedWriteHalf;

impl Reader for OwnedReadHalf {}

impl Writer for OwnedWriteHalf {
    fn is_quiet(&self) -> bool {
        let found = SockRef::from(self.as_ref()).peek(&mut [MaybeUninit::uninit()]);
        found.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    fn reset(self) {
        let _ = SockRef::from(self.as_ref()).set_linger(Some(Duration::ZERO));
        self.forget();
    }
}

#[cfg(test)]
mod tests;
