//! `config show`: prints the values in force, and the source of each.

use crate::operators;
use crate::operators::platform::{language_platform, quotas};
use crate::output::{one_line, print, print_diagnostics};
use crate::source::read_platform;
use anyhow::{Context as _, Result};
use clap::Args;
use config_language::{show, Dimension, FileSet};
use gateway::PlatformSettings;
use routing::{EffectiveQuota, Limit, LimitSource};
use std::path::PathBuf;

/// The arguments of `config show`.
#[derive(Args, Debug)]
#[command(after_help = EXIT_CODES)]
pub struct Arguments {
    /// The operators' file
    file: PathBuf,
    /// The platform's configuration, as gateways read it: adds the quota in force for each plan
    #[arg(long, value_name = "CONFIG_JSON")]
    settings: Option<PathBuf>,
}

const EXIT_CODES: &str = "\
The output is an equivalent file in the same language.
Exit status: 0 shown; 1 the file has errors; 2 wrong usage.";

/// Prints the values in force, and returns whether the file can be used.
///
/// # Errors
/// The platform's configuration cannot be used, or standard output not be written.
pub fn run(arguments: &Arguments) -> Result<bool> {
    let platform = arguments.settings.as_deref().map(read_platform).transpose()?;
    let checked = operators::check(&arguments.file, platform.as_ref());
    let Some(set) = checked.set else {
        print_diagnostics(&checked.diagnostics);
        return Ok(false);
    };
    let mut text = show(&set, platform.as_ref().map(language_platform).as_ref());
    if let Some(platform) = &platform {
        text += &quotas_text(&set, platform)?;
    }
    print(&text)?;
    Ok(true)
}

/// Returns the quotas in force as comments of the language, since it has no blocks for the platform's quotas.
fn quotas_text(set: &FileSet, platform: &PlatformSettings) -> Result<String> {
    let quotas = quotas(&set.operators, platform).context("quotas")?;
    let plans: String = quotas.iter().map(plan_text).collect();
    Ok(format!("\n# quotas in force, for each customer of a plan\n{plans}"))
}

fn plan_text(quota: &EffectiveQuota) -> String {
    let is_metered = quota.rate.value > 0.0;
    let rate = limit_text(&quota.rate, Dimension::Rate, is_metered);
    let burst = limit_text(&quota.burst, Dimension::Units, is_metered);
    let max_concurrent =
        Limit { value: f64::from(quota.max_concurrent.value), source: quota.max_concurrent.source.clone() };
    let concurrency = limit_text(&max_concurrent, Dimension::Attempts, max_concurrent.value > 0.0);
    let name = one_line(&quota.plan);
    format!("# plan {name}\n#   rate: {rate}\n#   burst: {burst}\n#   open: {concurrency}\n")
}

/// Returns a limit with its unit and its source.
fn limit_text(limit: &Limit<f64>, dimension: Dimension, is_bounded: bool) -> String {
    let value = if is_bounded { dimension.text(limit.value, "_") } else { "no bound".into() };
    match &limit.source {
        LimitSource::Platform => format!("{value}, from the platform's settings"),
        LimitSource::Policy { name, origin } => format!("{value}, from quota policy `{name}`, {origin}"),
    }
}
