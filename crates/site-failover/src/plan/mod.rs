//! The operators' plan for the loss of a site: its types, and how the operators' files are compiled to it.

mod compile;
mod error;
mod model;
mod site_set;

pub use compile::{PlatformNames, DEFAULT_RECOVERY_RAMP};
pub use error::{PlanError, PlanErrorKind};
pub use model::{FailoverPlan, FailoverTarget, OperatorOverride, SheddingTier, SheddingTiers, Site};
pub use site_set::SiteSet;
