//! Histories written by hand, also shown to the judge: what each of the two finds in them.

// The judge's own builder of days.
#[allow(dead_code)]
#[path = "../../../invariants/tests/judge/day.rs"]
mod day;

mod chains;
mod edges;
mod wrongdoers;

use cluster_model::scenario::{Idempotency, Site};
use cluster_model::{MS, SECOND};
use day::{Day, START};
use history_checker::{Finding, History, Limits, QuotaBound, Rule};

/// The class of keyed requests.
const KEYED: u32 = 2;

/// The default site and a class of keyed requests, whose repeats hosts drop for 300 ms.
fn site() -> Site {
    let mut site = Site::default();
    let mut keyed = site.classes[day::ORDER as usize].clone();
    keyed.idempotency = Idempotency::Keyed(300 * MS);
    site.classes.push(keyed);
    site
}

/// Hosts 0 and 1 share what they know, host 2 does not; 4 units a second, 10 at once, 2 more are stated.
fn terms() -> Limits {
    let mut terms = Limits::for_site(&site());
    terms.dedup_groups = [(0, 0), (1, 0), (2, 1)].into();
    let bound = QuotaBound { rate: 4.0, burst: 10.0, allowance: 2.0 };
    terms.quota_bounds.iter_mut().for_each(|of_plan| *of_plan = Some(bound));
    terms
}

/// What is found three seconds after the last sighting.
fn found(day: &Day) -> Vec<Finding> {
    let mut history = History::new(terms(), START);
    let seen = day.sightings();
    let last = seen.last().map_or(START, |seen| seen.at);
    // The order in which they are shown does not matter.
    seen.iter().rev().for_each(|seen| history.observe(seen));
    history.check(last + 3 * SECOND)
}

fn rules(day: &Day) -> Vec<Rule> {
    found(day).iter().map(|finding| finding.rule).collect()
}
