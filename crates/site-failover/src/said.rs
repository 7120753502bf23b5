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
    pub state: SiteHealth,
    /// What operators say of it by hand.
    pub told: Option<OperatorOverride>,
    /// The share of its load that it may have, 0 to 1.
    pub share: f64,
    /// Since when it is so.
    pub since: Time,
    /// Hosts that discovery has in service.
    pub hosts: usize,
    /// Its hosts' part of all, 0 to 1, as of when it was last whole.
    pub part: f64,
    /// Attempts a second, over the last minutes.
    pub rate: f64,
    /// Share of its attempts that failed over the last seconds.
    pub failing: f64,
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
            self.state.name(),
            self.share,
            self.hosts,
            self.part,
            self.rate,
            self.failing,
        )?;
        match self.told {
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
        sum: f64,
        /// How much is enough.
        enough: f64,
        /// Share of attempts that fail anyway.
        anyway: f64,
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
            TransitionCause::Failures { sum, enough, anyway } => {
                write!(f, "failures weigh {sum:.1} of {enough:.1}, {anyway:.2} fail anyway")
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
        was: SiteHealth,
        /// How it is now.
        now: SiteStatus,
        /// Why.
        cause: TransitionCause,
    },
    /// Of what is refused.
    Shedding {
        /// Rungs shed down to their floors, and the part of the next that is.
        level: f64,
        /// The rung that was entered or left; nothing if nothing is refused any more.
        rung: Option<String>,
    },
}

impl fmt::Display for Transition {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Transition::Site { was, now, cause } => {
                write!(f, "{now}, was {}: {cause}", was.name())
            }
            Transition::Shedding { level, rung: Some(rung) } => {
                write!(f, "refused first: {rung}, level {level:.2}")
            }
            Transition::Shedding { rung: None, .. } => write!(f, "refused first: nothing any more"),
        }
    }
}
