//! Plain data types that describe the faults of a link and the events that trigger them.

use std::time::Duration;

/// Identifies a link of a [`LinkSet`](crate::LinkSet). Links are numbered from 0 in the order in which they
/// are added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u32);

/// Identifies an active fault. Faults are numbered from 1 on each link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FaultId(pub u32);

/// One direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Direction {
    /// From the connecting process to the listening process: its calls.
    Calls,
    /// From the listening process to the connecting process: its answers.
    Answers,
}

impl Direction {
    /// Both directions, in the order in which a link processes them.
    pub const BOTH: [Direction; 2] = [Direction::Calls, Direction::Answers];

    /// Returns the opposite direction.
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

/// The directions that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Directions {
    /// Only from the connecting process.
    Calls,
    /// Only to the connecting process.
    Answers,
    /// Both directions.
    Both,
}

impl Directions {
    /// Returns whether this direction is included.
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

/// How a fault terminates a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// Both sides receive a reset after the bytes that have been forwarded. Queued bytes are discarded.
    Reset,
    /// Both sides receive an ordinary end of stream after the bytes that have been forwarded. Queued bytes
    /// are discarded.
    Close,
    /// Nothing more is forwarded in either direction until the fault ends or the link is healed. Neither side
    /// is notified.
    Silence,
}

/// A fault of a link. Several faults can be active at once: delays add up, the lowest rate applies, and a
/// byte is forwarded only if no fault blocks it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Bytes are forwarded after `base` plus up to `jitter`, counted from their arrival. The order within a
    /// direction of a connection is kept. Bytes that are queued when the delay ends keep their delivery time.
    Delay {
        /// Affected directions.
        way: Directions,
        /// Minimum delay.
        base: Duration,
        /// Maximum random addition, drawn uniformly from zero to this value for each chunk that is read.
        jitter: Duration,
    },
    /// Limits each connection to this rate, after a burst worth 10 ms.
    Rate {
        /// Affected directions; the rate applies to each separately.
        way: Directions,
        /// Bytes per second; 0 counts as 1.
        bytes_per_s: u64,
    },
    /// Bytes and ends of stream are queued and forwarded all at once when the fault ends, including those of
    /// a process that died meanwhile. New connections are still established.
    Hold {
        /// Affected directions.
        way: Directions,
    },
    /// Nothing is forwarded: no byte, no end of stream, no reset. When the fault ends, queued data is
    /// forwarded in order, as TCP would; if the sender reset its connection meanwhile, only the reset is
    /// forwarded. While calls are cut, new connections are accepted and wait to be connected to the target.
    Cut {
        /// Affected directions.
        way: Directions,
    },
    /// Alternates between cut for `down` and healthy for `up`, starting with a cut.
    Flap {
        /// Affected directions.
        way: Directions,
        /// Duration of each cut.
        down: Duration,
        /// Duration of each healthy phase.
        up: Duration,
    },
    /// New connections are accepted but receive nothing; the bytes they send are queued. They are connected
    /// to the target when the fault ends.
    Silent,
    /// New connections are refused by the system, as if no process listened. The port stays bound.
    Refuse,
    /// New connections are accepted and reset immediately.
    ResetNew,
    /// New connections are not established: `connect` hangs, and the system retransmits its SYN (after 1 s, 3
    /// s, ...).
    Unanswered,
    /// Immediate: resets connections. Queued bytes are discarded.
    Reset,
    /// Immediate: receivers see an end of stream after the bytes that have been forwarded; all further bytes
    /// from the senders are discarded.
    HalfClose {
        /// Directions to end.
        way: Directions,
    },
    /// Terminates a connection once `bytes` have been forwarded in a direction; a connection beyond that
    /// count is terminated immediately.
    DropAfter {
        /// The direction in which bytes are counted.
        way: Direction,
        /// Bytes since the start of the connection.
        bytes: u64,
        /// How the connection is terminated.
        end: End,
    },
    /// Terminates a connection within a message, or at the end of the message if it is shorter.
    CutMessage {
        /// The direction in which messages are counted.
        way: Direction,
        /// Number of the message on the connection, from 1.
        message: u64,
        /// Bytes of the message that are forwarded.
        bytes: u64,
        /// How the connection is terminated.
        end: End,
    },
}

/// The connections of a link that a fault affects. `Refuse`, `ResetNew`, `Unanswered` and `Silent` affect the
/// whole link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionSelector {
    /// All open connections and, for a lasting fault, all later ones.
    Every,
    /// The n-th accepted connection, from 1.
    Nth(u64),
    /// The connection on which the trigger fired, or all connections if the trigger does not belong to a
    /// connection.
    Here,
}

