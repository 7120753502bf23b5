//! The thread: sockets, and nothing that is decided. Which bytes pass when is in [`crate::core`].

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::mpsc::{Receiver, Sender};
use std::time::{Duration, Instant};

use cluster_model::{Time, MS};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token, Waker};
use slab::Slab;

use crate::core::{Deed, Link, Listening, Offer, Opening};
use crate::error::LinkError;
use crate::moments::never;
use crate::plan::{Direction, Entry, Fault, FaultId, LinkId, Plan, Who};
use crate::set::{Counts, LinkSpec, Settings};
use crate::socket::{reset, Alarm, Listener};
use crate::trace::{Event, Trace, What};

/// What the handle asks of the thread.
pub(crate) type Command = Box<dyn FnOnce(&mut Runner) + Send>;
/// Somebody waits for an event like this.
type Watcher = (Box<dyn Fn(&Event) -> bool + Send>, Sender<Event>);

const WAKER: Token = Token(0);
const ALARM: Token = Token(4);
/// The poll, the waker, the alarm, and one that is closed at once: to reset a connection, or to fill a listener.
const OWN: usize = 4;
/// Bytes that are read at once.
const PIECE: usize = 64 * 1024;
/// Rounds that one connection gets before others have their turn.
const ROUNDS: usize = 16;
/// A listener that the system failed is tried again after this.
const ACCEPT_AGAIN: Time = 10 * MS;

/// Whose a token is: the lowest two bits tell the kind.
#[derive(Clone, Copy)]
enum Owner {
    Own,
    Listener(usize),
    Side(usize, usize),
}

impl Owner {
    fn token(self) -> Token {
        match self {
            Owner::Own => WAKER,
            Owner::Listener(link) => Token(link << 2 | 1),
            Owner::Side(wire, side) => Token(wire << 2 | (2 + side)),
        }
    }

    fn of(token: Token) -> Owner {
        match token.0 & 3 {
            0 => Owner::Own,
            1 => Owner::Listener(token.0 >> 2),
            kind => Owner::Side(token.0 >> 2, kind - 2),
        }
    }
}

/// A link and its listener.
struct Post {
    link: Link,
    spec: LinkSpec,
    listener: Listener,
    /// Connections by their numbers.
    wires: BTreeMap<u64, usize>,
    /// When it is looked at by itself.
    wake: Option<Time>,
    /// When accepting is tried again.
    accept_again: Option<Time>,
}

/// One side's socket.
struct Side {
    stream: TcpStream,
    connected: bool,
    readable: bool,
    writable: bool,
    /// The system has seen an end or an error, so that reading has to go on until it is met.
    ends: bool,
    broken: bool,
    /// It was connected and broken before that was looked at: what it sent can be read, and then an end that is none.
    was_reset: bool,
}

impl Side {
    fn new(stream: TcpStream, connected: bool) -> Side {
        // Without it small messages may wait for the peer; a link that cannot be told so only is slower.
        let _ = stream.set_nodelay(true);
        Side {
            stream,
            connected,
            readable: connected,
            writable: connected,
            ends: false,
            broken: false,
            was_reset: false,
        }
    }
}

/// A connection's sockets: the client's, and the target's once it was led there.
struct Wire {
    link: usize,
    number: u64,
    sides: [Option<Side>; 2],
    /// Whether it is in line to be looked at.
    queued: bool,
}

/// All links and their sockets.
pub(crate) struct Runner {
    settings: Settings,
    poll: Poll,
    alarm: Alarm,
    armed: Option<Time>,
    inbox: Receiver<Command>,
    start: Instant,
    posts: Vec<Option<Post>>,
    wires: Slab<Wire>,
    wakes: BTreeSet<(Time, usize)>,
    line: VecDeque<usize>,
    descriptors: usize,
    trace: Trace,
    watchers: Vec<Watcher>,
    stopping: bool,
    piece: Box<[u8]>,
}

impl Runner {
    pub fn new(settings: Settings, inbox: Receiver<Command>) -> Result<(Runner, Waker), LinkError> {
        let system = |what| move |error| LinkError::System { what, error };
        let poll = Poll::new().map_err(system("open a poll"))?;
        let waker = Waker::new(poll.registry(), WAKER).map_err(system("open a waker"))?;
        let alarm = Alarm::new(poll.registry(), ALARM).map_err(system("open an alarm"))?;
        let runner = Runner {
            trace: Trace::new(settings.events),
            settings,
            poll,
            alarm,
            armed: None,
            inbox,
            start: Instant::now(),
            posts: Vec::new(),
            wires: Slab::new(),
            wakes: BTreeSet::new(),
            line: VecDeque::new(),
            descriptors: OWN,
            watchers: Vec::new(),
            stopping: false,
            piece: vec![0; PIECE].into_boxed_slice(),
        };
        Ok((runner, waker))
    }

