//! The content of `plan show`, which `text.rs` and `json.rs` print in two forms.

use crate::output::one_line;
use gateway::PlatformSettings;
use site_failover::capacity_check::LossScenario;
use site_failover::{FailoverPlan, OperatorOverride, SheddingTier, Site};
use std::path::Path;

/// A plan for the loss of a site, and the results of the capacity check.
pub struct LossReport<'a> {
    /// The operators' file.
    pub file: &'a Path,
    /// The traffic mix as given on the command line; without one all classes and plans have equal weights.
    pub mix: Option<&'a str>,
    /// The compiled plan.
    pub plan: &'a FailoverPlan,
    /// The losses that were checked, with their outcomes.
    pub losses: &'a [LossScenario],
    /// The platform's settings, which have the names of zones, classes and plans.
    pub platform: &'a PlatformSettings,
}

impl LossReport<'_> {
    /// Returns the name of the site with this index in the plan.
    pub fn site_name(&self, site: usize) -> &str {
        &self.plan.sites[site].name
    }

    /// Returns the names of the sites with these indexes.
    pub fn site_names(&self, sites: &[usize]) -> Vec<&str> {
        sites.iter().map(|site| self.site_name(*site)).collect()
    }

    /// Returns the names of the lost sites.
    pub fn lost_sites(&self, loss: &LossScenario) -> Vec<&str> {
        let lost = (0..self.plan.sites.len()).filter(|site| loss.lost.contains(*site));
        lost.map(|site| self.site_name(site)).collect()
    }

    /// Returns the names of a site's zones.
    pub fn zone_names(&self, site: &Site) -> Vec<&str> {
        let zones = site.zones.iter().filter_map(|zone| self.platform.zone_names.get(*zone as usize));
        zones.map(String::as_str).collect()
    }

    /// Returns the classes and plans that a tier sheds, each as `CLASS/PLAN`.
    pub fn shed_cells(&self, tier: &SheddingTier) -> Vec<String> {
        tier.cells.iter().map(|cell| self.cell_name(*cell)).collect()
    }

    fn cell_name(&self, cell: usize) -> String {
        let plans = self.plan.shedding.plans;
        let class = name_at(&self.platform.class_names, cell / plans);
        let plan = name_at(&self.platform.plan_names, cell % plans);
        format!("{class}/{plan}")
    }
}

fn name_at(names: &[String], index: usize) -> String {
    names.get(index).map_or_else(String::new, |name| one_line(name))
}

/// Returns the keyword of the operators' language for an override of a site's health.
pub fn override_keyword(operator_override: OperatorOverride) -> &'static str {
    match operator_override {
        OperatorOverride::Lost => "lost",
        OperatorOverride::Healthy => "whole",
    }
}
