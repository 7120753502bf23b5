//! One connection to the counter. Calls are pipelined, and replies arrive in the order of the calls.

use crate::crash_points::{self, CrashPoint};
use crate::messages::{CallId, CounterEvent, TrafficEvent};
use bytes::{Buf, Bytes, BytesMut};
use policy::api::{CounterKey, Outcome, Span};
use resp::{Frame, ReadBuffer, RespError};
use runtime::{Env, Stream};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

const MS: Span = 1_000_000;
/// The counter closes idle connections after at most about 10 s; the gateway closes them earlier.
const IDLE_TIMEOUT: Span = 2_500 * MS;
/// Fraction of the reply timeout within which an incomplete reply has to be completed: replies are short and arrive in
/// one piece.
const PARTIAL_REPLY_DIVISOR: Span = 8;

/// The progress of a call, shared by the gateway's event loop and the task of the connection.
#[derive(Clone, Debug)]
pub(crate) struct CallProgress(Arc<AtomicU8>);

impl CallProgress {
    const QUEUED: u8 = 0;
    /// Some of the bytes may have been sent, so the counter may add the amount.
    const WRITTEN: u8 = 1;
    const ABANDONED: u8 = 2;

    /// Creates the progress of a queued call.
    pub fn new() -> CallProgress {
        CallProgress(Arc::new(AtomicU8::new(CallProgress::QUEUED)))
    }

    /// Marks the call as written. Returns false if it was abandoned before.
    fn start_writing(&self) -> bool {
        let exchanged = self.0.compare_exchange(
            CallProgress::QUEUED,
            CallProgress::WRITTEN,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        exchanged.is_ok()
    }

    /// Abandons the call, which is not written after this. Returns whether it may have been written before.
    pub fn abandon(&self) -> bool {
        self.0.swap(CallProgress::ABANDONED, Ordering::Relaxed) == CallProgress::WRITTEN
    }
}

/// A call queued for the task of the connection.
pub(crate) struct QueuedCall {
    pub call: CallId,
    pub progress: CallProgress,
    pub command: Bytes,
}

/// Returns the command that adds an amount to the counter of a key.
pub(crate) fn add_command(key: CounterKey, amount: f64, time_to_live: Span) -> Bytes {
    let key = format!("{:016x}", key.0);
    let amount = format!("{amount:.6}");
    let time_to_live_ms = (time_to_live / MS).max(1).to_string();
    let mut command = BytesMut::with_capacity(96);
    resp::encode_array_header(&mut command, 4);
    for word in ["ADDGET", &key, &amount, &time_to_live_ms] {
        resp::encode_bulk(&mut command, word.as_bytes());
    }
    command.freeze()
}

/// The task of one connection.
pub(crate) struct ConnectionTask<E> {
    env: E,
    id: u64,
    gateway: UnboundedSender<TrafficEvent>,
    /// A connection with a call in flight that brings no reply for this long is considered dead.
    reply_timeout: Span,
    /// Written calls without a reply, the oldest first.
    in_flight: VecDeque<CallId>,
    output: BytesMut,
}

impl<E: Env> ConnectionTask<E> {
    /// Creates the task of a connection that has not been opened yet.
    pub fn new(env: E, id: u64, gateway: UnboundedSender<TrafficEvent>, reply_timeout: Span) -> Self {
        let in_flight = VecDeque::new();
        ConnectionTask { env, id, gateway, reply_timeout, in_flight, output: BytesMut::new() }
    }

    /// Connects and processes calls until the connection fails, is idle for too long, or the sender of calls is
    /// dropped.
    pub async fn run(mut self, address: SocketAddr, mut calls: UnboundedReceiver<QueuedCall>) {
        let mut error = None;
        if let Ok(Ok(stream)) = self.env.timeout(self.reply_timeout, self.env.connect(address)).await {
            error = self.drive(stream, &mut calls).await.err();
        }
        // The amount of a written call without a reply may have been added; that of a call never written has not.
        for call in std::mem::take(&mut self.in_flight) {
            self.report(call, Outcome::Timeout, 0.0);
        }
        calls.close();
        while let Ok(queued) = calls.try_recv() {
            self.report(queued.call, Outcome::ConnectFailed, 0.0);
        }
        match error {
            Some(error) if error.is_protocol_violation() => {
                self.send(CounterEvent::ProtocolViolation { address, error });
            }
            Some(error) => tracing::debug!(%address, %error, "counter connection failed"),
            None => {}
        }
        self.send(CounterEvent::Closed(self.id));
    }

