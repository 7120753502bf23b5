//! Whether the fleet carries the loss of sites, worked out from what operators declare: pure arithmetic.
//!
//! What is reckoned with:
//!
//! - Each site is asked for its `load`; a lost site's load is asked for as before, from elsewhere.
//! - A taker gets its share of a lost site's load, whatever room it has. What no takeover names, and the share of a
//!   taker that is lost too, goes where waits are least: where the part of the room that is used is the smallest.
//! - A site has room for its capacity but for its headroom, and always for its own load.
//! - What is refused is refused everywhere alike, as gateways refuse before they choose a site. So the site that is
//!   asked for most against its room tells how much: with `k` times its room, `1 - 1 / k` of all requests.
//! - It is refused by the ladder, and for that the mix of requests counts ([`Mix`]), which is the same at all sites.
//! - Hosts are warm.

use crate::plan::{FailoverPlan, OperatorOverride, SheddingTier, SheddingTiers, SiteSet};

/// Room that is used beyond this counts as more than all of it, whatever became of the last bit.
const FULL: f64 = 1.0 + 1e-9;

/// What part of all requests each pair of class and plan is.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficMix(Vec<f64>);

impl TrafficMix {
    /// As many requests of each pair of class and plan.
    pub fn even(ladder: &SheddingTiers) -> TrafficMix {
        TrafficMix::from_weights(vec![1.0; ladder.classes * ladder.plans])
    }

    /// In proportion to these weights, by cell; even where they come to nothing.
    pub fn from_weights(weights: Vec<f64>) -> TrafficMix {
        let sum: f64 = weights.iter().sum();
        let count = weights.len() as f64;
        let part = |weight: f64| if sum > 0.0 { weight / sum } else { 1.0 / count };
        TrafficMix(weights.into_iter().map(part).collect())
    }

    fn of_cells(&self, cells: &[usize]) -> f64 {
        cells.iter().filter_map(|cell| self.0.get(*cell)).sum()
    }
}

/// The loss of some sites, and what comes of it.
#[derive(Clone, Debug, PartialEq)]
pub struct LossScenario {
    /// The sites that are lost, those that are told so among them.
    pub lost: SiteSet,
    /// What comes of it.
    pub outcome: LossOutcome,
}

/// What comes of a loss.
#[derive(Clone, Debug, PartialEq)]
pub enum LossOutcome {
    /// Figures are missing: the sites, by number, of which `capacity` or `load` is not said.
    MissingFigures(Vec<usize>),
    /// No site is left.
    NoSiteLeft,
    /// It can be worked out.
    Computed(LoadFit),
}

/// How load fits after a loss.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadFit {
    /// Requests a second that the fleet is asked for.
    pub demand: f64,
    /// The sites that are left.
    pub remaining_sites: Vec<SiteDemand>,
    /// The one of them that is asked for most against its room, by its place in `left`.
    pub bottleneck: usize,
    /// Requests a second that have to be refused.
    pub shed: f64,
    /// What each rung of the ladder refuses, for those that refuse anything.
    pub shed_by_tier: Vec<TierShedding>,
    /// Requests a second that have to be refused and that the ladder does not refuse.
    pub shed_beyond_tiers: f64,
}

impl LoadFit {
    /// Whether all is carried.
    pub fn is_carried(&self) -> bool {
        self.shed <= 0.0
    }

    /// Share of all requests that has to be refused.
    pub fn shed_fraction(&self) -> f64 {
        if self.demand > 0.0 {
            self.shed / self.demand
        } else {
            0.0
        }
    }

    /// The rungs of which more may be refused than their floor allows, as the ladder is at its end.
    pub fn floors_at_risk<'a>(&self, ladder: &'a SheddingTiers) -> impl Iterator<Item = &'a SheddingTier> {
        let is_beyond = self.shed_beyond_tiers > 0.0;
        ladder.tiers.iter().filter(move |rung| is_beyond && rung.floor > 0.0)
    }
}

/// A site that is left.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteDemand {
    /// Its number.
    pub site: usize,
    /// Requests a second of its own.
    pub own_load: f64,
    /// Requests a second that it is asked for in place of lost sites.
    pub taken_over_load: f64,
    /// Requests a second that it has room for.
    pub usable_capacity: f64,
}

impl SiteDemand {
    fn used(&self) -> f64 {
        (self.own_load + self.taken_over_load) / self.usable_capacity
    }
}

/// What a rung refuses.
#[derive(Clone, Debug, PartialEq)]
pub struct TierShedding {
    /// The rung, by number.
    pub tier: usize,
    /// Requests a second that it is asked for.
    pub demand: f64,
    /// Requests a second of them that are refused.
    pub shed: f64,
}

