//! One direction of a connection: its queued bytes, its next stop, and how it ends.

use cluster_model::rng::Rng;
use cluster_model::{Span, Time, MS};

use crate::plan::{Direction, FaultId};
use crate::planned::{EntryIndex, Matched, PlannedFaults};
use crate::queue::Queue;
use crate::set::Framing;
use crate::split::{Edge, Splitter};

/// Maximum lateness that a rate-limited link may catch up on, so that the rate holds on a busy machine.
const MAX_CREDIT: Span = 10 * MS;
/// A rate-limited link forwards bytes worth this time at once.
const BURST: Span = MS;

/// State of the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SenderState {
    /// The sender may send more.
    Open,
    /// The sender ended its stream; the end may be forwarded at this time, after all bytes.
    End(Time),
    /// The sender's socket failed; the reset may be forwarded at this time, after all bytes.
    Reset(Time),
    /// The end was forwarded.
    Passed,
}

/// State of the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReceiverState {
    /// The receiver accepts bytes.
    Open,
    /// A fault ends the stream; the end has yet to be written.
    Ending,
    /// A fault has ended the stream; further bytes are discarded.
    Ended,
    /// The receiver's socket has failed.
    Gone,
}

/// Effect of reaching a stream position; several at one position run in the order of this type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stop {
    /// An active fault terminates the connection.
    Fault(FaultId),
    /// A planned entry starts.
    Entry(EntryIndex),
}

/// One direction of a connection.
#[derive(Debug)]
pub(crate) struct Flow {
    pub direction: Direction,
    pub queue: Queue,
    pub sender: SenderState,
    pub receiver: ReceiverState,
    /// Bytes forwarded so far.
    pub passed: u64,
    /// When the link's timer for this direction expires.
    pub wake: Option<Time>,
    rng: Rng,
    /// Bytes scanned for messages and patterns.
    scanned: u64,
    splitter: Splitter,
    matched: Matched,
    /// Number of messages that have begun, and the start position of the current one.
    message_count: u64,
    message_start: Option<u64>,
    /// Stops in order: the position, the effect, and whether the position moves to the end of the current
    /// message if that is shorter.
    stops: Vec<(u64, Stop, bool)>,
    /// When a rate-limited link has used up its allowance.
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

    /// Adds a stop after `bytes` bytes, or at the current position if more have been forwarded.
    pub fn stop_at(&mut self, bytes: u64, stop: Stop) {
        self.add_stop(bytes.max(self.passed), stop, false);
    }

    /// Adds a stop in the current message if it has this number; earlier and later messages are not checked.
    pub fn stop_in_message(&mut self, message: u64, bytes: u64, stop: Stop) {
        if let (true, Some(start)) = (self.message_count == message, self.message_start) {
            self.add_stop(start.saturating_add(bytes).max(self.passed), stop, true);
        }
    }

    fn add_stop(&mut self, at: u64, stop: Stop, of_message: bool) {
        let behind = self.stops.partition_point(|(place, other, _)| (*place, *other) <= (at, stop));
        self.stops.insert(behind, (at, stop, of_message));
    }

    /// Removes and returns the next stop that has been reached.
    pub fn take_reached_stop(&mut self) -> Option<Stop> {
        let reached = self.stops.first().is_some_and(|(at, ..)| *at <= self.passed);
        reached.then(|| self.stops.remove(0).1)
    }

    /// Removes the stops of a fault that has ended.
    pub fn remove_fault_stops(&mut self, id: FaultId) {
        self.stops.retain(|(_, stop, _)| *stop != Stop::Fault(id));
    }

    /// Returns the bytes that the rate limit allows now, or the time when it will allow more.
    pub fn allowance(&self, now: Time, rate: u64) -> Result<usize, Time> {
        if self.free_at > now {
            return Err(self.free_at);
        }
        let burst = u128::from(rate) * u128::from(BURST) / 1_000_000_000;
        Ok(usize::try_from(burst).unwrap_or(usize::MAX).max(1))
    }

    /// Charges forwarded bytes to the rate limit.
    pub fn spend(&mut self, now: Time, rate: u64, bytes: usize) {
        let cost = bytes as u128 * 1_000_000_000 / u128::from(rate);
        let from = self.free_at.max(now.saturating_sub(MAX_CREDIT));
        self.free_at = from.saturating_add(u64::try_from(cost).unwrap_or(u64::MAX));
    }

    /// Returns how many bytes may be read from the sender.
    pub fn read_capacity(&self, bound: usize) -> usize {
        match (self.sender, self.receiver) {
            (SenderState::Open, ReceiverState::Open) => bound.saturating_sub(self.queue.len()),
            (SenderState::Open, ReceiverState::Ending | ReceiverState::Ended) => bound,
            _ => 0,
        }
    }
}

/// Context of a scan: the planned faults of the link and the faults that terminate messages.
pub(crate) struct ScanContext<'a> {
    pub planned: &'a mut PlannedFaults,
    /// `CutMessage` faults on this connection and direction: id, message number and byte count.
    pub message_cuts: Vec<(FaultId, u64, u64)>,
}

impl Flow {
    /// Scans at most `most` of the first bytes. Returns how many of them may be forwarded before the next
    /// stop.
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

    /// Moves stops that lie beyond the end of the message to its end.
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
