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
    /// Say all that is wrong with a file and those that it includes
    Check(check::Arguments),
    /// Write files in the one way in which all are written; comments stay
    Fmt(format::Arguments),
    /// Say what differs between two files and those that they include, in terms of blocks
    Diff(diff::Arguments),
    /// Print what is in force after includes, names and defaults, and where each value comes from
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
