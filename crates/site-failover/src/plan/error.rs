//! Errors of a plan that cannot be compiled.

use config_language::kinds::{MOST_SHEDS, MOST_SITES};
use config_language::model::Origin;

/// A plan cannot be compiled: the reason, and the place in the operators' files that causes it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}:{}:{}: {kind}", .origin.file, .origin.line, .origin.column)]
pub struct PlanError {
    /// Place in the operators' files.
    pub origin: Origin,
    /// Reason why the plan is invalid.
    pub kind: PlanErrorKind,
}

/// Reason why a plan is invalid. The checker of the operators' language reports each of them earlier and in more
/// detail, so that only a plan that bypassed the checker fails with one of these.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanErrorKind {
    /// A site names a zone that the platform does not have.
    #[error("the platform has no zone `{0}`")]
    UnknownZone(String),
    /// A shedding tier names a class that the platform does not have.
    #[error("the platform has no class `{0}`")]
    UnknownClass(String),
    /// A shedding tier names a customer plan that the platform does not have.
    #[error("the platform has no plan `{0}`")]
    UnknownPlan(String),
    /// A takeover names a site that is not declared.
    #[error("there is no site `{0}`")]
    UnknownSite(String),
    /// Two sites have the same name.
    #[error("a second site has the name `{0}`")]
    DuplicateSite(String),
    /// A zone belongs to two sites.
    #[error("zone `{0}` is in two sites")]
    ZoneInTwoSites(String),
    /// There are more sites than a [`SiteSet`](crate::SiteSet) holds.
    #[error("site `{0}` is one too many: at most {MOST_SITES} sites")]
    TooManySites(String),
    /// There are more shedding tiers than allowed.
    #[error("shed `{0}` is one too many: at most {MOST_SHEDS} sheds")]
    TooManySheds(String),
    /// The health set by the operators is neither `lost` nor `whole`.
    #[error("`told` is `{0}`, and has to be `lost` or `whole`")]
    InvalidOverride(String),
    /// A site is its own failover target.
    #[error("site `{0}` cannot take over from itself")]
    TakeoverFromItself(String),
    /// A site is a failover target of the same site twice.
    #[error("site `{0}` takes over twice from the same site")]
    DuplicateTarget(String),
    /// A fraction is not between 0 and 1, or the fractions of a site's failover targets add up to more than 1.
    #[error("the shares of site `{0}` must be between zero and its load, each and in total")]
    InvalidShares(String),
}

impl PlanErrorKind {
    /// Adds the place that causes the error.
    pub(super) fn at(self, origin: &Origin) -> PlanError {
        PlanError { origin: origin.clone(), kind: self }
    }
}
