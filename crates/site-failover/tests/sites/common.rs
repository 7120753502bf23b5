//! One gateway with its controller and three sites, played by hand.

use policy::api::{AttemptEnded, HostEntry, HostId, HostListKind, HostState, Outcome, RequestId, Span, Time};
use site_failover::{
    FailoverController, FailoverPlan, FailoverTarget, GatewayIdentity, SheddingTier, SheddingTiers, Site,
    SiteHealth, Transition,
};

pub const SECOND: Span = 1_000_000_000;
pub const MILLISECOND: Span = 1_000_000;
pub const HOSTS: u64 = 6;

/// Three sites, the hosts of each numbered on from those before; two rungs over three classes of one plan.
pub fn plan() -> FailoverPlan {
    let site = |number: usize| Site {
        name: ["north", "south", "west"][number].to_string(),
        zones: vec![number as u32],
        capacity: None,
        load: None,
        headroom: 0.0,
        failover_targets: (0..3)
            .filter(|other| *other != number)
            .map(|site| FailoverTarget { site, fraction: 0.5 })
            .collect(),
        recovery_ramp: 60 * SECOND,
        operator_override: None,
    };
    let rung = |name: &str, cell, floor| SheddingTier { name: name.to_string(), cells: vec![cell], floor };
    let rungs = vec![rung("batch", 0, 0.1), rung("browse", 1, 0.3)];
    FailoverPlan {
        sites: (0..3).map(site).collect(),
        shedding: SheddingTiers { tiers: rungs, classes: 3, plans: 1 },
    }
}

pub fn site_of(host: u64) -> usize {
    (host / HOSTS) as usize
}

pub fn entry(host: u64, state: HostState, started: Time) -> HostEntry {
    let zone = site_of(host) as u32;
    HostEntry { id: HostId(host), zone, size: 1.0, state, started_at: started, ..HostEntry::default() }
}

/// How an attempt at a host ends at a moment, and after what span.
pub type Ends<'a> = &'a dyn Fn(Time, u64) -> (Outcome, Span);

/// What doubt is told by.
pub type Doubt = fn(&mut FailoverController, Time, bool);
/// A case's name, how attempts end, and what is wanted: after how many seconds, from and up to what share.
pub type Return<'a> = (&'a str, Ends<'a>, [(Span, f64, f64); 2]);

pub const OK: (Outcome, Span) = (Outcome::Ok, 10 * MILLISECOND);
pub const SILENT: (Outcome, Span) = (Outcome::Timeout, 300 * MILLISECOND);

pub struct Bench {
    pub sites: FailoverController,
    pub now: Time,
    pub changes: Vec<(Time, usize, SiteHealth, SiteHealth, f64)>,
    /// Attempts by site.
    pub sent: [u32; 3],
    /// Requests sent to a site that was withheld.
    pub trials: u32,
    pub keep: Vec<f64>,
    /// State, share and hosts of each site, as of the last tick.
    known: Vec<(SiteHealth, f64, usize)>,
    requests: u64,
}

impl Bench {
    pub fn new(plan: FailoverPlan, fleet: GatewayIdentity) -> Bench {
        let mut sites = FailoverController::new(plan, fleet, 1, 0);
        let entries: Vec<_> = (0..3 * HOSTS).map(|host| entry(host, HostState::Ready, 0)).collect();
        sites.on_host_list(0, HostListKind::Full, &entries);
        Bench {
            sites,
            now: 0,
            changes: vec![],
            sent: [0; 3],
            trials: 0,
            keep: vec![],
            known: vec![(SiteHealth::Healthy, 1.0, HOSTS as usize); 3],
            requests: 0,
        }
    }

    pub fn usual() -> Bench {
        Bench::new(plan(), GatewayIdentity { gateways: 8, gateway_index: 0, zone: 0 })
    }

    pub fn list(&mut self, hosts: std::ops::Range<u64>, state: HostState, started: Time) {
        let entries: Vec<_> = hosts.map(|host| entry(host, state, started)).collect();
        self.sites.on_host_list(self.now, HostListKind::Delta, &entries);
    }

    pub fn tick(&mut self) {
        let turn = self.sites.tick(self.now);
        self.known = self
            .sites
            .statuses()
            .map(|site| (site.health, site.traffic_fraction, site.ready_hosts))
            .collect();
        let Some(turn) = turn else { return };
        for said in turn.transitions {
            let Transition::Site { previous: was, current: now, .. } = said else { continue };
            let site = self.sites.statuses().position(|site| site.name == now.name).unwrap();
            self.changes.push((self.now, site, was, now.health, now.traffic_fraction));
        }
        if let Some(keep) = turn.admission_fractions {
            self.keep = keep;
        }
    }

    /// Plays on for so long, with so many requests a second, of hosts in turn that may be sent to.
    pub fn play(&mut self, lasts: Span, rate: f64, ends: Ends) {
        let until = self.now + lasts;
        let between = (SECOND as f64 / rate) as Span;
        let mut next = self.now;
        while self.now < until {
            self.now = until.min(next.min(self.sites.next_tick_at().max(self.now + 1)));
            if self.sites.next_tick_at() <= self.now {
                self.tick();
            }
            if next <= self.now {
                next += between;
                self.request(ends);
            }
        }
    }

    fn request(&mut self, ends: Ends) {
        self.requests += 1;
        let to = self.sites.allowed_sites(self.now, RequestId(self.requests), true);
        // A stride that meets all hosts in an order that meets the sites in turn.
        let hosts = (0..3 * HOSTS).map(|n| ((self.requests + n) * 7) % (3 * HOSTS));
        let open: Vec<u64> = hosts
            .filter(|host| !self.sites.is_excluded(HostId(*host)))
            .filter(|host| to.contains(site_of(*host)) && self.known[site_of(*host)].2 > 0)
            .collect();
        // Hosts of a site that returns are idle, and idle hosts are liked best.
        let returns = |host: &&u64| self.known[site_of(**host)].0 == SiteHealth::Recovering;
        let Some(host) = open.iter().find(returns).or(open.first()).copied() else { return };
        let site = site_of(host);
        self.sent[site] += 1;
        self.trials += u32::from(self.known[site].1 == 0.0);
        let (outcome, took) = ends(self.now, host);
        self.ended(host, outcome, took);
    }

    pub fn ended(&mut self, host: u64, outcome: Outcome, took: Span) {
        let ended = AttemptEnded {
            id: RequestId(self.requests),
            attempt: 0,
            host: HostId(host),
            outcome,
            elapsed: took,
            is_request_closed: true,
            quota_used: None,
            actual_units: None,
            report: None,
        };
        self.sites.on_attempt_ended(self.now, &ended);
    }

    pub fn states(&self) -> Vec<SiteHealth> {
        self.sites.statuses().map(|site| site.health).collect()
    }

    /// Whether each site is withheld, but for a host on trial.
    pub fn withheld(&self) -> Vec<bool> {
        self.sites.statuses().map(|site| site.traffic_fraction == 0.0).collect()
    }

    /// When a site came to be held for something, of all the times it did.
    pub fn came_to(&self, site: usize, state: SiteHealth) -> Vec<Time> {
        let own =
            self.changes.iter().filter(|(_, at, was, now, _)| *at == site && *now == state && was != now);
        own.map(|(at, ..)| *at).collect()
    }

    pub fn share(&self, site: usize) -> f64 {
        self.sites.statuses().nth(site).unwrap().traffic_fraction
    }
}
