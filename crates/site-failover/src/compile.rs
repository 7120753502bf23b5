//! From the operators' blocks to the plan: names become the numbers that the platform counts by.

use std::collections::BTreeMap;

use config_language::kinds::{MOST_SHEDS, MOST_SITES};
use config_language::model::{self, At, Operators, Origin};
use policy::api::Span;

use crate::plan::{FailoverPlan, FailoverTarget, OperatorOverride, SheddingTier, SheddingTiers, Site};

/// How long a return takes at the least where operators do not say, in nanoseconds.
pub const DEFAULT_RECOVERY_RAMP: Span = 30_000_000_000;

/// Names that the platform's settings give, each list by position as the gateway counts them.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformNames<'a> {
    /// Classes of requests.
    pub classes: &'a [String],
    /// Plans of customers.
    pub plans: &'a [String],
    /// Zones.
    pub zones: &'a [String],
}

/// Why a plan cannot be put in force, and the place that it comes from.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}:{}:{}: {kind}", .origin.file, .origin.line, .origin.column)]
pub struct PlanError {
    /// Where.
    pub origin: Origin,
    /// What.
    pub kind: PlanErrorKind,
}

/// What is wrong. The checker of the language finds all of it earlier, and says more.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanErrorKind {
    /// A site names a zone that the platform does not.
    #[error("the platform has no zone `{0}`")]
    UnknownZone(String),
    /// A shed names a class that the platform does not.
    #[error("the platform has no class `{0}`")]
    UnknownClass(String),
    /// A shed names a plan that the platform does not.
    #[error("the platform has no plan `{0}`")]
    UnknownPlan(String),
    /// A takeover names a site that no file does.
    #[error("there is no site `{0}`")]
    UnknownSite(String),
    /// A second site has the name.
    #[error("a second site has the name `{0}`")]
    DuplicateSite(String),
    /// A zone is in two sites.
    #[error("zone `{0}` is in two sites")]
    ZoneInTwoSites(String),
    /// More sites than a set has bits.
    #[error("site `{0}` is one too many: at most {MOST_SITES} sites")]
    TooManySites(String),
    /// More sheds than there may be.
    #[error("shed `{0}` is one too many: at most {MOST_SHEDS} sheds")]
    TooManySheds(String),
    /// Something else than `lost` or `whole` is told of a site.
    #[error("`told` is `{0}`, and has to be `lost` or `whole`")]
    InvalidOverride(String),
    /// A site takes over from itself.
    #[error("site `{0}` cannot take over from itself")]
    TakeoverFromItself(String),
    /// A site takes over from another one by two blocks.
    #[error("site `{0}` takes over twice from the same site")]
    DuplicateTarget(String),
    /// More than the whole is given away, or less than nothing.
    #[error("the shares of site `{0}` are not between nothing and the whole")]
    InvalidShares(String),
}

impl PlanErrorKind {
    fn at(self, origin: &Origin) -> PlanError {
        PlanError { origin: origin.clone(), kind: self }
    }
}

impl FailoverPlan {
    /// Resolves the names of the operators' blocks against the platform's.
    ///
    /// # Errors
    /// A name that is not known or not alone, shares over the whole, or too many sites or sheds.
    pub fn compile(operators: &Operators, facts: &PlatformNames) -> Result<FailoverPlan, PlanError> {
        let mut sites = sites(operators, facts)?;
        let numbers: BTreeMap<String, usize> =
            sites.iter().enumerate().map(|(number, site)| (site.name.clone(), number)).collect();
        for (number, site) in sites.iter_mut().enumerate() {
            site.failover_targets = takers(number, &operators.takeovers, &numbers)?;
        }
        // Whose lost site there is none never came up above.
        for takeover in &operators.takeovers {
            number_of(&numbers, &takeover.lost)?;
        }
        Ok(FailoverPlan { sites, shedding: ladder(&operators.sheds, facts)? })
    }
}

fn sites(operators: &Operators, facts: &PlatformNames) -> Result<Vec<Site>, PlanError> {
    let numbers = numbers(facts.zones);
    let (mut names, mut taken) = (BTreeMap::new(), BTreeMap::new());
    let mut sites = Vec::with_capacity(operators.sites.len());
    for site in &operators.sites {
        let At { value: name, origin } = &site.name;
        if names.insert(name, ()).is_some() {
            return Err(PlanErrorKind::DuplicateSite(name.clone()).at(origin));
        }
        if sites.len() == MOST_SITES {
            return Err(PlanErrorKind::TooManySites(name.clone()).at(origin));
        }
        let mut zones = Vec::new();
        for zone in &site.zones.value {
            let at = &site.zones.origin;
            let number = *numbers.get(zone).ok_or_else(|| PlanErrorKind::UnknownZone(zone.clone()).at(at))?;
            match taken.insert(number, sites.len()) {
                None => zones.push(number),
                // Twice in one list is no harm.
                Some(same) if same == sites.len() => {}
                Some(_) => return Err(PlanErrorKind::ZoneInTwoSites(zone.clone()).at(at)),
            }
        }
        sites.push(compiled(site, zones)?);
    }
    Ok(sites)
}

