//! A link without I/O and without a clock. Its driver reports what happened and when, and asks what may be
//! forwarded:
//!
//! 1. [`Link::accept`] when a client connects; [`Link::target_connected`] when the target accepts the connection.
//! 2. [`Link::read_capacity`] returns how many bytes may be read from a sender; [`Link::bytes_received`] and
//!    [`Link::sender_ended`] report them.
//! 3. [`Link::next_output`] returns what may be written to a receiver; [`Link::bytes_written`] and
//!    [`Link::end_written`] report that it was.
//! 4. [`Link::socket_failed`] when the socket of one side has failed.
//! 5. After each of these, and after [`Link::poll`], which has to be called at [`Link::next_wake`]: the driver
//!    performs [`Link::take_actions`] and processes the connections that they name.
//!
//! All timers that expire at an instant run before any byte that is ready at that instant: `poll` comes first.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use cluster_model::rng::Rng;
use cluster_model::Time;

use crate::faults::{nanos, Faults};
pub use crate::faults::{Listening, Opening};
use crate::flow::{Flow, ReceiverState, ScanContext, SenderState, Stop};
use crate::plan::{ConnectionSelector, Direction, End, Entry, Fault, FaultId, LinkId, Trigger};
use crate::planned::{EntryIndex, PlannedFaults};
use crate::set::Framing;
use crate::trace::{Event, EventKind, LastActivity, Place};

/// Action that the driver of a link has to perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect a waiting connection to the target.
    Connect(u64),
    /// Reset a connection on both sides. The link has already removed it.
    Reset(u64),
    /// Close a connection that has ended in order. The link has already removed it.
    Close(u64),
    /// Process a connection: it may be able to forward data.
    Process(u64),
    /// Process all connections.
    ProcessAll,
    /// Switch the listener to this state.
    Listen(Listening),
}

/// Data that may be written to a receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output<'a> {
    /// Nothing at present.
    Nothing,
    /// These bytes or a prefix of them.
    Bytes(&'a [u8]),
    /// An end of stream, with nothing after it.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Connecting,
    Open,
}

#[derive(Debug)]
struct Connection {
    phase: Phase,
    flows: [Flow; 2],
    /// The `End::Silence` fault that stopped all forwarding on this connection.
    silenced_by: Option<FaultId>,
}

/// Timers. Those that expire at the same instant run in the order of this type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    End(FaultId),
    Begin(EntryIndex),
    Flap(FaultId),
    Flow(u64, Direction),
}

/// State machine of one link.
#[derive(Debug)]
pub struct Link {
    id: LinkId,
    seed: u64,
    messages: Framing,
    /// Maximum bytes queued in one direction of a connection.
    max_queued: usize,
    /// Number of accepted connections.
    accepted: u64,
    connections: BTreeMap<u64, Connection>,
    faults: Faults,
    planned: PlannedFaults,
    timers: BTreeSet<(Time, Timer)>,
    last: LastActivity,
    listening: Listening,
    actions: VecDeque<Action>,
    events: Vec<Event>,
    most_waiting: usize,
}

impl Link {
    /// Creates a link without faults. `max_queued` is the maximum number of bytes queued in one direction of
    /// a connection.
    pub fn new(id: LinkId, seed: u64, messages: Framing, max_queued: usize) -> Link {
        Link {
            id,
            seed,
            messages,
            max_queued: max_queued.max(1),
            accepted: 0,
            connections: BTreeMap::new(),
            faults: Faults::default(),
            planned: PlannedFaults::default(),
            timers: BTreeSet::new(),
            last: LastActivity::Nothing,
            listening: Listening::Open,
            actions: VecDeque::new(),
            events: Vec::new(),
            most_waiting: 0,
        }
    }

