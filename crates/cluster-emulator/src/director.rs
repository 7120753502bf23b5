//! What happens to a site and when: the events of the scenario, and what follows from them later.

mod faults;

use crate::moments::Moments;
use crate::site::SiteOf;
use crate::stage::{Post, Signal, Stage};
use anyhow::Result;
use cluster_model::agent::Detection;
use cluster_model::observation::{Lifecycle, Observation, ObservationKind};
use cluster_model::rng::Rng;
use cluster_model::scenario::{Event, PartitionSide, Selector};
use cluster_model::{MS, SECOND};
use faults::{Flapping, Gap};
use runtime::{Span, Time};
use std::collections::BTreeMap;

/// Loads are taken this often.
const SAMPLE: Span = SECOND;
/// Processes that have ended are looked for this often.
const LOOK: Span = 20 * MS;
/// SIGKILL comes no sooner than the longest deadline and this after SIGTERM.
const AFTER_DEADLINE: Span = 700 * MS;
/// A gateway that was stopped as planned is started again after this.
const CHANGEOVER: Span = 500 * MS;
/// A process that starts anew in the place of another is there after this: its addresses are free by then.
const ANEW: Span = 20 * MS;

/// What is to be done at its time.
#[derive(Clone, Debug)]
enum Step {
    /// The counter takes calls from now on.
    Open,
    /// The event at this place of the scenario.
    Event(usize),
    Sample,
    Look,
    StartGateway(u32),
    /// A gateway, in this process of it, has had its time to stop.
    KillGateway(u32, u32),
    /// A reason for which a host was slow is over.
    Slow(u32),
    Drain(u32),
    /// A gateway's planned restart.
    Restart(u32),
    Gone(u32),
    HostBack(u32),
    /// A new host comes at the addresses of this one.
    NewAt(u32),
    /// A cut, and the gaps that it made.
    Heal(u64, Vec<Gap>),
    /// Gaps of links that are whole again.
    Whole(Vec<Gap>),
    /// A building that was lost comes back: connections of clients to it are none.
    Drop(u32),
    /// A gateway that has been started may listen by now.
    Listens(u32),
    /// Links are cut again.
    Flap(Flapping),
    /// A gateway, in this process of it, has one reason less to stand still; true: the judge was told of it.
    GoOn(u32, u32, bool),
    /// A gateway, in this process of it, has one reason less to stand still, after its clock stood still for so long.
    Thaw(u32, u32, Span),
    /// A stand-in has one reason less to stand still.
    Runs(Post, Vec<Gap>),
    /// A slowed gateway, in this process of it, stands still again.
    Slice(u32, u32),
    /// The counter comes back and knows nothing.
    Forget,
    /// Its process has been started, and may listen by now.
    CounterListens,
}

/// Plays a scenario's events on a site.
pub struct Director<S: Stage> {
    /// The site.
    pub site: SiteOf<S>,
    due: BTreeMap<(Time, u64), Step>,
    next: u64,
    start: Time,
    /// Events that begin by something seen.
    moments: Moments,
    /// How many reasons there are for each.
    gaps: BTreeMap<Gap, u32>,
    /// How many reasons there are for a stand-in to stand still.
    still: BTreeMap<Post, u32>,
    /// Events of the scenario that have begun, by their places, and when.
    pub begun: Vec<(Time, usize)>,
    /// What went wrong with a process of a gateway, in words.
    pub troubles: Vec<String>,
    /// Gateways that ended themselves as arranged, and when.
    pub died: Vec<(u32, Time)>,
}

