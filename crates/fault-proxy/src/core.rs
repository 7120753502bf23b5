//! A link without I/O and clock. Who drives it says what happened and when, and asks what may pass:
//!
//! 1. [`Link::accept`] when somebody connects; [`Link::joined`] when the target has taken the connection.
//! 2. [`Link::room`] bytes may be read from a sender; [`Link::arrived`] and [`Link::ended`] tell of them.
//! 3. [`Link::offer`] says what may be written to a receiver; [`Link::wrote`] and [`Link::end_passed`] that it was.
//! 4. [`Link::broke`] when one side's socket turns out broken.
//! 5. After each of these and after [`Link::poll`], which is due at [`Link::next_wake`]: [`Link::deeds`] are to
//!    be done, and connections they name to be looked at again.
//!
//! All that is due at an instant happens before any byte that is due then: `poll` comes first.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use cluster_model::rng::Rng;
use cluster_model::Time;

use crate::faults::{nanos, Faults};
pub use crate::faults::{Listening, Opening};
use crate::flow::{Flow, Head, Stop, Tail, Watch};
use crate::moments::{Index, Moments};
use crate::plan::{Direction, End, Entry, Fault, FaultId, LinkId, Moment, Who};
use crate::set::Messages;
use crate::trace::{Event, Last, Place, What};

/// What whoever drives a link has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deed {
    /// Lead a connection that waits to the target.
    Join(u64),
    /// Reset a connection on both sides. The link knows it no more.
    Reset(u64),
    /// Close a connection that has ended in order. The link knows it no more.
    Close(u64),
    /// Look at a connection: something may pass.
    Look(u64),
    /// Look at all of them.
    LookAtAll,
    /// Let the listener do this from now on.
    Listen(Listening),
}

/// What may pass to a receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer<'a> {
    /// Nothing now.
    Nothing,
    /// These bytes, or the first of them.
    Bytes(&'a [u8]),
    /// An end, and nothing after it.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Joining,
    Open,
}

#[derive(Debug)]
struct Connection {
    phase: Phase,
    flows: [Flow; 2],
    /// Nothing passes any more, by this fault.
    silenced: Option<FaultId>,
}

/// What falls due; at the same instant in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    End(FaultId),
    Begin(Index),
    Flap(FaultId),
    Flow(u64, Direction),
}

/// A link.
#[derive(Debug)]
pub struct Link {
    id: LinkId,
    seed: u64,
    messages: Messages,
    /// Bytes that may wait in one direction of a connection.
    bound: usize,
    /// Connections that were accepted.
    count: u64,
    connections: BTreeMap<u64, Connection>,
    faults: Faults,
    moments: Moments,
    timers: BTreeSet<(Time, Timer)>,
    last: Last,
    listening: Listening,
    deeds: VecDeque<Deed>,
    notes: Vec<Event>,
    most_waiting: usize,
}

impl Link {
    /// A link that is whole. `bound` is how many bytes may wait in one direction of a connection.
    pub fn new(id: LinkId, seed: u64, messages: Messages, bound: usize) -> Link {
        Link {
            id,
            seed,
            messages,
            bound: bound.max(1),
            count: 0,
            connections: BTreeMap::new(),
            faults: Faults::default(),
            moments: Moments::default(),
            timers: BTreeSet::new(),
            last: Last::Nothing,
            listening: Listening::Open,
            deeds: VecDeque::new(),
            notes: Vec::new(),
            most_waiting: 0,
        }
    }

    /// Somebody has connected: the connection's number, from 1, and what becomes of it.
    pub fn accept(&mut self, now: Time) -> (u64, Opening) {
        self.count += 1;
        let number = self.count;
        self.last = Last::Connecting(number);
        // What lasts comes before anything is done with it, what is done at once needs it to be there.
        let planned = self.moments.connection(number);
        let (deeds, lasting): (Vec<_>, Vec<_>) =
            planned.into_iter().partition(|index| self.moments.entry(*index).is_deed());
        for index in lasting {
            self.begin_entry(now, index, Some(number));
        }
        let opening = self.faults.opening(now, number);
        match opening {
            Opening::Reset => self.note(now, number, None, What::TurnedAway, 0),
            Opening::Join => self.insert(now, number, Phase::Joining, What::Accepted),
            Opening::Wait => self.insert(now, number, Phase::Waiting, What::Waits),
        }
        for index in deeds {
            self.begin_entry(now, index, Some(number));
        }
        for direction in Direction::BOTH {
            self.reach(now, number, direction);
        }
        if opening != Opening::Reset && !self.connections.contains_key(&number) {
            // It is over already; the target need not hear of it.
            self.deeds.retain(|deed| *deed != Deed::Reset(number));
            return (number, Opening::Reset);
        }
        (number, opening)
    }

