//! A gateway: its controller, and a simple stand-in for the decision module.

use cluster_model::rng::Rng;
use policy::api::{HostEntry, HostId, Span, Time};
use site_failover::{FailoverController, FailoverUpdate, SiteHealth, SiteSet};

use crate::host::Host;
use crate::setting::{MILLISECOND, SECOND};

/// Hosts that are drawn, of which the least busy is taken.
const DRAWN: usize = 2;
const TRIES: usize = 24;
/// A host that failed is left alone for so long, twice as long after each failure in a row, up to the longest.
const ALONE: u64 = 200 * MILLISECOND;
const LONGEST_ALONE: u64 = 5 * SECOND;

/// A gateway.
pub(crate) struct Gateway {
    pub sites: FailoverController,
    pub keep: Vec<f64>,
    withheld: Vec<bool>,
    alone_until: Vec<Time>,
    fails: Vec<u32>,
}

impl Gateway {
    pub fn new(sites: FailoverController, hosts: usize) -> Gateway {
        Gateway {
            sites,
            keep: vec![],
            withheld: vec![false; hosts],
            alone_until: vec![0; hosts],
            fails: vec![0; hosts],
        }
    }

    /// Ticks the controller if it is due.
    pub fn tick(&mut self, now: Time) -> Option<FailoverUpdate> {
        if self.sites.next_tick_at() > now {
            return None;
        }
        let mut turn = self.sites.tick(now)?;
        for host in &turn.changed_hosts {
            self.withheld[host.0 as usize] = self.sites.is_excluded(*host);
        }
        if let Some(keep) = turn.admission_fractions.take() {
            self.keep.clone_from(&keep);
            turn.admission_fractions = Some(keep);
        }
        Some(turn)
    }

    /// Whether a request of a cell is let in.
    pub fn lets_in(&self, cell: usize, rng: &mut Rng) -> bool {
        match self.keep.get(cell) {
            Some(share) if *share < 1.0 => rng.chance(*share),
            _ => true,
        }
    }

    /// Where an attempt goes: within the sites that it may go to, or, where none takes work, anywhere.
    pub fn pick(
        &self,
        now: Time,
        to: SiteSet,
        hosts: &[Host],
        waits: &[Span],
        rng: &mut Rng,
    ) -> Option<usize> {
        let first = self.drawn(now, to, hosts, waits, rng);
        let anywhere = |rng| self.drawn(now, SiteSet::ALL, hosts, waits, rng);
        first.or_else(|| if to == SiteSet::ALL { None } else { anywhere(rng) })
    }

    fn drawn(&self, now: Time, to: SiteSet, hosts: &[Host], waits: &[Span], rng: &mut Rng) -> Option<usize> {
        let mut found = 0;
        let mut best: Option<usize> = None;
        let offset = rng.below(hosts.len() as u64) as usize;
        // A trial host may be the only one: what chance does not find, a look at all does.
        for n in 0..TRIES + hosts.len() {
            let host = match n < TRIES {
                true => rng.below(hosts.len() as u64) as usize,
                false => (offset + n) % hosts.len(),
            };
            if self.withheld[host] || !to.contains(hosts[host].site) || now < self.alone_until[host] {
                continue;
            }
            if best.is_none_or(|best| waits[host] < waits[best]) {
                best = Some(host);
            }
            found += 1;
            if found >= DRAWN || n >= TRIES {
                break;
            }
        }
        best
    }

    /// What a failure, or an answer, says of a host.
    pub fn learn(&mut self, now: Time, host: usize, answered: bool) {
        if answered {
            self.fails[host] = 0;
            return;
        }
        self.fails[host] = (self.fails[host] + 1).min(10);
        self.alone_until[host] = now + (ALONE << self.fails[host]).min(LONGEST_ALONE);
    }

    /// Whether a site is withheld here.
    pub fn withholds(&self, site: usize) -> bool {
        self.sites
            .statuses()
            .nth(site)
            .is_some_and(|site| site.traffic_fraction == 0.0 && site.health != SiteHealth::Healthy)
    }
}

/// What discovery lists.
pub(crate) fn entry(number: usize, host: &Host) -> HostEntry {
    HostEntry {
        id: HostId(number as u64),
        zone: host.site as u32,
        size: host.rate,
        started_at: host.started.unwrap_or(0),
        ..HostEntry::default()
    }
}
