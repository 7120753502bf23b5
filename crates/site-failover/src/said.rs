//! What is said of changes, and of how sites are: for logs and for what operators ask.

use std::fmt;

use policy::api::Time;

use crate::course::State;
use crate::plan::Told;

/// How a site is, with the figures that it is judged by.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteState {
    /// Its name.
    pub name: String,
    /// What it is held for.
    pub state: State,
    /// What operators say of it by hand.
    pub told: Option<Told>,
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

impl fmt::Display for SiteState {
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
            Some(Told::Lost) => write!(f, ", told lost by hand"),
            Some(Told::Whole) => write!(f, ", told whole by hand"),
            None => Ok(()),
        }
    }
}

/// Why a site is held for something else now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cause {
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
    NoWitness,
    /// Discovery has none of its hosts in service, and none answers.
    Emptied,
    /// Discovery has none of its hosts in service, and they answer.
    EmptiedButAnswers,
    /// Attempts are answered.
    Answers,
    /// Answers take so many times longer than is usual.
    Times(f64),
    /// Its ramp moved, or ended.
    Ramp,
    /// What it answers as it returns is worse than elsewhere.
    RampFailed,
    /// Operators say so.
    Told,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Cause::Failures { sum, enough, anyway } => {
                write!(f, "failures weigh {sum:.1} of {enough:.1}, {anyway:.2} fail anyway")
            }
            Cause::NoWitness => write!(f, "failures, and no other site answers"),
            Cause::Emptied => write!(f, "discovery has none of its hosts in service"),
            Cause::EmptiedButAnswers => {
                write!(f, "discovery has none of its hosts in service, yet they answer")
            }
            Cause::Answers => write!(f, "it answers"),
            Cause::Times(times) => write!(f, "answers take {times:.1} times the usual"),
            Cause::Ramp => write!(f, "its return goes on"),
            Cause::RampFailed => write!(f, "its return went worse than elsewhere"),
            Cause::Told => write!(f, "told by hand"),
        }
    }
}

/// One line for the log: a change, with the figures it was decided on.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// Of a site.
    Site {
        /// What it was held for before.
        was: State,
        /// How it is now.
        now: SiteState,
        /// Why.
        cause: Cause,
    },
    /// Of what is refused.
    Ladder {
        /// Rungs shed down to their floors, and the part of the next that is.
        level: f64,
        /// The rung that was entered or left; nothing if nothing is refused any more.
        rung: Option<String>,
    },
}

impl fmt::Display for Said {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Said::Site { was, now, cause } => {
                write!(f, "{now}, was {}: {cause}", was.name())
            }
            Said::Ladder { level, rung: Some(rung) } => {
                write!(f, "refused first: {rung}, level {level:.2}")
            }
            Said::Ladder { rung: None, .. } => write!(f, "refused first: nothing any more"),
        }
    }
}