    /// Runs until it is told to stop, or the handle is gone.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(1024);
        while !self.stopping {
            self.arm();
            let timeout = if self.line.is_empty() { None } else { Some(Duration::ZERO) };
            match self.poll.poll(&mut events, timeout) {
                Err(error) if error.kind() != ErrorKind::Interrupted => break,
                _ => {}
            }
            // What is due comes before bytes that have come meanwhile.
            self.due();
            for event in &events {
                match Owner::of(event.token()) {
                    Owner::Own => self.commands(),
                    Owner::Listener(link) => self.accept(link),
                    Owner::Side(wire, side) => self.ready(wire, side, event),
                }
            }
            for _ in 0..self.line.len() {
                self.look_at_next();
            }
        }
        for (_, wire) in &self.wires {
            wire.sides.iter().flatten().for_each(|side| reset(&side.stream));
        }
    }

    fn now(&self) -> Time {
        self.start.elapsed().as_nanos() as Time
    }

    fn arm(&mut self) {
        let next = self.wakes.first().map(|(at, _)| *at);
        if next != self.armed {
            let after = next.map(|at| Duration::from_nanos(at.saturating_sub(self.now())));
            // The only ways to fail are words that are wrong.
            if self.alarm.set(after).is_ok() {
                self.armed = next;
            }
        }
    }

    fn due(&mut self) {
        let now = self.now();
        while let Some((at, link)) = self.wakes.first().copied().filter(|(at, _)| *at <= now) {
            self.wakes.remove(&(at, link));
            self.armed = None;
            let Some(post) = &mut self.posts[link] else { continue };
            post.wake = None;
            post.link.poll(now);
            let accept = post.accept_again.take_if(|again| *again <= now).is_some();
            self.settle(link);
            if accept {
                self.accept(link);
            }
        }
    }

    fn commands(&mut self) {
        while let Ok(command) = self.inbox.try_recv() {
            command(self);
        }
    }

    fn ready(&mut self, key: usize, side: usize, event: &mio::event::Event) {
        let Some(wire) = self.wires.get_mut(key) else { return };
        let (link, number) = (wire.link, wire.number);
        let Some(socket) = &mut wire.sides[side] else { return };
        socket.readable |= event.is_readable() || event.is_read_closed() || event.is_error();
        socket.ends |= event.is_read_closed() || event.is_error();
        socket.writable |= event.is_writable();
        if !socket.connected {
            return self.connected(key);
        }
        // Who has ended what he sends, or fills a link that is cut, is read no more; that he broke shows only here.
        let direction = Direction::BOTH[side];
        let now = self.start.elapsed().as_nanos() as Time;
        let breaks = |post: &&mut Post| post.link.breaks_at_once(now, number, direction);
        if event.is_error() && !socket.broken {
            if let Some(post) = self.posts[link].as_mut().filter(breaks) {
                socket.broken = true;
                post.link.broke(now, number, direction);
            }
        }
        self.queue(key);
    }

    /// Asks whether a connection to a target has come about.
    fn connected(&mut self, key: usize) {
        let now = self.now();
        let wire = &mut self.wires[key];
        let (link, number) = (wire.link, wire.number);
        let Some(socket) = &mut wire.sides[1] else { return };
        let Some(post) = &mut self.posts[link] else { return };
        let refused = match socket.stream.take_error() {
            Ok(None) => false,
            // Only who was connected can be reset; who is not is refused.
            Ok(Some(error)) if matches!(error.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe) => {
                socket.was_reset = true;
                false
            }
            _ => true,
        };
        if refused {
            post.link.not_joined(now, number);
            self.close(link, number, true);
        } else if socket.was_reset || socket.stream.peer_addr().is_ok() {
            socket.connected = true;
            socket.writable = true;
            post.link.joined(now, number);
        }
        self.settle(link);
    }

    fn queue(&mut self, key: usize) {
        let wire = &mut self.wires[key];
        if !std::mem::replace(&mut wire.queued, true) {
            self.line.push_back(key);
        }
    }

    fn look_at_next(&mut self) {
        let Some(key) = self.line.pop_front() else { return };
        // Keys are used again; a look too many does no harm.
        let Some(wire) = self.wires.get_mut(key) else { return };
        wire.queued = false;
        let (link, number) = (wire.link, wire.number);
        for _ in 0..ROUNDS {
            let Some(post) = &mut self.posts[link] else { return };
            let Some(wire) = self.wires.get_mut(key).filter(|wire| wire.number == number) else { return };
            let mut moved = false;
            for direction in Direction::BOTH {
                moved |= pull(&mut post.link, wire, direction, self.start, &mut self.piece);
                moved |= push(&mut post.link, wire, direction, self.start);
            }
            self.settle(link);
            if !moved {
                return;
            }
        }
        if self.wires.get(key).is_some_and(|wire| wire.link == link && wire.number == number) {
            self.queue(key);
        }
    }

    /// Does what a link wants done, and writes down what it did.
    fn settle(&mut self, id: usize) {
        loop {
            let Some(post) = &mut self.posts[id] else { return };
            let (deeds, notes) = (post.link.deeds(), post.link.notes());
            for note in notes {
                self.note(note);
            }
            if deeds.is_empty() {
                break;
            }
            for deed in deeds {
                self.carry_out(id, deed);
            }
        }
        let Some(post) = &mut self.posts[id] else { return };
        let wake = [post.link.next_wake(), post.accept_again].into_iter().flatten().min();
        if wake != post.wake {
            if let Some(old) = post.wake {
                self.wakes.remove(&(old, id));
            }
            self.wakes.extend(wake.map(|at| (at, id)));
            post.wake = wake;
        }
    }

    fn carry_out(&mut self, id: usize, deed: Deed) {
        let Some(post) = &mut self.posts[id] else { return };
        match deed {
            Deed::Join(number) => self.join(id, number),
            Deed::Reset(number) => self.close(id, number, true),
            Deed::Close(number) => self.close(id, number, false),
            Deed::Look(number) => {
                if let Some(key) = post.wires.get(&number).copied() {
                    self.queue(key);
                }
            }
            Deed::LookAtAll => {
                for key in post.wires.values().copied().collect::<Vec<_>>() {
                    self.queue(key);
                }
            }
            Deed::Listen(listening) => self.listen(id, listening),
        }
    }

    fn listen(&mut self, id: usize, listening: Listening) {
        // Who came before is taken; the fault concerns those after it.
        self.accept(id);
        let Some(post) = &mut self.posts[id] else { return };
        if let Err(error) = post.listener.set(listening) {
            self.refused(id, &error);
        }
        self.accept(id);
    }

    fn accept(&mut self, id: usize) {
        loop {
            let now = self.now();
            let short = self.descriptors + 2 > self.settings.descriptors;
            let Some(post) = self.posts[id].as_mut().filter(|post| post.listener.is_open()) else { return };
            let stream = match post.listener.socket.accept() {
                Ok((_, peer)) if post.listener.is_plug(peer) => {
                    post.listener.unplug();
                    continue;
                }
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) =>
                {
                    continue;
                }
                Err(error) => {
                    post.accept_again = Some(now + ACCEPT_AGAIN);
                    self.refused(id, &error);
                    return self.settle(id);
                }
            };
            if short {
                post.link.over_bound(now);
                reset(&stream);
                drop(stream);
            } else {
                self.take(id, now, stream);
            }
            self.settle(id);
        }
    }

    fn take(&mut self, id: usize, now: Time, stream: TcpStream) {
        let Some(post) = &mut self.posts[id] else { return };
        let (number, opening) = post.link.accept(now);
        if opening == Opening::Reset {
            return reset(&stream);
        }
        let side = Side::new(stream, true);
        let key = self.wires.insert(Wire { link: id, number, sides: [Some(side), None], queued: false });
        post.wires.insert(number, key);
        self.descriptors += 2;
        let registered = self.register(key, 0);
        if let Err(error) = registered {
            return self.failed(id, number, &error);
        }
        if opening == Opening::Join {
            self.join(id, number);
        }
        self.queue_number(id, number);
    }

    fn queue_number(&mut self, id: usize, number: u64) {
        let key = self.posts[id].as_ref().and_then(|post| post.wires.get(&number).copied());
        if let Some(key) = key {
            self.queue(key);
        }
    }

    fn register(&mut self, key: usize, side: usize) -> io::Result<()> {
        match &mut self.wires[key].sides[side] {
            Some(socket) => self.poll.registry().register(
                &mut socket.stream,
                Owner::Side(key, side).token(),
                Interest::READABLE | Interest::WRITABLE,
            ),
            None => Ok(()),
        }
    }

    fn join(&mut self, id: usize, number: u64) {
        let Some(post) = &self.posts[id] else { return };
        let Some(key) = post.wires.get(&number).copied() else { return };
        let joined = TcpStream::connect(post.spec.target).and_then(|stream| {
            self.wires[key].sides[1] = Some(Side::new(stream, false));
            self.register(key, 1)
        });
        if let Err(error) = joined {
            self.failed(id, number, &error);
        }
    }

    /// The system would not have a connection.
    fn failed(&mut self, id: usize, number: u64, error: &io::Error) {
        let now = self.now();
        if let Some(post) = &mut self.posts[id] {
            post.link.not_joined(now, number);
        }
        self.close(id, number, true);
        self.refused(id, error);
        self.settle(id);
    }

    fn refused(&mut self, id: usize, error: &io::Error) {
        let what = What::Refused { error: error.to_string() };
        let at = self.start.elapsed();
        self.note(Event { at, link: LinkId(id as u32), connection: 0, way: None, what, bytes: 0 });
    }

    fn close(&mut self, id: usize, number: u64, resets: bool) {
        let Some(post) = &mut self.posts[id] else { return };
        let Some(key) = post.wires.remove(&number) else { return };
        let wire = self.wires.remove(key);
        if resets {
            wire.sides.iter().flatten().for_each(|side| reset(&side.stream));
        }
        self.descriptors -= 2;
    }

    fn note(&mut self, event: Event) {
        self.watchers.retain(|(like, found)| {
            let wanted = like(&event);
            if wanted {
                // Who waited may have given up.
                let _ = found.send(event.clone());
            }
            !wanted
        });
        self.trace.push(event);
    }

    fn post(&mut self, link: LinkId) -> Result<&mut Post, LinkError> {
        self.posts.get_mut(link.0 as usize).and_then(Option::as_mut).ok_or(LinkError::NoLink(link))
    }
}

