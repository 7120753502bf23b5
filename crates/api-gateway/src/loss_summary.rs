//! Texts for the results of capacity checks: request rates, fractions, and the load shed by tier.

use config_language::Dimension;
use site_failover::capacity_check::{LoadFit, TierShedding};
use site_failover::FailoverPlan;

/// Returns a request rate with its unit, rounded.
pub fn requests(per_second: f64) -> String {
    Dimension::Requests.text(rounded(per_second), " ")
}

/// Returns a request rate without its unit, rounded.
pub fn amount(per_second: f64) -> String {
    let text = requests(per_second);
    text.strip_suffix(" requests/s").map_or(text.clone(), str::to_owned)
}

/// Returns a fraction as a percentage with at most one decimal.
pub fn percent(fraction: f64) -> String {
    Dimension::Share.text((fraction * 1000.0).round() / 1000.0, " ")
}

/// Returns the load shed by each tier, and beyond all tiers: "shed `reads` 400 of 500", "beyond the sheds 100".
pub fn shed_amounts(plan: &FailoverPlan, fit: &LoadFit) -> Vec<String> {
    let tier_text = |shedding: &TierShedding| {
        let name = &plan.shedding.tiers[shedding.tier].name;
        format!("shed `{name}` {} of {}", amount(shedding.shed), amount(shedding.demand))
    };
    let mut parts: Vec<String> = fit.shed_by_tier.iter().map(tier_text).collect();
    if fit.shed_beyond_tiers > 0.0 {
        parts.push(format!("beyond the sheds {}", amount(fit.shed_beyond_tiers)));
    }
    parts
}

/// Rounds to about three significant digits, since declared figures are no more exact.
fn rounded(value: f64) -> f64 {
    let steps_per_unit = match value {
        100.0.. => 1.0,
        1.0.. => 10.0,
        _ => 1000.0,
    };
    (value * steps_per_unit).round() / steps_per_unit
}
