//! `plan show`: what a plan says, and what each loss comes to.

use super::table::Table;
use super::{amount, compile, names, percent, refusals};
use crate::config::{print_json, rendered, site};
use crate::operators;
use crate::output::{complain, one_line, path_text, print};
use anyhow::{bail, Context as _, Result};
use clap::Args;
use config_language::Dimension;
use gateway::PlatformSettings;
use serde_json::{json, Value};
use site_failover::capacity_check::{check_losses, LoadFit, LossOutcome, LossScenario, TrafficMix};
use site_failover::{FailoverPlan, OperatorOverride};
use std::path::PathBuf;

/// The words of `plan show`.
#[derive(Args, Debug)]
#[command(after_help = EXIT_CODES)]
pub struct Words {
    /// The operators' file
    file: PathBuf,
    /// The platform's configuration, as gateways get it
    #[arg(long, value_name = "CONFIG_JSON")]
    settings: PathBuf,
    /// How the requests are divided, in any measure: CLASS/PLAN=WEIGHT,... Without it each class and plan has as many
    #[arg(long, value_name = "WEIGHTS")]
    mix: Option<String>,
    /// Print one JSON object instead of tables
    #[arg(long)]
    json: bool,
}

const EXIT_CODES: &str = "\
Exit status: 0 shown, whether losses are carried or not; 1 the file has errors; 2 wrong usage.";

/// Shows; whether the file can be used.
///
/// # Errors
/// The platform's configuration cannot be used, the mix is none, or the result not be written.
pub fn run(words: &Words) -> Result<bool> {
    let site = site(Some(&words.settings))?.context("no settings")?;
    let checked = operators::check(&words.file, Some(&site));
    let Some(set) = checked.set else {
        complain(&rendered(&checked.diagnostics));
        return Ok(false);
    };
    let plan = compile(&set.operators, &site)?;
    let mix = match &words.mix {
        Some(weights) => weighed(weights, &site).with_context(|| format!("--mix {}", one_line(weights)))?,
        None => TrafficMix::even(&plan.shedding),
    };
    let losses = check_losses(&plan, &mix);
    if words.json {
        print_json(&document(words, &plan, &losses, &site))?;
    } else {
        print(&text(words, &plan, &losses, &site))?;
    }
    Ok(true)
}

/// Weights by class and plan; those that are not named have none.
fn weighed(weights: &str, site: &PlatformSettings) -> Result<TrafficMix> {
    let plans = site.plan_names.len();
    let mut by_cell = vec![0.0; site.class_names.len() * plans];
    for part in weights.split(',') {
        let read = part.split_once('=').and_then(|(cell, weight)| Some((cell.split_once('/')?, weight)));
        let Some(((class, plan), weight)) = read else { bail!("`{part}` is not CLASS/PLAN=WEIGHT") };
        let number = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let class = number(&site.class_names, class)
            .with_context(|| format!("the platform has no class `{class}`"))?;
        let plan =
            number(&site.plan_names, plan).with_context(|| format!("the platform has no plan `{plan}`"))?;
        let weight: f64 = weight.parse().with_context(|| format!("`{weight}` is no number"))?;
        anyhow::ensure!(weight.is_finite() && weight >= 0.0, "`{weight}` is no weight");
        by_cell[class * plans + plan] = weight;
    }
    anyhow::ensure!(by_cell.iter().any(|weight| *weight > 0.0), "nothing weighs anything");
    Ok(TrafficMix::from_weights(by_cell))
}

fn text(words: &Words, plan: &FailoverPlan, losses: &[LossScenario], site: &PlatformSettings) -> String {
    if plan.sites.is_empty() {
        return format!("{}: no site, so nothing is planned for the loss of one\n", path_text(&words.file));
    }
    let assumed = match words.mix {
        Some(_) => "the mix of requests is the one that was given",
        None => "as many requests of each class and plan are assumed",
    };
    format!(
        "sites, in requests/s\n\n{}\nwhat is refused first\n\n{}\nlosses at the busiest hour; {assumed}\n\n{}",
        sites(plan, site),
        sheds(plan, site),
        outcomes(plan, losses)
    )
}

