//! Errors in the operators' files that are found when they are compiled.

use config_language::model::Origin;

use crate::limits::{MAX_POOLS, MAX_RANGES, MAX_ROUTES};

/// The reason why a file set is rejected, and the place in the files that causes it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}:{}:{}: {kind}", .origin.file, .origin.line, .origin.column)]
pub struct RoutingError {
    /// The place in the files.
    pub origin: Origin,
    /// The error found in that place.
    pub kind: RoutingErrorKind,
}

/// The kinds of errors in a file set. A `String` is the name that the message quotes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RoutingErrorKind {
    /// A route names a class that the platform does not have.
    #[error("the platform has no class `{0}`")]
    UnknownClass(String),
    /// A route or a policy names a plan that the platform does not have.
    #[error("the platform has no plan `{0}`")]
    UnknownPlan(String),
    /// A pool names a zone that the platform does not have.
    #[error("the platform has no zone `{0}`")]
    UnknownZone(String),
    /// A pool names a machine type that the platform does not have.
    #[error("the platform has no machine type `{0}`")]
    UnknownMachineType(String),
    /// A route names a pool that no file defines.
    #[error("there is no pool `{0}`")]
    UnknownPool(String),
    /// Two pools have the same name.
    #[error("a second pool has the name `{0}`")]
    DuplicatePool(String),
    /// Two routes have the same name.
    #[error("a second route has the name `{0}`")]
    DuplicateRoute(String),
    /// There are more pools than a mask has bits.
    #[error("pool `{0}` is one too many: at most {MAX_POOLS} pools")]
    TooManyPools(String),
    /// No bit is free, because requests in flight still use removed pools. The error is temporary.
    #[error("pool `{0}` cannot be added yet: requests in flight still use removed pools; try again")]
    NoFreePoolBit(String),
    /// The pools and their parts in the sites, each of which is a pool too, are more than a mask has bits.
    #[error(
        "{pools} pools and {sites} sites make {total} pools, because the part of a pool in a site counts as a pool: \
         at most {MAX_POOLS}"
    )]
    TooManySitePools {
        /// Number of pools that the operators define.
        pools: usize,
        /// Number of sites that the operators define.
        sites: usize,
        /// Number of pools together with their parts in sites.
        total: usize,
    },
    /// There are more routes than [`MAX_ROUTES`].
    #[error("route `{0}` is one too many: at most {MAX_ROUTES} routes")]
    TooManyRoutes(String),
    /// The tables would exceed [`MAX_RANGES`].
    #[error(
        "route `{0}` makes the tables too large: at most {MAX_RANGES} customer ranges in all, each counted once for \
         each class and plan that the routes distinguish"
    )]
    TooManyRanges(String),
    /// A limit of a quota policy is not a positive, finite number. Zero would remove the limit.
    #[error("quota policy `{policy}`: {limit} has to be above zero and finite")]
    InvalidLimit {
        /// Name of the policy.
        policy: String,
        /// Keyword of the limit in the operators' language.
        limit: &'static str,
    },
    /// A policy sets a rate, but no burst, for a plan without a quota of the platform.
    #[error("the platform sets no quota for plan `{0}`: a rate needs a burst beside it")]
    RateWithoutBurst(String),
    /// A policy sets a burst, but no rate, for a plan without a quota of the platform.
    #[error("the platform sets no quota for plan `{0}`: a burst needs a rate beside it")]
    BurstWithoutRate(String),
}

impl RoutingErrorKind {
    /// Returns the error at a place in the files.
    pub(crate) fn at(self, origin: &Origin) -> RoutingError {
        RoutingError { origin: origin.clone(), kind: self }
    }
}
