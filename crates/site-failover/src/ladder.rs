//! What is refused first: a level that follows what is given up for want of slots, and what it means for each cell.

use policy::api::{RejectReason, Span};

use crate::plan::SheddingTiers;
use crate::verdict::SECOND;

/// How fast the mix of what is asked for is forgotten, in seconds.
const MIX: f64 = 5.0;
/// The level is looked at so often, or later, up to the longest, if fewer requests than enough were asked for.
const EVERY: Span = SECOND;
const LONGEST: Span = 5 * SECOND;
const ENOUGH: f64 = 10.0;
/// So much of what is given up beyond what is bearable is refused more from then on, and as much of what it falls short
/// of that is refused less: the same both ways, so that chance in thin traffic does not add up to a refusal.
const GAIN: f64 = 0.7;
/// Share of what is asked for that is given up for want of slots where hosts are used well and not drowned.
const BEARABLE: f64 = 0.015;
/// By how much the level sinks a second once all sites are whole, as a share of what is asked for.
const SINKS_WHOLE: f64 = 0.05;
/// A smaller change of a cell's share is not told.
const TOLD_FROM: f64 = 0.005;

/// How far up the ladder a gateway is.
#[derive(Clone, Debug, Default)]
pub(crate) struct Level {
    level: f64,
    /// By cell, since the last look, and faded.
    asked: Vec<f64>,
    mix: Vec<f64>,
    wanting: f64,
    past: Span,
    told: Vec<f64>,
}

/// Whether a request was given up because more came than can be served.
fn for_want(why: RejectReason) -> bool {
    matches!(why, RejectReason::QueueTooLong | RejectReason::QueuedTooLong | RejectReason::NoHost)
}

impl Level {
    pub fn new(ladder: &SheddingTiers) -> Level {
        let cells = ladder.classes * ladder.plans;
        Level { asked: vec![0.0; cells], mix: vec![0.0; cells], ..Level::default() }
    }

    /// Another ladder: what is known of the mix of another shape is of no use.
    pub fn turn(&mut self, ladder: &SheddingTiers) {
        let told = std::mem::take(&mut self.told);
        *self = Level { told, ..Level::new(ladder) };
    }

    pub fn on_asked(&mut self, cell: usize) {
        if let Some(asked) = self.asked.get_mut(cell) {
            *asked += 1.0;
        }
    }

    pub fn on_given_up(&mut self, why: RejectReason) {
        if for_want(why) {
            self.wanting += 1.0;
        }
    }

    /// Whether something is refused by what was told last.
    pub fn is_told(&self) -> bool {
        !self.told.is_empty()
    }

    /// The level: rungs that are shed down to their floors, and the part of the next that is.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Looks at what was given up, once a second, or when enough was asked for to tell. `whole`: all sites are.
    pub fn tick(&mut self, past: Span, ladder: &SheddingTiers, whole: bool) {
        self.past += past;
        let asked: f64 = self.asked.iter().sum();
        if self.past < EVERY || asked < ENOUGH && self.past < LONGEST {
            return;
        }
        let seconds = self.past as f64 / SECOND as f64;
        let wanting = std::mem::take(&mut self.wanting);
        self.past = 0;
        let kept = libm::exp(-seconds / MIX);
        for (mix, asked) in self.mix.iter_mut().zip(&mut self.asked) {
            *mix = *mix * kept + std::mem::take(asked);
        }
        if asked <= 0.0 {
            return;
        }
        if whole && self.level == 0.0 {
            return;
        }
        let moved = match whole {
            true => -SINKS_WHOLE * seconds,
            false => GAIN * (wanting / asked.max(wanting) - BEARABLE),
        };
        self.level = self.level_for(ladder, self.shed(ladder, self.level) + moved);
    }

    /// What a rung sheds in full, as a share of what is asked for.
    fn most(&self, ladder: &SheddingTiers, rung: usize) -> f64 {
        let rung = &ladder.tiers[rung];
        let all: f64 = self.mix.iter().sum();
        let own: f64 = rung.cells.iter().filter_map(|cell| self.mix.get(*cell)).sum();
        own / all.max(1e-9) * (1.0 - rung.floor)
    }

    fn shed(&self, ladder: &SheddingTiers, level: f64) -> f64 {
        (0..ladder.tiers.len())
            .map(|rung| self.most(ladder, rung) * (level - rung as f64).clamp(0.0, 1.0))
            .sum()
    }

    /// The level that sheds such a share: each rung to its floor before the next one starts.
    fn level_for(&self, ladder: &SheddingTiers, shed: f64) -> f64 {
        let mut left = shed;
        for rung in 0..ladder.tiers.len() {
            let most = self.most(ladder, rung);
            if left <= 0.0 {
                return rung as f64;
            }
            if left < most {
                return rung as f64 + left / most;
            }
            left -= most;
        }
        ladder.tiers.len() as f64
    }

    /// Share of requests let in, by cell, if it has changed enough to be told. Empty: all are.
    pub fn keep(&mut self, ladder: &SheddingTiers) -> Option<Vec<f64>> {
        let mut keep = vec![];
        if self.level > 0.0 {
            keep = vec![1.0; ladder.classes * ladder.plans];
            for (number, rung) in ladder.tiers.iter().enumerate() {
                let share = 1.0 - (1.0 - rung.floor) * (self.level - number as f64).clamp(0.0, 1.0);
                for cell in &rung.cells {
                    if let Some(kept) = keep.get_mut(*cell) {
                        *kept = share;
                    }
                }
            }
        }
        let same = keep.len() == self.told.len()
            && keep.iter().zip(&self.told).all(|(now, told)| (now - told).abs() < TOLD_FROM);
        if same {
            return None;
        }
        self.told.clone_from(&keep);
        Some(keep)
    }
}
