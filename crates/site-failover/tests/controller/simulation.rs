//! A simulation of one gateway with its controller and three sites, in virtual time.

use policy::api::{AttemptEnded, HostEntry, HostId, HostListKind, HostState, Outcome, RequestId, Span, Time};
use site_failover::{
    FailoverController, FailoverPlan, FailoverTarget, GatewayIdentity, SheddingTier, SheddingTiers, Site,
    SiteHealth, SiteStatus, Transition,
};

pub const SECOND: Span = 1_000_000_000;
pub const MILLISECOND: Span = 1_000_000;
pub const HOSTS_PER_SITE: u64 = 6;
const ALL_HOSTS: u64 = 3 * HOSTS_PER_SITE;

/// The outcome of an attempt, and the time until it ends.
pub type Ending = (Outcome, Span);

pub const ANSWERED: Ending = (Outcome::Ok, 10 * MILLISECOND);
pub const TIMED_OUT: Ending = (Outcome::Timeout, 300 * MILLISECOND);

/// Determines how an attempt ends that is sent at a time to a host.
pub type EndingOf<'a> = &'a dyn Fn(Time, u64) -> Ending;

/// Returns a plan with three sites, which take over each other's load evenly, and two shedding tiers over three classes
/// of one plan.
pub fn plan() -> FailoverPlan {
    let tier = |name: &str, cell, floor| SheddingTier { name: name.to_string(), cells: vec![cell], floor };
    let tiers = vec![tier("batch", 0, 0.1), tier("browse", 1, 0.3)];
    FailoverPlan {
        sites: (0..3).map(site).collect(),
        shedding: SheddingTiers { tiers, classes: 3, plans: 1 },
    }
}

fn site(number: usize) -> Site {
    let others = (0..3).filter(|other| *other != number);
    Site {
        name: ["north", "south", "west"][number].to_string(),
        zones: vec![number as u32],
        capacity: None,
        load: None,
        headroom: 0.0,
        failover_targets: others.map(|site| FailoverTarget { site, fraction: 0.5 }).collect(),
        recovery_ramp: 60 * SECOND,
        operator_override: None,
    }
}

/// Returns the site of a host. Hosts are numbered consecutively, site by site.
pub fn site_of(host: u64) -> usize {
    (host / HOSTS_PER_SITE) as usize
}

pub fn entry(host: u64, state: HostState, started: Time) -> HostEntry {
    let zone = site_of(host) as u32;
    HostEntry { id: HostId(host), zone, size: 1.0, state, started_at: started, ..HostEntry::default() }
}

pub fn all_answer(_: Time, _: u64) -> Ending {
    ANSWERED
}

/// Returns endings with which all attempts at one site time out.
pub fn site_times_out(site: usize) -> impl Fn(Time, u64) -> Ending {
    move |_, host| if site_of(host) == site { TIMED_OUT } else { ANSWERED }
}

/// A change of a site's health or traffic that the controller reported.
#[derive(Debug)]
pub struct Change {
    pub at: Time,
    pub site: usize,
    pub previous: SiteHealth,
    pub current: SiteHealth,
    pub traffic_fraction: f64,
}

pub struct Simulation {
    pub controller: FailoverController,
    pub now: Time,
    pub changes: Vec<Change>,
    pub attempts_by_site: [u32; 3],
    /// Requests sent to a site that was excluded.
    pub probes: u32,
    pub admission_fractions: Vec<f64>,
    /// Status of each site as of the last tick.
    statuses: Vec<SiteStatus>,
    requests: u64,
}

impl Simulation {
    pub fn new(plan: FailoverPlan, identity: GatewayIdentity) -> Simulation {
        let mut controller = FailoverController::new(plan, identity, 1, 0);
        let entries: Vec<_> = (0..ALL_HOSTS).map(|host| entry(host, HostState::Ready, 0)).collect();
        controller.on_host_list(0, HostListKind::Full, &entries);
        let statuses = controller
            .statuses()
            .map(|status| SiteStatus { ready_hosts: HOSTS_PER_SITE as usize, ..status })
            .collect();
        Simulation {
            controller,
            now: 0,
            changes: vec![],
            attempts_by_site: [0; 3],
            probes: 0,
            admission_fractions: vec![],
            statuses,
            requests: 0,
        }
    }

