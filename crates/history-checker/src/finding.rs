//! A violation, and the chain of events that causes it.

use cluster_model::Time;
use std::fmt;

/// The rules that a history is checked against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets at most one final response, and a request accepted by a running gateway gets one.
    SingleResponse,
    /// No request that may have been executed is forwarded again or rejected if its class forbids that.
    NoDuplicateExecution,
    /// The forwarded units are within the stated bound in every window.
    QuotaWindow,
    /// A gateway forwards no request to a draining or removed host once the grace period after the notification is over.
    DrainGrace,
    /// No cached state is used that is older than its stated maximum age.
    StaleState,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::SingleResponse => "one answer",
            Rule::NoDuplicateExecution => "nothing twice",
            Rule::QuotaWindow => "units in every window",
            Rule::DrainGrace => "drains kept",
            Rule::StaleState => "verdicts fresh",
        })
    }
}

/// One event of a chain.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Seconds from the first request; below 0 before it.
    pub at_s: f64,
    /// Description of the event.
    pub description: String,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The violated rule.
    pub rule: Rule,
    /// Time in seconds from the first request of the event that completed the violation.
    pub at_s: f64,
    /// Description in one sentence.
    pub text: String,
    /// The events that cause the violation, in chronological order; without any one of them there is no violation.
    pub chain: Vec<Step>,
}

impl fmt::Display for Finding {
    /// Writes one line for the violation, and one for each event.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "history, {}, at {:.3} s: {}", self.rule, self.at_s, self.text)?;
        for step in &self.chain {
            write!(f, "\n  {:>12.6} s  {}", step.at_s, step.description)?;
        }
        Ok(())
    }
}

/// Collects findings; times are on the clock of the observations.
#[derive(Debug)]
pub(crate) struct Findings {
    start: Time,
    found: Vec<Finding>,
}

impl Findings {
    pub(crate) fn new(start: Time) -> Findings {
        Findings { start, found: Vec::new() }
    }

    /// Adds a violation at this time and sorts its chain chronologically.
    pub(crate) fn add(&mut self, rule: Rule, at: Time, text: String, mut chain: Vec<(Time, String)>) {
        chain.sort_by_key(|(at, _)| *at);
        let steps =
            chain.into_iter().map(|(at, description)| Step { at_s: self.seconds(at), description }).collect();
        self.found.push(Finding { rule, at_s: self.seconds(at), text, chain: steps });
    }

    fn seconds(&self, at: Time) -> f64 {
        let apart = at.abs_diff(self.start) as f64 / 1e9;
        if at < self.start {
            -apart
        } else {
            apart
        }
    }

    /// Returns the findings in chronological order.
    pub(crate) fn finish(mut self) -> Vec<Finding> {
        self.found.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        self.found
    }
}
