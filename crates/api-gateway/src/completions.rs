//! `completions`: scripts by which shells complete the words of this program.

use crate::command::CommandLine;
use anyhow::Result;
use clap::CommandFactory;
use clap_complete::Shell;

const PROGRAM: &str = "api-gateway";
/// Name of the program within the script for bash: clap_complete 4.6 writes the labels of subcommands in two different
/// ways where the name has a hyphen, so that none of them is found.
const BASH_LABEL: &str = "api_gateway";

/// Prints the script for a shell.
///
/// # Errors
/// It cannot be written.
pub fn print(shell: Shell) -> Result<()> {
    crate::output::print(&script(shell))
}

fn script(shell: Shell) -> String {
    if shell != Shell::Bash {
        return generate(shell, PROGRAM);
    }
    let script = generate(shell, BASH_LABEL);
    // The last word of a registration is the program's name, which has to be the real one.
    script.replace(&format!(" {BASH_LABEL}\n"), &format!(" {PROGRAM}\n"))
}

fn generate(shell: Shell, program: &str) -> String {
    // First into memory: the generator panics where it cannot write.
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut CommandLine::command(), program, &mut script);
    String::from_utf8_lossy(&script).into_owned()
}