    fn insert(&mut self, now: Time, number: u64, phase: Phase, what: What) {
        self.note(now, number, None, what, 0);
        self.last = Last::Passed(Place { connection: number, way: Direction::Calls, bytes: 0 });
        let flows = Direction::BOTH.map(|direction| self.new_flow(number, direction));
        self.connections.insert(number, Connection { phase, flows, silenced: None });
    }

    fn new_flow(&mut self, number: u64, direction: Direction) -> Flow {
        // A stream of chance for each direction of each connection of each link.
        let part = (u64::from(self.id.0) << 40) ^ (number << 1) ^ direction as u64;
        let mut flow = Flow::new(direction, self.messages, Rng::stream(self.seed, "link", part));
        for (index, bytes) in self.moments.places(number, direction) {
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

    /// Somebody has connected for whom there are no descriptors; he is to be reset.
    pub fn over_bound(&mut self, now: Time) {
        self.count += 1;
        self.note(now, self.count, None, What::OverBound, 0);
    }

    /// The target has taken a connection.
    pub fn joined(&mut self, now: Time, number: u64) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.phase = Phase::Open;
            self.note(now, number, None, What::Joined, 0);
            self.deeds.push_back(Deed::Look(number));
        }
    }

    /// The target has not: the connection is to be reset, and the link knows it no more.
    pub fn not_joined(&mut self, now: Time, number: u64) {
        if self.connections.remove(&number).is_some() {
            self.note(now, number, None, What::NotJoined, 0);
        }
    }

    /// How many bytes may be read from the sender of a direction; with 0 it is not read at all.
    pub fn room(&self, number: u64, direction: Direction) -> usize {
        self.flow(number, direction).map_or(0, |flow| flow.room(self.bound))
    }

    /// Whether an error of the sender's socket counts at once, and not only behind what can be read from it: what it
    /// sends has ended already, or is lost, since nothing can pass.
    pub fn breaks_at_once(&self, now: Time, number: u64, direction: Direction) -> bool {
        let ended = self.flow(number, direction).is_some_and(|flow| flow.tail != Tail::Open);
        ended || self.faults.cuts(now, number, direction)
    }

    /// Bytes came from the sender, no more than there was room for.
    pub fn arrived(&mut self, now: Time, number: u64, direction: Direction, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let flow = &mut connection.flows[direction.index()];
        if flow.head != Head::Open {
            return;
        }
        let due = now.saturating_add(self.faults.delay(number, direction, flow.rng()));
        flow.queue.push(bytes, due);
        self.most_waiting = self.most_waiting.max(flow.queue.len());
    }

