//! Computes whether the fleet can carry the loss of sites, from the capacities and loads that operators declare.
//!
//! Assumptions:
//!
//! - Each site receives its declared load; a lost site's load stays the same and is sent elsewhere.
//! - A failover target receives its fraction of a lost site's load whatever capacity it has. Load without a target, and
//!   the fraction of a target that is lost too, goes to the sites with the lowest utilization.
//! - A site can use its capacity less its headroom, and always enough for its own load.
//! - Gateways shed load before they choose a site, so all sites' requests are shed alike. The site with the highest
//!   utilization `u` therefore determines the shed fraction of all requests, `1 - 1 / u`.
//! - Load is shed by tiers. How much a tier sheds depends on the [`TrafficMix`], which is the same at all sites.
//! - Hosts are warm.

use crate::plan::{FailoverPlan, OperatorOverride, SheddingTier, SheddingTiers, Site, SiteSet};

/// Utilization above which a site is overloaded: 1, with an allowance for rounding errors.
const OVERLOAD_UTILIZATION: f64 = 1.0 + 1e-9;

/// Load beyond the shedding tiers, as a fraction of the demand, that is attributed to rounding errors.
const NEGLIGIBLE_FRACTION: f64 = 1e-9;

/// Fraction of all requests that each cell (pair of class and customer plan) makes up.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficMix(Vec<f64>);

impl TrafficMix {
    /// Returns the mix in which all cells have the same number of requests.
    #[must_use]
    pub fn even(shedding: &SheddingTiers) -> TrafficMix {
        TrafficMix::from_weights(vec![1.0; shedding.cell_count()])
    }

    /// Returns the mix in proportion to weights by cell; an even mix if all weights are zero.
    #[must_use]
    pub fn from_weights(weights: Vec<f64>) -> TrafficMix {
        let total: f64 = weights.iter().sum();
        let count = weights.len() as f64;
        let fraction = |weight: f64| if total > 0.0 { weight / total } else { 1.0 / count };
        TrafficMix(weights.into_iter().map(fraction).collect())
    }

    fn fraction_of(&self, cells: &[usize]) -> f64 {
        cells.iter().filter_map(|cell| self.0.get(*cell)).sum()
    }
}

/// The loss of some sites, and its outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct LossScenario {
    /// Lost sites, including those that operators have set to lost.
    pub lost: SiteSet,
    /// Outcome of the loss.
    pub outcome: LossOutcome,
}

/// Outcome of a loss.
#[derive(Clone, Debug, PartialEq)]
pub enum LossOutcome {
    /// The outcome cannot be computed: indices of the sites for which `capacity` or `load` is not declared.
    MissingFigures(Vec<usize>),
    /// All sites are lost.
    NoSiteLeft,
    /// The computed placement of the load.
    Computed(LoadFit),
}

/// How the load fits the sites that remain after a loss. Rates are in requests per second.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadFit {
    /// Total load of the fleet.
    pub demand: f64,
    /// Sites that remain.
    pub remaining_sites: Vec<SiteDemand>,
    /// Index in `remaining_sites` of the site with the highest utilization.
    pub bottleneck: usize,
    /// Load that has to be shed.
    pub shed: f64,
    /// Load shed by each tier, for the tiers that shed any.
    pub shed_by_tier: Vec<TierShedding>,
    /// Load that has to be shed after all tiers are at their floors.
    pub shed_beyond_tiers: f64,
}

impl LoadFit {
    /// Returns whether no load has to be shed.
    #[must_use]
    pub fn is_carried(&self) -> bool {
        self.shed <= 0.0
    }

    /// Returns the fraction of all requests that has to be shed, 0 to 1.
    #[must_use]
    pub fn shed_fraction(&self) -> f64 {
        if self.demand > 0.0 {
            self.shed / self.demand
        } else {
            0.0
        }
    }

