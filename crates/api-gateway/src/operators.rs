//! The operators' files, read against the platform's settings.

use crate::output::path_text;
use crate::plan;
use config_language::diagnostic::{Place, Spot};
use config_language::loader::Fs;
use config_language::model::{Operators, Origin};
use config_language::{Diagnostic, FileSet, Platform, PlatformPlan, Severity};
use gateway::PlatformSettings;
use routing::{
    effective_quotas, EffectiveQuota, GrantedQuota, PlatformNames, RoutingError, RoutingErrorKind,
    RoutingTable,
};
use std::path::Path;

/// What the platform's settings say, as far as checks of the operators' files need it.
pub fn platform(site: &PlatformSettings) -> Platform {
    let plans = site.plan_names.iter().zip(&site.settings.plans);
    Platform {
        classes: site.class_names.clone(),
        worths: site.settings.classes.iter().map(|class| class.priority_weight).collect(),
        plans: plans
            .map(|(name, plan)| PlatformPlan {
                name: name.clone(),
                rate: plan.rate,
                burst: plan.burst,
                open: plan.max_concurrent,
                worth: plan.weight_factor,
            })
            .collect(),
        zones: site.zone_names.clone(),
        machines: site.machine_types.clone(),
        gateways: site.settings.gateways,
        units_top: site.max_request_units,
    }
}

/// The names that routes and pools speak of.
pub fn facts(site: &PlatformSettings) -> PlatformNames<'_> {
    PlatformNames {
        classes: &site.class_names,
        plans: &site.plan_names,
        zones: &site.zone_names,
        machine_types: &site.machine_types,
    }
}

/// What is in force for each plan, in the platform's order.
///
/// # Errors
/// As [`effective_quotas`].
pub fn quotas(operators: &Operators, site: &PlatformSettings) -> Result<Vec<EffectiveQuota>, RoutingError> {
    let plans = site.plan_names.iter().zip(&site.settings.plans);
    let granted: Vec<GrantedQuota> = plans
        .map(|(name, plan)| GrantedQuota {
            plan: name,
            rate: plan.rate,
            burst: plan.burst,
            max_concurrent: plan.max_concurrent,
        })
        .collect();
    effective_quotas(operators, &granted)
}

/// Why a file set cannot be used: its first error in one line, with file, line, column and reason, and how many
/// more there are.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Unusable(String);

/// Reads and checks a file and all that it includes; with a site, also as a gateway of that site would put it in
/// force.
///
/// # Errors
/// The first error, and how many more there are. Warnings are none.
pub fn load(path: &Path, site: Option<&PlatformSettings>) -> Result<FileSet, Unusable> {
    let Checked { set, diagnostics } = check(path, site);
    set.ok_or_else(|| unusable(path, &diagnostics))
}

fn unusable(path: &Path, diagnostics: &[Diagnostic]) -> Unusable {
    let errors: Vec<&Diagnostic> = diagnostics.iter().filter(|d| d.severity == Severity::Error).collect();
    let Some(first) = errors.first() else {
        return Unusable(format!("{}: cannot be used", path_text(path)));
    };
    // The last of very many only counts the rest, warnings among them.
    let (counted, least) = match errors.iter().any(|error| error.code == MORE) {
        true => (errors.len() - 1, "at least "),
        false => (errors.len(), ""),
    };
    Unusable(match counted {
        0 | 1 => first.one_line(),
        _ => format!("{} (and {least}{} more)", first.one_line(), counted - 1),
    })
}

/// The word of the message that counts those which are not shown.
const MORE: &str = "more";

/// What came of reading a file set.
#[derive(Clone, Debug)]
pub struct Checked {
    /// The file set, if it has no errors.
    pub set: Option<FileSet>,
    /// Errors and warnings, in the order of files and lines; last what only putting it in force tells.
    pub diagnostics: Vec<Diagnostic>,
}

/// Reads and checks a file and all that it includes, as [`load`], and keeps all that there is to say.
pub fn check(path: &Path, site: Option<&PlatformSettings>) -> Checked {
    let loaded = config_language::load(path, &Fs, site.map(platform).as_ref());
    let mut diagnostics = loaded.diagnostics;
    let Some((set, site)) = loaded.set.as_ref().zip(site) else {
        return Checked { set: loaded.set, diagnostics };
    };
    let refused = refused(&set.operators, site);
    diagnostics.extend(refused.iter().map(diagnostic));
    match plan::compile(&set.operators, site) {
        Ok(plan) => diagnostics.extend(plan::warnings(&set.operators, &plan)),
        Err(error) => {
            diagnostics.push(Diagnostic::error("plan", &place(&error.origin), error.kind.to_string()));
        }
    }
    let is_clean = diagnostics.iter().all(|diagnostic| diagnostic.severity != Severity::Error);
    Checked { set: is_clean.then(|| set.clone()), diagnostics }
}

