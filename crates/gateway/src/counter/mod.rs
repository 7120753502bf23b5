//! The counter service: calls written one behind another on a few connections, answered in their order.
//! A call that was given up still has its answer coming, which is taken off the line and dropped.

pub(crate) mod log;

use crate::crash_points::{self, CrashPoint};
use crate::messages::{CallId, Counted, CounterEvent, Input};
use crate::telemetry::outage_log::Outage;
use bytes::{Buf, Bytes, BytesMut};
use policy::api::{CounterKey, Outcome, Span, Time};
use resp::{Frame, RespError};
use runtime::{Env, Stream};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

const MS: Span = 1_000_000;
/// Connections at once; another is opened while all have calls out, so that one part of the counter that is
/// slow holds up few calls to the others.
pub(crate) const MAX_LINKS: usize = 4;
/// The counter closes idle connections after about 10 s or less: ours go first.
const IDLE: Span = 2_500 * MS;
/// Calls waiting on one connection; more are not sent.
const MAX_WAITING: usize = 256;

// How far a call is.
const QUEUED: u8 = 0;
/// Its bytes may have left, if only some of them: it may be added.
const WRITTEN: u8 = 1;
const GIVEN_UP: u8 = 2;

struct Job {
    call: CallId,
    stage: Arc<AtomicU8>,
    text: Bytes,
}

impl Job {
    /// Takes it for writing; false: it was given up before.
    fn begin(&self) -> bool {
        self.stage.compare_exchange(QUEUED, WRITTEN, Ordering::Relaxed, Ordering::Relaxed).is_ok()
    }
}

struct PendingAdd {
    name: CounterKey,
    started: Time,
    stage: Arc<AtomicU8>,
}

struct Link {
    id: u64,
    jobs: UnboundedSender<Job>,
    /// Calls without an answer, also those given up: they hold up the next ones all the same.
    waiting: usize,
}

/// The counter as this gateway calls it.
pub(crate) struct Counter<E> {
    env: E,
    address: Option<SocketAddr>,
    gateway: UnboundedSender<Input>,
    patience: Span,
    links: Vec<Link>,
    calls: FxHashMap<CallId, PendingAdd>,
    next: u64,
    /// When it was last heard to say what no counter says.
    nonsense: Outage,
}

impl<E: Env> Counter<E> {
    pub fn new(env: E, address: Option<SocketAddr>, gateway: UnboundedSender<Input>, patience: Span) -> Self {
        let (calls, nonsense) = (FxHashMap::default(), Outage::default());
        Counter {
            env,
            address,
            gateway,
            patience: patience.max(MS),
            links: Vec::new(),
            calls,
            next: 0,
            nonsense,
        }
    }

    /// New calls go to this address. Those on their way finish where they are: a link without a sender ends
    /// once its answers are in.
    pub fn move_to(&mut self, address: Option<SocketAddr>) {
        if self.address != address {
            self.address = address;
            self.links.clear();
        }
    }

    /// Makes a call; `None`: it could not be written anywhere, so nothing was added.
    pub fn call(&mut self, name: CounterKey, amount: f64, keep: Span) -> Option<(CallId, Time)> {
        let started = self.env.now();
        let link = self.link()?;
        let stage = Arc::new(AtomicU8::new(QUEUED));
        let call = self.next;
        self.next += 1;
        let job = Job { call, stage: stage.clone(), text: command(name, amount, keep) };
        let link = self.links.get_mut(link)?;
        link.jobs.send(job).ok()?;
        link.waiting += 1;
        self.calls.insert(call, PendingAdd { name, started, stage });
        Some((call, started + self.patience))
    }

