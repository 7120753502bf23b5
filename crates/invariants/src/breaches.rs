//! The broken rules found so far, and what the judge could not make sense of.

use crate::{seconds, Rule, Violation};
use cluster_model::Time;
use std::collections::BTreeSet;

/// Further ones are only counted: a thoroughly wrong gateway must not fill the memory.
const MOST_BREACHES: usize = 1_000;
/// The same for what makes no sense.
const MOST_NOTES: usize = 100;

/// Whom a breach is about: each is named once for each rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    Request(u64),
    Host(u32),
    Customer(u64),
    Gateway(u32),
}

#[derive(Debug)]
pub(crate) struct Log {
    start: Time,
    found: Vec<Violation>,
    known: BTreeSet<(Rule, Subject)>,
    notes: Vec<String>,
    unlisted: u64,
}

impl Log {
    pub(crate) fn new(start: Time) -> Log {
        Log { start, found: Vec::new(), known: BTreeSet::new(), notes: Vec::new(), unlisted: 0 }
    }

    /// Takes note of a broken rule, unless it is known of this subject.
    pub(crate) fn breach(&mut self, at: Time, rule: Rule, subject: Subject, text: impl FnOnce() -> String) {
        if self.known.contains(&(rule, subject)) {
            return;
        }
        if self.found.len() >= MOST_BREACHES {
            self.unlisted += 1;
            return;
        }
        self.known.insert((rule, subject));
        self.found.push(Violation { rule, at_s: seconds(self.start, at), text: text() });
    }

    /// Takes note of what does not fit together.
    pub(crate) fn note(&mut self, text: impl FnOnce() -> String) {
        if self.notes.len() < MOST_NOTES {
            self.notes.push(text());
        }
    }

    /// In the order in which they were found.
    pub(crate) fn found(&self) -> &[Violation] {
        &self.found
    }

    /// In the order of time, and the notes.
    pub(crate) fn finish(mut self) -> (Vec<Violation>, Vec<String>) {
        self.found.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        if self.unlisted > 0 {
            let (listed, unlisted) = (self.found.len(), self.unlisted);
            self.notes.push(format!("{unlisted} breaches found after the first {listed} are not listed"));
        }
        (self.found, self.notes)
    }
}

/// A machine as people count: from 1, as scenarios do.
#[derive(Clone, Copy)]
pub(crate) struct Nth(pub(crate) u32);

impl std::fmt::Display for Nth {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", u64::from(self.0) + 1)
    }
}
