//! The I/O thread: it serves the sockets. [`crate::core`] decides which bytes are forwarded when.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::mpsc::{Receiver, Sender};
use std::time::{Duration, Instant};

use cluster_model::{Time, MS};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token, Waker};
use slab::Slab;

use crate::core::{Action, Link, Listening, Opening, Output};
use crate::error::LinkError;
use crate::plan::{ConnectionSelector, Direction, Entry, Fault, FaultId, LinkId, Plan};
use crate::planned::can_never_fire;
use crate::set::{Counts, LinkSpec, Settings};
use crate::socket::{reset, Listener, WakeupTimer};
use crate::trace::{Event, EventKind, Trace};

/// A call from the handle, run on the thread.
pub(crate) type Command = Box<dyn FnOnce(&mut Runner) + Send>;
/// A predicate on events, and the channel that receives the first matching event.
type Watcher = (Box<dyn Fn(&Event) -> bool + Send>, Sender<Event>);

const WAKER: Token = Token(0);
const WAKEUP_TIMER: Token = Token(4);
/// Descriptors of the set itself: the poll, the waker, the timer, and one that is closed immediately, to
/// reset a connection or to plug a listener.
const OWN_DESCRIPTORS: usize = 4;
/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Rounds that one connection may run before others have their turn.
const MAX_ROUNDS_PER_TURN: usize = 16;
/// Delay before accepting again after a system error.
const ACCEPT_RETRY_DELAY: Time = 10 * MS;

/// Owner of a token; the lowest two bits encode the kind.
#[derive(Clone, Copy)]
enum Owner {
    Own,
    Listener(usize),
    Endpoint(usize, usize),
}

impl Owner {
    fn token(self) -> Token {
        match self {
            Owner::Own => WAKER,
            Owner::Listener(link) => Token(link << 2 | 1),
            Owner::Endpoint(relay, endpoint) => Token(relay << 2 | (2 + endpoint)),
        }
    }

    fn of(token: Token) -> Owner {
        match token.0 & 3 {
            0 => Owner::Own,
            1 => Owner::Listener(token.0 >> 2),
            kind => Owner::Endpoint(token.0 >> 2, kind - 2),
        }
    }
}

/// A link and its listener.
struct LinkState {
    link: Link,
    spec: LinkSpec,
    listener: Listener,
    /// Relay keys by connection number.
    relays: BTreeMap<u64, usize>,
    /// When the link's next timer expires.
    wake: Option<Time>,
    /// When accepting is retried.
    accept_retry_at: Option<Time>,
}

/// Socket of one side of a connection.
struct Endpoint {
    stream: TcpStream,
    connected: bool,
    readable: bool,
    writable: bool,
    /// The system reported an end of stream or an error, so reading continues until it is reached.
    ends: bool,
    broken: bool,
    /// The peer connected and reset the connection before the event was handled: its bytes can be read,
    /// followed by an end of stream that has to be treated as a reset.
    reset_after_connect: bool,
}

impl Endpoint {
    fn new(stream: TcpStream, connected: bool) -> Endpoint {
        // Without `TCP_NODELAY`, small messages may wait for the peer. If setting it fails, the link is only
        // slower.
        let _ = stream.set_nodelay(true);
        Endpoint {
            stream,
            connected,
            readable: connected,
            writable: connected,
            ends: false,
            broken: false,
            reset_after_connect: false,
        }
    }
}

/// Sockets of a connection: the client's, and the target's once the link has started to connect to it.
struct Relay {
    link: usize,
    number: u64,
    endpoints: [Option<Endpoint>; 2],
    /// Whether the relay is in the ready queue.
    queued: bool,
}

/// All links and their sockets.
pub(crate) struct Runner {
    settings: Settings,
    poll: Poll,
    wakeup_timer: WakeupTimer,
    armed: Option<Time>,
    commands_rx: Receiver<Command>,
    start: Instant,
    link_states: Vec<Option<LinkState>>,
    relays: Slab<Relay>,
    wakes: BTreeSet<(Time, usize)>,
    ready_queue: VecDeque<usize>,
    descriptors: usize,
    trace: Trace,
    watchers: Vec<Watcher>,
    stopping: bool,
    read_buffer: Box<[u8]>,
}

