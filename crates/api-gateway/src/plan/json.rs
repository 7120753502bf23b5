//! The report of `plan show` as JSON. The keys are the published format, which keeps terms of the operators' language:
//! `takers` are failover targets, `told` is the operators' override, `sheds` are shedding tiers.

use super::loss_report::{override_keyword, LossReport};
use crate::output::path_text;
use serde_json::{json, Value};
use site_failover::capacity_check::{LoadFit, LossOutcome, LossScenario, SiteDemand, TierShedding};
use site_failover::{FailoverTarget, SheddingTier, Site};

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Returns the complete report as one object.
pub fn render(report: &LossReport) -> Value {
    let sites: Vec<Value> = report.plan.sites.iter().map(|site| site_object(report, site)).collect();
    let tiers = report.plan.shedding.tiers.iter();
    let sheds: Vec<Value> = tiers.map(|tier| tier_object(report, tier)).collect();
    let losses: Vec<Value> = report.losses.iter().map(|loss| loss_object(report, loss)).collect();
    json!({
        "file": path_text(report.file),
        "mix": report.mix.unwrap_or("even"),
        "sites": sites,
        "sheds": sheds,
        "losses": losses,
    })
}

fn site_object(report: &LossReport, site: &Site) -> Value {
    let target_object =
        |target: &FailoverTarget| json!({"site": report.site_name(target.site), "share": target.fraction});
    let targets: Vec<Value> = site.failover_targets.iter().map(target_object).collect();
    json!({
        "name": site.name,
        "zones": report.zone_names(site),
        "capacity": site.capacity,
        "load": site.load,
        "headroom": site.headroom,
        "ramp_s": site.recovery_ramp as f64 / NANOSECONDS_PER_SECOND,
        "told": site.operator_override.map(override_keyword),
        "takers": targets,
    })
}

fn tier_object(report: &LossReport, tier: &SheddingTier) -> Value {
    json!({"name": tier.name, "floor": tier.floor, "requests": report.shed_cells(tier)})
}

fn loss_object(report: &LossReport, loss: &LossScenario) -> Value {
    let lost = report.lost_sites(loss);
    match &loss.outcome {
        LossOutcome::NoSiteLeft => json!({"lost": lost, "verdict": "nobody-left"}),
        LossOutcome::MissingFigures(sites) => {
            json!({"lost": lost, "verdict": "unknown", "lacking": report.site_names(sites)})
        }
        LossOutcome::Computed(fit) => computed_loss_object(report, &lost, fit),
    }
}

fn computed_loss_object(report: &LossReport, lost: &[&str], fit: &LoadFit) -> Value {
    let left: Vec<Value> =
        fit.remaining_sites.iter().map(|demand| site_demand_object(report, demand)).collect();
    let sheds: Vec<Value> = fit.shed_by_tier.iter().map(|tier| tier_shedding_object(report, tier)).collect();
    let floors = fit.floors_at_risk(&report.plan.shedding);
    let floors: Vec<&str> = floors.map(|tier| tier.name.as_str()).collect();
    json!({
        "lost": lost,
        "verdict": if fit.is_carried() { "carried" } else { "refused" },
        "asked": fit.demand,
        "refused": fit.shed,
        "left": left,
        "fullest": report.site_name(fit.remaining_sites[fit.bottleneck].site),
        "sheds": sheds,
        "beyond": fit.shed_beyond_tiers,
        "floors_at_risk": floors,
    })
}

fn site_demand_object(report: &LossReport, demand: &SiteDemand) -> Value {
    json!({
        "site": report.site_name(demand.site),
        "own": demand.own_load,
        "taken": demand.taken_over_load,
        "room": demand.usable_capacity,
    })
}

fn tier_shedding_object(report: &LossReport, shedding: &TierShedding) -> Value {
    json!({
        "shed": report.plan.shedding.tiers[shedding.tier].name,
        "asked": shedding.demand,
        "refused": shedding.shed,
    })
}
