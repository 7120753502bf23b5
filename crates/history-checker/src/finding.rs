//! A breach, and the chain of events that makes it.

use cluster_model::Time;
use std::fmt;

/// What a history is held to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets one final answer at most, and one that a running gateway took gets one.
    SingleResponse,
    /// Nothing that may have run is sent again or refused where its class forbids that.
    NoDuplicateExecution,
    /// Units sent on are within the stated bound in every window.
    QuotaWindow,
    /// Nothing new goes to a host that drains or is gone, from the grace on after the gateway was told.
    DrainGrace,
    /// No verdict is used that is older than stated.
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
    /// What happened, in words.
    pub description: String,
}

/// A breach.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// What was broken.
    pub rule: Rule,
    /// When, in seconds from the first request: the moment of the event that made it a breach.
    pub at_s: f64,
    /// In one sentence.
    pub text: String,
    /// The events that make it, in the order of time; without any one of them it would be none.
    pub chain: Vec<Step>,
}

impl fmt::Display for Finding {
    /// A line, and one for each event.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "history, {}, at {:.3} s: {}", self.rule, self.at_s, self.text)?;
        for step in &self.chain {
            write!(f, "\n  {:>12.6} s  {}", step.at_s, step.description)?;
        }
        Ok(())
    }
}

/// Findings in the making: moments on the clock of the sightings.
#[derive(Debug)]
pub(crate) struct Findings {
    start: Time,
    found: Vec<Finding>,
}

impl Findings {
    pub(crate) fn new(start: Time) -> Findings {
        Findings { start, found: Vec::new() }
    }

    /// A rule was broken at that moment. The chain is put in the order of time.
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

    /// In the order of time.
    pub(crate) fn finish(mut self) -> Vec<Finding> {
        self.found.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        self.found
    }
}