fn sites(plan: &FailoverPlan, platform: &PlatformSettings) -> String {
    let mut table = Table::new(
        &["site", "zones", "capacity", "load", "headroom", "ramp", "told", "who takes over"],
        &[2, 3, 4, 5],
    );
    for site in &plan.sites {
        let figure = |figure: Option<f64>| figure.map_or_else(|| "?".to_owned(), amount);
        let zones = site.zones.iter().filter_map(|zone| platform.zone_names.get(*zone as usize));
        table.row(vec![
            site.name.clone(),
            zones.map(|zone| one_line(zone)).collect::<Vec<_>>().join(", "),
            figure(site.capacity),
            figure(site.load),
            percent(site.headroom),
            Dimension::Span.text(site.recovery_ramp as f64, " "),
            told(site.operator_override).unwrap_or("-").to_owned(),
            takers(plan, site),
        ]);
    }
    table.text()
}

fn told(told: Option<OperatorOverride>) -> Option<&'static str> {
    told.map(|told| match told {
        OperatorOverride::Lost => "lost",
        OperatorOverride::Healthy => "whole",
    })
}

fn takers(plan: &FailoverPlan, site: &site_failover::Site) -> String {
    let name = |taker: &site_failover::FailoverTarget| {
        format!("{} {}", plan.sites[taker.site].name, percent(taker.fraction))
    };
    let mut parts: Vec<String> = site.failover_targets.iter().map(name).collect();
    let open = 1.0 - site.failover_targets.iter().map(|taker| taker.fraction).sum::<f64>();
    if open > 1e-9 {
        parts.push(format!("whoever has room {}", percent(open)));
    }
    parts.join(", ")
}

fn sheds(plan: &FailoverPlan, platform: &PlatformSettings) -> String {
    if plan.shedding.tiers.is_empty() {
        return "nothing is named: what does not fit is refused by worth alone\n".into();
    }
    let mut table = Table::new(&["", "shed", "floor", "requests"], &[0, 2]);
    for (number, rung) in plan.shedding.tiers.iter().enumerate() {
        let cells = rung.cells.iter().map(|cell| cell_name(plan, platform, *cell));
        table.row(vec![
            (number + 1).to_string(),
            rung.name.clone(),
            percent(rung.floor),
            cells.collect::<Vec<_>>().join(", "),
        ]);
    }
    table.text()
}

/// `CLASS/PLAN`.
fn cell_name(plan: &FailoverPlan, platform: &PlatformSettings, cell: usize) -> String {
    let plans = plan.shedding.plans;
    let name =
        |names: &[String], number: usize| names.get(number).map_or_else(String::new, |name| one_line(name));
    format!("{}/{}", name(&platform.class_names, cell / plans), name(&platform.plan_names, cell % plans))
}

fn outcomes(plan: &FailoverPlan, losses: &[LossScenario]) -> String {
    let mut table = Table::new(&["lost", "carried", "refused", "fullest site", "what is refused"], &[2]);
    for loss in losses {
        let mut what = match &loss.outcome {
            LossOutcome::Computed(fit) => what_is_refused(plan, fit),
            LossOutcome::MissingFigures(sites) => {
                let lacking: Vec<&str> = sites.iter().map(|site| plan.sites[*site].name.as_str()).collect();
                vec![format!("`capacity` and `load` are not both known of {}", lacking.join(", "))]
            }
            LossOutcome::NoSiteLeft => vec!["no site is left".into()],
        }
        .into_iter();
        let mut row = vec![names(plan, loss).join(" and ")];
        row.extend(verdict(plan, &loss.outcome));
        row.extend(what.next());
        table.row(row);
        // Each on a line of its own, below the others.
        what.for_each(|more| {
            table.row(vec![String::new(), String::new(), String::new(), String::new(), more])
        });
    }
    table.text()
}

