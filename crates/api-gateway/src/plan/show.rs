//! `plan show`: prints a plan for the loss of a site, and the outcome of each loss.

use super::loss_report::LossReport;
use super::{json, text, traffic_mix};
use crate::operators;
use crate::operators::failover_plan;
use crate::output::{one_line, print, print_diagnostics, print_json};
use crate::source::read_platform;
use anyhow::{Context as _, Result};
use clap::Args;
use site_failover::capacity_check::{check_losses, TrafficMix};
use std::path::PathBuf;

/// The arguments of `plan show`.
#[derive(Args, Debug)]
#[command(after_help = EXIT_CODES)]
pub struct Arguments {
    /// The operators' file
    file: PathBuf,
    /// The platform's configuration, as gateways read it
    #[arg(long, value_name = "CONFIG_JSON")]
    settings: PathBuf,
    /// Relative weights of classes and plans: CLASS/PLAN=WEIGHT,... By default all have equal weights
    #[arg(long, value_name = "WEIGHTS")]
    mix: Option<String>,
    /// Print one JSON object instead of tables
    #[arg(long)]
    json: bool,
}

const EXIT_CODES: &str = "\
Exit status: 0 shown, whether losses are carried or not; 1 the file has errors; 2 wrong usage.";

/// Prints the plan and its losses, and returns whether the file can be used.
///
/// # Errors
/// The platform's configuration or the mix cannot be used, or standard output not be written.
pub fn run(arguments: &Arguments) -> Result<bool> {
    let platform = read_platform(&arguments.settings)?;
    let checked = operators::check(&arguments.file, Some(&platform));
    let Some(set) = checked.set else {
        print_diagnostics(&checked.diagnostics);
        return Ok(false);
    };
    let plan = failover_plan::compile(&set.operators, &platform)?;
    let mix = match &arguments.mix {
        Some(weights) => {
            traffic_mix::parse(weights, &platform).with_context(|| format!("--mix {}", one_line(weights)))?
        }
        None => TrafficMix::even(&plan.shedding),
    };
    let report = LossReport {
        file: &arguments.file,
        mix: arguments.mix.as_deref(),
        plan: &plan,
        losses: &check_losses(&plan, &mix),
        platform: &platform,
    };
    if arguments.json {
        print_json(&json::render(&report))?;
    } else {
        print(&text::render(&report))?;
    }
    Ok(true)
}
