//! Bounded log of link events with their times. It is printed as lines and can be converted back into a plan.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use crate::plan::{ConnectionSelector, Direction, Entry, Fault, FaultId, LinkId, Plan, Trigger};

/// Position in a stream: the number of bytes forwarded in a direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Place {
    /// Number of the connection on its link, from 1.
    pub connection: u64,
    /// The direction.
    pub way: Direction,
    /// Bytes since the start of the connection.
    pub bytes: u64,
}

/// Last activity of a link before a fault started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LastActivity {
    /// No activity.
    Nothing,
    /// The link was about to accept its n-th connection, from 1.
    Connecting(u64),
    /// The link forwarded a byte, or accepted a connection that has forwarded none.
    Passed(Place),
}

/// Kind of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// A connection was accepted and is being connected to the target.
    Accepted,
    /// A connection was accepted and waits, because of `Silent` or because calls are cut.
    Waits,
    /// A connection was accepted and reset immediately by `ResetNew`.
    TurnedAway,
    /// A connection was accepted and reset immediately because the descriptor limit was reached.
    OverBound,
    /// The connection to the target was established.
    Joined,
    /// The connection to the target could not be established; the client's connection was reset.
    NotJoined,
    /// The sender's end of stream was forwarded.
    End,
    /// The sender's socket failed; its reset is forwarded after the bytes it sent.
    Broke,
    /// Both sides of the connection were reset.
    Reset,
    /// The receiver saw an end of stream that its sender did not send.
    HalfClosed,
    /// Nothing more is forwarded, because of a fault with `End::Silence`.
    Silenced,
    /// The connection was closed in order.
    Closed,
    /// A fault started.
    Began {
        /// Number of the fault.
        id: FaultId,
        /// The fault.
        fault: Fault,
        /// The only affected connection; `None` for all.
        only: Option<u64>,
        /// Last activity of the link before the fault.
        after: LastActivity,
    },
    /// A fault ended. The event's bytes are those queued in the link.
    Ended {
        /// Number of the fault.
        id: FaultId,
    },
    /// A flapping link changed its state.
    Flapped {
        /// Number of the fault.
        id: FaultId,
        /// Whether the link is cut now.
        cut: bool,
    },
    /// All faults of a link were ended.
    Healed,
    /// The system failed to accept a connection or to open a socket.
    Refused {
        /// Error of the system.
        error: String,
    },
}

/// Event on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Time since the set's start.
    pub at: Duration,
    /// The link.
    pub link: LinkId,
    /// Number of the connection on the link, from 1; 0 if the event concerns the whole link.
    pub connection: u64,
    /// The affected direction, if any.
    pub way: Option<Direction>,
    /// Kind of an event.
    pub what: EventKind,
    /// Bytes forwarded so far, in both directions if none is named; for `Ended` and `Healed`, the bytes
    /// queued.
    pub bytes: u64,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} link={}", self.at.as_nanos(), self.link.0)?;
        if self.connection > 0 {
            write!(f, " connection={}", self.connection)?;
        }
        if let Some(way) = self.way {
            write!(f, " way={way:?}")?;
        }
        write!(f, " bytes={} {:?}", self.bytes, self.what)
    }
}

/// Error for a trace that has dropped events and is therefore incomplete.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("the trace has lost its first {0} events, and cannot be replayed")]
pub struct IncompleteTrace(pub u64);

/// Events in order; the oldest are dropped when the bound is exceeded.
#[derive(Clone, Debug)]
pub struct Trace {
    events: VecDeque<Event>,
    bound: usize,
    lost: u64,
}

impl Trace {
    /// Creates an empty trace that keeps at most `bound` events.
    pub fn new(bound: usize) -> Trace {
        Trace { events: VecDeque::new(), bound: bound.max(1), lost: 0 }
    }

    /// Appends an event, dropping the oldest one if the trace is full.
    pub fn push(&mut self, event: Event) {
        if self.events.len() == self.bound {
            self.events.pop_front();
            self.lost += 1;
        }
        self.events.push_back(event);
    }

    /// Returns the kept events in order.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }

    /// Returns the number of events dropped from the front.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Returns the faults of this run as a plan that depends on time only for fault durations: each fault
    /// starts after the same byte. If several connections send at once, the bytes forwarded on the other
    /// connections by then may differ.
    pub fn to_plan(&self) -> Result<Plan, IncompleteTrace> {
        if self.lost > 0 {
            return Err(IncompleteTrace(self.lost));
        }
        let mut plan = Plan::new();
        for (index, event) in self.events.iter().enumerate() {
            let EventKind::Began { id, fault, only, after } = &event.what else { continue };
            let when = match *after {
                LastActivity::Nothing => Trigger::At(event.at),
                LastActivity::Connecting(number) => Trigger::Connection(number),
                LastActivity::Passed(Place { connection, way, bytes }) => {
                    Trigger::Bytes { connection, way, bytes }
                }
            };
            plan = plan.entry(Entry {
                link: event.link,
                when,
                who: only.map_or(ConnectionSelector::Every, ConnectionSelector::Nth),
                fault: Some(fault.clone()),
                lasts: self.lasts(index, event, *id),
            });
        }
        Ok(plan)
    }

    fn lasts(&self, index: usize, began: &Event, id: FaultId) -> Option<Duration> {
        let is_end = |later: &&Event| {
            later.link == began.link && matches!(later.what, EventKind::Ended { id: ended } if ended == id)
        };
        self.events.range(index..).find(is_end).map(|ended| ended.at - began.at)
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.lost > 0 {
            writeln!(f, "# the first {} events are left out", self.lost)?;
        }
        self.events.iter().try_for_each(|event| writeln!(f, "{event}"))
    }
}
