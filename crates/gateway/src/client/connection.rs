//! Clients: the listener and their connections. Commands are read as they come, answers leave in the order
//! of the commands. What becomes of a call is the gateway's business.

use crate::client::call;
use crate::config::memory_budget::Budget;
use crate::crash_points::{self, CrashPoint};
use crate::messages::{Answer, Incoming, Input, Phase, ReplyTo};
use crate::telemetry::outage_log::Outage;
use bytes::{Buf, Bytes, BytesMut};
use bytes_utils::SegmentedBuf;
use platform_settings::PlatformSettings;
use policy::api::{RequestId, Span, Time};
use resp::{Frame, RespError};
use runtime::{Env, Listener, Stream, Writer};
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::Poll;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{watch, Notify, OwnedSemaphorePermit, Semaphore};

const MS: Span = 1_000_000;
/// Commands of one connection that may wait for their answers. Those behind them are read ahead: a connection is read
/// all the time, or the end of its client would not be noticed.
const MAX_PIPELINE: usize = 16;
/// Bytes that are read ahead. Beyond them, whole commands are refused.
const READ_AHEAD: usize = 128 * 1024;
/// Commands of one connection without an answer that has left, refused ones counted in. A client that sends more
/// is given up.
const MAX_UNANSWERED: usize = 1024;
/// A connection owes its first command, and the rest of a begun one, within this.
const OWED: Span = 2_000 * MS;
/// Bytes of commands that a connection may hold without a share of the common room.
const FREE_BYTES: usize = 4 * 1024;
/// A client that takes nothing of its answers for this long has gone.
const STALLED: Span = 3_000 * MS;
/// So has one that has not taken the next of them whole after this: it may not hold its place by a byte now
/// and then.
const TAKEN: Span = 10_000 * MS;
/// A connection may take another place while it holds fewer than one in so many of those left: however many
/// clients do not read, some places stay for those that do.
const PLACES_LEFT: usize = 4;
/// A client that has said nothing for this long after it connected is not about to.
const FRESH: Span = 100 * MS;
const LINGER: Span = 500 * MS;
/// Connections that linger though another has their place: small, since each holds a descriptor beyond the places.
pub(crate) const MAX_LINGERERS: u64 = 8;
/// Bytes read and dropped of a client that goes on sending after its last answer, or after what cannot be followed.
const MAX_SCRAP: usize = 256 * 1024;
const READ: usize = 16 * 1024;
const BACKLOG: u32 = 1024;
/// Values up to this long are copied behind their header.
const COPIED: usize = 4 * 1024;
/// What all connections share.
#[derive(Clone)]
pub(crate) struct Context<E> {
    pub env: E,
    pub site: Arc<PlatformSettings>,
    pub gateway: UnboundedSender<Input>,
    pub phase: watch::Receiver<Phase>,
    pub ids: Arc<AtomicU64>,
    pub room: Room,
    pub crowd: Crowd,
}

/// What connections and the listener tell each other when places are short.
#[derive(Clone, Default)]
pub(crate) struct Crowd {
    /// No place is left and none was to be had: the next connection that falls idle goes.
    full: Arc<AtomicBool>,
    /// One that was asked to leave has a request again.
    stays: Arc<Notify>,
    /// How many have gone on lingering without a place, ever.
    lingerers: Arc<watch::Sender<u64>>,
}

impl Crowd {
    /// Lingers without a place, until too many that came later do.
    async fn linger<F: Future>(&self, lingering: F) {
        let (mut number, mut last) = (0, self.lingerers.subscribe());
        self.lingerers.send_modify(|count| {
            *count += 1;
            number = *count;
        });
        tokio::select! {
            biased;
            _ = lingering => {}
            _ = last.wait_for(|last| *last >= number + MAX_LINGERERS) => {}
        }
    }
}

/// How many connections there may be.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub connections: usize,
    /// Of those that have brought calls. Clients hold a third of all descriptors for requests at the most, and
    /// some keep their connection for good after one: as long as it is open, a request may lack one.
    pub callers: usize,
}