impl Runner {
    pub fn new(settings: Settings, commands_rx: Receiver<Command>) -> Result<(Runner, Waker), LinkError> {
        let system = |operation| move |error| LinkError::System { operation, error };
        let poll = Poll::new().map_err(system("open a poll"))?;
        let waker = Waker::new(poll.registry(), WAKER).map_err(system("open a waker"))?;
        let wakeup_timer =
            WakeupTimer::new(poll.registry(), WAKEUP_TIMER).map_err(system("open an alarm"))?;
        let runner = Runner {
            trace: Trace::new(settings.events),
            settings,
            poll,
            wakeup_timer,
            armed: None,
            commands_rx,
            start: Instant::now(),
            link_states: Vec::new(),
            relays: Slab::new(),
            wakes: BTreeSet::new(),
            ready_queue: VecDeque::new(),
            descriptors: OWN_DESCRIPTORS,
            watchers: Vec::new(),
            stopping: false,
            read_buffer: vec![0; READ_BUFFER_BYTES].into_boxed_slice(),
        };
        Ok((runner, waker))
    }

    /// Runs until it is stopped or the handle is dropped.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(1024);
        while !self.stopping {
            self.arm();
            let timeout = if self.ready_queue.is_empty() { None } else { Some(Duration::ZERO) };
            match self.poll.poll(&mut events, timeout) {
                Err(error) if error.kind() != ErrorKind::Interrupted => break,
                _ => {}
            }
            // Expired timers run before bytes that arrived meanwhile.
            self.run_expired_timers();
            for event in &events {
                match Owner::of(event.token()) {
                    Owner::Own => self.commands(),
                    Owner::Listener(link) => self.accept(link),
                    Owner::Endpoint(relay, endpoint) => self.ready(relay, endpoint, event),
                }
            }
            for _ in 0..self.ready_queue.len() {
                self.process_next();
            }
        }
        for (_, relay) in &self.relays {
            relay.endpoints.iter().flatten().for_each(|endpoint| reset(&endpoint.stream));
        }
    }

    fn now(&self) -> Time {
        self.start.elapsed().as_nanos() as Time
    }

    fn arm(&mut self) {
        let next = self.wakes.first().map(|(at, _)| *at);
        if next != self.armed {
            let after = next.map(|at| Duration::from_nanos(at.saturating_sub(self.now())));
            // Setting the timer fails only for invalid arguments.
            if self.wakeup_timer.set(after).is_ok() {
                self.armed = next;
            }
        }
    }

    fn run_expired_timers(&mut self) {
        let now = self.now();
        while let Some((at, link)) = self.wakes.first().copied().filter(|(at, _)| *at <= now) {
            self.wakes.remove(&(at, link));
            self.armed = None;
            let Some(state) = &mut self.link_states[link] else { continue };
            state.wake = None;
            state.link.poll(now);
            let accept = state.accept_retry_at.take_if(|again| *again <= now).is_some();
            self.run_actions(link);
            if accept {
                self.accept(link);
            }
        }
    }

    fn commands(&mut self) {
        while let Ok(command) = self.commands_rx.try_recv() {
            command(self);
        }
    }

    fn ready(&mut self, key: usize, endpoint: usize, event: &mio::event::Event) {
        let Some(relay) = self.relays.get_mut(key) else { return };
        let (link, number) = (relay.link, relay.number);
        let Some(socket) = &mut relay.endpoints[endpoint] else { return };
        socket.readable |= event.is_readable() || event.is_read_closed() || event.is_error();
        socket.ends |= event.is_read_closed() || event.is_error();
        socket.writable |= event.is_writable();
        if !socket.connected {
            return self.connected(key);
        }
        // A sender that has ended its stream, or that fills a cut link, is not read any more; only this event
        // shows that its socket failed.
        let direction = Direction::BOTH[endpoint];
        let now = self.start.elapsed().as_nanos() as Time;
        let breaks = |state: &&mut LinkState| state.link.error_counts_at_once(now, number, direction);
        if event.is_error() && !socket.broken {
            if let Some(state) = self.link_states[link].as_mut().filter(breaks) {
                socket.broken = true;
                state.link.socket_failed(now, number, direction);
            }
        }
        self.queue(key);
    }

    /// Checks whether the connection to a target was established.
    fn connected(&mut self, key: usize) {
        let now = self.now();
        let relay = &mut self.relays[key];
        let (link, number) = (relay.link, relay.number);
        let Some(socket) = &mut relay.endpoints[1] else { return };
        let Some(state) = &mut self.link_states[link] else { return };
        let refused = match socket.stream.take_error() {
            Ok(None) => false,
            // Only an established connection can be reset; one that was not established is refused.
            Ok(Some(error)) if matches!(error.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe) => {
                socket.reset_after_connect = true;
                false
            }
            _ => true,
        };
        if refused {
            state.link.target_connect_failed(now, number);
            self.close(link, number, true);
        } else if socket.reset_after_connect || socket.stream.peer_addr().is_ok() {
            socket.connected = true;
            socket.writable = true;
            state.link.target_connected(now, number);
        }
        self.run_actions(link);
    }

    fn queue(&mut self, key: usize) {
        let relay = &mut self.relays[key];
        if !std::mem::replace(&mut relay.queued, true) {
            self.ready_queue.push_back(key);
        }
    }

    fn process_next(&mut self) {
        let Some(key) = self.ready_queue.pop_front() else { return };
        // Keys are reused; processing a connection once too often is harmless.
        let Some(relay) = self.relays.get_mut(key) else { return };
        relay.queued = false;
        let (link, number) = (relay.link, relay.number);
        for _ in 0..MAX_ROUNDS_PER_TURN {
            let Some(state) = &mut self.link_states[link] else { return };
            let Some(relay) = self.relays.get_mut(key).filter(|relay| relay.number == number) else { return };
            let mut moved = false;
            for direction in Direction::BOTH {
                moved |=
                    read_from_sender(&mut state.link, relay, direction, self.start, &mut self.read_buffer);
                moved |= write_to_receiver(&mut state.link, relay, direction, self.start);
            }
            self.run_actions(link);
            if !moved {
                return;
            }
        }
        if self.relays.get(key).is_some_and(|relay| relay.link == link && relay.number == number) {
            self.queue(key);
        }
    }

    /// Performs the pending actions of a link and records its events.
    fn run_actions(&mut self, id: usize) {
        loop {
            let Some(state) = &mut self.link_states[id] else { return };
            let (actions, events) = (state.link.take_actions(), state.link.take_events());
            for event in events {
                self.record(event);
            }
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.execute(id, action);
            }
        }
        let Some(state) = &mut self.link_states[id] else { return };
        let wake = [state.link.next_wake(), state.accept_retry_at].into_iter().flatten().min();
        if wake != state.wake {
            if let Some(old) = state.wake {
                self.wakes.remove(&(old, id));
            }
            self.wakes.extend(wake.map(|at| (at, id)));
            state.wake = wake;
        }
    }

    fn execute(&mut self, id: usize, action: Action) {
        let Some(state) = &mut self.link_states[id] else { return };
        match action {
            Action::Connect(number) => self.join(id, number),
            Action::Reset(number) => self.close(id, number, true),
            Action::Close(number) => self.close(id, number, false),
            Action::Process(number) => {
                if let Some(key) = state.relays.get(&number).copied() {
                    self.queue(key);
                }
            }
            Action::ProcessAll => {
                for key in state.relays.values().copied().collect::<Vec<_>>() {
                    self.queue(key);
                }
            }
            Action::Listen(listening) => self.listen(id, listening),
        }
    }

    fn listen(&mut self, id: usize, listening: Listening) {
        // Connections that arrived before the fault are accepted; the fault affects later ones.
        self.accept(id);
        let Some(state) = &mut self.link_states[id] else { return };
        if let Err(error) = state.listener.set(listening) {
            self.record_refusal(id, &error);
        }
        self.accept(id);
    }

    fn accept(&mut self, id: usize) {
        loop {
            let now = self.now();
            let over_limit = self.descriptors + 2 > self.settings.descriptors;
            let Some(state) = self.link_states[id].as_mut().filter(|state| state.listener.is_open()) else {
                return;
            };
            let stream = match state.listener.socket.accept() {
                Ok((_, peer)) if state.listener.is_plug(peer) => {
                    state.listener.clear_plug();
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
                    state.accept_retry_at = Some(now + ACCEPT_RETRY_DELAY);
                    self.record_refusal(id, &error);
                    return self.run_actions(id);
                }
            };
            if over_limit {
                state.link.reject_over_limit(now);
                reset(&stream);
                drop(stream);
            } else {
                self.accept_connection(id, now, stream);
            }
            self.run_actions(id);
        }
    }

    fn accept_connection(&mut self, id: usize, now: Time, stream: TcpStream) {
        let Some(state) = &mut self.link_states[id] else { return };
        let (number, opening) = state.link.accept(now);
        if opening == Opening::Reset {
            return reset(&stream);
        }
        let endpoint = Endpoint::new(stream, true);
        let key =
            self.relays.insert(Relay { link: id, number, endpoints: [Some(endpoint), None], queued: false });
        state.relays.insert(number, key);
        self.descriptors += 2;
        let registered = self.register(key, 0);
        if let Err(error) = registered {
            return self.connection_failed(id, number, &error);
        }
        if opening == Opening::Connect {
            self.join(id, number);
        }
        self.queue_number(id, number);
    }

    fn queue_number(&mut self, id: usize, number: u64) {
        let key = self.link_states[id].as_ref().and_then(|state| state.relays.get(&number).copied());
        if let Some(key) = key {
            self.queue(key);
        }
    }

    fn register(&mut self, key: usize, endpoint: usize) -> io::Result<()> {
        match &mut self.relays[key].endpoints[endpoint] {
            Some(socket) => self.poll.registry().register(
                &mut socket.stream,
                Owner::Endpoint(key, endpoint).token(),
                Interest::READABLE | Interest::WRITABLE,
            ),
            None => Ok(()),
        }
    }

    fn join(&mut self, id: usize, number: u64) {
        let Some(state) = &self.link_states[id] else { return };
        let Some(key) = state.relays.get(&number).copied() else { return };
        let joined = TcpStream::connect(state.spec.target).and_then(|stream| {
            self.relays[key].endpoints[1] = Some(Endpoint::new(stream, false));
            self.register(key, 1)
        });
        if let Err(error) = joined {
            self.connection_failed(id, number, &error);
        }
    }

    /// Handles a connection that the system failed to register or to open.
    fn connection_failed(&mut self, id: usize, number: u64, error: &io::Error) {
        let now = self.now();
        if let Some(state) = &mut self.link_states[id] {
            state.link.target_connect_failed(now, number);
        }
        self.close(id, number, true);
        self.record_refusal(id, error);
        self.run_actions(id);
    }

    fn record_refusal(&mut self, id: usize, error: &io::Error) {
        let what = EventKind::Refused { error: error.to_string() };
        let at = self.start.elapsed();
        self.record(Event { at, link: LinkId(id as u32), connection: 0, way: None, what, bytes: 0 });
    }

    fn close(&mut self, id: usize, number: u64, resets: bool) {
        let Some(state) = &mut self.link_states[id] else { return };
        let Some(key) = state.relays.remove(&number) else { return };
        let relay = self.relays.remove(key);
        if resets {
            relay.endpoints.iter().flatten().for_each(|endpoint| reset(&endpoint.stream));
        }
        self.descriptors -= 2;
    }

    fn record(&mut self, event: Event) {
        self.watchers.retain(|(like, found)| {
            let wanted = like(&event);
            if wanted {
                // The waiting caller may have timed out.
                let _ = found.send(event.clone());
            }
            !wanted
        });
        self.trace.push(event);
    }

    fn state(&mut self, link: LinkId) -> Result<&mut LinkState, LinkError> {
        self.link_states.get_mut(link.0 as usize).and_then(Option::as_mut).ok_or(LinkError::NoLink(link))
    }
}

