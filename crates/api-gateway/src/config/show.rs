//! `config show`: what is in force, and where each value comes from.

use super::{rendered, site};
use crate::operators;
use crate::output::{complain, one_line, print};
use anyhow::{Context as _, Result};
use clap::Args;
use config_language::{show, Dimension};
use routing::{EffectiveQuota, Limit, LimitSource};
use std::path::PathBuf;

/// The words of `config show`.
#[derive(Args, Debug)]
#[command(after_help = EXIT_CODES)]
pub struct Words {
    /// The operators' file
    file: PathBuf,
    /// The platform's configuration, as gateways get it: adds the quota in force for each plan
    #[arg(long, value_name = "CONFIG_JSON")]
    settings: Option<PathBuf>,
}

const EXIT_CODES: &str = "\
What is printed is a file of the language that means the same.
Exit status: 0 shown; 1 the file has errors; 2 wrong usage.";

/// Shows; whether the file can be used.
///
/// # Errors
/// The platform's configuration cannot be used, or the result not be written.
pub fn run(words: &Words) -> Result<bool> {
    let site = site(words.settings.as_deref())?;
    let checked = operators::check(&words.file, site.as_ref());
    let Some(set) = checked.set else {
        complain(&rendered(&checked.diagnostics));
        return Ok(false);
    };
    let mut text = show(&set, site.as_ref().map(operators::platform).as_ref());
    if let Some(site) = &site {
        let quotas = operators::quotas(&set.operators, site).context("quotas")?;
        text += "\n# quotas in force, for each customer of a plan\n";
        text.extend(quotas.iter().map(plan));
    }
    print(&text)?;
    Ok(true)
}

/// A plan, as comments: quotas of the platform are none of the operators' to write.
fn plan(quota: &EffectiveQuota) -> String {
    let metered = quota.rate.value > 0.0;
    let rate = figure(&quota.rate, Dimension::Rate, metered);
    let burst = figure(&quota.burst, Dimension::Units, metered);
    let open =
        Limit { value: f64::from(quota.max_concurrent.value), source: quota.max_concurrent.source.clone() };
    let open = figure(&open, Dimension::Attempts, open.value > 0.0);
    let name = one_line(&quota.plan);
    format!("# plan {name}\n#   rate: {rate}\n#   burst: {burst}\n#   open: {open}\n")
}

fn figure(figure: &Limit<f64>, dimension: Dimension, is_bound: bool) -> String {
    let value = if is_bound { dimension.text(figure.value, "_") } else { "no bound".into() };
    match &figure.source {
        LimitSource::Platform => format!("{value}, from the platform's settings"),
        LimitSource::Policy { name, origin } => format!("{value}, from quota policy `{name}`, {origin}"),
    }
}
