//! Names and their totals, and the lines of calls before them: one side of the counter.

use super::{Amount, Name};
use crate::{Span, Time, SECOND};
use std::collections::{BTreeMap, VecDeque};

/// The longest life of a name.
pub const MAX_NAME_LIFETIME: Span = 60 * SECOND;

/// A name's total.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// What all sides of a split knew when it began.
    shared: Amount,
    /// What this side has added since.
    own: Amount,
    /// The name starts anew from here on.
    expires: Time,
    /// When the last answer that told of it is due.
    answered: Time,
}

impl Entry {
    fn total(&self) -> Amount {
        self.shared + self.own
    }
}

/// The calls waiting at one part.
#[derive(Clone, Debug, Default)]
struct Line {
    /// When it can begin another call.
    free: Time,
    /// When those that wait have their turns, soonest first.
    turns: VecDeque<Time>,
}

/// A counter of its own: totals, and a line for each part.
#[derive(Clone, Debug)]
pub(super) struct Side {
    entries: BTreeMap<Name, Entry>,
    lines: Vec<Line>,
}

impl Side {
    /// With this many parts.
    pub fn new(parts: u32) -> Side {
        Side { entries: BTreeMap::new(), lines: vec![Line::default(); parts.max(1) as usize] }
    }

    /// When a call that comes now has its turn, if it finds room in the line; the part takes `slot` for it.
    pub fn queue(&mut self, now: Time, name: &[u8], slot: Span, room: u32) -> Option<Time> {
        let part = part_of(name, self.lines.len());
        let line = &mut self.lines[part];
        while line.turns.front().is_some_and(|turn| *turn <= now) {
            line.turns.pop_front();
        }
        let turn = line.free.max(now);
        if turn > now {
            if line.turns.len() >= room as usize {
                return None;
            }
            line.turns.push_back(turn);
        }
        line.free = turn.saturating_add(slot);
        Some(turn)
    }

    /// Adds, and gives the total. A new name lives for `keep`.
    pub fn add(&mut self, now: Time, name: &[u8], amount: Amount, keep: Span) -> Amount {
        let entry = match self.entries.get_mut(name) {
            Some(entry) => entry,
            None => self.entries.entry(name.into()).or_default(),
        };
        if entry.expires <= now {
            let expires = now.saturating_add(keep.clamp(1, MAX_NAME_LIFETIME));
            *entry = Entry { expires, answered: entry.answered, ..Entry::default() };
        }
        entry.own += amount;
        entry.total()
    }

    /// When an answer that tells of this name is due: not before earlier ones.
    pub fn answer_at(&mut self, name: &[u8], at: Time) -> Time {
        let Some(entry) = self.entries.get_mut(name) else { return at };
        entry.answered = entry.answered.max(at);
        entry.answered
    }

    /// Takes out names that have expired and have no answer on its way.
    pub fn sweep(&mut self, now: Time) {
        self.entries.retain(|_, entry| entry.expires.max(entry.answered) > now);
    }

    /// Forgets all names and the calls that wait.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.lines.fill(Line::default());
    }

    /// From now on others may hold copies of this.
    pub fn share(&mut self) {
        for entry in self.entries.values_mut() {
            entry.shared = entry.total();
            entry.own = Amount::default();
        }
    }

    /// Takes in what a copy has added since it was made. Its lines stay as long as the longest were, so that
    /// calls that still wait keep their places.
    pub fn merge(&mut self, now: Time, other: Side) {
        for (name, theirs) in other.entries {
            let ours = self.entries.entry(name).or_default();
            if theirs.expires > now {
                // Copies of one name expire together. Where ours is over, theirs was begun after it.
                ours.shared = if ours.expires > now { ours.shared } else { theirs.shared };
                ours.own = if ours.expires > now { ours.own + theirs.own } else { theirs.own };
                ours.expires = ours.expires.max(theirs.expires);
            }
            ours.answered = ours.answered.max(theirs.answered);
        }
        for (ours, theirs) in self.lines.iter_mut().zip(other.lines) {
            if theirs.free > ours.free {
                *ours = theirs;
            }
        }
    }

    /// The total of a name that has not expired.
    pub fn total(&self, now: Time, name: &[u8]) -> Option<Amount> {
        self.entries.get(name).filter(|entry| entry.expires > now).map(Entry::total)
    }

    /// Names that have not expired, and their totals.
    pub fn totals(&self, now: Time) -> impl Iterator<Item = (&Name, Amount)> {
        let alive = self.entries.iter().filter(move |(_, entry)| entry.expires > now);
        alive.map(|(name, entry)| (name, entry.total()))
    }
}

/// FNV-1a over the name, then the finisher of MurmurHash3: alone, names that differ in their last bytes have
/// nearly the same high half and much the same low bits.
fn part_of(name: &[u8], parts: usize) -> usize {
    let hash = name.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    (((hash >> 32) * parts as u64) >> 32) as usize
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_are_split_evenly_over_the_parts() {
        let mut counts = [0; 4];
        (0..4000).for_each(|n| counts[part_of(format!("{n:016x}").as_bytes(), 4)] += 1);
        assert!(counts.iter().all(|count| (800..1200).contains(count)), "{counts:?}");
    }
}