/// What all commands in hand may take together. A command without room is refused at once: waiting would let
/// clients that are slow to read starve the others.
#[derive(Clone)]
pub(crate) struct Room {
    /// A permit for each command, which may have a value of the greatest length coming.
    places: Arc<Semaphore>,
    /// Bytes of the commands themselves.
    bytes: Arc<Semaphore>,
}

impl Room {
    /// What the budget grants.
    pub fn within(budget: &Budget) -> Room {
        let bytes = budget.commands.min(Semaphore::MAX_PERMITS);
        Room { places: Arc::new(Semaphore::new(budget.places)), bytes: Arc::new(Semaphore::new(bytes)) }
    }
}

/// How far a connection is, as far as it matters to who makes room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    /// All is answered, and the client is still sending.
    Lingering,
    /// No call has come yet, and nothing is owed.
    Fresh,
    /// Between calls.
    Idle,
    Busy,
}

/// A connection's place, as the listener sees it.
struct Seat {
    used: AtomicU64,
    leave: Notify,
}

impl Seat {
    fn new(now: Time) -> Seat {
        let seat = Seat { used: AtomicU64::new(0), leave: Notify::new() };
        seat.set(Use::Fresh, now);
        seat
    }

    /// Both in one number: nanoseconds leave the two highest bits free.
    fn set(&self, used: Use, since: Time) {
        self.used.store((used as u64) << 62 | since, Ordering::Relaxed);
    }

    fn get(&self) -> (Use, Time) {
        let both = self.used.load(Ordering::Relaxed);
        let used = [Use::Lingering, Use::Fresh, Use::Idle, Use::Busy][(both >> 62) as usize];
        (used, both & (u64::MAX >> 2))
    }

    /// Who makes room first: the lowest, and of those the oldest. `None`: it is owed an answer, or its first command
    /// may be on the way.
    /// Those that have brought no call go first, or silent ones in numbers would crowd out usual clients.
    fn rank(&self, now: Time) -> Option<(u8, Time)> {
        let (used, since) = self.get();
        let rank = match used {
            Use::Lingering => 0,
            Use::Fresh if since + FRESH <= now => 1,
            Use::Idle => 2,
            Use::Fresh | Use::Busy => return None,
        };
        Some((rank, since))
    }
}

/// Listens on the given address only.
pub(crate) fn listen<E: Env>(env: &E, address: SocketAddr) -> io::Result<E::Listener> {
    env.listen(address, BACKLOG)
}

/// Accepts until connections close, and then what has come by that moment. With all places taken, another connection
/// makes room for the next: what waits in the backlog may have sent a request, which would be lost there.
pub(crate) async fn accept<E: Env>(mut listener: E::Listener, limits: Limits, context: Context<E>) {
    let permits = Arc::new(Semaphore::new(limits.connections));
    let mut seats: Vec<Arc<Seat>> = Vec::new();
    let (env, mut outage) = (context.env.clone(), Outage::default());
    loop {
        seats.retain(|seat| Arc::strong_count(seat) > 1);
        limit_callers(&seats, limits.callers);
        let permit = loop {
            if permits.available_permits() == 0 {
                make_room(&seats, &context);
            }
            tokio::select! {
                biased;
                permit = permits.clone().acquire_owned() => break permit,
                () = context.crowd.stays.notified() => {}
                // By then one that has just come has said something, or makes room.
                () = env.sleep(FRESH) => {}
            }
        };
        let Ok(permit) = permit else { return };
        context.crowd.full.store(false, Ordering::Relaxed);
        let Some(accepted) = next_connection(&mut listener, &context.phase).await else { return };
        match accepted {
            Ok((stream, _)) => {
                crash_points::here(CrashPoint::Accepted);
                outage.back(env.now());
                let seat = Arc::new(Seat::new(env.now()));
                seats.push(seat.clone());
                env.spawn(serve(stream, context.clone(), seat, permit));
            }
            Err(error) => {
                if outage.failed(env.now()).is_some() {
                    tracing::warn!("accept: {error}");
                }
                // Out of descriptors, say: neither give up nor spin.
                env.sleep(20 * MS).await;
            }
        }
    }
}

