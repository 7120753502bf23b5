//! Limit on the work that a host survives while warming up: the work received within any window of fixed length.

use crate::scenario::RulesSpec;
use crate::{Span, Time};
use std::collections::VecDeque;

/// Work received within one such fraction of the window shares an entry, which bounds the number of entries.
const ENTRIES_PER_WINDOW: Span = 256;

#[derive(Clone, Debug)]
pub(super) struct OverloadBudget {
    multiple: f64,
    window: Span,
    slack: f64,
    /// Receive time and amount of work, oldest first.
    recent: VecDeque<(Time, Span)>,
    sum: Span,
}

impl OverloadBudget {
    pub(super) fn new(rules: &RulesSpec, slack: f64) -> OverloadBudget {
        OverloadBudget {
            multiple: rules.overload_factor,
            window: rules.overload_span,
            slack,
            recent: VecDeque::new(),
            sum: 0,
        }
    }

    /// Adds work. Returns false if the window then holds more work than the host survives at `capacity`, in work
    /// per nanosecond.
    pub(super) fn add_and_check(&mut self, now: Time, work: Span, capacity: f64) -> bool {
        while let Some((_, old)) = self.recent.front().filter(|(at, _)| at.saturating_add(self.window) <= now)
        {
            self.sum -= old;
            self.recent.pop_front();
        }
        // Avoids an overflow; a sum this large exceeds any budget.
        let work = work.min(Span::MAX - self.sum);
        match self.recent.back_mut() {
            Some((at, sum)) if now - *at < self.window / ENTRIES_PER_WINDOW => *sum += work,
            _ => self.recent.push_back((now, work)),
        }
        self.sum += work;
        self.sum as f64 <= self.multiple * capacity * self.window as f64 + self.slack
    }
}
