//! Load shedding by tiers while a site is lost: a controller that follows the fraction of requests that are rejected
//! because capacity is exhausted, and the admission fractions that result for each cell.

use policy::api::{RejectReason, Span};

use crate::plan::{SheddingTier, SheddingTiers};
use crate::time::{in_seconds, SECOND};

/// Time constant in seconds by which the traffic mix decays.
const MIX_DECAY: f64 = 5.0;
/// Minimum interval between adjustments of the level. Until [`MIN_REQUESTS`] requests have been observed, an adjustment
/// is delayed, up to [`MAX_INTERVAL`].
const MIN_INTERVAL: Span = SECOND;
const MAX_INTERVAL: Span = 5 * SECOND;
const MIN_REQUESTS: f64 = 10.0;
/// Gain of the controller. It is the same upwards and downwards, so that random rejections at low load do not add up
/// to a rising level.
const GAIN: f64 = 0.7;
/// Set point of the controller: the rejected fraction at which hosts are well utilized and not overloaded.
const TARGET_REJECTED_FRACTION: f64 = 0.015;
/// Decrease of the shed fraction per second once all sites are available again.
const DECREASE_PER_SECOND: f64 = 0.05;
/// Smallest change of a cell's admission fraction that is reported.
const MIN_REPORTED_CHANGE: f64 = 0.005;
/// Lower bound of a number of requests that is used as a divisor.
const MIN_TOTAL: f64 = 1e-9;

/// Load shedding of one gateway.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadShedder {
    level: f64,
    /// Requests by cell since the last adjustment.
    requests: Vec<f64>,
    /// Requests by cell over the last seconds.
    mix: Vec<f64>,
    /// Requests rejected since the last adjustment because capacity was exhausted.
    rejected: f64,
    since_adjustment: Span,
    /// The admission fractions that were reported last; empty if all requests are admitted.
    reported: Vec<f64>,
}

fn is_capacity_exhausted(reason: RejectReason) -> bool {
    matches!(reason, RejectReason::QueueTooLong | RejectReason::QueuedTooLong | RejectReason::NoHost)
}

impl LoadShedder {
    /// Returns a shedder that admits all requests.
    pub fn new(shedding: &SheddingTiers) -> LoadShedder {
        let cells = shedding.cell_count();
        LoadShedder { requests: vec![0.0; cells], mix: vec![0.0; cells], ..LoadShedder::default() }
    }

    /// Resets the state for other tiers. The reported fractions are kept, so that the next report corrects them.
    pub fn reset(&mut self, shedding: &SheddingTiers) {
        let reported = std::mem::take(&mut self.reported);
        *self = LoadShedder { reported, ..LoadShedder::new(shedding) };
    }

    /// Observes a request of a cell, before it is admitted or shed.
    pub fn on_request(&mut self, cell: usize) {
        if let Some(requests) = self.requests.get_mut(cell) {
            *requests += 1.0;
        }
    }

    /// Observes a rejected request.
    pub fn on_rejected(&mut self, reason: RejectReason) {
        if is_capacity_exhausted(reason) {
            self.rejected += 1.0;
        }
    }

    /// Returns whether some requests are shed according to the fractions that were reported last.
    pub fn is_shedding_reported(&self) -> bool {
        !self.reported.is_empty()
    }

