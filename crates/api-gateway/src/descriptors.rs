//! How many descriptors the process may hold: what its configuration grants, and what the system does.

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

/// Raises the system's soft limit to what the configuration grants, as far as the hard one lets it, and gives
/// the number that counts: the lower of the two. Beyond it the system turns connections away unseen, and what
/// waits in the listener's backlog is lost.
pub fn granted(configured: usize) -> usize {
    let wanted = configured as u64;
    let limit = getrlimit(Resource::Nofile);
    let within = |most: Option<u64>| most.is_none_or(|most| most >= wanted);
    if within(limit.current) {
        return configured;
    }
    let current = if within(limit.maximum) { Some(wanted) } else { limit.maximum };
    // Refused, the old limit stays, and is what is found next.
    let _ = setrlimit(Resource::Nofile, Rlimit { current, ..limit });
    let found = getrlimit(Resource::Nofile).current.unwrap_or(wanted).min(wanted);
    if found < wanted {
        tracing::warn!(
            "limits.sockets is {configured}, but the system grants {found} descriptors: that counts"
        );
    }
    found as usize
}
