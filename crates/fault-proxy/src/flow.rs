//! One direction of a connection: what waits in it, where it stops next, and how it ends.

use cluster_model::rng::Rng;
use cluster_model::{Span, Time, MS};

use crate::plan::{Direction, FaultId};
use crate::planned::{EntryIndex, Matched, PlannedFaults};
use crate::queue::Queue;
use crate::set::Framing;
use crate::split::{Edge, Splitter};

/// A narrow link may make up for so much lateness, so that its rate holds on a busy machine.
const MAX_CREDIT: Span = 10 * MS;
/// A narrow link lets so much time's worth of bytes pass at once.
const BURST: Span = MS;

/// How the sender's side stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SenderState {
    /// More may come.
    Open,
    /// It has ended; the end may pass at this time, behind all bytes.
    End(Time),
    /// It broke; the reset may pass at this time, behind all bytes.
    Reset(Time),
    /// The end has passed.
    Passed,
}

/// How the receiver's side stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReceiverState {
    /// It takes bytes.
    Open,
    /// A fault ends it; it has yet to be told.
    Ending,
    /// A fault has ended it; what comes is thrown away.
    Ended,
    /// It is gone.
    Gone,
}

/// What happens at a place; of several, the order of this type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stop {
    /// A fault in force ends the connection.
    Fault(FaultId),
    /// A planned entry begins.
    Entry(EntryIndex),
}

/// One direction of a connection.
#[derive(Debug)]
pub(crate) struct Flow {
    pub direction: Direction,
    pub queue: Queue,
    pub sender: SenderState,
    pub receiver: ReceiverState,
    /// Bytes that have passed.
    pub passed: u64,
    /// When the link looks at it again by itself.
    pub wake: Option<Time>,
    rng: Rng,
    /// Bytes that have been looked at for messages and patterns.
    scanned: u64,
    splitter: Splitter,
    matched: Matched,
    /// Messages that have begun, and where the one at hand did.
    message_count: u64,
    message_start: Option<u64>,
    /// Where it stops, in order, and whether that hangs on the end of the message at hand.
    stops: Vec<(u64, Stop, bool)>,
    /// When a narrow link has passed all that it let pass.
    free_at: Time,
}

impl Flow {
    pub fn new(direction: Direction, messages: Framing, rng: Rng) -> Flow {
        Flow {
            direction,
            queue: Queue::default(),
            sender: SenderState::Open,
            receiver: ReceiverState::Open,
            passed: 0,
            wake: None,
            rng,
            scanned: 0,
            splitter: Splitter::new(messages),
            matched: Matched::new(),
            message_count: 0,
            message_start: None,
            stops: Vec::new(),
            free_at: 0,
        }
    }

    pub fn rng(&mut self) -> &mut Rng {
        &mut self.rng
    }

    /// Stops behind so many bytes, or at once if more have passed.
    pub fn stop_at(&mut self, bytes: u64, stop: Stop) {
        self.add_stop(bytes.max(self.passed), stop, false);
    }

    /// Stops in the message at hand, if this is it; whether it has come and gone is not asked.
    pub fn stop_in_message(&mut self, message: u64, bytes: u64, stop: Stop) {
        if let (true, Some(start)) = (self.message_count == message, self.message_start) {
            self.add_stop(start.saturating_add(bytes).max(self.passed), stop, true);
        }
    }

    fn add_stop(&mut self, at: u64, stop: Stop, of_message: bool) {
        let behind = self.stops.partition_point(|(place, other, _)| (*place, *other) <= (at, stop));
        self.stops.insert(behind, (at, stop, of_message));
    }

    /// The next stop that has been reached, and is one no more.
    pub fn take_reached_stop(&mut self) -> Option<Stop> {
        let reached = self.stops.first().is_some_and(|(at, ..)| *at <= self.passed);
        reached.then(|| self.stops.remove(0).1)
    }

    /// Takes the stops of a fault away that is over.
    pub fn remove_fault_stops(&mut self, id: FaultId) {
        self.stops.retain(|(_, stop, _)| *stop != Stop::Fault(id));
    }

    /// Bytes that a narrow link lets pass now, or when it will.
    pub fn allowance(&self, now: Time, rate: u64) -> Result<usize, Time> {
        if self.free_at > now {
            return Err(self.free_at);
        }
        let burst = u128::from(rate) * u128::from(BURST) / 1_000_000_000;
        Ok(usize::try_from(burst).unwrap_or(usize::MAX).max(1))
    }

    /// Bytes have passed a narrow link.
    pub fn spend(&mut self, now: Time, rate: u64, bytes: usize) {
        let cost = bytes as u128 * 1_000_000_000 / u128::from(rate);
        let from = self.free_at.max(now.saturating_sub(MAX_CREDIT));
        self.free_at = from.saturating_add(u64::try_from(cost).unwrap_or(u64::MAX));
    }

    /// Whether more may be read from the sender, and how much.
    pub fn read_capacity(&self, bound: usize) -> usize {
        match (self.sender, self.receiver) {
            (SenderState::Open, ReceiverState::Open) => bound.saturating_sub(self.queue.len()),
            (SenderState::Open, ReceiverState::Ending | ReceiverState::Ended) => bound,
            _ => 0,
        }
    }
}

/// What a flow asks while it looks at bytes: the link's plan and the faults that end messages.
pub(crate) struct ScanContext<'a> {
    pub planned: &'a mut PlannedFaults,
    /// `CutMessage` faults on this connection and direction: which, in which message, after how many bytes.
    pub message_cuts: Vec<(FaultId, u64, u64)>,
}

impl Flow {
    /// Looks at the first bytes, up to `most`; how many of them may pass before the next stop.
    pub fn scan(&mut self, most: usize, context: &mut ScanContext<'_>) -> usize {
        let mut end = self.passed + self.queue.front(most).len() as u64;
        loop {
            end = self.stops.first().map_or(end, |(at, ..)| end.min(*at));
            if self.scanned >= end {
                return (end - self.passed) as usize;
            }
            let bytes =
                &self.queue.front(most)[(self.scanned - self.passed) as usize..(end - self.passed) as usize];
            let (used, edge) = self.splitter.next(bytes);
            let found = context.planned.find_patterns(self.direction, &mut self.matched, &bytes[..used]);
            for (index, behind) in found {
                self.add_stop(self.scanned + behind as u64, Stop::Entry(index), false);
            }
            self.scanned += used as u64;
            match edge {
                Some(Edge::Start) => self.begin_message(context),
                Some(Edge::End) => self.end_message(),
                None => {}
            }
        }
    }

    fn begin_message(&mut self, context: &mut ScanContext<'_>) {
        let start = self.scanned;
        self.message_count += 1;
        self.message_start = Some(start);
        for (index, after) in context.planned.message(self.direction) {
            self.add_stop(start.saturating_add(after), Stop::Entry(index), true);
        }
        for (id, message, bytes) in &context.message_cuts {
            self.stop_in_message(*message, *bytes, Stop::Fault(*id));
        }
    }

    /// What was to come later in the message comes at its end.
    fn end_message(&mut self) {
        self.message_start = None;
        let end = self.scanned;
        for (at, _, of_message) in &mut self.stops {
            if std::mem::take(of_message) {
                *at = (*at).min(end);
            }
        }
        self.stops.sort_by_key(|(at, stop, _)| (*at, *stop));
    }
}
