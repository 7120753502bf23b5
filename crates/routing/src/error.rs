//! Why a file set cannot be put in force.

use config_language::model::Origin;

use crate::{MAX_POOLS, MAX_RANGES, MAX_ROUTES};

/// Why a file set cannot be put in force, and the place that it comes from.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}:{}:{}: {kind}", .origin.file, .origin.line, .origin.column)]
pub struct RoutingError {
    /// Where.
    pub origin: Origin,
    /// What.
    pub kind: RoutingErrorKind,
}

/// What is wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RoutingErrorKind {
    /// A route names a class that the platform does not.
    #[error("the platform has no class `{0}`")]
    UnknownClass(String),
    /// A route or a policy names a plan that the platform does not.
    #[error("the platform has no plan `{0}`")]
    UnknownPlan(String),
    /// A pool names a zone that the platform does not.
    #[error("the platform has no zone `{0}`")]
    UnknownZone(String),
    /// A pool names a kind of machine that the platform does not.
    #[error("the platform has no machine type `{0}`")]
    UnknownMachineType(String),
    /// A route sends to a pool that no file names.
    #[error("there is no pool `{0}`")]
    UnknownPool(String),
    /// A second pool has the name.
    #[error("a second pool has the name `{0}`")]
    DuplicatePool(String),
    /// A second route has the name.
    #[error("a second route has the name `{0}`")]
    DuplicateRoute(String),
    /// More pools than a mask has bits.
    #[error("pool `{0}` is one too many: at most {MAX_POOLS} pools")]
    TooManyPools(String),
    /// The bits that are left are kept for removed pools.
    #[error(
        "pool `{0}` finds no place: requests are still on their way to pools that were removed; try again"
    )]
    NoFreePoolBit(String),
    /// The parts of pools that are in sites are more than a mask has bits.
    #[error(
        "{pools} pools and {sites} sites make {total} pools, as the part of each in a site is one of its own: at most \
         {MAX_POOLS}"
    )]
    TooManySitePools {
        /// Pools of the operators.
        pools: usize,
        /// Sites.
        sites: usize,
        /// All that they make.
        total: usize,
    },
    /// More routes than there are numbers for.
    #[error("route `{0}` is one too many: at most {MAX_ROUTES} routes")]
    TooManyRoutes(String),
    /// The tables would grow beyond their bound.
    #[error(
        "route `{0}` makes the tables too large: the ranges of customers, counted once for each class and plan \
         that the routes tell apart, may be {MAX_RANGES} in all"
    )]
    TooManyRanges(String),
    /// A quota that the language of plans has no way to say: zero would lift the limit.
    #[error("quota policy `{policy}`: {limit} has to be above zero and finite")]
    InvalidLimit {
        /// The policy.
        policy: String,
        /// Which of its figures.
        limit: &'static str,
    },
    /// A rate for a plan whose customers the platform does not meter, and nothing for the store.
    #[error("the platform sets no quota for plan `{0}`: a rate needs a burst beside it")]
    RateWithoutBurst(String),
    /// A store for a plan whose customers the platform does not meter, and nothing that fills it.
    #[error("the platform sets no quota for plan `{0}`: a burst needs a rate beside it")]
    BurstWithoutRate(String),
}

impl RoutingErrorKind {
    /// The error, with its place.
    pub(crate) fn at(self, origin: &Origin) -> RoutingError {
        RoutingError { origin: origin.clone(), kind: self }
    }
}
