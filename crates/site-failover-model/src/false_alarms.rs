//! Counts false alarms of the failure detection while no site is lost: one gateway, three sites, and no queues, so that
//! long periods are cheap to simulate.

use cluster_model::rng::Rng;
use policy::api::{AttemptEnded, HostEntry, HostId, HostListKind, Outcome, RequestId, Span, Time};
use site_failover::{FailoverController, FailoverPlan, GatewayIdentity, Site, SiteHealth, Transition};

use crate::scenario::{MILLISECOND, SECOND};

const SITE_COUNT: u64 = 3;
const HOSTS_PER_SITE: u64 = 6;
/// Thresholds of a simple detector for comparison, which counts consecutive failures at a site over all its hosts.
const CONSECUTIVE_FAILURE_THRESHOLDS: [u32; 3] = [3, 5, 10];

/// Number of false alarms, by kind of detection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FalseAlarms {
    /// Number of times that a site was declared lost or unreachable, which moves its load.
    pub load_moved: u32,
    /// Number of times that a site was declared suspect.
    pub suspect: u32,
    /// Number of times that a site was declared slow.
    pub slow: u32,
    /// For each threshold of consecutive failures, how many times the simple detector would have moved load.
    pub by_consecutive_failures: Vec<(u32, u32)>,
}

