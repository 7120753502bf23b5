//! Starts `cluster-emulator`, a separate program, so that no part of the emulator is linked into the gateway.

use anyhow::{Context as _, Result};
use std::convert::Infallible;
use std::ffi::OsString;
use std::os::unix::process::CommandExt;
use std::process::Command;

/// Name of the emulator's program, which lies in the same folder as this one.
const PROGRAM: &str = "cluster-emulator";

/// Replaces this process by the emulator with these arguments.
///
/// # Errors
/// Returns only if the emulator's program cannot be started.
pub fn exec(arguments: Vec<OsString>) -> Result<Infallible> {
    let program = std::env::current_exe()?.with_file_name(PROGRAM);
    let error = Command::new(&program).args(arguments).exec();
    let hint = format!("build it with: cargo build --release -p {PROGRAM}");
    Err(error).with_context(|| format!("cannot start {} ({hint})", program.display()))
}
