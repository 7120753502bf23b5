//! Where a request may go while a site is not whole.

use policy::api::RequestId;

use crate::chance::unit;
use crate::course::Course;
use crate::plan::{FailoverPlan, SiteSet};

/// What the draws are made for: each is the same for a request wherever and however often it is made, and says nothing
/// of the others.
const WHOSE_LOAD: u64 = 1;
const WHICH_TAKER: u64 = 2;
const WHO_RETURNS: u64 = 1_000;

/// Shares of a lost site's load that its takers get, as far as their declared capacities allow. What is left goes where
/// waits are least.
fn shares(plan: &FailoverPlan, lost: usize) -> impl Iterator<Item = (usize, f64)> + '_ {
    let load = plan.sites[lost].load;
    plan.sites[lost].failover_targets.iter().map(move |taker| {
        let site = &plan.sites[taker.site];
        let room = match (load, site.capacity, site.load) {
            (Some(load), Some(capacity), Some(own)) if load > 0.0 => {
                ((capacity * (1.0 - site.headroom) - own) / load).max(0.0)
            }
            _ => 1.0,
        };
        (taker.site, taker.fraction.min(room))
    })
}

/// The site that takes a request in the place of the lost one that would have had it.
fn taker(plan: &FailoverPlan, courses: &[Course], id: RequestId) -> Option<usize> {
    let mut drawn = unit(id.0, WHOSE_LOAD);
    let lost = courses.iter().position(|course| {
        let part = if course.is_withheld() { course.part() } else { 0.0 };
        drawn -= part;
        drawn < 0.0
    })?;
    let mut drawn = unit(id.0, WHICH_TAKER);
    let (site, _) = shares(plan, lost).find(|(_, share)| {
        drawn -= share;
        drawn < 0.0
    })?;
    courses[site].takes().then_some(site)
}

/// The sites that a request may go to.
pub(crate) fn send_to(
    plan: &FailoverPlan,
    courses: &[Course],
    id: RequestId,
    effect_is_safe: bool,
) -> SiteSet {
    let mut to = SiteSet::ALL;
    for (site, course) in courses.iter().enumerate() {
        // Hosts that are withheld take no work anyway, and a set of its own would part a request from the usual slots.
        // One of them that takes a trial takes nothing else.
        let is_kept_anyway = course.is_withheld() && course.trial_host().is_none();
        if !is_kept_anyway && !course.admits(unit(id.0, WHO_RETURNS + site as u64), effect_is_safe) {
            to = to.without(site);
        }
    }
    match taker(plan, courses, id) {
        Some(site) if to.contains(site) => SiteSet::one(site),
        _ => to,
    }
}
