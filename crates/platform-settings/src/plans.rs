//! Reads an entry of `tariffs`: a customer's plan.

use crate::reader::{Reader, Result};
use policy::api::Plan;

/// Reads a plan.
pub(crate) fn plan(tariff: &Reader) -> Result<Plan> {
    let rate = tariff.number("refill")?;
    let burst = tariff.number("burst")?;
    let ceiling_rate = tariff.number("ceiling-rate")?;
    let ceiling_burst = tariff.number("never-over-depth")?;
    check_burst(tariff, "burst", rate, burst)?;
    check_burst(tariff, "never-over-depth", ceiling_rate, ceiling_burst)?;
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

/// Checks that a token bucket with a rate has a capacity.
fn check_burst(tariff: &Reader, key: &'static str, rate: f64, burst: f64) -> Result<()> {
    if rate > 0.0 && burst == 0.0 {
        return Err(tariff
            .invalid(key, "is 0 although the rate is not: a token bucket without capacity admits nothing"));
    }
    Ok(())
}
