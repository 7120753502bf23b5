//! `config diff`: what differs between two file sets, in terms of what they mean.

use super::{print_json, rendered};
use crate::operators;
use crate::output::{complain, print};
use anyhow::{Context as _, Result};
use clap::Args;
use config_language::{diff, Diagnostic, FileSet, Severity};
use std::path::{Path, PathBuf};

/// The words of `config diff`.
#[derive(Args, Debug)]
#[command(after_help = EXIT_CODES)]
pub struct Words {
    /// The operators' file as it was
    old: PathBuf,
    /// The operators' file as it is to be
    new: PathBuf,
    /// Print a JSON list of changes
    #[arg(long)]
    json: bool,
    /// End with 1 where something differs
    #[arg(long)]
    exit_code: bool,
}

const EXIT_CODES: &str = "\
Nothing is printed where both mean the same (with --json an empty list).
Exit status: 0 compared, whatever differs; 1 a file has errors, or with --exit-code something differs;
2 wrong usage.";

/// Compares; whether all is well, as the exit status tells it.
///
/// # Errors
/// The result cannot be written.
pub fn run(words: &Words) -> Result<bool> {
    let (old, new) = (load(&words.old), load(&words.new));
    let (Some(old), Some(new)) = (old, new) else { return Ok(false) };
    let changes = diff(&old, &new);
    if words.json {
        print_json(&serde_json::to_value(&changes).context("cannot write the result")?)?;
    } else {
        print(&changes.iter().map(|change| format!("{}\n", change.text)).collect::<String>())?;
    }
    Ok(changes.is_empty() || !words.exit_code)
}

/// Reads a file set, and says what is wrong with it if it cannot be used. Warnings are for `config check`.
fn load(path: &Path) -> Option<FileSet> {
    let checked = operators::check(path, None);
    if checked.set.is_none() {
        let errors = checked.diagnostics.into_iter().filter(|d| d.severity == Severity::Error);
        complain(&rendered(&errors.collect::<Vec<Diagnostic>>()));
    }
    checked.set
}
