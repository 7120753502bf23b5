//! What is planned on a link, by the moments that it waits for.

use std::collections::{BTreeMap, BTreeSet};

use crate::plan::{Direction, Entry, Moment};

/// A place in a plan of one link; of several at the same place the first comes first.
pub(crate) type Index = usize;

/// Bytes that are looked for, as Knuth, Morris and Pratt do.
#[derive(Clone, Debug)]
struct Pattern {
    index: Index,
    way: Direction,
    bytes: Vec<u8>,
    /// For each length that has matched: the longest shorter one that has, too.
    back: Vec<usize>,
    n: u64,
    seen: u64,
}

impl Pattern {
    fn new(index: Index, way: Direction, bytes: &[u8], n: u64) -> Pattern {
        let mut back = vec![0; bytes.len()];
        let mut matched = 0;
        for at in 1..bytes.len() {
            while matched > 0 && bytes[at] != bytes[matched] {
                matched = back[matched - 1];
            }
            matched += usize::from(bytes[at] == bytes[matched]);
            back[at] = matched;
        }
        Pattern { index, way, bytes: bytes.to_vec(), back, n, seen: 0 }
    }

    /// One more byte; whether the pattern ends with it.
    fn step(&self, matched: &mut usize, byte: u8) -> bool {
        while *matched > 0 && byte != self.bytes[*matched] {
            *matched = self.back[*matched - 1];
        }
        *matched += usize::from(byte == self.bytes[*matched]);
        let whole = *matched == self.bytes.len();
        if whole {
            *matched = self.back[*matched - 1];
        }
        whole
    }
}

/// How much of each pattern a stream has just seen, by the pattern's index.
pub(crate) type Matched = BTreeMap<Index, usize>;

/// The plan of one link.
#[derive(Clone, Debug, Default)]
pub(crate) struct Moments {
    entries: Vec<Entry>,
    /// Entries that have begun: one that two things may begin comes once.
    over: BTreeSet<Index>,
    connections: BTreeMap<u64, Vec<Index>>,
    messages: BTreeMap<(Direction, u64), Vec<(Index, u64)>>,
    places: BTreeMap<(u64, Direction), Vec<(Index, u64)>>,
    signals: BTreeMap<String, Vec<Index>>,
    patterns: Vec<Pattern>,
    /// Messages that have begun.
    begun: [u64; 2],
}

impl Moments {
    pub fn add(&mut self, entry: Entry) -> Index {
        let index = self.entries.len();
        match entry.when.parts().0 {
            // A moment that may be waited for is none that waits itself.
            Moment::At(_) | Moment::Within { .. } => {}
            Moment::Connection(n) => self.connections.entry(*n).or_default().push(index),
            Moment::Message { way, n, after } => {
                self.messages.entry((*way, *n)).or_default().push((index, *after));
            }
            Moment::Pattern { way, bytes, n } => {
                self.patterns.push(Pattern::new(index, *way, bytes, *n));
            }
            Moment::Bytes { connection, way, bytes } => {
                self.places.entry((*connection, *way)).or_default().push((index, *bytes));
            }
            Moment::Signal(name) => self.signals.entry(name.clone()).or_default().push(index),
        }
        self.entries.push(entry);
        index
    }

    pub fn entry(&self, index: Index) -> &Entry {
        &self.entries[index]
    }

    /// The entry begins now; `None` where it has before.
    pub fn begin(&mut self, index: Index) -> Option<Entry> {
        self.over.insert(index).then(|| self.entries[index].clone())
    }

    /// What begins with a link's n-th connection.
    pub fn connection(&mut self, n: u64) -> Vec<Index> {
        self.connections.remove(&n).unwrap_or_default()
    }

    /// What begins at places of a direction of a connection.
    pub fn places(&mut self, connection: u64, way: Direction) -> Vec<(Index, u64)> {
        self.places.remove(&(connection, way)).unwrap_or_default()
    }

    /// What begins with a signal.
    pub fn signal(&mut self, name: &str) -> Vec<Index> {
        self.signals.remove(name).unwrap_or_default()
    }

    /// A message has begun: what begins in it, and after how many bytes of it.
    pub fn message(&mut self, way: Direction) -> Vec<(Index, u64)> {
        let n = &mut self.begun[way.index()];
        *n += 1;
        self.messages.remove(&(way, *n)).unwrap_or_default()
    }

    /// Looks for patterns in bytes; what begins behind how many of them.
    pub fn look(&mut self, way: Direction, matched: &mut Matched, bytes: &[u8]) -> Vec<(Index, usize)> {
        let mut found = Vec::new();
        for pattern in self.patterns.iter_mut().filter(|pattern| pattern.way == way) {
            let matched = matched.entry(pattern.index).or_default();
            for (at, byte) in bytes.iter().enumerate() {
                if pattern.step(matched, *byte) {
                    pattern.seen += 1;
                    if pattern.seen == pattern.n {
                        found.push((pattern.index, at + 1));
                    }
                }
            }
        }
        self.patterns.retain(|pattern| pattern.seen < pattern.n);
        found
    }
}

/// Whether a moment can never come.
pub(crate) fn never(entry: &Entry) -> bool {
    match entry.when.parts().0 {
        Moment::Within { .. } => true,
        Moment::Connection(n) | Moment::Message { n, .. } => *n == 0,
        Moment::Pattern { bytes, n, .. } => bytes.is_empty() || *n == 0,
        Moment::Bytes { connection, .. } => *connection == 0,
        Moment::At(_) | Moment::Signal(_) => false,
    }
}
