//! `config diff`: compares two file sets by the blocks that they define.

use crate::operators;
use crate::output::{print, print_diagnostics, print_json};
use anyhow::{Context as _, Result};
use clap::Args;
use config_language::{diff, Diagnostic, FileSet, Severity};
use std::path::{Path, PathBuf};

/// The arguments of `config diff`.
#[derive(Args, Debug)]
#[command(after_help = EXIT_CODES)]
pub struct Arguments {
    /// The old operators' file
    old: PathBuf,
    /// The new operators' file
    new: PathBuf,
    /// Print a JSON list of changes
    #[arg(long)]
    json: bool,
    /// Exit with 1 if anything differs
    #[arg(long)]
    exit_code: bool,
}

const EXIT_CODES: &str = "\
Nothing is printed if both files mean the same (with --json an empty list).
Exit status: 0 compared, whatever differs; 1 a file has errors, or with --exit-code something differs;
2 wrong usage.";

/// Prints the changes between two file sets, and returns whether the exit status is 0.
///
/// # Errors
/// Standard output cannot be written.
pub fn run(arguments: &Arguments) -> Result<bool> {
    // Both are read before the first failure returns, so that the errors of both are printed.
    let old = load(&arguments.old);
    let new = load(&arguments.new);
    let Some((old, new)) = old.zip(new) else { return Ok(false) };
    let changes = diff(&old, &new);
    if arguments.json {
        print_json(&serde_json::to_value(&changes).context("cannot write the result")?)?;
    } else {
        let lines: String = changes.iter().map(|change| format!("{}\n", change.text)).collect();
        print(&lines)?;
    }
    Ok(changes.is_empty() || !arguments.exit_code)
}

/// Reads a file set, and prints its errors if it has any. Warnings are left to `config check`.
fn load(path: &Path) -> Option<FileSet> {
    let checked = operators::check(path, None);
    if checked.set.is_none() {
        let is_error = |diagnostic: &Diagnostic| diagnostic.severity == Severity::Error;
        let errors: Vec<Diagnostic> = checked.diagnostics.into_iter().filter(is_error).collect();
        print_diagnostics(&errors);
    }
    checked.set
}
