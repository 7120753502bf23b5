//! An entry of `tariffs`: a customer's plan.

use crate::reader::{Reader, Result};
use policy::api::Plan;

/// Reads a plan.
pub(crate) fn plan(tariff: &Reader) -> Result<Plan> {
    let rate = tariff.number("refill")?;
    let burst = tariff.number("burst")?;
    let ceiling_rate = tariff.number("ceiling-rate")?;
    let ceiling_burst = tariff.number("never-over-depth")?;
    check_depth(tariff, "burst", rate, burst)?;
    check_depth(tariff, "never-over-depth", ceiling_rate, ceiling_burst)?;
    Ok(Plan {
        rate,
        burst,
        max_concurrent: tariff.count("concurrency")?,
        weight_factor: tariff.number("worth-factor")?,
        over_quota_weight: tariff.number("extra-worth")?,
        over_quota_cost: tariff.number("overrun-cost")?,
        ceiling_rate,
        ceiling_burst,
        ceiling_slack: tariff.number("cap-slack")?,
    })
}

/// A token bucket that refills has to hold something.
fn check_depth(tariff: &Reader, key: &'static str, rate: f64, depth: f64) -> Result<()> {
    if rate > 0.0 && depth == 0.0 {
        return Err(tariff.invalid(key, "is 0 beside a rate: a store of no depth lets nothing through"));
    }
    Ok(())
}
