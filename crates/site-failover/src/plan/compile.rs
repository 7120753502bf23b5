//! Compiles the blocks of the operators' files to a plan: names become the numbers that the platform uses.

use std::collections::{BTreeMap, BTreeSet};

use config_language::kinds::{MOST_SHEDS, MOST_SITES};
use config_language::model::{self, At, Operators, Origin};
use policy::api::Span;

use super::error::{PlanError, PlanErrorKind};
use super::model::{FailoverPlan, FailoverTarget, OperatorOverride, SheddingTier, SheddingTiers, Site};
use crate::time::SECOND;

/// Recovery ramp of a site for which operators declare none, in nanoseconds.
pub const DEFAULT_RECOVERY_RAMP: Span = 30 * SECOND;

/// Rounding error up to which the declared fractions of a site's failover targets may exceed 1.
const FRACTION_TOLERANCE: f64 = 1e-9;

/// Names of the platform's settings; the position of a name in its list is the number that the gateway uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformNames<'a> {
    /// Names of the request classes.
    pub classes: &'a [String],
    /// Names of the customer plans.
    pub plans: &'a [String],
    /// Names of the zones.
    pub zones: &'a [String],
}

impl FailoverPlan {
    /// Compiles the operators' blocks, resolving names against those of the platform.
    ///
    /// # Errors
    /// Returns an error for a name that is unknown or declared twice, fractions that exceed 1 in total, or too many
    /// sites or shedding tiers.
    pub fn compile(operators: &Operators, platform: &PlatformNames) -> Result<FailoverPlan, PlanError> {
        let mut sites = compile_sites(&operators.sites, platform)?;
        let site_numbers: BTreeMap<String, usize> =
            sites.iter().enumerate().map(|(number, site)| (site.name.clone(), number)).collect();
        for (number, site) in sites.iter_mut().enumerate() {
            site.failover_targets = compile_targets(number, &operators.takeovers, &site_numbers)?;
        }
        // Takeovers of an undeclared lost site belong to none of the sites above.
        for takeover in &operators.takeovers {
            site_number(&site_numbers, &takeover.lost)?;
        }
        let shedding = compile_shedding(&operators.sheds, platform)?;
        Ok(FailoverPlan { sites, shedding })
    }
}

fn compile_sites(declared: &[model::Site], platform: &PlatformNames) -> Result<Vec<Site>, PlanError> {
    let zone_numbers = numbers_by_name(platform.zones);
    let mut names = BTreeSet::new();
    let mut site_of_zone = BTreeMap::new();
    let mut sites = Vec::with_capacity(declared.len());
    for site in declared {
        let At { value: name, origin } = &site.name;
        if !names.insert(name) {
            return Err(PlanErrorKind::DuplicateSite(name.clone()).at(origin));
        }
        if sites.len() == MOST_SITES {
            return Err(PlanErrorKind::TooManySites(name.clone()).at(origin));
        }
        let zones = compile_zones(sites.len(), &site.zones, &zone_numbers, &mut site_of_zone)?;
        sites.push(compile_site(site, zones)?);
    }
    Ok(sites)
}

/// Resolves the zones of a site, and records in `site_of_zone` that they belong to it.
fn compile_zones(
    site: usize,
    zones: &At<Vec<String>>,
    zone_numbers: &BTreeMap<&String, u32>,
    site_of_zone: &mut BTreeMap<u32, usize>,
) -> Result<Vec<u32>, PlanError> {
    let mut numbers = Vec::new();
    for zone in &zones.value {
        let unknown_zone = || PlanErrorKind::UnknownZone(zone.clone()).at(&zones.origin);
        let number = *zone_numbers.get(zone).ok_or_else(unknown_zone)?;
        match site_of_zone.insert(number, site) {
            None => numbers.push(number),
            // A zone that one list names twice counts once.
            Some(previous) if previous == site => {}
            Some(_) => return Err(PlanErrorKind::ZoneInTwoSites(zone.clone()).at(&zones.origin)),
        }
    }
    Ok(numbers)
}

/// Compiles a site but for its failover targets, which refer to sites that are compiled later.
fn compile_site(site: &model::Site, zones: Vec<u32>) -> Result<Site, PlanError> {
    let number = |declared: &Option<At<f64>>| declared.as_ref().map(|declared| declared.value);
    Ok(Site {
        name: site.name.value.clone(),
        zones,
        capacity: number(&site.capacity),
        load: number(&site.load),
        headroom: number(&site.headroom).unwrap_or(0.0),
        failover_targets: Vec::new(),
        recovery_ramp: site.ramp.as_ref().map_or(DEFAULT_RECOVERY_RAMP, |ramp| ramp.value),
        operator_override: site.told.as_ref().map(compile_override).transpose()?,
    })
}

