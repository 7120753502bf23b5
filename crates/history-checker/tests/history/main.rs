//! Hand-written runs, checked by the history checker and by the invariant checker.

// Shares the run builder of the invariant checker's tests.
#[allow(dead_code)]
#[path = "../../../invariants/tests/checker/run_builder.rs"]
mod run_builder;

mod chains;
mod faulty_gateways;
mod rule_limits;

use cluster_model::scenario::{Idempotency, Site};
use cluster_model::{MS, SECOND};
use history_checker::{Finding, History, Limits, QuotaBound, Rule};
use run_builder::{RunBuilder, START};

/// The class of keyed requests.
const KEYED: u32 = 2;

/// The default site and a class of keyed requests, whose repeats hosts drop for 300 ms.
fn site() -> Site {
    let mut site = Site::default();
    let mut keyed = site.classes[run_builder::ORDER as usize].clone();
    keyed.idempotency = Idempotency::Keyed(300 * MS);
    site.classes.push(keyed);
    site
}

/// Hosts 0 and 1 form one deduplication group, host 2 another. The quota is 4 units a second with a burst of 10 and an
/// allowance of 2.
fn limits() -> Limits {
    let mut limits = Limits::for_site(&site());
    limits.dedup_groups = [(0, 0), (1, 0), (2, 1)].into();
    let bound = QuotaBound { rate: 4.0, burst: 10.0, allowance: 2.0 };
    limits.quota_bounds.iter_mut().for_each(|of_plan| *of_plan = Some(bound));
    limits
}

/// Returns the findings three seconds after the last observation.
fn found(run: &RunBuilder) -> Vec<Finding> {
    let mut history = History::new(limits(), START);
    let seen = run.observations();
    let last = seen.last().map_or(START, |seen| seen.at);
    // The order of the calls does not matter.
    seen.iter().rev().for_each(|seen| history.observe(seen));
    history.check(last + 3 * SECOND)
}

fn rules(run: &RunBuilder) -> Vec<Rule> {
    found(run).iter().map(|finding| finding.rule).collect()
}