    /// Returns a simulation of [`plan`] at the first of eight gateways.
    pub fn usual() -> Simulation {
        Simulation::new(plan(), GatewayIdentity { gateways: 8, gateway_index: 0, zone: 0 })
    }

    pub fn list(&mut self, hosts: std::ops::Range<u64>, state: HostState, started: Time) {
        let entries: Vec<_> = hosts.map(|host| entry(host, state, started)).collect();
        self.controller.on_host_list(self.now, HostListKind::Delta, &entries);
    }

    pub fn tick(&mut self) {
        let update = self.controller.tick(self.now);
        self.statuses = self.controller.statuses().collect();
        let Some(update) = update else { return };
        for transition in update.transitions {
            let Transition::Site { previous, current, .. } = transition else { continue };
            let site = self.statuses.iter().position(|status| status.name == current.name).unwrap();
            self.changes.push(Change {
                at: self.now,
                site,
                previous,
                current: current.health,
                traffic_fraction: current.traffic_fraction,
            });
        }
        if let Some(fractions) = update.admission_fractions {
            self.admission_fractions = fractions;
        }
    }

    /// Runs for a span, with a rate of requests per second. Each request goes to the next host, in a round robin, that
    /// it may go to.
    pub fn run(&mut self, duration: Span, rate: f64, ending_of: EndingOf) {
        let end = self.now + duration;
        let request_interval = (SECOND as f64 / rate) as Span;
        let mut next_request = self.now;
        while self.now < end {
            let next_tick = self.controller.next_tick_at().max(self.now + 1);
            self.now = end.min(next_request.min(next_tick));
            if self.controller.next_tick_at() <= self.now {
                self.tick();
            }
            if next_request <= self.now {
                next_request += request_interval;
                self.request(ending_of);
            }
        }
    }

    fn request(&mut self, ending_of: EndingOf) {
        self.requests += 1;
        let allowed = self.controller.allowed_sites(self.now, RequestId(self.requests), true);
        // The stride visits all hosts, and consecutive requests go to different sites in turn.
        let hosts = (0..ALL_HOSTS).map(|n| ((self.requests + n) * 7) % ALL_HOSTS);
        let candidates: Vec<u64> = hosts
            .filter(|host| !self.controller.is_excluded(HostId(*host)))
            .filter(|host| allowed.contains(site_of(*host)) && self.statuses[site_of(*host)].ready_hosts > 0)
            .collect();
        // Hosts of a recovering site are idle, and load balancing prefers idle hosts.
        let is_recovering = |host: &&u64| self.statuses[site_of(**host)].health == SiteHealth::Recovering;
        let Some(host) = candidates.iter().find(is_recovering).or(candidates.first()).copied() else {
            return;
        };
        let site = site_of(host);
        self.attempts_by_site[site] += 1;
        self.probes += u32::from(self.statuses[site].traffic_fraction == 0.0);
        self.end_attempt(host, ending_of(self.now, host));
    }

    /// Ends an attempt at a host.
    pub fn end_attempt(&mut self, host: u64, (outcome, elapsed): Ending) {
        let ended = AttemptEnded {
            id: RequestId(self.requests),
            attempt: 0,
            host: HostId(host),
            outcome,
            elapsed,
            is_request_closed: true,
            quota_used: None,
            actual_units: None,
            report: None,
        };
        self.controller.on_attempt_ended(self.now, &ended);
    }

    /// Returns the health of each site.
    pub fn health(&self) -> Vec<SiteHealth> {
        self.controller.statuses().map(|status| status.health).collect()
    }

    /// Returns whether each site is excluded, apart from a host that is being probed.
    pub fn excluded(&self) -> Vec<bool> {
        self.controller.statuses().map(|status| status.traffic_fraction == 0.0).collect()
    }

    /// Returns whether no site has lost any of its traffic so far.
    pub fn has_moved_no_load(&self) -> bool {
        self.changes.iter().all(|change| change.traffic_fraction == 1.0)
    }

    /// Returns the times at which a site entered a health state.
    pub fn times_entered(&self, site: usize, health: SiteHealth) -> Vec<Time> {
        let entered = |change: &&Change| {
            change.site == site && change.current == health && change.previous != change.current
        };
        self.changes.iter().filter(entered).map(|change| change.at).collect()
    }

    pub fn traffic_fraction(&self, site: usize) -> f64 {
        self.controller.statuses().nth(site).unwrap().traffic_fraction
    }
}