/// Calls of the handle.
impl Runner {
    pub fn add(&mut self, spec: LinkSpec) -> Result<(LinkId, SocketAddr), LinkError> {
        if self.descriptors + 1 > self.settings.descriptors {
            return Err(LinkError::Descriptors { used: self.descriptors, bound: self.settings.descriptors });
        }
        let id = self.link_states.len();
        let mut listener = Listener::open(spec.listen).map_err(|error| match error.kind() {
            ErrorKind::AddrInUse => LinkError::PortTaken { name: spec.name.clone(), address: spec.listen },
            _ => LinkError::System { operation: "listen", error },
        })?;
        let token = Owner::Listener(id).token();
        self.poll
            .registry()
            .register(&mut listener.socket, token, Interest::READABLE)
            .map_err(|error| LinkError::System { operation: "watch a listener", error })?;
        let link = LinkId(id as u32);
        let address = listener.address;
        self.descriptors += 1;
        let core = Link::new(link, self.settings.seed, spec.messages, self.settings.queue);
        let relays = BTreeMap::new();
        self.link_states.push(Some(LinkState {
            link: core,
            spec,
            listener,
            relays,
            wake: None,
            accept_retry_at: None,
        }));
        Ok((link, address))
    }

    pub fn remove(&mut self, link: LinkId) -> Result<(), LinkError> {
        let id = link.0 as usize;
        let numbers: Vec<u64> = self.state(link)?.relays.keys().copied().collect();
        for number in numbers {
            self.close(id, number, true);
        }
        if let Some(state) = self.link_states[id].take() {
            self.descriptors -= 1;
            if let Some(wake) = state.wake {
                self.wakes.remove(&(wake, id));
            }
        }
        Ok(())
    }

