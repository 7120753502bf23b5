//! What falls due: kept by steps of time, so that what falls due together costs one wake-up, and nothing is
//! gone through that is not due.

use crate::api::{Span, Time};
use std::collections::BTreeMap;

/// Moments are rounded up to a multiple of this: short against any aim worth holding, long against a batch.
pub(crate) const STEP: Span = 20_000_000;

/// Things that fall due, those of one step in the order in which they were put there.
#[derive(Debug)]
pub(crate) struct Dues<T> {
    steps: BTreeMap<u64, Vec<T>>,
    /// For when a wake-up is asked for.
    armed: Option<Time>,
}

impl<T> Default for Dues<T> {
    fn default() -> Self {
        Dues { steps: BTreeMap::new(), armed: None }
    }
}

impl<T> Dues<T> {
    /// This falls due then, or up to a step later.
    pub fn put(&mut self, at: Time, what: T) {
        self.steps.entry(at.div_ceil(STEP)).or_default().push(what);
    }

    /// The next that is due by now.
    pub fn take(&mut self, now: Time) -> Vec<T> {
        match self.steps.first_entry() {
            Some(first) if *first.key() <= now / STEP => first.remove(),
            _ => Vec::new(),
        }
    }

    /// A wake-up has come.
    pub fn woken(&mut self, now: Time) {
        self.armed = self.armed.filter(|at| *at > now);
    }

    /// In how long to be woken, if nobody has been asked for it yet.
    pub fn arm(&mut self, now: Time) -> Option<Span> {
        let next = self.steps.first_key_value().map(|(step, _)| step * STEP)?;
        if self.armed.is_some_and(|at| at <= next) {
            return None;
        }
        self.armed = Some(next);
        Some(next.saturating_sub(now))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_due_comes_step_by_step_in_the_order_it_was_put() {
        let mut dues = Dues::default();
        for (at, what) in [(3 * STEP, 'c'), (STEP - 5, 'a'), (3 * STEP - 1, 'd'), (STEP, 'b')] {
            dues.put(at, what);
        }
        assert_eq!(dues.take(STEP - 1), []);
        assert_eq!(dues.take(10 * STEP), ['a', 'b']);
        assert_eq!(dues.take(10 * STEP), ['c', 'd']);
        assert_eq!(dues.take(10 * STEP), []);
    }

    #[test]
    fn one_wake_up_is_asked_for_at_a_time() {
        let mut dues = Dues::default();
        assert_eq!(dues.arm(0), None, "nothing is to come");
        dues.put(3 * STEP, ());
        assert_eq!((dues.arm(STEP), dues.arm(STEP)), (Some(2 * STEP), None));
        dues.put(2 * STEP, ());
        assert_eq!(dues.arm(STEP), Some(STEP), "an earlier one");
        dues.woken(2 * STEP);
        dues.take(2 * STEP);
        assert_eq!(dues.arm(2 * STEP), Some(STEP));
        dues.woken(2 * STEP + 1);
        assert_eq!(
            dues.arm(2 * STEP + 1),
            None,
            "a wake-up that comes too early leaves the one that is to come"
        );
    }
}