    /// The connection with the fewest calls on it; a new one while all are in use.
    fn link(&mut self) -> Option<usize> {
        self.links.retain(|link| !link.jobs.is_closed());
        let least = (0..self.links.len()).min_by_key(|i| self.links[*i].waiting);
        if let Some(i) = least.filter(|i| self.links[*i].waiting == 0 || self.links.len() >= MAX_LINKS) {
            return Some(i).filter(|i| self.links[*i].waiting < MAX_WAITING);
        }
        let address = self.address?;
        let (jobs, inbox) = mpsc::unbounded_channel();
        let id = self.next;
        self.next += 1;
        let line = Line {
            env: self.env.clone(),
            id,
            gateway: self.gateway.clone(),
            silence: self.patience * 4,
            answers: VecDeque::new(),
            output: BytesMut::new(),
        };
        self.env.spawn(line.run(address, inbox));
        self.links.push(Link { id, jobs, waiting: 0 });
        Some(self.links.len() - 1)
    }

    /// The call has waited long enough.
    pub fn give_up(&mut self, call: CallId) -> Option<Counted> {
        let stage = &self.calls.get(&call)?.stage;
        let written = stage.swap(GIVEN_UP, Ordering::Relaxed) == WRITTEN;
        let outcome = if written { Outcome::Timeout } else { Outcome::ConnectFailed };
        self.end(call, outcome, 0.0)
    }

    /// Whoever made the calls that are out is gone: how they end is no news any more, and what of them is not written
    /// yet never is.
    pub fn disown(&mut self) {
        self.calls.drain().for_each(|(_, call)| call.stage.store(GIVEN_UP, Ordering::Relaxed));
    }

    /// Takes in what a connection tells; calls given up before are no news.
    pub fn on_event(&mut self, event: CounterEvent) -> Option<Counted> {
        match event {
            CounterEvent::Ended { link, call, outcome, total } => {
                if let Some(link) = self.links.iter_mut().find(|l| l.id == link) {
                    link.waiting -= 1;
                }
                self.end(call, outcome, total)
            }
            CounterEvent::Nonsense { address, error } => {
                self.speak_of_nonsense(address, &error);
                None
            }
            CounterEvent::Down(id) => {
                self.links.retain(|link| link.id != id);
                None
            }
        }
    }

    /// It may say nonsense with each answer: a line at first, and ever more rarely while it goes on.
    fn speak_of_nonsense(&mut self, address: SocketAddr, error: &RespError) {
        if self.nonsense.failed(self.env.now()).is_some() {
            tracing::warn!("counter at {address} said what no counter says: {error}");
        }
    }

    fn end(&mut self, id: CallId, outcome: Outcome, total: f64) -> Option<Counted> {
        let call = self.calls.remove(&id)?;
        let took = self.env.now().saturating_sub(call.started);
        let until = call.started + self.patience;
        Some(Counted { call: id, name: call.name, outcome, total, took, until })
    }
}

fn command(name: CounterKey, amount: f64, keep: Span) -> Bytes {
    let (name, amount) = (format!("{:016x}", name.0), format!("{amount:.6}"));
    let keep = (keep / MS).max(1).to_string();
    let mut text = BytesMut::with_capacity(96);
    resp::encode_array_header(&mut text, 4);
    for word in ["ADDGET", &name, &amount, &keep] {
        resp::encode_bulk(&mut text, word.as_bytes());
    }
    text.freeze()
}

/// One connection, with the calls on it whose answers are due, oldest first.
struct Line<E> {
    env: E,
    id: u64,
    gateway: UnboundedSender<Input>,
    /// With a call out, this long without any answer means a dead connection.
    silence: Span,
    answers: VecDeque<CallId>,
    output: BytesMut,
}

impl<E: Env> Line<E> {
    async fn run(mut self, address: SocketAddr, mut jobs: UnboundedReceiver<Job>) {
        let mut error = None;
        if let Ok(Ok(stream)) = self.env.timeout(self.silence, self.env.connect(address)).await {
            error = self.carry(stream, &mut jobs).await.err();
        }
        // Written and unanswered: may have been added. Never written: not added.
        for call in std::mem::take(&mut self.answers) {
            self.tell(call, Outcome::Timeout, 0.0);
        }
        jobs.close();
        while let Ok(job) = jobs.try_recv() {
            self.tell(job.call, Outcome::ConnectFailed, 0.0);
        }
        match error {
            Some(error) if error.is_protocol_violation() => {
                let _ = self.gateway.send(Input::Counter(CounterEvent::Nonsense { address, error }));
            }
            Some(error) => tracing::debug!("counter: {error}"),
            None => {}
        }
        let _ = self.gateway.send(Input::Counter(CounterEvent::Down(self.id)));
    }

