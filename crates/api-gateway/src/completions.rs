//! `completions`: scripts for the completion of the program's command line in shells.

use crate::command::CommandLine;
use anyhow::Result;
use clap::CommandFactory;
use clap_complete::Shell;

const PROGRAM: &str = "api-gateway";
/// Name of the program while the script for bash is generated: clap_complete 4.6 writes the labels of subcommands in two
/// different forms if the name has a hyphen, so that bash finds none of them.
const BASH_LABEL: &str = "api_gateway";

/// Prints the script for a shell.
///
/// # Errors
/// Standard output cannot be written.
pub fn print(shell: Shell) -> Result<()> {
    crate::output::print(&script(shell))
}

fn script(shell: Shell) -> String {
    if shell != Shell::Bash {
        return generate(shell, PROGRAM);
    }
    let script = generate(shell, BASH_LABEL);
    // A registration ends with the name of the program, which has to be the real one.
    script.replace(&format!(" {BASH_LABEL}\n"), &format!(" {PROGRAM}\n"))
}

fn generate(shell: Shell, program: &str) -> String {
    // The generator panics if its writer fails, so it writes to memory.
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut CommandLine::command(), program, &mut script);
    String::from_utf8_lossy(&script).into_owned()
}
