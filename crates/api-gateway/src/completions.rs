//! `completions`: scripts by which shells complete the words of this program.

use crate::command::CommandLine;
use anyhow::Result;
use clap::CommandFactory;
use clap_complete::Shell;

/// Prints the script for a shell.
///
/// # Errors
/// It cannot be written.
pub fn print(shell: Shell) -> Result<()> {
    // First into memory: the generator panics where it cannot write.
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut CommandLine::command(), "api-gateway", &mut script);
    crate::output::print(&String::from_utf8_lossy(&script))
}