/// What the handle asks.
impl Runner {
    pub fn add(&mut self, spec: LinkSpec) -> Result<(LinkId, SocketAddr), LinkError> {
        if self.descriptors + 1 > self.settings.descriptors {
            return Err(LinkError::Descriptors { used: self.descriptors, bound: self.settings.descriptors });
        }
        let id = self.posts.len();
        let mut listener = Listener::open(spec.listen).map_err(|error| match error.kind() {
            ErrorKind::AddrInUse => LinkError::PortTaken { name: spec.name.clone(), address: spec.listen },
            _ => LinkError::System { what: "listen", error },
        })?;
        let token = Owner::Listener(id).token();
        self.poll
            .registry()
            .register(&mut listener.socket, token, Interest::READABLE)
            .map_err(|error| LinkError::System { what: "watch a listener", error })?;
        let link = LinkId(id as u32);
        let address = listener.address;
        self.descriptors += 1;
        let core = Link::new(link, self.settings.seed, spec.messages, self.settings.queue);
        let wires = BTreeMap::new();
        self.posts.push(Some(Post { link: core, spec, listener, wires, wake: None, accept_again: None }));
        Ok((link, address))
    }

    pub fn remove(&mut self, link: LinkId) -> Result<(), LinkError> {
        let id = link.0 as usize;
        let numbers: Vec<u64> = self.post(link)?.wires.keys().copied().collect();
        for number in numbers {
            self.close(id, number, true);
        }
        if let Some(post) = self.posts[id].take() {
            self.descriptors -= 1;
            if let Some(wake) = post.wake {
                self.wakes.remove(&(wake, id));
            }
        }
        Ok(())
    }

