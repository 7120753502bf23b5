//! One connection to a host. The gateway's event loop writes a request itself, since on an idle connection all of it can be
//! written at once; the connection's task reads responses, and writes the rest of a request that could not.

use crate::client::call::Command;
use crate::crash_points::{self, CrashPoint};
use crate::messages::{ConnectionId, HostEvent, TrafficEvent};
use bytes::{Buf, BytesMut};
use resp::{Frame, RespError};
use runtime::{Env, Sleep, Span, Stream, Time, Writer};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWriteExt};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task::unconstrained;

const MS: Span = 1_000_000;
/// A response of which nothing more arrives for this long is broken.
const PARTIAL_RESPONSE_TIMEOUT: Span = 200 * MS;

/// A host sends nothing on an idle connection.
const UNEXPECTED_RESPONSE: RespError = RespError::Malformed("answer without a request");
/// A host begins to process a command at its last byte: what it sends before is no response to it. Nor may the rest of a
/// request that it has rejected reach it after all.
const EARLY_RESPONSE: RespError = RespError::Malformed("answer before the end of its request");

type WriterOf<E> = <<E as Env>::Stream as Stream>::Writer;

/// What the event loop and the task of a connection share.
struct Shared<W> {
    /// Whether the last byte of the current request has been written.
    is_request_written: AtomicBool,
    /// Whether a request is on the connection, so that what arrives is its response.
    awaits_response: AtomicBool,
    /// The sending half while the event loop does not have it: after the connection was established, and after the rest
    /// of a request was written.
    writer: Mutex<Option<W>>,
}

impl<W> Shared<W> {
    fn put_writer(&self, writer: W) {
        *self.writer.lock().unwrap_or_else(PoisonError::into_inner) = Some(writer);
    }

    fn take_writer(&self) -> Option<W> {
        self.writer.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// A connection, as the event loop uses it.
pub(crate) struct HostConnection<E: Env> {
    shared: Arc<Shared<WriterOf<E>>>,
    writer: Option<WriterOf<E>>,
    /// Takes requests that could not be written at once.
    unwritten: UnboundedSender<(WriterOf<E>, Command)>,
}

/// Timeouts of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionTimeouts {
    /// A connection that is not established by then fails.
    pub connect: Span,
    /// An idle connection closes after this.
    pub idle: Span,
}

/// Why a connection did not take a request. No request was written completely then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteError {
    /// The connection has closed, or unread bytes wait on it, which would pass for the response.
    Stale,
    /// The connection takes no byte now: the host has responded before it had read the last request. When a request would
    /// be written, and whether it would still be wanted then, cannot be told.
    Congested,
}

impl<E: Env> HostConnection<E> {
    /// Starts to connect, and returns the connection with the task that carries it.
    pub fn open(
        env: &E,
        id: ConnectionId,
        address: SocketAddr,
        timeouts: ConnectionTimeouts,
        gateway: UnboundedSender<TrafficEvent>,
    ) -> (HostConnection<E>, E::Task) {
        let (unwritten, inbox) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            is_request_written: AtomicBool::new(false),
            awaits_response: AtomicBool::new(false),
            writer: Mutex::new(None),
        });
        let task = ConnectionTask { env: env.clone(), id, timeouts, shared: shared.clone(), gateway };
        let task = env.spawn(task.run(address, inbox));
        (HostConnection { shared, writer: None, unwritten }, task)
    }

    /// Returns whether the last byte of the current request has been written.
    pub fn is_request_written(&self) -> bool {
        self.shared.is_request_written.load(Ordering::Relaxed)
    }

    /// Writes a request. Its first byte is written when this returns, or none ever is.
    ///
    /// # Errors
    /// The connection cannot take a request.
    pub fn write(&mut self, mut command: Command) -> Result<(), WriteError> {
        // While the rest of the last request is written, the task has the writer.
        let writer = self.writer.take().or_else(|| self.shared.take_writer());
        let mut writer = writer.ok_or(WriteError::Congested)?;
        if self.unwritten.is_closed() || !writer.has_no_unread_input() {
            return Err(WriteError::Stale);
        }
        self.shared.is_request_written.store(false, Ordering::Relaxed);
        self.shared.awaits_response.store(true, Ordering::Relaxed);
        let length = command.remaining();
        write_available(&mut writer, &mut command).map_err(|_| WriteError::Stale)?;
        if !command.has_remaining() {
            crash_points::crash_if_armed(CrashPoint::AttemptWritten);
            self.shared.is_request_written.store(true, Ordering::Relaxed);
            self.writer = Some(writer);
            Ok(())
        } else if command.remaining() == length {
            Err(WriteError::Congested)
        } else {
            self.unwritten.send((writer, command)).map_err(|_| WriteError::Stale)
        }
    }
}

/// Writes what can be written without waiting.
fn write_available<W: Writer>(writer: &mut W, command: &mut Command) -> io::Result<()> {
    while command.has_remaining() {
        // The connection's task waits until more can be written: nobody has to be woken here.
        let write = pin!(unconstrained(writer.write_buf(command)));
        match write.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(1..)) => {}
            Poll::Ready(Ok(_)) => return Err(io::ErrorKind::WriteZero.into()),
            Poll::Ready(Err(error)) => return Err(error),
            Poll::Pending => return Ok(()),
        }
    }
    Ok(())
}

