//! The program `api-gateway`: one gateway on sockets, and tools for the files of its operators.
//!
//! # Modules in the order of execution
//!
//! 1. `command.rs` defines the command line; `main` passes each subcommand to its module.
//! 2. `serve.rs` runs a gateway: it installs the signal handlers (`signals.rs`), reads the configuration
//!    (`source.rs`), raises the limit of descriptors (`descriptors.rs`), starts the clock (`clock.rs`), and passes
//!    all of it to the library `gateway`.
//! 3. `check.rs` explains a configuration, and `completions.rs` prints completion scripts for shells.
//! 4. `config/` holds the tools for the operators' files, `plan/` those for the plan for the loss of a site. Both read the
//!    files through `operators/`, as a gateway does at its start and at each reload.
//! 5. `emulator.rs` starts `cluster-emulator`, a separate program.
//!
//! `output.rs` writes to standard output and standard error, and `loss_summary.rs` formats the results of capacity
//! checks as text.

#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::fn_params_excessive_bools))]

mod check;
mod clock;
mod command;
mod completions;
mod config;
mod descriptors;
mod emulator;
mod loss_summary;
mod operators;
mod output;
mod plan;
mod serve;
mod signals;
mod source;

use anyhow::Result;
use clap::Parser;
use command::{Command, CommandLine, Serve};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(CommandLine::parse()) {
        Ok(status) => status,
        Err(error) => {
            output::print_error(&format!("api-gateway: {error:#}\n"));
            ExitCode::FAILURE
        }
    }
}

fn run(command_line: CommandLine) -> Result<ExitCode> {
    match command_line.command {
        None => serve::run(Serve::default())?,
        Some(Command::Serve(arguments)) => serve::run(arguments)?,
        Some(Command::Check { config }) => check::run(&config)?,
        Some(Command::Rehearse { arguments }) => match emulator::exec(arguments)? {},
        Some(Command::Completions { shell }) => completions::print(shell)?,
        Some(Command::Config(tool)) => return config::run(tool),
        Some(Command::Plan(tool)) => return plan::run(tool),
    }
    Ok(ExitCode::SUCCESS)
}