    /// Returns the tiers whose floors cannot be guaranteed, because shedding all tiers to their floors is not enough.
    pub fn floors_at_risk<'a>(&self, shedding: &'a SheddingTiers) -> impl Iterator<Item = &'a SheddingTier> {
        let is_beyond_tiers = self.shed_beyond_tiers > 0.0;
        shedding.tiers.iter().filter(move |tier| is_beyond_tiers && tier.floor > 0.0)
    }
}

/// Load of a site that remains after a loss. Rates are in requests per second.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteDemand {
    /// Index of the site.
    pub site: usize,
    /// The site's own load.
    pub own_load: f64,
    /// Load that the site takes over from lost sites.
    pub taken_over_load: f64,
    /// Capacity less headroom, or the site's own load if that is more.
    pub usable_capacity: f64,
}

impl SiteDemand {
    fn utilization(&self) -> f64 {
        (self.own_load + self.taken_over_load) / self.usable_capacity
    }
}

/// Load that a shedding tier sheds. Rates are in requests per second.
#[derive(Clone, Debug, PartialEq)]
pub struct TierShedding {
    /// Index of the tier.
    pub tier: usize,
    /// Load of the tier's cells.
    pub demand: f64,
    /// Part of that load that is shed.
    pub shed: f64,
}

/// Returns the outcomes of the losses that a plan has to be prepared for: first the loss of the sites that operators
/// have set to lost, if any; then, in addition to these, the loss of each other site, and of each two other sites.
#[must_use]
pub fn check_losses(plan: &FailoverPlan, mix: &TrafficMix) -> Vec<LossScenario> {
    let is_set_lost = |site: &usize| plan.sites[*site].operator_override == Some(OperatorOverride::Lost);
    let (set_lost, others): (Vec<usize>, Vec<usize>) = (0..plan.sites.len()).partition(is_set_lost);
    let set_lost = set_lost.into_iter().fold(SiteSet::NONE, SiteSet::with);
    let mut scenarios = Vec::new();
    if set_lost != SiteSet::NONE {
        scenarios.push(set_lost);
    }
    scenarios.extend(others.iter().map(|site| set_lost.with(*site)));
    for (position, first) in others.iter().enumerate() {
        let with_first = set_lost.with(*first);
        scenarios.extend(others[position + 1..].iter().map(|second| with_first.with(*second)));
    }
    let check = |lost| LossScenario { lost, outcome: check_loss(plan, lost, mix) };
    scenarios.into_iter().map(check).collect()
}

/// Returns the outcome of the loss of the given sites.
#[must_use]
pub fn check_loss(plan: &FailoverPlan, lost: SiteSet, mix: &TrafficMix) -> LossOutcome {
    let mut remaining = remaining_sites(plan, lost);
    if remaining.is_empty() {
        return LossOutcome::NoSiteLeft;
    }
    // The capacity of a lost site does not matter.
    let lacks_figures = |(number, site): &(usize, &Site)| {
        site.load.is_none() || (!lost.contains(*number) && site.capacity.is_none())
    };
    let lacking = plan.sites.iter().enumerate().filter(lacks_figures);
    let lacking: Vec<usize> = lacking.map(|(number, _)| number).collect();
    if !lacking.is_empty() {
        return LossOutcome::MissingFigures(lacking);
    }
    let without_target = move_to_targets(plan, lost, &mut remaining);
    balance_utilization(&mut remaining, without_target);
    LossOutcome::Computed(fit_load(plan, remaining, mix))
}

fn remaining_sites(plan: &FailoverPlan, lost: SiteSet) -> Vec<SiteDemand> {
    let remaining = plan.sites.iter().enumerate().filter(|(number, _)| !lost.contains(*number));
    let demand = |(number, site): (usize, &Site)| {
        let own_load = site.load.unwrap_or(0.0);
        let usable_capacity = site.usable_capacity().unwrap_or(0.0).max(own_load);
        SiteDemand { site: number, own_load, taken_over_load: 0.0, usable_capacity }
    };
    remaining.map(demand).collect()
}

