//! The rules, kept or broken.

use invariants::{Rule, Verdict, Violation};

/// Breaches that are shown one by one.
const MOST: usize = 10;

/// A rule as it is shown.
pub(crate) struct RuleFact {
    /// Its short name.
    pub name: &'static str,
    /// What it asks, in a few words.
    pub asks: &'static str,
    /// How often it was broken.
    pub broken: usize,
}

/// All rules in the order in which they are shown.
const ALL: [Rule; 6] = [
    Rule::SingleResponse,
    Rule::NoDuplicateExecution,
    Rule::DrainGrace,
    Rule::SlowStart,
    Rule::Ceilings,
    Rule::NoCrash,
];

/// Its short name.
pub(crate) fn name(rule: Rule) -> &'static str {
    match rule {
        Rule::SingleResponse => "one answer",
        Rule::NoDuplicateExecution => "nothing twice",
        Rule::DrainGrace => "drains kept",
        Rule::SlowStart => "cold hosts",
        Rule::Ceilings => "ceilings",
        Rule::NoCrash => "no crash",
    }
}

/// What it asks; short enough for a line of the table.
fn asks(rule: Rule) -> &'static str {
    match rule {
        Rule::SingleResponse => "each request taken gets one final answer in time",
        Rule::NoDuplicateExecution => "no effect twice; what may have run is not refused",
        Rule::DrainGrace => "nothing new to hosts that drain or are gone",
        Rule::SlowStart => "no cold host is pushed over",
        Rule::Ceilings => "hard ceilings hold over all gateways together",
        Rule::NoCrash => "each gateway runs until it is told to stop",
    }
}

/// Each rule, and how often it was broken.
pub(crate) fn facts(verdict: &Verdict) -> Vec<RuleFact> {
    let broken = |rule| verdict.violations.iter().filter(|breach| breach.rule == rule).count();
    ALL.iter().map(|&rule| RuleFact { name: name(rule), asks: asks(rule), broken: broken(rule) }).collect()
}

/// The breaches that are shown, in order of time: the first of each rule, so that one rule broken a thousand
/// times does not hide another, and then the earliest ones.
pub(crate) fn shown(verdict: &Verdict) -> Vec<&Violation> {
    let breaches = &verdict.violations;
    let firsts: Vec<usize> =
        ALL.iter().filter_map(|&rule| breaches.iter().position(|breach| breach.rule == rule)).collect();
    let room = MOST.saturating_sub(firsts.len());
    let rest = (0..breaches.len()).filter(|i| !firsts.contains(i)).take(room);
    let mut picked: Vec<usize> = firsts.iter().copied().chain(rest).collect();
    picked.sort_unstable();
    picked.into_iter().map(|i| &breaches[i]).collect()
}

/// The rules' part of the verdict, in one sentence.
pub(crate) fn sentence(verdict: &Verdict) -> String {
    let facts = facts(verdict);
    let broken: Vec<&str> = facts.iter().filter(|fact| fact.broken > 0).map(|fact| fact.name).collect();
    match broken.len() {
        0 => "All rules kept.".into(),
        n => format!("{n} of {} rules broken: {}.", facts.len(), broken.join(", ")),
    }
}

/// `1 time`, `2 times`.
pub(crate) fn times(count: usize) -> String {
    format!("{} time{}", crate::number::count(count as u64), if count == 1 { "" } else { "s" })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_rule_broken_a_thousand_times_does_not_hide_another() {
        let breach = |rule, at_s| Violation { rule, at_s, text: String::new() };
        let mut breaches: Vec<Violation> =
            (0..1000).map(|i| breach(Rule::SingleResponse, f64::from(i))).collect();
        breaches.push(breach(Rule::SlowStart, 2000.0));
        let verdict = Verdict { violations: breaches, ..Verdict::default() };
        let times: Vec<f64> = shown(&verdict).iter().map(|breach| breach.at_s).collect();
        assert_eq!(times, [0.0, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 2000.0]);
        assert_eq!(sentence(&verdict), "2 of 6 rules broken: one answer, cold hosts.");
    }
}
