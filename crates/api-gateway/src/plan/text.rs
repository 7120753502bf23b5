//! The report of `plan show` as tables for people.

use super::loss_report::{override_keyword, LossReport};
use super::table::Table;
use crate::loss_summary::{amount, percent, shed_amounts};
use crate::output::{one_line, path_text};
use config_language::Dimension;
use site_failover::capacity_check::{LoadFit, LossOutcome};
use site_failover::Site;

/// Fraction of a site's load below which a rest without a named failover target counts as a rounding error.
const FRACTION_TOLERANCE: f64 = 1e-9;

/// Returns the tables of sites, of shedding tiers, and of losses.
pub fn render(report: &LossReport) -> String {
    if report.plan.sites.is_empty() {
        let file = path_text(report.file);
        return format!("{file}: no site, so nothing is planned for the loss of one\n");
    }
    let mix = match report.mix {
        Some(_) => "the mix of requests is the one that was given",
        None => "as many requests of each class and plan are assumed",
    };
    format!(
        "sites, in requests/s\n\n{}\nwhat is refused first\n\n{}\nlosses at the busiest hour; {mix}\n\n{}",
        sites(report),
        shedding_tiers(report),
        losses(report)
    )
}

fn sites(report: &LossReport) -> String {
    let headings = ["site", "zones", "capacity", "load", "headroom", "ramp", "told", "who takes over"];
    let mut table = Table::new(&headings, &[2, 3, 4, 5]);
    for site in &report.plan.sites {
        let zones: Vec<String> = report.zone_names(site).into_iter().map(one_line).collect();
        table.add_row(vec![
            site.name.clone(),
            zones.join(", "),
            amount_or_unknown(site.capacity),
            amount_or_unknown(site.load),
            percent(site.headroom),
            Dimension::Span.text(site.recovery_ramp as f64, " "),
            site.operator_override.map_or("-", override_keyword).to_owned(),
            failover_targets(report, site),
        ]);
    }
    table.render()
}

fn amount_or_unknown(per_second: Option<f64>) -> String {
    per_second.map_or_else(|| "?".to_owned(), amount)
}

/// Returns the sites that take over a site's load, each with its fraction, and the fraction that no site is named for.
fn failover_targets(report: &LossReport, site: &Site) -> String {
    let targets = &site.failover_targets;
    let mut parts: Vec<String> = targets
        .iter()
        .map(|target| format!("{} {}", report.site_name(target.site), percent(target.fraction)))
        .collect();
    let unassigned = 1.0 - targets.iter().map(|target| target.fraction).sum::<f64>();
    if unassigned > FRACTION_TOLERANCE {
        parts.push(format!("whoever has room {}", percent(unassigned)));
    }
    parts.join(", ")
}

fn shedding_tiers(report: &LossReport) -> String {
    let tiers = &report.plan.shedding.tiers;
    if tiers.is_empty() {
        return "nothing is named: what does not fit is refused by worth alone\n".into();
    }
    let mut table = Table::new(&["", "shed", "floor", "requests"], &[0, 2]);
    for (index, tier) in tiers.iter().enumerate() {
        table.add_row(vec![
            (index + 1).to_string(),
            tier.name.clone(),
            percent(tier.floor),
            report.shed_cells(tier).join(", "),
        ]);
    }
    table.render()
}

fn losses(report: &LossReport) -> String {
    let mut table = Table::new(&["lost", "carried", "refused", "fullest site", "what is refused"], &[2]);
    for loss in report.losses {
        let row = OutcomeRow::new(report, &loss.outcome);
        let mut details = row.details.into_iter();
        let mut cells =
            vec![report.lost_sites(loss).join(" and "), row.carried, row.refused, row.fullest_site];
        cells.extend(details.next());
        table.add_row(cells);
        // Each further detail has a separate row, below the first.
        for detail in details {
            table.add_row(vec![String::new(), String::new(), String::new(), String::new(), detail]);
        }
    }
    table.render()
}

/// The outcome of a loss, as the cells of its row.
struct OutcomeRow {
    carried: String,
    refused: String,
    fullest_site: String,
    /// The load shed by tier, or the reason why it is not known: one entry a line.
    details: Vec<String>,
}

impl OutcomeRow {
    fn new(report: &LossReport, outcome: &LossOutcome) -> OutcomeRow {
        match outcome {
            LossOutcome::Computed(fit) => OutcomeRow::computed(report, fit),
            LossOutcome::MissingFigures(sites) => {
                let sites = report.site_names(sites).join(", ");
                OutcomeRow {
                    carried: "?".into(),
                    refused: "?".into(),
                    fullest_site: String::new(),
                    details: vec![format!("`capacity` and `load` are not both known of {sites}")],
                }
            }
            LossOutcome::NoSiteLeft => OutcomeRow {
                carried: "no".into(),
                refused: "all".into(),
                fullest_site: String::new(),
                details: vec!["no site is left".into()],
            },
        }
    }

    fn computed(report: &LossReport, fit: &LoadFit) -> OutcomeRow {
        let (carried, refused) = if fit.is_carried() {
            ("yes", "-".into())
        } else {
            ("no", format!("{} ({})", amount(fit.shed), percent(fit.shed_fraction())))
        };
        OutcomeRow {
            carried: carried.into(),
            refused,
            fullest_site: fullest_site(report, fit),
            details: shed_details(report, fit),
        }
    }
}

fn fullest_site(report: &LossReport, fit: &LoadFit) -> String {
    let fullest = &fit.remaining_sites[fit.bottleneck];
    let name = report.site_name(fullest.site);
    let demand = amount(fullest.own_load + fullest.taken_over_load);
    let capacity = amount(fullest.usable_capacity);
    format!("{name}: asked {demand}, room {capacity}")
}

/// Returns the load shed by tier, and the tiers whose floors cannot be kept.
fn shed_details(report: &LossReport, fit: &LoadFit) -> Vec<String> {
    let mut details = shed_amounts(report.plan, fit);
    let floors = fit.floors_at_risk(&report.plan.shedding);
    let floors: Vec<&str> = floors.map(|tier| tier.name.as_str()).collect();
    if !floors.is_empty() {
        details.push(format!("floors that cannot be kept: {}", floors.join(", ")));
    }
    details
}
