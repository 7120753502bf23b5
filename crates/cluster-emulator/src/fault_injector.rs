//! Injects the faults of a scenario into a site: starts each event at its time or trigger and schedules the steps that
//! follow from it.

mod faults;

use crate::backend::{Backend, MachineRole, Signal};
use crate::site::SiteOf;
use crate::triggers::PendingTriggers;
use anyhow::Result;
use cluster_model::agent::Detection;
use cluster_model::observation::{Lifecycle, Observation, ObservationKind};
use cluster_model::rng::Rng;
use cluster_model::scenario::{Event, PartitionSide, Selector};
use cluster_model::{MS, SECOND};
use faults::{Flapping, ObservabilityGap};
use runtime::{Span, Time};
use std::collections::BTreeMap;

/// Interval between load samples of the hosts.
const SAMPLE_INTERVAL: Span = SECOND;
/// Interval between checks for ended processes.
const POLL_INTERVAL: Span = 20 * MS;
/// A planned restart sends SIGKILL after the longest deadline plus this time from SIGTERM.
const KILL_GRACE: Span = 700 * MS;
/// Time from the end of a gateway in a planned restart to its next start.
const RESTART_DELAY: Span = 500 * MS;
/// Time from the end of a host process to the start of another at the same addresses, which are free by then.
const ADDRESS_RELEASE_DELAY: Span = 20 * MS;

/// A scheduled step.
#[derive(Clone, Debug)]
enum Step {
    /// Lets the counter accept calls.
    OpenCounter,
    /// Starts the event with this index in the scenario.
    Event(usize),
    SampleHosts,
    PollProcesses,
    StartGateway(u32),
    /// Kills a gateway if this incarnation still runs after its shutdown period.
    KillGateway(u32, u32),
    /// Recomputes the slowdown of a host after one of its causes expires.
    UpdateSlowdown(u32),
    DrainHost(u32),
    /// Begins the planned restart of a gateway.
    RestartGateway(u32),
    RemoveHost(u32),
    RestartHost(u32),
    /// Adds a new host at the addresses of this one.
    ReplaceHost(u32),
    /// Ends a partition and closes its observability gaps.
    Heal(u64, Vec<ObservabilityGap>),
    /// Closes the observability gaps of a link fault that has ended.
    CloseGaps(Vec<ObservabilityGap>),
    /// Resets client connections to the gateways of a building whose power returns.
    DropConnections(u32),
    /// Checks whether a started gateway listens.
    AwaitGateway(u32),
    /// Cuts flapping links again.
    Flap(Flapping),
    /// Removes one suspension of a gateway incarnation; true: the invariant checker was notified of the suspension.
    ResumeGateway(u32, u32, bool),
    /// Removes one suspension of a gateway incarnation whose clock stopped for this time.
    ThawGateway(u32, u32, Span),
    /// Removes one suspension of a fake service and closes its observability gaps.
    ResumeService(MachineRole, Vec<ObservabilityGap>),
    /// Suspends a slowed gateway incarnation for its share of the next time slice.
    SuspendSlice(u32, u32),
    /// Restarts the counter with empty state.
    RestartCounter,
    /// Checks whether the restarted counter listens.
    AwaitCounter,
}

/// Injects the events of a scenario into a site.
pub struct FaultInjector<S: Backend> {
    /// The site that the events act on.
    pub site: SiteOf<S>,
    timers: BTreeMap<(Time, u64), Step>,
    next_sequence: u64,
    start: Time,
    /// Events that start on an observation or a log line.
    triggers: PendingTriggers,
    /// Number of active causes of each observability gap.
    gap_counts: BTreeMap<ObservabilityGap, u32>,
    /// Number of active suspensions of each fake service.
    suspensions: BTreeMap<MachineRole, u32>,
    /// Times and scenario indices of the events that have started.
    pub started_events: Vec<(Time, usize)>,
    /// Errors of gateway and counter processes, and of links.
    pub errors: Vec<String>,
    /// Gateways that reached their crash point, and when.
    pub crashed: Vec<(u32, Time)>,
}