/// The losses that a plan is measured by: of each site, then of each two; besides those that are told lost, which
/// come first by themselves.
pub fn check_losses(plan: &FailoverPlan, mix: &TrafficMix) -> Vec<LossScenario> {
    let is_told = |site: usize| plan.sites[site].operator_override == Some(OperatorOverride::Lost);
    let (told, open): (Vec<usize>, Vec<usize>) = (0..plan.sites.len()).partition(|site| is_told(*site));
    let told = told.into_iter().fold(SiteSet::NONE, SiteSet::with);
    let ones = open.iter().map(|site| told.with(*site));
    let twos = open
        .iter()
        .enumerate()
        .flat_map(|(n, first)| open[n + 1..].iter().map(move |then| told.with(*first).with(*then)));
    let first = (told != SiteSet::NONE).then_some(told);
    let sets = first.into_iter().chain(ones).chain(twos);
    sets.map(|lost| LossScenario { lost, outcome: check_loss(plan, lost, mix) }).collect()
}

/// What comes of the loss of these sites.
pub fn check_loss(plan: &FailoverPlan, lost: SiteSet, mix: &TrafficMix) -> LossOutcome {
    let sites = plan.sites.iter().enumerate();
    let lacks = sites
        .filter(|(number, site)| site.load.is_none() || (!lost.contains(*number) && site.capacity.is_none()));
    let lacking: Vec<usize> = lacks.map(|(number, _)| number).collect();
    let mut left = left(plan, lost);
    if left.is_empty() {
        return LossOutcome::NoSiteLeft;
    }
    if !lacking.is_empty() {
        return LossOutcome::MissingFigures(lacking);
    }
    let open = move_load(plan, lost, &mut left);
    pour(&mut left, open);
    LossOutcome::Computed(fit(plan, left, mix))
}

fn left(plan: &FailoverPlan, lost: SiteSet) -> Vec<SiteDemand> {
    let left = plan.sites.iter().enumerate().filter(|(number, _)| !lost.contains(*number));
    let place = |(number, site): (usize, &crate::plan::Site)| {
        let own = site.load.unwrap_or(0.0);
        let room = (site.capacity.unwrap_or(0.0) * (1.0 - site.headroom)).max(own);
        SiteDemand { site: number, own_load: own, taken_over_load: 0.0, usable_capacity: room }
    };
    left.map(place).collect()
}

/// Gives takers their shares; what is left over has no taker.
fn move_load(plan: &FailoverPlan, lost: SiteSet, left: &mut [SiteDemand]) -> f64 {
    let mut open = 0.0;
    for (_, site) in plan.sites.iter().enumerate().filter(|(number, _)| lost.contains(*number)) {
        let load = site.load.unwrap_or(0.0);
        let mut rest = load;
        for taker in &site.failover_targets {
            if let Some(placed) = left.iter_mut().find(|placed| placed.site == taker.site) {
                placed.taken_over_load += load * taker.fraction;
                rest -= load * taker.fraction;
            }
        }
        open += rest.max(0.0);
    }
    open
}

/// Pours load in where the smallest part of the room is used, as water finds its level.
fn pour(left: &mut [SiteDemand], load: f64) {
    if load <= 0.0 {
        return;
    }
    let mut order: Vec<usize> = (0..left.len()).collect();
    order.sort_by(|a, b| left[*a].used().total_cmp(&left[*b].used()));
    let (mut asked, mut room, mut level) = (load, 0.0, 0.0);
    for (n, at) in order.iter().enumerate() {
        asked += left[*at].own_load + left[*at].taken_over_load;
        room += left[*at].usable_capacity;
        level = asked / room;
        // The next one is fuller than this makes them.
        if order.get(n + 1).is_none_or(|next| left[*next].used() >= level) {
            break;
        }
    }
    for placed in left {
        placed.taken_over_load = placed.taken_over_load.max(level * placed.usable_capacity - placed.own_load);
    }
}

fn fit(plan: &FailoverPlan, left: Vec<SiteDemand>, mix: &TrafficMix) -> LoadFit {
    let asked: f64 = plan.sites.iter().filter_map(|site| site.load).sum();
    let fuller = |a: &usize, b: &usize| left[*a].used().total_cmp(&left[*b].used());
    let narrowest = (0..left.len()).max_by(fuller).unwrap_or(0);
    let used = left.get(narrowest).map_or(0.0, SiteDemand::used);
    let refused = if used > FULL { asked * (1.0 - 1.0 / used) } else { 0.0 };
    let (rungs, beyond) = climb(&plan.shedding, asked, refused, mix);
    LoadFit {
        demand: asked,
        remaining_sites: left,
        bottleneck: narrowest,
        shed: refused,
        shed_by_tier: rungs,
        shed_beyond_tiers: beyond,
    }
}

/// Refuses by the ladder, each rung down to its floor before the next one; and what is left to refuse then.
fn climb(ladder: &SheddingTiers, asked: f64, refused: f64, mix: &TrafficMix) -> (Vec<TierShedding>, f64) {
    let mut rest = refused;
    let mut rungs = Vec::new();
    for (number, rung) in ladder.tiers.iter().enumerate() {
        let own = asked * mix.of_cells(&rung.cells);
        let here = rest.min(own * (1.0 - rung.floor));
        if here > 0.0 {
            rungs.push(TierShedding { tier: number, demand: own, shed: here });
            rest -= here;
        }
    }
    // What the last bits leave is nothing to speak of.
    (rungs, if rest > asked * 1e-9 { rest } else { 0.0 })
}
