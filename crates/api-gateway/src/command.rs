//! The command line: subcommands, their arguments and help texts.
//!
//! The doc comments of subcommands and arguments are the help texts that the program prints.

use crate::config::Tool;
use crate::plan;
use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use std::ffi::OsString;
use std::path::PathBuf;

/// An API gateway that holds customers to shared quotas before a common back end.
///
/// Without a command it serves, with the configuration that ROUTER_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "api-gateway", version, after_help = EXIT_CODES)]
pub struct CommandLine {
    /// The subcommand; without one the program serves.
    #[command(subcommand)]
    pub command: Option<Command>,
}

const EXIT_CODES: &str = "\
Exit status: 0 done as asked; 1 could not start, or a configuration that cannot be used; 2 wrong usage.
Signals: SIGHUP reads the configuration again (addresses of discovery and the counter, and the operators' files);
SIGTERM answers all that was taken, then ends with 0.";

/// The subcommands of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve until SIGTERM
    Serve(Serve),
    /// Read a configuration, say what is wrong with it or what it means, and end
    Check {
        /// The configuration file
        config: PathBuf,
    },
    /// Check, format, compare and show operators' files: pools, routes, quota policies and sites
    #[command(subcommand)]
    Config(Tool),
    /// Show and try the operators' plan for the loss of a site
    #[command(subcommand)]
    Plan(plan::Tool),
    /// Print the script by which a shell completes the words of this program
    Completions {
        /// The shell
        shell: Shell,
    },
    /// Rehearse a whole site on this machine; hands over to `cluster-emulator` beside this program
    #[command(disable_help_flag = true)]
    Rehearse {
        /// Words for `cluster-emulator`
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
    /// The form of the log on standard error: lines for people, or a JSON object a line
    #[arg(long, value_enum, value_name = "FORMAT", default_value_t)]
    pub log_format: LogFormat,
}

/// The form of the log on standard error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Text,
    /// A JSON object a line.
    Json,
}

/// The files that a gateway reads.
#[derive(Args, Debug, Default)]
pub struct Files {
    /// The configuration file, in place of the one that ROUTER_CONFIG names
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The operators' file: pools, routes, quota policies and sites
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
}

#[cfg(test)]
mod tests;
