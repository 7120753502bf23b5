//! `config check`: prints all errors and warnings of a file set, and big changes against the version in force.

use crate::operators;
use crate::operators::platform::language_platform;
use crate::output::{path_text, print, print_diagnostics, print_error, print_json};
use crate::source::read_platform;
use anyhow::{Context as _, Result};
use clap::Args;
use config_language::{big_changes, Diagnostic, FileSet, Severity};
use gateway::PlatformSettings;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};

/// The arguments of `config check`.
#[derive(Args, Debug)]
#[command(after_help = EXIT_CODES)]
pub struct Arguments {
    /// The operators' file
    file: PathBuf,
    /// The platform's configuration, as gateways read it: names and quotas are checked against its settings
    #[arg(long, value_name = "CONFIG_JSON")]
    settings: Option<PathBuf>,
    /// The operators' file in force: changes of a figure by a factor of ten or more are rejected
    #[arg(long, value_name = "OLD_FILE")]
    against: Option<PathBuf>,
    /// Accept big changes, which are intended
    #[arg(long, requires = "against")]
    accept: bool,
    /// Print one JSON object instead of messages and a summary
    #[arg(long)]
    json: bool,
}

const EXIT_CODES: &str = "\
Exit status: 0 the file can be used, perhaps with warnings; 1 it has errors, or big changes without --accept;
2 wrong usage.";

/// Whether the checked file can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// It can, perhaps with warnings.
    Usable,
    /// It has no errors, but this number of big changes, which an operator has to accept.
    BigChanges(usize),
    /// It has errors.
    Unusable,
}

/// Result of a check.
struct CheckResult {
    /// The file set, if it has no errors.
    set: Option<FileSet>,
    /// Errors, warnings and big changes.
    diagnostics: Vec<Diagnostic>,
    verdict: Verdict,
}

/// Prints the result of a check, and returns whether the file can be used.
///
/// # Errors
/// The platform's configuration or the file in force cannot be used, or standard output not be written.
pub fn run(arguments: &Arguments) -> Result<bool> {
    let result = check(arguments)?;
    if arguments.json {
        print_json(&json_document(arguments, &result))?;
    } else {
        print_text(arguments, &result)?;
    }
    Ok(result.verdict == Verdict::Usable)
}

fn check(arguments: &Arguments) -> Result<CheckResult> {
    let platform = arguments.settings.as_deref().map(read_platform).transpose()?;
    let in_force = arguments.against.as_deref().map(load_in_force).transpose()?;
    let checked = operators::check(&arguments.file, platform.as_ref());
    let changes = match (&in_force, &checked.set) {
        (Some(in_force), Some(set)) => find_big_changes(in_force, set, platform.as_ref()),
        _ => Vec::new(),
    };
    let verdict = match checked.set {
        None => Verdict::Unusable,
        Some(_) if changes.is_empty() || arguments.accept => Verdict::Usable,
        Some(_) => Verdict::BigChanges(changes.len()),
    };
    let mut diagnostics = checked.diagnostics;
    diagnostics.extend(changes);
    Ok(CheckResult { set: checked.set, diagnostics, verdict })
}

/// Loads the file in force. It is not checked against the platform, which may no longer have the names in it.
fn load_in_force(path: &Path) -> Result<FileSet> {
    operators::load(path, None).with_context(|| format!("cannot compare with {}", path_text(path)))
}

fn find_big_changes(old: &FileSet, new: &FileSet, platform: Option<&PlatformSettings>) -> Vec<Diagnostic> {
    big_changes(old, new, platform.map(language_platform).as_ref())
}

/// Prints the diagnostics and a summary. The summary is a result if the file can be used, otherwise one more message.
fn print_text(arguments: &Arguments, result: &CheckResult) -> Result<()> {
    print_diagnostics(&result.diagnostics);
    let line = format!("{}: {}\n", path_text(&arguments.file), summary(arguments, result));
    if result.verdict == Verdict::Usable {
        return print(&line);
    }
    print_error(&line);
    Ok(())
}

fn summary(arguments: &Arguments, result: &CheckResult) -> String {
    let (errors, warnings) = count_severities(&result.diagnostics);
    let mut parts = match result.verdict {
        Verdict::Usable => result.set.as_ref().map(block_counts).unwrap_or_default(),
        Verdict::BigChanges(count) => {
            vec![format!("{}, which --accept lets through", counted(count, "big change", "big changes"))]
        }
        Verdict::Unusable => vec![counted(errors, "error", "errors")],
    };
    if warnings > 0 {
        parts.push(counted(warnings, "warning", "warnings"));
    }
    if arguments.settings.is_none() {
        parts.push("not held against the platform's settings".into());
    }
    let verdict = match result.verdict {
        Verdict::Usable => "can be used",
        Verdict::BigChanges(_) => "is not accepted",
        Verdict::Unusable => "cannot be used",
    };
    format!("{verdict}: {}", parts.join(", "))
}

/// Returns the number of files and of each kind of block. The blocks of a failover plan are left out if there are none.
fn block_counts(set: &FileSet) -> Vec<String> {
    let operators = &set.operators;
    let failover_blocks = [
        (operators.sites.len(), "site", "sites"),
        (operators.takeovers.len(), "takeover", "takeovers"),
        (operators.sheds.len(), "shed", "sheds"),
    ];
    let mut parts = vec![
        counted(set.files.len(), "file", "files"),
        counted(operators.pools.len(), "pool", "pools"),
        counted(operators.routes.len(), "route", "routes"),
        counted(operators.policies.len(), "quota policy", "quota policies"),
    ];
    for (count, singular, plural) in failover_blocks {
        if count > 0 {
            parts.push(counted(count, singular, plural));
        }
    }
    parts
}

/// Returns a count with its noun in the singular or plural: "1 pool", "2 pools".
fn counted(count: usize, singular: &str, plural: &str) -> String {
    let noun = if count == 1 { singular } else { plural };
    format!("{count} {noun}")
}

/// Returns the number of errors and of warnings.
fn count_severities(diagnostics: &[Diagnostic]) -> (usize, usize) {
    let errors = diagnostics.iter().filter(|diagnostic| diagnostic.severity == Severity::Error).count();
    (errors, diagnostics.len() - errors)
}

fn json_document(arguments: &Arguments, result: &CheckResult) -> Value {
    let (errors, warnings) = count_severities(&result.diagnostics);
    let paths = |set: &FileSet| set.files.iter().map(|file| path_text(file)).collect::<Vec<_>>();
    json!({
        "file": path_text(&arguments.file),
        "verdict": match result.verdict {
            Verdict::Usable => "usable",
            Verdict::BigChanges(_) => "big-changes",
            Verdict::Unusable => "unusable",
        },
        "errors": errors,
        "warnings": warnings,
        "files": result.set.as_ref().map(paths),
        "settings": arguments.settings.is_some(),
        "diagnostics": result.diagnostics.iter().map(json_diagnostic).collect::<Vec<_>>(),
    })
}

fn json_diagnostic(diagnostic: &Diagnostic) -> Value {
    let spot = diagnostic.place.spot;
    json!({
        "severity": diagnostic.severity.word(),
        "code": diagnostic.code,
        "file": &*diagnostic.place.file,
        "line": spot.line,
        "column": spot.column,
        "length": spot.length,
        "reason": diagnostic.reason,
        "help": diagnostic.help,
    })
}
