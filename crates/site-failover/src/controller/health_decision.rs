//! The health decision: determines the next state of a site from what a gateway knows about all sites.
//!
//! The checks run in the order of their precedence, until one of them decides. Each check sets the
//! site's state, and returns the cause if the state or the traffic fraction has changed.

use std::ops::ControlFlow;

use policy::api::{Span, Time};

use super::site_table::SiteTable;
use crate::health::{failure_evidence, AttemptStats, FailureEvidence, SiteHealth, SiteObservations};
use crate::plan::OperatorOverride;
use crate::recovery::{RampInput, RampProgress};
use crate::time::SECOND;
use crate::transition::TransitionCause;

/// A site that discovery lists no ready host of is lost if nothing answers there for this span.
const EMPTIED_GRACE: Span = 2 * SECOND;
/// A site without a ready host at the time when this gateway first knows of ready hosts of other sites may get its
/// hosts within this span without a recovery ramp, because the deployment is starting.
const STARTUP_GRACE: Span = 60 * SECOND;
/// A site is slow if responses take this multiple of the usual time.
const SLOW_RATIO: f64 = 3.0;
/// A slow site remains slow above this multiple of the usual time.
const STILL_SLOW_RATIO: f64 = 1.5;
/// A slow site's ratio exceeds that of the best other site by this factor, so that a slowdown everywhere does not
/// count.
const SLOWER_THAN_OTHERS: f64 = 2.0;

/// Result of one check: `Break` if it decides, with the cause of a change, or `Continue` if the next check decides.
type Check = ControlFlow<Option<TransitionCause>>;

/// Input that the decisions of one tick have in common.
#[derive(Clone, Copy, Debug)]
pub(super) struct TickInput<'a> {
    pub now: Time,
    /// Time since the last tick.
    pub elapsed: Span,
    /// Attempts since the last tick, by site.
    pub new_attempts: &'a [AttemptStats],
    /// Whether this gateway cannot reach any host that receives load.
    pub is_gateway_isolated: bool,
}

/// Decides the state of a site, and returns the cause if its health or its traffic fraction has changed.
pub(super) fn decide(table: &mut SiteTable, site: usize, tick: &TickInput) -> Option<TransitionCause> {
    match run_checks(table, site, tick) {
        ControlFlow::Break(cause) => cause,
        ControlFlow::Continue(()) => None,
    }
}

fn run_checks(table: &mut SiteTable, site: usize, tick: &TickInput) -> Check {
    check_operator_override(table, site, tick.now)?;
    check_isolation(table, site, tick)?;
    check_host_list(table, site, tick.now)?;
    if table.states[site].is_excluded() {
        return ControlFlow::Break(probe(table, site, tick.now));
    }
    let evidence = evidence_against(table, site, tick.now);
    check_failures(table, site, tick.now, evidence)?;
    if table.states[site].health() == SiteHealth::Recovering {
        return ControlFlow::Break(advance_ramp(table, site, tick));
    }
    ControlFlow::Break(update_health(table, site, tick.now, evidence))
}

/// Returns the result of a check that decides, with a cause if there is a change.
fn decided(has_changed: bool, cause: TransitionCause) -> Check {
    ControlFlow::Break(has_changed.then_some(cause))
}

/// Follows the health set by the operators. The last available site is not excluded, whatever they set.
fn check_operator_override(table: &mut SiteTable, site: usize, now: Time) -> Check {
    let is_another_available = table.is_another_available(site);
    let state = &mut table.states[site];
    match table.plan.sites[site].operator_override {
        None => ControlFlow::Continue(()),
        Some(OperatorOverride::Healthy) => {
            let has_changed = !state.has_full_traffic() || state.health() != SiteHealth::Healthy;
            state.admit_fully(now, SiteHealth::Healthy);
            decided(has_changed, TransitionCause::SetByOperators)
        }
        Some(OperatorOverride::Lost) if state.is_excluded() => {
            let has_changed = state.hold_excluded(now);
            decided(has_changed, TransitionCause::SetByOperators)
        }
        Some(OperatorOverride::Lost) if is_another_available => {
            state.exclude(now, SiteHealth::Lost);
            decided(true, TransitionCause::SetByOperators)
        }
        Some(OperatorOverride::Lost) => ControlFlow::Continue(()),
    }
}

