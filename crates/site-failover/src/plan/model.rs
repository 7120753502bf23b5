//! Types of the operators' plan, in which names are resolved to the numbers that the platform uses.

use policy::api::Span;

/// The operators' plan for the loss of a site. A plan without sites switches site failover off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FailoverPlan {
    /// Sites, at most 63. Other types refer to a site by its index in this list.
    pub sites: Vec<Site>,
    /// Requests that are shed while load exceeds capacity, by priority.
    pub shedding: SheddingTiers,
}

impl FailoverPlan {
    /// Returns the index of the site that a zone belongs to, or `None` if the zone belongs to no site.
    #[must_use]
    pub fn site_of(&self, zone: u32) -> Option<usize> {
        self.sites.iter().position(|site| site.zones.contains(&zone))
    }
}

/// A site: zones whose hosts fail together.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Name in the operators' files.
    pub name: String,
    /// Zones, by the platform's numbers.
    pub zones: Vec<u32>,
    /// Requests per second that the site's hosts serve when all of them are warm, if declared.
    pub capacity: Option<f64>,
    /// Requests per second that are sent to the site's hosts at the busiest hour, if declared.
    pub load: Option<f64>,
    /// Fraction of the capacity that stays free when the site takes over load, 0 to 1.
    pub headroom: f64,
    /// Sites that take over this site's load while it is lost. In the operators' language: `takeover`.
    pub failover_targets: Vec<FailoverTarget>,
    /// Shortest time in which the site recovers to its full load, in nanoseconds. In the operators' language: `ramp`.
    pub recovery_ramp: Span,
    /// Health set by the operators, if any. In the operators' language: `told`.
    pub operator_override: Option<OperatorOverride>,
}

impl Site {
    /// Returns the declared capacity less headroom, in requests per second.
    pub(crate) fn usable_capacity(&self) -> Option<f64> {
        self.capacity.map(|capacity| capacity * (1.0 - self.headroom))
    }
}

/// Health of a site as set by the operators. It takes precedence over everything that a gateway observes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorOverride {
    /// The site is lost: no request is sent there. In the operators' language: `lost`.
    Lost,
    /// The site is healthy: it receives its load whatever is observed. In the operators' language: `whole`.
    Healthy,
}

/// A site that takes over a fraction of a lost site's load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailoverTarget {
    /// Index of the site that takes over.
    pub site: usize,
    /// Fraction of the lost site's load, 0 to 1. The fractions of all targets of a site add up to 1 at most; the
    /// remaining load goes to the hosts with the shortest queues. In the operators' language: `share`.
    pub fraction: f64,
}

/// Requests that are shed together. In the operators' language: `shed`.
#[derive(Clone, Debug, PartialEq)]
pub struct SheddingTier {
    /// Name in the operators' files.
    pub name: String,
    /// Cells that the tier covers. A cell is a pair of class and customer plan, numbered `class * plans + plan`. A cell
    /// belongs to one tier only, the first that names it.
    pub cells: Vec<usize>,
    /// Fraction of the tier's requests that is always admitted, 0 to 1.
    pub floor: f64,
}

/// Shedding tiers in the order in which they are shed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SheddingTiers {
    /// Tiers; the first one is shed first, down to its floor before the next one is shed.
    pub tiers: Vec<SheddingTier>,
    /// Number of request classes.
    pub classes: usize,
    /// Number of customer plans.
    pub plans: usize,
}

impl SheddingTiers {
    /// Returns the number of cells, which are the pairs of class and customer plan.
    pub(crate) fn cell_count(&self) -> usize {
        self.classes * self.plans
    }

    /// Returns the number of the cell of a class and a customer plan.
    pub(crate) fn cell(&self, class: usize, plan: usize) -> usize {
        class * self.plans + plan
    }
}
