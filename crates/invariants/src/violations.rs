//! The violations found so far, and the inconsistencies in the observations.

use crate::{seconds, Rule, Violation};
use cluster_model::Time;
use std::collections::BTreeSet;

/// Further violations are only counted, so that a severely broken gateway cannot exhaust the memory.
const MAX_VIOLATIONS: usize = 1_000;
/// The same limit for inconsistencies.
const MAX_NOTES: usize = 100;

/// The subject of a violation: each subject is reported once for each rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    Request(u64),
    Host(u32),
    Customer(u64),
    Gateway(u32),
}

#[derive(Debug)]
pub(crate) struct ViolationLog {
    start: Time,
    violations: Vec<Violation>,
    reported: BTreeSet<(Rule, Subject)>,
    notes: Vec<String>,
    unlisted: u64,
}

impl ViolationLog {
    pub(crate) fn new(start: Time) -> ViolationLog {
        ViolationLog {
            start,
            violations: Vec::new(),
            reported: BTreeSet::new(),
            notes: Vec::new(),
            unlisted: 0,
        }
    }

    /// Records a violation, unless the same rule was already reported for this subject.
    pub(crate) fn violation(
        &mut self,
        at: Time,
        rule: Rule,
        subject: Subject,
        text: impl FnOnce() -> String,
    ) {
        if self.reported.contains(&(rule, subject)) {
            return;
        }
        if self.violations.len() >= MAX_VIOLATIONS {
            self.unlisted += 1;
            return;
        }
        self.reported.insert((rule, subject));
        self.violations.push(Violation { rule, at_s: seconds(self.start, at), text: text() });
    }

    /// Records an inconsistency between observations.
    pub(crate) fn note(&mut self, text: impl FnOnce() -> String) {
        if self.notes.len() < MAX_NOTES {
            self.notes.push(text());
        }
    }

    /// Returns the violations in the order in which they were found.
    pub(crate) fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the violations in chronological order, and the notes.
    pub(crate) fn finish(mut self) -> (Vec<Violation>, Vec<String>) {
        self.violations.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        if self.unlisted > 0 {
            let (listed, unlisted) = (self.violations.len(), self.unlisted);
            self.notes.push(format!("{unlisted} violations found after the first {listed} are not listed"));
        }
        (self.violations, self.notes)
    }
}

/// Displays the number of a machine counted from 1, as in scenarios.
#[derive(Clone, Copy)]
pub(crate) struct OneBased(pub(crate) u32);

impl std::fmt::Display for OneBased {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", u64::from(self.0) + 1)
    }
}