/// `None`: connections close, and none has come that still waits.
async fn next_connection<L: Listener>(
    listener: &mut L,
    phase: &watch::Receiver<Phase>,
) -> Option<io::Result<(L::Stream, SocketAddr)>> {
    let mut phase = phase.clone();
    tokio::select! {
        biased;
        accepted = listener.accept() => return Some(accepted),
        _ = phase.wait_for(|phase| *phase >= Phase::Closing) => {}
    }
    // The system may know of one that the runtime has not been told of.
    tokio::task::yield_now().await;
    tokio::select! {
        biased;
        accepted = listener.accept() => Some(accepted),
        () = std::future::ready(()) => None,
    }
}

/// Sends away the caller that has been idle longest, if there are too many.
fn limit_callers(seats: &[Arc<Seat>], most: usize) {
    let callers = || seats.iter().filter(|seat| matches!(seat.get().0, Use::Idle | Use::Busy));
    if callers().count() > most {
        let idle = callers().filter(|seat| seat.get().0 == Use::Idle);
        idle.min_by_key(|seat| seat.get().1).inspect(|seat| seat.leave.notify_one());
    }
}

/// Sends away one connection that nothing is owed to. If all are busy, the next one to fall idle goes.
fn make_room<E: Env>(seats: &[Arc<Seat>], context: &Context<E>) {
    let now = context.env.now();
    match seats.iter().filter_map(|seat| Some((seat.rank(now)?, seat))).min_by_key(|(rank, _)| *rank) {
        Some((_, seat)) => seat.leave.notify_one(),
        None => context.crowd.full.store(true, Ordering::Relaxed),
    }
}

enum Slot {
    /// A request on its way, and the bytes of its command.
    Waiting(RequestId, usize),
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
            Answer::Busy(Some(after)) => Reply::Text(format!("-BUSY {}\r\n", after.div_ceil(MS)).into()),
            Answer::Failed => Reply::Text(Bytes::from_static(b"-ERR failed\r\n")),
        }
    }
}

/// Why a connection ends from our side.
enum End {
    /// All is answered, the last of it perhaps just now.
    Answered,
    /// Nothing was owed to it, and another is to have its place at once.
    MadeRoom,
}

/// What becomes of the bytes that a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Intake {
    Commands,
    /// It has sent what cannot be followed: so many more are dropped, then it is given up.
    Scrap(usize),
    /// Nothing is read, and nothing waits.
    Ended,
}

/// By when a client has to take of its answers, or has gone. Whatever it takes renews this, and nothing else does: not
/// the answers to its other commands.
#[derive(Default)]
struct Taking {
    /// Anything at all.
    any_by: Option<Time>,
    /// The next of them whole.
    next_by: Option<Time>,
}

impl Taking {
    /// There is something to take now.
    fn due(&mut self, now: Time) -> Time {
        let any_by = *self.any_by.get_or_insert(now.saturating_add(STALLED));
        any_by.min(*self.next_by.get_or_insert(now.saturating_add(TAKEN)))
    }

    fn took(&mut self, whole: bool) {
        self.any_by = None;
        if whole {
            self.next_by = None;
        }
    }
}

struct Connection<E> {
    context: Context<E>,
    seat: Arc<Seat>,
    input: BytesMut,
    output: SegmentedBuf<Bytes>,
    taking: Taking,
    /// Answers in the output that have not left whole: the bytes up to the end of each, counted from the
    /// first one written on this connection.
    unsent: VecDeque<u64>,
    /// Bytes that have been put into the output, ever.
    put: u64,
    slots: VecDeque<Slot>,
    first_slot: u64,
    answers: UnboundedSender<(u64, Answer)>,
    intake: Intake,
    /// Permits for the commands whose answers have not left yet.
    places: Option<OwnedSemaphorePermit>,
    /// Permits for bytes beyond the free ones, and the bytes of calls on their way.
    share: Option<OwnedSemaphorePermit>,
    in_hand: usize,
    /// By when the first command, or the rest of one, has to come.
    owed: Option<Time>,
    /// A call has come that could be taken.
    called: bool,
}

