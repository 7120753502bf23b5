//! `check`: explains in a few lines what a gateway's configuration means.

use crate::source::read_config;
use anyhow::Result;
use gateway::{Config, PlatformSettings};
use quota::bound::{max_overshoot, Failure, Quota};
use std::path::Path;

/// Duration of the counter's outage for which the overshoot of quotas is stated, in seconds.
const COUNTER_OUTAGE_S: f64 = 120.0;

/// Prints what the configuration in this file means.
///
/// # Errors
/// The file cannot be read, or the configuration cannot be used.
pub fn run(path: &Path) -> Result<()> {
    let config = read_config(path)?;
    let platform = &config.platform;
    println!("{}: can be used", path.display());
    println!("  {} listens on {}, asks discovery at {}", config.name, config.listen, config.discovery);
    let counter = config.counter.filter(|_| platform.settings.has_counter);
    match counter {
        Some(counter) => println!("  counts quotas with the counter at {counter}"),
        None => println!("  counts quotas by itself: the settings allow no counter"),
    }
    print_memory_budget(&config);
    if counter.is_some() {
        print_overshoot_bounds(platform);
    }
    for key in &config.unknown_keys {
        println!("  skips `{key}`, which this version does not know");
    }
    println!("  classes: {}", platform.class_names.join(", "));
    println!("  plans: {}", platform.plan_names.join(", "));
    println!("  knows {} hosts before discovery speaks", config.cached_endpoints.endpoints.len());
    Ok(())
}

/// Prints how the gateway divides its memory (see docs/capacity.md).
fn print_memory_budget(config: &Config) {
    let budget = config.memory_budget();
    let (full, compact) = budget.max_customers();
    println!("  {} descriptors, {} MB:", config.sockets, config.memory_bytes >> 20);
    println!("    {} commands in hand, with values of 64 KiB", budget.command_slots);
    println!("    {} KiB of commands that wait", budget.commands >> 10);
    println!(
        "    {} KiB of customers: {full} that come often, or up to {compact} that come seldom",
        budget.customers >> 10
    );
}

/// Prints for each plan with a quota by how much a customer can exceed it while the counter is unreachable (see
/// docs/quota-doubt.md).
fn print_overshoot_bounds(platform: &PlatformSettings) {
    let plans = platform.plan_names.iter().zip(&platform.settings.plans);
    for (name, plan) in plans.filter(|(_, plan)| plan.rate > 0.0) {
        let quota = Quota {
            rate: plan.rate,
            burst: plan.burst,
            set_size: platform.settings.gateways,
            max_request_units: platform.max_request_units,
        };
        let outage = Failure::counter_unreachable(COUNTER_OUTAGE_S, &quota);
        let within_limit = max_overshoot(&quota, &outage, true);
        let over_limit = max_overshoot(&quota, &outage, false);
        println!(
            "  plan {name}: with the counter lost for {COUNTER_OUTAGE_S} s a customer gets at most \
             {within_limit:.0} units beyond its quota, one that asks for more than all of it {over_limit:.0}"
        );
    }
}