/// Moves lost sites' load to their failover targets, and returns the load without a target that remains.
fn move_to_targets(plan: &FailoverPlan, lost: SiteSet, remaining: &mut [SiteDemand]) -> f64 {
    let mut total_without_target = 0.0;
    for (_, site) in plan.sites.iter().enumerate().filter(|(number, _)| lost.contains(*number)) {
        let load = site.load.unwrap_or(0.0);
        let mut without_target = load;
        for target in &site.failover_targets {
            if let Some(demand) = remaining.iter_mut().find(|demand| demand.site == target.site) {
                demand.taken_over_load += load * target.fraction;
                without_target -= load * target.fraction;
            }
        }
        total_without_target += without_target.max(0.0);
    }
    total_without_target
}

/// Distributes load to the sites with the lowest utilization, so that all sites that receive any end up with the same
/// utilization (water-filling).
fn balance_utilization(remaining: &mut [SiteDemand], load: f64) {
    if load <= 0.0 {
        return;
    }
    let mut by_utilization: Vec<usize> = (0..remaining.len()).collect();
    by_utilization.sort_by(|a, b| remaining[*a].utilization().total_cmp(&remaining[*b].utilization()));
    let mut demand = load;
    let mut capacity = 0.0;
    let mut utilization = 0.0;
    for (position, site) in by_utilization.iter().enumerate() {
        demand += remaining[*site].own_load + remaining[*site].taken_over_load;
        capacity += remaining[*site].usable_capacity;
        utilization = demand / capacity;
        let next = by_utilization.get(position + 1);
        if next.is_none_or(|next| remaining[*next].utilization() >= utilization) {
            break;
        }
    }
    for site in remaining {
        site.taken_over_load = site.taken_over_load.max(utilization * site.usable_capacity - site.own_load);
    }
}

fn fit_load(plan: &FailoverPlan, remaining_sites: Vec<SiteDemand>, mix: &TrafficMix) -> LoadFit {
    let demand: f64 = plan.sites.iter().filter_map(|site| site.load).sum();
    let by_utilization = |a: &usize, b: &usize| {
        remaining_sites[*a].utilization().total_cmp(&remaining_sites[*b].utilization())
    };
    let bottleneck = (0..remaining_sites.len()).max_by(by_utilization).unwrap_or(0);
    let utilization = remaining_sites.get(bottleneck).map_or(0.0, SiteDemand::utilization);
    let shed = if utilization > OVERLOAD_UTILIZATION { demand * (1.0 - 1.0 / utilization) } else { 0.0 };
    let shed_by_tier = shed_by_tiers(&plan.shedding, demand, shed, mix);
    let not_shed = shed_by_tier.iter().fold(shed, |remaining, tier| remaining - tier.shed);
    let shed_beyond_tiers = if not_shed > demand * NEGLIGIBLE_FRACTION { not_shed } else { 0.0 };
    LoadFit { demand, remaining_sites, bottleneck, shed, shed_by_tier, shed_beyond_tiers }
}

/// Sheds load by tiers, each down to its floor before the next one. Tiers that shed nothing are left out.
fn shed_by_tiers(shedding: &SheddingTiers, demand: f64, shed: f64, mix: &TrafficMix) -> Vec<TierShedding> {
    let mut remaining = shed;
    let mut by_tier = Vec::new();
    for (number, tier) in shedding.tiers.iter().enumerate() {
        let tier_demand = demand * mix.fraction_of(&tier.cells);
        let tier_shed = remaining.min(tier_demand * (1.0 - tier.floor));
        if tier_shed > 0.0 {
            by_tier.push(TierShedding { tier: number, demand: tier_demand, shed: tier_shed });
            remaining -= tier_shed;
        }
    }
    by_tier
}
