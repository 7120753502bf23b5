//! One connection to a host. The gateway's event loop writes requests itself, since on an idle connection a request can
//! usually be written without waiting. The connection's task reads responses, and writes the remainder of a request
//! that could not be written completely.

use crate::client::call::Command;
use crate::crash_points::{self, CrashPoint};
use crate::messages::{ConnectionId, HostEvent, TrafficEvent};
use bytes::Buf;
use resp::{Frame, ReadBuffer, RespError};
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
/// An incomplete response of which no further byte arrives for this long is invalid.
const PARTIAL_RESPONSE_TIMEOUT: Span = 200 * MS;

/// A host must not send anything on an idle connection.
const UNEXPECTED_RESPONSE: RespError = RespError::Malformed("answer without a request");
/// A host begins to process a command at its last byte, so bytes that it sends before are no response to the command.
/// The remainder of the request is not written, since the host must not execute a request that it has already rejected.
const EARLY_RESPONSE: RespError = RespError::Malformed("answer before the end of its request");

type WriterOf<E> = <<E as Env>::Stream as Stream>::Writer;

/// State that the event loop shares with the task of a connection.
struct Shared<W> {
    /// Whether the last byte of the current request has been written.
    is_request_written: AtomicBool,
    /// Whether a request is in flight on the connection, so that arriving bytes belong to its response.
    awaits_response: AtomicBool,
    /// The write half while it is neither with the event loop nor in use by the task: after the connection was
    /// established, and after the remainder of a request was written.
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

/// A request that has been written in part, and the write half that writes the rest.
struct UnwrittenRequest<W> {
    writer: W,
    command: Command,
}

/// The event loop's handle of a connection.
pub(crate) struct HostConnection<E: Env> {
    shared: Arc<Shared<WriterOf<E>>>,
    writer: Option<WriterOf<E>>,
    /// Passes partially written requests to the task. They are boxed, since the channel allocates space for 32 of them.
    unwritten: UnboundedSender<Box<UnwrittenRequest<WriterOf<E>>>>,
}

/// Timeouts of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionTimeouts {
    /// A connection that is not established within this time fails.
    pub connect: Span,
    /// A connection closes after being idle for this long.
    pub idle: Span,
}

/// Why a connection did not accept a request. The request was not written completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteError {
    /// The connection has closed, or has unread input that would be mistaken for the response.
    Stale,
    /// The connection accepts no byte now: the host has responded before it had read the previous request. The request
    /// would be written at an unknown time, when it may no longer be needed.
    Congested,
}

impl<E: Env> HostConnection<E> {
    /// Starts to connect, and returns the connection with its task.
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

    /// Writes a request. Its first byte has been written when this returns, or never will be.
    ///
    /// # Errors
    /// The connection cannot accept a request.
    pub fn write(&mut self, mut command: Command) -> Result<(), WriteError> {
        // The task has the writer while it writes the remainder of the previous request.
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
            let unwritten = Box::new(UnwrittenRequest { writer, command });
            self.unwritten.send(unwritten).map_err(|_| WriteError::Stale)
        }
    }
}

/// Writes as many bytes as possible without waiting.
fn write_available<W: Writer>(writer: &mut W, command: &mut Command) -> io::Result<()> {
    while command.has_remaining() {
        // The connection's task waits until more can be written, so no waker is needed here.
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
    async fn run(
        self,
        address: SocketAddr,
        unwritten: UnboundedReceiver<Box<UnwrittenRequest<WriterOf<E>>>>,
    ) {
        if let Ok(Ok(stream)) = self.env.timeout(self.timeouts.connect, self.env.connect(address)).await {
            let (reader, writer) = stream.into_split();
            self.shared.put_writer(writer);
            self.report(HostEvent::Connected(self.id));
            if let Err(error) = self.drive(reader, unwritten).await {
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

    async fn drive(
        &self,
        mut reader: impl AsyncRead + Unpin + Send,
        mut unwritten: UnboundedReceiver<Box<UnwrittenRequest<WriterOf<E>>>>,
    ) -> Result<(), RespError> {
        let mut input = ReadBuffer::new();
        let mut idle_since: Time = self.env.now();
        // A single timer that is extended when it expires is cheaper than a timer per request.
        let mut idle_timer = pin!(self.env.sleep(self.timeouts.idle));
        loop {
            tokio::select! {
                biased;
                // On an idle connection this means that it has closed, or a protocol violation.
                filled = input.fill(&mut reader) => {
                    filled?;
                    self.receive_response(&mut reader, &mut input).await?;
                    idle_since = self.env.now();
                }
                unwritten = unwritten.recv() => {
                    let unwritten = unwritten.ok_or(RespError::Closed)?;
                    self.write_remaining(&mut reader, &mut input, *unwritten).await?;
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

    /// Reads the remainder of a response and reports it.
    async fn receive_response<R>(&self, reader: &mut R, input: &mut ReadBuffer) -> Result<(), RespError>
    where
        R: AsyncRead + Unpin + Send,
    {
        self.ensure_response_expected()?;
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

    /// Checks that a response is expected now.
    fn ensure_response_expected(&self) -> Result<(), RespError> {
        if !self.shared.awaits_response.load(Ordering::Relaxed) {
            return Err(UNEXPECTED_RESPONSE);
        }
        if !self.shared.is_request_written.load(Ordering::Relaxed) {
            return Err(EARLY_RESPONSE);
        }
        Ok(())
    }

    /// Reads the remainder of a response. Hosts write a response in one piece, so a stalled one is invalid. The short
    /// timeout leaves an idempotent request time for another attempt.
    async fn read_response<R>(&self, reader: &mut R, input: &mut ReadBuffer) -> Result<Frame, RespError>
    where
        R: AsyncRead + Unpin + Send,
    {
        loop {
            if let Some(frame) = input.decode()? {
                return Ok(frame);
            }
            let filled = self.env.timeout(PARTIAL_RESPONSE_TIMEOUT, input.fill(reader)).await;
            filled.map_err(|_| RespError::Malformed("answer"))??;
        }
    }

    /// Writes the remainder of a request.
    async fn write_remaining<R>(
        &self,
        reader: &mut R,
        input: &mut ReadBuffer,
        unwritten: UnwrittenRequest<WriterOf<E>>,
    ) -> Result<(), RespError>
    where
        R: AsyncRead + Unpin + Send,
    {
        let UnwrittenRequest { mut writer, mut command } = unwritten;
        tokio::select! {
            biased;
            filled = input.fill(reader) => {
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