    pub fn retarget(&mut self, link: LinkId, target: SocketAddr) -> Result<(), LinkError> {
        self.state(link)?.spec.target = target;
        Ok(())
    }

    pub fn begin(
        &mut self,
        link: LinkId,
        who: ConnectionSelector,
        fault: Fault,
    ) -> Result<FaultId, LinkError> {
        let only = match who {
            ConnectionSelector::Nth(number) => Some(number),
            ConnectionSelector::Every | ConnectionSelector::Here => None,
        };
        self.with_link(link, |core, now| core.begin(now, only, fault, None))
    }

    pub fn end(&mut self, link: LinkId, fault: FaultId) -> Result<(), LinkError> {
        let ended = self.with_link(link, |core, now| core.end(now, fault))?;
        if ended {
            Ok(())
        } else {
            Err(LinkError::NoFault(link, fault))
        }
    }

    pub fn heal(&mut self, link: LinkId) -> Result<(), LinkError> {
        self.with_link(link, |core, now| core.heal(now))
    }

    pub fn plan(&mut self, plan: Plan) -> Result<(), LinkError> {
        for entry in plan.entries() {
            self.state(entry.link)?;
            if can_never_fire(entry) {
                return Err(LinkError::Never(Box::new(entry.clone())));
            }
        }
        for entry in plan.entries() {
            let entry: Entry = entry.clone();
            self.with_link(entry.link, |core, now| core.plan(now, entry))?;
        }
        Ok(())
    }

