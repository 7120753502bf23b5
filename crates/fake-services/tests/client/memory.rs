//! Connections within the process, on a clock that stands still while anything moves.

use runtime::{Env, Listener, Reader, Span, Stream, SystemEnv, SystemTask, Time, Writer};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{ready, Context, Poll};
use tokio::io::{split, AsyncRead, AsyncWrite, DuplexStream, ReadBuf, ReadHalf, WriteHalf};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// Bytes that may be on their way in one direction.
const WINDOW: usize = 4096;

/// Who listens where.
type Ports = BTreeMap<SocketAddr, UnboundedSender<MemoryStream>>;

/// A world of connections within the process. Its clock is the runtime's, which tests pause.
#[derive(Clone)]
pub struct Memory {
    clock: SystemEnv,
    ports: Arc<Mutex<Ports>>,
}

impl Memory {
    /// Where nobody listens yet.
    pub fn new() -> Memory {
        Memory { clock: SystemEnv::start(), ports: Arc::default() }
    }
}

impl Env for Memory {
    type Stream = MemoryStream;
    type Listener = MemoryListener;
    type Sleep = <SystemEnv as Env>::Sleep;
    type Task = SystemTask;

    fn now(&self) -> Time {
        self.clock.now()
    }

    fn sleep_until(&self, at: Time) -> Self::Sleep {
        self.clock.sleep_until(at)
    }

    fn sleep(&self, span: Span) -> Self::Sleep {
        self.clock.sleep(span)
    }

    fn spawn<F: Future<Output = ()> + Send + 'static>(&self, task: F) -> SystemTask {
        self.clock.spawn(task)
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<MemoryStream> {
        let (near, far) = tokio::io::duplex(WINDOW);
        let is_reset = Arc::<AtomicBool>::default();
        let stream = |inner| MemoryStream { inner, is_reset: is_reset.clone(), peer: to };
        let sent = self.ports.lock().unwrap().get(&to).map(|port| port.send(stream(far)));
        match sent {
            Some(Ok(())) => Ok(stream(near)),
            _ => Err(io::ErrorKind::ConnectionRefused.into()),
        }
    }

    /// Takes a free port, whatever is wished for.
    fn listen(&self, on: SocketAddr, _backlog: u32) -> io::Result<MemoryListener> {
        let mut ports = self.ports.lock().unwrap();
        let address = SocketAddr::new(on.ip(), 1 + ports.len() as u16);
        let (port, inbox) = unbounded_channel();
        ports.insert(address, port);
        Ok(MemoryListener { address, inbox })
    }
}

/// Where connections come in.
pub struct MemoryListener {
    address: SocketAddr,
    inbox: UnboundedReceiver<MemoryStream>,
}

impl Listener for MemoryListener {
    type Stream = MemoryStream;

    async fn accept(&mut self) -> io::Result<(MemoryStream, SocketAddr)> {
        let stream = self.inbox.recv().await.ok_or(io::ErrorKind::NotConnected)?;
        Ok((stream, self.address))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.address)
    }
}

/// One end of a connection.
pub struct MemoryStream {
    inner: DuplexStream,
    is_reset: Arc<AtomicBool>,
    peer: SocketAddr,
}

impl AsyncRead for MemoryStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let ended = buf.filled().len() == before;
        match ended && self.is_reset.load(Ordering::Relaxed) {
            true => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            false => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for MemoryStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl Stream for MemoryStream {
    type Reader = MemoryReader;
    type Writer = MemoryWriter;

    fn into_split(self) -> (MemoryReader, MemoryWriter) {
        let is_reset = self.is_reset.clone();
        let (reader, writer) = split(self);
        (MemoryReader(reader), MemoryWriter { inner: writer, is_reset })
    }

    fn peer_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.peer)
    }
}

/// The receiving half.
pub struct MemoryReader(ReadHalf<MemoryStream>);

impl AsyncRead for MemoryReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl Reader for MemoryReader {}

/// The sending half.
pub struct MemoryWriter {
    inner: WriteHalf<MemoryStream>,
    is_reset: Arc<AtomicBool>,
}

impl AsyncWrite for MemoryWriter {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl Writer for MemoryWriter {
    fn has_no_unread_input(&self) -> bool {
        unimplemented!("neither clients nor scripted gateways ask")
    }

    fn reset(self) {
        self.is_reset.store(true, Ordering::Relaxed);
    }
}
