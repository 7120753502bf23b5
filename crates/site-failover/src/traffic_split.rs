//! Which sites a request may go to while a site is lost or recovers.

use policy::api::RequestId;

use crate::hashing::uniform_from_hash;
use crate::plan::{FailoverPlan, SiteSet};
use crate::site_state::SiteState;

/// Purposes of the hash draws. A draw gives the same number each time it is repeated for a request, and is independent
/// of the draws for other purposes.
const DRAW_LOST_SITE: u64 = 1;
const DRAW_FAILOVER_TARGET: u64 = 2;
/// Added to the index of a site.
const DRAW_RECOVERING_SITE: u64 = 1_000;

/// Returns the sites that a request may go to. A request that would have gone to a lost site may go only to one of
/// that site's failover targets.
pub(crate) fn allowed_sites(
    plan: &FailoverPlan,
    states: &[SiteState],
    request: RequestId,
    is_idempotent: bool,
) -> SiteSet {
    let mut allowed = SiteSet::ALL;
    for (site, state) in states.iter().enumerate() {
        // The set contains an excluded site without a probe: its hosts accept no requests anyway, and a restricted set
        // would deny the request the concurrency slots that unrestricted requests share.
        if state.exclusion().is_some_and(|exclusion| exclusion.probed_host.is_none()) {
            continue;
        }
        let draw = uniform_from_hash(request.0, DRAW_RECOVERING_SITE + site as u64);
        if !state.admits(draw, is_idempotent) {
            allowed = allowed.without(site);
        }
    }
    match failover_target(plan, states, request) {
        Some(site) if allowed.contains(site) => SiteSet::one(site),
        _ => allowed,
    }
}

/// Returns the site that takes over a request which would have gone to a lost site, or `None` if no lost site would
/// have received the request, or if its target does not receive full load itself.
fn failover_target(plan: &FailoverPlan, states: &[SiteState], request: RequestId) -> Option<usize> {
    let lost_fraction = |state: &SiteState| if state.is_excluded() { state.capacity_fraction() } else { 0.0 };
    let by_lost_site = states.iter().map(lost_fraction).enumerate();
    let lost = weighted_choice(uniform_from_hash(request.0, DRAW_LOST_SITE), by_lost_site)?;
    let by_target = feasible_fractions(plan, lost);
    let target = weighted_choice(uniform_from_hash(request.0, DRAW_FAILOVER_TARGET), by_target)?;
    states[target].has_full_traffic().then_some(target)
}

/// Returns the failover targets of a lost site, each with the fraction of its load that the target takes over: the
/// planned one, or what the target's declared capacity leaves if that is less.
fn feasible_fractions(plan: &FailoverPlan, lost: usize) -> impl Iterator<Item = (usize, f64)> + '_ {
    let lost_load = plan.sites[lost].load;
    plan.sites[lost].failover_targets.iter().map(move |target| {
        let site = &plan.sites[target.site];
        let limit = match (lost_load, site.usable_capacity(), site.load) {
            (Some(lost_load), Some(usable_capacity), Some(own_load)) if lost_load > 0.0 => {
                ((usable_capacity - own_load) / lost_load).max(0.0)
            }
            _ => 1.0,
        };
        (target.site, target.fraction.min(limit))
    })
}

/// Chooses an option with a probability equal to its weight, given a uniform draw from `[0, 1)`. Returns `None` with
/// the probability that the weights fall short of 1.
fn weighted_choice(draw: f64, mut options: impl Iterator<Item = (usize, f64)>) -> Option<usize> {
    let mut remaining = draw;
    let chosen = options.find(|(_, weight)| {
        remaining -= weight;
        remaining < 0.0
    });
    chosen.map(|(option, _)| option)
}