async fn serve<E: Env>(
    stream: E::Stream,
    context: Context<E>,
    seat: Arc<Seat>,
    permit: OwnedSemaphorePermit,
) {
    // Kept to the end: a gateway that stops waits for all who hold one, also for those that linger.
    let (env, crowd, _stop) = (context.env.clone(), context.crowd.clone(), context.phase.clone());
    let (mut reader, mut writer) = stream.into_split();
    let (mut connection, inbox) = Connection::new(context, seat.clone());
    let ended = connection.run(&mut reader, &mut writer, inbox).await;
    connection.leave();
    drop(connection);
    // Its place is what is waited for, also where its client has gone: nobody else need go.
    let is_waited_for = crowd.full.swap(false, Ordering::Relaxed);
    let Ok(ended) = ended else { return };
    let mut lingering = pin!(env.timeout(LINGER, linger(&mut reader, &mut writer)));
    if matches!(ended, End::Answered) && !is_waited_for {
        seat.set(Use::Lingering, env.now());
        tokio::select! {
            biased;
            _ = lingering.as_mut() => return,
            () = seat.leave.notified() => {}
        }
    }
    drop((seat, permit));
    crowd.linger(lingering).await;
}

/// Ends sending and waits for the client's end: a close over bytes that it has sent meanwhile would be a reset, which
/// takes the last answer along.
async fn linger<R, W>(reader: &mut R, writer: &mut W) -> io::Result<()>
where
    R: AsyncRead + Unpin + Send,
    W: AsyncWrite + Unpin + Send,
{
    let mut scrap = BytesMut::with_capacity(READ);
    writer.shutdown().await?;
    let mut left = MAX_SCRAP;
    while left > 0 {
        scrap.clear();
        match reader.read_buf(&mut scrap).await? {
            0 => return Ok(()),
            n => left = left.saturating_sub(n),
        }
    }
    // What does not stop is held up by the system, while the last answer is taken.
    std::future::pending().await
}

impl<E: Env> Connection<E> {
    /// One that has just come, and where the answers to its calls arrive.
    fn new(context: Context<E>, seat: Arc<Seat>) -> (Connection<E>, UnboundedReceiver<(u64, Answer)>) {
        let (answers, inbox) = mpsc::unbounded_channel();
        let owed = Some(context.env.now() + OWED);
        let connection = Connection {
            context,
            seat,
            input: BytesMut::new(),
            output: SegmentedBuf::new(),
            taking: Taking::default(),
            unsent: VecDeque::new(),
            put: 0,
            slots: VecDeque::new(),
            first_slot: 0,
            answers,
            intake: Intake::Commands,
            places: None,
            share: None,
            in_hand: 0,
            owed,
            called: false,
        };
        (connection, inbox)
    }