impl<S: Stage> Director<S> {
    /// The events of the site's scenario, counted from `start`.
    pub fn new(site: SiteOf<S>, start: Time) -> Self {
        let timed = site.scenario.events.iter().enumerate().filter(|(_, timed)| timed.trigger.is_none());
        let ats: Vec<(usize, Time)> = timed.map(|(place, timed)| (place, start + timed.at)).collect();
        let moments = Moments::new(&site.scenario, start);
        let mut director = Director {
            site,
            due: BTreeMap::new(),
            next: 0,
            start,
            moments,
            gaps: BTreeMap::new(),
            still: BTreeMap::new(),
            begun: Vec::new(),
            troubles: Vec::new(),
            died: Vec::new(),
        };
        director.plan(start, Step::Open);
        for (place, at) in ats {
            director.plan(at, Step::Event(place));
        }
        let waiting = (0..).zip(&director.site.gateways).filter(|(_, post)| post.up.is_none());
        let waiting: Vec<u32> = waiting.map(|(gateway, _)| gateway).collect();
        for gateway in waiting {
            director.plan_start(director.site.stage.now(), gateway);
        }
        director.plan(start + SAMPLE, Step::Sample);
        director.plan(start, Step::Look);
        director
    }

    /// When something is to be done next.
    pub fn next_due(&self) -> Time {
        self.due.keys().next().map_or(Time::MAX, |(at, _)| *at)
    }

    /// Something was seen; what begins by it is due at once.
    pub fn see(&mut self, seen: &Observation) {
        let now = self.site.stage.now();
        for place in self.moments.see(seen.at, &seen.kind) {
            self.plan(now, Step::Event(place));
        }
    }

    /// Whether a sign may still come.
    pub fn waits(&self) -> bool {
        self.moments.wait(self.site.stage.now())
    }

    /// The same of what gateways have logged meanwhile.
    pub fn read_logs(&mut self) {
        let now = self.site.stage.now();
        for (gateway, line) in self.site.stage.logged() {
            for place in self.moments.logged(now, gateway, &line) {
                self.plan(now, Step::Event(place));
            }
        }
    }

    /// What went wrong with processes of gateways and which signs never came, when all is over.
    pub fn end(&mut self) -> Vec<String> {
        let missed = self.moments.missed(self.start);
        std::mem::take(&mut self.troubles).into_iter().chain(missed).collect()
    }

    /// Does all that is due by now.
    pub fn step(&mut self) -> Result<()> {
        let now = self.site.stage.now();
        while self.next_due() <= now {
            let Some((_, step)) = self.due.pop_first() else { break };
            self.take(now, step)?;
        }
        Ok(())
    }

    fn plan(&mut self, at: Time, step: Step) {
        self.due.insert((at, self.next), step);
        self.next += 1;
    }

    fn take(&mut self, now: Time, step: Step) -> Result<()> {
        match step {
            Step::Open => self.site.counter.open()?,
            Step::Event(place) => self.event(now, place)?,
            Step::Sample => {
                self.sample();
                self.plan(now + SAMPLE, Step::Sample);
            }
            Step::Look => {
                self.look(now);
                self.plan(now + LOOK, Step::Look);
            }
            Step::StartGateway(gateway) => self.start_gateway(now, gateway)?,
            Step::KillGateway(gateway, incarnation) => {
                if self.site.gateways[gateway as usize].up == Some(incarnation) {
                    self.signal(now, gateway, Signal::Kill);
                }
            }
            Step::Slow(host) => self.slow(now, host),
            Step::Drain(host) => self.drain(now, host),
            Step::Restart(gateway) => self.restart_gateway(now, gateway),
            Step::Gone(host) => self.stop_host(host, Detection::Announced),
            Step::HostBack(host) => {
                if self.site.hosts[host as usize].running.is_none() {
                    self.site.restart_host(host)?;
                    let post = Post::Host(self.site.hosts[host as usize].place);
                    self.site.stage.refuse(post, false)?;
                }
            }
            Step::NewAt(host) => {
                self.site.add_host(Some(host))?;
                let post = Post::Host(self.site.hosts[host as usize].place);
                self.site.stage.refuse(post, false)?;
            }
            Step::Heal(cut, gaps) => {
                self.site.stage.heal(cut);
                self.close_gaps(&gaps);
            }
            Step::Whole(gaps) => self.close_gaps(&gaps),
            Step::Drop(building) => self.drop_connections(building)?,
            Step::Listens(gateway) => self.listens(now, gateway)?,
            Step::Flap(flapping) => self.flap(now, flapping)?,
            Step::GoOn(gateway, incarnation, told) => self.go_on(gateway, incarnation, told),
            Step::Thaw(gateway, incarnation, span) => self.thaw(gateway, incarnation, span)?,
            Step::Runs(post, gaps) => self.runs(post, &gaps)?,
            Step::Slice(gateway, incarnation) => self.slice(now, gateway, incarnation),
            Step::Forget => self.start_counter(now)?,
            Step::CounterListens => self.counter_listens(now)?,
        }
        Ok(())
    }

