//! Removes stale entries from endpoint lists. Changes may arrive out of order, and a complete list may be older than
//! the changes already applied. A draining host must not be restored by such a list, since discovery would not repeat
//! its departure.

use crate::discovery::endpoint_list::{Endpoint, EndpointList, Lifecycle};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet};

/// Maximum number of departures that are remembered, those with the latest versions.
pub(crate) const MAX_DEPARTURES: usize = 1024;

/// The departure of a host's process, which is draining or has been removed.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Version of the list that reported the departure.
    version: u64,
    /// Start of the process, in milliseconds of Unix time.
    started_at_ms: u64,
}

/// The known hosts and departures from the lists of one discovery agent. Versions of another agent are not
/// comparable, since they may start again.
#[derive(Debug, Default)]
pub(crate) struct StaleEntryFilter {
    /// Hosts in service with their start times, in milliseconds of Unix time. Bounded by the length of discovery's
    /// list.
    in_service: BTreeMap<String, u64>,
    departures: BTreeMap<String, Departure>,
}

impl StaleEntryFilter {
    /// Removes hosts from a list that have departed at a later version, unless they have restarted since.
    pub fn remove_stale(&mut self, list: &mut EndpointList) {
        let version = list.generation;
        if list.is_complete {
            self.record_missing(list);
        }
        list.endpoints.retain(|host| match host.lifecycle {
            Lifecycle::InService => self.is_current(version, host),
            Lifecycle::Terminating | Lifecycle::Terminated => {
                self.record_departure(version, host);
                true
            }
        });
        self.limit_departures();
    }

    /// Records the departure of hosts that a complete list does not name.
    fn record_missing(&mut self, list: &EndpointList) {
        let named: HashSet<&str> = list.endpoints.iter().map(|host| &*host.instance_id).collect();
        let missing = self.in_service.iter().filter(|(name, _)| !named.contains(name.as_str()));
        let missing: Vec<(String, u64)> =
            missing.map(|(name, started_at_ms)| (name.clone(), *started_at_ms)).collect();
        for (name, started_at_ms) in missing {
            self.insert_departure(&name, Departure { version: list.generation, started_at_ms });
        }
    }

    /// Records a host in service. Returns false if the entry is older than the departure of the host.
    fn is_current(&mut self, version: u64, host: &Endpoint) -> bool {
        let is_stale = self.departures.get(&host.instance_id).is_some_and(|departure| {
            departure.version > version && host.started_at_ms <= departure.started_at_ms
        });
        if is_stale {
            return false;
        }
        self.departures.remove(&host.instance_id);
        self.in_service.insert(host.instance_id.clone(), host.started_at_ms);
        true
    }

    /// Records a host that is draining or has been removed.
    fn record_departure(&mut self, version: u64, host: &Endpoint) {
        // An invalid entry has no start time: if the host is unknown, the departure applies to all its processes.
        let unknown_start = if host.address.is_none() { u64::MAX } else { 0 };
        let known_start = self.in_service.get(&host.instance_id).copied().unwrap_or(unknown_start);
        let started_at_ms = known_start.max(host.started_at_ms);
        self.insert_departure(&host.instance_id, Departure { version, started_at_ms });
    }

    fn insert_departure(&mut self, name: &str, departure: Departure) {
        self.in_service.remove(name);
        let recorded = self.departures.entry(name.to_owned()).or_insert(departure);
        recorded.version = recorded.version.max(departure.version);
        recorded.started_at_ms = recorded.started_at_ms.max(departure.started_at_ms);
    }

    fn limit_departures(&mut self) {
        if self.departures.len() > MAX_DEPARTURES {
            let all = std::mem::take(&mut self.departures);
            let mut departures: Vec<(String, Departure)> = all.into_iter().collect();
            departures.sort_by_key(|(_, departure)| Reverse(departure.version));
            self.departures = departures.into_iter().take(MAX_DEPARTURES).collect();
        }
    }

    /// Returns how many departed hosts are remembered.
    #[cfg(test)]
    pub fn departures(&self) -> usize {
        self.departures.len()
    }
}

#[cfg(test)]
mod tests;
