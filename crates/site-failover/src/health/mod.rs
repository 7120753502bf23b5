//! The health of a site as a gateway sees it: the states, the observations of attempts, and the test that decides from
//! them whether a site has failed.

mod attempt_stats;
mod failure_test;
mod observations;
mod state;

pub(crate) use attempt_stats::AttemptStats;
pub(crate) use failure_test::{failure_evidence, is_unreachable, FailureEvidence};
pub use observations::FailureCount;
pub(crate) use observations::SiteObservations;
pub use state::SiteHealth;
