//! One connection to a host. The gateway writes a request itself, since on an idle connection all of it goes at once;
//! a task reads what comes, and writes the rest where it does not.

use crate::crash_points::{self, CrashPoint};
use crate::messages::{ConnId, HostEvent, Input};
use bytes::{Buf, Bytes, BytesMut};
use resp::{Frame, RespError};
use runtime::{Env, Sleep, Span, Stream, Time, Writer};
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
/// A begun answer that has got no further for this long is spoilt.
const STUCK: Span = 200 * MS;

/// An idle host says nothing.
const UNASKED: RespError = RespError::Malformed("answer without a request");
/// A host begins a command at its last byte: what it says before is no answer to it. Nor may the rest of a request that
/// it has turned away reach it after all.
const EARLY: RespError = RespError::Malformed("answer before the end of its request");

/// A request as it is written: its bytes, and a body that is not copied.
pub(crate) type Text = bytes::buf::Chain<bytes::buf::Chain<BytesMut, Bytes>, Bytes>;
type WriterOf<E> = <<E as Env>::Stream as Stream>::Writer;

/// What a connection's two sides share.
struct Shared<W> {
    /// The last byte of the request on it has been written.
    sent: AtomicBool,
    /// A request is on it: what comes is its answer.
    asked: AtomicBool,
    /// The sending half, while the gateway does not have it: since the connection is up, or since the rest of a
    /// request has gone.
    writer: Mutex<Option<W>>,
}

impl<W> Shared<W> {
    fn put(&self, writer: W) {
        *self.writer.lock().unwrap_or_else(PoisonError::into_inner) = Some(writer);
    }

    fn take(&self) -> Option<W> {
        self.writer.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// The gateway's side of a connection.
pub(crate) struct Line<E: Env> {
    shared: Arc<Shared<WriterOf<E>>>,
    writer: Option<WriterOf<E>>,
    rests: UnboundedSender<(WriterOf<E>, Text)>,
}

/// Times that a connection keeps to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// It is up by then, or never.
    pub dial: Span,
    /// It stands idle for so long at the most.
    pub idle: Span,
}

/// A connection to a host, and the task that carries it.
pub(crate) fn open<E: Env>(
    env: &E,
    id: ConnId,
    to: SocketAddr,
    limits: Limits,
    gateway: UnboundedSender<Input>,
) -> (Line<E>, E::Task) {
    let (rests, inbox) = mpsc::unbounded_channel();
    let (sent, asked) = (AtomicBool::new(false), AtomicBool::new(false));
    let shared = Arc::new(Shared { sent, asked, writer: Mutex::new(None) });
    let carrier = Carrier { env: env.clone(), id, limits, shared: shared.clone(), gateway };
    let task = env.spawn(carrier.run(to, inbox));
    (Line { shared, writer: None, rests }, task)
}

/// Why a connection did not take a request, of which nothing has gone whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unusable {
    /// It has ended, or something lies there unread, which would pass for the answer.
    Dead,
    /// It takes no byte now: its host answered before it had read the last request. When one would go out, and
    /// whether anybody wanted it by then, nobody could say.
    Full,
}

impl<E: Env> Line<E> {
    /// Whether the last byte of the request on it has been written.
    pub fn is_sent(&self) -> bool {
        self.shared.sent.load(Ordering::Relaxed)
    }

    /// Writes a request. Its first byte has gone when this returns, or none ever goes.
    pub fn write(&mut self, mut text: Text) -> Result<(), Unusable> {
        // While the rest of the last request still waits, its task has the writer.
        let mut writer = self.writer.take().or_else(|| self.shared.take()).ok_or(Unusable::Full)?;
        if self.rests.is_closed() || !writer.has_no_unread_input() {
            return Err(Unusable::Dead);
        }
        self.shared.sent.store(false, Ordering::Relaxed);
        self.shared.asked.store(true, Ordering::Relaxed);
        let length = text.remaining();
        match write_now(&mut writer, &mut text) {
            Ok(()) if text.has_remaining() && text.remaining() == length => Err(Unusable::Full),
            Ok(()) if text.has_remaining() => self.rests.send((writer, text)).map_err(|_| Unusable::Dead),
            Ok(()) => {
                crash_points::here(CrashPoint::AttemptWritten);
                self.shared.sent.store(true, Ordering::Relaxed);
                self.writer = Some(writer);
                Ok(())
            }
            Err(_) => Err(Unusable::Dead),
        }
    }
}

