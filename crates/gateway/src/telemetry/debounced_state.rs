//! What is worth a line in the log: a state that lasts, once.

use runtime::{Span, Time};

/// How far apart looks are. What does not last from one to the next is not told: after a start and after an outage
/// of the counter it takes some seconds until the other gateways are heard.
const LOOK: Span = 4_000_000_000;

/// A state that is looked at now and then, and told when it has changed for longer.
#[derive(Debug)]
pub(crate) struct Lasting<T> {
    told: T,
    seen: T,
    at: Time,
}

impl<T: Copy + PartialEq> Lasting<T> {
    /// Begins with what needs no telling.
    pub fn new(state: T, now: Time) -> Lasting<T> {
        Lasting { told: state, seen: state, at: now }
    }

    /// Whether it is time to look.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.at.saturating_add(LOOK)
    }

    /// The state at a look: gives it if it is to be told.
    pub fn look(&mut self, now: Time, state: T) -> Option<T> {
        self.at = now;
        let lasts = std::mem::replace(&mut self.seen, state) == state;
        if !lasts || self.told == state {
            return None;
        }
        self.told = state;
        Some(state)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What is told of states that are there at one look after the other.
    fn told(states: &str) -> String {
        let mut lasting = Lasting::new('-', 0);
        let looks = states.chars().zip(1..);
        looks.filter_map(|(state, n)| lasting.look(n * LOOK, state)).collect()
    }

    #[test]
    fn what_lasts_is_told_once() {
        assert_eq!(told("wwwwaaaawww"), "waw");
        assert_eq!(told("---"), "");
    }

    #[test]
    fn what_passes_is_not_told() {
        assert_eq!(told("apwwawwpaww"), "w", "a start, then states of one look each");
        assert_eq!(told("wwawawaw"), "w");
    }

    #[test]
    fn a_look_is_due_after_a_while() {
        let mut lasting = Lasting::new(0, 100);
        assert!(!lasting.is_due(99 + LOOK) && lasting.is_due(100 + LOOK));
        lasting.look(100 + LOOK, 1);
        assert!(!lasting.is_due(101 + LOOK));
    }
}