fn compile_override(declared: &At<String>) -> Result<OperatorOverride, PlanError> {
    match declared.value.as_str() {
        "lost" => Ok(OperatorOverride::Lost),
        "whole" => Ok(OperatorOverride::Healthy),
        _ => Err(PlanErrorKind::InvalidOverride(declared.value.clone()).at(&declared.origin)),
    }
}

/// Returns the numbers of names by their position; of two equal names the first one counts.
fn numbers_by_name(names: &[String]) -> BTreeMap<&String, u32> {
    let mut numbers = BTreeMap::new();
    for (number, name) in (0..).zip(names) {
        numbers.entry(name).or_insert(number);
    }
    numbers
}

fn site_number(site_numbers: &BTreeMap<String, usize>, name: &At<String>) -> Result<usize, PlanError> {
    let number = site_numbers.get(&name.value).copied();
    number.ok_or_else(|| PlanErrorKind::UnknownSite(name.value.clone()).at(&name.origin))
}

/// Compiles the failover targets of a site. Targets without a declared fraction divide the remaining load evenly.
fn compile_targets(
    lost: usize,
    takeovers: &[model::Takeover],
    site_numbers: &BTreeMap<String, usize>,
) -> Result<Vec<FailoverTarget>, PlanError> {
    let of_site = takeovers.iter().filter(|takeover| site_numbers.get(&takeover.lost.value) == Some(&lost));
    let declared: f64 = of_site.clone().filter_map(|takeover| Some(takeover.share.as_ref()?.value)).sum();
    let undeclared_count = of_site.clone().filter(|takeover| takeover.share.is_none()).count();
    let even_fraction = (1.0 - declared).max(0.0) / undeclared_count.max(1) as f64;
    let mut targets: Vec<FailoverTarget> = Vec::new();
    for takeover in of_site {
        let site = site_number(site_numbers, &takeover.by)?;
        let fraction = takeover.share.as_ref().map_or(even_fraction, |share| share.value);
        let origin: &Origin = &takeover.by.origin;
        if !(0.0..=1.0).contains(&fraction) || declared > 1.0 + FRACTION_TOLERANCE {
            return Err(PlanErrorKind::InvalidShares(takeover.lost.value.clone()).at(origin));
        }
        if site == lost {
            return Err(PlanErrorKind::TakeoverFromItself(takeover.by.value.clone()).at(origin));
        }
        if targets.iter().any(|target| target.site == site) {
            return Err(PlanErrorKind::DuplicateTarget(takeover.by.value.clone()).at(origin));
        }
        targets.push(FailoverTarget { site, fraction });
    }
    Ok(targets)
}

/// Compiles the shedding tiers. A tier whose cells all belong to earlier tiers is left out.
fn compile_shedding(sheds: &[model::Shed], platform: &PlatformNames) -> Result<SheddingTiers, PlanError> {
    if let Some(shed) = sheds.get(MOST_SHEDS) {
        return Err(PlanErrorKind::TooManySheds(shed.name.value.clone()).at(&shed.name.origin));
    }
    let mut shedding =
        SheddingTiers { tiers: Vec::new(), classes: platform.classes.len(), plans: platform.plans.len() };
    let mut covered_cells = BTreeSet::new();
    for shed in sheds {
        let classes = resolve_or_all(&shed.classes, platform.classes, PlanErrorKind::UnknownClass)?;
        let plans = resolve_or_all(&shed.plans, platform.plans, PlanErrorKind::UnknownPlan)?;
        let mut cells = Vec::new();
        for class in &classes {
            let of_class = plans.iter().map(|plan| shedding.cell(*class, *plan));
            cells.extend(of_class.filter(|cell| covered_cells.insert(*cell)));
        }
        if !cells.is_empty() {
            let floor = shed.floor.as_ref().map_or(0.0, |floor| floor.value.clamp(0.0, 1.0));
            shedding.tiers.push(SheddingTier { name: shed.name.value.clone(), cells, floor });
        }
    }
    Ok(shedding)
}

/// Returns the numbers of the declared names, or those of all names if none are declared.
fn resolve_or_all(
    declared: &Option<At<Vec<String>>>,
    all: &[String],
    unknown_name: fn(String) -> PlanErrorKind,
) -> Result<Vec<usize>, PlanError> {
    let Some(declared) = declared else { return Ok((0..all.len()).collect()) };
    let numbers = numbers_by_name(all);
    let resolve = |name: &String| {
        let number = numbers.get(name).map(|number| *number as usize);
        number.ok_or_else(|| unknown_name(name.clone()).at(&declared.origin))
    };
    declared.value.iter().map(resolve).collect()
}