    pub fn retarget(&mut self, link: LinkId, target: SocketAddr) -> Result<(), LinkError> {
        self.post(link)?.spec.target = target;
        Ok(())
    }

    pub fn begin(&mut self, link: LinkId, who: Who, fault: Fault) -> Result<FaultId, LinkError> {
        let only = match who {
            Who::Nth(number) => Some(number),
            Who::Every | Who::Here => None,
        };
        self.on(link, |core, now| core.begin(now, only, fault, None))
    }

    pub fn end(&mut self, link: LinkId, fault: FaultId) -> Result<(), LinkError> {
        let ended = self.on(link, |core, now| core.end(now, fault))?;
        if ended {
            Ok(())
        } else {
            Err(LinkError::NoFault(link, fault))
        }
    }

    pub fn heal(&mut self, link: LinkId) -> Result<(), LinkError> {
        self.on(link, |core, now| core.heal(now))
    }

    pub fn plan(&mut self, plan: Plan) -> Result<(), LinkError> {
        for entry in plan.entries() {
            self.post(entry.link)?;
            if never(entry) {
                return Err(LinkError::Never(Box::new(entry.clone())));
            }
        }
        for entry in plan.entries() {
            let entry: Entry = entry.clone();
            self.on(entry.link, |core, now| core.plan(now, entry))?;
        }
        Ok(())
    }

