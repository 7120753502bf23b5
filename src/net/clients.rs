//! Clients: the listener and their connections. Commands are read as they come, answers leave in the order
//! of the commands. What becomes of a call is the gateway's business.

use super::call::{self, Call};
use super::clock::Clock;
use super::gateway::Input;
use super::resp::{self, Frame, RespError};
use bytes::{Buf, Bytes, BytesMut};
use bytes_utils::SegmentedBuf;
use fennelbeam::api::{Request, RequestId, Span, Time};
use fennelbeam::wire::Site;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{watch, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Commands of one connection that may wait for their answers; then reading stops.
const MAX_PIPELINE: usize = 16;
/// Commands in hand on all connections together. Each may hold a body and a value of the greatest length, so
/// this bounds the memory that clients slow to read can make us hold; far above what a day's peak needs.
pub const MAX_IN_HAND: usize = 512;
/// A client that takes nothing of its answers for this long has gone.
const STALLED: Duration = Duration::from_secs(3);
const LINGER: Duration = Duration::from_millis(500);
const BACKLOG: u32 = 1024;

/// The one final answer of a request.
#[derive(Debug)]
pub enum Answer {
    Served(Bytes),
    Busy(Option<Span>),
    Failed,
}

/// Where the answer of one request goes.
#[derive(Debug)]
pub struct ReplyTo {
    slot: u64,
    answers: UnboundedSender<(u64, Answer)>,
}

impl ReplyTo {
    /// Gives the answer; a connection that has ended takes none.
    pub fn answer(self, answer: Answer) {
        let _ = self.answers.send((self.slot, answer));
    }
}

/// A request as it came in.
#[derive(Debug)]
pub struct Incoming {
    pub at: Time,
    pub request: Request,
    pub call: Call,
    pub reply: ReplyTo,
}

/// How far the gateway is with starting and stopping.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    #[default]
    Starting,
    Ready,
    /// Connections close when they are between requests.
    Closing,
}

/// What all connections share.
#[derive(Clone)]
pub struct Context {
    pub site: Arc<Site>,
    pub clock: Clock,
    pub gateway: UnboundedSender<Input>,
    pub phase: watch::Receiver<Phase>,
    pub ids: Arc<AtomicU64>,
    /// Asks the connection that has been idle longest to make room.
    pub crowded: Arc<Notify>,
    /// A permit for each command in hand.
    pub room: Arc<Semaphore>,
}

