//! Many short random sites with random overlapping faults, until a rule breaks; then the scenario is cut down
//! to the events that matter.

mod fleets;

pub use fleets::random_fleet;

use crate::run::{run_real, run_virtual, RealOptions, RunOutcome, VirtualOptions};
use crate::virtual_time::GatewayFactory;
use anyhow::Result;
use cluster_model::rng::Rng;
use cluster_model::scenario::{
    CounterFault, DiscoveryFault, Event, LinkEnd, PartitionSide, RequestFault, Scenario, ScheduledEvent,
    Selector,
};
use cluster_model::{Span, MS, SECOND};
use history_checker::Rule as HistoryRule;
use invariants::Rule;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;

/// The last events begin this long before the end, so that what they do is seen.
const QUIET_END: Span = 4 * SECOND;
/// Mean work of a request on one core, in seconds: what the random traffic is sized by.
const WORK_S: f64 = 0.075;

/// A site on which something went wrong.
#[derive(Clone, Debug)]
pub struct Found {
    /// Number of the site in the swarm: it is the seed of everything.
    pub site: u64,
    /// Its scenario, cut down.
    pub scenario: Scenario,
    /// Places of the events that were kept, counted from 1.
    pub kept: Vec<usize>,
    /// What went wrong, in one sentence.
    pub what: String,
}

/// Real runs differ a little, and some come too late to be judged: so often each is played to tell.
const REAL_TRIES: u32 = 3;

/// Where a swarm is played, and on which sites.
#[derive(Clone, Default)]
pub enum Ground {
    /// Small random sites in virtual time.
    #[default]
    Sites,
    /// The same with something else in the place of the real gateway.
    With(GatewayFactory),
    /// Random fleets whose links fail too, in virtual time.
    Fleets,
    /// The same fleets on real processes with links between them.
    Real {
        /// The gateway's program.
        program: PathBuf,
        /// See [`RealOptions::launcher`].
        launcher: Option<PathBuf>,
    },
}

impl Ground {
    /// The random site with this number.
    pub fn site(&self, number: u64) -> Scenario {
        match self {
            Ground::Sites | Ground::With(_) => random_scenario(number),
            Ground::Fleets | Ground::Real { .. } => random_fleet(number),
        }
    }

    fn play(&self, scenario: &Scenario, seed: u64) -> Result<RunOutcome> {
        let gateway = match self {
            Ground::With(gateway) => Some(gateway.clone()),
            Ground::Sites | Ground::Fleets => None,
            Ground::Real { program, launcher } => {
                let (program, launcher) = (program.clone(), launcher.clone());
                let options = RealOptions {
                    program,
                    launcher,
                    links: true,
                    replay: None,
                    logs: None,
                    operators: None,
                    gateway_override: None,
                    progress: None,
                };
                return run_real(scenario, seed, options);
            }
        };
        let options = VirtualOptions { stop_at_violation: true, gateway, ..VirtualOptions::default() };
        run_virtual(scenario, seed, options)
    }

    /// What goes wrong. Of a real run that was too slow, what goes wrong when it is played again.
    fn wrong(&self, scenario: &Scenario, seed: u64) -> Option<(Kind, String)> {
        let mut wrong = judge(self.play(scenario, seed));
        for _ in 1..REAL_TRIES {
            if !matches!(wrong, Some((Kind::Slow, _))) {
                break;
            }
            wrong = judge(self.play(scenario, seed));
        }
        wrong
    }

    /// Whether this kind of thing goes wrong, in one of the plays that it takes to tell.
    fn shows(&self, kind: Kind, scenario: &Scenario, seed: u64) -> bool {
        let tries = if matches!(self, Ground::Real { .. }) { REAL_TRIES } else { 1 };
        (0..tries).any(|_| self.wrong(scenario, seed).is_some_and(|(found, _)| found == kind))
    }
}

/// A swarm of random sites.
#[derive(Clone, Copy, Debug)]
pub struct Swarm {
    /// How many.
    pub count: u64,
    /// The first one's number.
    pub seed: u64,
    /// How many are played at once.
    pub jobs: usize,
}

impl Swarm {
    /// Plays the sites, and gives the one with the lowest number on which something went wrong, cut down.
    /// `told` hears after each site how many are through.
    pub fn play(&self, told: &(dyn Fn(u64) + Sync)) -> Option<Found> {
        self.play_on(&Ground::Sites, told)
    }