    /// Handles a new client connection. Returns its number, from 1, and how to treat it.
    pub fn accept(&mut self, now: Time) -> (u64, Opening) {
        self.accepted += 1;
        let number = self.accepted;
        self.last = LastActivity::Connecting(number);
        // Lasting faults start before the connection is processed; immediate faults need the connection to
        // exist.
        let planned = self.planned.connection(number);
        let (immediate, lasting): (Vec<_>, Vec<_>) =
            planned.into_iter().partition(|index| self.planned.entry(*index).is_immediate());
        for index in lasting {
            self.begin_entry(now, index, Some(number));
        }
        let opening = self.faults.opening(now, number);
        match opening {
            Opening::Reset => self.record(now, number, None, EventKind::TurnedAway, 0),
            Opening::Connect => self.insert(now, number, Phase::Connecting, EventKind::Accepted),
            Opening::Wait => self.insert(now, number, Phase::Waiting, EventKind::Waits),
        }
        for index in immediate {
            self.begin_entry(now, index, Some(number));
        }
        for direction in Direction::BOTH {
            self.run_stops(now, number, direction);
        }
        if opening != Opening::Reset && !self.connections.contains_key(&number) {
            // The connection has already ended, so the target is not contacted.
            self.actions.retain(|action| *action != Action::Reset(number));
            return (number, Opening::Reset);
        }
        (number, opening)
    }

    fn insert(&mut self, now: Time, number: u64, phase: Phase, kind: EventKind) {
        self.record(now, number, None, kind, 0);
        self.last = LastActivity::Passed(Place { connection: number, way: Direction::Calls, bytes: 0 });
        let flows = Direction::BOTH.map(|direction| self.new_flow(number, direction));
        self.connections.insert(number, Connection { phase, flows, silenced_by: None });
    }

    fn new_flow(&mut self, number: u64, direction: Direction) -> Flow {
        // Each direction of each connection of each link has its own random stream.
        let part = (u64::from(self.id.0) << 40) ^ (number << 1) ^ direction as u64;
        let mut flow = Flow::new(direction, self.messages, Rng::stream(self.seed, "link", part));
        for (index, bytes) in self.planned.places(number, direction) {
            flow.stop_at(bytes, Stop::Entry(index));
        }
        for active in self.faults.on(number) {
            if let Fault::DropAfter { way, bytes, .. } = &active.fault {
                if *way == direction {
                    flow.stop_at(*bytes, Stop::Fault(active.id));
                }
            }
        }
        flow
    }

    /// Records a connection that has to be reset because the descriptor limit is reached.
    pub fn reject_over_limit(&mut self, now: Time) {
        self.accepted += 1;
        self.record(now, self.accepted, None, EventKind::OverBound, 0);
    }

