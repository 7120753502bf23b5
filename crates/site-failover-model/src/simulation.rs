//! Discrete-event simulation of client requests, gateways, hosts and site losses.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cluster_model::rng::Rng;
use policy::api::{AttemptEnded, HostId, HostListKind, Outcome, RejectReason, RequestId, Span, Time};
use site_failover::{FailoverController, FailoverPlan, GatewayIdentity, SiteHealth, SiteSet, Transition};

use crate::gateway::{host_entry, Gateway};
use crate::host::Host;
use crate::scenario::{FailoverMode, ReturnMode, Scenario, SiteLoss, MILLISECOND, SECOND};

/// Interval at which gateways check whether their controller needs a tick.
const TICK_INTERVAL: Span = 20 * MILLISECOND;
/// Interval between updates of the hosts' queue delays that the gateways see.
const LOAD_REPORT_INTERVAL: Span = 200 * MILLISECOND;
/// Latency objective of a request; no retry is sent after it.
const LATENCY_OBJECTIVE: Span = 250 * MILLISECOND;
/// A request is rejected if the queue of the selected host is longer than this.
const MAX_QUEUE_DELAY: Span = 200 * MILLISECOND;
const MAX_ATTEMPTS: u32 = 3;
/// Number of up and down cycles of a flapping site, and the duration of each half of a cycle.
const FLAP_COUNT: u64 = 6;
const FLAP_INTERVAL: Span = 10 * SECOND;

/// Counts for one second, over all gateways.
#[derive(Clone, Debug, Default)]
pub struct SecondStats {
    /// Attempts sent, by site, without those that the host rejected because its queue was full.
    pub sent: Vec<u32>,
    /// Attempts by site from gateways that exclude it: probes, and retries of requests that were in flight.
    pub probes: Vec<u32>,
    /// Requests received, client retries included, by cell.
    pub received: Vec<u32>,
    /// Of those, answered within the latency objective.
    pub served: Vec<u32>,
    /// Of those, shed by the shedding tiers.
    pub shed: Vec<u32>,
    /// Of those, rejected because the queue was too long or no host was available.
    pub no_capacity: Vec<u32>,
    /// Number of shedding tiers shed, averaged over the gateways.
    pub shedding_level: f64,
    /// Crashes of warming hosts through overload.
    pub crashes: u32,
}

/// A change of a site's health or traffic fraction at one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthChange {
    /// Time of the change.
    pub at: Time,
    /// Index of the gateway.
    pub gateway: u32,
    /// Index of the site in the plan.
    pub site: usize,
    /// Health before the change.
    pub previous: SiteHealth,
    /// Health after the change.
    pub current: SiteHealth,
    /// Fraction of its usual load that the site may receive.
    pub traffic_fraction: f64,
    /// Log message of the transition.
    pub log_line: String,
}

/// Everything recorded while a scenario ran.
#[derive(Clone, Debug, Default)]
pub struct ScenarioResult {
    /// Counts of each second since the start.
    pub seconds: Vec<SecondStats>,
    /// Changes in the order of time.
    pub health_changes: Vec<HealthChange>,
    /// Each change of admission fractions: time, gateway index, fraction admitted of each cell.
    pub admission_fractions: Vec<(Time, u32, Vec<f64>)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// A client repeats a request that was rejected or failed.
    ClientRetry {
        cell: usize,
        client_retries: u32,
    },
    AttemptEnd {
        attempt: usize,
    },
    Tick,
    /// A site is lost or returns; `is_final` marks its last return.
    SiteChange {
        loss: usize,
        is_lost: bool,
        is_final: bool,
    },
}

/// A request whose current attempt is in flight.
#[derive(Clone, Debug)]
struct InFlightAttempt {
    id: u64,
    gateway: usize,
    host: usize,
    cell: usize,
    allowed_sites: SiteSet,
    outcome: Outcome,
    sent_at: Time,
    received_at: Time,
    attempt_index: u32,
    client_retries: u32,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    now: Time,
    hosts: Vec<Host>,
    gateways: Vec<Gateway>,
    /// Queue delay of each host, as last reported.
    reported_delays: Vec<Span>,
    in_flight: Vec<Option<InFlightAttempt>>,
    free_slots: Vec<usize>,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    requests: u64,
    arrival_rng: Rng,
    rng: Rng,
    result: ScenarioResult,
}

