//! The number of descriptors that the process may hold: the lower of what the configuration and the system grant.

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

/// Raises the system's soft limit to the configured number, but not above the hard limit, and returns the number in
/// force: the lower of the two. A gateway that held more connections would lose those that the system rejects
/// or leaves in the listener's backlog.
pub fn raise_limit(configured: usize) -> usize {
    let wanted = configured as u64;
    let limit = getrlimit(Resource::Nofile);
    if permits(limit.current, wanted) {
        return configured;
    }
    let current = if permits(limit.maximum, wanted) { Some(wanted) } else { limit.maximum };
    // If the system refuses, the old limit stays in force and is read below.
    let _ = setrlimit(Resource::Nofile, Rlimit { current, ..limit });
    let granted = getrlimit(Resource::Nofile).current.unwrap_or(wanted).min(wanted);
    if granted < wanted {
        tracing::warn!(
            "limits.sockets is {configured}, but the system grants {granted} descriptors: that counts"
        );
    }
    granted as usize
}

/// Returns whether a limit, if there is one, is at least the wanted number.
fn permits(limit: Option<u64>, wanted: u64) -> bool {
    limit.is_none_or(|limit| limit >= wanted)
}