    /// Until the client goes (an error), or the connection is to close with all answered.
    async fn run<R, W>(
        &mut self,
        reader: &mut R,
        writer: &mut W,
        mut inbox: UnboundedReceiver<(u64, Answer)>,
    ) -> Result<End, RespError>
    where
        R: AsyncRead + Unpin + Send,
        W: Writer,
    {
        let (env, seat) = (self.context.env.clone(), self.seat.clone());
        let mut phase = self.context.phase.clone();
        let mut noted = Use::Fresh;
        // Kept over all turns: to enter and to leave these lists with each request costs more than the request.
        let mut leave = pin!(seat.leave.notified());
        let mut changed = pin!(next_phase(phase.clone()));
        loop {
            self.flush_ready();
            // Mostly all of it goes at once, and there is room for the commands behind.
            if self.output.has_remaining() && self.write_now(writer).await? {
                continue;
            }
            let writing = self.output.has_remaining();
            // A command that has come in part is a request that has begun.
            let answered = self.slots.is_empty() && !writing;
            let idle = answered && self.input.is_empty();
            let now = *phase.borrow_and_update();
            let closing = self.intake != Intake::Commands || now >= Phase::Closing;
            // What lies with the system is a request that has come, as long as any are taken.
            let taking = self.intake == Intake::Commands && now < Phase::Refusing;
            if closing && if taking { idle && writer.has_no_unread_input() } else { answered } {
                return Ok(End::Answered);
            }
            let used = match (answered, self.called) {
                (true, false) => Use::Fresh,
                (true, true) if idle => Use::Idle,
                _ => Use::Busy,
            };
            if used != noted {
                seat.set(used, env.now());
                noted = used;
            }
            let is_full = || self.context.crowd.full.load(Ordering::Relaxed);
            let was_full = || self.context.crowd.full.swap(false, Ordering::Relaxed);
            if used == Use::Idle && is_full() && writer.has_no_unread_input() && was_full() {
                return Ok(End::MadeRoom);
            }
            let (reading, owed) = (self.intake != Intake::Ended, self.owed);
            let gone = if writing { self.taking.due(env.now()) } else { 0 };
            tokio::select! {
                biased;
                Some((slot, answer)) = inbox.recv() => {
                    self.settle(slot, answer);
                    while let Ok((slot, answer)) = inbox.try_recv() {
                        self.settle(slot, answer);
                    }
                }
                wrote = env.timeout_at(gone, writer.write_buf(&mut self.output)), if writing => {
                    wrote.map_err(|_| RespError::Closed)??;
                    self.count_sent();
                }
                read = resp::fill(reader, &mut self.input), if reading => {
                    read?;
                    self.take_in();
                }
                () = env.sleep_until(owed.unwrap_or(0)), if owed.is_some() => {
                    // Nothing has come at all: an error would pass for the answer to a command that crosses it,
                    // while a plain end makes the client send that one again.
                    match self.input.is_empty() && self.slots.is_empty() {
                        true if writer.has_no_unread_input() => return Ok(End::MadeRoom),
                        // It has just come, and is read next.
                        true => self.owed = None,
                        false => self.refuse_protocol("command not whole in time"),
                    }
                }
                () = leave.as_mut() => {
                    if used != Use::Busy && writer.has_no_unread_input() {
                        return Ok(End::MadeRoom);
                    }
                    self.context.crowd.stays.notify_one();
                    leave.set(seat.leave.notified());
                    // Noted anew it is the newest, and another is asked first.
                    noted = Use::Busy;
                }
                next = changed.as_mut(), if now < Phase::Refusing => {
                    changed.set(next_phase(next.ok_or(RespError::Closed)?));
                }
            }
        }
    }

    /// Writes what can be written without a wait; whether answers have left whole. What waits goes on being written in
    /// turn with all else, within its time.
    async fn write_now<W: AsyncWrite + Unpin + Send>(&mut self, writer: &mut W) -> io::Result<bool> {
        if crash_points::is_due(CrashPoint::InAnswer) {
            writer.write_all(&self.output.chunk()[..1]).await?;
            crash_points::die();
        }
        let before = self.output.remaining();
        while self.output.has_remaining() {
            let now = poll_fn(|cx| Poll::Ready(pin!(writer.write_buf(&mut self.output)).poll(cx)));
            match now.await {
                Poll::Ready(wrote) => drop(wrote?),
                Poll::Pending => break,
            }
        }
        Ok(self.output.remaining() < before && self.count_sent())
    }

    fn settle(&mut self, slot: u64, answer: Answer) {
        let index = slot.checked_sub(self.first_slot).and_then(|i| usize::try_from(i).ok());
        if let Some(slot) = index.and_then(|i| self.slots.get_mut(i)) {
            if let Slot::Waiting(_, bytes) = *slot {
                self.in_hand -= bytes;
            }
            *slot = Slot::Ready(answer.into());
        }
    }

    /// Moves answers to the output, as far as the order of the commands allows, and takes commands in their place. Some
    /// of these may have their answers at once: no event comes for them.
    fn flush_ready(&mut self) {
        loop {
            self.move_ready();
            self.give_back();
            self.take_commands();
            if !matches!(self.slots.front(), Some(Slot::Ready(_))) {
                return;
            }
        }
    }

    fn move_ready(&mut self) {
        while let Some(Slot::Ready(_)) = self.slots.front() {
            let Some(Slot::Ready(reply)) = self.slots.pop_front() else { return };
            self.first_slot += 1;
            match reply {
                Reply::Text(text) => self.put(text),
                // One piece costs less than to write several.
                Reply::Value(value) if value.len() <= COPIED => {
                    let mut all = BytesMut::with_capacity(value.len() + 16);
                    resp::encode_bulk(&mut all, &value);
                    self.put(all.freeze());
                }
                Reply::Value(value) => {
                    let mut header = BytesMut::with_capacity(16);
                    resp::encode_bulk_header(&mut header, value.len());
                    self.put(header.freeze());
                    self.put(value);
                    self.put(Bytes::from_static(b"\r\n"));
                }
            }
            self.unsent.push_back(self.put);
        }
    }