    fn event(&mut self, now: Time, place: usize) -> Result<()> {
        let event = self.site.scenario.events[place].event.clone();
        self.begun.push((now, place));
        self.site.see(ObservationKind::ScenarioEvent { text: event.to_string() });
        let mut rng = Rng::stream(self.site.seed, "event", place as u64);
        match event {
            Event::KillGateways(which, outage) => {
                for gateway in self.gateways(&which, &mut rng) {
                    // Whatever else it was about to be started again for.
                    self.site.gateways[gateway as usize].again = false;
                    self.signal(now, gateway, Signal::Kill);
                    if let Some(outage) = outage {
                        self.plan_start(now + outage, gateway);
                    }
                }
            }
            Event::RestartGateways(which, over) => {
                let gateways = self.gateways(&which, &mut rng);
                let each = over / gateways.len().max(1) as u64;
                for (n, gateway) in (0..).zip(gateways) {
                    match n * each {
                        0 => self.restart_gateway(now, gateway),
                        later => self.plan(now + later, Step::Restart(gateway)),
                    }
                }
            }
            Event::ReloadGateways(which) => {
                for gateway in self.gateways(&which, &mut rng) {
                    self.reload_gateway(now, gateway)?;
                }
            }
            // Clients know of it from the start.
            Event::Traffic(..) | Event::SkewTraffic(..) => {}
            Event::SlowHosts(which, times, span) => {
                for host in self.hosts(&which, &mut rng) {
                    self.site.hosts[host as usize].slow.push((times, now + span));
                    self.slow(now, host);
                    self.plan(now + span, Step::Slow(host));
                }
            }
            Event::PauseHosts(which, span) => {
                for host in self.hosts(&which, &mut rng) {
                    self.on_host(host, |host| host.pause(now + span));
                }
            }
            Event::DrainHosts(which, over, gone_after) => {
                let hosts = self.hosts(&which, &mut rng);
                let all = hosts.len().max(1) as u64;
                for (n, host) in (0..).zip(hosts) {
                    let at = now + over / all * n;
                    self.plan(at, Step::Drain(host));
                    self.plan(at + gone_after, Step::Gone(host));
                }
            }
            Event::KillHosts(which, outage) => {
                for host in self.hosts(&which, &mut rng) {
                    self.stop_host(host, Detection::TimedOut);
                    if let Some(outage) = outage {
                        self.plan(now + outage, Step::HostBack(host));
                    }
                }
            }
            Event::RestartHosts(which) => {
                let hosts = self.hosts(&which, &mut rng);
                hosts.iter().for_each(|host| self.end_host(*host));
                // To end them all may take a loaded machine longer than that.
                let back = self.site.stage.now() + ANEW;
                hosts.into_iter().for_each(|host| self.plan(back, Step::HostBack(host)));
            }
            Event::AddHosts(count) => {
                for _ in 0..count {
                    self.site.add_host(None)?;
                }
            }
            Event::ReplaceHosts(which, same_address) => {
                let hosts = self.hosts(&which, &mut rng);
                for host in &hosts {
                    self.stop_host(*host, Detection::Announced);
                    if !same_address {
                        self.site.add_host(None)?;
                    }
                }
                let there = self.site.stage.now() + ANEW;
                let again = hosts.into_iter().filter(|_| same_address);
                again.for_each(|host| self.plan(there, Step::NewAt(host)));
            }
            Event::ExpensiveRequests(class, share, times, span) => {
                self.heavy(now, &class, share, times, span)
            }
            Event::CorruptHostResponses(share, span) => {
                self.site.weather.garble = Some((share, now + span));
                self.on_all_hosts(|host| host.garble(share, now + span));
            }
            Event::RequestFaults(mishap, share, which, span) => {
                for host in self.hosts(&which, &mut rng) {
                    self.on_host(host, |host| host.mishaps(mishap, share, now + span));
                }
            }
            Event::StaleConnections(after, which, span) => {
                for host in self.hosts(&which, &mut rng) {
                    self.on_host(host, |host| host.stale(after, now + span));
                }
            }
            event @ (Event::Counter(..) | Event::CorruptCounterReplies(..)) => {
                self.site.counter.event(place, &event)?
            }
            fault @ (Event::Partition(..)
            | Event::IsolateBuilding(..)
            | Event::PowerLoss(..)
            | Event::Links(..)
            | Event::SuspendGateways(..)
            | Event::FreezeGateways(..)
            | Event::SuspendHosts(..)
            | Event::SuspendCounter(..)
            | Event::ClockOffset(..)
            | Event::SlowGateways(..)) => self.fault(now, fault, &mut rng)?,
            Event::Discovery(fault, span) => self.site.registry.fail(now, fault, span),
            Event::EarlyDisconnects(share, span) => self.site.clients.set_impatient(share, span),
        }
        Ok(())
    }