/// Listens on the given address only.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts until it is dropped. With `most` connections open, an idle one makes room for the next: what waits
/// in the backlog may have sent a request, which would be lost there.
pub async fn accept(listener: TcpListener, most: usize, context: Context) {
    let permits = Arc::new(Semaphore::new(most));
    loop {
        if permits.available_permits() == 0 {
            context.crowded.notify_one();
        }
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve(stream, context.clone(), permit))),
            Err(error) => {
                // Out of descriptors, say: neither give up nor spin.
                tracing::warn!("accept: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

enum Slot {
    Waiting(RequestId),
    Ready(Reply),
}

enum Reply {
    Text(Bytes),
    Value(Bytes),
}

impl Reply {
    fn error(text: impl std::fmt::Display) -> Reply {
        Reply::Text(format!("-ERR {text}\r\n").into())
    }
}

impl From<Answer> for Reply {
    fn from(answer: Answer) -> Reply {
        match answer {
            Answer::Served(value) => Reply::Value(value),
            Answer::Busy(None) => Reply::Text(Bytes::from_static(b"-BUSY\r\n")),
            Answer::Busy(Some(after)) => {
                Reply::Text(format!("-BUSY {}\r\n", after.div_ceil(1_000_000)).into())
            }
            Answer::Failed => Reply::Text(Bytes::from_static(b"-ERR failed\r\n")),
        }
    }
}

/// Why a connection ends from our side.
enum End {
    /// All is answered, the last of it perhaps just now.
    Answered,
    /// It was idle, and another is to have its place at once.
    MadeRoom,
}

struct Connection {
    context: Context,
    input: BytesMut,
    output: SegmentedBuf<Bytes>,
    slots: VecDeque<Slot>,
    first_slot: u64,
    answers: UnboundedSender<(u64, Answer)>,
    /// Nothing more is read: the client has sent what cannot be followed.
    broken: bool,
    /// Permits for the commands whose answers have not left yet.
    room: Option<OwnedSemaphorePermit>,
    /// No permit was to be had for the next command.
    starved: bool,
}

async fn serve(mut stream: TcpStream, context: Context, _permit: OwnedSemaphorePermit) {
    let _ = stream.set_nodelay(true);
    let (answers, inbox) = mpsc::unbounded_channel();
    let mut connection = Connection {
        context,
        input: BytesMut::new(),
        output: SegmentedBuf::new(),
        slots: VecDeque::new(),
        first_slot: 0,
        answers,
        broken: false,
        room: None,
        starved: false,
    };
    let ended = connection.run(&mut stream, inbox).await;
    connection.leave();
    if matches!(ended, Ok(End::Answered)) {
        linger(stream).await;
    }
}

/// Ends sending and waits for the client's end, so that the last answer is not lost to a reset.
async fn linger(mut stream: TcpStream) {
    let mut scrap = [0; 1024];
    let rest = async {
        stream.shutdown().await?;
        while stream.read(&mut scrap).await? > 0 {}
        io::Result::Ok(())
    };
    let _ = timeout(LINGER, rest).await;
}

impl Connection {
    /// Until the client goes (an error), or the connection is to close with all answered.
    async fn run(
        &mut self,
        stream: &mut TcpStream,
        mut inbox: UnboundedReceiver<(u64, Answer)>,
    ) -> Result<End, RespError> {
        let (mut phase, crowded) = (self.context.phase.clone(), self.context.crowded.clone());
        let room = self.context.room.clone();
        let (mut reader, mut writer) = stream.split();
        loop {
            self.flush_ready();
            let writing = self.output.has_remaining();
            // A command that has come in part is a request that has begun.
            let idle = self.slots.is_empty() && !writing && self.input.is_empty();
            let closing = self.broken || *phase.borrow_and_update() == Phase::Closing;
            if closing && idle {
                return Ok(End::Answered);
            }
            // A client that is slow to read its answers is not read from either.
            let reading = !self.broken && !writing && !self.starved && self.slots.len() < MAX_PIPELINE;
            tokio::select! {
                biased;
                Some((slot, answer)) = inbox.recv() => {
                    self.settle(slot, answer);
                    while let Ok((slot, answer)) = inbox.try_recv() {
                        self.settle(slot, answer);
                    }
                }
                wrote = timeout(STALLED, writer.write_buf(&mut self.output)), if writing => {
                    wrote.map_err(|_| RespError::Closed)??;
                }
                read = resp::fill(&mut reader, &mut self.input), if reading => {
                    read?;
                    self.take_commands();
                }
                permit = room.clone().acquire_owned(), if self.starved => {
                    self.keep(permit.map_err(|_| RespError::Closed)?);
                    self.take_commands();
                }
                () = crowded.notified(), if idle => return Ok(End::MadeRoom),
                changed = phase.changed(), if !closing => changed.map_err(|_| RespError::Closed)?,
            }
        }
    }

    fn settle(&mut self, slot: u64, answer: Answer) {
        let index = slot.checked_sub(self.first_slot).and_then(|i| usize::try_from(i).ok());
        if let Some(slot) = index.and_then(|i| self.slots.get_mut(i)) {
            *slot = Slot::Ready(answer.into());
        }
    }

    /// Moves answers to the output, as far as the order of the commands allows.
    fn flush_ready(&mut self) {
        while let Some(Slot::Ready(_)) = self.slots.front() {
            let Some(Slot::Ready(reply)) = self.slots.pop_front() else { return };
            self.first_slot += 1;
            match reply {
                Reply::Text(text) => self.output.push(text),
                Reply::Value(value) => {
                    let mut header = BytesMut::with_capacity(16);
                    resp::put_header(&mut header, b'$', value.len());
                    self.output.push(header.freeze());
                    self.output.push(value);
                    self.output.push(Bytes::from_static(b"\r\n"));
                }
            }
        }
        if !self.output.has_remaining() {
            self.give_back();
        }
        if !self.starved {
            self.take_commands();
        }
    }

    /// Permits beyond those of commands that still wait go back once their answers have left.
    fn give_back(&mut self) {
        if let Some(room) = &mut self.room {
            drop(room.split(room.num_permits().saturating_sub(self.slots.len())));
        }
    }

    fn keep(&mut self, permit: OwnedSemaphorePermit) {
        self.starved = false;
        match &mut self.room {
            Some(room) => room.merge(permit),
            none => *none = Some(permit),
        }
    }

    /// Whether there is room for one more command.
    fn reserve(&mut self) -> bool {
        if self.room.as_ref().is_some_and(|room| room.num_permits() > self.slots.len()) {
            return true;
        }
        match self.context.room.clone().try_acquire_owned() {
            Ok(permit) => self.keep(permit),
            Err(_) => self.starved = true,
        }
        !self.starved
    }

    fn take_commands(&mut self) {
        while !self.broken && self.slots.len() < MAX_PIPELINE && !self.input.is_empty() && self.reserve() {
            match resp::decode(&mut self.input) {
                Ok(None) => return,
                Ok(Some(Frame::Array(words))) if !words.is_empty() => self.take_command(&words),
                Ok(Some(_)) => self.refuse_protocol("commands are arrays of bulk strings"),
                Err(error) => self.refuse_protocol(error),
            }
        }
    }

    /// The stream cannot be followed any more: says so, answers what came before, then closes.
    fn refuse_protocol(&mut self, error: impl std::fmt::Display) {
        self.slots.push_back(Slot::Ready(Reply::error(format_args!("protocol error: {error}"))));
        self.broken = true;
        self.input.clear();
    }

    fn take_command(&mut self, words: &[Frame]) {
        let slot = match words {
            [Frame::Bulk(name)] if name.eq_ignore_ascii_case(b"PING") => Slot::Ready(self.ping()),
            _ => self.take_call(words),
        };
        self.slots.push_back(slot);
    }

    fn ping(&self) -> Reply {
        match *self.context.phase.borrow() {
            Phase::Starting => Reply::error("starting"),
            Phase::Ready => Reply::Text(Bytes::from_static(b"+PONG\r\n")),
            Phase::Closing => Reply::error("stopping"),
        }
    }

    fn take_call(&mut self, words: &[Frame]) -> Slot {
        let id = RequestId(self.context.ids.fetch_add(1, Ordering::Relaxed));
        let (request, call) = match call::parse(&self.context.site, id, words) {
            Ok(call) => call,
            Err(error) => return Slot::Ready(Reply::error(error)),
        };
        let slot = self.first_slot + self.slots.len() as u64;
        let reply = ReplyTo { slot, answers: self.answers.clone() };
        let incoming = Incoming { at: self.context.clock.now(), request, call, reply };
        match self.context.gateway.send(Input::Request(Box::new(incoming))) {
            Ok(()) => Slot::Waiting(id),
            Err(_) => Slot::Ready(Reply::error("stopping")),
        }
    }

    /// The client has gone: whatever still waits has nobody to answer to.
    fn leave(&mut self) {
        for slot in self.slots.drain(..) {
            if let Slot::Waiting(id) = slot {
                let _ = self.context.gateway.send(Input::Left(id));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn context(room: usize, phase: watch::Receiver<Phase>) -> (Context, UnboundedReceiver<Input>) {
        let settings = json!({
            "services": [{"name": "read", "semantics": "safe", "hard-limit": 1_000_000_000u64}],
            "balancers": 1,
            "tariffs": [{"name": "team"}],
        });
        let (gateway, inbox) = mpsc::unbounded_channel();
        let context = Context {
            site: Arc::new(Site::parse(&settings).unwrap()),
            clock: Clock::start(),
            gateway,
            phase,
            ids: Arc::default(),
            crowded: Arc::default(),
            room: Arc::new(Semaphore::new(room)),
        };
        (context, inbox)
    }

    async fn request(inbox: &mut UnboundedReceiver<Input>) -> Incoming {
        match timeout(Duration::from_secs(20), inbox.recv()).await.unwrap() {
            Some(Input::Request(incoming)) => *incoming,
            other => panic!("{other:?}"),
        }
    }

    #[tokio::test]
    async fn commands_in_hand_are_bounded_over_all_connections() {
        let (_phase, phases) = watch::channel(Phase::Ready);
        let (context, mut inbox) = context(2, phases);
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(accept(listener, 8, context));
        let mut call = BytesMut::new();
        resp::put_header(&mut call, b'*', 4);
        for word in [
            "CALL.GET",
            "0000000000000001",
            "0000000000000002",
            "c=read,t=team,d=900,units=1,spread=1,first=0",
        ] {
            resp::put_bulk(&mut call, word.as_bytes());
        }
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(&call.repeat(2)).await.unwrap();
        let (first, second) = (request(&mut inbox).await, request(&mut inbox).await);
        let mut other = TcpStream::connect(address).await.unwrap();
        other.write_all(&call).await.unwrap();
        let early = timeout(Duration::from_millis(300), inbox.recv()).await;
        assert!(early.is_err(), "a third was taken: {early:?}");
        first.reply.answer(Answer::Failed);
        request(&mut inbox).await.reply.answer(Answer::Busy(None));
        second.reply.answer(Answer::Failed);
        let mut answers = [0; 26];
        client.read_exact(&mut answers).await.unwrap();
        assert_eq!(&answers, b"-ERR failed\r\n-ERR failed\r\n");
        let mut answer = [0; 7];
        other.read_exact(&mut answer).await.unwrap();
        assert_eq!(&answer, b"-BUSY\r\n");
    }
}
