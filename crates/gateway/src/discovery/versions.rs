//! Which of what a list says is outdated. Changes may come out of order, and a whole list may be older than what
//! is known; nobody would say again that a host drains.

use crate::discovery::endpoint_list::{Lifecycle, Member, Membership};
use std::collections::{BTreeMap, HashSet};

/// Hosts that have left are remembered up to this many: those that left at the latest versions.
pub(crate) const REMEMBERED: usize = 1024;

/// A process that left.
#[derive(Clone, Copy, Debug)]
struct Left {
    /// At which version.
    version: u64,
    /// When it had started, in milliseconds of Unix time.
    started: u64,
}

/// What has been told at one address. At another one versions may begin anew.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    /// Hosts in service, as many as discovery names, and when each started.
    serving: BTreeMap<String, u64>,
    left: BTreeMap<String, Left>,
}

impl Versions {
    /// Takes hosts out of a list that have left at a later version, unless they have started anew since.
    pub fn sort_out(&mut self, list: &mut Membership) {
        let version = list.generation;
        if list.reset {
            self.leave_out(list);
        }
        list.instances.retain(|host| match host.lifecycle {
            Lifecycle::InService => self.serves(version, host),
            Lifecycle::Terminating | Lifecycle::Terminated => {
                let unread = if host.host_port.is_none() { u64::MAX } else { 0 };
                let started = self.serving.get(&host.instance_id).copied().unwrap_or(unread);
                self.leaves(&host.instance_id, version, started.max(host.started_at_ms));
                true
            }
        });
        self.bound();
    }

    /// Hosts that a whole list does not name have left.
    fn leave_out(&mut self, list: &Membership) {
        let named: HashSet<&str> = list.instances.iter().map(|host| &*host.instance_id).collect();
        let gone = self.serving.iter().filter(|(name, _)| !named.contains(name.as_str()));
        let gone: Vec<(String, u64)> = gone.map(|(name, started)| (name.clone(), *started)).collect();
        gone.into_iter().for_each(|(name, started)| self.leaves(&name, list.generation, started));
    }

    /// Whether this host is in service, or it is old news that it was.
    fn serves(&mut self, version: u64, host: &Member) -> bool {
        let later = |left: &Left| left.version > version && host.started_at_ms <= left.started;
        if self.left.get(&host.instance_id).is_some_and(later) {
            return false;
        }
        self.left.remove(&host.instance_id);
        self.serving.insert(host.instance_id.clone(), host.started_at_ms);
        true
    }

    fn leaves(&mut self, name: &str, version: u64, started: u64) {
        self.serving.remove(name);
        let left = self.left.entry(name.to_owned()).or_insert(Left { version, started });
        *left = Left { version: left.version.max(version), started: left.started.max(started) };
    }

    fn bound(&mut self) {
        if self.left.len() > REMEMBERED {
            let mut left: Vec<(String, Left)> = std::mem::take(&mut self.left).into_iter().collect();
            left.sort_by_key(|(_, left)| std::cmp::Reverse(left.version));
            self.left = left.into_iter().take(REMEMBERED).collect();
        }
    }

    /// How many hosts that left are remembered.
    #[cfg(test)]
    pub fn remembered(&self) -> usize {
        self.left.len()
    }
}

#[cfg(test)]
mod tests;