    pub fn send_signal(&mut self, name: &str) {
        let now = self.now();
        for id in 0..self.link_states.len() {
            if let Some(state) = &mut self.link_states[id] {
                state.link.signal(now, name);
                self.run_actions(id);
            }
        }
    }

    pub fn trace(&self) -> Trace {
        self.trace.clone()
    }

    pub fn counts(&self) -> Counts {
        let link_states = || self.link_states.iter().flatten();
        Counts {
            links: link_states().count(),
            connections: self.relays.len(),
            descriptors: self.descriptors,
            waiting: link_states().map(|state| state.link.waiting()).sum(),
            most_waiting: link_states().map(|state| state.link.most_waiting()).max().unwrap_or(0),
        }
    }

    pub fn watch(&mut self, like: Box<dyn Fn(&Event) -> bool + Send>, found: Sender<Event>) {
        match self.trace.events().find(|event| like(event)) {
            // The waiting caller may have timed out.
            Some(event) => drop(found.send(event.clone())),
            None => self.watchers.push((like, found)),
        }
    }

    pub fn stop(&mut self) {
        self.stopping = true;
    }

    fn with_link<T>(
        &mut self,
        link: LinkId,
        call: impl FnOnce(&mut Link, Time) -> T,
    ) -> Result<T, LinkError> {
        let now = self.now();
        let done = call(&mut self.state(link)?.link, now);
        self.run_actions(link.0 as usize);
        Ok(done)
    }
}