    fn send(&self, event: CounterEvent) {
        let _ = self.gateway.send(TrafficEvent::Counter(event));
    }

    fn report(&self, call: CallId, outcome: Outcome, total: f64) {
        self.send(CounterEvent::CallEnded { connection: self.id, call, outcome, total });
    }

    async fn drive(
        &mut self,
        stream: E::Stream,
        calls: &mut UnboundedReceiver<QueuedCall>,
    ) -> Result<(), RespError> {
        let mut input = ReadBuffer::new();
        let mut last_alive = self.env.now();
        let mut accepts_calls = true;
        let (mut reader, mut writer) = stream.into_split();
        loop {
            let awaits_reply = !self.in_flight.is_empty();
            let has_partial_reply = !input.is_empty();
            if !accepts_calls && !awaits_reply {
                return Ok(());
            }
            let inactive_at = last_alive + self.inactivity_timeout(&input);
            let inactive = self.env.sleep_until(inactive_at);
            tokio::select! {
                biased;
                queued = calls.recv(), if accepts_calls => match queued {
                    Some(queued) => {
                        if !awaits_reply {
                            last_alive = self.env.now();
                        }
                        self.write(queued, calls, &mut writer).await?;
                    }
                    None => accepts_calls = false,
                },
                read = input.fill(&mut reader) => {
                    read?;
                    if self.process_replies(&mut input)? || !has_partial_reply {
                        last_alive = self.env.now();
                    }
                }
                () = inactive => return Ok(()),
            }
        }
    }

    fn inactivity_timeout(&self, input: &ReadBuffer) -> Span {
        if !input.is_empty() {
            self.reply_timeout / PARTIAL_REPLY_DIVISOR
        } else if !self.in_flight.is_empty() {
            self.reply_timeout
        } else {
            IDLE_TIMEOUT
        }
    }

    /// Writes a call together with all that have been queued since.
    async fn write<W: AsyncWrite + Unpin + Send>(
        &mut self,
        first: QueuedCall,
        calls: &mut UnboundedReceiver<QueuedCall>,
        writer: &mut W,
    ) -> Result<(), RespError> {
        let mut batch = Vec::new();
        let mut next = Some(first);
        while let Some(queued) = next {
            // From here on some of the bytes may be sent, so the amount of a call abandoned later may have been added.
            if queued.progress.start_writing() {
                self.output.extend_from_slice(&queued.command);
                batch.push((self.output.len(), queued.call));
            } else {
                self.report(queued.call, Outcome::ConnectFailed, 0.0);
            }
            next = calls.try_recv().ok();
        }
        let length = self.output.len();
        let result = self.env.timeout(self.reply_timeout, writer.write_all_buf(&mut self.output)).await;
        crash_points::crash_if_armed(CrashPoint::CallWritten);
        let written = length - self.output.remaining();
        for (end, call) in batch {
            if end <= written {
                self.in_flight.push_back(call);
            } else {
                self.report(call, Outcome::ConnectFailed, 0.0);
            }
        }
        result.map_err(|_| RespError::Closed)??;
        Ok(())
    }

    /// Processes all complete replies in the input. Returns whether there were any.
    fn process_replies(&mut self, input: &mut ReadBuffer) -> Result<bool, RespError> {
        let before = self.in_flight.len();
        while let Some(frame) = input.decode()? {
            self.on_reply(&frame)?;
        }
        Ok(self.in_flight.len() < before)
    }

    fn on_reply(&mut self, frame: &Frame) -> Result<(), RespError> {
        let (outcome, total) = match frame {
            Frame::Bulk(text) => (Outcome::Ok, parse_total(text)?),
            // Overloaded, or an unknown command: nothing was added. After any other error the amount may have been
            // added.
            Frame::Error(text) if matches!(text.split(|b| *b == b' ').next(), Some(b"BUSY" | b"ERR")) => {
                (Outcome::Rejected, 0.0)
            }
            _ => return Err(RespError::Malformed("answer")),
        };
        let call = self.in_flight.pop_front().ok_or(RespError::Malformed("answer without a call"))?;
        self.report(call, outcome, total);
        Ok(())
    }
}

fn parse_total(text: &[u8]) -> Result<f64, RespError> {
    let total = std::str::from_utf8(text).ok().and_then(|text| text.parse::<f64>().ok());
    total.filter(|total| total.is_finite()).ok_or(RespError::Malformed("total"))
}