/// Writes what goes at once.
fn write_now<W: Writer>(writer: &mut W, text: &mut Text) -> io::Result<()> {
    while text.has_remaining() {
        // Whoever has to wait for room is the connection's own task: nobody need be woken here.
        let write = pin!(unconstrained(writer.write_buf(text)));
        match std::future::Future::poll(write, &mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(1..)) => {}
            Poll::Ready(Ok(_)) => return Err(io::ErrorKind::WriteZero.into()),
            Poll::Ready(Err(error)) => return Err(error),
            Poll::Pending => return Ok(()),
        }
    }
    Ok(())
}

/// The task's side.
struct Carrier<E: Env> {
    env: E,
    id: ConnId,
    limits: Limits,
    shared: Arc<Shared<WriterOf<E>>>,
    gateway: UnboundedSender<Input>,
}

impl<E: Env> Carrier<E> {
    async fn run(self, to: SocketAddr, rests: UnboundedReceiver<(WriterOf<E>, Text)>) {
        if let Ok(Ok(stream)) = self.env.timeout(self.limits.dial, self.env.connect(to)).await {
            let (reader, writer) = stream.into_split();
            self.shared.put(writer);
            self.tell(HostEvent::Up(self.id));
            if let Err(error) = self.carry(reader, rests).await {
                if error.is_protocol_violation() {
                    self.tell(HostEvent::Nonsense { id: self.id, error });
                }
            }
        }
        self.tell(HostEvent::Down(self.id));
    }

    fn tell(&self, event: HostEvent) {
        let _ = self.gateway.send(Input::Host(event));
    }

    async fn carry(
        &self,
        mut reader: impl AsyncRead + Unpin + Send,
        mut rests: UnboundedReceiver<(WriterOf<E>, Text)>,
    ) -> Result<(), RespError> {
        let mut buf = BytesMut::new();
        let mut idle_since: Time = self.env.now();
        // One timer that is looked at when it falls due costs less than one for each request.
        let mut idle = pin!(self.env.sleep(self.limits.idle));
        loop {
            tokio::select! {
                biased;
                // An idle host says nothing: this is its end, or nonsense.
                filled = resp::fill(&mut reader, &mut buf) => {
                    filled?;
                    self.expects_answer()?;
                    let frame = self.answer(&mut reader, &mut buf).await?;
                    crash_points::here(CrashPoint::AnswerRead);
                    let clean = buf.is_empty();
                    self.shared.asked.store(false, Ordering::Relaxed);
                    idle_since = self.env.now();
                    self.tell(HostEvent::Answered { id: self.id, frame, clean });
                    if !clean {
                        return Err(RespError::Malformed("answer"));
                    }
                }
                rest = rests.recv() => {
                    let (mut writer, mut text) = rest.ok_or(RespError::Closed)?;
                    tokio::select! {
                        biased;
                        filled = resp::fill(&mut reader, &mut buf) => {
                            filled?;
                            return Err(EARLY);
                        }
                        wrote = writer.write_all_buf(&mut text) => wrote?,
                    }
                    crash_points::here(CrashPoint::AttemptWritten);
                    self.shared.sent.store(true, Ordering::Relaxed);
                    self.shared.put(writer);
                }
                () = idle.as_mut() => {
                    let is_asked = self.shared.asked.load(Ordering::Relaxed);
                    let since = if is_asked { self.env.now() } else { idle_since };
                    let until = since.saturating_add(self.limits.idle);
                    if until <= self.env.now() {
                        return Ok(());
                    }
                    idle.as_mut().reset(until);
                }
            }
        }
    }

    /// Whether what comes now can be an answer.
    fn expects_answer(&self) -> Result<(), RespError> {
        if !self.shared.asked.load(Ordering::Relaxed) {
            return Err(UNASKED);
        }
        self.shared.sent.load(Ordering::Relaxed).then_some(()).ok_or(EARLY)
    }

    /// Reads an answer that has begun. Hosts write one in one go: one that does not get on is spoilt, and a safe
    /// request still has the time for another attempt.
    async fn answer<R>(&self, from: &mut R, buf: &mut BytesMut) -> Result<Frame, RespError>
    where
        R: AsyncRead + Unpin + Send,
    {
        loop {
            if let Some(frame) = resp::decode(buf)? {
                return Ok(frame);
            }
            let more = self.env.timeout(STUCK, resp::fill(from, buf)).await;
            more.map_err(|_| RespError::Malformed("answer"))??;
        }
    }
}

#[cfg(test)]
mod tests;
