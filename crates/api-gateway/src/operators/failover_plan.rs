//! Compiles the operators' plan for the loss of a site, and warns of losses that it does not carry.

use super::diagnostics::place;
use crate::loss_summary::{amount, percent, requests, shed_amounts};
use config_language::diagnostic::Place;
use config_language::model::Operators;
use config_language::Diagnostic;
use gateway::PlatformSettings;
use site_failover::capacity_check::{check_loss, LoadFit, LossOutcome, TrafficMix};
use site_failover::{FailoverPlan, OperatorOverride, PlanError, PlatformNames, SiteSet};

/// Help text of the warnings: the assumed traffic, and the command with more detail.
const TRAFFIC_HELP: &str = "with as many requests of each class and plan; `api-gateway plan show` tells more";

/// Returns the plan that the operators' blocks mean for a gateway with these settings.
///
/// # Errors
/// As [`FailoverPlan::compile`].
pub fn compile(operators: &Operators, platform: &PlatformSettings) -> Result<FailoverPlan, PlanError> {
    FailoverPlan::compile(
        operators,
        &PlatformNames {
            classes: &platform.class_names,
            plans: &platform.plan_names,
            zones: &platform.zone_names,
        },
    )
}

/// Returns a warning for each further site whose loss the plan does not carry, or one for the first missing figure. A
/// plan without any capacity or load gets no warnings, since it was not meant to be computed.
pub fn warnings(operators: &Operators, plan: &FailoverPlan) -> Vec<Diagnostic> {
    let has_figures = plan.sites.iter().any(|site| site.capacity.is_some() || site.load.is_some());
    if !has_figures {
        return Vec::new();
    }
    if let Some((site, key)) = missing_figure(plan) {
        let name = &plan.sites[site].name;
        let reason = format!("whether a loss is carried is not known: site \"{name}\" lacks `{key}`");
        return vec![Diagnostic::warning("loss-unknown", &site_place(operators, site), reason)];
    }
    let lost = sites_overridden_lost(plan);
    let mix = TrafficMix::even(&plan.shedding);
    let further_sites = (0..plan.sites.len()).filter(|site| !lost.contains(*site));
    further_sites
        .filter_map(|site| match check_loss(plan, lost.with(site), &mix) {
            LossOutcome::Computed(fit) if !fit.is_carried() => {
                Some(loss_warning(plan, site, &fit, &site_place(operators, site)))
            }
            _ => None,
        })
        .collect()
}

fn site_place(operators: &Operators, site: usize) -> Place {
    place(&operators.sites[site].name.origin)
}

fn loss_warning(plan: &FailoverPlan, site: usize, fit: &LoadFit, place: &Place) -> Diagnostic {
    let name = &plan.sites[site].name;
    let reason = format!("the loss of site \"{name}\" is not carried: {}", shed_summary(plan, fit));
    Diagnostic::warning("loss", place, reason).help(TRAFFIC_HELP)
}

/// Returns the first site that lacks a figure, and the key of that figure.
fn missing_figure(plan: &FailoverPlan) -> Option<(usize, &'static str)> {
    plan.sites.iter().enumerate().find_map(|(number, site)| match (site.capacity, site.load) {
        (None, _) => Some((number, "capacity")),
        (_, None) => Some((number, "load")),
        _ => None,
    })
}

/// Returns the sites that the operators have declared lost.
fn sites_overridden_lost(plan: &FailoverPlan) -> SiteSet {
    let sites = plan.sites.iter().enumerate();
    sites
        .filter(|(_, site)| site.operator_override == Some(OperatorOverride::Lost))
        .fold(SiteSet::NONE, |set, (number, _)| set.with(number))
}

/// Returns in one line how much load is shed, from which tiers, and which site is the bottleneck.
fn shed_summary(plan: &FailoverPlan, fit: &LoadFit) -> String {
    let bottleneck = &fit.remaining_sites[fit.bottleneck];
    format!(
        "{} of {} ({}) are refused ({}): site \"{}\" is asked for {} and has room for {}",
        amount(fit.shed),
        requests(fit.demand),
        percent(fit.shed_fraction()),
        shed_amounts(plan, fit).join(", "),
        plan.sites[bottleneck.site].name,
        amount(bottleneck.own_load + bottleneck.taken_over_load),
        amount(bottleneck.usable_capacity)
    )
}
