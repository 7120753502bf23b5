//! Loss of a whole site: what operators planned for it, when it counts as lost or as back, where its load goes, what
//! is refused first, and how the return is paced. No I/O, no clock, no chance of its own: a gateway tells what it
//! sees, and asks.

pub mod capacity_check;
mod chance;
mod compile;
mod course;
mod ladder;
mod plan;
mod said;
mod shares;
mod sites;
mod verdict;

pub use compile::{PlanError, PlanErrorKind, PlatformNames, DEFAULT_RECOVERY_RAMP};
pub use course::SiteHealth;
pub use plan::{FailoverPlan, FailoverTarget, OperatorOverride, SheddingTier, SheddingTiers, Site, SiteSet};
pub use said::{SiteStatus, Transition, TransitionCause};
pub use sites::{FailoverController, FailoverUpdate, GatewayIdentity};
