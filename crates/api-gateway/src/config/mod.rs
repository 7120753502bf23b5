//! The tools for the operators' files. Results go to standard output, messages to standard error.

mod check;
mod diff;
mod fmt;
mod replace;
mod show;

use anyhow::{Context as _, Result};
use clap::Subcommand;
use config_language::Diagnostic;
use gateway::PlatformSettings;
use std::path::Path;
use std::process::ExitCode;

/// What to do with operators' files.
#[derive(Debug, Subcommand)]
pub enum Tool {
    /// Say all that is wrong with a file and those that it includes
    Check(check::Words),
    /// Write files in the one way in which all are written; comments stay
    Fmt(fmt::Words),
    /// Say what differs between two files and those that they include, in terms of blocks
    Diff(diff::Words),
    /// Print what is in force after includes, names and defaults, and where each value comes from
    Show(show::Words),
}

/// Carries it out.
///
/// # Errors
/// What keeps the tool itself from its work. What it finds in the files, it says, and the status tells.
pub fn run(tool: Tool) -> Result<ExitCode> {
    let is_clean = match tool {
        Tool::Check(words) => check::run(&words),
        Tool::Fmt(words) => fmt::run(&words),
        Tool::Diff(words) => diff::run(&words),
        Tool::Show(words) => show::run(&words),
    }?;
    Ok(if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// The platform's settings out of its configuration document, if one is named.
///
/// # Errors
/// The document cannot be used.
pub fn site(settings: Option<&Path>) -> Result<Option<PlatformSettings>> {
    settings.map(|path| Ok(crate::source::document(path)?.platform)).transpose()
}

/// All messages, each with its line shown.
pub fn rendered(diagnostics: &[Diagnostic]) -> String {
    diagnostics.iter().map(Diagnostic::rendered).collect::<Vec<_>>().join("\n")
}

/// Writes JSON with its line end.
///
/// # Errors
/// It cannot be written.
pub fn print_json(value: &serde_json::Value) -> Result<()> {
    let text = serde_json::to_string_pretty(value).context("cannot write the result")?;
    crate::output::print(&format!("{text}\n"))
}

/// "1 pool", "2 pools".
fn counted(count: usize, one: &str, many: &str) -> String {
    format!("{count} {}", if count == 1 { one } else { many })
}