    /// Returns the level: the number of tiers that are shed down to their floors, plus the shed part of the next one.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns the tier that is being shed, if any.
    pub fn current_tier<'a>(&self, shedding: &'a SheddingTiers) -> Option<&'a SheddingTier> {
        shedding.tiers.get(self.current_tier_number()?)
    }

    /// Returns the index of the tier that is being shed, or `None` if none is.
    pub fn current_tier_number(&self) -> Option<usize> {
        (self.level > 0.0).then(|| libm::ceil(self.level) as usize - 1)
    }

    /// Adjusts the level if the interval has passed. With `all_available`, which means that all sites receive their
    /// load, the level only decreases.
    pub fn tick(&mut self, elapsed: Span, shedding: &SheddingTiers, all_available: bool) {
        self.since_adjustment += elapsed;
        let requests: f64 = self.requests.iter().sum();
        let is_too_early = self.since_adjustment < MIN_INTERVAL;
        let is_waiting = requests < MIN_REQUESTS && self.since_adjustment < MAX_INTERVAL;
        if is_too_early || is_waiting {
            return;
        }
        let seconds = in_seconds(self.since_adjustment);
        self.since_adjustment = 0;
        let rejected = std::mem::take(&mut self.rejected);
        self.update_mix(seconds);
        if requests <= 0.0 || all_available && self.level == 0.0 {
            return;
        }
        let change = if all_available {
            -DECREASE_PER_SECOND * seconds
        } else {
            GAIN * (rejected / requests.max(rejected) - TARGET_REJECTED_FRACTION)
        };
        self.level = self.level_for(shedding, self.shed_fraction(shedding) + change);
    }

    fn update_mix(&mut self, seconds: f64) {
        let decay = libm::exp(-seconds / MIX_DECAY);
        for (mix, requests) in self.mix.iter_mut().zip(&mut self.requests) {
            *mix = *mix * decay + *requests;
            *requests = 0.0;
        }
    }

    /// Returns the fraction of all requests that a tier sheds at its floor.
    fn max_shed_fraction(&self, tier: &SheddingTier) -> f64 {
        let total: f64 = self.mix.iter().sum();
        let of_tier: f64 = tier.cells.iter().filter_map(|cell| self.mix.get(*cell)).sum();
        of_tier / total.max(MIN_TOTAL) * (1.0 - tier.floor)
    }

    /// Returns the part of a tier, 0 to 1, that is shed at the current level.
    fn shed_part(&self, tier: usize) -> f64 {
        (self.level - tier as f64).clamp(0.0, 1.0)
    }

    /// Returns the fraction of all requests that is shed at the current level.
    fn shed_fraction(&self, shedding: &SheddingTiers) -> f64 {
        let of_tier =
            |(number, tier): (usize, &SheddingTier)| self.max_shed_fraction(tier) * self.shed_part(number);
        shedding.tiers.iter().enumerate().map(of_tier).sum()
    }

    /// Returns the level at which a fraction of all requests is shed, each tier to its floor before the next one.
    fn level_for(&self, shedding: &SheddingTiers, shed_fraction: f64) -> f64 {
        let mut remaining = shed_fraction;
        for (number, tier) in shedding.tiers.iter().enumerate() {
            let max = self.max_shed_fraction(tier);
            if remaining <= 0.0 {
                return number as f64;
            }
            if remaining < max {
                return number as f64 + remaining / max;
            }
            remaining -= max;
        }
        shedding.tiers.len() as f64
    }

    /// Returns the admitted fraction of requests by cell if it has changed enough to be reported; an empty list if all
    /// requests are admitted.
    pub fn changed_admission_fractions(&mut self, shedding: &SheddingTiers) -> Option<Vec<f64>> {
        let fractions = self.admission_fractions(shedding);
        let is_near = |(new, old): (&f64, &f64)| (new - old).abs() < MIN_REPORTED_CHANGE;
        if fractions.len() == self.reported.len() && fractions.iter().zip(&self.reported).all(is_near) {
            return None;
        }
        self.reported.clone_from(&fractions);
        Some(fractions)
    }

    fn admission_fractions(&self, shedding: &SheddingTiers) -> Vec<f64> {
        if self.level <= 0.0 {
            return Vec::new();
        }
        let mut fractions = vec![1.0; shedding.cell_count()];
        for (number, tier) in shedding.tiers.iter().enumerate() {
            let of_tier = 1.0 - (1.0 - tier.floor) * self.shed_part(number);
            for cell in &tier.cells {
                if let Some(fraction) = fractions.get_mut(*cell) {
                    *fraction = of_tier;
                }
            }
        }
        fractions
    }
}