fn compiled(site: &model::Site, zones: Vec<u32>) -> Result<Site, PlanError> {
    let figure = |at: &Option<At<f64>>| at.as_ref().map(|at| at.value);
    Ok(Site {
        name: site.name.value.clone(),
        zones,
        capacity: figure(&site.capacity),
        load: figure(&site.load),
        headroom: figure(&site.headroom).unwrap_or(0.0),
        failover_targets: Vec::new(),
        recovery_ramp: site.ramp.as_ref().map_or(DEFAULT_RECOVERY_RAMP, |ramp| ramp.value),
        operator_override: site.told.as_ref().map(told).transpose()?,
    })
}

fn told(told: &At<String>) -> Result<OperatorOverride, PlanError> {
    match told.value.as_str() {
        "lost" => Ok(OperatorOverride::Lost),
        "whole" => Ok(OperatorOverride::Healthy),
        _ => Err(PlanErrorKind::InvalidOverride(told.value.clone()).at(&told.origin)),
    }
}

/// The numbers of names, of two alike the first.
fn numbers(names: &[String]) -> BTreeMap<&String, u32> {
    let mut numbers = BTreeMap::new();
    for (number, name) in (0..).zip(names) {
        numbers.entry(name).or_insert(number);
    }
    numbers
}

fn number_of(numbers: &BTreeMap<String, usize>, name: &At<String>) -> Result<usize, PlanError> {
    let number = numbers.get(&name.value).copied();
    number.ok_or_else(|| PlanErrorKind::UnknownSite(name.value.clone()).at(&name.origin))
}

/// Who takes over from a site. Those whose share is not said divide what is left evenly.
fn takers(
    lost: usize,
    takeovers: &[model::Takeover],
    numbers: &BTreeMap<String, usize>,
) -> Result<Vec<FailoverTarget>, PlanError> {
    let own = takeovers.iter().filter(|takeover| numbers.get(&takeover.lost.value) == Some(&lost));
    let said: f64 = own.clone().filter_map(|takeover| Some(takeover.share.as_ref()?.value)).sum();
    let open = own.clone().filter(|takeover| takeover.share.is_none()).count();
    let each = (1.0 - said).max(0.0) / open.max(1) as f64;
    let mut takers: Vec<FailoverTarget> = Vec::new();
    for takeover in own {
        let site = number_of(numbers, &takeover.by)?;
        let problem = |problem: fn(String) -> PlanErrorKind, name: &At<String>| {
            Err(problem(name.value.clone()).at(&takeover.by.origin))
        };
        let share = takeover.share.as_ref().map_or(each, |share| share.value);
        // What the language lets through adds up to the whole but for the last bit.
        if !(0.0..=1.0).contains(&share) || said > 1.0 + 1e-9 {
            return problem(PlanErrorKind::InvalidShares, &takeover.lost);
        }
        if site == lost {
            return problem(PlanErrorKind::TakeoverFromItself, &takeover.by);
        }
        if takers.iter().any(|taker| taker.site == site) {
            return problem(PlanErrorKind::DuplicateTarget, &takeover.by);
        }
        takers.push(FailoverTarget { site, fraction: share });
    }
    Ok(takers)
}

/// The rungs, in order. One that earlier ones leave nothing is left out.
fn ladder(sheds: &[model::Shed], facts: &PlatformNames) -> Result<SheddingTiers, PlanError> {
    if let Some(shed) = sheds.get(MOST_SHEDS) {
        return Err(PlanErrorKind::TooManySheds(shed.name.value.clone()).at(&shed.name.origin));
    }
    let (classes, plans) = (facts.classes.len(), facts.plans.len());
    let mut is_taken = vec![false; classes * plans];
    let mut rungs = Vec::new();
    for shed in sheds {
        let own_classes = some(&shed.classes, facts.classes, PlanErrorKind::UnknownClass)?;
        let own_plans = some(&shed.plans, facts.plans, PlanErrorKind::UnknownPlan)?;
        let cells =
            own_classes.iter().flat_map(|class| own_plans.iter().map(move |plan| class * plans + plan));
        let cells: Vec<usize> = cells.filter(|cell| !std::mem::replace(&mut is_taken[*cell], true)).collect();
        if !cells.is_empty() {
            let floor = shed.floor.as_ref().map_or(0.0, |floor| floor.value.clamp(0.0, 1.0));
            rungs.push(SheddingTier { name: shed.name.value.clone(), cells, floor });
        }
    }
    Ok(SheddingTiers { tiers: rungs, classes, plans })
}

/// The numbers of the names that are given, or of all.
fn some(
    given: &Option<At<Vec<String>>>,
    all: &[String],
    unknown: fn(String) -> PlanErrorKind,
) -> Result<Vec<usize>, PlanError> {
    let Some(given) = given else { return Ok((0..all.len()).collect()) };
    let numbers = numbers(all);
    let number = |name: &String| {
        let number = numbers.get(name).map(|number| *number as usize);
        number.ok_or_else(|| unknown(name.clone()).at(&given.origin))
    };
    given.value.iter().map(number).collect()
}