/// Reads from the sender of a direction. Returns false if there was nothing to read.
fn read_from_sender(
    link: &mut Link,
    relay: &mut Relay,
    direction: Direction,
    start: Instant,
    read_buffer: &mut [u8],
) -> bool {
    let Some(endpoint) = &mut relay.endpoints[direction as usize] else { return false };
    let room = link.read_capacity(relay.number, direction).min(read_buffer.len());
    if room == 0 || !endpoint.readable || !endpoint.connected || endpoint.broken {
        return false;
    }
    let read = endpoint.stream.read(&mut read_buffer[..room]);
    let now = start.elapsed().as_nanos() as Time;
    match read {
        Ok(0) if endpoint.reset_after_connect => {
            endpoint.broken = true;
            link.socket_failed(now, relay.number, direction);
        }
        Ok(0) => {
            endpoint.readable = false;
            link.sender_ended(now, relay.number, direction);
        }
        Ok(count) => {
            // Fewer bytes than requested were read: the system reports when more arrive.
            endpoint.readable = endpoint.ends || count == room;
            link.bytes_received(now, relay.number, direction, &read_buffer[..count]);
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => {
            endpoint.readable = false;
            return false;
        }
        Err(error) if error.kind() == ErrorKind::Interrupted => {}
        Err(_) => {
            endpoint.broken = true;
            link.socket_failed(now, relay.number, direction);
        }
    }
    true
}

/// Writes the data that may be forwarded to the receiver of a direction. Returns whether anything was
/// written.
fn write_to_receiver(link: &mut Link, relay: &mut Relay, direction: Direction, start: Instant) -> bool {
    let receiver = direction.other();
    let Some(endpoint) = &mut relay.endpoints[receiver as usize] else { return false };
    let mut moved = false;
    while !endpoint.broken {
        let now = start.elapsed().as_nanos() as Time;
        let wrote = match link.next_output(now, relay.number, direction) {
            Output::Nothing => break,
            Output::Bytes(_) if !endpoint.writable => break,
            Output::Bytes(bytes) => endpoint.stream.write(bytes),
            Output::End => {
                // The call fails only if the peer has closed, which the next read or write reports.
                let _ = endpoint.stream.shutdown(Shutdown::Write);
                link.end_written(now, relay.number, direction);
                moved = true;
                continue;
            }
        };
        match wrote {
            Ok(count) => {
                link.bytes_written(now, relay.number, direction, count);
                moved = true;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => endpoint.writable = false,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => {
                endpoint.broken = true;
                link.socket_failed(now, relay.number, receiver);
                moved = true;
            }
        }
    }
    moved
}
