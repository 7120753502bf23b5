//! `config check`: all that is wrong with a file set, and with a change against the version that runs.

use super::{counted, print_json, rendered, site};
use crate::operators::{self, Checked};
use crate::output::{complain, path_text, print};
use anyhow::{Context as _, Result};
use clap::Args;
use config_language::{big_changes, Diagnostic, FileSet, Severity};
use serde_json::{json, Value};
use std::path::PathBuf;

/// The words of `config check`.
#[derive(Args, Debug)]
#[command(after_help = EXIT_CODES)]
pub struct Words {
    /// The operators' file
    file: PathBuf,
    /// The platform's configuration, as gateways get it: names and quotas are held against its settings
    #[arg(long, value_name = "CONFIG_JSON")]
    settings: Option<PathBuf>,
    /// The operators' file that runs now: figures that go up or down ten times or more are not let through
    #[arg(long, value_name = "OLD_FILE")]
    against: Option<PathBuf>,
    /// Let big changes through: they are meant
    #[arg(long, requires = "against")]
    accept: bool,
    /// Print one JSON object instead of messages and a summary
    #[arg(long)]
    json: bool,
}

const EXIT_CODES: &str = "\
Exit status: 0 the file can be used, perhaps with warnings; 1 it has errors, or big changes without --accept;
2 wrong usage.";

/// What a check came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Usable,
    /// Figures changed by so much that someone has to say it is meant.
    BigChanges(usize),
    Unusable,
}

/// Checks; whether the file can be used.
///
/// # Errors
/// The platform's configuration, or the file that runs, cannot be used.
pub fn run(words: &Words) -> Result<bool> {
    let site = site(words.settings.as_deref())?;
    // Without the platform: what runs may name what the platform no longer has.
    let old = words.against.as_ref().map(|path| {
        operators::load(path, None).with_context(|| format!("cannot compare with {}", path_text(path)))
    });
    let old = old.transpose()?;
    let Checked { set, mut diagnostics } = operators::check(&words.file, site.as_ref());
    let platform = site.as_ref().map(operators::platform);
    let big = match (&old, &set) {
        (Some(old), Some(set)) => big_changes(old, set, platform.as_ref()),
        _ => Vec::new(),
    };
    let verdict = match (&set, big.len()) {
        (None, _) => Verdict::Unusable,
        (Some(_), 1..) if !words.accept => Verdict::BigChanges(big.len()),
        _ => Verdict::Usable,
    };
    diagnostics.extend(big);
    if words.json {
        print_json(&document(words, set.as_ref(), &diagnostics, verdict))?;
    } else {
        say(words, set.as_ref(), &diagnostics, verdict)?;
    }
    Ok(verdict == Verdict::Usable)
}

/// Messages and the summary. The latter is a result where the file can be used, and else one more message.
fn say(words: &Words, set: Option<&FileSet>, diagnostics: &[Diagnostic], verdict: Verdict) -> Result<()> {
    complain(&rendered(diagnostics));
    let line = format!("{}: {}\n", path_text(&words.file), summary(words, set, diagnostics, verdict));
    if verdict == Verdict::Usable {
        return print(&line);
    }
    complain(&line);
    Ok(())
}

fn summary(words: &Words, set: Option<&FileSet>, diagnostics: &[Diagnostic], verdict: Verdict) -> String {
    let (errors, warnings) = severities(diagnostics);
    let mut parts = match verdict {
        Verdict::Usable => set.map(contents).unwrap_or_default(),
        Verdict::BigChanges(count) => {
            vec![format!("{}, which --accept lets through", counted(count, "big change", "big changes"))]
        }
        Verdict::Unusable => vec![counted(errors, "error", "errors")],
    };
    if warnings > 0 {
        parts.push(counted(warnings, "warning", "warnings"));
    }
    if words.settings.is_none() {
        parts.push("not held against the platform's settings".into());
    }
    let begin = match verdict {
        Verdict::Usable => "can be used",
        Verdict::BigChanges(_) => "is not accepted",
        Verdict::Unusable => "cannot be used",
    };
    format!("{begin}: {}", parts.join(", "))
}

fn contents(set: &FileSet) -> Vec<String> {
    let operators = &set.operators;
    let plan = [
        (operators.sites.len(), "site", "sites"),
        (operators.takeovers.len(), "takeover", "takeovers"),
        (operators.sheds.len(), "shed", "sheds"),
    ];
    let plan = plan.iter().filter(|(count, ..)| *count > 0);
    let mut parts = vec![
        counted(set.files.len(), "file", "files"),
        counted(operators.pools.len(), "pool", "pools"),
        counted(operators.routes.len(), "route", "routes"),
        counted(operators.policies.len(), "quota policy", "quota policies"),
    ];
    parts.extend(plan.map(|(count, one, many)| counted(*count, one, many)));
    parts
}

/// Errors and warnings.
fn severities(diagnostics: &[Diagnostic]) -> (usize, usize) {
    let errors = diagnostics.iter().filter(|diagnostic| diagnostic.severity == Severity::Error).count();
    (errors, diagnostics.len() - errors)
}

fn document(words: &Words, set: Option<&FileSet>, diagnostics: &[Diagnostic], verdict: Verdict) -> Value {
    let (errors, warnings) = severities(diagnostics);
    let files = set.map(|set| set.files.iter().map(|file| path_text(file)).collect::<Vec<_>>());
    json!({
        "file": path_text(&words.file),
        "verdict": match verdict {
            Verdict::Usable => "usable",
            Verdict::BigChanges(_) => "big-changes",
            Verdict::Unusable => "unusable",
        },
        "errors": errors,
        "warnings": warnings,
        "files": files,
        "settings": words.settings.is_some(),
        "diagnostics": diagnostics.iter().map(diagnostic).collect::<Vec<_>>(),
    })
}

fn diagnostic(diagnostic: &Diagnostic) -> Value {
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
