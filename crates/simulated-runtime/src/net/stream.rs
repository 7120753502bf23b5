//! What processes hold of the network: connections and listeners.

use super::connection::EndId;
use super::faults::HangUp;
use crate::process::ProcessId;
use crate::shared::Shared;
use crate::slab::Key;
use runtime::{Listener, Reader, Stream, Time, Writer};
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection. Dropped, it closes as a system closes a descriptor.
pub struct SimStream {
    // The order of dropping: the writer goes last, and finds out whether bytes lay unread.
    reader: SimReader,
    writer: SimWriter,
    peer: SocketAddr,
}

impl SimStream {
    fn new(shared: &Arc<Shared>, id: EndId, peer: SocketAddr) -> SimStream {
        SimStream {
            reader: SimReader { shared: shared.clone(), id, sent: None },
            writer: SimWriter { shared: shared.clone(), id },
            peer,
        }
    }

    /// Asks for a connection and waits for it; dropped before, it is wanted no more.
    pub(crate) async fn connect(
        shared: &Arc<Shared>,
        process: ProcessId,
        to: SocketAddr,
    ) -> io::Result<SimStream> {
        let id = shared.room(|room| room.ask(process, to))?;
        let stream = SimStream::new(shared, id, to);
        poll_fn(|cx| shared.room(|room| room.asked(id, cx))).await?;
        Ok(stream)
    }
}

impl Stream for SimStream {
    type Reader = SimReader;
    type Writer = SimWriter;

    fn into_split(self) -> (SimReader, SimWriter) {
        (self.reader, self.writer)
    }

    fn peer_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.peer)
    }
}

impl AsyncRead for SimStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().reader).poll_read(cx, buf)
    }
}

impl AsyncWrite for SimStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().writer).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().writer).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().writer).poll_shutdown(cx)
    }
}

/// The receiving half of a connection.
pub struct SimReader {
    shared: Arc<Shared>,
    id: EndId,
    /// When the first byte of what was read last was sent.
    sent: Option<Time>,
}

impl AsyncRead for SimReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = self.shared.room(|room| room.read(self.id, cx, buf));
        read.map_ok(|sent| self.sent = sent)
    }
}

impl Reader for SimReader {
    fn sent_at(&self) -> Option<Time> {
        self.sent
    }
}

impl Drop for SimReader {
    fn drop(&mut self) {
        self.shared.room(|room| room.let_go_of_reader(self.id));
    }
}

/// The sending half of a connection; dropped, it ends the sending.
pub struct SimWriter {
    shared: Arc<Shared>,
    id: EndId,
}

impl AsyncWrite for SimWriter {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.shared.room(|room| room.write(self.id, cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.shared.room(|room| room.finish_sending(self.id));
        Poll::Ready(Ok(()))
    }
}

impl Writer for SimWriter {
    fn has_no_unread_input(&self) -> bool {
        self.shared.room(|room| room.has_no_unread_input(self.id))
    }

    /// What is on its way arrives before the reset.
    fn reset(self) {
        self.shared.room(|room| room.hang_up(self.id, HangUp::Reset));
    }
}

impl Drop for SimWriter {
    fn drop(&mut self) {
        self.shared.room(|room| room.let_go_of_writer(self.id));
    }
}

/// Where connections come in. Dropped, it resets those that nobody has accepted.
pub struct SimListener {
    shared: Arc<Shared>,
    key: Key,
    addr: SocketAddr,
}

impl SimListener {
    pub(crate) fn new(shared: &Arc<Shared>, key: Key, addr: SocketAddr) -> SimListener {
        SimListener { shared: shared.clone(), key, addr }
    }
}

impl Listener for SimListener {
    type Stream = SimStream;

    async fn accept(&mut self) -> io::Result<(SimStream, SocketAddr)> {
        let next = |cx: &mut Context<'_>| self.shared.room(|room| room.accept(self.key, cx));
        let (id, from) = poll_fn(next).await?;
        Ok((SimStream::new(&self.shared, id, from), from))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.addr)
    }
}

impl Drop for SimListener {
    fn drop(&mut self) {
        self.shared.room(|room| room.close_listener(self.key, HangUp::Reset));
    }
}