/// Simulates a scenario from start to end. The same scenario and seed give the same result.
pub fn run_scenario(scenario: &Scenario) -> ScenarioResult {
    let mut simulation = Simulation::new(scenario);
    while let Some(Reverse((at, _, event))) = simulation.queue.pop() {
        if at >= scenario.duration {
            break;
        }
        simulation.now = at;
        simulation.handle_event(event);
    }
    simulation.result
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario) -> Simulation<'a> {
        let mut hosts = vec![];
        let capacities = scenario.plan.sites.iter().filter_map(|site| site.capacity);
        let mean = capacities.sum::<f64>() / scenario.plan.sites.len().max(1) as f64;
        for (site, planned) in scenario.plan.sites.iter().enumerate() {
            let capacity = planned.capacity.unwrap_or(0.0);
            let count = (scenario.hosts as f64 * capacity / mean.max(1e-9)).round().max(1.0);
            let rate = capacity / count;
            hosts.extend(
                (0..count as u64)
                    .map(|_| Host::new(site, rate, scenario.initial_capacity_fraction, scenario.warm_up)),
            );
        }
        let entries: Vec<_> =
            hosts.iter().enumerate().map(|(number, host)| host_entry(number, host)).collect();
        let plan = match scenario.failover_mode {
            FailoverMode::Plan => scenario.plan.clone(),
            FailoverMode::HostByHost => {
                FailoverPlan { shedding: scenario.plan.shedding.clone(), ..FailoverPlan::default() }
            }
        };
        let gateway = |gateway_index: u32| {
            let zone = plan
                .sites
                .get(gateway_index as usize % plan.sites.len().max(1))
                .map_or(0, |site| site.zones[0]);
            let fleet = GatewayIdentity { gateways: scenario.gateways, gateway_index, zone };
            let mut controller =
                FailoverController::new(plan.clone(), fleet, scenario.seed ^ u64::from(gateway_index), 0);
            controller.on_host_list(0, HostListKind::Full, &entries);
            Gateway::new(controller, hosts.len())
        };
        let gateways = (0..scenario.gateways).map(gateway).collect();
        let seconds = (scenario.duration / SECOND) as usize + 1;
        let (sites, cells) = (scenario.plan.sites.len(), scenario.traffic.cells.len());
        let second = SecondStats {
            sent: vec![0; sites],
            probes: vec![0; sites],
            received: vec![0; cells],
            served: vec![0; cells],
            shed: vec![0; cells],
            no_capacity: vec![0; cells],
            ..SecondStats::default()
        };
        let mut simulation = Simulation {
            scenario,
            now: 0,
            reported_delays: vec![0; hosts.len()],
            hosts,
            gateways,
            in_flight: vec![],
            free_slots: vec![],
            queue: BinaryHeap::new(),
            sequence: 0,
            requests: 0,
            arrival_rng: Rng::stream(scenario.seed, "arrivals", 0),
            rng: Rng::stream(scenario.seed, "chance", 0),
            result: ScenarioResult { seconds: vec![second; seconds], ..ScenarioResult::default() },
        };
        simulation.schedule(0, Event::Arrival);
        simulation.schedule(0, Event::Tick);
        for (number, loss) in scenario.site_losses.iter().enumerate() {
            simulation.schedule_loss(number, loss);
        }
        simulation
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    fn schedule_loss(&mut self, number: usize, loss: &SiteLoss) {
        let returned_at = loss.at + loss.duration;
        self.schedule(loss.at, Event::SiteChange { loss: number, is_lost: true, is_final: false });
        let flaps = if loss.return_mode == ReturnMode::Flapping { FLAP_COUNT } else { 0 };
        for flap in 0..flaps {
            let up = returned_at + 2 * FLAP_INTERVAL * flap;
            self.schedule(up, Event::SiteChange { loss: number, is_lost: false, is_final: false });
            self.schedule(
                up + FLAP_INTERVAL,
                Event::SiteChange { loss: number, is_lost: true, is_final: false },
            );
        }
        self.schedule(
            returned_at + 2 * FLAP_INTERVAL * flaps,
            Event::SiteChange { loss: number, is_lost: false, is_final: true },
        );
    }

    fn stats_at(&mut self, at: Time) -> &mut SecondStats {
        &mut self.result.seconds[(at / SECOND) as usize]
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                let delay = self.arrival_rng.exponential(SECOND as f64 / self.scenario.traffic.rate);
                self.schedule(self.now + delay as Span + 1, Event::Arrival);
                let cell = self.pick_cell();
                self.handle_request(cell, 0);
            }
            Event::ClientRetry { cell, client_retries } => self.handle_request(cell, client_retries),
            Event::AttemptEnd { attempt } => self.end_attempt(attempt),
            Event::Tick => self.tick_gateways(),
            Event::SiteChange { loss, is_lost, is_final } => self.change_site(loss, is_lost, is_final),
        }
    }

    fn pick_cell(&mut self) -> usize {
        let cells = &self.scenario.traffic.cells;
        let mut remaining = self.arrival_rng.unit() * cells.iter().sum::<f64>();
        let found = cells.iter().position(|weight| {
            remaining -= weight;
            remaining < 0.0
        });
        found.unwrap_or(0)
    }

    fn tick_gateways(&mut self) {
        self.schedule(self.now + TICK_INTERVAL, Event::Tick);
        let now = self.now;
        if now % LOAD_REPORT_INTERVAL == 0 {
            self.reported_delays = self.hosts.iter().map(|host| host.queue_delay(now)).collect();
        }
        let mut shedding_level = 0.0;
        for (number, gateway) in self.gateways.iter_mut().enumerate() {
            let update = gateway.tick(now);
            shedding_level += gateway.controller.shedding_level();
            let Some(update) = update else { continue };
            for transition in update.transitions {
                let log_line = transition.to_string();
                let Transition::Site { previous, current: status, .. } = transition else { continue };
                let site = self.scenario.plan.sites.iter().position(|site| site.name == status.name);
                let (gateway, site) = (number as u32, site.unwrap_or(0));
                let (current, traffic_fraction) = (status.health, status.traffic_fraction);
                self.result.health_changes.push(HealthChange {
                    at: now,
                    gateway,
                    site,
                    previous,
                    current,
                    traffic_fraction,
                    log_line,
                });
            }
            if let Some(fractions) = update.admission_fractions {
                self.result.admission_fractions.push((now, number as u32, fractions));
            }
        }
        let mean = shedding_level / self.gateways.len() as f64;
        self.stats_at(now).shedding_level = mean;
    }

    fn change_site(&mut self, number: usize, is_lost: bool, is_final: bool) {
        let loss = self.scenario.site_losses[number];
        let now = self.now;
        let mut entries = vec![];
        let site_hosts = self.hosts.iter_mut().enumerate().filter(|(_, host)| host.site == loss.site);
        for (nth, (id, host)) in site_hosts.enumerate() {
            let stays_down = loss.return_mode == ReturnMode::Half && nth % 2 == 1;
            host.failure = (is_lost || stays_down).then_some(loss.failure);
            let restarted =
                matches!(loss.return_mode, ReturnMode::Cold | ReturnMode::Half | ReturnMode::Flapping);
            if !is_lost && restarted {
                host.started_at = Some(now);
                entries.push(host_entry(id, host));
            }
            if is_final && loss.return_mode == ReturnMode::Slow {
                host.slowdown = 3.0;
            }
        }
        if !entries.is_empty() {
            self.gateways
                .iter_mut()
                .for_each(|gateway| gateway.controller.on_host_list(now, HostListKind::Delta, &entries));
        }
    }

    fn handle_request(&mut self, cell: usize, client_retries: u32) {
        let gateway = self.rng.below(self.gateways.len() as u64) as usize;
        let (now, plans) = (self.now, self.scenario.plan.shedding.plans.max(1));
        self.requests += 1;
        let id = self.requests;
        self.stats_at(now).received[cell] += 1;
        let handler = &mut self.gateways[gateway];
        handler.controller.on_request_received(cell / plans, cell % plans);
        if !handler.admits(cell, &mut self.rng) {
            self.stats_at(now).shed[cell] += 1;
            return self.schedule_client_retry(cell, client_retries);
        }
        let is_idempotent = !self.scenario.traffic.non_idempotent_cells.contains(&cell);
        let allowed_sites = handler.controller.allowed_sites(now, RequestId(id), is_idempotent);
        let attempt = InFlightAttempt {
            id,
            gateway,
            host: 0,
            cell,
            allowed_sites,
            outcome: Outcome::Ok,
            sent_at: now,
            received_at: now,
            attempt_index: 0,
            client_retries,
        };
        self.send_attempt(attempt);
    }

    fn schedule_client_retry(&mut self, cell: usize, client_retries: u32) {
        if client_retries < self.scenario.traffic.max_client_retries {
            let delay = self.rng.between(1.0, 3.0) * SECOND as f64;
            self.schedule(
                self.now + delay as Span,
                Event::ClientRetry { cell, client_retries: client_retries + 1 },
            );
        }
    }

    fn reject(&mut self, attempt: &InFlightAttempt, reason: RejectReason) {
        self.gateways[attempt.gateway].controller.on_request_rejected(reason);
        if matches!(reason, RejectReason::QueueTooLong | RejectReason::NoHost) {
            self.stats_at(attempt.received_at).no_capacity[attempt.cell] += 1;
        }
        self.schedule_client_retry(attempt.cell, attempt.client_retries);
    }

    fn send_attempt(&mut self, mut attempt: InFlightAttempt) {
        let now = self.now;
        let gateway = &self.gateways[attempt.gateway];
        let Some(host) =
            gateway.pick(now, attempt.allowed_sites, &self.hosts, &self.reported_delays, &mut self.rng)
        else {
            return self.reject(&attempt, RejectReason::NoHost);
        };
        if self.reported_delays[host] > MAX_QUEUE_DELAY {
            return self.reject(&attempt, RejectReason::QueueTooLong);
        }
        let site = self.hosts[host].site;
        let excluded = gateway.excludes(site);
        let crashes = self.hosts[host].crashes;
        let (outcome, elapsed) = self.hosts[host].serve(now, &self.scenario.fault_rates, &mut self.rng);
        let crashes = self.hosts[host].crashes - crashes;
        let second = self.stats_at(now);
        second.sent[site] += u32::from(outcome != Outcome::Rejected);
        second.probes[site] += u32::from(excluded);
        second.crashes += crashes;
        (attempt.host, attempt.outcome, attempt.sent_at) = (host, outcome, now);
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.in_flight.push(None);
            self.in_flight.len() - 1
        });
        self.in_flight[slot] = Some(attempt);
        self.schedule(now + elapsed, Event::AttemptEnd { attempt: slot });
    }

    fn end_attempt(&mut self, slot: usize) {
        let Some(mut attempt) = self.in_flight[slot].take() else { return };
        self.free_slots.push(slot);
        let now = self.now;
        let answered = matches!(attempt.outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        let ended = AttemptEnded {
            id: RequestId(attempt.id),
            attempt: attempt.attempt_index,
            host: HostId(attempt.host as u64),
            outcome: attempt.outcome,
            elapsed: now - attempt.sent_at,
            is_request_closed: attempt.outcome == Outcome::Ok,
            quota_used: None,
            actual_units: None,
            report: None,
        };
        let gateway = &mut self.gateways[attempt.gateway];
        gateway.controller.on_attempt_ended(now, &ended);
        gateway.record_outcome(now, attempt.host, answered);
        if attempt.outcome == Outcome::Ok {
            if now - attempt.received_at <= LATENCY_OBJECTIVE {
                self.stats_at(attempt.received_at).served[attempt.cell] += 1;
            }
            return;
        }
        let is_non_idempotent = self.scenario.traffic.non_idempotent_cells.contains(&attempt.cell);
        let may_have_executed =
            matches!(attempt.outcome, Outcome::Timeout | Outcome::ConnectionReset | Outcome::Error);
        if is_non_idempotent && may_have_executed {
            return self.reject(&attempt, RejectReason::NotIdempotent);
        }
        attempt.attempt_index += 1;
        if attempt.attempt_index >= MAX_ATTEMPTS || now - attempt.received_at > LATENCY_OBJECTIVE {
            return self.reject(&attempt, RejectReason::RetriesExhausted);
        }
        self.send_attempt(attempt);
    }
}
