//! Parses the argument `--mix`: how the requests are divided among classes and plans.

use anyhow::{bail, ensure, Context as _, Result};
use gateway::PlatformSettings;
use site_failover::capacity_check::TrafficMix;

/// Parses weights of the form `CLASS/PLAN=WEIGHT,...`. Classes and plans that are not named have no weight.
///
/// # Errors
/// The text has another form, names an unknown class or plan, or has no positive weight.
pub fn parse(text: &str, platform: &PlatformSettings) -> Result<TrafficMix> {
    let plans = platform.plan_names.len();
    let mut weights = vec![0.0; platform.class_names.len() * plans];
    for part in text.split(',') {
        let (class, plan, weight) = split(part)?;
        let class = position(&platform.class_names, class)
            .with_context(|| format!("the platform has no class `{class}`"))?;
        let plan = position(&platform.plan_names, plan)
            .with_context(|| format!("the platform has no plan `{plan}`"))?;
        weights[class * plans + plan] = parse_weight(weight)?;
    }
    ensure!(weights.iter().any(|weight| *weight > 0.0), "no weight is positive");
    Ok(TrafficMix::from_weights(weights))
}

/// Splits `CLASS/PLAN=WEIGHT` into its parts.
fn split(part: &str) -> Result<(&str, &str, &str)> {
    let split = part.split_once('=').and_then(|(cell, weight)| {
        let (class, plan) = cell.split_once('/')?;
        Some((class, plan, weight))
    });
    match split {
        Some(parts) => Ok(parts),
        None => bail!("`{part}` is not CLASS/PLAN=WEIGHT"),
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|candidate| candidate == name)
}

fn parse_weight(text: &str) -> Result<f64> {
    let weight: f64 = text.parse().with_context(|| format!("`{text}` is not a number"))?;
    // The message has the parsed number, not the text.
    ensure!(weight.is_finite() && weight >= 0.0, "`{weight}` is not a valid weight");
    Ok(weight)
}