/// Admits all sites while this gateway reaches none of them: it is the gateway that is isolated.
fn check_isolation(table: &mut SiteTable, site: usize, tick: &TickInput) -> Check {
    if !tick.is_gateway_isolated {
        return ControlFlow::Continue(());
    }
    let state = &mut table.states[site];
    let has_changed = state.health() != SiteHealth::Unreachable || state.is_excluded();
    state.admit_fully(tick.now, SiteHealth::Unreachable);
    decided(has_changed, TransitionCause::NoReference)
}

/// Checks a site that discovery lists no ready host of, or lists restarted hosts of.
fn check_host_list(table: &mut SiteTable, site: usize, now: Time) -> Check {
    let Some(emptied) = table.inventory.emptied(site) else { return ControlFlow::Continue(()) };
    let has_ready_hosts = !table.inventory.ready(site).is_empty();
    if table.states[site].is_excluded() {
        if has_ready_hosts {
            table.inventory.forget_emptied(site);
        }
        return ControlFlow::Continue(());
    }
    if has_ready_hosts {
        return check_restarted(table, site, now, emptied);
    }
    if !table.has_capacity_fraction(site) {
        return ControlFlow::Break(None);
    }
    let state = &mut table.states[site];
    let has_answered = table.observations[site].last_answer.is_some_and(|answered| answered > emptied);
    if has_answered {
        let has_changed = state.set_health(now, SiteHealth::Suspect);
        return decided(has_changed, TransitionCause::UnlistedButAnswering);
    }
    if now < emptied + EMPTIED_GRACE {
        return ControlFlow::Break(None);
    }
    state.exclude(now, SiteHealth::Lost);
    decided(true, TransitionCause::NoHostsListed)
}

/// Excludes a site whose hosts were all restarted: they have to warm up, so the site recovers like any lost site.
/// While a deployment starts, its sites appear one after the other, which is not a recovery.
fn check_restarted(table: &mut SiteTable, site: usize, now: Time, emptied: Time) -> Check {
    table.inventory.forget_emptied(site);
    let is_startup = !table.has_capacity_fraction(site) && now < emptied + STARTUP_GRACE;
    if is_startup || !table.is_another_available(site) {
        return ControlFlow::Continue(());
    }
    table.states[site].exclude(now, SiteHealth::Lost);
    decided(true, TransitionCause::NoHostsListed)
}

/// Probes an excluded site, and starts its recovery once enough hosts answer.
fn probe(table: &mut SiteTable, site: usize, now: Time) -> Option<TransitionCause> {
    let turn_interval = table.identity.turn_interval();
    let in_doubt_since = table.control_plane.since();
    let state = &mut table.states[site];
    if !state.probe(now, table.inventory.ready(site), turn_interval) {
        let is_lost_again = state.health() == SiteHealth::Probing && state.set_health(now, SiteHealth::Lost);
        return is_lost_again.then_some(TransitionCause::NoReference);
    }
    if !state.may_recover(now, in_doubt_since) {
        let has_changed = state.set_health(now, SiteHealth::Probing);
        return has_changed.then_some(TransitionCause::Answering);
    }
    if !table.has_capacity_fraction(site) {
        table.update_capacity_fraction(site);
    }
    table.states[site].start_recovery(now);
    table.observations[site].end_failure_run();
    Some(TransitionCause::Answering)
}