    /// The same, with something else in the place of the real gateway.
    pub fn play_with(&self, gateway: Option<&GatewayFactory>, told: &(dyn Fn(u64) + Sync)) -> Option<Found> {
        self.play_on(&gateway.map_or(Ground::Sites, |gateway| Ground::With(gateway.clone())), told)
    }

    /// The same, on this ground.
    pub fn play_on(&self, ground: &Ground, told: &(dyn Fn(u64) + Sync)) -> Option<Found> {
        let (next, through) = (AtomicU64::new(0), AtomicU64::new(0));
        let worst: Mutex<Option<Worst>> = Mutex::new(None);
        let held = || worst.lock().expect("no job panics with it");
        // One that was too slow says nothing of those behind it.
        let lowest = || held().as_ref().filter(|worst| !worst.slow).map_or(self.count, |worst| worst.n);
        let job = || loop {
            let n = next.fetch_add(1, Ordering::Relaxed);
            if n >= lowest() {
                return;
            }
            if let Some((kind, what)) = ground.wrong(&ground.site(self.seed + n), self.seed + n) {
                let found = Worst { slow: kind == Kind::Slow, n, what };
                let mut worst = held();
                if worst.as_ref().is_none_or(|worst| (found.slow, n) < (worst.slow, worst.n)) {
                    *worst = Some(found);
                }
            }
            told(through.fetch_add(1, Ordering::Relaxed) + 1);
        };
        thread::scope(|scope| {
            for _ in 0..self.jobs.max(1) {
                scope.spawn(job);
            }
        });
        let Worst { slow, n, what } = worst.into_inner().expect("no job panics with it")?;
        let site = self.seed + n;
        let scenario = ground.site(site);
        if slow {
            let kept = (1..=scenario.events.len()).collect();
            return Some(Found { site, scenario, kept, what });
        }
        let (scenario, kept) = shrink_on(ground, &scenario, site);
        Some(Found { site, scenario, kept, what })
    }
}

/// What counts of all that went wrong so far.
struct Worst {
    /// It could not be judged. Anything else counts before it.
    slow: bool,
    /// Which site, from 0.
    n: u64,
    what: String,
}

/// What kind of thing went wrong, to tell whether a smaller scenario shows the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Broken(Rule),
    /// The history of the run breaks a rule that the judge saw kept.
    History(HistoryRule),
    /// The judge and the model disagree.
    Notes,
    /// A process ended in an error, panicked or span.
    Process,
    /// The machine was too slow to tell.
    Slow,
}

fn judge(played: Result<RunOutcome>) -> Option<(Kind, String)> {
    let played = match played {
        Ok(played) => played,
        Err(error) => return Some((Kind::Process, format!("{error:#}"))),
    };
    if let Some(slow) = played.too_slow {
        return Some((Kind::Slow, slow));
    }
    if let Some(breach) = played.verdict.violations.first() {
        return Some((Kind::Broken(breach.rule), format!("{:.3} s: {}", breach.at_s, breach.text)));
    }
    if let Some(finding) = played.history.findings.first() {
        return Some((Kind::History(finding.rule), finding.to_string()));
    }
    if let Some(trouble) = played.errors.first() {
        return Some((Kind::Process, trouble.clone()));
    }
    played.verdict.notes.first().map(|note| (Kind::Notes, note.clone()))
}

/// Leaves out events, one after another, without which the same kind of thing still goes wrong. Gives the
/// scenario and the places of the events that are left, counted from 1.
pub fn shrink(scenario: &Scenario, seed: u64, gateway: Option<&GatewayFactory>) -> (Scenario, Vec<usize>) {
    let ground = gateway.map_or(Ground::Sites, |gateway| Ground::With(gateway.clone()));
    shrink_on(&ground, scenario, seed)
}

fn shrink_on(ground: &Ground, scenario: &Scenario, seed: u64) -> (Scenario, Vec<usize>) {
    let mut kept: Vec<usize> = (1..=scenario.events.len()).collect();
    let Some((kind, _)) = ground.wrong(scenario, seed) else { return (scenario.clone(), kept) };
    for place in (1..=scenario.events.len()).rev() {
        let fewer: Vec<usize> = kept.iter().copied().filter(|k| *k != place).collect();
        if ground.shows(kind, &only(scenario, &fewer), seed) {
            kept = fewer;
        }
    }
    (only(scenario, &kept), kept)
}