    fn put(&mut self, bytes: Bytes) {
        self.put += bytes.len() as u64;
        self.output.push(bytes);
    }

    /// Some bytes of answers have left: takes note of those that have whole; whether there were any.
    fn count_sent(&mut self) -> bool {
        let (before, left) = (self.unsent.len(), self.put - self.output.remaining() as u64);
        while self.unsent.front().is_some_and(|end| *end <= left) {
            self.unsent.pop_front();
        }
        let whole = self.unsent.len() < before;
        self.taking.took(whole);
        whole
    }

    /// Commands whose answers have not left whole.
    fn unanswered(&self) -> usize {
        self.slots.len() + self.unsent.len()
    }

    /// Permits beyond those of commands whose answers have not left whole go back.
    fn give_back(&mut self) {
        let unanswered = self.unanswered();
        if let Some(places) = &mut self.places {
            drop(places.split(places.num_permits().saturating_sub(unanswered)));
        }
    }

    /// Whether there is a place for one more command: each may have a value of the greatest length coming,
    /// which stays here until the client has taken it.
    fn reserve(&mut self) -> bool {
        let held = self.places.as_ref().map_or(0, |places| places.num_permits());
        if held > self.unanswered() {
            return true;
        }
        let fair = held == 0 || held * PLACES_LEFT < self.context.room.places.available_permits();
        fair && extend(&mut self.places, &self.context.room.places, 1)
    }

    /// Whether there is room for the bytes that this connection makes us hold.
    fn fits(&mut self) -> bool {
        let want = (self.input.len() + self.in_hand).saturating_sub(FREE_BYTES);
        if want == 0 {
            self.share = None;
            return true;
        }
        let held = self.share.as_ref().map_or(0, |share| share.num_permits());
        extend(&mut self.share, &self.context.room.bytes, want.saturating_sub(held) as u32)
    }

    /// Whether too much lies here behind a full pipeline: more than one connection may read ahead, or so much that
    /// too little of the room would be left to others.
    fn is_far_ahead(&self) -> bool {
        let held = self.share.as_ref().map_or(0, |share| share.num_permits());
        let much = held > 0 && held * PLACES_LEFT >= self.context.room.bytes.available_permits();
        self.unanswered() >= MAX_PIPELINE && (much || self.input.len() > READ_AHEAD)
    }

    /// What has been read is taken, kept, refused or dropped: it is bounded, and the end of the client is seen.
    fn take_in(&mut self) {
        match self.intake {
            Intake::Commands => self.take_commands(),
            Intake::Scrap(left) if self.input.len() < left => {
                self.intake = Intake::Scrap(left - self.input.len());
                self.input.clear();
            }
            Intake::Scrap(_) | Intake::Ended => self.give_up(),
        }
    }

    /// The client sends without an end: all that it still waits for has failed, and nothing more is read.
    fn give_up(&mut self) {
        for slot in &mut self.slots {
            if let Slot::Waiting(id, bytes) = *slot {
                let _ = self.context.gateway.send(Input::Left(id));
                self.in_hand -= bytes;
                *slot = Slot::Ready(Answer::Failed.into());
            }
        }
        (self.intake, self.owed, self.input) = (Intake::Ended, None, BytesMut::new());
    }

    fn take_commands(&mut self) {
        if !self.fits() || self.is_far_ahead() {
            self.refuse_whole_commands();
            if self.intake == Intake::Commands && !self.fits() {
                self.refuse_protocol("no room for so long a command");
            }
        }
        while self.intake == Intake::Commands && self.unanswered() < MAX_PIPELINE && !self.input.is_empty() {
            match resp::decode(&mut self.input) {
                Ok(None) => {
                    self.owed = self.owed.or_else(|| Some(self.context.env.now() + OWED));
                    return;
                }
                Ok(Some(Frame::Array(words))) if !words.is_empty() => self.take_command(&words),
                Ok(Some(_)) => self.refuse_protocol("commands are arrays of bulk strings"),
                Err(error) => self.refuse_protocol(error),
            }
        }
    }

