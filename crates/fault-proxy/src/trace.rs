//! What links did, with times: bounded, written as lines, and turned back into a plan.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use crate::plan::{ConnectionSelector, Direction, Entry, Fault, FaultId, LinkId, Plan, Trigger};

/// A place in a stream: so many bytes of a direction of a connection had passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Place {
    /// Which connection of the link, from 1.
    pub connection: u64,
    /// The direction.
    pub way: Direction,
    /// Bytes since the connection's first.
    pub bytes: u64,
}

/// What a link had done last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LastActivity {
    /// Nothing.
    Nothing,
    /// It was about to accept its n-th connection, from 1.
    Connecting(u64),
    /// It had passed a byte, or accepted a connection that has passed none.
    Passed(Place),
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// A connection was accepted and is led to the target.
    Accepted,
    /// A connection was accepted and waits: silence, or calls are cut.
    Waits,
    /// A connection was accepted and reset at once, by `ResetNew`.
    TurnedAway,
    /// A connection was accepted and reset at once, since descriptors are short.
    OverBound,
    /// The target has taken the connection.
    Joined,
    /// The target has not taken it; the connection was reset.
    NotJoined,
    /// The sender's end has passed.
    End,
    /// The sender broke its connection; its reset passes behind what it sent.
    Broke,
    /// Both sides were reset.
    Reset,
    /// The receiver saw an end that its sender did not make.
    HalfClosed,
    /// Nothing passes from here on, by a fault with `End::Silence`.
    Silenced,
    /// The connection has ended in order.
    Closed,
    /// A fault began.
    Began {
        /// Its number.
        id: FaultId,
        /// What it is.
        fault: Fault,
        /// The only connection that it concerns.
        only: Option<u64>,
        /// What the link had done last.
        after: LastActivity,
    },
    /// A fault ended. The event's bytes are those that waited in the link.
    Ended {
        /// Its number.
        id: FaultId,
    },
    /// A flapping link changed.
    Flapped {
        /// The fault's number.
        id: FaultId,
        /// Whether it is cut now.
        cut: bool,
    },
    /// All faults of a link were taken back.
    Healed,
    /// The system would not accept a connection, or not open a socket.
    Refused {
        /// What it said.
        error: String,
    },
}

/// One thing that a link did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Since the set's start.
    pub at: Duration,
    /// The link.
    pub link: LinkId,
    /// Which connection of it, from 1; 0 where it concerns the link.
    pub connection: u64,
    /// The direction that it concerns, if one.
    pub way: Option<Direction>,
    /// What happened.
    pub what: EventKind,
    /// Bytes that have passed there, in both directions where none is named; of `Ended` and `Healed`, bytes that waited.
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

/// Some events are gone, so that what is left tells no whole story.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("the trace has lost its first {0} events, and cannot be played again")]
pub struct IncompleteTrace(pub u64);

/// Events in order, the oldest left out where there were too many.
#[derive(Clone, Debug)]
pub struct Trace {
    events: VecDeque<Event>,
    bound: usize,
    lost: u64,
}

impl Trace {
    /// An empty one that keeps so many events.
    pub fn new(bound: usize) -> Trace {
        Trace { events: VecDeque::new(), bound: bound.max(1), lost: 0 }
    }

    /// Adds one.
    pub fn push(&mut self, event: Event) {
        if self.events.len() == self.bound {
            self.events.pop_front();
            self.lost += 1;
        }
        self.events.push_back(event);
    }

    /// Those that are kept, in order.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }

    /// How many the bound cost, from the front.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// The faults of this run as a plan that needs no clock but for how long they last: each begins after the
    /// same byte. Where several connections send at once, what else had passed by then may differ.
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
        let over = |later: &&Event| {
            later.link == began.link && matches!(later.what, EventKind::Ended { id: ended } if ended == id)
        };
        self.events.range(index..).find(over).map(|ended| ended.at - began.at)
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
