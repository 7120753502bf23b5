//! The operators' plan for the loss of a site, with names resolved to the numbers that the platform counts by.

use policy::api::Span;

/// Sites, a bit each, in the order of the plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteSet(pub u64);

impl SiteSet {
    /// No site.
    pub const NONE: SiteSet = SiteSet(0);
    /// All sites, and hosts that are in none: nothing is kept from any.
    pub const ALL: SiteSet = SiteSet(u64::MAX);

    /// One site, by its number.
    pub fn one(site: usize) -> SiteSet {
        SiteSet(1 << site)
    }

    /// Whether a site is in it.
    pub fn contains(self, site: usize) -> bool {
        self.0 >> site & 1 == 1
    }

    /// The same with another site.
    pub fn with(self, site: usize) -> SiteSet {
        SiteSet(self.0 | 1 << site)
    }

    /// The same without a site.
    pub fn without(self, site: usize) -> SiteSet {
        SiteSet(self.0 & !(1 << site))
    }
}

/// What operators say of a site by hand; it goes before all that is seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorOverride {
    /// It is lost: nothing goes there.
    Lost,
    /// It is whole: whatever is seen, load goes there.
    Healthy,
}

/// Who takes a part of a lost site's load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailoverTarget {
    /// The site that takes it, by number.
    pub site: usize,
    /// Share of the lost site's load, 0 to 1. All takers of a site together have at most 1; what is left goes where
    /// waits are least.
    pub fraction: f64,
}

/// A site: hosts that are lost together.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// Its zones, by the platform's numbers.
    pub zones: Vec<u32>,
    /// Requests a second that its hosts carry when all of them are warm; nothing if operators do not say.
    pub capacity: Option<f64>,
    /// Requests a second that its hosts are asked for at the busiest hour; nothing if operators do not say.
    pub load: Option<f64>,
    /// Share of its capacity that stays free when it takes load of others.
    pub headroom: f64,
    /// Who takes its load when it is lost.
    pub failover_targets: Vec<FailoverTarget>,
    /// How long the return to its full share takes at the least.
    pub recovery_ramp: Span,
    /// What operators say of it by hand.
    pub operator_override: Option<OperatorOverride>,
}

/// A rung: requests that are refused together.
#[derive(Clone, Debug, PartialEq)]
pub struct SheddingTier {
    /// Its name.
    pub name: String,
    /// The cells that it covers: class times the number of plans, plus plan. A cell is covered by one rung only, the
    /// first that names it.
    pub cells: Vec<usize>,
    /// Share of these requests that is let in whatever happens, 0 to 1.
    pub floor: f64,
}

/// What is refused first, in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SheddingTiers {
    /// Rungs; the first goes first.
    pub tiers: Vec<SheddingTier>,
    /// Number of classes.
    pub classes: usize,
    /// Number of plans.
    pub plans: usize,
}

/// The operators' plan. Without sites it says nothing, and nothing is done.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FailoverPlan {
    /// Sites, 63 at most.
    pub sites: Vec<Site>,
    /// What is refused first.
    pub shedding: SheddingTiers,
}

impl FailoverPlan {
    /// The site that a zone is in, by number.
    pub fn site_of(&self, zone: u32) -> Option<usize> {
        self.sites.iter().position(|site| site.zones.contains(&zone))
    }
}
