//! Faults of the network, of buildings and of processes: partitions, link faults, power loss, suspended processes.

use super::{select_targets, FaultInjector, Step, POLL_INTERVAL};
use crate::backend::{Backend, MachineRole, Signal};
use anyhow::Result;
use cluster_model::agent::Detection;
use cluster_model::observation::ObservationKind;
use cluster_model::rng::Rng;
use cluster_model::scenario::{Event, LinkDirection, LinkEnd, LinkFault, PartitionSide, Selector};
use cluster_model::MS;
use runtime::{Span, Time};

/// A slowed process is suspended and resumed once within this time, which is short against each time in the rules.
const TIME_SLICE: Span = 20 * MS;

/// A fault that the invariant checker must know of, since it delays or hides traffic. Several events may cause it at
/// once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ObservabilityGap {
    /// Between the clients and a gateway.
    ClientLinks(u32),
    /// A gateway's process is suspended.
    Suspended(u32),
    /// Between a gateway and discovery.
    Discovery(u32),
    /// From a gateway to a host.
    HostTraffic(u32, u32),
}

impl ObservabilityGap {
    fn observation(self, open: bool, send_time_unknown: bool) -> ObservationKind {
        match self {
            ObservabilityGap::ClientLinks(gateway) => ObservationKind::ClientLinksCut { gateway, cut: open },
            ObservabilityGap::Suspended(gateway) => {
                ObservationKind::GatewaySuspended { gateway, suspended: open }
            }
            ObservabilityGap::Discovery(gateway) => {
                ObservationKind::DiscoveryLinkFault { gateway, active: open }
            }
            ObservabilityGap::HostTraffic(gateway, host) => {
                ObservationKind::HostTrafficDelayed { gateway, host, delayed: open, send_time_unknown }
            }
        }
    }
}

/// Links that alternate between cut and working.
#[derive(Clone, Debug)]
pub(super) struct Flapping {
    pairs: Vec<(MachineRole, MachineRole)>,
    every: Span,
    until: Time,
}

impl<S: Backend> FaultInjector<S> {
    /// Starts a fault of the network or of processes.
    pub(super) fn start_fault(&mut self, now: Time, event: Event, rng: &mut Rng) -> Result<()> {
        match event {
            Event::Partition(a, b, span, reset) => {
                let (a, b) = (self.roles_on(&a), self.roles_on(&b));
                self.partition(now, &a, &b, span, reset)?;
            }
            Event::IsolateBuilding(building, span) => self.isolate_building(now, building, span)?,
            Event::PowerLoss(building, span) => self.power_off_building(now, building, span)?,
            Event::Links(gateways, end, fault, span) => {
                self.inject_link_fault(now, (&gateways, &end), &fault, span, rng)?;
            }
            Event::SuspendGateways(selector, span) => {
                for gateway in self.select_gateways(&selector, rng) {
                    self.suspend_gateway(now, gateway, span);
                }
            }
            Event::FreezeGateways(selector, span) => {
                for gateway in self.select_gateways(&selector, rng) {
                    self.freeze_gateway(now, gateway, span);
                }
            }
            Event::SuspendHosts(selector, span) => {
                for host in self.select_hosts(&selector, rng) {
                    self.suspend_host(now, host, span)?;
                }
            }
            Event::SuspendCounter(span) => {
                self.suspend_service(now, MachineRole::Counter, span, Vec::new())?
            }
            Event::ClockOffset(selector, ahead) => {
                let all: Vec<u32> = (0..self.site.gateways.len() as u32).collect();
                for gateway in
                    select_targets(&selector, all.len() as u32, all, |gateway| self.building(gateway), rng)
                {
                    self.site.backend.set_clock(gateway, ahead)?;
                }
            }
            Event::SlowGateways(selector, factor, span) => {
                for gateway in self.select_gateways(&selector, rng) {
                    self.slow_gateway(now, gateway, factor, span);
                }
            }
            // Other events are handled by `start_event`.
            _ => {}
        }
        Ok(())
    }

    pub(super) fn open_gaps(&mut self, gaps: &[ObservabilityGap]) {
        let send_time_unknown = !self.site.backend.knows_send_times();
        for gap in gaps {
            let causes = self.gap_counts.entry(*gap).or_default();
            *causes += 1;
            if *causes == 1 {
                self.site.see(gap.observation(true, send_time_unknown));
            }
        }
    }

