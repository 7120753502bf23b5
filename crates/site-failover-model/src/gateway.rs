//! A gateway with its failover controller and a simplified host selection in place of the decision module.

use cluster_model::rng::Rng;
use policy::api::{HostEntry, HostId, Span, Time};
use site_failover::{FailoverController, FailoverUpdate, SiteHealth, SiteSet};

use crate::host::Host;
use crate::scenario::{MILLISECOND, SECOND};

/// Number of usable hosts drawn at random, of which the least busy is selected.
const HOST_CANDIDATES: usize = 2;
const MAX_RANDOM_DRAWS: usize = 24;
/// Base of the backoff of a failed host, which doubles with each consecutive failure up to [`MAX_BACKOFF`].
const BASE_BACKOFF: u64 = 200 * MILLISECOND;
const MAX_BACKOFF: u64 = 5 * SECOND;

/// State of a simulated gateway.
pub(crate) struct Gateway {
    pub controller: FailoverController,
    pub admission_fractions: Vec<f64>,
    excluded: Vec<bool>,
    backoff_until: Vec<Time>,
    consecutive_failures: Vec<u32>,
}

impl Gateway {
    pub fn new(controller: FailoverController, hosts: usize) -> Gateway {
        Gateway {
            controller,
            admission_fractions: vec![],
            excluded: vec![false; hosts],
            backoff_until: vec![0; hosts],
            consecutive_failures: vec![0; hosts],
        }
    }

    /// Ticks the controller if its next tick has been reached, and applies the update.
    pub fn tick(&mut self, now: Time) -> Option<FailoverUpdate> {
        if self.controller.next_tick_at() > now {
            return None;
        }
        let mut update = self.controller.tick(now)?;
        for host in &update.changed_hosts {
            self.excluded[host.0 as usize] = self.controller.is_excluded(*host);
        }
        if let Some(admission_fractions) = update.admission_fractions.take() {
            self.admission_fractions.clone_from(&admission_fractions);
            update.admission_fractions = Some(admission_fractions);
        }
        Some(update)
    }

    /// Decides at random, by the admission fraction of the cell, whether a request is admitted.
    pub fn admits(&self, cell: usize, rng: &mut Rng) -> bool {
        match self.admission_fractions.get(cell) {
            Some(fraction) if *fraction < 1.0 => rng.chance(*fraction),
            _ => true,
        }
    }

    /// Selects a host within the allowed sites, or in any site if none of them has a usable host.
    pub fn pick(
        &self,
        now: Time,
        allowed_sites: SiteSet,
        hosts: &[Host],
        reported_delays: &[Span],
        rng: &mut Rng,
    ) -> Option<usize> {
        let preferred = self.least_busy(now, allowed_sites, hosts, reported_delays, rng);
        let anywhere = |rng| self.least_busy(now, SiteSet::ALL, hosts, reported_delays, rng);
        preferred.or_else(|| if allowed_sites == SiteSet::ALL { None } else { anywhere(rng) })
    }

    fn least_busy(
        &self,
        now: Time,
        allowed_sites: SiteSet,
        hosts: &[Host],
        reported_delays: &[Span],
        rng: &mut Rng,
    ) -> Option<usize> {
        let mut candidates = 0;
        let mut best: Option<usize> = None;
        let offset = rng.below(hosts.len() as u64) as usize;
        // A host that is being probed may be the only usable one: if the random draws miss it, scan all hosts.
        for n in 0..MAX_RANDOM_DRAWS + hosts.len() {
            let host = match n < MAX_RANDOM_DRAWS {
                true => rng.below(hosts.len() as u64) as usize,
                false => (offset + n) % hosts.len(),
            };
            if self.excluded[host]
                || !allowed_sites.contains(hosts[host].site)
                || now < self.backoff_until[host]
            {
                continue;
            }
            if best.is_none_or(|best| reported_delays[host] < reported_delays[best]) {
                best = Some(host);
            }
            candidates += 1;
            if candidates >= HOST_CANDIDATES || n >= MAX_RANDOM_DRAWS {
                break;
            }
        }
        best
    }

    /// Updates the backoff of a host after an answer or a failure.
    pub fn record_outcome(&mut self, now: Time, host: usize, answered: bool) {
        if answered {
            self.consecutive_failures[host] = 0;
            return;
        }
        self.consecutive_failures[host] = (self.consecutive_failures[host] + 1).min(10);
        self.backoff_until[host] = now + (BASE_BACKOFF << self.consecutive_failures[host]).min(MAX_BACKOFF);
    }

    /// Returns whether this gateway sends no regular traffic to the site.
    pub fn excludes(&self, site: usize) -> bool {
        self.controller
            .statuses()
            .nth(site)
            .is_some_and(|site| site.traffic_fraction == 0.0 && site.health != SiteHealth::Healthy)
    }
}

/// Returns the entry of a host in the endpoint list.
pub(crate) fn host_entry(number: usize, host: &Host) -> HostEntry {
    HostEntry {
        id: HostId(number as u64),
        zone: host.site as u32,
        size: host.rate,
        started_at: host.started_at.unwrap_or(0),
        ..HostEntry::default()
    }
}