impl<S: Backend> FaultInjector<S> {
    /// Creates an injector; event times of the scenario count from `start`.
    pub fn new(site: SiteOf<S>, start: Time) -> Self {
        let timed = site.scenario.events.iter().enumerate().filter(|(_, event)| event.trigger.is_none());
        let start_times: Vec<(usize, Time)> = timed.map(|(index, event)| (index, start + event.at)).collect();
        let triggers = PendingTriggers::new(&site.scenario, start);
        let mut injector = FaultInjector {
            site,
            timers: BTreeMap::new(),
            next_sequence: 0,
            start,
            triggers,
            gap_counts: BTreeMap::new(),
            suspensions: BTreeMap::new(),
            started_events: Vec::new(),
            errors: Vec::new(),
            crashed: Vec::new(),
        };
        injector.schedule(start, Step::OpenCounter);
        for (index, at) in start_times {
            injector.schedule(at, Step::Event(index));
        }
        let waiting = (0..).zip(&injector.site.gateways).filter(|(_, state)| state.up.is_none());
        let waiting: Vec<u32> = waiting.map(|(gateway, _)| gateway).collect();
        for gateway in waiting {
            injector.schedule_gateway_start(injector.site.backend.now(), gateway);
        }
        injector.schedule(start + SAMPLE_INTERVAL, Step::SampleHosts);
        injector.schedule(start, Step::PollProcesses);
        injector
    }

    /// Returns the time of the next timer.
    pub fn next_timer(&self) -> Time {
        self.timers.keys().next().map_or(Time::MAX, |(at, _)| *at)
    }

    /// Processes an observation; the events that it triggers start at once.
    pub fn observe(&mut self, observation: &Observation) {
        let now = self.site.backend.now();
        for index in self.triggers.observe(observation.at, &observation.kind) {
            self.schedule(now, Step::Event(index));
        }
    }

    /// Whether an event still waits for its trigger.
    pub fn has_pending_triggers(&self) -> bool {
        self.triggers.any_pending(self.site.backend.now())
    }

    /// Processes new log lines of gateways; the events that they trigger start at once.
    pub fn poll_logs(&mut self) {
        let now = self.site.backend.now();
        for (gateway, line) in self.site.backend.take_log_lines() {
            for index in self.triggers.log_line(now, gateway, &line) {
                self.schedule(now, Step::Event(index));
            }
        }
    }

    /// Returns the errors of the run, missed triggers included.
    pub fn finish(&mut self) -> Vec<String> {
        let missed = self.triggers.missed(self.start);
        std::mem::take(&mut self.errors).into_iter().chain(missed).collect()
    }

    /// Executes all expired timers.
    pub fn step(&mut self) -> Result<()> {
        let now = self.site.backend.now();
        while self.next_timer() <= now {
            let Some((_, step)) = self.timers.pop_first() else { break };
            self.execute(now, step)?;
        }
        Ok(())
    }

    fn schedule(&mut self, at: Time, step: Step) {
        self.timers.insert((at, self.next_sequence), step);
        self.next_sequence += 1;
    }

    fn execute(&mut self, now: Time, step: Step) -> Result<()> {
        match step {
            Step::OpenCounter => self.site.counter.open()?,
            Step::Event(index) => self.start_event(now, index)?,
            Step::SampleHosts => {
                self.sample_hosts();
                self.schedule(now + SAMPLE_INTERVAL, Step::SampleHosts);
            }
            Step::PollProcesses => {
                self.poll_processes(now);
                self.schedule(now + POLL_INTERVAL, Step::PollProcesses);
            }
            Step::StartGateway(gateway) => self.start_gateway(now, gateway)?,
            Step::KillGateway(gateway, incarnation) => {
                if self.site.gateways[gateway as usize].up == Some(incarnation) {
                    self.signal(now, gateway, Signal::Kill);
                }
            }
            Step::UpdateSlowdown(host) => self.update_slowdown(now, host),
            Step::DrainHost(host) => self.drain_host(now, host),
            Step::RestartGateway(gateway) => self.restart_gateway(now, gateway),
            Step::RemoveHost(host) => self.remove_host(host, Detection::Announced),
            Step::RestartHost(host) => {
                if self.site.hosts[host as usize].running.is_none() {
                    self.site.restart_host(host)?;
                    let role = MachineRole::Host(self.site.hosts[host as usize].place);
                    self.site.backend.set_refusing(role, false)?;
                }
            }
            Step::ReplaceHost(host) => {
                self.site.add_host(Some(host))?;
                let role = MachineRole::Host(self.site.hosts[host as usize].place);
                self.site.backend.set_refusing(role, false)?;
            }
            Step::Heal(cut, gaps) => {
                self.site.backend.heal(cut);
                self.close_gaps(&gaps);
            }
            Step::CloseGaps(gaps) => self.close_gaps(&gaps),
            Step::DropConnections(building) => self.drop_connections(building)?,
            Step::AwaitGateway(gateway) => self.await_gateway(now, gateway)?,
            Step::Flap(flapping) => self.flap(now, flapping)?,
            Step::ResumeGateway(gateway, incarnation, notified) => {
                self.remove_suspension(gateway, incarnation, notified)
            }
            Step::ThawGateway(gateway, incarnation, span) => self.thaw_gateway(gateway, incarnation, span)?,
            Step::ResumeService(role, gaps) => self.resume_service(role, &gaps)?,
            Step::SuspendSlice(gateway, incarnation) => self.suspend_slice(now, gateway, incarnation),
            Step::RestartCounter => self.restart_counter(now)?,
            Step::AwaitCounter => self.await_counter(now)?,
        }
        Ok(())
    }

