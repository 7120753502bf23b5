//! The command line: subcommands, their arguments and help texts.
//!
//! The doc comments of subcommands and arguments are the help texts that the program prints.

use crate::config::Tool;
use crate::plan;
use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use std::ffi::OsString;
use std::path::PathBuf;

/// An API gateway that enforces shared customer quotas in front of a common back end.
///
/// Without a subcommand it serves, with the configuration file that ROUTER_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "api-gateway", version, after_help = EXIT_CODES)]
pub struct CommandLine {
    /// The subcommand; without one the program serves.
    #[command(subcommand)]
    pub command: Option<Command>,
}

const EXIT_CODES: &str = "\
Exit status: 0 success; 1 the program could not start, or a configuration cannot be used; 2 wrong usage.
Signals: SIGHUP reloads the configuration (addresses of discovery and the counter, and the operators' files);
SIGTERM answers all accepted requests, then exits with 0.";

/// The subcommands of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve until SIGTERM
    Serve(Serve),
    /// Check a configuration, and print its errors or a summary of it
    Check {
        /// The configuration file
        config: PathBuf,
    },
    /// Check, format, compare and show operators' files: pools, routes, quota policies and sites
    #[command(subcommand)]
    Config(Tool),
    /// Show and simulate the operators' plan for the loss of a site
    #[command(subcommand)]
    Plan(plan::Tool),
    /// Print a completion script for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
    /// Emulate a complete site on this machine; runs `cluster-emulator` from the folder of this program
    #[command(disable_help_flag = true)]
    Rehearse {
        /// Arguments for `cluster-emulator`
        #[arg(id = "words", value_name = "WORDS", trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<OsString>,
    },
}

/// The arguments of `serve`.
#[derive(Args, Debug, Default)]
pub struct Serve {
    /// The files that the gateway reads.
    #[command(flatten)]
    pub files: Files,
    /// Format of the log on standard error: lines of text, or one JSON object per line
    #[arg(long, value_enum, value_name = "FORMAT", default_value_t)]
    pub log_format: LogFormat,
}

/// The format of the log on standard error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Lines of text for people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The files that a gateway reads.
#[derive(Args, Debug, Default)]
pub struct Files {
    /// The configuration file; overrides the one that ROUTER_CONFIG names
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The operators' file: pools, routes, quota policies and sites
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
}

#[cfg(test)]
mod tests;