/// The scenario with these of its events, counted from 1. The others stay in their places as nothing, so that
/// chance falls alike.
pub fn only(scenario: &Scenario, kept: &[usize]) -> Scenario {
    let mut scenario = scenario.clone();
    for (place, timed) in (1..).zip(&mut scenario.events) {
        if !kept.contains(&place) {
            timed.event = Event::AddHosts(0);
        }
    }
    scenario
}

/// The random site with this number.
pub fn random_scenario(number: u64) -> Scenario {
    let mut rng = Rng::stream(number, "swarm", 0);
    let mut scenario = Scenario { name: format!("swarm-{number}"), ..Scenario::default() };
    scenario.title = format!("Random site {number}");
    scenario.length = (12 + rng.below(13)) * SECOND;
    let site = &mut scenario.site;
    site.gateways = 1 + rng.below(5) as u32;
    site.hosts = 3 + rng.below(10) as u32;
    site.buildings = 1 + rng.below(3) as u32;
    site.host.warmup_share = share(&mut rng, 21, 39);
    site.host.warmup = span(&mut rng, 5.2, 17.0);
    site.host.slots = 4 + rng.below(9) as u32;
    site.host.queue = 18 + rng.below(55) as u32;
    site.counter.enabled = rng.chance(0.9);
    site.counter.shards = 1 + rng.below(3) as u32;
    site.hedging = rng.chance(0.5);
    site.retry_after = rng.chance(0.5).then_some(SECOND);
    site.max_attempts = 2 + rng.below(3) as u32;
    for plan in &mut site.plans {
        plan.spread = plan.spread.min(site.gateways);
    }
    let cores = f64::from(site.hosts * site.host.cores);
    let traffic = &mut scenario.traffic;
    traffic.rate = f64::from((cores * rng.between(0.2, 0.75) / WORK_S) as u32).min(220.0);
    traffic.retries = rng.below(3) as u32;
    traffic.backoff = if rng.chance(0.3) { 0 } else { 30 * MS + rng.below(210) * MS };
    traffic.early_disconnects = if rng.chance(0.2) { 0.05 } else { 0.0 };
    traffic.front_detection_delay = span(&mut rng, 0.8, 4.0);
    scenario.events = random_events(&mut rng, &scenario, event);
    // A counter that fails is there.
    scenario.site.counter.enabled |= scenario.events.iter().any(|timed| is_about_the_counter(&timed.event));
    scenario
}

fn random_events(rng: &mut Rng, scenario: &Scenario, kinds: Kinds) -> Vec<ScheduledEvent> {
    let count = 1 + rng.below(6);
    let mut events: Vec<ScheduledEvent> = (0..count).map(|_| timed(rng, scenario, kinds)).collect();
    let changes: Vec<ScheduledEvent> =
        events.iter().flat_map(|timed| changes_to_tell_of(rng, timed)).collect();
    events.extend(changes);
    // Stable: what was added for an event comes after it.
    events.sort_by_key(|timed| timed.at);
    events
}

fn is_about_the_counter(event: &Event) -> bool {
    use Event::{CorruptCounterReplies, Counter, Links, Partition};
    matches!(
        event,
        Counter(..)
            | CorruptCounterReplies(..)
            | Partition(_, PartitionSide::Counter, ..)
            | Links(_, LinkEnd::Counter, ..)
    )
}

/// Discovery that tells late, twice or out of order does so only of what changes: with most other events it would
/// rehearse nothing. So something changes with it, and once more soon after.
fn changes_to_tell_of(rng: &mut Rng, timed: &ScheduledEvent) -> Vec<ScheduledEvent> {
    use DiscoveryFault::{Delayed, Duplicated, Reordered};
    if !matches!(timed.event, Event::Discovery(Delayed(_) | Duplicated | Reordered, _)) {
        return Vec::new();
    }
    let later = timed.at + (1 + rng.below(5)) * 100 * MS;
    [timed.at, later]
        .map(|at| ScheduledEvent { at, trigger: None, line: 0, event: change_of_hosts(rng) })
        .into()
}