    /// The sender of a direction has ended it.
    pub fn ended(&mut self, now: Time, number: u64, direction: Direction) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let flow = &mut connection.flows[direction.index()];
        if flow.tail != Tail::Open {
            return;
        }
        let due = now.saturating_add(self.faults.delay(number, direction, flow.rng()));
        flow.tail = Tail::End(due);
        if matches!(flow.head, Head::Ended | Head::Gone) {
            flow.tail = Tail::Passed;
        }
        self.close_if_over(now, number);
    }

    /// The socket of the sender of a direction is broken: it sends no more, and takes nothing either. What it
    /// sent and then a reset pass to the other side; only the reset where the direction is cut just now.
    pub fn broke(&mut self, now: Time, number: u64, direction: Direction) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        if connection.phase == Phase::Waiting {
            // The target knows nothing of it.
            return self.reset(now, number, What::Broke);
        }
        let cut = self.faults.cuts(now, number, direction);
        let [calls, answers] = &mut connection.flows;
        let (flow, back) = if direction == Direction::Calls { (calls, answers) } else { (answers, calls) };
        back.head = Head::Gone;
        back.queue.clear();
        if matches!(flow.tail, Tail::Open | Tail::End(_)) {
            if cut {
                flow.queue.clear();
            }
            let due = now.saturating_add(self.faults.delay(number, direction, flow.rng()));
            flow.tail = Tail::Reset(due);
            let passed = flow.passed;
            self.note(now, number, Some(direction), What::Broke, passed);
        } else if flow.tail == Tail::Passed {
            // It had ended what it sends; the other side may still send, and is to learn.
            flow.tail = Tail::Reset(now);
        }
        if self.flow(number, direction.other()).is_some_and(|back| matches!(back.tail, Tail::Reset(_))) {
            return self.forget(now, number, What::Closed, Deed::Close(number));
        }
        self.deeds.push_back(Deed::Look(number));
    }

    /// What may pass in a direction now. Where something may later, [`Link::next_wake`] knows when.
    pub fn offer(&mut self, now: Time, number: u64, direction: Direction) -> Offer<'_> {
        match self.may_pass(now, number, direction) {
            MayPass::Nothing => Offer::Nothing,
            MayPass::End => Offer::End,
            MayPass::Bytes(count) => match self.flow(number, direction) {
                Some(flow) => Offer::Bytes(flow.queue.front(count)),
                None => Offer::Nothing,
            },
        }
    }

    fn may_pass(&mut self, now: Time, number: u64, direction: Direction) -> MayPass {
        loop {
            let Some(connection) = self.connections.get_mut(&number) else { return MayPass::Nothing };
            let flow = &mut connection.flows[direction.index()];
            if connection.phase != Phase::Open || flow.head == Head::Gone {
                return MayPass::Nothing;
            }
            if flow.head == Head::Ending {
                return MayPass::End;
            }
            if self.faults.bars(now, number, direction) || connection.silenced.is_some() {
                return MayPass::Nothing;
            }
            if flow.head == Head::Ended && !matches!(flow.tail, Tail::Reset(_)) {
                return MayPass::Nothing;
            }
            let ready = flow.queue.ready(now);
            if ready == 0 {
                return self.may_end(now, number, direction);
            }
            let most = match self.faults.rate(number, direction).map(|rate| flow.allowance(now, rate)) {
                Some(Err(later)) => return self.later(number, direction, later),
                Some(Ok(allowed)) => ready.min(allowed),
                None => ready,
            };
            let cuts = self.faults.cut_messages(number, direction);
            let count = flow.scan(most, &mut Watch { moments: &mut self.moments, cuts });
            if count > 0 {
                return MayPass::Bytes(count);
            }
            // A stop stands just here; it is gone afterwards.
            self.reach(now, number, direction);
        }
    }

    /// The same where no bytes are due.
    fn may_end(&mut self, now: Time, number: u64, direction: Direction) -> MayPass {
        let Some(flow) = self.flow(number, direction) else { return MayPass::Nothing };
        match (flow.queue.next_due(), flow.tail) {
            (Some(due), _) => self.later(number, direction, due),
            (None, Tail::End(due) | Tail::Reset(due)) if due > now => self.later(number, direction, due),
            (None, Tail::End(_)) => MayPass::End,
            (None, Tail::Reset(_)) => {
                self.reset(now, number, What::Reset);
                MayPass::Nothing
            }
            (None, Tail::Open | Tail::Passed) => MayPass::Nothing,
        }
    }

    fn later(&mut self, number: u64, direction: Direction, at: Time) -> MayPass {
        let Some(connection) = self.connections.get_mut(&number) else { return MayPass::Nothing };
        let old = connection.flows[direction.index()].wake.replace(at);
        if let Some(old) = old.filter(|old| *old != at) {
            self.timers.remove(&(old, Timer::Flow(number, direction)));
        }
        self.timers.insert((at, Timer::Flow(number, direction)));
        MayPass::Nothing
    }

    /// So many of the bytes that were offered have passed.
    pub fn wrote(&mut self, now: Time, number: u64, direction: Direction, count: usize) {
        let rate = self.faults.rate(number, direction);
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let flow = &mut connection.flows[direction.index()];
        flow.queue.pop(count);
        flow.passed += count as u64;
        if let Some(rate) = rate {
            flow.spend(now, rate, count);
        }
        self.last = Last::Passed(Place { connection: number, way: direction, bytes: flow.passed });
        self.reach(now, number, direction);
    }

    /// The end that was offered has passed.
    pub fn end_passed(&mut self, now: Time, number: u64, direction: Direction) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let flow = &mut connection.flows[direction.index()];
        let what = if flow.head == Head::Ending {
            flow.head = Head::Ended;
            What::HalfClosed
        } else {
            What::End
        };
        if matches!(flow.tail, Tail::End(_)) {
            flow.tail = Tail::Passed;
        }
        let passed = flow.passed;
        self.note(now, number, Some(direction), what, passed);
        self.close_if_over(now, number);
    }

    fn close_if_over(&mut self, now: Time, number: u64) {
        let over = |connection: &Connection| connection.flows.iter().all(|flow| flow.tail == Tail::Passed);
        if self.connections.get(&number).is_some_and(over) {
            self.forget(now, number, What::Closed, Deed::Close(number));
        }
    }

    /// Does what is due.
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
                        self.deeds.push_back(Deed::Look(number));
                    }
                }
            }
        }
    }

    /// When something falls due next.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// What is to be done, in order; the list is empty afterwards.
    pub fn deeds(&mut self) -> VecDeque<Deed> {
        std::mem::take(&mut self.deeds)
    }

    /// What was done, for the trace; the list is empty afterwards.
    pub fn notes(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.notes)
    }

    /// Bytes that wait.
    pub fn waiting(&self) -> usize {
        let flows = self.connections.values().flat_map(|connection| &connection.flows);
        flows.map(|flow| flow.queue.len()).sum()
    }

    /// The most that ever waited in one direction of a connection.
    pub fn most_waiting(&self) -> usize {
        self.most_waiting
    }

    /// Adds an entry of a plan. A message, pattern or connection that was there already does not come again.
    pub fn plan(&mut self, now: Time, entry: Entry) {
        let (when, wait) = entry.when.parts();
        let place = match when {
            Moment::Bytes { connection, way, bytes } => Some((*connection, *way, *bytes)),
            _ => None,
        };
        let at = match when {
            Moment::At(at) => Some(nanos(*at)),
            _ => wait.map(|wait| now.saturating_add(nanos(wait))),
        };
        let index = self.moments.add(entry);
        if let Some(at) = at {
            self.timers.insert((at, Timer::Begin(index)));
            self.poll(now);
        }
        let Some((number, way, bytes)) = place else { return };
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.flows[way.index()].stop_at(bytes, Stop::Entry(index));
            self.reach(now, number, way);
        }
    }

    /// Tells of a signal.
    pub fn signal(&mut self, now: Time, name: &str) {
        for index in self.moments.signal(name) {
            self.begin_entry(now, index, None);
        }
    }

    fn begin_entry(&mut self, now: Time, index: Index, here: Option<u64>) {
        let Some(entry) = self.moments.begin(index) else { return };
        let only = match entry.who {
            Who::Every => None,
            Who::Nth(number) => Some(number),
            Who::Here => here,
        };
        match entry.fault {
            Some(fault) => drop(self.begin(now, only, fault, entry.lasts)),
            None => self.heal(now),
        }
    }

    /// Begins a fault, on one connection or all.
    pub fn begin(&mut self, now: Time, only: Option<u64>, fault: Fault, lasts: Option<Duration>) -> FaultId {
        let id = self.faults.number();
        let began = What::Began { id, fault: fault.clone(), only, after: self.last };
        self.note(now, only.unwrap_or(0), None, began, 0);
        match fault {
            Fault::Reset => {
                for number in self.numbers(only) {
                    self.reset(now, number, What::Reset);
                }
            }
            Fault::HalfClose { way } => {
                for number in self.numbers(only) {
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
                for number in self.numbers(only) {
                    self.with_flow(number, way, |flow| flow.stop_at(bytes, Stop::Fault(id)));
                    self.reach(now, number, way);
                }
            }
            Fault::CutMessage { way, message, bytes, .. } => {
                for number in self.numbers(only) {
                    self.with_flow(number, way, |flow| flow.stop_in_message(message, bytes, Stop::Fault(id)));
                    self.reach(now, number, way);
                }
            }
            Fault::Refuse | Fault::Unanswered => self.listen(),
            _ => {}
        }
    }

    /// Takes a fault back; whether it was in force.
    pub fn end(&mut self, now: Time, id: FaultId) -> bool {
        let Some(over) = self.faults.remove(id) else { return false };
        self.timers.retain(|(_, timer)| *timer != Timer::End(id) && *timer != Timer::Flap(id));
        for connection in self.connections.values_mut() {
            connection.flows.iter_mut().for_each(|flow| flow.forget(id));
            if connection.silenced == Some(id) {
                connection.silenced = None;
            }
        }
        let waiting = self.waiting() as u64;
        self.note(now, over.only.unwrap_or(0), None, What::Ended { id }, waiting);
        self.listen();
        self.loosen(now);
        true
    }

    /// Takes all faults back, in the order in which they began.
    pub fn heal(&mut self, now: Time) {
        for id in self.faults.ids() {
            self.end(now, id);
        }
        let waiting = self.waiting() as u64;
        self.note(now, 0, None, What::Healed, waiting);
    }

    fn flapped(&mut self, now: Time, id: FaultId) {
        let Some((cut, until)) = self.faults.flapping(now, id) else { return };
        self.timers.insert((until, Timer::Flap(id)));
        let only = self.faults.get(id).and_then(|active| active.only);
        self.note(now, only.unwrap_or(0), None, What::Flapped { id, cut }, 0);
        if !cut {
            self.loosen(now);
        }
    }

    /// Something may pass that could not.
    fn loosen(&mut self, now: Time) {
        for (number, connection) in &mut self.connections {
            if connection.phase == Phase::Waiting && self.faults.opening(now, *number) != Opening::Wait {
                connection.phase = Phase::Joining;
                self.deeds.push_back(Deed::Join(*number));
            }
        }
        self.deeds.push_back(Deed::LookAtAll);
    }

    fn listen(&mut self) {
        let wanted = self.faults.listening();
        if std::mem::replace(&mut self.listening, wanted) != wanted {
            self.deeds.push_back(Deed::Listen(wanted));
        }
    }

    /// Does what stops a direction at the place where it stands.
    fn reach(&mut self, now: Time, number: u64, direction: Direction) {
        loop {
            let Some(connection) = self.connections.get_mut(&number) else { return };
            match connection.flows[direction.index()].reached() {
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
            End::Reset => self.reset(now, number, What::Reset),
            End::Close => self.half_close(number, &Direction::BOTH.map(|one| (one, true))),
            End::Silence => {
                if let Some(connection) = self.connections.get_mut(&number) {
                    connection.silenced = Some(id);
                }
                let passed = self.passed(number);
                self.note(now, number, None, What::Silenced, passed);
            }
        }
    }

    fn half_close(&mut self, number: u64, which: &[(Direction, bool); 2]) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        for (direction, _) in which.iter().filter(|(_, ends)| *ends) {
            let flow = &mut connection.flows[direction.index()];
            if flow.head == Head::Open && flow.tail != Tail::Passed {
                flow.head = Head::Ending;
                flow.queue.clear();
            }
        }
        self.deeds.push_back(Deed::Look(number));
    }

    fn reset(&mut self, now: Time, number: u64, what: What) {
        self.forget(now, number, what, Deed::Reset(number));
    }

    fn forget(&mut self, now: Time, number: u64, what: What, deed: Deed) {
        let passed = self.passed(number);
        if let Some(connection) = self.connections.remove(&number) {
            for flow in connection.flows {
                if let Some(at) = flow.wake {
                    self.timers.remove(&(at, Timer::Flow(number, flow.direction)));
                }
            }
            self.note(now, number, None, what, passed);
            self.deeds.push_back(deed);
        }
    }

    /// The open connections that a fault concerns.
    fn numbers(&self, only: Option<u64>) -> Vec<u64> {
        let concerned = |number: &u64| only.is_none_or(|only| only == *number);
        self.connections.keys().copied().filter(concerned).collect()
    }

    fn flow(&self, number: u64, direction: Direction) -> Option<&Flow> {
        self.connections.get(&number).map(|connection| &connection.flows[direction.index()])
    }

    fn with_flow(&mut self, number: u64, direction: Direction, what: impl FnOnce(&mut Flow)) {
        if let Some(connection) = self.connections.get_mut(&number) {
            what(&mut connection.flows[direction.index()]);
        }
    }

    fn passed(&self, number: u64) -> u64 {
        let connection = self.connections.get(&number);
        connection.map_or(0, |connection| connection.flows.iter().map(|flow| flow.passed).sum())
    }

    fn note(&mut self, now: Time, connection: u64, way: Option<Direction>, what: What, bytes: u64) {
        let at = Duration::from_nanos(now);
        self.notes.push(Event { at, link: self.id, connection, way, what, bytes });
    }
}

enum MayPass {
    Nothing,
    Bytes(usize),
    End,
}