    fn start_event(&mut self, now: Time, index: usize) -> Result<()> {
        let event = self.site.scenario.events[index].event.clone();
        self.started_events.push((now, index));
        self.site.see(ObservationKind::ScenarioEvent { text: event.to_string() });
        let mut rng = Rng::stream(self.site.seed, "event", index as u64);
        match event {
            Event::KillGateways(selector, outage) => {
                for gateway in self.select_gateways(&selector, &mut rng) {
                    // Cancels the restart of a planned stop in progress.
                    self.site.gateways[gateway as usize].again = false;
                    self.signal(now, gateway, Signal::Kill);
                    if let Some(outage) = outage {
                        self.schedule_gateway_start(now + outage, gateway);
                    }
                }
            }
            Event::RestartGateways(selector, over) => {
                let gateways = self.select_gateways(&selector, &mut rng);
                let each = over / gateways.len().max(1) as u64;
                for (n, gateway) in (0..).zip(gateways) {
                    match n * each {
                        0 => self.restart_gateway(now, gateway),
                        later => self.schedule(now + later, Step::RestartGateway(gateway)),
                    }
                }
            }
            Event::ReloadGateways(selector) => {
                for gateway in self.select_gateways(&selector, &mut rng) {
                    self.reload_gateway(now, gateway)?;
                }
            }
            // Clients get the traffic windows at their start.
            Event::Traffic(..) | Event::SkewTraffic(..) => {}
            Event::SlowHosts(selector, factor, span) => {
                for host in self.select_hosts(&selector, &mut rng) {
                    self.site.hosts[host as usize].slow.push((factor, now + span));
                    self.update_slowdown(now, host);
                    self.schedule(now + span, Step::UpdateSlowdown(host));
                }
            }
            Event::PauseHosts(selector, span) => {
                for host in self.select_hosts(&selector, &mut rng) {
                    self.with_host(host, |host| host.pause(now + span));
                }
            }
            Event::DrainHosts(selector, over, gone_after) => {
                let hosts = self.select_hosts(&selector, &mut rng);
                let all = hosts.len().max(1) as u64;
                for (n, host) in (0..).zip(hosts) {
                    let at = now + over / all * n;
                    self.schedule(at, Step::DrainHost(host));
                    self.schedule(at + gone_after, Step::RemoveHost(host));
                }
            }
            Event::KillHosts(selector, outage) => {
                for host in self.select_hosts(&selector, &mut rng) {
                    self.remove_host(host, Detection::TimedOut);
                    if let Some(outage) = outage {
                        self.schedule(now + outage, Step::RestartHost(host));
                    }
                }
            }
            Event::RestartHosts(selector) => {
                let hosts = self.select_hosts(&selector, &mut rng);
                hosts.iter().for_each(|host| self.stop_host_process(*host));
                // The delay counts from here, since ending all of them on a loaded machine may take longer than it.
                let restart_at = self.site.backend.now() + ADDRESS_RELEASE_DELAY;
                hosts.into_iter().for_each(|host| self.schedule(restart_at, Step::RestartHost(host)));
            }
            Event::AddHosts(count) => {
                for _ in 0..count {
                    self.site.add_host(None)?;
                }
            }
            Event::ReplaceHosts(selector, same_address) => {
                let hosts = self.select_hosts(&selector, &mut rng);
                for host in &hosts {
                    self.remove_host(*host, Detection::Announced);
                    if !same_address {
                        self.site.add_host(None)?;
                    }
                }
                let restart_at = self.site.backend.now() + ADDRESS_RELEASE_DELAY;
                let replaced = hosts.into_iter().filter(|_| same_address);
                replaced.for_each(|host| self.schedule(restart_at, Step::ReplaceHost(host)));
            }
            Event::ExpensiveRequests(class, share, factor, span) => {
                self.raise_request_cost(now, &class, share, factor, span)
            }
            Event::CorruptHostResponses(share, span) => {
                self.site.weather.garble = Some((share, now + span));
                self.with_all_hosts(|host| host.garble(share, now + span));
            }
            Event::RequestFaults(fault, share, selector, span) => {
                for host in self.select_hosts(&selector, &mut rng) {
                    self.with_host(host, |host| host.mishaps(fault, share, now + span));
                }
            }
            Event::StaleConnections(after, selector, span) => {
                for host in self.select_hosts(&selector, &mut rng) {
                    self.with_host(host, |host| host.stale(after, now + span));
                }
            }
            event @ (Event::Counter(..) | Event::CorruptCounterReplies(..)) => {
                self.site.counter.event(index, &event)?
            }
            event @ (Event::Partition(..)
            | Event::IsolateBuilding(..)
            | Event::PowerLoss(..)
            | Event::Links(..)
            | Event::SuspendGateways(..)
            | Event::FreezeGateways(..)
            | Event::SuspendHosts(..)
            | Event::SuspendCounter(..)
            | Event::ClockOffset(..)
            | Event::SlowGateways(..)) => self.start_fault(now, event, &mut rng)?,
            Event::Discovery(fault, span) => self.site.registry.fail(now, fault, span),
            Event::EarlyDisconnects(share, span) => self.site.clients.set_impatient(share, span),
        }
        Ok(())
    }

