//! What may go wrong on a link, and when: plain data.

use std::time::Duration;

/// A link of a [`LinkSet`](crate::LinkSet), in the order in which links were added, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u32);

/// A fault in force on a link, numbered from 1 on each link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FaultId(pub u32);

/// One direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Direction {
    /// From the process that connected to the one that listens: its calls.
    Calls,
    /// Back again: the answers.
    Answers,
}

impl Direction {
    /// Both of them, in the order in which links look at them.
    pub const BOTH: [Direction; 2] = [Direction::Calls, Direction::Answers];

    /// The other one.
    pub fn other(self) -> Direction {
        match self {
            Direction::Calls => Direction::Answers,
            Direction::Answers => Direction::Calls,
        }
    }

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

/// The directions that a fault concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Directions {
    /// Only from the process that connected.
    Calls,
    /// Only to the process that connected.
    Answers,
    /// Both.
    Both,
}

impl Directions {
    /// Whether this direction is among them.
    pub fn covers(self, direction: Direction) -> bool {
        match self {
            Directions::Both => true,
            Directions::Calls => direction == Direction::Calls,
            Directions::Answers => direction == Direction::Answers,
        }
    }
}

impl From<Direction> for Directions {
    fn from(direction: Direction) -> Directions {
        match direction {
            Direction::Calls => Directions::Calls,
            Direction::Answers => Directions::Answers,
        }
    }
}

/// How a connection ends that is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// Both sides see a reset, after what has passed. What waits in the link is lost.
    Reset,
    /// Both sides see an ordinary end, after what has passed. What waits in the link is lost.
    Close,
    /// Nothing more passes either way, until the fault is taken back or the link heals. No side is told.
    Silence,
}

/// What is wrong with a link. Several may be in force at once: delays add up, the lowest rate counts, and a
/// byte passes only where nothing stops it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Bytes pass `base`, and up to `jitter` more, after they came; order is kept within a direction of a
    /// connection. What is on its way when the delay ends keeps its time.
    Delay {
        /// Directions that it concerns.
        way: Directions,
        /// The least delay.
        base: Duration,
        /// What chance adds: evenly from nothing up to this, anew for each piece that is read.
        jitter: Duration,
    },
    /// So many bytes a second at the most pass on each connection, after a burst of 10 ms worth.
    Rate {
        /// Directions that it concerns; each has the rate to itself.
        way: Directions,
        /// Bytes a second; 0 counts as 1.
        bytes_per_s: u64,
    },
    /// Bytes and ends wait, and pass all at once when it ends; also those of a process that died meanwhile.
    /// Connections are still made.
    Hold {
        /// Directions that it concerns.
        way: Directions,
    },
    /// Nothing passes: no byte, no end, no reset. When it ends, what waited passes in order, as TCP would
    /// have it; but where the sender broke its connection meanwhile only the reset does. While calls are
    /// cut new connections are accepted and wait for their way to the target.
    Cut {
        /// Directions that it concerns.
        way: Directions,
    },
    /// Cut for `down`, whole for `up`, and so on, beginning with a cut.
    Flap {
        /// Directions that it concerns.
        way: Directions,
        /// How long it is cut each time.
        down: Duration,
        /// How long it is whole each time.
        up: Duration,
    },
    /// New connections are accepted and hear nothing; what they send waits. Those are led to the target when
    /// it ends.
    Silent,
    /// New connections are refused by the system, as if nobody listened. The port stays ours.
    Refuse,
    /// New connections are accepted and reset at once.
    ResetNew,
    /// New connections do not come about: their `connect` hangs, and the system asks again (after 1 s, 3 s, ...).
    Unanswered,
    /// At once: resets connections. What waits in the link is lost.
    Reset,
    /// At once: receivers see an end after what has passed, and all else that senders send is lost.
    HalfClose {
        /// Directions that end.
        way: Directions,
    },
    /// Ends a connection when so many bytes of it have passed in a direction; one that is further ends at once.
    DropAfter {
        /// The direction in which bytes count.
        way: Direction,
        /// Bytes since the connection's first.
        bytes: u64,
        /// How it ends.
        end: End,
    },
    /// Ends a connection within a message, or at the message's end where it is shorter.
    CutMessage {
        /// The direction in which messages count.
        way: Direction,
        /// Which message of the connection, from 1.
        message: u64,
        /// Bytes of it that pass.
        bytes: u64,
        /// How it ends.
        end: End,
    },
}

/// Which connections of a link a fault concerns. `Refuse`, `ResetNew`, `Unanswered` and `Silent` concern the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionSelector {
    /// All: those that are open, and, of a fault that lasts, those that come.
    Every,
    /// The n-th that was accepted, from 1.
    Nth(u64),
    /// The one on which the moment came; all where the moment is none of a connection.
    Here,
}

