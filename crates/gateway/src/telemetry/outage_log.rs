//! When a log speaks of a peer that is away: at once, then ever more rarely, and once when it is back. A peer
//! that comes and goes all night does not fill the log either.

use policy::api::{Span, Time};

const SECOND: Span = 1_000_000_000;
/// The second line about an outage comes after this, each further one after twice as long.
const FIRST_PAUSE: Span = 10 * SECOND;
const LONGEST_PAUSE: Span = 600 * SECOND;
/// After this long without trouble the next one is a new one.
const WELL: Span = 60 * SECOND;

/// What is known of one peer's outages.
#[derive(Debug, Default)]
pub struct Outage {
    /// Since when the peer has been away.
    since: Option<Time>,
    /// That has been said.
    said: bool,
    /// Until when nothing more is said.
    quiet_until: Time,
    pause: Span,
    /// When it was last away.
    last: Time,
}

impl Outage {
    /// It cannot be reached.
    pub fn is_on(&self) -> bool {
        self.since.is_some()
    }

    /// The peer cannot be reached. `Some`: this is to be said, with how long it has been away.
    pub fn failed(&mut self, now: Time) -> Option<Span> {
        if now.saturating_sub(self.last) > WELL {
            self.pause = 0;
            self.quiet_until = 0;
        }
        self.last = now;
        let since = *self.since.get_or_insert(now);
        if now < self.quiet_until {
            return None;
        }
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.quiet_until = now + self.pause;
        self.said = true;
        Some(now - since)
    }

    /// The peer answers. `Some`: that is news, with how long it was away.
    pub fn back(&mut self, now: Time) -> Option<Span> {
        let since = self.since.take()?;
        std::mem::take(&mut self.said).then_some(now - since)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_outage_of_an_hour_is_told_in_eleven_lines() {
        let mut outage = Outage::default();
        let lines = (0..3600 * 5).filter_map(|n| outage.failed(1_000 * SECOND + n * SECOND / 5)).count();
        assert_eq!(lines, 11);
        assert_eq!(outage.back(4_601 * SECOND), Some(3_601 * SECOND));
        assert_eq!(outage.back(4_602 * SECOND), None);
    }

    #[test]
    fn a_peer_that_comes_and_goes_is_spoken_of_as_rarely() {
        let mut outage = Outage::default();
        let mut lines = 0;
        for n in 0..3600 {
            let now = (1_000 + n) * SECOND;
            lines += usize::from(outage.failed(now).is_some());
            lines += usize::from(outage.back(now + SECOND / 2).is_some());
        }
        assert!((12..=26).contains(&lines), "{lines}");
    }

    #[test]
    fn after_a_good_while_trouble_is_news_again() {
        let mut outage = Outage::default();
        assert_eq!(outage.failed(1_000 * SECOND), Some(0));
        assert_eq!(outage.failed(1_001 * SECOND), None);
        outage.back(1_002 * SECOND);
        assert_eq!(outage.failed(1_003 * SECOND), None);
        outage.back(1_004 * SECOND);
        assert_eq!(outage.failed(1_100 * SECOND), Some(0));
    }
}