/// Whether it is carried, what is refused if not, and the site that is fullest.
fn verdict(plan: &FailoverPlan, outcome: &LossOutcome) -> [String; 3] {
    let fit = match outcome {
        LossOutcome::Computed(fit) => fit,
        LossOutcome::MissingFigures(_) => return ["?", "?", ""].map(str::to_owned),
        LossOutcome::NoSiteLeft => return ["no", "all", ""].map(str::to_owned),
    };
    let fullest = &fit.remaining_sites[fit.bottleneck];
    let asked = amount(fullest.own_load + fullest.taken_over_load);
    let fullest =
        format!("{}: asked {asked}, room {}", plan.sites[fullest.site].name, amount(fullest.usable_capacity));
    if fit.is_carried() {
        return ["yes".into(), "-".into(), fullest];
    }
    ["no".into(), format!("{} ({})", amount(fit.shed), percent(fit.shed_fraction())), fullest]
}

fn what_is_refused(plan: &FailoverPlan, fit: &LoadFit) -> Vec<String> {
    let mut what = refusals(plan, fit);
    let floors: Vec<&str> = fit.floors_at_risk(&plan.shedding).map(|rung| rung.name.as_str()).collect();
    if !floors.is_empty() {
        what.push(format!("floors that cannot be kept: {}", floors.join(", ")));
    }
    what
}

fn document(
    words: &Words,
    plan: &FailoverPlan,
    losses: &[LossScenario],
    platform: &PlatformSettings,
) -> Value {
    let name = |number: usize| plan.sites[number].name.as_str();
    let site = |site: &site_failover::Site| {
        let zones: Vec<&String> =
            site.zones.iter().filter_map(|zone| platform.zone_names.get(*zone as usize)).collect();
        let takers = site
            .failover_targets
            .iter()
            .map(|taker| json!({"site": name(taker.site), "share": taker.fraction}));
        json!({
            "name": site.name,
            "zones": zones,
            "capacity": site.capacity,
            "load": site.load,
            "headroom": site.headroom,
            "ramp_s": site.recovery_ramp as f64 / 1e9,
            "told": told(site.operator_override),
            "takers": takers.collect::<Vec<_>>(),
        })
    };
    let shed = |rung: &site_failover::SheddingTier| {
        let cells: Vec<String> = rung.cells.iter().map(|cell| cell_name(plan, platform, *cell)).collect();
        json!({"name": rung.name, "floor": rung.floor, "requests": cells})
    };
    json!({
        "file": path_text(&words.file),
        "mix": words.mix.as_deref().unwrap_or("even"),
        "sites": plan.sites.iter().map(site).collect::<Vec<_>>(),
        "sheds": plan.shedding.tiers.iter().map(shed).collect::<Vec<_>>(),
        "losses": losses.iter().map(|loss| loss_document(plan, loss)).collect::<Vec<_>>(),
    })
}

fn loss_document(plan: &FailoverPlan, loss: &LossScenario) -> Value {
    let name = |number: usize| plan.sites[number].name.as_str();
    let lost = names(plan, loss);
    let fit = match &loss.outcome {
        LossOutcome::NoSiteLeft => return json!({"lost": lost, "verdict": "nobody-left"}),
        LossOutcome::MissingFigures(sites) => {
            let lacking: Vec<&str> = sites.iter().map(|site| name(*site)).collect();
            return json!({"lost": lost, "verdict": "unknown", "lacking": lacking});
        }
        LossOutcome::Computed(fit) => fit,
    };
    let left = fit.remaining_sites.iter().map(|placed| {
        json!({"site": name(placed.site), "own": placed.own_load, "taken": placed.taken_over_load, "room": placed.usable_capacity})
    });
    let rungs = fit.shed_by_tier.iter().map(|rung| {
        json!({"shed": plan.shedding.tiers[rung.tier].name, "asked": rung.demand, "refused": rung.shed})
    });
    json!({
        "lost": lost,
        "verdict": if fit.is_carried() { "carried" } else { "refused" },
        "asked": fit.demand,
        "refused": fit.shed,
        "left": left.collect::<Vec<_>>(),
        "fullest": name(fit.remaining_sites[fit.bottleneck].site),
        "sheds": rungs.collect::<Vec<_>>(),
        "beyond": fit.shed_beyond_tiers,
        "floors_at_risk": fit.floors_at_risk(&plan.shedding).map(|rung| rung.name.as_str()).collect::<Vec<_>>(),
    })
}