/// Event that starts a planned fault. Stream positions are exact: all bytes before the position have been
/// forwarded, and none after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// At this time after the set's start; immediately if that time has passed.
    At(Duration),
    /// When the link accepts its n-th connection, from 1: before the connection is processed, or, for `Reset`
    /// and `HalfClose`, immediately after.
    Connection(u64),
    /// When `after` bytes of the n-th message, from 1, have been forwarded in a direction, or the whole
    /// message if it is shorter. Messages of all connections of the link are counted, in the order of their
    /// first bytes.
    Message {
        /// The direction in which messages are counted.
        way: Direction,
        /// Number of the message, from 1.
        n: u64,
        /// Bytes of the message that have been forwarded: 0 before its first byte, [`Trigger::MESSAGE_END`]
        /// after its last.
        after: u64,
    },
    /// When the n-th occurrence, from 1, of these bytes has been forwarded in a direction, on any connection.
    Pattern {
        /// The direction that is searched.
        way: Direction,
        /// Bytes to search for; at least one.
        bytes: Vec<u8>,
        /// Number of the occurrence, from 1.
        n: u64,
    },
    /// When this number of bytes has been forwarded in a direction of the n-th connection; immediately if the
    /// connection is beyond that count.
    Bytes {
        /// Number of the connection, from 1.
        connection: u64,
        /// The direction in which bytes are counted.
        way: Direction,
        /// Bytes since the start of the connection.
        bytes: u64,
    },
    /// When [`LinkSet::send_signal`](crate::LinkSet::send_signal) is called with this name.
    Signal(String),
    /// When the inner trigger fires, or `wait` after the plan was added, whichever comes first.
    Within {
        /// The inner trigger, which must not be `Within`.
        moment: Box<Trigger>,
        /// Maximum wait for the inner trigger.
        wait: Duration,
    },
}

impl Trigger {
    /// End of a message, as a value of `after` in [`Trigger::Message`].
    pub const MESSAGE_END: u64 = u64::MAX;

    /// Returns the trigger and the maximum wait for it, if there is one.
    pub(crate) fn parts(&self) -> (&Trigger, Option<Duration>) {
        match self {
            Trigger::Within { moment, wait } => (moment, Some(*wait)),
            moment => (moment, None),
        }
    }

    /// Returns a trigger that fires before the first byte of the n-th message.
    pub fn before(way: Direction, n: u64) -> Trigger {
        Trigger::Message { way, n, after: 0 }
    }

    /// Returns a trigger that fires after the last byte of the n-th message.
    pub fn after(way: Direction, n: u64) -> Trigger {
        Trigger::Message { way, n, after: Trigger::MESSAGE_END }
    }
}

/// An entry of a plan: starts a fault when a trigger fires, once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The affected link.
    pub link: LinkId,
    /// The trigger that starts the fault.
    pub when: Trigger,
    /// The affected connections.
    pub who: ConnectionSelector,
    /// The fault to start; `None` ends all active faults of the link.
    pub fault: Option<Fault>,
    /// Duration of the fault; `None` until it is ended explicitly or the link is healed.
    pub lasts: Option<Duration>,
}

impl Entry {
    /// Returns whether the fault takes effect once and does not last.
    pub(crate) fn is_immediate(&self) -> bool {
        matches!(self.fault, Some(Fault::Reset | Fault::HalfClose { .. }))
    }
}

/// Faults with their triggers. Among entries that fire at the same instant, ends of faults are processed
/// first, then starts, each in the order of the plan; all of them are processed before any byte that is ready
/// at that instant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    entries: Vec<Entry>,
}

impl Plan {
    /// Creates an empty plan.
    pub fn new() -> Plan {
        Plan::default()
    }

    /// Adds a fault on all connections of a link that lasts until it is ended.
    pub fn at(self, link: LinkId, when: Trigger, fault: Fault) -> Plan {
        self.entry(Entry { link, when, who: ConnectionSelector::Every, fault: Some(fault), lasts: None })
    }

    /// Adds a fault on the connection on which the trigger fires; the fault lasts until it is ended.
    pub fn here(self, link: LinkId, when: Trigger, fault: Fault) -> Plan {
        self.entry(Entry { link, when, who: ConnectionSelector::Here, fault: Some(fault), lasts: None })
    }

    /// Adds a fault on all connections of a link for a duration.
    pub fn during(self, link: LinkId, when: Trigger, lasts: Duration, fault: Fault) -> Plan {
        self.entry(Entry {
            link,
            when,
            who: ConnectionSelector::Every,
            fault: Some(fault),
            lasts: Some(lasts),
        })
    }

    /// Adds an entry that ends all active faults of a link.
    pub fn heal(self, link: LinkId, when: Trigger) -> Plan {
        self.entry(Entry { link, when, who: ConnectionSelector::Every, fault: None, lasts: None })
    }

    /// Adds any entry.
    pub fn entry(mut self, entry: Entry) -> Plan {
        self.entries.push(entry);
        self
    }

    /// Returns the entries in the order in which they were added.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }
}