/// Why a gateway could not put it in force: bounds of its tables, and quotas that need more than a figure.
fn refused(operators: &Operators, site: &PlatformSettings) -> Vec<RoutingError> {
    let routes = RoutingTable::compile(operators, &facts(site)).err();
    routes.into_iter().chain(quotas(operators, site).err()).collect()
}

fn diagnostic(error: &RoutingError) -> Diagnostic {
    Diagnostic::error(word(&error.kind), &place(&error.origin), error.kind.to_string())
}

/// Where a message stands.
pub fn place(origin: &Origin) -> Place {
    let spot = Spot { line: origin.line, column: origin.column, length: 1 };
    Place { file: origin.file.clone(), spot }
}

/// The word of the message, for scripts. Most of these problems were found by the checker, under the same word.
fn word(problem: &RoutingErrorKind) -> &'static str {
    match problem {
        RoutingErrorKind::UnknownClass(_)
        | RoutingErrorKind::UnknownPlan(_)
        | RoutingErrorKind::UnknownZone(_)
        | RoutingErrorKind::UnknownMachineType(_)
        | RoutingErrorKind::UnknownPool(_) => "unknown",
        RoutingErrorKind::DuplicatePool(_) | RoutingErrorKind::DuplicateRoute(_) => "twice",
        RoutingErrorKind::InvalidLimit { .. } => "bounds",
        RoutingErrorKind::TooManyPools(_)
        | RoutingErrorKind::TooManySitePools { .. }
        | RoutingErrorKind::TooManyRoutes(_)
        | RoutingErrorKind::TooManyRanges(_) => "too-many",
        RoutingErrorKind::NoFreePoolBit(_) => "no-place",
        RoutingErrorKind::RateWithoutBurst(_) | RoutingErrorKind::BurstWithoutRate(_) => "half-quota",
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use gateway::Config;

    const EXAMPLE: &[u8] = include_bytes!("../../../deploy/example.json");

    fn site() -> PlatformSettings {
        Config::parse(EXAMPLE).unwrap().platform
    }

    /// A file of a test's own, which goes with the folder.
    fn file(text: &str) -> (tempfile::TempDir, std::path::PathBuf) {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("site.fb");
        std::fs::write(&path, text).unwrap();
        (folder, path)
    }

    fn policy(rate: &str) -> String {
        format!("quota policy \"night\" {{\n  plan = \"premium\"\n  rate = {rate}\n}}\n")
    }

    #[test]
    fn the_platform_is_what_the_settings_say() {
        let platform = platform(&site());
        assert_eq!(platform.classes, ["price-read", "unit-order"]);
        assert_eq!(platform.worths, [2.0, 8.0]);
        assert_eq!(platform.zones, ["building-1", "building-2", "building-3"]);
        assert_eq!(platform.machines, ["std-2core"]);
        assert_eq!((platform.gateways, platform.units_top), (3, 6.0));
        let standard = PlatformPlan { name: "standard".into(), rate: 4.0, burst: 20.0, open: 2, worth: 1.0 };
        let premium = PlatformPlan { name: "premium".into(), rate: 30.0, burst: 60.0, open: 0, worth: 1.5 };
        assert_eq!(platform.plans, [standard, premium]);
    }

    #[test]
    fn a_file_set_is_held_against_the_site() {
        let (_folder, path) = file(&policy("40 units/s"));
        assert_eq!(load(&path, None).unwrap().operators.policies.len(), 1);
        let line = load(&path, Some(&site())).unwrap_err().to_string();
        let reason = "`rate` is 40 units/s, and the platform grants plan \"premium\" no more than 30 units/s";
        assert_eq!(line, format!("{}:3:10: error: {reason}", path.display()));
    }

    #[test]
    fn what_only_a_gateway_finds_is_an_error_too() {
        let mut site = site();
        let premium = &mut site.settings.plans[1];
        premium.rate = 0.0;
        premium.burst = 0.0;
        let (_folder, path) = file(&policy("20 units/s"));
        let line = load(&path, Some(&site)).unwrap_err().to_string();
        let reason = "the platform sets no quota for plan `premium`: a rate needs a burst beside it";
        assert_eq!(line, format!("{}:3:10: error: {reason}", path.display()));
        let found = check(&path, Some(&site)).diagnostics;
        assert_eq!(found.iter().map(|d| d.code).collect::<Vec<_>>(), ["half-quota"]);
    }

    #[test]
    fn one_line_tells_the_first_error_and_how_many_there_are() {
        let (_folder, path) = file(&policy("20\n  bursts = 9"));
        let line = load(&path, None).unwrap_err().to_string();
        let at = path.display();
        assert!(line.starts_with(&format!("{at}:3:10: error: `rate` needs a unit")), "{line}");
        assert!(line.ends_with(" (and 1 more)") && !line.contains('\n'), "{line}");
        // Messages beyond the first hundred are only counted, errors and warnings alike.
        let (_folder, path) = file(&"pool 7 {}\n".repeat(150));
        let line = load(&path, None).unwrap_err().to_string();
        assert!(line.ends_with(" (and at least 99 more)"), "{line}");
    }
}
