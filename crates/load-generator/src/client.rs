//! Clients: connections that ask and look at what comes back. Closed ones ask again as soon as they have an answer; in
//! an open run requests fall due whatever becomes of those before, and how long one took counts from then, so that a
//! gateway that stands still is not spared the requests that it kept away.

use crate::draw::{Ask, Draw};
use crate::spec::Spec;
use crate::stats::{End, Kind, Stats};
use bytes::BytesMut;
use cluster_model::scenario::ClassSpec;
use resp::{decode, encode_array_header, encode_bulk, Frame};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc as tasks;

/// Parts that statistics are kept in, so that connections seldom wait for one another.
const SHARDS: usize = 32;
/// A connection gives a request up this long after its deadline.
const GRACE: Duration = Duration::from_millis(200);
/// Requests that are due and wait for a connection at the most; more are not asked, and count as lost.
const MOST_WAITING: usize = 200_000;

/// What all connections of a run share.
pub struct Crowd {
    spec: Spec,
    address: SocketAddr,
    classes: Vec<ClassSpec>,
    ids: AtomicU64,
    /// Requests due from here on count.
    counts: AtomicBool,
    over: AtomicBool,
    stats: Vec<Mutex<Stats>>,
    customers: Arc<AtomicU64>,
    /// Connections that there are.
    open: AtomicU64,
    /// Requests that count, have fallen due and have not ended yet.
    owed: AtomicU64,
}

/// A request that is due.
#[derive(Clone, Copy, Debug)]
struct Due {
    at: Instant,
    ask: Ask,
    counts: bool,
}

impl Crowd {
    /// Nobody asks yet. Reads are of the first class of the site, orders of the second.
    pub fn new(spec: Spec, address: SocketAddr, classes: Vec<ClassSpec>) -> Arc<Crowd> {
        Arc::new(Crowd {
            spec,
            address,
            classes,
            ids: AtomicU64::new(1),
            counts: AtomicBool::new(false),
            over: AtomicBool::new(false),
            stats: (0..SHARDS).map(|_| Mutex::default()).collect(),
            customers: Arc::default(),
            open: AtomicU64::new(0),
            owed: AtomicU64::new(0),
        })
    }

    /// Requests due from now on count, or no more.
    pub fn count(&self, counts: bool) {
        self.counts.store(counts, Ordering::Relaxed);
    }

    /// No more requests.
    pub fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    /// All that was counted so far.
    pub fn stats(&self) -> Stats {
        let mut all = Stats::default();
        self.stats.iter().for_each(|shard| all.add(&shard.lock().unwrap_or_else(PoisonError::into_inner)));
        all
    }

    /// Tries so far.
    pub fn asked(&self) -> u64 {
        self.ids.load(Ordering::Relaxed) - 1
    }

