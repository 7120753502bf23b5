//! `plan`: the tools for the operators' plan for the loss of a site.
//!
//! `show.rs` runs `plan show`: it computes the outcome of each loss and passes a `LossReport` (`loss_report.rs`) to
//! `text.rs`, which lays it out in the columns of `table.rs`, or to `json.rs`. `traffic_mix.rs` parses `--mix`.

mod json;
mod loss_report;
mod show;
mod table;
mod text;
mod traffic_mix;

use crate::emulator;
use anyhow::Result;
use clap::Subcommand;
use std::ffi::OsString;
use std::process::ExitCode;

/// The subcommands of `plan`.
#[derive(Debug, Subcommand)]
pub enum Tool {
    /// Print whether the fleet carries the loss of each site and of each two, and how much of which load is shed
    Show(show::Arguments),
    /// Simulate the loss of each site in virtual time; runs `cluster-emulator plan` from the folder of this program
    #[command(disable_help_flag = true)]
    Try {
        /// The operators' file and further arguments for `cluster-emulator plan`
        #[arg(id = "words", value_name = "WORDS", trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<OsString>,
    },
}

/// Runs a tool, and returns the exit status. Errors in the operators' files are printed, and make it a failure.
///
/// # Errors
/// The tool itself cannot work, for instance because a result cannot be written.
pub fn run(tool: Tool) -> Result<ExitCode> {
    match tool {
        Tool::Show(arguments) => {
            Ok(if show::run(&arguments)? { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Tool::Try { arguments } => {
            let emulator_arguments = std::iter::once("plan".into()).chain(arguments).collect();
            match emulator::exec(emulator_arguments)? {}
        }
    }
}