/// A period without the loss of a site.
#[derive(Clone, Copy, Debug)]
pub struct FalseAlarmScenario {
    /// Simulated time.
    pub duration: Span,
    /// Requests per second at the gateway.
    pub rate: f64,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// The current fault. A fault lasts 20 s, and one occurs each minute.
#[derive(Clone, Copy, Debug, Default)]
struct Fault {
    /// A failing host and the fraction of its attempts that fail: all or half.
    failing_host: Option<(u64, f64)>,
    slow_host: Option<u64>,
    /// Fraction of attempts that fail at all sites.
    failure_fraction: f64,
    /// A site and the fraction of its attempts that fail.
    failing_site: Option<(u64, f64)>,
    traffic_factor: f64,
    counter_outage: bool,
    discovery_outage: bool,
    host_replaced: bool,
}

fn random_fault(rng: &mut Rng) -> Fault {
    let host_count = SITE_COUNT * HOSTS_PER_SITE;
    let no_fault = Fault { traffic_factor: 1.0, ..Fault::default() };
    match rng.below(9) {
        0 => Fault { failing_host: Some((rng.below(host_count), 1.0)), ..no_fault },
        1 => Fault { failing_host: Some((rng.below(host_count), 0.5)), ..no_fault },
        2 => Fault { slow_host: Some(rng.below(host_count)), ..no_fault },
        3 => Fault { failure_fraction: 0.3, ..no_fault },
        4 => Fault { failing_site: Some((rng.below(SITE_COUNT), 0.3)), ..no_fault },
        5 => Fault { traffic_factor: 2.0, ..no_fault },
        6 => Fault { counter_outage: true, ..no_fault },
        7 => Fault { discovery_outage: true, ..no_fault },
        _ => Fault { host_replaced: true, ..no_fault },
    }
}

fn three_site_plan() -> FailoverPlan {
    let site = |number: u64| Site {
        name: format!("site-{number}"),
        zones: vec![number as u32],
        capacity: None,
        load: None,
        headroom: 0.0,
        failover_targets: vec![],
        recovery_ramp: 60 * SECOND,
        operator_override: None,
    };
    FailoverPlan { sites: (0..SITE_COUNT).map(site).collect(), ..FailoverPlan::default() }
}

/// Simulates a period of ordinary faults in which no site is lost, and counts the alarms.
pub fn count_false_alarms(scenario: &FalseAlarmScenario) -> FalseAlarms {
    let mut rng = Rng::stream(scenario.seed, "calm", 0);
    let mut controller = FailoverController::new(
        three_site_plan(),
        GatewayIdentity { gateways: 8, gateway_index: 0, zone: 0 },
        scenario.seed,
        0,
    );
    let host_entry = |host: u64, started_at: Time| HostEntry {
        id: HostId(host),
        zone: (host % SITE_COUNT) as u32,
        size: 1.0,
        started_at,
        ..HostEntry::default()
    };
    let entries: Vec<_> = (0..SITE_COUNT * HOSTS_PER_SITE).map(|host| host_entry(host, 0)).collect();
    controller.on_host_list(0, HostListKind::Full, &entries);
    let mut false_alarms = FalseAlarms {
        by_consecutive_failures: CONSECUTIVE_FAILURE_THRESHOLDS.map(|threshold| (threshold, 0)).to_vec(),
        ..FalseAlarms::default()
    };
    let mut failures_in_a_row = [0_u32; SITE_COUNT as usize];
    let (mut now, mut next_change_at, mut id, mut fault) =
        (0, 0, 0, Fault { traffic_factor: 1.0, ..Fault::default() });
    while now < scenario.duration {
        if now >= next_change_at {
            // 20 s with a fault alternate with 40 s without.
            let fault_begins = next_change_at / SECOND % 60 == 0;
            next_change_at += if fault_begins { 20 * SECOND } else { 40 * SECOND };
            fault = if fault_begins {
                random_fault(&mut rng)
            } else {
                Fault { traffic_factor: 1.0, ..Fault::default() }
            };
            controller.on_counter_status(now, fault.counter_outage);
            controller.on_discovery_status(now, fault.discovery_outage);
            if fault.host_replaced {
                let host = rng.below(SITE_COUNT * HOSTS_PER_SITE);
                controller.on_host_list(now, HostListKind::Delta, &[host_entry(host, now)]);
            }
        }
        now += rng.exponential(SECOND as f64 / (scenario.rate * fault.traffic_factor)) as Span + 1;
        // Run the ticks scheduled before the end of this attempt first.
        while controller.next_tick_at() <= now {
            let tick_at = controller.next_tick_at();
            let update = controller.tick(tick_at);
            update
                .into_iter()
                .flat_map(|update| update.transitions)
                .for_each(|transition| false_alarms.count(&transition));
        }
        id += 1;
        let host = rng.below(SITE_COUNT * HOSTS_PER_SITE);
        let ended = simulate_attempt(&fault, host, id, &mut rng);
        let site = (host % SITE_COUNT) as usize;
        let failed = !matches!(ended.outcome, Outcome::Ok | Outcome::Error);
        failures_in_a_row[site] = if failed { failures_in_a_row[site] + 1 } else { 0 };
        for (threshold, count) in &mut false_alarms.by_consecutive_failures {
            *count += u32::from(failures_in_a_row[site] == *threshold);
        }
        controller.on_attempt_ended(now, &ended);
    }
    false_alarms
}

fn simulate_attempt(fault: &Fault, host: u64, id: u64, rng: &mut Rng) -> AttemptEnded {
    let failing_host = fault
        .failing_host
        .filter(|(failing_host, _)| *failing_host == host)
        .map_or(0.0, |(_, fraction)| fraction);
    let failing_site = fault
        .failing_site
        .filter(|(site, _)| *site == host % SITE_COUNT)
        .map_or(0.0, |(_, fraction)| fraction);
    let sample = rng.unit();
    let outcome = if sample < 0.05_f64.max(fault.failure_fraction).max(failing_host).max(failing_site) {
        [Outcome::Timeout, Outcome::ConnectionReset, Outcome::ConnectFailed][(id % 3) as usize]
    } else if sample > 0.95 {
        Outcome::Error
    } else {
        Outcome::Ok
    };
    let slowdown = if fault.slow_host == Some(host) { 5.0 } else { 1.0 };
    let elapsed = (6.0 + rng.exponential(6.0)) * slowdown * MILLISECOND as f64;
    AttemptEnded {
        id: RequestId(id),
        attempt: 0,
        host: HostId(host),
        outcome,
        elapsed: elapsed as Span,
        is_request_closed: true,
        quota_used: None,
        actual_units: None,
        report: None,
    }
}

impl FalseAlarms {
    fn count(&mut self, transition: &Transition) {
        let Transition::Site { current: now, .. } = transition else { return };
        match now.health {
            SiteHealth::Lost | SiteHealth::Unreachable => self.load_moved += 1,
            SiteHealth::Suspect => self.suspect += 1,
            SiteHealth::Slow => self.slow += 1,
            SiteHealth::Healthy | SiteHealth::Probing | SiteHealth::Recovering => {}
        }
    }
}
