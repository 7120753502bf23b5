//! The planned faults of a link, indexed by their triggers.

use std::collections::{BTreeMap, BTreeSet};

use crate::plan::{Direction, Entry, Trigger};

/// Index of an entry in the plan of one link; at the same stream position the lower index runs first.
pub(crate) type EntryIndex = usize;

/// A byte pattern, searched with the Knuth-Morris-Pratt algorithm.
#[derive(Clone, Debug)]
struct Pattern {
    index: EntryIndex,
    direction: Direction,
    bytes: Vec<u8>,
    /// For each matched length, the longest proper prefix that also matches.
    failure_table: Vec<usize>,
    n: u64,
    occurrences: u64,
}

impl Pattern {
    fn new(index: EntryIndex, direction: Direction, bytes: &[u8], n: u64) -> Pattern {
        let mut failure_table = vec![0; bytes.len()];
        let mut matched = 0;
        for at in 1..bytes.len() {
            while matched > 0 && bytes[at] != bytes[matched] {
                matched = failure_table[matched - 1];
            }
            matched += usize::from(bytes[at] == bytes[matched]);
            failure_table[at] = matched;
        }
        Pattern { index, direction, bytes: bytes.to_vec(), failure_table, n, occurrences: 0 }
    }

    /// Advances by one byte. Returns whether the pattern ends with it.
    fn step(&self, matched: &mut usize, byte: u8) -> bool {
        while *matched > 0 && byte != self.bytes[*matched] {
            *matched = self.failure_table[*matched - 1];
        }
        *matched += usize::from(byte == self.bytes[*matched]);
        let complete = *matched == self.bytes.len();
        if complete {
            *matched = self.failure_table[*matched - 1];
        }
        complete
    }
}

/// The currently matched length of each pattern in a stream, by the pattern's index.
pub(crate) type Matched = BTreeMap<EntryIndex, usize>;

/// The plan of one link.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlannedFaults {
    entries: Vec<Entry>,
    /// Entries that have started; an entry that can be started by two triggers starts only once.
    started: BTreeSet<EntryIndex>,
    connections: BTreeMap<u64, Vec<EntryIndex>>,
    messages: BTreeMap<(Direction, u64), Vec<(EntryIndex, u64)>>,
    places: BTreeMap<(u64, Direction), Vec<(EntryIndex, u64)>>,
    signals: BTreeMap<String, Vec<EntryIndex>>,
    patterns: Vec<Pattern>,
    /// Number of messages that have begun, by direction.
    message_count: [u64; 2],
}

impl PlannedFaults {
    pub fn add(&mut self, entry: Entry) -> EntryIndex {
        let index = self.entries.len();
        match entry.when.parts().0 {
            // `Trigger::parts` has already unwrapped `Within`; a nested one is not allowed and ignored.
            Trigger::At(_) | Trigger::Within { .. } => {}
            Trigger::Connection(n) => self.connections.entry(*n).or_default().push(index),
            Trigger::Message { way, n, after } => {
                self.messages.entry((*way, *n)).or_default().push((index, *after));
            }
            Trigger::Pattern { way, bytes, n } => {
                self.patterns.push(Pattern::new(index, *way, bytes, *n));
            }
            Trigger::Bytes { connection, way, bytes } => {
                self.places.entry((*connection, *way)).or_default().push((index, *bytes));
            }
            Trigger::Signal(name) => self.signals.entry(name.clone()).or_default().push(index),
        }
        self.entries.push(entry);
        index
    }

    pub fn entry(&self, index: EntryIndex) -> &Entry {
        &self.entries[index]
    }

    /// Marks an entry as started and returns it; `None` if it started before.
    pub fn begin(&mut self, index: EntryIndex) -> Option<Entry> {
        self.started.insert(index).then(|| self.entries[index].clone())
    }

    /// Takes the entries that start with the link's n-th connection.
    pub fn connection(&mut self, n: u64) -> Vec<EntryIndex> {
        self.connections.remove(&n).unwrap_or_default()
    }

    /// Takes the entries that start at positions in a direction of a connection.
    pub fn places(&mut self, connection: u64, direction: Direction) -> Vec<(EntryIndex, u64)> {
        self.places.remove(&(connection, direction)).unwrap_or_default()
    }

    /// Takes the entries that start with a signal.
    pub fn signal(&mut self, name: &str) -> Vec<EntryIndex> {
        self.signals.remove(name).unwrap_or_default()
    }

    /// Counts a new message and takes the entries that start in it, each with its byte count in the message.
    pub fn message(&mut self, direction: Direction) -> Vec<(EntryIndex, u64)> {
        let n = &mut self.message_count[direction.index()];
        *n += 1;
        self.messages.remove(&(direction, *n)).unwrap_or_default()
    }

    /// Searches bytes for patterns. Returns the entries that start and the number of bytes before each.
    pub fn find_patterns(
        &mut self,
        direction: Direction,
        matched: &mut Matched,
        bytes: &[u8],
    ) -> Vec<(EntryIndex, usize)> {
        let mut found = Vec::new();
        for pattern in self.patterns.iter_mut().filter(|pattern| pattern.direction == direction) {
            let matched = matched.entry(pattern.index).or_default();
            for (at, byte) in bytes.iter().enumerate() {
                if pattern.step(matched, *byte) {
                    pattern.occurrences += 1;
                    if pattern.occurrences == pattern.n {
                        found.push((pattern.index, at + 1));
                    }
                }
            }
        }
        self.patterns.retain(|pattern| pattern.occurrences < pattern.n);
        found
    }
}

/// Returns whether the trigger of an entry can never fire.
pub(crate) fn can_never_fire(entry: &Entry) -> bool {
    match entry.when.parts().0 {
        Trigger::Within { .. } => true,
        Trigger::Connection(n) | Trigger::Message { n, .. } => *n == 0,
        Trigger::Pattern { bytes, n, .. } => bytes.is_empty() || *n == 0,
        Trigger::Bytes { connection, .. } => *connection == 0,
        Trigger::At(_) | Trigger::Signal(_) => false,
    }
}
