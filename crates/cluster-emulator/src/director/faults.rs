//! What fails between machines and in processes: cuts, links, buildings, processes that stand still.

use super::{choose, Director, Step, LOOK};
use crate::stage::{Post, Signal, Stage};
use anyhow::Result;
use cluster_model::agent::Detection;
use cluster_model::observation::ObservationKind;
use cluster_model::rng::Rng;
use cluster_model::scenario::{Event, LinkDirection, LinkEnd, LinkFault, PartitionSide, Selector};
use cluster_model::MS;
use runtime::{Span, Time};

/// A slowed process stands still and runs once within this: short beside any time that a rule allows.
const SLICE: Span = 20 * MS;

/// Something that does not pass, and that the judge has to know of. Several events may be the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Gap {
    /// Between the clients and a gateway.
    Clients(u32),
    /// A gateway's process stands still.
    Still(u32),
    /// Between a gateway and discovery.
    News(u32),
    /// From a gateway to a host.
    Calls(u32, u32),
}

impl Gap {
    fn what(self, open: bool, blind: bool) -> ObservationKind {
        match self {
            Gap::Clients(gateway) => ObservationKind::ClientLinksCut { gateway, cut: open },
            Gap::Still(gateway) => ObservationKind::GatewaySuspended { gateway, suspended: open },
            Gap::News(gateway) => ObservationKind::DiscoveryLinkFault { gateway, active: open },
            Gap::Calls(gateway, host) => {
                ObservationKind::HostTrafficDelayed { gateway, host, delayed: open, send_time_unknown: blind }
            }
        }
    }
}

/// Links that are cut and whole by turns.
#[derive(Clone, Debug)]
pub(super) struct Flapping {
    pairs: Vec<(Post, Post)>,
    every: Span,
    until: Time,
}

impl<S: Stage> Director<S> {
    /// Something fails between machines or in processes of gateways.
    pub(super) fn fault(&mut self, now: Time, event: Event, rng: &mut Rng) -> Result<()> {
        match event {
            Event::Partition(a, b, span, reset) => {
                let (a, b) = (self.posts(&a), self.posts(&b));
                self.cut(now, &a, &b, span, reset)?;
            }
            Event::IsolateBuilding(building, span) => self.cut_off(now, building, span)?,
            Event::PowerLoss(building, span) => self.lose(now, building, span)?,
            Event::Links(gateways, end, fault, span) => {
                self.links(now, (&gateways, &end), &fault, span, rng)?;
            }
            Event::SuspendGateways(which, span) => {
                for gateway in self.gateways(&which, rng) {
                    self.stop(now, gateway, span);
                }
            }
            Event::FreezeGateways(which, span) => {
                for gateway in self.gateways(&which, rng) {
                    self.freeze(now, gateway, span);
                }
            }
            Event::SuspendHosts(which, span) => {
                for host in self.hosts(&which, rng) {
                    self.stop_host_for(now, host, span)?;
                }
            }
            Event::SuspendCounter(span) => self.stand(now, Post::Counter, span, Vec::new())?,
            Event::ClockOffset(which, ahead) => {
                let all: Vec<u32> = (0..self.site.gateways.len() as u32).collect();
                for gateway in choose(&which, all.len() as u32, all, |gateway| self.building(gateway), rng) {
                    self.site.stage.set_clock(gateway, ahead)?;
                }
            }
            Event::SlowGateways(which, times, span) => {
                for gateway in self.gateways(&which, rng) {
                    self.slow_gateway(now, gateway, times, span);
                }
            }
            // All else is no fault of this kind.
            _ => {}
        }
        Ok(())
    }

    pub(super) fn open_gaps(&mut self, gaps: &[Gap]) {
        let blind = !self.site.stage.knows_when_sent();
        for gap in gaps {
            let reasons = self.gaps.entry(*gap).or_default();
            *reasons += 1;
            if *reasons == 1 {
                self.site.see(gap.what(true, blind));
            }
        }
    }