fn change_of_hosts(rng: &mut Rng) -> Event {
    match rng.below(4) {
        0 => drain(rng),
        1 => Event::AddHosts(1 + rng.below(3) as u32),
        2 => Event::RestartHosts(some(rng)),
        _ => Event::ReplaceHosts(some(rng), rng.chance(0.5)),
    }
}

fn drain(rng: &mut Rng) -> Event {
    // Beyond the time after which the news counts as told anyway.
    Event::DrainHosts(some(rng), span(rng, 0.0, 4.0), span(rng, 1.0, 9.0))
}

/// Figures are round, so that whoever reads a scenario sees what it is about.
fn span(rng: &mut Rng, from: f64, to: f64) -> Span {
    (rng.between(from, to) * 10.0) as Span * 100 * MS
}

/// Of 100, from and to.
fn share(rng: &mut Rng, from: u64, to: u64) -> f64 {
    (from + rng.below(to - from + 1)) as f64 / 100.0
}

/// Of 10, from and to.
fn times(rng: &mut Rng, from: u64, to: u64) -> f64 {
    (from + rng.below(to - from + 1)) as f64 / 10.0
}

fn some(rng: &mut Rng) -> Selector {
    Selector::Share(share(rng, 10, 70))
}

/// Draws an event.
type Kinds = fn(&mut Rng, &Scenario) -> Event;

fn timed(rng: &mut Rng, scenario: &Scenario, kinds: Kinds) -> ScheduledEvent {
    // Whole tenths of seconds, so that some fall on the same instant.
    let at = SECOND + rng.below((scenario.length - QUIET_END) / (100 * MS)) * 100 * MS;
    ScheduledEvent { at, trigger: None, line: 0, event: kinds(rng, scenario) }
}

fn event(rng: &mut Rng, scenario: &Scenario) -> Event {
    let site = &scenario.site;
    match rng.below(25) {
        0 | 1 => Event::KillGateways(some(rng), Some(span(rng, 1.0, 8.0))),
        2 => Event::RestartGateways(some(rng), 0),
        3 => Event::ReloadGateways(Selector::All),
        4 | 5 => Event::Traffic(times(rng, 13, 25), span(rng, 3.0, 10.0), 200 * MS),
        6 => Event::SlowHosts(some(rng), times(rng, 20, 100), span(rng, 3.0, 15.0)),
        7 => Event::PauseHosts(some(rng), span(rng, 0.3, 3.0)),
        8 => drain(rng),
        9 => Event::KillHosts(some(rng), rng.chance(0.6).then(|| span(rng, 1.0, 8.0))),
        10 => Event::RestartHosts(if rng.chance(0.3) { Selector::All } else { some(rng) }),
        11 => Event::AddHosts(1 + rng.below(4) as u32),
        12 => Event::ReplaceHosts(some(rng), rng.chance(0.5)),
        13 => Event::ExpensiveRequests(
            site.classes[rng.below(site.classes.len() as u64) as usize].name.clone(),
            share(rng, 1, 3),
            times(rng, 50, 300),
            span(rng, 3.0, 15.0),
        ),
        14 => Event::CorruptHostResponses(share(rng, 1, 10), span(rng, 2.0, 10.0)),
        15 => Event::CorruptCounterReplies(share(rng, 1, 30), span(rng, 2.0, 10.0)),
        16 => cut(rng, site.gateways, site.hosts, site.buildings),
        17 | 18 => Event::Counter(counter_fault(rng, site.gateways), span(rng, 1.0, 12.0)),
        20 => Event::RequestFaults(RequestFault::Dropped, share(rng, 1, 30), some(rng), span(rng, 2.0, 10.0)),
        21 => Event::RequestFaults(
            RequestFault::ConnectionReset,
            share(rng, 1, 20),
            some(rng),
            span(rng, 2.0, 10.0),
        ),
        22 => Event::StaleConnections(span(rng, 0.1, 2.0), some(rng), span(rng, 2.0, 10.0)),
        23 => Event::Discovery(DiscoveryFault::WatchReset(span(rng, 0.3, 3.0)), span(rng, 2.0, 10.0)),
        19 => Event::EarlyDisconnects(share(rng, 5, 40), span(rng, 2.0, 10.0)),
        _ => Event::Discovery(discovery_fault(rng), span(rng, 1.0, 8.0)),
    }
}

