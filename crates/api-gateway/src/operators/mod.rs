//! Reads the operators' files and checks them against the platform's settings, as a gateway does before it puts them in
//! force.

mod diagnostics;
pub mod failover_plan;
pub mod platform;
#[cfg(test)]
mod tests;

use crate::output::path_text;
use config_language::loader::Fs;
use config_language::model::Operators;
use config_language::{Diagnostic, FileSet, Severity};
use diagnostics::{place, routing_diagnostic};
use gateway::PlatformSettings;
use platform::{language_platform, quotas, routing_names};
use routing::{RoutingError, RoutingTable};
use std::path::Path;

/// Code of the diagnostic that only counts the errors and warnings beyond those listed.
const OMITTED_CODE: &str = "more";

/// Reason why a file set cannot be used: its first error in one line, with file, line, column and reason, and the number
/// of further errors.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidFileSet(String);

/// Result of reading and checking a file set.
#[derive(Clone, Debug)]
pub struct CheckedFileSet {
    /// The file set, if it has no errors.
    pub set: Option<FileSet>,
    /// Errors and warnings, in the order of files and lines; those that only its use by a gateway reveals come last.
    pub diagnostics: Vec<Diagnostic>,
}

/// Reads and checks a file and all that it includes; with a platform, also as a gateway of that platform would put it in
/// force.
///
/// # Errors
/// The file set has errors. Warnings do not count.
pub fn load(path: &Path, platform: Option<&PlatformSettings>) -> Result<FileSet, InvalidFileSet> {
    let CheckedFileSet { set, diagnostics } = check(path, platform);
    set.ok_or_else(|| first_error(path, &diagnostics))
}

fn first_error(path: &Path, diagnostics: &[Diagnostic]) -> InvalidFileSet {
    let errors: Vec<&Diagnostic> = diagnostics.iter().filter(|d| d.severity == Severity::Error).collect();
    let Some(first) = errors.first() else {
        return InvalidFileSet(format!("{}: cannot be used", path_text(path)));
    };
    // A diagnostic for omitted ones counts warnings too, so it gives only a lower bound of the errors.
    let (count, prefix) = match errors.iter().any(|error| error.code == OMITTED_CODE) {
        true => (errors.len() - 1, "at least "),
        false => (errors.len(), ""),
    };
    InvalidFileSet(match count {
        0 | 1 => first.one_line(),
        _ => format!("{} (and {prefix}{} more)", first.one_line(), count - 1),
    })
}

/// Reads and checks a file and all that it includes, as [`load`], and returns all diagnostics.
pub fn check(path: &Path, platform: Option<&PlatformSettings>) -> CheckedFileSet {
    let loaded = config_language::load(path, &Fs, platform.map(language_platform).as_ref());
    let mut diagnostics = loaded.diagnostics;
    let Some((set, platform)) = loaded.set.as_ref().zip(platform) else {
        return CheckedFileSet { set: loaded.set, diagnostics };
    };
    let routing_errors = routing_errors(&set.operators, platform);
    diagnostics.extend(routing_errors.iter().map(routing_diagnostic));
    match failover_plan::compile(&set.operators, platform) {
        Ok(plan) => diagnostics.extend(failover_plan::warnings(&set.operators, &plan)),
        Err(error) => {
            diagnostics.push(Diagnostic::error("plan", &place(&error.origin), error.kind.to_string()));
        }
    }
    let is_valid = diagnostics.iter().all(|diagnostic| diagnostic.severity != Severity::Error);
    CheckedFileSet { set: is_valid.then(|| set.clone()), diagnostics }
}

/// Returns why a gateway cannot put the blocks in force: limits of its routing table, and incomplete quotas.
fn routing_errors(operators: &Operators, platform: &PlatformSettings) -> Vec<RoutingError> {
    let table_error = RoutingTable::compile(operators, &routing_names(platform)).err();
    let quota_error = quotas(operators, platform).err();
    table_error.into_iter().chain(quota_error).collect()
}