    pub fn fire(&mut self, name: &str) {
        let now = self.now();
        for id in 0..self.posts.len() {
            if let Some(post) = &mut self.posts[id] {
                post.link.signal(now, name);
                self.settle(id);
            }
        }
    }

    pub fn trace(&self) -> Trace {
        self.trace.clone()
    }

    pub fn counts(&self) -> Counts {
        let posts = || self.posts.iter().flatten();
        Counts {
            links: posts().count(),
            connections: self.wires.len(),
            descriptors: self.descriptors,
            waiting: posts().map(|post| post.link.waiting()).sum(),
            most_waiting: posts().map(|post| post.link.most_waiting()).max().unwrap_or(0),
        }
    }

    pub fn watch(&mut self, like: Box<dyn Fn(&Event) -> bool + Send>, found: Sender<Event>) {
        match self.trace.events().find(|event| like(event)) {
            // Who waited may have given up.
            Some(event) => drop(found.send(event.clone())),
            None => self.watchers.push((like, found)),
        }
    }

    pub fn stop(&mut self) {
        self.stopping = true;
    }

    fn on<T>(&mut self, link: LinkId, what: impl FnOnce(&mut Link, Time) -> T) -> Result<T, LinkError> {
        let now = self.now();
        let done = what(&mut self.post(link)?.link, now);
        self.settle(link.0 as usize);
        Ok(done)
    }
}

/// Reads what the sender of a direction has for it; whether anything came.
fn pull(link: &mut Link, wire: &mut Wire, direction: Direction, start: Instant, piece: &mut [u8]) -> bool {
    let Some(side) = &mut wire.sides[direction as usize] else { return false };
    let room = link.room(wire.number, direction).min(piece.len());
    if room == 0 || !side.readable || !side.connected || side.broken {
        return false;
    }
    let read = side.stream.read(&mut piece[..room]);
    let now = start.elapsed().as_nanos() as Time;
    match read {
        Ok(0) if side.was_reset => {
            side.broken = true;
            link.broke(now, wire.number, direction);
        }
        Ok(0) => {
            side.readable = false;
            link.ended(now, wire.number, direction);
        }
        Ok(count) => {
            // Less than there was room for: the system tells when more comes.
            side.readable = side.ends || count == room;
            link.arrived(now, wire.number, direction, &piece[..count]);
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => {
            side.readable = false;
            return false;
        }
        Err(error) if error.kind() == ErrorKind::Interrupted => {}
        Err(_) => {
            side.broken = true;
            link.broke(now, wire.number, direction);
        }
    }
    true
}

/// Writes what may pass to the receiver of a direction; whether anything passed.
fn push(link: &mut Link, wire: &mut Wire, direction: Direction, start: Instant) -> bool {
    let receiver = direction.other();
    let Some(side) = &mut wire.sides[receiver as usize] else { return false };
    let mut moved = false;
    while !side.broken {
        let now = start.elapsed().as_nanos() as Time;
        let wrote = match link.offer(now, wire.number, direction) {
            Offer::Nothing => break,
            Offer::Bytes(_) if !side.writable => break,
            Offer::Bytes(bytes) => side.stream.write(bytes),
            Offer::End => {
                // It fails only where the peer is gone, which shows at the next read or write.
                let _ = side.stream.shutdown(Shutdown::Write);
                link.end_passed(now, wire.number, direction);
                moved = true;
                continue;
            }
        };
        match wrote {
            Ok(count) => {
                link.wrote(now, wire.number, direction, count);
                moved = true;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => side.writable = false,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => {
                side.broken = true;
                link.broke(now, wire.number, receiver);
                moved = true;
            }
        }
    }
    moved
}