/// Excludes a site against which the evidence is conclusive, if another one is available.
fn check_failures(table: &mut SiteTable, site: usize, now: Time, evidence: Option<FailureEvidence>) -> Check {
    let Some(evidence) = evidence.filter(FailureEvidence::is_conclusive) else {
        return ControlFlow::Continue(());
    };
    if !table.is_another_available(site) {
        return ControlFlow::Continue(());
    }
    let may_be_isolated = table.is_own_site_alone(now, site);
    let health = if may_be_isolated { SiteHealth::Unreachable } else { SiteHealth::Lost };
    table.states[site].exclude(now, health);
    decided(true, evidence.into())
}

fn evidence_against(table: &SiteTable, site: usize, now: Time) -> Option<FailureEvidence> {
    let ready_hosts = table.inventory.ready(site).len();
    failure_evidence(&table.observations[site], now, ready_hosts, table.others_receiving_load(site))
}

/// Advances the recovery of a site. A recovery that fails excludes the site again, if another one is available.
fn advance_ramp(table: &mut SiteTable, site: usize, tick: &TickInput) -> Option<TransitionCause> {
    let is_another_recovering = table.are_several_recovering();
    let state = &table.states[site];
    let input = RampInput {
        elapsed: tick.elapsed,
        elsewhere: &table.attempts_elsewhere(site, tick.new_attempts),
        usual_response_time: table.observations[site].usual_response_time(),
        speed: state.ramp_speed(tick.now, table.control_plane.since(), is_another_recovering),
        min_duration: table.plan.sites[site].recovery_ramp,
    };
    match table.states[site].advance_ramp(tick.now, &input) {
        RampProgress::Unchanged => None,
        RampProgress::StepChanged | RampProgress::Complete => Some(TransitionCause::RecoveryProgress),
        RampProgress::Failed if !table.is_another_available(site) => None,
        RampProgress::Failed => {
            table.states[site].exclude(tick.now, SiteHealth::Lost);
            Some(TransitionCause::RecoveryFailed)
        }
    }
}

/// Updates the health of a site that keeps its load.
fn update_health(
    table: &mut SiteTable,
    site: usize,
    now: Time,
    evidence: Option<FailureEvidence>,
) -> Option<TransitionCause> {
    let is_unreachable = evidence.is_none() && table.is_unreachable(site, now);
    let slow_ratio = slow_ratio(table, site);
    let last_answer = table.observations[site].last_answer;
    let state = &mut table.states[site];
    state.reset_backoff_if_healthy(now);
    if let Some(evidence) = evidence.filter(FailureEvidence::is_suspicious) {
        return state.set_health(now, SiteHealth::Suspect).then_some(evidence.into());
    }
    let was_unreachable = state.health() == SiteHealth::Unreachable;
    if is_unreachable {
        let health = if was_unreachable { SiteHealth::Unreachable } else { SiteHealth::Suspect };
        return state.set_health(now, health).then_some(TransitionCause::NoReference);
    }
    if was_unreachable && last_answer.is_none_or(|answered| answered < state.since()) {
        return None;
    }
    match slow_ratio {
        Some(ratio) => {
            state.set_health(now, SiteHealth::Slow).then_some(TransitionCause::SlowResponses(ratio))
        }
        None => state.set_health(now, SiteHealth::Healthy).then_some(TransitionCause::Answering),
    }
}

/// Returns the multiple of the usual time that responses of a site take, if it makes the site slow.
fn slow_ratio(table: &SiteTable, site: usize) -> Option<f64> {
    let here = table.observations[site].response_time_ratio()?;
    let others = table.others_receiving_load(site).filter_map(SiteObservations::response_time_ratio);
    let best_elsewhere = others.min_by(f64::total_cmp).unwrap_or(1.0);
    let is_slow_already = table.states[site].health() == SiteHealth::Slow;
    let limit = if is_slow_already { STILL_SLOW_RATIO } else { SLOW_RATIO };
    let is_slow = here > limit && here > best_elsewhere * SLOWER_THAN_OTHERS.min(limit);
    is_slow.then_some(here)
}
