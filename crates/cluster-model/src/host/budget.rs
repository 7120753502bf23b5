//! What a cold host bears: all work that reaches it within any window of a stated length.

use crate::scenario::RulesSpec;
use crate::{Span, Time};
use std::collections::VecDeque;

/// Work that comes within this part of the window is kept as one entry, which bounds the entries.
const PARTS: Span = 256;

#[derive(Clone, Debug)]
pub(super) struct Budget {
    multiple: f64,
    window: Span,
    slack: f64,
    /// Work and when it came, the oldest first.
    recent: VecDeque<(Time, Span)>,
    sum: Span,
}

impl Budget {
    pub(super) fn new(rules: &RulesSpec, slack: f64) -> Budget {
        Budget {
            multiple: rules.overload_factor,
            window: rules.overload_span,
            slack,
            recent: VecDeque::new(),
            sum: 0,
        }
    }

    /// Adds work; false: with it the window holds more than the host bears at `capacity` (work per nanosecond).
    pub(super) fn bears(&mut self, now: Time, work: Span, capacity: f64) -> bool {
        while let Some((_, old)) = self.recent.front().filter(|(at, _)| at.saturating_add(self.window) <= now)
        {
            self.sum -= old;
            self.recent.pop_front();
        }
        // What would overflow is far beyond any budget.
        let work = work.min(Span::MAX - self.sum);
        match self.recent.back_mut() {
            Some((at, sum)) if now - *at < self.window / PARTS => *sum += work,
            _ => self.recent.push_back((now, work)),
        }
        self.sum += work;
        self.sum as f64 <= self.multiple * capacity * self.window as f64 + self.slack
    }
}
