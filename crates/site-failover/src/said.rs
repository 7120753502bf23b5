//! What is said of changes, and of how sites are: for logs and for what operators ask.

use std::fmt;

use policy::api::Time;

use crate::course::SiteHealth;
use crate::plan::OperatorOverride;

/// How a site is, with the figures that it is judged by.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteStatus {
    /// Its name.
    pub name: String,
    /// What it is held for.
    pub health: SiteHealth,
    /// What operators say of it by hand.
    pub operator_override: Option<OperatorOverride>,
    /// The share of its load that it may have, 0 to 1.
    pub traffic_fraction: f64,
    /// Since when it is so.
    pub since: Time,
    /// Hosts that discovery has in service.
    pub ready_hosts: usize,
    /// Its hosts' part of all, 0 to 1, as of when it was last whole.
    pub capacity_fraction: f64,
    /// Attempts a second, over the last minutes.
    pub attempts_per_second: f64,
    /// Share of its attempts that failed over the last seconds.
    pub failure_fraction: f64,
    /// Failures since its last answer, and the hosts that they were at.
    pub failures: (u32, usize),
}

impl fmt::Display for SiteStatus {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (failures, at) = self.failures;
        write!(
            f,
            "site {} is {}, share {:.2}, hosts in service {}, part {:.2}, attempts {:.1}/s, failing {:.2}, \
             failures since an answer {failures} at {at} hosts",
            self.name,
            self.health.name(),
            self.traffic_fraction,
            self.ready_hosts,
            self.capacity_fraction,
            self.attempts_per_second,
            self.failure_fraction,
        )?;
        match self.operator_override {
            Some(OperatorOverride::Lost) => write!(f, ", told lost by hand"),
            Some(OperatorOverride::Healthy) => write!(f, ", told whole by hand"),
            None => Ok(()),
        }
    }
}

/// Why a site is held for something else now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TransitionCause {
    /// Attempts fail, with what speaks for *gone*, how much is enough, and how likely a failure is anyway.
    Failures {
        /// What speaks for it.
        evidence: f64,
        /// How much is enough.
        threshold: f64,
        /// Share of attempts that fail anyway.
        baseline: f64,
    },
    /// Attempts fail, and no other site answers either.
    NoReference,
    /// Discovery has none of its hosts in service, and none answers.
    NoHostsListed,
    /// Discovery has none of its hosts in service, and they answer.
    UnlistedButAnswering,
    /// Attempts are answered.
    Answering,
    /// Answers take so many times longer than is usual.
    SlowResponses(f64),
    /// Its ramp moved, or ended.
    RecoveryProgress,
    /// What it answers as it returns is worse than elsewhere.
    RecoveryFailed,
    /// Operators say so.
    SetByOperators,
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
            TransitionCause::SlowResponses(times) => write!(f, "answers take {times:.1} times the usual"),
            TransitionCause::RecoveryProgress => write!(f, "its return goes on"),
            TransitionCause::RecoveryFailed => write!(f, "its return went worse than elsewhere"),
            TransitionCause::SetByOperators => write!(f, "told by hand"),
        }
    }
}

/// One line for the log: a change, with the figures it was decided on.
#[derive(Clone, Debug, PartialEq)]
pub enum Transition {
    /// Of a site.
    Site {
        /// What it was held for before.
        previous: SiteHealth,
        /// How it is now.
        current: SiteStatus,
        /// Why.
        cause: TransitionCause,
    },
    /// Of what is refused.
    Shedding {
        /// Rungs shed down to their floors, and the part of the next that is.
        level: f64,
        /// The rung that was entered or left; nothing if nothing is refused any more.
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
