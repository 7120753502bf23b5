//! The tools for the operators' plan for the loss of a site.

mod show;
mod table;

use crate::operators;
use anyhow::Result;
use clap::Subcommand;
use config_language::model::Operators;
use config_language::{Diagnostic, Dimension};
use gateway::PlatformSettings;
use site_failover::capacity_check::{
    check_loss, LoadFit, LossOutcome, LossScenario, TierShedding, TrafficMix,
};
use site_failover::{FailoverPlan, OperatorOverride, PlanError, PlatformNames, SiteSet};
use std::ffi::OsString;
use std::process::ExitCode;

/// What to do with a plan for the loss of a site.
#[derive(Debug, Subcommand)]
pub enum Tool {
    /// Print whether the fleet carries the loss of each site, and of each two; what is refused, and how much
    Show(show::Words),
    /// Play the loss of each site in virtual time; hands over to `cluster-emulator plan` beside this program
    #[command(disable_help_flag = true)]
    Try {
        /// The operators' file and further words for `cluster-emulator plan`
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        words: Vec<OsString>,
    },
}

/// Carries it out.
///
/// # Errors
/// What keeps the tool itself from its work. What it finds in the files, it says, and the status tells.
pub fn run(tool: Tool) -> Result<ExitCode> {
    match tool {
        Tool::Show(words) => Ok(if show::run(&words)? { ExitCode::SUCCESS } else { ExitCode::FAILURE }),
        Tool::Try { words } => {
            crate::rehearse(std::iter::once("plan".into()).chain(words).collect()).map(|()| ExitCode::SUCCESS)
        }
    }
}

/// The plan that a file set means for a gateway with these settings.
///
/// # Errors
/// As [`FailoverPlan::compile`].
pub fn compile(operators: &Operators, site: &PlatformSettings) -> Result<FailoverPlan, PlanError> {
    FailoverPlan::compile(
        operators,
        &PlatformNames { classes: &site.class_names, plans: &site.plan_names, zones: &site.zone_names },
    )
}

/// Warnings of a plan that does not carry the loss of some one site, and of figures that it lacks. A plan that says
/// no figures is none that could be reckoned with.
pub fn warnings(said: &Operators, plan: &FailoverPlan) -> Vec<Diagnostic> {
    let place = |number: usize| operators::place(&said.sites[number].name.origin);
    if !plan.sites.iter().any(|site| site.capacity.is_some() || site.load.is_some()) {
        return Vec::new();
    }
    if let Some((number, key)) = lacking(plan) {
        let name = &plan.sites[number].name;
        let reason = format!("whether a loss is carried is not known: site \"{name}\" lacks `{key}`");
        return vec![Diagnostic::warning("loss-unknown", &place(number), reason)];
    }
    let (told, mix) = (told_lost(plan), TrafficMix::even(&plan.shedding));
    let open = (0..plan.sites.len()).filter(|site| !told.contains(*site));
    let warnings = open.filter_map(|number| match check_loss(plan, told.with(number), &mix) {
        LossOutcome::Computed(fit) if !fit.is_carried() => {
            let reason = format!(
                "the loss of site \"{}\" is not carried: {}",
                plan.sites[number].name,
                in_a_line(plan, &fit)
            );
            Some(Diagnostic::warning("loss", &place(number), reason).help(REFUSALS))
        }
        _ => None,
    });
    warnings.collect()
}

/// How the warnings of losses were reckoned.
const REFUSALS: &str = "with as many requests of each class and plan; `api-gateway plan show` tells more";

/// The first site that lacks a figure, and which.
fn lacking(plan: &FailoverPlan) -> Option<(usize, &'static str)> {
    plan.sites.iter().enumerate().find_map(|(number, site)| match (site.capacity, site.load) {
        (None, _) => Some((number, "capacity")),
        (_, None) => Some((number, "load")),
        _ => None,
    })
}

/// The sites that are told lost.
fn told_lost(plan: &FailoverPlan) -> SiteSet {
    let told = plan
        .sites
        .iter()
        .enumerate()
        .filter(|(_, site)| site.operator_override == Some(OperatorOverride::Lost));
    told.fold(SiteSet::NONE, |set, (number, _)| set.with(number))
}

/// What is refused, and how much of it.
fn in_a_line(plan: &FailoverPlan, fit: &LoadFit) -> String {
    let narrowest = &fit.remaining_sites[fit.bottleneck];
    format!(
        "{} of {} ({}) are refused ({}): site \"{}\" is asked for {} and has room for {}",
        amount(fit.shed),
        requests(fit.demand),
        percent(fit.shed_fraction()),
        refusals(plan, fit).join(", "),
        plan.sites[narrowest.site].name,
        amount(narrowest.own_load + narrowest.taken_over_load),
        amount(narrowest.usable_capacity)
    )
}

/// "shed `reads` 400 of 500", "beyond the sheds 100".
fn refusals(plan: &FailoverPlan, fit: &LoadFit) -> Vec<String> {
    let rung = |rung: &TierShedding| {
        let name = &plan.shedding.tiers[rung.tier].name;
        format!("shed `{name}` {} of {}", amount(rung.shed), amount(rung.demand))
    };
    let mut parts: Vec<String> = fit.shed_by_tier.iter().map(rung).collect();
    if fit.shed_beyond_tiers > 0.0 {
        parts.push(format!("beyond the sheds {}", amount(fit.shed_beyond_tiers)));
    }
    parts
}

fn requests(value: f64) -> String {
    Dimension::Requests.text(rounded(value), " ")
}

fn amount(value: f64) -> String {
    let text = requests(value);
    text.strip_suffix(" requests/s").map_or(text.clone(), str::to_owned)
}

/// To three digits or so; what is declared is no better known.
fn rounded(value: f64) -> f64 {
    let finer = match value {
        100.0.. => 1.0,
        1.0.. => 10.0,
        _ => 1000.0,
    };
    (value * finer).round() / finer
}

fn percent(share: f64) -> String {
    Dimension::Share.text((share * 1000.0).round() / 1000.0, " ")
}

/// The names of the sites that are lost.
fn names(plan: &FailoverPlan, loss: &LossScenario) -> Vec<String> {
    let lost = plan.sites.iter().enumerate().filter(|(number, _)| loss.lost.contains(*number));
    lost.map(|(_, site)| site.name.clone()).collect()
}