    /// Returns the building, numbered from 1, of a gateway or of the host machine with this number.
    fn building(&self, machine: u32) -> u32 {
        machine % self.site.scenario.site.buildings.max(1) + 1
    }

    // ---- Gateways

    /// Returns the selected gateways, of those that run.
    fn select_gateways(&self, selector: &Selector, rng: &mut Rng) -> Vec<u32> {
        let up = |gateway: &u32| self.site.gateways[*gateway as usize].up.is_some();
        let all = self.site.gateways.len() as u32;
        select_targets(selector, all, (0..all).filter(up).collect(), |gateway| self.building(gateway), rng)
    }

    fn start_gateway(&mut self, now: Time, gateway: u32) -> Result<()> {
        let state = &self.site.gateways[gateway as usize];
        match state.up {
            None => {
                self.site.start_gateway(gateway)?;
                if self.site.backend.refuses_until_ready(gateway) {
                    self.site.backend.set_refusing(MachineRole::Gateway(gateway), false)?;
                } else {
                    self.open_gaps(&[ObservabilityGap::ClientLinks(gateway)]);
                    self.schedule(now + POLL_INTERVAL, Step::AwaitGateway(gateway));
                }
            }
            // A killed process may still be ending.
            Some(_) if state.ending => self.schedule(now + POLL_INTERVAL, Step::StartGateway(gateway)),
            Some(_) => {}
        }
        Ok(())
    }

    /// Schedules the start of a gateway at a time plus its start jitter.
    fn schedule_gateway_start(&mut self, at: Time, gateway: u32) {
        self.schedule(at + self.site.start_delay(gateway), Step::StartGateway(gateway));
    }

    /// Waits until a gateway listens. Until then its links accept connections and break them, which is no error of the
    /// gateway.
    fn await_gateway(&mut self, now: Time, gateway: u32) -> Result<()> {
        let is_up = self.site.gateways[gateway as usize].up.is_some();
        if is_up && !self.site.backend.refuses_until_ready(gateway) {
            self.schedule(now + POLL_INTERVAL, Step::AwaitGateway(gateway));
            return Ok(());
        }
        self.close_gaps(&[ObservabilityGap::ClientLinks(gateway)]);
        if is_up {
            self.site.backend.set_refusing(MachineRole::Gateway(gateway), false)?;
        }
        Ok(())
    }

    fn signal(&mut self, now: Time, gateway: u32, signal: Signal) {
        if matches!(signal, Signal::Terminate | Signal::Kill) {
            self.site.see(ObservationKind::GatewaySignalled { gateway, kill: signal == Signal::Kill });
            self.site.gateways[gateway as usize].ending = true;
        }
        self.site.backend.signal(gateway, signal);
        if signal == Signal::Terminate {
            // The gateway accepts no more connections. A link would accept and then break them, which a client sees as
            // a lost request.
            self.refuse_connections(MachineRole::Gateway(gateway));
        }
        // A gateway that ends at once must not be a target of other events at this instant.
        self.note_exits(now);
    }