fn cut(rng: &mut Rng, gateways: u32, hosts: u32, buildings: u32) -> Event {
    let gateway = PartitionSide::Gateway(1 + rng.below(u64::from(gateways)) as u32);
    let other = match rng.below(4) {
        0 => PartitionSide::Counter,
        1 => PartitionSide::Clients,
        2 => PartitionSide::Building(1 + rng.below(u64::from(buildings)) as u32),
        _ => PartitionSide::Host(1 + rng.below(u64::from(hosts)) as u32),
    };
    let span = (3 + rng.below(60)) * 100 * MS;
    Event::Partition(gateway, other, span, rng.chance(0.4))
}

fn counter_fault(rng: &mut Rng, gateways: u32) -> CounterFault {
    match rng.below(8) {
        0 => CounterFault::Unreachable,
        1 => CounterFault::DropCalls,
        2 => CounterFault::DropReplies,
        3 => CounterFault::DelayReplies(80 * MS, 500 * MS),
        4 => CounterFault::SplitBrain((1..=gateways).map(|gateway| vec![gateway]).collect()),
        5 => CounterFault::Reset,
        6 => CounterFault::Flapping((3 + rng.below(10)) * 100 * MS),
        _ => CounterFault::Overloaded,
    }
}

fn discovery_fault(rng: &mut Rng) -> DiscoveryFault {
    match rng.below(4) {
        0 => DiscoveryFault::Stalled,
        1 => DiscoveryFault::Delayed((5 + rng.below(30)) * 100 * MS),
        2 => DiscoveryFault::Duplicated,
        _ => DiscoveryFault::Reordered,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    /// The word that an event's kind has in the code; of faults and cuts also which.
    fn kind(event: &Event) -> String {
        let word = |text: String| text.split(['(', ' ']).next().unwrap_or_default().to_owned();
        match event {
            Event::Counter(fault, _) => word(format!("{fault:?}")),
            Event::Discovery(fault, _) => word(format!("{fault:?}")),
            Event::Partition(_, other, ..) => word(format!("{other:?}")),
            event => word(format!("{event:?}")),
        }
    }

    #[test]
    fn every_kind_of_event_comes_in_some_site() {
        let sites = (1..=400).map(random_scenario);
        let kinds: BTreeSet<String> = sites.flat_map(|site| site.events).map(|t| kind(&t.event)).collect();
        let wanted = [
            "AddHosts",
            "Building",
            "Clients",
            "CorruptCounterReplies",
            "CorruptHostResponses",
            "Counter",
            "DelayReplies",
            "Delayed",
            "DrainHosts",
            "DropCalls",
            "DropReplies",
            "Duplicated",
            "EarlyDisconnects",
            "ExpensiveRequests",
            "Flapping",
            "Host",
            "KillGateways",
            "KillHosts",
            "Overloaded",
            "PauseHosts",
            "ReloadGateways",
            "Reordered",
            "ReplaceHosts",
            "RequestFaults",
            "Reset",
            "RestartGateways",
            "RestartHosts",
            "SlowHosts",
            "SplitBrain",
            "StaleConnections",
            "Stalled",
            "Traffic",
            "Unreachable",
            "WatchReset",
        ];
        assert_eq!(kinds, wanted.map(String::from).into());
    }

    #[test]
    fn where_discovery_tells_wrongly_there_is_something_to_tell_of() {
        use DiscoveryFault::{Delayed, Duplicated, Reordered};
        let wrongly = |timed: &&ScheduledEvent| {
            matches!(timed.event, Event::Discovery(Delayed(_) | Duplicated | Reordered, _))
        };
        let changes = |event: &Event| {
            matches!(
                event,
                Event::DrainHosts(..) | Event::AddHosts(_) | Event::RestartHosts(_) | Event::ReplaceHosts(..)
            )
        };
        let sites: Vec<Scenario> = (1..=400).map(random_scenario).collect();
        let faults = sites.iter().flat_map(|site| site.events.iter().filter(wrongly).map(move |t| (site, t)));
        let mut count = 0;
        for (site, fault) in faults {
            count += 1;
            let after = site.events.iter().skip_while(|timed| *timed != fault);
            let near = after.filter(|timed| changes(&timed.event) && timed.at <= fault.at + SECOND / 2);
            assert!(near.count() >= 2, "{}: {:?}", site.name, site.events);
        }
        assert!(count > 20, "{count}");
    }
}
