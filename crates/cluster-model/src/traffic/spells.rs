//! When a customer asks for more than its rate.

use crate::rng::Rng;
use crate::{Span, Time, MS, SECOND};

/// How a customer uses its rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// A part of it.
    Usual,
    /// Nearly all of it.
    Full,
    /// More than it in long spells.
    Heavy,
    /// Much more than it now and then.
    Spiky,
    /// More than it, all the time.
    Greedy,
}

/// From and to, in nanoseconds.
type Lengths = (Span, Span);

impl Kind {
    /// Lengths of the spells and of the pauses between them, where there are any.
    fn lengths(self) -> Option<(Lengths, Lengths)> {
        match self {
            Kind::Usual | Kind::Full | Kind::Greedy => None,
            Kind::Heavy => Some(((10 * SECOND, 30 * SECOND), (10 * SECOND, 30 * SECOND))),
            Kind::Spiky => Some(((600 * MS, 4500 * MS), (10 * SECOND, 25 * SECOND))),
        }
    }

    /// Share of the time that spells take.
    pub(super) fn loud_share(self) -> f64 {
        let mean = |(from, to): Lengths| (from + to) as f64 / 2.0;
        self.lengths().map_or(0.0, |(loud, quiet)| mean(loud) / (mean(loud) + mean(quiet)))
    }
}

/// The spells of one customer, walked through in the order of time. Two walks from the same seed are alike.
#[derive(Clone, Debug)]
pub(super) struct Spells {
    rng: Rng,
    kind: Kind,
    loud: bool,
    until: Time,
}

impl Spells {
    /// From time 0, which lies anywhere in a spell or a pause.
    pub(super) fn new(kind: Kind, rng: Rng) -> Spells {
        let mut spells = Spells { rng, kind, loud: false, until: Time::MAX };
        if kind.lengths().is_some() {
            // The other way round, since a turn follows; then a part of the first one has passed already.
            spells.loud = !spells.rng.chance(kind.loud_share());
            spells.until = 0;
            spells.turn();
            spells.until = (spells.until as f64 * spells.rng.unit()) as Time;
        }
        spells
    }

    /// Whether this is a spell.
    pub(super) fn loud(&self) -> bool {
        self.loud
    }

    /// When the present spell or pause ends; never: [`Time::MAX`].
    pub(super) fn until(&self) -> Time {
        self.until
    }

    /// Goes on to the next spell or pause. False: this one never ends.
    pub(super) fn turn(&mut self) -> bool {
        let Some((loud, quiet)) = self.kind.lengths().filter(|_| self.until < Time::MAX) else {
            return false;
        };
        self.loud = !self.loud;
        let (from, to) = if self.loud { loud } else { quiet };
        let length = self.rng.between(from as f64, to as f64) as Span;
        self.until = self.until.saturating_add(length);
        true
    }

    /// Goes on to the spell or pause at `at`.
    pub(super) fn seek(&mut self, at: Time) {
        while self.until <= at && self.turn() {}
    }
}