    fn restart_gateway(&mut self, now: Time, gateway: u32) {
        let longest_deadline =
            self.site.scenario.site.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let state = &mut self.site.gateways[gateway as usize];
        state.again = true;
        let Some(incarnation) = state.up else { return };
        self.site.clients.planned_stop(gateway);
        self.signal(now, gateway, Signal::Terminate);
        self.schedule(now + longest_deadline + KILL_GRACE, Step::KillGateway(gateway, incarnation));
    }

    fn reload_gateway(&mut self, now: Time, gateway: u32) -> Result<()> {
        self.site.move_agent(gateway)?;
        let incarnation = self.site.gateways[gateway as usize].up.unwrap_or(0);
        let document = self.site.document(gateway, incarnation, self.site.known(gateway).as_ref())?;
        self.site.backend.replace_document(gateway, &document)?;
        self.signal(now, gateway, Signal::Reload);
        Ok(())
    }

    /// Handles ended processes and hosts that crashed under overload.
    fn poll_processes(&mut self, now: Time) {
        self.note_exits(now);
        self.report_crashed_hosts();
        self.errors.extend(self.site.counter.take_errors());
    }

    fn note_exits(&mut self, now: Time) {
        let mut ended = Vec::new();
        for exit in self.site.backend.take_exits() {
            let gateway = exit.gateway;
            let state = &mut self.site.gateways[gateway as usize];
            if state.up != Some(exit.incarnation) {
                continue;
            }
            state.up = None;
            ended.push(MachineRole::Gateway(gateway));
            state.stops = 0;
            state.slow.clear();
            // A crash at its crash point counts as a kill by the scenario, unless the scenario has killed the gateway
            // at the same time.
            let restart_after = exit.restart_after.filter(|_| !state.ending || state.again);
            let expected = (state.ending || restart_after.is_some()) && exit.error.is_none();
            let restart_delay =
                restart_after.filter(|_| !state.again).or(state.again.then_some(RESTART_DELAY));
            if restart_after.is_some() {
                self.crashed.push((gateway, now));
                self.site.see(ObservationKind::GatewaySignalled { gateway, kill: true });
            }
            self.site.see(ObservationKind::GatewayDown { gateway, expected });
            if let Some(error) = exit.error {
                self.errors.push(format!("gateway {}: {error}", gateway + 1));
            }
            if let Some(delay) = restart_delay {
                self.schedule(now + delay, Step::StartGateway(gateway));
            }
        }
        ended.into_iter().for_each(|role| self.refuse_connections(role));
    }

    // ---- Hosts

    /// Returns the selected hosts; a share counts the hosts in service.
    fn select_hosts(&self, selector: &Selector, rng: &mut Rng) -> Vec<u32> {
        let in_service = self.site.in_service();
        let place = |host: u32| self.site.hosts[host as usize].place;
        select_targets(selector, in_service.len() as u32, in_service, |host| self.building(place(host)), rng)
    }

    fn with_host(&self, host: u32, act: impl Fn(&HostService<S>)) {
        if let Some(host) = &self.site.hosts[host as usize].running {
            act(host);
        }
    }

    fn with_all_hosts(&self, act: impl Fn(&HostService<S>)) {
        self.site.hosts.iter().filter_map(|host| host.running.as_ref()).for_each(act);
    }

    fn update_slowdown(&self, now: Time, host: u32) {
        let factor = self.site.hosts[host as usize].slowness(now);
        self.with_host(host, |host| host.slow(factor));
    }

    fn drain_host(&mut self, now: Time, host: u32) {
        if self.site.hosts[host as usize].running.is_some() {
            for index in self.triggers.host_drain(now, host) {
                self.schedule(now, Step::Event(index));
            }
            self.site.hosts[host as usize].draining = true;
            self.with_host(host, |host| host.drain());
            self.site.tell(host, Lifecycle::Draining, Detection::Announced);
        }
    }

    /// Ends the process of a host without notifying discovery.
    fn stop_host_process(&mut self, host: u32) {
        if let Some(running) = self.site.hosts[host as usize].running.take() {
            let role = MachineRole::Host(self.site.hosts[host as usize].place);
            self.clear_suspension(role);
            running.stop();
            self.refuse_connections(role);
        }
    }

    fn refuse_connections(&mut self, role: MachineRole) {
        if let Err(error) = self.site.backend.set_refusing(role, true) {
            self.errors.push(format!("the links to {role:?}: {error}"));
        }
    }