    fn tell(&self, call: CallId, outcome: Outcome, total: f64) {
        let ended = CounterEvent::Ended { link: self.id, call, outcome, total };
        let _ = self.gateway.send(Input::Counter(ended));
    }

    async fn carry(&mut self, stream: E::Stream, jobs: &mut UnboundedReceiver<Job>) -> Result<(), RespError> {
        let mut buf = BytesMut::new();
        let mut heard = self.env.now();
        let mut open = true;
        let (mut reader, mut writer) = stream.into_split();
        loop {
            let (waiting, begun) = (!self.answers.is_empty(), !buf.is_empty());
            if !open && !waiting {
                return Ok(());
            }
            let limit = match (begun, waiting) {
                // Answers are short and come in one piece: the rest of a begun one is not to be expected.
                (true, _) => self.silence / 8,
                (false, true) => self.silence,
                (false, false) => IDLE,
            };
            let silent = self.env.sleep_until(heard + limit);
            tokio::select! {
                biased;
                job = jobs.recv(), if open => match job {
                    Some(job) => {
                        if !waiting {
                            heard = self.env.now();
                        }
                        self.write(job, jobs, &mut writer).await?;
                    }
                    None => open = false,
                },
                read = resp::fill(&mut reader, &mut buf) => {
                    read?;
                    let before = self.answers.len();
                    while let Some(frame) = resp::decode(&mut buf)? {
                        self.answered(frame)?;
                    }
                    if self.answers.len() < before || !begun {
                        heard = self.env.now();
                    }
                }
                () = silent => return Ok(()),
            }
        }
    }

    /// Writes this call and all that have come since, in one go.
    async fn write<W: AsyncWrite + Unpin + Send>(
        &mut self,
        first: Job,
        jobs: &mut UnboundedReceiver<Job>,
        writer: &mut W,
    ) -> Result<(), RespError> {
        let mut batch = Vec::new();
        let mut next = Some(first);
        while let Some(job) = next {
            // From here on some of its bytes may leave: given up now, it may have been added.
            if job.begin() {
                self.output.extend_from_slice(&job.text);
                batch.push((self.output.len(), job.call));
            } else {
                self.tell(job.call, Outcome::ConnectFailed, 0.0);
            }
            next = jobs.try_recv().ok();
        }
        let all = self.output.len();
        let wrote = self.env.timeout(self.silence, writer.write_all_buf(&mut self.output)).await;
        crash_points::here(CrashPoint::CallWritten);
        let written = all - self.output.remaining();
        for (end, call) in batch {
            if end <= written {
                self.answers.push_back(call);
            } else {
                self.tell(call, Outcome::ConnectFailed, 0.0);
            }
        }
        wrote.map_err(|_| RespError::Closed)??;
        Ok(())
    }

    fn answered(&mut self, frame: Frame) -> Result<(), RespError> {
        let (outcome, total) = match &frame {
            Frame::Bulk(text) => {
                let total = std::str::from_utf8(text).ok().and_then(|t| t.parse::<f64>().ok());
                let total = total.filter(|t| t.is_finite()).ok_or(RespError::Malformed("total"))?;
                (Outcome::Ok, total)
            }
            // Turned away, or no such call: nothing added. Any other error is noise, and it may have been.
            Frame::Error(text) if matches!(text.split(|b| *b == b' ').next(), Some(b"BUSY" | b"ERR")) => {
                (Outcome::Rejected, 0.0)
            }
            _ => return Err(RespError::Malformed("answer")),
        };
        let call = self.answers.pop_front().ok_or(RespError::Malformed("answer without a call"))?;
        self.tell(call, outcome, total);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