/// When something begins. Places in a stream are exact: all bytes before them have passed, none after.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// So long after the set's start; at once where that is over.
    At(Duration),
    /// When the link accepts its n-th connection, from 1: before anything is done with it, or, of `Reset` and
    /// `HalfClose`, at once after that.
    Connection(u64),
    /// When `after` bytes of the n-th message, from 1, that the link sees in a direction have passed, or all
    /// of it where it is shorter. Messages of all its connections count, by their first bytes.
    Message {
        /// The direction in which messages count.
        way: Direction,
        /// Which message, from 1.
        n: u64,
        /// Bytes of it that have passed: 0 before its first, [`Trigger::MESSAGE_END`] after its last.
        after: u64,
    },
    /// When the n-th occurrence, from 1, of these bytes has passed in a direction, on whatever connection.
    Pattern {
        /// The direction in which it is looked for.
        way: Direction,
        /// The bytes; at least one.
        bytes: Vec<u8>,
        /// Which occurrence, from 1.
        n: u64,
    },
    /// When so many bytes have passed in a direction of the n-th connection; at once where it is further.
    Bytes {
        /// Which connection, from 1.
        connection: u64,
        /// The direction in which bytes count.
        way: Direction,
        /// Bytes since the connection's first.
        bytes: u64,
    },
    /// When somebody calls [`LinkSet::send_signal`](crate::LinkSet::send_signal) with this name.
    Signal(String),
    /// When this moment comes, or so long after the plan was made if it has not come by then.
    Within {
        /// The moment, which is none like this.
        moment: Box<Trigger>,
        /// The longest wait.
        wait: Duration,
    },
}

impl Trigger {
    /// The end of a message, as `after` of [`Trigger::Message`].
    pub const MESSAGE_END: u64 = u64::MAX;

    /// The moment itself, and the longest wait for it, where there is one.
    pub(crate) fn parts(&self) -> (&Trigger, Option<Duration>) {
        match self {
            Trigger::Within { moment, wait } => (moment, Some(*wait)),
            moment => (moment, None),
        }
    }

    /// Before the first byte of the n-th message.
    pub fn before(way: Direction, n: u64) -> Trigger {
        Trigger::Message { way, n, after: 0 }
    }

    /// After the last byte of the n-th message.
    pub fn after(way: Direction, n: u64) -> Trigger {
        Trigger::Message { way, n, after: Trigger::MESSAGE_END }
    }
}

/// One line of a plan: at this moment, this fault, once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// On this link.
    pub link: LinkId,
    /// From this moment.
    pub when: Trigger,
    /// On these connections.
    pub who: ConnectionSelector,
    /// What goes wrong. `None` heals the link of all that is in force.
    pub fault: Option<Fault>,
    /// For so long; `None` until it is taken back or the link heals.
    pub lasts: Option<Duration>,
}

impl Entry {
    /// Whether it is done at once, and does not last.
    pub(crate) fn is_immediate(&self) -> bool {
        matches!(self.fault, Some(Fault::Reset | Fault::HalfClose { .. }))
    }
}

/// Faults and their moments. Of those that come at the same instant the ends come first, then the beginnings,
/// each in the order in which they were planned; all of them come before any byte that is due just then.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    entries: Vec<Entry>,
}

impl Plan {
    /// An empty one.
    pub fn new() -> Plan {
        Plan::default()
    }

    /// Adds a fault on all connections of a link, until it is taken back.
    pub fn at(self, link: LinkId, when: Trigger, fault: Fault) -> Plan {
        self.entry(Entry { link, when, who: ConnectionSelector::Every, fault: Some(fault), lasts: None })
    }

    /// Adds a fault on the connection at which the moment comes, until it is taken back.
    pub fn here(self, link: LinkId, when: Trigger, fault: Fault) -> Plan {
        self.entry(Entry { link, when, who: ConnectionSelector::Here, fault: Some(fault), lasts: None })
    }

    /// Adds a fault on all connections of a link for a span.
    pub fn during(self, link: LinkId, when: Trigger, lasts: Duration, fault: Fault) -> Plan {
        self.entry(Entry {
            link,
            when,
            who: ConnectionSelector::Every,
            fault: Some(fault),
            lasts: Some(lasts),
        })
    }

    /// Adds that the link heals.
    pub fn heal(self, link: LinkId, when: Trigger) -> Plan {
        self.entry(Entry { link, when, who: ConnectionSelector::Every, fault: None, lasts: None })
    }

    /// Adds any entry.
    pub fn entry(mut self, entry: Entry) -> Plan {
        self.entries.push(entry);
        self
    }

    /// Its entries, in the order in which they were added.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }
}
