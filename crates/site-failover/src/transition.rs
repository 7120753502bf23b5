//! Changes that a gateway reports, one log line each, with the figures that they were decided from.

use std::fmt;

use crate::health::{FailureEvidence, SiteHealth};
use crate::status::SiteStatus;

/// A change of a site's health or traffic, or of load shedding. Its `Display` form is a log line.
#[derive(Clone, Debug, PartialEq)]
pub enum Transition {
    /// The health of a site, or the fraction of its load that it may receive, has changed.
    Site {
        /// Health before the change.
        previous: SiteHealth,
        /// Status after the change.
        current: SiteStatus,
        /// Cause of the change.
        cause: TransitionCause,
    },
    /// Another tier is being shed.
    Shedding {
        /// Number of tiers that are shed down to their floors, plus the shed part of the next one.
        level: f64,
        /// Name of the tier that is being shed now; `None` if load shedding has ended.
        tier: Option<String>,
    },
}

impl fmt::Display for Transition {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Transition::Site { previous, current, cause } => {
                write!(f, "{current}, was {}: {cause}", previous.name())
            }
            Transition::Shedding { level, tier: Some(tier) } => {
                write!(f, "refused first: {tier}, level {level:.2}")
            }
            Transition::Shedding { tier: None, .. } => write!(f, "refused first: nothing any more"),
        }
    }
}

/// Cause of a change of a site's health or traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TransitionCause {
    /// Attempts fail at the site, while another site answers.
    Failures {
        /// Evidence against the site: the sum of the log-likelihood ratios of its failures.
        evidence: f64,
        /// Evidence at which the site counts as lost.
        threshold: f64,
        /// Failure probability of an attempt if the site is healthy.
        baseline: f64,
    },
    /// Attempts fail, and no other site answers as a reference.
    NoReference,
    /// Discovery lists no ready host of the site, and none answers.
    NoHostsListed,
    /// Discovery lists no ready host of the site, yet its hosts answer.
    UnlistedButAnswering,
    /// Attempts are answered.
    Answering,
    /// Responses take this multiple of the usual time.
    SlowResponses(f64),
    /// The recovery has moved to another traffic fraction, or is complete.
    RecoveryProgress,
    /// Attempts at the recovering site fail more often or take longer than elsewhere.
    RecoveryFailed,
    /// The operators have set the site's health.
    SetByOperators,
}

impl From<FailureEvidence> for TransitionCause {
    fn from(evidence: FailureEvidence) -> TransitionCause {
        let FailureEvidence { evidence, threshold, baseline } = evidence;
        TransitionCause::Failures { evidence, threshold, baseline }
    }
}

impl fmt::Display for TransitionCause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            TransitionCause::Failures { evidence, threshold, baseline } => {
                write!(f, "failures weigh {evidence:.1} of {threshold:.1}, {baseline:.2} fail anyway")
            }
            TransitionCause::NoReference => write!(f, "failures, and no other site answers"),
            TransitionCause::NoHostsListed => write!(f, "discovery has none of its hosts in service"),
            TransitionCause::UnlistedButAnswering => {
                write!(f, "discovery has none of its hosts in service, yet they answer")
            }
            TransitionCause::Answering => write!(f, "it answers"),
            TransitionCause::SlowResponses(ratio) => write!(f, "answers take {ratio:.1} times the usual"),
            TransitionCause::RecoveryProgress => write!(f, "its return goes on"),
            TransitionCause::RecoveryFailed => write!(f, "its return went worse than elsewhere"),
            TransitionCause::SetByOperators => write!(f, "told by hand"),
        }
    }
}
