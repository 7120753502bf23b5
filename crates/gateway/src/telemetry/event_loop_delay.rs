//! How far the gateway is behind: how long ago what it takes up now came in. A machine that gives it too little of a
//! core shows here, and nowhere else: hosts, counter and clients all seem slow then.

use policy::api::{Span, Time};

const MS: Span = 1_000_000;
/// What is older than this when it is taken up is told of: a sixth of the shortest aim of a usual site.
const BEHIND: Span = 100 * MS;
/// So long without lag, and it is over.
const CALM: Span = 5_000 * MS;
const FIRST_PAUSE: Span = 10_000 * MS;
const LONGEST_PAUSE: Span = 600_000 * MS;

/// What is to be said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Said {
    /// It is behind: by so much at the most since it was last said.
    Behind(Span),
    /// It is behind no more, after so long.
    Over(Span),
}

/// What is known of the gateway's lag.
#[derive(Debug, Default)]
pub(crate) struct Lag {
    since: Option<Time>,
    /// When it was last behind.
    last: Time,
    most: Span,
    quiet_until: Time,
    pause: Span,
}

impl Lag {
    /// Something that came in then is taken up now.
    pub fn took(&mut self, now: Time, came: Time) -> Option<Said> {
        let lag = now.saturating_sub(came);
        if lag <= BEHIND {
            let since = self.since.filter(|_| now.saturating_sub(self.last) >= CALM)?;
            *self = Lag::default();
            return Some(Said::Over(now.saturating_sub(since)));
        }
        self.since.get_or_insert(came);
        self.last = now;
        self.most = self.most.max(lag);
        if now < self.quiet_until {
            return None;
        }
        self.pause = (2 * self.pause).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.quiet_until = now + self.pause;
        Some(Said::Behind(std::mem::take(&mut self.most)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Span = 1_000 * MS;

    #[test]
    fn lag_is_told_at_once_then_ever_more_seldom_and_once_when_it_is_over() {
        let mut lag = Lag::default();
        let mut lines = Vec::new();
        // A hundred a second for a minute; from 5 s to 45 s they are 300 ms old, and once 800.
        for n in 0..6_000 {
            let now = 100 * SECOND + n * 10 * MS;
            let late = match n {
                3_000 => 800,
                500..4_500 => 300,
                _ => 100,
            };
            lines.extend(lag.took(now, now - late * MS).map(|said| (n / 100, said)));
        }
        let behind = |ms| Said::Behind(ms * MS);
        let over = Said::Over(45 * SECOND + 290 * MS);
        assert_eq!(lines, [(5, behind(300)), (15, behind(300)), (35, behind(800)), (49, over)]);
        // It is news again after that.
        assert_eq!(lag.took(200 * SECOND, 199 * SECOND), Some(behind(1_000)));
    }
}
