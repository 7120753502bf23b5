//! What there is to a connection: two ends, and a way from each to the other.

use super::place::MachineId;
use crate::digest::What;
use crate::process::ProcessId;
use crate::slab::Key;
use crate::timers::Due;
use bytes::{Buf, Bytes};
use cluster_model::rng::Rng;
use runtime::{Span, Time};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::task::Waker;
use tokio::io::ReadBuf;

/// One of the two ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    /// Who asked for the connection.
    Opener,
    /// Who was asked.
    Acceptor,
}

impl Side {
    pub(crate) const BOTH: [Side; 2] = [Side::Opener, Side::Acceptor];

    pub(crate) fn other(self) -> Side {
        match self {
            Side::Opener => Side::Acceptor,
            Side::Acceptor => Side::Opener,
        }
    }
}

/// An end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EndId {
    pub(crate) conn: Key,
    pub(crate) side: Side,
}

/// A connection, from its first asking until nothing of it is left anywhere.
pub(crate) struct Conn {
    /// In the order of their asking, from 0.
    pub(crate) number: u64,
    /// One way without jitter.
    pub(crate) delay: Span,
    /// When it was first asked for, how often since, and whether that is on its way or to be sent again.
    pub(crate) asked: Time,
    pub(crate) asked_again: usize,
    pub(crate) asking: bool,
    pub(crate) ends: [End; 2],
    pub(crate) ways: [Way; 2],
}

impl Conn {
    pub(crate) fn end(&self, side: Side) -> &End {
        &self.ends[side as usize]
    }

    pub(crate) fn end_mut(&mut self, side: Side) -> &mut End {
        &mut self.ends[side as usize]
    }

    /// The way from this side to the other.
    pub(crate) fn way(&self, from: Side) -> &Way {
        &self.ways[from as usize]
    }

    pub(crate) fn way_mut(&mut self, from: Side) -> &mut Way {
        &mut self.ways[from as usize]
    }

    /// Nothing of it is left anywhere.
    pub(crate) fn is_over(&self) -> bool {
        !self.asking
            && self.ends.iter().all(|end| matches!(end.phase, Phase::Closed | Phase::Gone))
            && self.ways.iter().all(|way| way.flight.is_empty())
    }

    /// Bytes of this side that are on their way or unread.
    pub(crate) fn outstanding(&self, from: Side) -> usize {
        self.way(from).bytes + self.end(from.other()).unread.len
    }
}

/// What an end is to the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It has asked and not been answered.
    Asking,
    /// It waits at this listener to be accepted; true: the asker knows, and it can be.
    Queued(Key, bool),
    /// A process holds it.
    Open,
    /// Nobody holds it. The system sends what is left, and answers bytes with a reset.
    Closed,
    /// The system knows nothing of it, and answers anything with a reset.
    Gone,
}

/// One end.
pub(crate) struct End {
    /// None: no machine has that address.
    pub(crate) machine: Option<MachineId>,
    pub(crate) addr: SocketAddr,
    /// Who holds it, while it is asking or open.
    pub(crate) process: Option<ProcessId>,
    pub(crate) phase: Phase,
    pub(crate) unread: Unread,
    /// The other side has ended its sending, and all of it has come.
    pub(crate) ended: bool,
    /// How it broke.
    pub(crate) failure: Option<io::ErrorKind>,
    /// Own sending is over.
    pub(crate) shut: bool,
    pub(crate) reader_held: bool,
    pub(crate) writer_held: bool,
    pub(crate) reader: Option<Waker>,
    /// Who waits for space, or for the answer to asking.
    pub(crate) writer: Option<Waker>,
}

impl End {
    pub(crate) fn new(machine: Option<MachineId>, addr: SocketAddr) -> End {
        End {
            machine,
            addr,
            process: None,
            phase: Phase::Gone,
            unread: Unread::default(),
            ended: false,
            failure: None,
            shut: false,
            reader_held: false,
            writer_held: false,
            reader: None,
            writer: None,
        }
    }

    /// A process has it from now on.
    pub(crate) fn held_by(&mut self, process: ProcessId, phase: Phase) {
        self.process = Some(process);
        self.phase = phase;
        self.reader_held = true;
        self.writer_held = true;
    }

    /// There is someone to be told of a reset.
    pub(crate) fn is_alive(&self) -> bool {
        matches!(self.phase, Phase::Asking | Phase::Queued(..) | Phase::Open)
    }
}

/// Bytes that have come and nobody has read.
#[derive(Default)]
pub(crate) struct Unread {
    /// And when each was sent.
    parts: VecDeque<(Time, Bytes)>,
    pub(crate) len: usize,
}

impl Unread {
    pub(crate) fn push(&mut self, sent: Time, bytes: Bytes) {
        self.len += bytes.len();
        self.parts.push_back((sent, bytes));
    }

    /// When the first of them was sent.
    pub(crate) fn sent(&self) -> Option<Time> {
        self.parts.front().map(|(sent, _)| *sent)
    }

    /// Moves what fits.
    pub(crate) fn read(&mut self, buf: &mut ReadBuf<'_>) {
        while let Some((_, part)) = self.parts.front_mut() {
            let fits = part.len().min(buf.remaining());
            if fits == 0 {
                return;
            }
            buf.put_slice(&part[..fits]);
            self.len -= fits;
            if fits < part.len() {
                return part.advance(fits);
            }
            self.parts.pop_front();
        }
    }
}

/// From one end to the other: nothing overtakes.
pub(crate) struct Way {
    pub(crate) rng: Rng,
    pub(crate) flight: VecDeque<Flying>,
    /// Bytes of the sender on their way.
    pub(crate) bytes: usize,
    /// When the last one arrives.
    last: Time,
    /// Something was lost; it is sent again after this time-out, which doubles, and all the rest after it.
    pub(crate) stalled: Option<Span>,
    /// It waits until its link is held no more.
    pub(crate) parked: bool,
    /// A reset is on its way, or has come.
    pub(crate) reset: bool,
}

/// Something on its way.
pub(crate) struct Flying {
    /// Where its arrival stands on the agenda; none behind something that was lost.
    pub(crate) due: Option<Due>,
    pub(crate) sent: Time,
    pub(crate) what: What,
}

impl Way {
    pub(crate) fn new(rng: Rng) -> Way {
        Way { rng, flight: VecDeque::new(), bytes: 0, last: 0, stalled: None, parked: false, reset: false }
    }

    /// A delay with its jitter.
    pub(crate) fn draw(&mut self, delay: Span, jitter: f64) -> Span {
        if jitter <= 0.0 {
            return delay;
        }
        delay + (delay as f64 * jitter * self.rng.unit()) as Span
    }

    /// When something sent now arrives, on a link that takes so much longer and carries so many bytes a second.
    pub(crate) fn arrival(
        &mut self,
        now: Time,
        delay: Span,
        jitter: f64,
        (longer, rate): (Span, Option<f64>),
        bytes: usize,
    ) -> Time {
        let arrives = now.saturating_add(self.draw(delay, jitter)).saturating_add(longer);
        let takes = rate.map_or(0, |rate| (bytes as f64 * 1e9 / rate) as Span);
        self.last = self.last.max(arrives).saturating_add(takes);
        self.last
    }

    /// What arrives next, taken off the way.
    pub(crate) fn take(&mut self) -> Option<Flying> {
        let flying = self.flight.pop_front()?;
        self.bytes -= flying.what.bytes().len();
        Some(flying)
    }
}
