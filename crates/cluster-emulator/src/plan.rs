//! `cluster-emulator plan`: the loss of each site of an operators' file, played through the model of a fleet.

use anyhow::{bail, ensure, Context, Result};
use clap::Parser;
use config_language::{load, loader::Fs, Severity};
use gateway::{check_operators, Config, PlatformSettings};
use policy::api::{Idempotency, Span, Time};
use site_failover::{FailoverPlan, PlatformNames};
use site_failover_model::{run_scenario, FailureMode, LossSummary, ReturnMode, Scenario, SiteLoss};
use std::path::PathBuf;
use std::process::ExitCode;

const SECOND: Span = 1_000_000_000;
/// A site is lost then.
const AT: Time = 20 * SECOND;

/// Play the loss of each site in virtual time, at its busiest hour, and print a table.
///
/// As many requests of each class and plan are assumed.
#[derive(Debug, Parser)]
#[command(name = "cluster-emulator plan")]
struct Words {
    /// The operators' file
    file: PathBuf,
    /// A gateway's configuration file, for the platform's settings
    #[arg(long, value_name = "CONFIG_JSON")]
    settings: PathBuf,
    /// Seconds that each site is lost for
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=600))]
    lost: u64,
    /// All chance comes from it
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Carries it out.
pub fn main() -> ExitCode {
    match run(&Words::parse_from(std::env::args_os().skip(1))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cluster-emulator: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(words: &Words) -> Result<()> {
    let text = std::fs::read(&words.settings);
    let text = text.with_context(|| format!("cannot read {}", words.settings.display()))?;
    let config = Config::parse(&text).with_context(|| words.settings.display().to_string())?;
    let loaded = load(&words.file, &Fs, None);
    let Some(set) = loaded.set else {
        let error = loaded.diagnostics.iter().find(|found| found.severity == Severity::Error);
        bail!(error.map_or_else(|| "cannot be used".to_owned(), |error| error.one_line()));
    };
    check_operators(&config.platform, &set.operators)?;
    let site = &config.platform;
    let facts =
        PlatformNames { classes: &site.class_names, plans: &site.plan_names, zones: &site.zone_names };
    let plan = FailoverPlan::compile(&set.operators, &facts)?;
    ensure!(!plan.sites.is_empty(), "{}: there is no site in it", words.file.display());
    let setting = setting(site, plan.clone()).with_context(|| {
        format!("{}: each site needs a `capacity` and a `load` to be played", words.file.display())
    })?;
    println!(
        "site         lost, s   returning, s   whole, s   served   served after   refused by plan   fell"
    );
    for number in 0..plan.sites.len() {
        println!("{}", row(&setting, number, words));
    }
    Ok(())
}

fn setting(site: &PlatformSettings, plan: FailoverPlan) -> Option<Scenario> {
    let (classes, plans) = (&site.settings.classes, site.settings.plans.len());
    let cells = classes.len() * plans;
    let once =
        (0..cells).filter(|cell| classes[cell / plans].idempotency == Idempotency::NotIdempotent).collect();
    Scenario::from_plan(plan, site.settings.gateways, vec![1.0 / cells as f64; cells], once)
}

fn row(setting: &Scenario, number: usize, words: &Words) -> String {
    let (duration, failure, return_mode) = (words.lost * SECOND, FailureMode::Silent, ReturnMode::Cold);
    let site_losses = vec![SiteLoss { site: number, at: AT, duration, failure, return_mode }];
    let after = 2 * setting.plan.sites[number].recovery_ramp + 120 * SECOND;
    let setting =
        Scenario { site_losses, duration: AT + duration + after, seed: words.seed, ..setting.clone() };
    let figures = LossSummary::of(&run_scenario(&setting), &setting, 0);
    let last = |when: Option<(Time, Time, usize)>| match when {
        Some((_, last, _)) => format!("{:.1}", last as f64 / SECOND as f64),
        None => "-".to_owned(),
    };
    let mean = |shares: &[f64]| 100.0 * shares.iter().sum::<f64>() / shares.len().max(1) as f64;
    format!(
        "{:<12} {:>7}   {:>12}   {:>8}   {:>4.1} %   {:>10.1} %   {:>13.1} %   {:>4}",
        setting.plan.sites[number].name,
        last(figures.lost),
        last(figures.recovering),
        last(figures.healthy),
        mean(&figures.served),
        mean(&figures.served_after),
        mean(&figures.shed),
        figures.crashes,
    )
}