    /// Whether a request that counts has yet to end.
    pub fn is_owed(&self) -> bool {
        self.owed.load(Ordering::Relaxed) > 0
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn due(&self, at: Instant, ask: Ask) -> Due {
        let counts = self.counts.load(Ordering::Relaxed);
        self.owed.fetch_add(u64::from(counts), Ordering::Relaxed);
        Due { at, ask, counts }
    }

    fn aim(&self, ask: &Ask) -> Duration {
        Duration::from_nanos(self.classes[usize::from(ask.is_order)].latency_objective)
    }

    fn deadline(&self, ask: &Ask) -> Duration {
        Duration::from_nanos(self.classes[usize::from(ask.is_order)].deadline)
    }

    fn ended(&self, shard: usize, due: &Due, end: End) {
        if !due.counts {
            return;
        }
        self.owed.fetch_sub(1, Ordering::Relaxed);
        let Ask { is_order, is_premium, is_regular, .. } = due.ask;
        let kind = Kind { is_order, is_premium, is_regular };
        let mut stats = self.stats[shard % SHARDS].lock().unwrap_or_else(PoisonError::into_inner);
        stats.end(kind, end, due.at.elapsed(), self.aim(&due.ask));
    }

    /// The command for a request, and its id.
    fn command(&self, ask: &Ask, out: &mut BytesMut) -> u64 {
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
        let class = &self.classes[usize::from(ask.is_order)];
        let plan = if ask.is_premium { "premium" } else { "standard" };
        let wait = class.deadline / 1_000_000;
        let list = format!("c={},t={plan},d={wait},units={},spread=1,first=0", class.name, ask.units);
        encode_array_header(out, 4 + usize::from(ask.is_order));
        encode_bulk(out, if ask.is_order { b"CALL.POST" } else { b"CALL.GET" });
        encode_bulk(out, format!("{:016x}", ask.customer).as_bytes());
        encode_bulk(out, format!("{id:016x}").as_bytes());
        encode_bulk(out, list.as_bytes());
        if ask.is_order {
            encode_bulk(out, &vec![b'b'; self.spec.body]);
        }
        id
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// How an answer ends a request.
fn end_of(frame: &Frame, id: u64) -> End {
    match frame {
        Frame::Bulk(value) if value.starts_with(format!("{id:016x}").as_bytes()) => End::Served,
        // A relay passes on what hosts say.
        Frame::Array(parts) => parts.first().map_or(End::Wrong, |value| end_of(value, id)),
        Frame::Bulk(_) => End::Wrong,
        Frame::Error(text) if text.starts_with(b"BUSY") => End::Refused,
        _ => End::Failed,
    }
}

/// A connection and what is out on it.
struct Line {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    out: VecDeque<(Due, u64, u32)>,
}

impl Line {
    fn new(stream: TcpStream) -> Line {
        Line {
            stream,
            input: BytesMut::with_capacity(16 * 1024),
            output: BytesMut::new(),
            out: VecDeque::new(),
        }
    }

    fn ask(&mut self, crowd: &Crowd, due: Due, tries: u32) {
        let id = crowd.command(&due.ask, &mut self.output);
        self.out.push_back((due, id, tries));
    }

    /// Sends what is to be sent, and takes in answers until there is one. `Err`: the connection has ended; what is
    /// out on it has no answer.
    async fn turn(&mut self, crowd: &Crowd, shard: usize) -> io::Result<()> {
        if !self.output.is_empty() {
            self.stream.write_all(&self.output).await?;
            self.output.clear();
        }
        let oldest = self.out.front().map_or(Duration::ZERO, |(due, ..)| crowd.deadline(&due.ask));
        let wait = tokio::time::timeout(oldest + GRACE, self.stream.read_buf(&mut self.input));
        match wait.await {
            Ok(Ok(1..)) => {}
            Ok(Ok(_)) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(Err(error)) => return Err(error),
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        }
        while let Some(frame) = decode(&mut self.input).map_err(|_| io::ErrorKind::InvalidData)? {
            let Some((due, id, tries)) = self.out.pop_front() else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            let end = end_of(&frame, id);
            if end == End::Refused && tries < crowd.spec.retries && !crowd.is_over() {
                self.ask(crowd, due, tries + 1);
            } else {
                crowd.ended(shard, &due, end);
            }
        }
        self.input.reserve(16 * 1024);
        Ok(())
    }

    fn lose(&mut self, crowd: &Crowd, shard: usize) {
        self.out.drain(..).for_each(|(due, ..)| crowd.ended(shard, &due, End::Lost));
    }
}

/// A closed connection, until the run is over. `turns`: of how many customers each one is asked for once, in place of
/// what the draw says.
async fn closed(crowd: Arc<Crowd>, number: usize, turns: Option<u64>) {
    let mut draw = Draw::new(&crowd.spec, number as u64, crowd.customers.clone());
    let pipeline = if turns.is_some() { 1 } else { crowd.spec.pipeline };
    let mut line: Option<Line> = None;
    while !crowd.is_over() {
        let Some(open) = &mut line else {
            match crowd.connect().await {
                Ok(stream) => line = Some(Line::new(stream)),
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
            continue;
        };
        while open.out.len() < pipeline {
            let ask = draw.ask(turns.is_some());
            if turns.is_some_and(|turns| ask.customer >= turns) {
                return;
            }
            open.ask(&crowd, crowd.due(Instant::now(), ask), 0);
        }
        if open.turn(&crowd, number).await.is_err() {
            open.lose(&crowd, number);
            line = None;
        }
    }
}

/// Asks for each customer once, over the connections of the run.
pub async fn prime(crowd: &Arc<Crowd>) {
    let turns = Some(crowd.spec.customers);
    let connections =
        (0..crowd.spec.connections.min(200)).map(|n| tokio::spawn(closed(crowd.clone(), n, turns)));
    let connections: Vec<_> = connections.collect();
    for connection in connections {
        let _ = connection.await;
    }
    crowd.customers.store(0, Ordering::Relaxed);
}

/// Starts to ask as the spec says. It ends some time after [`Crowd::end`].
pub fn start(crowd: &Arc<Crowd>) {
    if crowd.spec.rate == 0.0 {
        (0..crowd.spec.connections)
            .for_each(|number| drop(tokio::spawn(closed(crowd.clone(), number, None))));
        return;
    }
    let (crowd, runtime) = (crowd.clone(), tokio::runtime::Handle::current());
    // A thread of its own: the runtime's timers are as coarse as a millisecond.
    std::thread::spawn(move || open(&crowd, &runtime));
}

/// What a connection of an open run tells: it is free, or has ended.
enum News {
    Free(usize),
    Gone(usize),
}

/// Lets requests fall due, and gives each to a connection that is free, a new one, or the first to come free.
fn open(crowd: &Arc<Crowd>, runtime: &tokio::runtime::Handle) {
    let mut draw = Draw::new(&crowd.spec, 0, crowd.customers.clone());
    let (tell, news) = std::sync::mpsc::channel();
    let mut lines: Vec<Option<tasks::UnboundedSender<Due>>> = Vec::new();
    let (mut free, mut places): (Vec<usize>, Vec<usize>) = (Vec::new(), Vec::new());
    let mut waiting: VecDeque<Due> = VecDeque::new();
    let mut next = Instant::now();
    while !crowd.is_over() {
        let now = Instant::now();
        while next <= now {
            let ask = draw.ask(false);
            waiting.push_back(crowd.due(next, ask));
            next += draw.pause(crowd.spec.rate);
        }
        while waiting.len() > MOST_WAITING {
            waiting.pop_front().into_iter().for_each(|due| crowd.ended(0, &due, End::Lost));
        }
        while let Some(due) = waiting.front().copied() {
            let place = match free.pop() {
                Some(place) => place,
                None if crowd.open.load(Ordering::Relaxed) < crowd.spec.connections as u64 => {
                    let place = places.pop().unwrap_or(lines.len());
                    let (jobs, inbox) = tasks::unbounded_channel();
                    if place == lines.len() {
                        lines.push(None);
                    }
                    lines[place] = Some(jobs);
                    crowd.open.fetch_add(1, Ordering::Relaxed);
                    runtime.spawn(carry(crowd.clone(), place, inbox, tell.clone()));
                    place
                }
                None => break,
            };
            waiting.pop_front();
            let given = lines[place].as_ref().is_some_and(|jobs| jobs.send(due).is_ok());
            if !given {
                crowd.ended(place, &due, End::Lost);
            }
        }
        // The system wakes a thread some fifty microseconds late; that counts as part of the answer.
        let wait = next.saturating_duration_since(Instant::now());
        let mut first = news.recv_timeout(wait.min(Duration::from_millis(20))).ok();
        while let Some(news_now) = first.take().or_else(|| news.try_recv().ok()) {
            match news_now {
                News::Free(place) => free.push(place),
                News::Gone(place) => {
                    crowd.open.fetch_sub(1, Ordering::Relaxed);
                    lines[place] = None;
                    places.push(place);
                }
            }
        }
    }
    waiting.iter().for_each(|due| crowd.ended(0, due, End::Lost));
}

/// A connection of an open run: one request at a time, until it ends.
async fn carry(
    crowd: Arc<Crowd>,
    place: usize,
    mut inbox: tasks::UnboundedReceiver<Due>,
    tell: std::sync::mpsc::Sender<News>,
) {
    let mut line = crowd.connect().await.map(Line::new).ok();
    while let Some(due) = inbox.recv().await {
        let Some(open) = &mut line else {
            crowd.ended(place, &due, End::Lost);
            break;
        };
        open.ask(&crowd, due, 0);
        while !open.out.is_empty() {
            if open.turn(&crowd, place).await.is_err() {
                open.lose(&crowd, place);
                line = None;
                break;
            }
        }
        if line.is_none() || tell.send(News::Free(place)).is_err() {
            break;
        }
    }
    let _ = tell.send(News::Gone(place));
}