/// The task of a connection.
struct ConnectionTask<E: Env> {
    env: E,
    id: ConnectionId,
    timeouts: ConnectionTimeouts,
    shared: Arc<Shared<WriterOf<E>>>,
    gateway: UnboundedSender<TrafficEvent>,
}

impl<E: Env> ConnectionTask<E> {
    async fn run(self, address: SocketAddr, unwritten: UnboundedReceiver<(WriterOf<E>, Command)>) {
        if let Ok(Ok(stream)) = self.env.timeout(self.timeouts.connect, self.env.connect(address)).await {
            let (reader, writer) = stream.into_split();
            self.shared.put_writer(writer);
            self.report(HostEvent::Connected(self.id));
            if let Err(error) = self.carry(reader, unwritten).await {
                if error.is_protocol_violation() {
                    self.report(HostEvent::ProtocolViolation { id: self.id, error });
                }
            }
        }
        self.report(HostEvent::Closed(self.id));
    }

    fn report(&self, event: HostEvent) {
        let _ = self.gateway.send(TrafficEvent::Host(event));
    }

    async fn carry(
        &self,
        mut reader: impl AsyncRead + Unpin + Send,
        mut unwritten: UnboundedReceiver<(WriterOf<E>, Command)>,
    ) -> Result<(), RespError> {
        let mut input = BytesMut::new();
        let mut idle_since: Time = self.env.now();
        // One timer that is checked when it expires costs less than one for each request.
        let mut idle_timer = pin!(self.env.sleep(self.timeouts.idle));
        loop {
            tokio::select! {
                biased;
                // On an idle connection this is its end, or a protocol violation.
                filled = resp::fill(&mut reader, &mut input) => {
                    filled?;
                    self.take_response(&mut reader, &mut input).await?;
                    idle_since = self.env.now();
                }
                unwritten = unwritten.recv() => {
                    let (writer, command) = unwritten.ok_or(RespError::Closed)?;
                    self.write_remaining(&mut reader, &mut input, writer, command).await?;
                }
                () = idle_timer.as_mut() => {
                    let awaits_response = self.shared.awaits_response.load(Ordering::Relaxed);
                    let since = if awaits_response { self.env.now() } else { idle_since };
                    let idle_until = since.saturating_add(self.timeouts.idle);
                    if idle_until <= self.env.now() {
                        return Ok(());
                    }
                    idle_timer.as_mut().reset(idle_until);
                }
            }
        }
    }

    /// Reads the rest of a response and reports it.
    async fn take_response<R>(&self, reader: &mut R, input: &mut BytesMut) -> Result<(), RespError>
    where
        R: AsyncRead + Unpin + Send,
    {
        self.expects_response()?;
        let frame = self.read_response(reader, input).await?;
        crash_points::crash_if_armed(CrashPoint::AnswerRead);
        let is_reusable = input.is_empty();
        self.shared.awaits_response.store(false, Ordering::Relaxed);
        self.report(HostEvent::Response { id: self.id, frame, is_reusable });
        if is_reusable {
            Ok(())
        } else {
            Err(RespError::Malformed("answer"))
        }
    }

    /// Checks that what arrives now can be a response.
    fn expects_response(&self) -> Result<(), RespError> {
        if !self.shared.awaits_response.load(Ordering::Relaxed) {
            return Err(UNEXPECTED_RESPONSE);
        }
        if !self.shared.is_request_written.load(Ordering::Relaxed) {
            return Err(EARLY_RESPONSE);
        }
        Ok(())
    }

    /// Reads the rest of a response. Hosts write one at once: one that stalls is broken, and an idempotent request still
    /// has the time for another attempt.
    async fn read_response<R>(&self, reader: &mut R, input: &mut BytesMut) -> Result<Frame, RespError>
    where
        R: AsyncRead + Unpin + Send,
    {
        loop {
            if let Some(frame) = resp::decode(input)? {
                return Ok(frame);
            }
            let filled = self.env.timeout(PARTIAL_RESPONSE_TIMEOUT, resp::fill(reader, input)).await;
            filled.map_err(|_| RespError::Malformed("answer"))??;
        }
    }

    /// Writes the rest of a request.
    async fn write_remaining<R>(
        &self,
        reader: &mut R,
        input: &mut BytesMut,
        mut writer: WriterOf<E>,
        mut command: Command,
    ) -> Result<(), RespError>
    where
        R: AsyncRead + Unpin + Send,
    {
        tokio::select! {
            biased;
            filled = resp::fill(reader, input) => {
                filled?;
                return Err(EARLY_RESPONSE);
            }
            written = writer.write_all_buf(&mut command) => written?,
        }
        crash_points::crash_if_armed(CrashPoint::AttemptWritten);
        self.shared.is_request_written.store(true, Ordering::Relaxed);
        self.shared.put_writer(writer);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
