//! A store of units: it starts full, fills at a rate, and holds so much at most.

use cluster_model::Time;

/// Units by which sums of floating-point numbers may be off.
const ROUNDING: f64 = 1e-6;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Store {
    /// Units a second.
    rate: f64,
    most: f64,
    level: f64,
    at: Time,
}

impl Store {
    pub(crate) fn new(rate: f64, most: f64, now: Time) -> Store {
        Store { rate, most, level: most, at: now }
    }

    /// What it holds now; below 0 where more was taken.
    pub(crate) fn level(&mut self, now: Time) -> f64 {
        let span = now.saturating_sub(self.at) as f64 / 1e9;
        self.at = self.at.max(now);
        self.level = (self.level + self.rate * span).min(self.most);
        self.level
    }

    pub(crate) fn holds(&mut self, now: Time, units: f64) -> bool {
        self.level(now) + ROUNDING >= units
    }

    /// Takes units, or gives them back where they are below 0.
    pub(crate) fn take(&mut self, now: Time, units: f64) {
        self.level = self.level(now) - units;
    }
}
