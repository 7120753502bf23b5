//! Sets of sites.

/// A set of sites: one bit per site, numbered as in [`FailoverPlan::sites`](crate::FailoverPlan::sites). The highest
/// bit stands for the hosts that belong to no site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteSet(pub u64);

impl SiteSet {
    /// The empty set, which contains no site.
    pub const NONE: SiteSet = SiteSet(0);
    /// All sites, and the hosts that belong to no site: requests are not restricted.
    pub const ALL: SiteSet = SiteSet(u64::MAX);

    /// Returns the set of one site.
    #[must_use]
    pub fn one(site: usize) -> SiteSet {
        SiteSet(1 << site)
    }

    /// Returns whether the set contains a site.
    #[must_use]
    pub fn contains(self, site: usize) -> bool {
        self.0 >> site & 1 == 1
    }

    /// Returns the set with a site added.
    #[must_use]
    pub fn with(self, site: usize) -> SiteSet {
        SiteSet(self.0 | 1 << site)
    }

    /// Returns the set with a site removed.
    #[must_use]
    pub fn without(self, site: usize) -> SiteSet {
        SiteSet(self.0 & !(1 << site))
    }
}