    /// The building, numbered from 1, that a gateway stands in, or a host by its place.
    fn building(&self, place: u32) -> u32 {
        place % self.site.scenario.site.buildings.max(1) + 1
    }

    // ---- Gateways

    /// The gateways that are meant, of those that are up.
    fn gateways(&self, which: &Selector, rng: &mut Rng) -> Vec<u32> {
        let up = |post: &u32| self.site.gateways[*post as usize].up.is_some();
        let all = self.site.gateways.len() as u32;
        choose(which, all, (0..all).filter(up).collect(), |gateway| self.building(gateway), rng)
    }

    fn start_gateway(&mut self, now: Time, gateway: u32) -> Result<()> {
        let post = &self.site.gateways[gateway as usize];
        match post.up {
            None => {
                self.site.start_gateway(gateway)?;
                if self.site.stage.refuses_well(gateway) {
                    self.site.stage.refuse(Post::Gateway(gateway), false)?;
                } else {
                    self.open_gaps(&[Gap::Clients(gateway)]);
                    self.plan(now + LOOK, Step::Listens(gateway));
                }
            }
            // A process that was killed may take a while to end.
            Some(_) if post.ending => self.plan(now + LOOK, Step::StartGateway(gateway)),
            Some(_) => {}
        }
        Ok(())
    }

    /// A gateway starts then, or a little later, as the site has it.
    fn plan_start(&mut self, at: Time, gateway: u32) {
        self.plan(at + self.site.start_delay(gateway), Step::StartGateway(gateway));
    }

    /// Until it listens, who comes to it by a link is taken in and broken off, which is not its doing.
    fn listens(&mut self, now: Time, gateway: u32) -> Result<()> {
        let is_up = self.site.gateways[gateway as usize].up.is_some();
        if is_up && !self.site.stage.refuses_well(gateway) {
            self.plan(now + LOOK, Step::Listens(gateway));
            return Ok(());
        }
        self.close_gaps(&[Gap::Clients(gateway)]);
        if is_up {
            self.site.stage.refuse(Post::Gateway(gateway), false)?;
        }
        Ok(())
    }

    fn signal(&mut self, now: Time, gateway: u32, signal: Signal) {
        if matches!(signal, Signal::Terminate | Signal::Kill) {
            self.site.see(ObservationKind::GatewaySignalled { gateway, kill: signal == Signal::Kill });
            self.site.gateways[gateway as usize].ending = true;
        }
        self.site.stage.signal(gateway, signal);
        if signal == Signal::Terminate {
            // It takes nobody in any more. A link would, and break them off: to a client, a request that was lost.
            self.refuse(Post::Gateway(gateway));
        }
        // One that is gone at once is not there for what else happens at this instant.
        self.note_exits(now);
    }

    fn restart_gateway(&mut self, now: Time, gateway: u32) {
        let longest = self.site.scenario.site.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let post = &mut self.site.gateways[gateway as usize];
        post.again = true;
        let Some(incarnation) = post.up else { return };
        self.site.clients.planned_stop(gateway);
        self.signal(now, gateway, Signal::Terminate);
        self.plan(now + longest + AFTER_DEADLINE, Step::KillGateway(gateway, incarnation));
    }