    /// Handles an established connection to the target.
    pub fn target_connected(&mut self, now: Time, number: u64) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.phase = Phase::Open;
            self.record(now, number, None, EventKind::Joined, 0);
            self.actions.push_back(Action::Process(number));
        }
    }

    /// Handles a failed connection to the target: the driver has to reset the client's connection, and the
    /// link removes it.
    pub fn target_connect_failed(&mut self, now: Time, number: u64) {
        if self.connections.remove(&number).is_some() {
            self.record(now, number, None, EventKind::NotJoined, 0);
        }
    }

    /// Returns how many bytes may be read from the sender of a direction; at 0 the sender must not be read.
    pub fn read_capacity(&self, number: u64, direction: Direction) -> usize {
        self.flow(number, direction).map_or(0, |flow| flow.read_capacity(self.max_queued))
    }

    /// Returns whether a socket error of the sender takes effect immediately instead of after the bytes that
    /// can still be read: true if the sender has already ended its stream, or if its bytes are lost because
    /// nothing can be forwarded.
    pub fn error_counts_at_once(&self, now: Time, number: u64, direction: Direction) -> bool {
        let ended = self.flow(number, direction).is_some_and(|flow| flow.sender != SenderState::Open);
        ended || self.faults.cuts(now, number, direction)
    }

    /// Queues bytes from the sender; at most as many as [`Link::read_capacity`] allowed.
    pub fn bytes_received(&mut self, now: Time, number: u64, direction: Direction, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let flow = &mut connection.flows[direction.index()];
        if flow.receiver != ReceiverState::Open {
            return;
        }
        let due = now.saturating_add(self.faults.delay(number, direction, flow.rng()));
        flow.queue.push(bytes, due);
        self.most_waiting = self.most_waiting.max(flow.queue.len());
    }

    /// Handles the end of stream of a sender.
    pub fn sender_ended(&mut self, now: Time, number: u64, direction: Direction) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let flow = &mut connection.flows[direction.index()];
        if flow.sender != SenderState::Open {
            return;
        }
        let due = now.saturating_add(self.faults.delay(number, direction, flow.rng()));
        flow.sender = SenderState::End(due);
        if matches!(flow.receiver, ReceiverState::Ended | ReceiverState::Gone) {
            flow.sender = SenderState::Passed;
        }
        self.close_if_finished(now, number);
    }

    /// Handles a failed socket of the sender of a direction: it neither sends nor receives any more. The
    /// bytes it sent and then a reset are forwarded to the other side; only the reset if the direction is
    /// currently cut.
    pub fn socket_failed(&mut self, now: Time, number: u64, direction: Direction) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        if connection.phase == Phase::Waiting {
            // The target has not been contacted yet.
            return self.reset(now, number, EventKind::Broke);
        }
        let cut = self.faults.cuts(now, number, direction);
        let [calls, answers] = &mut connection.flows;
        let (flow, back) = if direction == Direction::Calls { (calls, answers) } else { (answers, calls) };
        back.receiver = ReceiverState::Gone;
        back.queue.clear();
        if matches!(flow.sender, SenderState::Open | SenderState::End(_)) {
            if cut {
                flow.queue.clear();
            }
            let due = now.saturating_add(self.faults.delay(number, direction, flow.rng()));
            flow.sender = SenderState::Reset(due);
            let passed = flow.passed;
            self.record(now, number, Some(direction), EventKind::Broke, passed);
        } else if flow.sender == SenderState::Passed {
            // The sender had ended its stream; the other side may still send and has to be notified.
            flow.sender = SenderState::Reset(now);
        }
        if self
            .flow(number, direction.other())
            .is_some_and(|back| matches!(back.sender, SenderState::Reset(_)))
        {
            return self.remove_connection(now, number, EventKind::Closed, Action::Close(number));
        }
        self.actions.push_back(Action::Process(number));
    }

    /// Returns the data that may be written in a direction now. If data becomes ready later,
    /// [`Link::next_wake`] returns the time.
    pub fn next_output(&mut self, now: Time, number: u64, direction: Direction) -> Output<'_> {
        match self.next_output_kind(now, number, direction) {
            OutputKind::Nothing => Output::Nothing,
            OutputKind::End => Output::End,
            OutputKind::Bytes(count) => match self.flow(number, direction) {
                Some(flow) => Output::Bytes(flow.queue.front(count)),
                None => Output::Nothing,
            },
        }
    }

    fn next_output_kind(&mut self, now: Time, number: u64, direction: Direction) -> OutputKind {
        loop {
            let Some(connection) = self.connections.get_mut(&number) else { return OutputKind::Nothing };
            let flow = &mut connection.flows[direction.index()];
            if connection.phase != Phase::Open || flow.receiver == ReceiverState::Gone {
                return OutputKind::Nothing;
            }
            if flow.receiver == ReceiverState::Ending {
                return OutputKind::End;
            }
            if self.faults.blocks(now, number, direction) || connection.silenced_by.is_some() {
                return OutputKind::Nothing;
            }
            if flow.receiver == ReceiverState::Ended && !matches!(flow.sender, SenderState::Reset(_)) {
                return OutputKind::Nothing;
            }
            let ready = flow.queue.ready(now);
            if ready == 0 {
                return self.next_end(now, number, direction);
            }
            let most = match self.faults.rate(number, direction).map(|rate| flow.allowance(now, rate)) {
                Some(Err(later)) => return self.wake_later(number, direction, later),
                Some(Ok(allowed)) => ready.min(allowed),
                None => ready,
            };
            let message_cuts = self.faults.cut_messages(number, direction);
            let count = flow.scan(most, &mut ScanContext { planned: &mut self.planned, message_cuts });
            if count > 0 {
                return OutputKind::Bytes(count);
            }
            // A stop lies at exactly this position; running it removes it.
            self.run_stops(now, number, direction);
        }
    }

    /// Returns the output if no bytes are ready.
    fn next_end(&mut self, now: Time, number: u64, direction: Direction) -> OutputKind {
        let Some(flow) = self.flow(number, direction) else { return OutputKind::Nothing };
        match (flow.queue.next_ready_at(), flow.sender) {
            (Some(due), _) => self.wake_later(number, direction, due),
            (None, SenderState::End(due) | SenderState::Reset(due)) if due > now => {
                self.wake_later(number, direction, due)
            }
            (None, SenderState::End(_)) => OutputKind::End,
            (None, SenderState::Reset(_)) => {
                self.reset(now, number, EventKind::Reset);
                OutputKind::Nothing
            }
            (None, SenderState::Open | SenderState::Passed) => OutputKind::Nothing,
        }
    }

    fn wake_later(&mut self, number: u64, direction: Direction, at: Time) -> OutputKind {
        let Some(connection) = self.connections.get_mut(&number) else { return OutputKind::Nothing };
        let old = connection.flows[direction.index()].wake.replace(at);
        if let Some(old) = old.filter(|old| *old != at) {
            self.timers.remove(&(old, Timer::Flow(number, direction)));
        }
        self.timers.insert((at, Timer::Flow(number, direction)));
        OutputKind::Nothing
    }

    /// Records that `count` of the offered bytes were written.
    pub fn bytes_written(&mut self, now: Time, number: u64, direction: Direction, count: usize) {
        let rate = self.faults.rate(number, direction);
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let flow = &mut connection.flows[direction.index()];
        flow.queue.pop(count);
        flow.passed += count as u64;
        if let Some(rate) = rate {
            flow.spend(now, rate, count);
        }
        self.last = LastActivity::Passed(Place { connection: number, way: direction, bytes: flow.passed });
        self.run_stops(now, number, direction);
    }

    /// Records that the offered end of stream was written.
    pub fn end_written(&mut self, now: Time, number: u64, direction: Direction) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let flow = &mut connection.flows[direction.index()];
        let kind = if flow.receiver == ReceiverState::Ending {
            flow.receiver = ReceiverState::Ended;
            EventKind::HalfClosed
        } else {
            EventKind::End
        };
        if matches!(flow.sender, SenderState::End(_)) {
            flow.sender = SenderState::Passed;
        }
        let passed = flow.passed;
        self.record(now, number, Some(direction), kind, passed);
        self.close_if_finished(now, number);
    }

    fn close_if_finished(&mut self, now: Time, number: u64) {
        let is_finished =
            |connection: &Connection| connection.flows.iter().all(|flow| flow.sender == SenderState::Passed);
        if self.connections.get(&number).is_some_and(is_finished) {
            self.remove_connection(now, number, EventKind::Closed, Action::Close(number));
        }
    }

    /// Runs all expired timers.
    pub fn poll(&mut self, now: Time) {
        while let Some((at, timer)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, timer));
            match timer {
                Timer::End(id) => drop(self.end(now, id)),
                Timer::Begin(index) => self.begin_entry(now, index, None),
                Timer::Flap(id) => self.flapped(now, id),
                Timer::Flow(number, direction) => {
                    if let Some(connection) = self.connections.get_mut(&number) {
                        connection.flows[direction.index()].wake = None;
                        self.actions.push_back(Action::Process(number));
                    }
                }
            }
        }
    }

    /// Returns when the next timer expires.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Takes the pending actions in order.
    pub fn take_actions(&mut self) -> VecDeque<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the events for the trace.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns the number of queued bytes.
    pub fn waiting(&self) -> usize {
        let flows = self.connections.values().flat_map(|connection| &connection.flows);
        flows.map(|flow| flow.queue.len()).sum()
    }

    /// Returns the maximum number of bytes ever queued in one direction of a connection.
    pub fn most_waiting(&self) -> usize {
        self.most_waiting
    }

    /// Adds an entry of a plan. Messages, patterns and connections that have already occurred do not trigger
    /// it.
    pub fn plan(&mut self, now: Time, entry: Entry) {
        let (when, wait) = entry.when.parts();
        let place = match when {
            Trigger::Bytes { connection, way, bytes } => Some((*connection, *way, *bytes)),
            _ => None,
        };
        let at = match when {
            Trigger::At(at) => Some(nanos(*at)),
            _ => wait.map(|wait| now.saturating_add(nanos(wait))),
        };
        let index = self.planned.add(entry);
        if let Some(at) = at {
            self.timers.insert((at, Timer::Begin(index)));
            self.poll(now);
        }
        let Some((number, way, bytes)) = place else { return };
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.flows[way.index()].stop_at(bytes, Stop::Entry(index));
            self.run_stops(now, number, way);
        }
    }

    /// Starts the entries that wait for a signal.
    pub fn signal(&mut self, now: Time, name: &str) {
        for index in self.planned.signal(name) {
            self.begin_entry(now, index, None);
        }
    }

    fn begin_entry(&mut self, now: Time, index: EntryIndex, here: Option<u64>) {
        let Some(entry) = self.planned.begin(index) else { return };
        let only = match entry.who {
            ConnectionSelector::Every => None,
            ConnectionSelector::Nth(number) => Some(number),
            ConnectionSelector::Here => here,
        };
        match entry.fault {
            Some(fault) => drop(self.begin(now, only, fault, entry.lasts)),
            None => self.heal(now),
        }
    }

    /// Starts a fault on one connection or on all.
    pub fn begin(&mut self, now: Time, only: Option<u64>, fault: Fault, lasts: Option<Duration>) -> FaultId {
        let id = self.faults.number();
        let began = EventKind::Began { id, fault: fault.clone(), only, after: self.last };
        self.record(now, only.unwrap_or(0), None, began, 0);
        match fault {
            Fault::Reset => {
                for number in self.connections_matching(only) {
                    self.reset(now, number, EventKind::Reset);
                }
            }
            Fault::HalfClose { way } => {
                for number in self.connections_matching(only) {
                    self.half_close(number, &Direction::BOTH.map(|one| (one, way.covers(one))));
                }
            }
            fault => self.begin_lasting(now, id, only, fault, lasts),
        }
        id
    }

    fn begin_lasting(
        &mut self,
        now: Time,
        id: FaultId,
        only: Option<u64>,
        fault: Fault,
        lasts: Option<Duration>,
    ) {
        self.faults.add(now, id, only, fault.clone());
        if let Some(lasts) = lasts {
            self.timers.insert((now.saturating_add(nanos(lasts)), Timer::End(id)));
        }
        match fault {
            Fault::Flap { .. } => self.flapped(now, id),
            Fault::DropAfter { way, bytes, .. } => {
                for number in self.connections_matching(only) {
                    self.with_flow(number, way, |flow| flow.stop_at(bytes, Stop::Fault(id)));
                    self.run_stops(now, number, way);
                }
            }
            Fault::CutMessage { way, message, bytes, .. } => {
                for number in self.connections_matching(only) {
                    self.with_flow(number, way, |flow| flow.stop_in_message(message, bytes, Stop::Fault(id)));
                    self.run_stops(now, number, way);
                }
            }
            Fault::Refuse | Fault::Unanswered => self.listen(),
            _ => {}
        }
    }

    /// Ends a fault. Returns whether it was active.
    pub fn end(&mut self, now: Time, id: FaultId) -> bool {
        let Some(ended) = self.faults.remove(id) else { return false };
        self.timers.retain(|(_, timer)| *timer != Timer::End(id) && *timer != Timer::Flap(id));
        for connection in self.connections.values_mut() {
            connection.flows.iter_mut().for_each(|flow| flow.remove_fault_stops(id));
            if connection.silenced_by == Some(id) {
                connection.silenced_by = None;
            }
        }
        let waiting = self.waiting() as u64;
        self.record(now, ended.only.unwrap_or(0), None, EventKind::Ended { id }, waiting);
        self.listen();
        self.resume_blocked(now);
        true
    }

    /// Ends all faults in the order in which they started.
    pub fn heal(&mut self, now: Time) {
        for id in self.faults.ids() {
            self.end(now, id);
        }
        let waiting = self.waiting() as u64;
        self.record(now, 0, None, EventKind::Healed, waiting);
    }

    fn flapped(&mut self, now: Time, id: FaultId) {
        let Some((cut, until)) = self.faults.flapping(now, id) else { return };
        self.timers.insert((until, Timer::Flap(id)));
        let only = self.faults.get(id).and_then(|active| active.only);
        self.record(now, only.unwrap_or(0), None, EventKind::Flapped { id, cut }, 0);
        if !cut {
            self.resume_blocked(now);
        }
    }

    /// Connects waiting connections and processes all others after a fault stopped blocking them.
    fn resume_blocked(&mut self, now: Time) {
        for (number, connection) in &mut self.connections {
            if connection.phase == Phase::Waiting && self.faults.opening(now, *number) != Opening::Wait {
                connection.phase = Phase::Connecting;
                self.actions.push_back(Action::Connect(*number));
            }
        }
        self.actions.push_back(Action::ProcessAll);
    }

    fn listen(&mut self) {
        let wanted = self.faults.listening();
        if std::mem::replace(&mut self.listening, wanted) != wanted {
            self.actions.push_back(Action::Listen(wanted));
        }
    }

    /// Runs the stops that a direction has reached.
    fn run_stops(&mut self, now: Time, number: u64, direction: Direction) {
        loop {
            let Some(connection) = self.connections.get_mut(&number) else { return };
            match connection.flows[direction.index()].take_reached_stop() {
                Some(Stop::Entry(index)) => self.begin_entry(now, index, Some(number)),
                Some(Stop::Fault(id)) => self.end_connection(now, number, id),
                None => return,
            }
        }
    }

    fn end_connection(&mut self, now: Time, number: u64, id: FaultId) {
        let end = match self.faults.get(id).map(|active| &active.fault) {
            Some(Fault::DropAfter { end, .. } | Fault::CutMessage { end, .. }) => *end,
            _ => return,
        };
        match end {
            End::Reset => self.reset(now, number, EventKind::Reset),
            End::Close => self.half_close(number, &Direction::BOTH.map(|one| (one, true))),
            End::Silence => {
                if let Some(connection) = self.connections.get_mut(&number) {
                    connection.silenced_by = Some(id);
                }
                let passed = self.passed(number);
                self.record(now, number, None, EventKind::Silenced, passed);
            }
        }
    }

    fn half_close(&mut self, number: u64, which: &[(Direction, bool); 2]) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        for (direction, _) in which.iter().filter(|(_, ends)| *ends) {
            let flow = &mut connection.flows[direction.index()];
            if flow.receiver == ReceiverState::Open && flow.sender != SenderState::Passed {
                flow.receiver = ReceiverState::Ending;
                flow.queue.clear();
            }
        }
        self.actions.push_back(Action::Process(number));
    }

    fn reset(&mut self, now: Time, number: u64, kind: EventKind) {
        self.remove_connection(now, number, kind, Action::Reset(number));
    }

    fn remove_connection(&mut self, now: Time, number: u64, kind: EventKind, action: Action) {
        let passed = self.passed(number);
        if let Some(connection) = self.connections.remove(&number) {
            for flow in connection.flows {
                if let Some(at) = flow.wake {
                    self.timers.remove(&(at, Timer::Flow(number, flow.direction)));
                }
            }
            self.record(now, number, None, kind, passed);
            self.actions.push_back(action);
        }
    }

    /// Returns the open connections that a fault affects.
    fn connections_matching(&self, only: Option<u64>) -> Vec<u64> {
        let affected = |number: &u64| only.is_none_or(|only| only == *number);
        self.connections.keys().copied().filter(affected).collect()
    }

    fn flow(&self, number: u64, direction: Direction) -> Option<&Flow> {
        self.connections.get(&number).map(|connection| &connection.flows[direction.index()])
    }

    fn with_flow(&mut self, number: u64, direction: Direction, update: impl FnOnce(&mut Flow)) {
        if let Some(connection) = self.connections.get_mut(&number) {
            update(&mut connection.flows[direction.index()]);
        }
    }

    fn passed(&self, number: u64) -> u64 {
        let connection = self.connections.get(&number);
        connection.map_or(0, |connection| connection.flows.iter().map(|flow| flow.passed).sum())
    }

    fn record(&mut self, now: Time, connection: u64, way: Option<Direction>, kind: EventKind, bytes: u64) {
        let at = Duration::from_nanos(now);
        self.events.push(Event { at, link: self.id, connection, way, what: kind, bytes });
    }
}

enum OutputKind {
    Nothing,
    Bytes(usize),
    End,
}
