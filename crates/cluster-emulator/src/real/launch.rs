//! Starts processes of gateways and of the counter that end with their parent, however it ends, and have limits.
//!
//! The emulator starts itself with internal arguments, sets its parent-death signal and resource limits, which survive
//! `exec`, and executes the gateway program. A signal handler or a `Drop` would not run if the emulator is killed.

use rustix::process::{
    getppid, set_parent_process_death_signal, setrlimit, Pid, Resource, Rlimit, Signal as UnixSignal,
};
use std::ffi::{OsStr, OsString};
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The argument that makes the program execute a gateway.
const BECOME_GATEWAY: &str = "--become-gateway";
/// The argument that makes the program run the counter.
const RUN_COUNTER: &str = "--be-counter";
/// Memory for code and stacks of a gateway process, in addition to its configured memory, in MB.
const EXTRA_MEMORY_MB: u64 = 32;

/// Resource limits of a gateway process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Descriptors.
    pub descriptors: u64,
    /// Configured data memory in MB.
    pub memory_mb: u64,
}

/// Returns the launcher arguments that execute `program`; arguments of the program may follow.
pub(super) fn gateway_args(program: &Path, limits: Limits) -> Vec<OsString> {
    let own_id = std::process::id().to_string();
    let (descriptors, memory) = (limits.descriptors.to_string(), limits.memory_mb.to_string());
    [OsStr::new(BECOME_GATEWAY), own_id.as_ref(), descriptors.as_ref(), memory.as_ref(), program.as_os_str()]
        .map(OsStr::to_owned)
        .into()
}

/// Returns the launcher arguments that run the counter with this configuration document.
pub(super) fn counter_args(document: &Path) -> Vec<OsString> {
    let own_id = std::process::id().to_string();
    [OsStr::new(RUN_COUNTER), own_id.as_ref(), document.as_os_str()].map(OsStr::to_owned).into()
}

/// Executes a gateway or runs the counter if this process was started for that, and returns otherwise. The `main` of a
/// [`RealOptions::launcher`](crate::RealOptions::launcher) has to call it first.
///
/// # Errors
/// Fails if the arguments are invalid, the parent process has ended, or the program cannot be run.
pub fn run_child_process() -> io::Result<()> {
    let args: Vec<OsString> = std::env::args_os().skip(1).collect();
    match &args[..] {
        [first, parent, document] if first == RUN_COUNTER => {
            end_with_parent(number(parent)?)?;
            super::counter::run_counter(Path::new(document))?;
            std::process::exit(0);
        }
        [first, parent, descriptors, memory, program, program_args @ ..] if first == BECOME_GATEWAY => {
            end_with_parent(number(parent)?)?;
            lower_limit(Resource::Nofile, number(descriptors)?)?;
            lower_limit(Resource::Data, (number(memory)? + EXTRA_MEMORY_MB) << 20)?;
            Err(Command::new(PathBuf::from(program)).args(program_args).exec())
        }
        _ => Ok(()),
    }
}

fn number(arg: &OsString) -> io::Result<u64> {
    let invalid = || io::Error::new(io::ErrorKind::InvalidInput, "invalid launch arguments");
    arg.to_str().and_then(|arg| arg.parse().ok()).ok_or_else(invalid)
}

/// Lets the system kill this process when its parent ends.
fn end_with_parent(parent: u64) -> io::Result<()> {
    set_parent_process_death_signal(Some(UnixSignal::KILL))?;
    // A parent that ended before the call above sends no signal.
    if getppid() != Pid::from_raw(parent as i32) {
        return Err(io::Error::other("the parent process has ended"));
    }
    Ok(())
}

/// Lowers a resource limit irrevocably.
fn lower_limit(resource: Resource, max: u64) -> io::Result<()> {
    let granted = rustix::process::getrlimit(resource).maximum.unwrap_or(u64::MAX);
    let max = Some(max.min(granted));
    Ok(setrlimit(resource, Rlimit { current: max, maximum: max })?)
}

/// Raises the descriptor limit of this process to the most that the system allows, and returns it.
pub(super) fn raise_descriptor_limit() -> usize {
    let limit = rustix::process::getrlimit(Resource::Nofile);
    // If it fails, the old limit stays.
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, ..limit });
    rustix::process::getrlimit(Resource::Nofile).current.map_or(usize::MAX, |max| max as usize)
}