    pub(super) fn close_gaps(&mut self, gaps: &[ObservabilityGap]) {
        let send_time_unknown = !self.site.backend.knows_send_times();
        for gap in gaps {
            let Some(causes) = self.gap_counts.get_mut(gap).filter(|causes| **causes > 0) else { continue };
            *causes -= 1;
            if *causes == 0 {
                self.site.see(gap.observation(false, send_time_unknown));
            }
        }
    }

    // ---- Partitions and buildings

    fn partition(
        &mut self,
        now: Time,
        a: &[MachineRole],
        b: &[MachineRole],
        span: Span,
        reset: bool,
    ) -> Result<()> {
        let partition = self.site.backend.partition(a, b, span, reset)?;
        let both = a.iter().flat_map(|a| b.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
        let gaps = self.gaps_between(both.filter(|(a, b)| a != b));
        self.open_gaps(&gaps);
        self.schedule(now + span + self.site.backend.max_fault_delay(), Step::Heal(partition, gaps));
        Ok(())
    }

    /// Returns the observability gaps caused by a fault from the first to the second machine of each pair.
    fn gaps_between(&self, pairs: impl Iterator<Item = (MachineRole, MachineRole)>) -> Vec<ObservabilityGap> {
        let mut gaps: Vec<ObservabilityGap> = Vec::new();
        for pair in pairs {
            match pair {
                (MachineRole::Clients, MachineRole::Gateway(gateway)) => {
                    gaps.push(ObservabilityGap::ClientLinks(gateway))
                }
                (MachineRole::Gateway(one), MachineRole::Gateway(other)) if one == other => {
                    gaps.push(ObservabilityGap::Discovery(one))
                }
                (MachineRole::Gateway(gateway), MachineRole::Host(place)) => {
                    let matching = (0..).zip(&self.site.hosts).filter(|(_, host)| host.place == place);
                    gaps.extend(matching.map(|(host, _)| ObservabilityGap::HostTraffic(gateway, host)));
                }
                _ => {}
            }
        }
        gaps
    }

    fn isolate_building(&mut self, now: Time, building: u32, span: Span) -> Result<()> {
        let (inside, outside) =
            (self.roles_on(&PartitionSide::Building(building)), self.roles_outside(building));
        self.partition(now, &inside, &outside, span, false)
    }

    /// Cuts the network before ending the processes, so that no peer sees their connections close.
    fn power_off_building(&mut self, now: Time, building: u32, span: Span) -> Result<()> {
        self.isolate_building(now, building, span)?;
        self.schedule(now + span, Step::DropConnections(building));
        for role in self.roles_on(&PartitionSide::Building(building)) {
            match role {
                MachineRole::Gateway(gateway) => {
                    self.site.gateways[gateway as usize].again = false;
                    self.signal(now, gateway, Signal::Kill);
                    self.schedule_gateway_start(now + span, gateway);
                }
                MachineRole::Host(place) => {
                    for host in self.in_service_at(place) {
                        self.remove_host(host, Detection::TimedOut);
                        self.schedule(now + span, Step::RestartHost(host));
                    }
                }
                MachineRole::Counter => {
                    self.clear_suspension(MachineRole::Counter);
                    self.site.counter.power_off(span);
                    self.site.backend.set_refusing(MachineRole::Counter, true)?;
                    self.schedule(now + span, Step::RestartCounter);
                }
                MachineRole::Clients => {}
            }
        }
        Ok(())
    }

    /// Restarts the counter once its machine has power again.
    pub(super) fn restart_counter(&mut self, now: Time) -> Result<()> {
        if self.site.counter.restart()? {
            self.await_counter(now)?;
        }
        Ok(())
    }

    /// Lets links to the counter refuse connections until it listens.
    pub(super) fn await_counter(&mut self, now: Time) -> Result<()> {
        if self.site.counter.listens() {
            self.site.backend.set_refusing(MachineRole::Counter, false)?;
        } else {
            self.schedule(now + POLL_INTERVAL, Step::AwaitCounter);
        }
        Ok(())
    }

    /// Resets client connections to the gateways of a building that lost power. Otherwise clients would send requests to
    /// ended processes, with an unknown outcome.
    pub(super) fn drop_connections(&mut self, building: u32) -> Result<()> {
        let roles = self.roles_on(&PartitionSide::Building(building)).into_iter();
        let gateways = roles.filter(|role| matches!(role, MachineRole::Gateway(_)));
        let pairs: Vec<(MachineRole, MachineRole)> =
            gateways.map(|gateway| (MachineRole::Clients, gateway)).collect();
        Ok(self.site.backend.reset_links(&pairs)?)
    }

    fn in_service_at(&self, place: u32) -> Vec<u32> {
        let matching = |host: &u32| self.site.hosts[*host as usize].place == place;
        self.site.in_service().into_iter().filter(matching).collect()
    }

    /// Returns the machines outside a building, with the clients.
    fn roles_outside(&self, building: u32) -> Vec<MachineRole> {
        let others = (1..=self.site.scenario.site.buildings).filter(|other| *other != building);
        others
            .flat_map(|other| self.roles_on(&PartitionSide::Building(other)))
            .chain([MachineRole::Clients])
            .collect()
    }

    // ---- Links

    fn inject_link_fault(
        &mut self,
        now: Time,
        (gateways, end): (&Selector, &LinkEnd),
        fault: &LinkFault,
        span: Span,
        rng: &mut Rng,
    ) -> Result<()> {
        // Links exist also while the process of a gateway is down.
        let all: Vec<u32> = (0..self.site.gateways.len() as u32).collect();
        let gateways = select_targets(gateways, all.len() as u32, all, |gateway| self.building(gateway), rng);
        let pairs = self.link_pairs(&gateways, end, rng);
        let gaps = self.gaps_between(pairs.iter().copied());
        self.open_gaps(&gaps);
        match fault {
            LinkFault::Reset => self.site.backend.reset_links(&pairs)?,
            LinkFault::Flap(every) => {
                self.flap(now, Flapping { pairs, every: *every, until: now + span })?;
            }
            fault => self.site.backend.start_link_fault(&pairs, fault, span)?,
        }
        // Bytes in flight when a delay ends keep their delay.
        let in_flight = if let LinkFault::Delay(_, most) = fault { *most } else { 0 };
        self.schedule(now + span + in_flight + self.site.backend.max_fault_delay(), Step::CloseGaps(gaps));
        Ok(())
    }

    /// Returns the connecting and the accepting machine of each link.
    fn link_pairs(&self, gateways: &[u32], end: &LinkEnd, rng: &mut Rng) -> Vec<(MachineRole, MachineRole)> {
        let gateways = gateways.iter().map(|gateway| MachineRole::Gateway(*gateway));
        match end {
            LinkEnd::Clients => gateways.map(|gateway| (MachineRole::Clients, gateway)).collect(),
            LinkEnd::Counter => gateways.map(|gateway| (gateway, MachineRole::Counter)).collect(),
            // The discovery agent runs on the gateway's machine.
            LinkEnd::Discovery => gateways.map(|gateway| (gateway, gateway)).collect(),
            LinkEnd::Hosts(selector) => {
                let hosts = self.select_hosts(selector, rng);
                let mut places: Vec<u32> =
                    hosts.into_iter().map(|host| self.site.hosts[host as usize].place).collect();
                places.sort_unstable();
                places.dedup();
                let to_all = |gateway| places.iter().map(move |place| (gateway, MachineRole::Host(*place)));
                gateways.flat_map(to_all).collect()
            }
        }
    }

    /// Cuts flapping links again unless the fault has ended.
    pub(super) fn flap(&mut self, now: Time, flapping: Flapping) -> Result<()> {
        if now >= flapping.until {
            return Ok(());
        }
        let span = flapping.every.min(flapping.until - now);
        self.site.backend.start_link_fault(
            &flapping.pairs,
            &LinkFault::Blackhole(LinkDirection::Both),
            span,
        )?;
        self.schedule(now.saturating_add(flapping.every.saturating_mul(2)), Step::Flap(flapping));
        Ok(())
    }

    // ---- Processes

    /// Suspends a gateway's process.
    fn suspend_gateway(&mut self, now: Time, gateway: u32, span: Span) {
        let Some(incarnation) = self.site.gateways[gateway as usize].up else { return };
        self.open_gaps(&[ObservabilityGap::Suspended(gateway)]);
        self.add_suspension(gateway);
        self.schedule(now + span, Step::ResumeGateway(gateway, incarnation, true));
    }

    /// Suspends a gateway's machine with its clock, so that the gateway does not notice the lost time.
    fn freeze_gateway(&mut self, now: Time, gateway: u32, span: Span) {
        let Some(incarnation) = self.site.gateways[gateway as usize].up else { return };
        self.open_gaps(&[ObservabilityGap::Suspended(gateway)]);
        self.add_suspension(gateway);
        self.schedule(now + span, Step::ThawGateway(gateway, incarnation, span));
    }

    pub(super) fn thaw_gateway(&mut self, gateway: u32, incarnation: u32, span: Span) -> Result<()> {
        if self.site.gateways[gateway as usize].up == Some(incarnation) {
            self.site.backend.exclude_pause_from_clock(gateway, span)?;
        }
        self.remove_suspension(gateway, incarnation, true);
        Ok(())
    }

    /// Suspends a host's process with all work in it.
    fn suspend_host(&mut self, now: Time, host: u32, span: Span) -> Result<()> {
        let role = MachineRole::Host(self.site.hosts[host as usize].place);
        let gateways = 0..self.site.gateways.len() as u32;
        self.with_host(host, |host| host.pause(now + span));
        self.suspend_service(
            now,
            role,
            span,
            gateways.map(|gateway| ObservabilityGap::HostTraffic(gateway, host)).collect(),
        )
    }

    /// Suspends the process of a fake service.
    fn suspend_service(
        &mut self,
        now: Time,
        role: MachineRole,
        span: Span,
        gaps: Vec<ObservabilityGap>,
    ) -> Result<()> {
        self.open_gaps(&gaps);
        let causes = self.suspensions.entry(role).or_default();
        *causes += 1;
        if *causes == 1 {
            self.site.backend.set_suspended(role, true)?;
        }
        self.schedule(now + span, Step::ResumeService(role, gaps));
        Ok(())
    }

    /// Removes one suspension of a fake service.
    pub(super) fn resume_service(&mut self, role: MachineRole, gaps: &[ObservabilityGap]) -> Result<()> {
        self.close_gaps(gaps);
        let Some(causes) = self.suspensions.get_mut(&role).filter(|causes| **causes > 0) else {
            return Ok(());
        };
        *causes -= 1;
        if *causes == 0 {
            self.site.backend.set_suspended(role, false)?;
        }
        Ok(())
    }

    /// Removes all suspensions of a fake service whose process has ended.
    pub(super) fn clear_suspension(&mut self, role: MachineRole) {
        if self.suspensions.remove(&role).is_some_and(|causes| causes > 0) {
            if let Err(error) = self.site.backend.set_suspended(role, false) {
                self.errors.push(format!("{role:?}: {error}"));
            }
        }
    }

    /// Slows a gateway: it runs for 1/`factor` of the time. Overlapping slowdowns take the largest factor, as with hosts,
    /// since separate suspension slices could leave no time to run.
    fn slow_gateway(&mut self, now: Time, gateway: u32, factor: f64, span: Span) {
        let state = &mut self.site.gateways[gateway as usize];
        let Some(incarnation) = state.up else { return };
        let is_slowed = state.slowness(now) > 1.0;
        state.slow.push((factor, now + span));
        if !is_slowed {
            self.suspend_slice(now, gateway, incarnation);
        }
    }

    pub(super) fn suspend_slice(&mut self, now: Time, gateway: u32, incarnation: u32) {
        let state = &self.site.gateways[gateway as usize];
        let suspended = (TIME_SLICE as f64 * (1.0 - 1.0 / state.slowness(now))) as Span;
        if suspended == 0 || state.up != Some(incarnation) {
            return;
        }
        self.add_suspension(gateway);
        self.schedule(now + suspended, Step::ResumeGateway(gateway, incarnation, false));
        self.schedule(now + TIME_SLICE, Step::SuspendSlice(gateway, incarnation));
    }

    /// Adds a suspension of a gateway; the first one stops its process.
    fn add_suspension(&mut self, gateway: u32) {
        let causes = &mut self.site.gateways[gateway as usize].stops;
        *causes += 1;
        if *causes == 1 {
            self.site.backend.signal(gateway, Signal::Stop);
        }
    }

    /// Removes a suspension of a gateway; `notified`: the invariant checker was notified of it.
    pub(super) fn remove_suspension(&mut self, gateway: u32, incarnation: u32, notified: bool) {
        if notified {
            self.close_gaps(&[ObservabilityGap::Suspended(gateway)]);
        }
        let state = &mut self.site.gateways[gateway as usize];
        // Suspensions of an earlier incarnation do not count.
        if state.up != Some(incarnation) || state.stops == 0 {
            return;
        }
        state.stops -= 1;
        if state.stops == 0 {
            self.site.backend.signal(gateway, Signal::Continue);
        }
    }
}
