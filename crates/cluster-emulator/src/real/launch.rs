//! How a process begins that is a gateway, or a stand-in: it ends with the one that started it, however that ends, and is held to limits.
//!
//! The program that rehearses starts itself with words of its own, sets on itself what a process hands on to the one
//! that takes its place, and lets the gateway's program take it. A signal handler or a `Drop` would not run where a
//! runner is killed.

use rustix::process::{
    getppid, set_parent_process_death_signal, setrlimit, Pid, Resource, Rlimit, Signal as UnixSignal,
};
use std::ffi::{OsStr, OsString};
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The word by which the program knows that it is to become a gateway.
const BECOME: &str = "--become-gateway";
/// The word by which it knows that it is to be the counter.
const BE_COUNTER: &str = "--be-counter";
/// Beside what a gateway is configured to hold, its process may have this for code and stacks, in MB.
const BESIDE_MB: u64 = 32;

/// What a gateway's process may have.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Descriptors.
    pub descriptors: u64,
    /// Memory of its own data in MB, as configured.
    pub memory_mb: u64,
}

/// The words for `launcher` that end in `program` in its place; words of that program's own may follow.
pub(super) fn words(program: &Path, limits: Limits) -> Vec<OsString> {
    let me = std::process::id().to_string();
    let (descriptors, memory) = (limits.descriptors.to_string(), limits.memory_mb.to_string());
    [OsStr::new(BECOME), me.as_ref(), descriptors.as_ref(), memory.as_ref(), program.as_os_str()]
        .map(OsStr::to_owned)
        .into()
}

/// The words by which `launcher` is the counter that this document tells of.
pub(super) fn stand_in_words(document: &Path) -> Vec<OsString> {
    let me = std::process::id().to_string();
    [OsStr::new(BE_COUNTER), me.as_ref(), document.as_os_str()].map(OsStr::to_owned).into()
}

/// Becomes a gateway or is the counter, if that is what this process was started for. To be called first thing in `main` of a program
/// that is a [`RealOptions::launcher`](crate::RealOptions::launcher). Returns where it was not, or could not.
///
/// # Errors
/// Where the words are wrong, the one who started it is gone, or the program cannot be run.
pub fn run_child_process() -> io::Result<()> {
    let words: Vec<OsString> = std::env::args_os().skip(1).collect();
    match &words[..] {
        [first, parent, document] if first == BE_COUNTER => {
            end_with(number(parent)?)?;
            super::counter::run_counter(Path::new(document))?;
            std::process::exit(0);
        }
        [first, parent, descriptors, memory, program, own @ ..] if first == BECOME => {
            end_with(number(parent)?)?;
            limit(Resource::Nofile, number(descriptors)?)?;
            limit(Resource::Data, (number(memory)? + BESIDE_MB) << 20)?;
            Err(Command::new(PathBuf::from(program)).args(own).exec())
        }
        _ => Ok(()),
    }
}

fn number(word: &OsString) -> io::Result<u64> {
    let wrong = || io::Error::new(io::ErrorKind::InvalidInput, "not the words of a launch");
    word.to_str().and_then(|word| word.parse().ok()).ok_or_else(wrong)
}

/// Asks the system to be killed with the process that started this one.
fn end_with(parent: u64) -> io::Result<()> {
    set_parent_process_death_signal(Some(UnixSignal::KILL))?;
    // Who died before the line above is not waited for by anyone.
    if getppid() != Pid::from_raw(parent as i32) {
        return Err(io::Error::other("the rehearsal has ended"));
    }
    Ok(())
}

/// Lowers a limit for good.
fn limit(resource: Resource, most: u64) -> io::Result<()> {
    let granted = rustix::process::getrlimit(resource).maximum.unwrap_or(u64::MAX);
    let most = Some(most.min(granted));
    Ok(setrlimit(resource, Rlimit { current: most, maximum: most })?)
}

/// Raises this process's own limit of descriptors as far as the system lets it, and says how far that is.
pub(super) fn most_descriptors() -> usize {
    let limit = rustix::process::getrlimit(Resource::Nofile);
    // Refused, the old one stays.
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, ..limit });
    rustix::process::getrlimit(Resource::Nofile).current.map_or(usize::MAX, |most| most as usize)
}
