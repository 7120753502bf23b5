//! What is planned on a link, by the moments that it waits for.

use std::collections::{BTreeMap, BTreeSet};

use crate::plan::{Direction, Entry, Trigger};

/// A place in a plan of one link; of several at the same place the first comes first.
pub(crate) type EntryIndex = usize;

/// Bytes that are looked for, as Knuth, Morris and Pratt do.
#[derive(Clone, Debug)]
struct Pattern {
    index: EntryIndex,
    way: Direction,
    bytes: Vec<u8>,
    /// For each length that has matched: the longest shorter one that has, too.
    failure_table: Vec<usize>,
    n: u64,
    occurrences: u64,
}

impl Pattern {
    fn new(index: EntryIndex, way: Direction, bytes: &[u8], n: u64) -> Pattern {
        let mut failure_table = vec![0; bytes.len()];
        let mut matched = 0;
        for at in 1..bytes.len() {
            while matched > 0 && bytes[at] != bytes[matched] {
                matched = failure_table[matched - 1];
            }
            matched += usize::from(bytes[at] == bytes[matched]);
            failure_table[at] = matched;
        }
        Pattern { index, way, bytes: bytes.to_vec(), failure_table, n, occurrences: 0 }
    }

    /// One more byte; whether the pattern ends with it.
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

/// How much of each pattern a stream has just occurrences, by the pattern's index.
pub(crate) type Matched = BTreeMap<EntryIndex, usize>;

/// The plan of one link.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlannedFaults {
    entries: Vec<Entry>,
    /// Entries that have begun: one that two things may begin comes once.
    started: BTreeSet<EntryIndex>,
    connections: BTreeMap<u64, Vec<EntryIndex>>,
    messages: BTreeMap<(Direction, u64), Vec<(EntryIndex, u64)>>,
    places: BTreeMap<(u64, Direction), Vec<(EntryIndex, u64)>>,
    signals: BTreeMap<String, Vec<EntryIndex>>,
    patterns: Vec<Pattern>,
    /// Messages that have begun.
    message_count: [u64; 2],
}

impl PlannedFaults {
    pub fn add(&mut self, entry: Entry) -> EntryIndex {
        let index = self.entries.len();
        match entry.when.parts().0 {
            // A moment that may be waited for is none that waits itself.
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

    /// The entry begins now; `None` where it has before.
    pub fn begin(&mut self, index: EntryIndex) -> Option<Entry> {
        self.started.insert(index).then(|| self.entries[index].clone())
    }

    /// What begins with a link's n-th connection.
    pub fn connection(&mut self, n: u64) -> Vec<EntryIndex> {
        self.connections.remove(&n).unwrap_or_default()
    }

    /// What begins at places of a direction of a connection.
    pub fn places(&mut self, connection: u64, way: Direction) -> Vec<(EntryIndex, u64)> {
        self.places.remove(&(connection, way)).unwrap_or_default()
    }

    /// What begins with a signal.
    pub fn signal(&mut self, name: &str) -> Vec<EntryIndex> {
        self.signals.remove(name).unwrap_or_default()
    }

    /// A message has begun: what begins in it, and after how many bytes of it.
    pub fn message(&mut self, way: Direction) -> Vec<(EntryIndex, u64)> {
        let n = &mut self.message_count[way.index()];
        *n += 1;
        self.messages.remove(&(way, *n)).unwrap_or_default()
    }

    /// Looks for patterns in bytes; what begins behind how many of them.
    pub fn find_patterns(
        &mut self,
        way: Direction,
        matched: &mut Matched,
        bytes: &[u8],
    ) -> Vec<(EntryIndex, usize)> {
        let mut found = Vec::new();
        for pattern in self.patterns.iter_mut().filter(|pattern| pattern.way == way) {
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

/// Whether a moment can never come.
pub(crate) fn can_never_fire(entry: &Entry) -> bool {
    match entry.when.parts().0 {
        Trigger::Within { .. } => true,
        Trigger::Connection(n) | Trigger::Message { n, .. } => *n == 0,
        Trigger::Pattern { bytes, n, .. } => bytes.is_empty() || *n == 0,
        Trigger::Bytes { connection, .. } => *connection == 0,
        Trigger::At(_) | Trigger::Signal(_) => false,
    }
}