    fn remove_host(&mut self, host: u32, detection: Detection) {
        if self.site.hosts[host as usize].running.is_some() {
            self.stop_host_process(host);
            self.site.tell(host, Lifecycle::Removed, detection);
        }
    }

    /// Reports hosts that crashed under overload to discovery, which detects them by timeout.
    fn report_crashed_hosts(&mut self) {
        for number in 0..self.site.hosts.len() {
            let host = &mut self.site.hosts[number];
            if !host.missed && host.running.as_ref().is_some_and(HostService::<S>::fallen) {
                host.missed = true;
                self.site.tell(number as u32, Lifecycle::Removed, Detection::TimedOut);
            }
        }
    }

    fn sample_hosts(&self) {
        self.with_all_hosts(|host| host.sample());
    }

    fn raise_request_cost(&mut self, now: Time, class: &str, share: f64, factor: f64, span: Span) {
        let classes = &self.site.scenario.site.classes;
        let Some(class) = classes.iter().position(|known| known.name == class) else { return };
        self.site.weather.heavy.insert(class, (share, factor, now + span));
        self.with_all_hosts(|host| host.heavy(class, share, factor, now + span));
    }

    // ---- The network

    fn roles_on(&self, side: &PartitionSide) -> Vec<MachineRole> {
        let site = &self.site.scenario.site;
        let places = self.site.hosts.iter().map(|host| host.place);
        match side {
            PartitionSide::Building(number) => {
                let in_building = |machine: &u32| self.building(*machine) == *number;
                let mut roles: Vec<MachineRole> =
                    (0..site.gateways).filter(in_building).map(MachineRole::Gateway).collect();
                let mut places: Vec<u32> = places.filter(in_building).collect();
                places.sort_unstable();
                places.dedup();
                roles.extend(places.into_iter().map(MachineRole::Host));
                roles.extend((*number == site.counter.building).then_some(MachineRole::Counter));
                roles
            }
            PartitionSide::Gateway(number) => vec![MachineRole::Gateway(number - 1)],
            PartitionSide::Host(number) => {
                let place = self.site.hosts.get(*number as usize - 1).map(|host| host.place);
                place.map(MachineRole::Host).into_iter().collect()
            }
            PartitionSide::Counter => vec![MachineRole::Counter],
            PartitionSide::Clients => vec![MachineRole::Clients],
        }
    }
}

type HostService<S> = fake_services::host::HostStandIn<<S as Backend>::Env>;

/// Returns the selected members of `present`, numbered from 0. A share counts all `all` members, but only present ones are
/// drawn. Numbers in selectors and buildings count from 1.
pub(crate) fn select_targets(
    selector: &Selector,
    all: u32,
    mut present: Vec<u32>,
    building: impl Fn(u32) -> u32,
    rng: &mut Rng,
) -> Vec<u32> {
    match selector {
        Selector::All => present,
        Selector::Numbers(numbers) => {
            present.into_iter().filter(|number| numbers.contains(&(number + 1))).collect()
        }
        Selector::Building(selected) => {
            present.into_iter().filter(|number| building(*number) == *selected).collect()
        }
        Selector::Share(_) | Selector::Count(_) => {
            rng.shuffle(&mut present);
            present.truncate(selector.count(all) as usize);
            present.sort_unstable();
            present
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn selects_one_of_three_for_a_share_of_41_percent_depending_on_the_seed() {
        let draw = |seed| {
            let mut rng = Rng::stream(seed, "event", 0);
            select_targets(&Selector::Share(0.41), 3, vec![0, 1, 2], |_| 1, &mut rng)
        };
        assert!((0..20).all(|seed| draw(seed).len() == 1));
        assert_eq!(draw(7), draw(7));
        assert!((0..20).any(|seed| draw(seed) != draw(7)));
    }

    #[test]
    fn selects_only_present_members() {
        let mut rng = Rng::stream(1, "event", 0);
        assert_eq!(select_targets(&Selector::Numbers(vec![3, 1, 9]), 3, vec![0, 2], |_| 1, &mut rng), [0, 2]);
        assert_eq!(select_targets(&Selector::Building(2), 4, vec![0, 1, 3], |n| n % 2 + 1, &mut rng), [1, 3]);
        assert_eq!(select_targets(&Selector::Count(5), 3, vec![0, 2], |_| 1, &mut rng), [0, 2]);
        assert_eq!(select_targets(&Selector::All, 3, vec![], |_| 1, &mut rng), [0_u32; 0]);
    }
}