    pub(super) fn close_gaps(&mut self, gaps: &[Gap]) {
        let blind = !self.site.stage.knows_when_sent();
        for gap in gaps {
            let Some(reasons) = self.gaps.get_mut(gap).filter(|reasons| **reasons > 0) else { continue };
            *reasons -= 1;
            if *reasons == 0 {
                self.site.see(gap.what(false, blind));
            }
        }
    }

    // ---- Cuts and buildings

    fn cut(&mut self, now: Time, a: &[Post], b: &[Post], span: Span, reset: bool) -> Result<()> {
        let cut = self.site.stage.cut(a, b, span, reset)?;
        let both = a.iter().flat_map(|a| b.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
        let gaps = self.gaps_of(both.filter(|(a, b)| a != b));
        self.open_gaps(&gaps);
        self.plan(now + span + self.site.stage.late_by(), Step::Heal(cut, gaps));
        Ok(())
    }

    /// Gaps that arise where nothing passes, or not all, from each first to each second.
    fn gaps_of(&self, pairs: impl Iterator<Item = (Post, Post)>) -> Vec<Gap> {
        let mut gaps: Vec<Gap> = Vec::new();
        for pair in pairs {
            match pair {
                (Post::Clients, Post::Gateway(gateway)) => gaps.push(Gap::Clients(gateway)),
                (Post::Gateway(one), Post::Gateway(other)) if one == other => gaps.push(Gap::News(one)),
                (Post::Gateway(gateway), Post::Host(place)) => {
                    let there = (0..).zip(&self.site.hosts).filter(|(_, host)| host.place == place);
                    gaps.extend(there.map(|(host, _)| Gap::Calls(gateway, host)));
                }
                _ => {}
            }
        }
        gaps
    }

    fn cut_off(&mut self, now: Time, building: u32, span: Span) -> Result<()> {
        let (inside, outside) = (self.posts(&PartitionSide::Building(building)), self.outside(building));
        self.cut(now, &inside, &outside, span, false)
    }

    /// Power goes first on the wires: nobody hears how the processes die.
    fn lose(&mut self, now: Time, building: u32, span: Span) -> Result<()> {
        self.cut_off(now, building, span)?;
        self.plan(now + span, Step::Drop(building));
        for post in self.posts(&PartitionSide::Building(building)) {
            match post {
                Post::Gateway(gateway) => {
                    self.site.gateways[gateway as usize].again = false;
                    self.signal(now, gateway, Signal::Kill);
                    self.plan_start(now + span, gateway);
                }
                Post::Host(place) => {
                    for host in self.in_service_at(place) {
                        self.stop_host(host, Detection::TimedOut);
                        self.plan(now + span, Step::HostBack(host));
                    }
                }
                Post::Counter => {
                    self.end_still(Post::Counter);
                    self.site.counter.lose(span);
                    self.site.stage.refuse(Post::Counter, true)?;
                    self.plan(now + span, Step::Forget);
                }
                Post::Clients => {}
            }
        }
        Ok(())
    }

    /// The counter's machine has power again.
    pub(super) fn start_counter(&mut self, now: Time) -> Result<()> {
        if self.site.counter.start_anew()? {
            self.counter_listens(now)?;
        }
        Ok(())
    }

    /// Until it listens, its links refuse.
    pub(super) fn counter_listens(&mut self, now: Time) -> Result<()> {
        if self.site.counter.listens() {
            self.site.stage.refuse(Post::Counter, false)?;
        } else {
            self.plan(now + LOOK, Step::CounterListens);
        }
        Ok(())
    }

    /// The front has given up its connections to the machines of a building that was lost. Without that it would
    /// write requests to processes that are no more, and nobody could tell what became of them.
    pub(super) fn drop_connections(&mut self, building: u32) -> Result<()> {
        let posts = self.posts(&PartitionSide::Building(building)).into_iter();
        let gateways = posts.filter(|post| matches!(post, Post::Gateway(_)));
        let pairs: Vec<(Post, Post)> = gateways.map(|gateway| (Post::Clients, gateway)).collect();
        Ok(self.site.stage.reset_links(&pairs)?)
    }

    fn in_service_at(&self, place: u32) -> Vec<u32> {
        let there = |host: &u32| self.site.hosts[*host as usize].place == place;
        self.site.in_service().into_iter().filter(there).collect()
    }

    /// All that is not in a building.
    fn outside(&self, building: u32) -> Vec<Post> {
        let others = (1..=self.site.scenario.site.buildings).filter(|other| *other != building);
        others.flat_map(|other| self.posts(&PartitionSide::Building(other))).chain([Post::Clients]).collect()
    }

    // ---- Links

    fn links(
        &mut self,
        now: Time,
        (gateways, end): (&Selector, &LinkEnd),
        fault: &LinkFault,
        span: Span,
        rng: &mut Rng,
    ) -> Result<()> {
        // Links are there whether or not a process is.
        let all: Vec<u32> = (0..self.site.gateways.len() as u32).collect();
        let gateways = choose(gateways, all.len() as u32, all, |gateway| self.building(gateway), rng);
        let pairs = self.pairs(&gateways, end, rng);
        let gaps = self.gaps_of(pairs.iter().copied());
        self.open_gaps(&gaps);
        match fault {
            LinkFault::Reset => self.site.stage.reset_links(&pairs)?,
            LinkFault::Flap(every) => {
                self.flap(now, Flapping { pairs, every: *every, until: now + span })?;
            }
            lasting => self.site.stage.fail_links(&pairs, lasting, span)?,
        }
        // What is on its way when a delay ends keeps its time.
        let underway = if let LinkFault::Delay(_, most) = fault { *most } else { 0 };
        self.plan(now + span + underway + self.site.stage.late_by(), Step::Whole(gaps));
        Ok(())
    }

    /// Who opens connections to whom on these links.
    fn pairs(&self, gateways: &[u32], end: &LinkEnd, rng: &mut Rng) -> Vec<(Post, Post)> {
        let gateways = gateways.iter().map(|gateway| Post::Gateway(*gateway));
        match end {
            LinkEnd::Clients => gateways.map(|gateway| (Post::Clients, gateway)).collect(),
            LinkEnd::Counter => gateways.map(|gateway| (gateway, Post::Counter)).collect(),
            // Each has its agent on its own machine.
            LinkEnd::Discovery => gateways.map(|gateway| (gateway, gateway)).collect(),
            LinkEnd::Hosts(which) => {
                let hosts = self.hosts(which, rng);
                let mut places: Vec<u32> =
                    hosts.into_iter().map(|host| self.site.hosts[host as usize].place).collect();
                places.sort_unstable();
                places.dedup();
                let to_all = |gateway| places.iter().map(move |place| (gateway, Post::Host(*place)));
                gateways.flat_map(to_all).collect()
            }
        }
    }

    /// Cuts them once more, if there is time left.
    pub(super) fn flap(&mut self, now: Time, flapping: Flapping) -> Result<()> {
        if now >= flapping.until {
            return Ok(());
        }
        let span = flapping.every.min(flapping.until - now);
        self.site.stage.fail_links(&flapping.pairs, &LinkFault::Blackhole(LinkDirection::Both), span)?;
        self.plan(now.saturating_add(flapping.every.saturating_mul(2)), Step::Flap(flapping));
        Ok(())
    }

    // ---- Processes

    /// Lets a gateway's process stand still for so long.
    fn stop(&mut self, now: Time, gateway: u32, span: Span) {
        let Some(incarnation) = self.site.gateways[gateway as usize].up else { return };
        self.open_gaps(&[Gap::Still(gateway)]);
        self.hold(gateway);
        self.plan(now + span, Step::GoOn(gateway, incarnation, true));
    }

    /// Lets a gateway's whole machine stand still for so long: when it goes on it does not know of that time.
    fn freeze(&mut self, now: Time, gateway: u32, span: Span) {
        let Some(incarnation) = self.site.gateways[gateway as usize].up else { return };
        self.open_gaps(&[Gap::Still(gateway)]);
        self.hold(gateway);
        self.plan(now + span, Step::Thaw(gateway, incarnation, span));
    }

    pub(super) fn thaw(&mut self, gateway: u32, incarnation: u32, span: Span) -> Result<()> {
        if self.site.gateways[gateway as usize].up == Some(incarnation) {
            self.site.stage.clock_stood_still(gateway, span)?;
        }
        self.go_on(gateway, incarnation, true);
        Ok(())
    }

    /// Lets a host's process stand still, and all work in it.
    fn stop_host_for(&mut self, now: Time, host: u32, span: Span) -> Result<()> {
        let post = Post::Host(self.site.hosts[host as usize].place);
        let gateways = 0..self.site.gateways.len() as u32;
        self.on_host(host, |host| host.pause(now + span));
        self.stand(now, post, span, gateways.map(|gateway| Gap::Calls(gateway, host)).collect())
    }

    /// Lets a stand-in's process stand still for so long.
    fn stand(&mut self, now: Time, post: Post, span: Span, gaps: Vec<Gap>) -> Result<()> {
        self.open_gaps(&gaps);
        let reasons = self.still.entry(post).or_default();
        *reasons += 1;
        if *reasons == 1 {
            self.site.stage.stand_still(post, true)?;
        }
        self.plan(now + span, Step::Runs(post, gaps));
        Ok(())
    }

    /// One reason less for a stand-in to stand still.
    pub(super) fn runs(&mut self, post: Post, gaps: &[Gap]) -> Result<()> {
        self.close_gaps(gaps);
        let Some(reasons) = self.still.get_mut(&post).filter(|reasons| **reasons > 0) else { return Ok(()) };
        *reasons -= 1;
        if *reasons == 0 {
            self.site.stage.stand_still(post, false)?;
        }
        Ok(())
    }

    /// A stand-in's process is no more: nothing of it stands still.
    pub(super) fn end_still(&mut self, post: Post) {
        if self.still.remove(&post).is_some_and(|reasons| reasons > 0) {
            if let Err(error) = self.site.stage.stand_still(post, false) {
                self.troubles.push(format!("{post:?}: {error}"));
            }
        }
    }

    /// Lets it run one part of so many of the time. Two reasons that each stop it in slices of their own would leave
    /// nothing between, so the worst counts, as with hosts.
    fn slow_gateway(&mut self, now: Time, gateway: u32, times: f64, span: Span) {
        let post = &mut self.site.gateways[gateway as usize];
        let Some(incarnation) = post.up else { return };
        let is_sliced = post.slowness(now) > 1.0;
        post.slow.push((times, now + span));
        if !is_sliced {
            self.slice(now, gateway, incarnation);
        }
    }

    pub(super) fn slice(&mut self, now: Time, gateway: u32, incarnation: u32) {
        let post = &self.site.gateways[gateway as usize];
        let still = (SLICE as f64 * (1.0 - 1.0 / post.slowness(now))) as Span;
        if still == 0 || post.up != Some(incarnation) {
            return;
        }
        self.hold(gateway);
        self.plan(now + still, Step::GoOn(gateway, incarnation, false));
        self.plan(now + SLICE, Step::Slice(gateway, incarnation));
    }

    /// One more reason for a process to stand still.
    fn hold(&mut self, gateway: u32) {
        let reasons = &mut self.site.gateways[gateway as usize].stops;
        *reasons += 1;
        if *reasons == 1 {
            self.site.stage.signal(gateway, Signal::Stop);
        }
    }

    /// One reason less; `told`: the judge knows of it.
    pub(super) fn go_on(&mut self, gateway: u32, incarnation: u32, told: bool) {
        if told {
            self.close_gaps(&[Gap::Still(gateway)]);
        }
        let post = &mut self.site.gateways[gateway as usize];
        // Another life of it stands still for reasons of its own.
        if post.up != Some(incarnation) || post.stops == 0 {
            return;
        }
        post.stops -= 1;
        if post.stops == 0 {
            self.site.stage.signal(gateway, Signal::Continue);
        }
    }
}