    fn reload_gateway(&mut self, now: Time, gateway: u32) -> Result<()> {
        self.site.move_agent(gateway)?;
        let incarnation = self.site.gateways[gateway as usize].up.unwrap_or(0);
        let document = self.site.document(gateway, incarnation, self.site.known(gateway).as_ref())?;
        self.site.stage.replace_document(gateway, &document)?;
        self.signal(now, gateway, Signal::Reload);
        Ok(())
    }

    /// Takes note of processes that have ended, and of hosts that were pushed over.
    fn look(&mut self, now: Time) {
        self.note_exits(now);
        self.miss_fallen();
        self.troubles.extend(self.site.counter.troubles());
    }

    fn note_exits(&mut self, now: Time) {
        let mut gone = Vec::new();
        for exit in self.site.stage.exits() {
            let gateway = exit.gateway;
            let post = &mut self.site.gateways[gateway as usize];
            if post.up != Some(exit.incarnation) {
                continue;
            }
            post.up = None;
            gone.push(Post::Gateway(gateway));
            post.stops = 0;
            post.slow.clear();
            // One that killed itself as arranged was killed by the scenario, unless that has done so just now.
            let died = exit.arranged.filter(|_| !post.ending || post.again);
            let meant = (post.ending || died.is_some()) && exit.error.is_none();
            let again = died.filter(|_| !post.again).or(post.again.then_some(CHANGEOVER));
            if died.is_some() {
                self.died.push((gateway, now));
                self.site.see(ObservationKind::GatewaySignalled { gateway, kill: true });
            }
            self.site.see(ObservationKind::GatewayDown { gateway, expected: meant });
            if let Some(error) = exit.error {
                self.troubles.push(format!("gateway {}: {error}", gateway + 1));
            }
            if let Some(after) = again {
                self.plan(now + after, Step::StartGateway(gateway));
            }
        }
        gone.into_iter().for_each(|post| self.refuse(post));
    }

    // ---- Hosts

    /// The hosts that are meant: a share is of those in service.
    fn hosts(&self, which: &Selector, rng: &mut Rng) -> Vec<u32> {
        let in_service = self.site.in_service();
        let place = |host: u32| self.site.hosts[host as usize].place;
        choose(which, in_service.len() as u32, in_service, |host| self.building(place(host)), rng)
    }

    fn on_host(&self, host: u32, act: impl Fn(&HostOf<S>)) {
        if let Some(host) = &self.site.hosts[host as usize].running {
            act(host);
        }
    }

    fn on_all_hosts(&self, act: impl Fn(&HostOf<S>)) {
        self.site.hosts.iter().filter_map(|host| host.running.as_ref()).for_each(act);
    }

    fn slow(&self, now: Time, host: u32) {
        let times = self.site.hosts[host as usize].slowness(now);
        self.on_host(host, |host| host.slow(times));
    }

    fn drain(&mut self, now: Time, host: u32) {
        if self.site.hosts[host as usize].running.is_some() {
            for place in self.moments.drains(now, host) {
                self.plan(now, Step::Event(place));
            }
            self.site.hosts[host as usize].draining = true;
            self.on_host(host, |host| host.drain());
            self.site.tell(host, Lifecycle::Draining, Detection::Announced);
        }
    }

    /// A host's process ends, without a word to discovery.
    fn end_host(&mut self, host: u32) {
        if let Some(running) = self.site.hosts[host as usize].running.take() {
            let post = Post::Host(self.site.hosts[host as usize].place);
            self.end_still(post);
            running.stop();
            self.refuse(post);
        }
    }

    fn refuse(&mut self, post: Post) {
        if let Err(error) = self.site.stage.refuse(post, true) {
            self.troubles.push(format!("the links to {post:?}: {error}"));
        }
    }

    fn stop_host(&mut self, host: u32, notice: Detection) {
        if self.site.hosts[host as usize].running.is_some() {
            self.end_host(host);
            self.site.tell(host, Lifecycle::Removed, notice);
        }
    }

