//! Errors in the operators' files that only compiling them finds.

use config_language::model::Origin;

use crate::limits::{MAX_POOLS, MAX_RANGES, MAX_ROUTES};

/// Why a file set cannot be used, and the place in the files that causes it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}:{}:{}: {kind}", .origin.file, .origin.line, .origin.column)]
pub struct RoutingError {
    /// The place in the files.
    pub origin: Origin,
    /// What is wrong there.
    pub kind: RoutingErrorKind,
}

/// What is wrong in a file set. A `String` is the name that the message quotes.
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
    /// All bits that are free are reserved for removed pools, which requests still use. The error is temporary.
    #[error(
        "pool `{0}` finds no place: requests are still on their way to pools that were removed; try again"
    )]
    NoFreePoolBit(String),
    /// The pools, with one more for the part of each pool in each site, are more than a mask has bits.
    #[error(
        "{pools} pools and {sites} sites make {total} pools, as the part of each in a site is one of its own: at most \
         {MAX_POOLS}"
    )]
    TooManySitePools {
        /// Number of pools that the operators define.
        pools: usize,
        /// Number of sites that the operators define.
        sites: usize,
        /// Number of pools together with their parts in sites.
        total: usize,
    },
    /// There are more routes than numbers for them.
    #[error("route `{0}` is one too many: at most {MAX_ROUTES} routes")]
    TooManyRoutes(String),
    /// The tables would exceed [`MAX_RANGES`].
    #[error(
        "route `{0}` makes the tables too large: the ranges of customers, counted once for each class and plan \
         that the routes tell apart, may be {MAX_RANGES} in all"
    )]
    TooManyRanges(String),
    /// A limit of a quota policy is not a positive, finite number. Zero would remove the limit.
    #[error("quota policy `{policy}`: {limit} has to be above zero and finite")]
    InvalidLimit {
        /// Name of the policy.
        policy: String,
        /// Word of the limit in the operators' language.
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
