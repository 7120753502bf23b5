//! One connection to a gateway, with one request on it at a time.

use super::call;
use super::front::Front;
use crate::Recorder;
use bytes::{Bytes, BytesMut};
use cluster_model::observation::{ClientOutcome, ObservationKind};
use cluster_model::MS;
use resp::{Frame, RespError};
use runtime::{Env, Span, Time};
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::sync::oneshot;

/// A gateway that ends a connection cleanly within this after a request was written had not read it: its end
/// and the request have crossed on the way. Later, it has read the request and owes an answer.
const CROSSING: Span = 250 * MS;

/// How long a client stays after the last byte of its request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stay {
    /// It leaves without an answer.
    pub leave: Option<Span>,
    /// It has waited in vain.
    pub nothing: Span,
}

/// A request to carry.
pub(super) struct Job {
    pub id: u64,
    pub command: Bytes,
    /// What to write down at its last byte.
    pub asked: ObservationKind,
    /// When it was written first, if this is not the first time.
    pub since: Option<Time>,
    pub stay: Stay,
    /// The last byte has to be written by then.
    pub write_by: Time,
    pub reply: oneshot::Sender<Carried>,
}

/// What has become of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Carried {
    /// It could not be written whole.
    Unsent,
    /// It was written at that time, and crossed with the end of the connection.
    Crossed(Time),
    /// It has ended so, which has been written down.
    Ended(ClientOutcome),
    /// The client has left, which has been written down.
    Left,
}

/// An open connection.
pub(super) struct Line<E: Env> {
    env: E,
    stream: E::Stream,
    input: BytesMut,
    gateway: u32,
    front: Arc<Front<E>>,
    recorder: Recorder,
    /// It has carried a request before.
    used: bool,
}

impl<E: Env> Line<E> {
    pub(super) fn new(front: Arc<Front<E>>, gateway: u32, stream: E::Stream) -> Line<E> {
        let (env, recorder) = (front.env.clone(), front.recorder.clone());
        Line { env, stream, input: BytesMut::new(), gateway, front, recorder, used: false }
    }

    /// Carries this request, and others for as long as the connection lasts.
    pub(super) async fn run(mut self, mut job: Job) {
        loop {
            let (carried, lasts) = self.exchange(&job).await;
            // Ready for the next request, or closed, before anybody hears of the end of this one.
            let next = if lasts { self.front.park(self.gateway) } else { None };
            let Some(next) = next else {
                drop(self);
                let _ = job.reply.send(carried);
                return;
            };
            let _ = job.reply.send(carried);
            self.used = true;
            let Some(found) = self.idle(next).await else { return };
            job = found;
        }
    }

    /// Waits for the next request. A job that meets the end of the connection is dropped, which tells that not
    /// a byte of it was written.
    async fn idle(&mut self, mut next: oneshot::Receiver<Job>) -> Option<Job> {
        tokio::select! {
            biased;
            read = resp::fill(&mut self.stream, &mut self.input) => {
                if read.is_ok() {
                    self.see(ObservationKind::UnexpectedResponse { gateway: self.gateway });
                }
            }
            job = &mut next => return job.ok(),
        }
        drop(next);
        self.front.sweep(self.gateway);
        None
    }

    fn see(&self, what: ObservationKind) {
        self.recorder.see(self.env.now(), what);
    }

    /// Carries one request; also whether the connection can be used again.
    async fn exchange(&mut self, job: &Job) -> (Carried, bool) {
        let written = self.env.timeout_at(job.write_by, self.stream.write_all(&job.command)).await;
        if !matches!(written, Ok(Ok(()))) {
            return (Carried::Unsent, false);
        }
        let now = self.env.now();
        // Also where the command crossed the end of another connection: another gateway owes the answer now.
        self.recorder.see(now, job.asked.clone());
        let since = job.since.unwrap_or(now);
        let stay = job.stay.leave.unwrap_or(job.stay.nothing);
        let until = since.saturating_add(stay);
        let answer = self.env.timeout_at(until, answer(&mut self.stream, &mut self.input)).await;
        match answer {
            Ok(Err(RespError::Closed)) if self.has_crossed(now) => (Carried::Crossed(since), false),
            Ok(answer) => self.ended(job.id, answer),
            Err(_) if job.stay.leave.is_some() => {
                self.see(ObservationKind::ClientDisconnected { request: job.id });
                (Carried::Left, false)
            }
            Err(_) => (self.answered(job.id, ClientOutcome::NoResponse), false),
        }
    }

    /// Whether the connection's end, seen now, is older than the arrival of what was written at `written`.
    fn has_crossed(&self, written: Time) -> bool {
        self.used && self.input.is_empty() && self.env.now() < written.saturating_add(CROSSING)
    }

    fn ended(&self, id: u64, answer: Result<Frame, RespError>) -> (Carried, bool) {
        let (got, readable) = match answer {
            Ok(frame) => (call::read(&frame, id), true),
            Err(RespError::Closed | RespError::Io(_)) => (ClientOutcome::ConnectionClosed, false),
            Err(RespError::Malformed(_) | RespError::TooLong(_)) => (ClientOutcome::Failed, false),
        };
        let carried = self.answered(id, got);
        if readable && !self.input.is_empty() {
            self.see(ObservationKind::UnexpectedResponse { gateway: self.gateway });
        }
        (carried, readable && self.input.is_empty())
    }

    fn answered(&self, request: u64, got: ClientOutcome) -> Carried {
        self.see(ObservationKind::RequestEnded { request, gateway: self.gateway, outcome: got });
        Carried::Ended(got)
    }
}

/// The next whole answer.
pub(super) async fn answer<S>(stream: &mut S, input: &mut BytesMut) -> Result<Frame, RespError>
where
    S: tokio::io::AsyncRead + Unpin,
{
    loop {
        if let Some(frame) = resp::decode(input)? {
            return Ok(frame);
        }
        resp::fill(stream, input).await?;
    }
}
