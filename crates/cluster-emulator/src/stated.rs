//! What the history of a scenario's run is held to: the terms of its site, and the units beyond a quota that are
//! stated in advance for what fails in it.
//!
//! The statement of error (`quota`, `bound`) speaks of one failure of the counter. A scenario may have
//! several and other things beside them, so allowances add up:
//!
//! - one for a whole counter (blocks leased ahead, and a request at each gateway),
//! - one for each spell in which the counter fails or gateways are cut off from it; at most what gateways could let in
//!   that each took all of the quota for themselves,
//! - for each process of a gateway that ends, a burst and a block: what it alone knew of its customers dies with it,
//!   and none of them can gain more by that than one full store; as much for one that stands still for a while, which
//!   goes on with what it knew before,
//! - for each spell in which what gateways sent may come to hosts late, the quota of that time: hosts may see all of it
//!   at once at the end,
//! - on sockets, one for a counter lost from begin to end: a machine that is slow by other work makes the counter's
//!   time-out pass, and no scenario says when.
//!
//! Nothing is stated of plans whose customers the decision module lets in beyond their quotas on purpose, where idle
//! hosts make that worth more than it costs.

use cluster_model::scenario::{CounterFault, Event, LinkEnd, PartitionSide, PlanSpec, Scenario, Site};
use cluster_model::Span;
use history_checker::{Limits, QuotaBound};
use quota::bound::{max_overshoot, Failure, Quota, LEASE_HORIZON_S};

/// Limits for the history of a run of this scenario, in virtual time or on sockets.
pub fn stated(scenario: &Scenario, on_sockets: bool) -> Limits {
    let mut terms = Limits::for_site(&scenario.site);
    for (plan, bound) in scenario.site.plans.iter().zip(&mut terms.quota_bounds) {
        let lets_in_more = plan.over_quota_weight_share > plan.over_quota_cost && plan.ceiling_rate == 0.0;
        *bound = bound.filter(|_| !lets_in_more).map(|bound| {
            let allowance = allowance(scenario, plan, on_sockets);
            QuotaBound { allowance, ..bound }
        });
    }
    terms
}

/// Units beyond a plan's quota that are stated for all that fails.
fn allowance(scenario: &Scenario, plan: &PlanSpec, on_sockets: bool) -> f64 {
    let quota = Quota {
        rate: plan.rate,
        burst: plan.burst,
        set_size: plan.spread.min(scenario.site.gateways),
        max_request_units: f64::from(scenario.traffic.max_units),
    };
    let none = Failure { duration_s: 0.0, partitions: 1, counter_answers: true, counter_resets: 0 };
    let mut units = max_overshoot(&quota, &none, true);
    for timed in &scenario.events {
        units +=
            failure(&timed.event, &scenario.site, &quota).map_or(0.0, |failure| at_most(&quota, &failure));
        units += f64::from(ends(&timed.event, &scenario.site))
            * (quota.burst + LEASE_HORIZON_S * quota.rate + quota.max_request_units);
        units += quota.rate * seconds(held_back(&timed.event));
    }
    if on_sockets {
        units += at_most(&quota, &Failure::counter_unreachable(seconds(scenario.length), &quota));
    }
    units
}

/// What the statement says, or what gateways that know nothing of one another could let in, if that is less.
fn at_most(quota: &Quota, failure: &Failure) -> f64 {
    let others = f64::from(quota.set_size.saturating_sub(1));
    let alone = others * (quota.rate * failure.duration_s + quota.burst);
    let leased = LEASE_HORIZON_S * quota.rate + f64::from(quota.set_size) * (quota.max_request_units + 1.0);
    let replaced = max_overshoot(
        quota,
        &Failure { duration_s: 0.0, partitions: 1, counter_answers: true, ..*failure },
        true,
    );
    max_overshoot(quota, failure, true).min(alone + leased + replaced)
}

/// What an event is to the counter's callers.
fn failure(event: &Event, site: &Site, quota: &Quota) -> Option<Failure> {
    let lost = |span: Span| Some(Failure::counter_unreachable(seconds(span), quota));
    // Some are without the counter, and it goes on answering the others.
    let apart = |span: Span| {
        Some(Failure { counter_answers: true, ..Failure::counter_unreachable(seconds(span), quota) })
    };
    match event {
        Event::Counter(CounterFault::Reset, _) => {
            Some(Failure { duration_s: 0.0, partitions: 1, counter_answers: true, counter_resets: 1 })
        }
        Event::Counter(CounterFault::SplitBrain(groups), span) => {
            let sides = groups.len() as u32 + quota.set_size;
            Some(Failure {
                duration_s: seconds(*span),
                partitions: sides,
                counter_answers: true,
                counter_resets: 0,
            })
        }
        // Each return of the counter is believed anew, and gains of several spells add up.
        Event::Counter(CounterFault::Flapping(_), span) => {
            Some(Failure { counter_answers: true, ..Failure::counter_unreachable(seconds(*span), quota) })
        }
        Event::Counter(_, span) | Event::CorruptCounterReplies(_, span) | Event::SuspendCounter(span) => {
            lost(*span)
        }
        Event::Partition(a, b, span, _) if [a, b].iter().any(|side| reaches_counter(side)) => apart(*span),
        // The counter is in it, or its gateways are parted from the counter.
        Event::IsolateBuilding(_, span) => apart(*span),
        // Some gateways may be heard and not answered, and others be whole all the while.
        Event::Links(_, LinkEnd::Counter, _, span) => apart(*span),
        // With all that it knew, and its gateways with it.
        Event::PowerLoss(building, span) if *building == site.counter.building => {
            Some(Failure { counter_resets: 1, ..Failure::counter_unreachable(seconds(*span), quota) })
        }
        // Others take over from one that stands still. When it goes on its calls have run out of time.
        Event::SuspendGateways(..) | Event::FreezeGateways(..) => apart(0),
        // It may have no turn while an answer is in time.
        Event::SlowGateways(_, _, span) => apart(*span),
        _ => None,
    }
}

/// The counter stands in a building.
fn reaches_counter(side: &PartitionSide) -> bool {
    matches!(side, PartitionSide::Counter | PartitionSide::Building(_))
}

/// Processes of gateways that an event ends, or lets stand still.
fn ends(event: &Event, site: &Site) -> u32 {
    match event {
        Event::KillGateways(which, _)
        | Event::RestartGateways(which, _)
        | Event::SuspendGateways(which, _)
        | Event::FreezeGateways(which, _)
        | Event::SlowGateways(which, ..) => which.count(site.gateways),
        Event::PowerLoss(building, _) => {
            let buildings = site.buildings.max(1);
            (0..site.gateways).filter(|gateway| gateway % buildings + 1 == *building).count() as u32
        }
        _ => 0,
    }
}

/// For how long what gateways send may wait on its way to hosts.
fn held_back(event: &Event) -> Span {
    let reaches_hosts =
        |side: &PartitionSide| matches!(side, PartitionSide::Building(_) | PartitionSide::Host(_));
    match event {
        Event::Links(_, LinkEnd::Hosts(_), _, span)
        | Event::IsolateBuilding(_, span)
        | Event::SuspendHosts(_, span) => *span,
        Event::Partition(a, b, span, _) if reaches_hosts(a) || reaches_hosts(b) => *span,
        _ => 0,
    }
}

fn seconds(span: Span) -> f64 {
    span as f64 / 1e9
}