    /// A host that was pushed over has died without a word.
    fn miss_fallen(&mut self) {
        for number in 0..self.site.hosts.len() {
            let host = &mut self.site.hosts[number];
            if !host.missed && host.running.as_ref().is_some_and(HostOf::<S>::fallen) {
                host.missed = true;
                self.site.tell(number as u32, Lifecycle::Removed, Detection::TimedOut);
            }
        }
    }

    fn sample(&self) {
        self.on_all_hosts(|host| host.sample());
    }

    fn heavy(&mut self, now: Time, class: &str, share: f64, times: f64, span: Span) {
        let classes = &self.site.scenario.site.classes;
        let Some(class) = classes.iter().position(|known| known.name == class) else { return };
        self.site.weather.heavy.insert(class, (share, times, now + span));
        self.on_all_hosts(|host| host.heavy(class, share, times, now + span));
    }

    // ---- The network

    fn posts(&self, side: &PartitionSide) -> Vec<Post> {
        let site = &self.site.scenario.site;
        let places = self.site.hosts.iter().map(|host| host.place);
        match side {
            PartitionSide::Building(number) => {
                let here = |place: &u32| self.building(*place) == *number;
                let mut posts: Vec<Post> = (0..site.gateways).filter(here).map(Post::Gateway).collect();
                let mut places: Vec<u32> = places.filter(here).collect();
                places.sort_unstable();
                places.dedup();
                posts.extend(places.into_iter().map(Post::Host));
                posts.extend((*number == site.counter.building).then_some(Post::Counter));
                posts
            }
            PartitionSide::Gateway(number) => vec![Post::Gateway(number - 1)],
            PartitionSide::Host(number) => {
                let place = self.site.hosts.get(*number as usize - 1).map(|host| host.place);
                place.map(Post::Host).into_iter().collect()
            }
            PartitionSide::Counter => vec![Post::Counter],
            PartitionSide::Clients => vec![Post::Clients],
        }
    }
}

type HostOf<S> = fake_services::host::HostStandIn<<S as Stage>::Env>;

/// Who is meant: a share is of `all`; whoever is drawn is drawn of the `present` ones, numbered from 0. Buildings
/// are numbered from 1.
pub(crate) fn choose(
    which: &Selector,
    all: u32,
    mut present: Vec<u32>,
    building: impl Fn(u32) -> u32,
    rng: &mut Rng,
) -> Vec<u32> {
    match which {
        Selector::All => present,
        Selector::Numbers(these) => {
            present.into_iter().filter(|number| these.contains(&(number + 1))).collect()
        }
        Selector::Building(here) => present.into_iter().filter(|number| building(*number) == *here).collect(),
        Selector::Share(_) | Selector::Count(_) => {
            rng.shuffle(&mut present);
            present.truncate(which.count(all) as usize);
            present.sort_unstable();
            present
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn forty_one_percent_of_three_is_one_and_drawn_by_the_seed() {
        let draw = |seed| {
            let mut rng = Rng::stream(seed, "event", 0);
            choose(&Selector::Share(0.41), 3, vec![0, 1, 2], |_| 1, &mut rng)
        };
        assert!((0..20).all(|seed| draw(seed).len() == 1));
        assert_eq!(draw(7), draw(7));
        assert!((0..20).any(|seed| draw(seed) != draw(7)));
    }

    #[test]
    fn those_that_are_named_are_meant_if_they_are_there() {
        let mut rng = Rng::stream(1, "event", 0);
        assert_eq!(choose(&Selector::Numbers(vec![3, 1, 9]), 3, vec![0, 2], |_| 1, &mut rng), [0, 2]);
        assert_eq!(choose(&Selector::Building(2), 4, vec![0, 1, 3], |n| n % 2 + 1, &mut rng), [1, 3]);
        assert_eq!(choose(&Selector::Count(5), 3, vec![0, 2], |_| 1, &mut rng), [0, 2]);
        assert_eq!(choose(&Selector::All, 3, vec![], |_| 1, &mut rng), [0_u32; 0]);
    }
}
