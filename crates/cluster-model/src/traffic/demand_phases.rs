//! Phases in which a customer's demand exceeds its quota.

use crate::rng::Rng;
use crate::{Span, Time, MS, SECOND};

/// How much of its quota a customer uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UsagePattern {
    /// A part of it.
    Usual,
    /// Nearly all of it.
    Full,
    /// More than all of it in long phases.
    Heavy,
    /// Far more than all of it in short phases.
    Spiky,
    /// More than all of it at all times.
    Greedy,
}

/// Minimum and maximum length in nanoseconds.
type LengthRange = (Span, Span);

impl UsagePattern {
    /// Lengths of the phases of high and of base demand, for patterns that alternate between them.
    fn phase_lengths(self) -> Option<(LengthRange, LengthRange)> {
        match self {
            UsagePattern::Usual | UsagePattern::Full | UsagePattern::Greedy => None,
            UsagePattern::Heavy => Some(((10 * SECOND, 30 * SECOND), (10 * SECOND, 30 * SECOND))),
            UsagePattern::Spiky => Some(((600 * MS, 4500 * MS), (10 * SECOND, 25 * SECOND))),
        }
    }

    /// Expected share of the time that is spent in phases of high demand.
    pub(super) fn high_demand_share(self) -> f64 {
        let mean = |(from, to): LengthRange| (from + to) as f64 / 2.0;
        self.phase_lengths().map_or(0.0, |(high, base)| mean(high) / (mean(high) + mean(base)))
    }
}

/// Iterates over the demand phases of one customer in time order. The same seed gives the same phases.
#[derive(Clone, Debug)]
pub(super) struct DemandPhases {
    rng: Rng,
    pattern: UsagePattern,
    is_high: bool,
    ends_at: Time,
}

impl DemandPhases {
    /// Starts at time 0, at a random point within a phase.
    pub(super) fn new(pattern: UsagePattern, rng: Rng) -> DemandPhases {
        let mut phases = DemandPhases { rng, pattern, is_high: false, ends_at: Time::MAX };
        if pattern.phase_lengths().is_some() {
            // Inverted, because `advance` flips it. A random part of the first phase has already passed.
            phases.is_high = !phases.rng.chance(pattern.high_demand_share());
            phases.ends_at = 0;
            phases.advance();
            phases.ends_at = (phases.ends_at as f64 * phases.rng.unit()) as Time;
        }
        phases
    }

    /// Whether the current phase is one of high demand.
    pub(super) fn is_high(&self) -> bool {
        self.is_high
    }

    /// End of the current phase; [`Time::MAX`] if it never ends.
    pub(super) fn ends_at(&self) -> Time {
        self.ends_at
    }

    /// Moves to the next phase. Returns false if the current one never ends.
    pub(super) fn advance(&mut self) -> bool {
        let Some((high, base)) = self.pattern.phase_lengths().filter(|_| self.ends_at < Time::MAX) else {
            return false;
        };
        self.is_high = !self.is_high;
        let (from, to) = if self.is_high { high } else { base };
        let length = self.rng.between(from as f64, to as f64) as Span;
        self.ends_at = self.ends_at.saturating_add(length);
        true
    }

    /// Moves to the phase at `at`.
    pub(super) fn seek(&mut self, at: Time) {
        while self.ends_at <= at && self.advance() {}
    }
}
