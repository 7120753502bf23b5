//! `config`: the tools for the operators' files. Results go to standard output, messages to standard error.
//!
//! Each tool has a file: its arguments, and a function `run` that returns whether the exit status is 0. `replace.rs`
//! rewrites a file atomically.

mod check;
mod diff;
mod format;
mod replace;
mod show;

use anyhow::Result;
use clap::Subcommand;
use std::process::ExitCode;

/// The subcommands of `config`.
#[derive(Debug, Subcommand)]
pub enum Tool {
    /// Print all errors and warnings of a file and of those that it includes
    Check(check::Arguments),
    /// Rewrite files in the standard format; comments stay
    Fmt(format::Arguments),
    /// Print the differences between two files, with those that they include, in terms of blocks
    Diff(diff::Arguments),
    /// Print the values in force after includes, names and defaults, and the source of each
    Show(show::Arguments),
}

/// Runs a tool, and returns the exit status. Errors in the operators' files are printed, and make it a failure.
///
/// # Errors
/// The tool itself cannot work, for instance because a result cannot be written.
pub fn run(tool: Tool) -> Result<ExitCode> {
    let is_success = match tool {
        Tool::Check(arguments) => check::run(&arguments),
        Tool::Fmt(arguments) => format::run(&arguments),
        Tool::Diff(arguments) => diff::run(&arguments),
        Tool::Show(arguments) => show::run(&arguments),
    }?;
    Ok(if is_success { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