    /// There is no room for what lies here: each command that has come whole gets an answer of its own, and
    /// what is left may fit.
    fn refuse_whole_commands(&mut self) {
        while self.intake == Intake::Commands && !self.input.is_empty() {
            if self.unanswered() >= MAX_UNANSWERED {
                return self.give_up();
            }
            match resp::decode(&mut self.input) {
                Ok(None) => return,
                Ok(Some(Frame::Array(words))) if !words.is_empty() => {
                    self.owed = None;
                    let reply = if is_ping(&words) { self.ping() } else { Answer::Busy(None).into() };
                    self.slots.push_back(Slot::Ready(reply));
                }
                Ok(Some(_)) => self.refuse_protocol("commands are arrays of bulk strings"),
                Err(error) => self.refuse_protocol(error),
            }
        }
    }

    /// The stream cannot be followed any more: says so, answers what came before, then closes.
    fn refuse_protocol(&mut self, error: impl std::fmt::Display) {
        self.slots.push_back(Slot::Ready(Reply::error(format_args!("protocol error: {error}"))));
        (self.intake, self.owed, self.input) = (Intake::Scrap(MAX_SCRAP), None, BytesMut::new());
    }

    fn take_command(&mut self, words: &[Frame]) {
        self.owed = None;
        let slot = match words {
            _ if is_ping(words) => Slot::Ready(self.ping()),
            _ => self.take_call(words),
        };
        self.slots.push_back(slot);
    }

    fn ping(&self) -> Reply {
        match *self.context.phase.borrow() {
            Phase::Starting => Reply::error("starting"),
            Phase::Ready => Reply::Text(Bytes::from_static(b"+PONG\r\n")),
            Phase::Stopping | Phase::Closing | Phase::Refusing => Reply::error("stopping"),
        }
    }

    fn take_call(&mut self, words: &[Frame]) -> Slot {
        let id = RequestId(self.context.ids.fetch_add(1, Ordering::Relaxed));
        let (request, call) = match call::parse(&self.context.site, id, words) {
            Ok(call) => call,
            Err(error) => return Slot::Ready(Reply::error(error)),
        };
        if *self.context.phase.borrow() == Phase::Refusing || !self.reserve() {
            return Slot::Ready(Answer::Busy(None).into());
        }
        let bytes = call.size();
        let slot = self.first_slot + self.slots.len() as u64;
        let reply = ReplyTo { slot, answers: self.answers.clone() };
        let incoming = Incoming { at: self.context.env.now(), request, call, reply };
        match self.context.gateway.send(Input::Request(Box::new(incoming))) {
            Ok(()) => {
                (self.called, self.in_hand) = (true, self.in_hand + bytes);
                Slot::Waiting(id, bytes)
            }
            Err(_) => Slot::Ready(Reply::error("stopping")),
        }
    }

    /// The client has gone: whatever still waits has nobody to answer to.
    fn leave(&mut self) {
        for slot in self.slots.drain(..) {
            if let Slot::Waiting(id, _) = slot {
                let _ = self.context.gateway.send(Input::Left(id));
            }
        }
    }
}

/// The next phase, with the channel that tells of it; `None`: the gateway has ended.
async fn next_phase(mut phases: watch::Receiver<Phase>) -> Option<watch::Receiver<Phase>> {
    phases.changed().await.ok().map(|()| phases)
}

fn is_ping(words: &[Frame]) -> bool {
    matches!(words, [Frame::Bulk(name)] if name.eq_ignore_ascii_case(b"PING"))
}

/// Takes so many more permits, if there are any to be had.
fn extend(held: &mut Option<OwnedSemaphorePermit>, from: &Arc<Semaphore>, count: u32) -> bool {
    if count == 0 {
        return true;
    }
    let Ok(more) = from.clone().try_acquire_many_owned(count) else { return false };
    match held {
        Some(held) => held.merge(more),
        none => *none = Some(more),
    }
    true
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
