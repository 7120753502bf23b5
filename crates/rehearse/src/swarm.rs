//! Many short random sites with random overlapping faults, until a rule breaks; then the scenario is cut down
//! to the events that matter.

use crate::play::{play_virtual, Played, VirtualOptions};
use crate::virtual_time::GatewayMaker;
use anyhow::Result;
use fennelbeam_judge::Rule;
use fennelbeam_model::rng::Rng;
use fennelbeam_model::scenario::{CounterFault, DiscoveryFault, Event, Scenario, Side, Timed, Which};
use fennelbeam_model::{Span, MS, SECOND};
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
        self.play_with(None, told)
    }

    /// The same, with something else in the place of the real gateway.
    pub fn play_with(&self, gateway: Option<&GatewayMaker>, told: &(dyn Fn(u64) + Sync)) -> Option<Found> {
        let (next, through) = (AtomicU64::new(0), AtomicU64::new(0));
        let worst: Mutex<Option<(u64, String)>> = Mutex::new(None);
        let lowest = || worst.lock().expect("no job panics with it").as_ref().map_or(self.count, |(n, _)| *n);
        let job = || loop {
            let n = next.fetch_add(1, Ordering::Relaxed);
            if n >= lowest() {
                return;
            }
            if let Some((_, what)) = wrong(&random_scenario(self.seed + n), self.seed + n, gateway) {
                let mut worst = worst.lock().expect("no job panics with it");
                if worst.as_ref().is_none_or(|(found, _)| n < *found) {
                    *worst = Some((n, what));
                }
            }
            told(through.fetch_add(1, Ordering::Relaxed) + 1);
        };
        thread::scope(|scope| {
            for _ in 0..self.jobs.max(1) {
                scope.spawn(job);
            }
        });
        let (n, what) = worst.into_inner().expect("no job panics with it")?;
        let site = self.seed + n;
        let (scenario, kept) = shrink(&random_scenario(site), site, gateway);
        Some(Found { site, scenario, kept, what })
    }
}

/// What kind of thing went wrong, to tell whether a smaller scenario shows the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Broken(Rule),
    /// The judge and the model disagree.
    Notes,
    /// A process ended in an error, panicked or span.
    Process,
}

fn wrong(scenario: &Scenario, seed: u64, gateway: Option<&GatewayMaker>) -> Option<(Kind, String)> {
    let gateway = gateway.cloned();
    let options = VirtualOptions { stop_at_breach: true, gateway, ..VirtualOptions::default() };
    judge(play_virtual(scenario, seed, options))
}

fn judge(played: Result<Played>) -> Option<(Kind, String)> {
    let played = match played {
        Ok(played) => played,
        Err(error) => return Some((Kind::Process, format!("{error:#}"))),
    };
    if let Some(breach) = played.verdict.breaches.first() {
        return Some((Kind::Broken(breach.rule), format!("{:.3} s: {}", breach.at_s, breach.text)));
    }
    if let Some(trouble) = played.troubles.first() {
        return Some((Kind::Process, trouble.clone()));
    }
    played.verdict.notes.first().map(|note| (Kind::Notes, note.clone()))
}

/// Leaves out events, one after another, without which the same kind of thing still goes wrong. Gives the
/// scenario and the places of the events that are left, counted from 1.
pub fn shrink(scenario: &Scenario, seed: u64, gateway: Option<&GatewayMaker>) -> (Scenario, Vec<usize>) {
    let mut kept: Vec<usize> = (1..=scenario.events.len()).collect();
    let Some((kind, _)) = wrong(scenario, seed, gateway) else { return (scenario.clone(), kept) };
    for place in (1..=scenario.events.len()).rev() {
        let fewer: Vec<usize> = kept.iter().copied().filter(|k| *k != place).collect();
        let same = wrong(&only(scenario, &fewer), seed, gateway).is_some_and(|(found, _)| found == kind);
        if same {
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
    site.host.cold_share = rng.between(0.21, 0.39);
    site.host.cold = (rng.between(5.2, 17.0) * SECOND as f64) as Span;
    site.host.slots = 4 + rng.below(9) as u32;
    site.host.queue = 18 + rng.below(55) as u32;
    site.counter.on = rng.chance(0.9);
    site.counter.parts = 1 + rng.below(3) as u32;
    site.second_copies = rng.chance(0.5);
    site.retry_after = rng.chance(0.5).then_some(SECOND);
    site.max_attempts = 2 + rng.below(3) as u32;
    for plan in &mut site.plans {
        plan.spread = plan.spread.min(site.gateways);
    }
    let cores = f64::from(site.hosts * site.host.cores);
    let traffic = &mut scenario.traffic;
    traffic.rate = (cores * rng.between(0.2, 0.75) / WORK_S).min(220.0);
    traffic.retries = rng.below(3) as u32;
    traffic.backoff = if rng.chance(0.3) { 0 } else { 30 * MS + rng.below(210) * MS };
    traffic.impatient = if rng.chance(0.2) { 0.05 } else { 0.0 };
    traffic.front_notice = (rng.between(0.82, 4.0) * SECOND as f64) as Span;
    let events = 1 + rng.below(6);
    scenario.events = (0..events).map(|_| timed(&mut rng, &scenario)).collect();
    scenario.events.sort_by_key(|timed| timed.at);
    scenario
}

fn timed(rng: &mut Rng, scenario: &Scenario) -> Timed {
    // Whole tenths of seconds, so that some fall on the same instant.
    let at = SECOND + rng.below((scenario.length - QUIET_END) / (100 * MS)) * 100 * MS;
    Timed { at, line: 0, event: event(rng, scenario) }
}

fn event(rng: &mut Rng, scenario: &Scenario) -> Event {
    let site = &scenario.site;
    let span = |rng: &mut Rng, from: f64, to: f64| (rng.between(from, to) * 10.0) as Span * 100 * MS;
    let some = |rng: &mut Rng| Which::Share(rng.between(0.1, 0.7));
    match rng.below(20) {
        0 | 1 => Event::KillGateways(some(rng), Some(span(rng, 1.0, 8.0))),
        2 => Event::RestartGateways(some(rng)),
        3 => Event::ReloadGateways(Which::All),
        4 | 5 => Event::Traffic(rng.between(1.3, 2.5), span(rng, 3.0, 10.0), 200 * MS),
        6 => Event::SlowHosts(some(rng), rng.between(2.0, 10.0), span(rng, 3.0, 15.0)),
        7 => Event::PauseHosts(some(rng), span(rng, 0.3, 3.0)),
        8 => Event::DrainHosts(some(rng), span(rng, 0.0, 4.0), span(rng, 1.0, 6.0)),
        9 => Event::KillHosts(some(rng), rng.chance(0.6).then(|| span(rng, 1.0, 8.0))),
        10 => Event::RestartHosts(if rng.chance(0.3) { Which::All } else { some(rng) }),
        11 => Event::AddHosts(1 + rng.below(4) as u32),
        12 => Event::ReplaceHosts(some(rng), rng.chance(0.5)),
        13 => Event::Heavy(
            site.classes[rng.below(site.classes.len() as u64) as usize].name.clone(),
            rng.between(0.005, 0.03),
            rng.between(5.0, 30.0),
            span(rng, 3.0, 15.0),
        ),
        14 => Event::GarbleHosts(rng.between(0.005, 0.1), span(rng, 2.0, 10.0)),
        15 => Event::GarbleCounter(rng.between(0.01, 0.3), span(rng, 2.0, 10.0)),
        16 => cut(rng, site.gateways, site.hosts, site.buildings),
        17 | 18 => Event::Counter(counter_fault(rng, site.gateways), span(rng, 1.0, 12.0)),
        _ => Event::Discovery(discovery_fault(rng), span(rng, 1.0, 8.0)),
    }
}

fn cut(rng: &mut Rng, gateways: u32, hosts: u32, buildings: u32) -> Event {
    let gateway = Side::Gateway(1 + rng.below(u64::from(gateways)) as u32);
    let other = match rng.below(4) {
        0 => Side::Counter,
        1 => Side::Clients,
        2 => Side::Building(1 + rng.below(u64::from(buildings)) as u32),
        _ => Side::Host(1 + rng.below(u64::from(hosts)) as u32),
    };
    let span = (3 + rng.below(60)) * 100 * MS;
    Event::Cut(gateway, other, span, rng.chance(0.4))
}

fn counter_fault(rng: &mut Rng, gateways: u32) -> CounterFault {
    match rng.below(8) {
        0 => CounterFault::Lost,
        1 => CounterFault::Silent,
        2 => CounterFault::Mute,
        3 => CounterFault::Slow(80 * MS, 500 * MS),
        4 => CounterFault::Split((1..=gateways).map(|gateway| vec![gateway]).collect()),
        5 => CounterFault::Fresh,
        6 => CounterFault::Flapping((3 + rng.below(10)) * 100 * MS),
        _ => CounterFault::Full,
    }
}

fn discovery_fault(rng: &mut Rng) -> DiscoveryFault {
    match rng.below(4) {
        0 => DiscoveryFault::Silent,
        1 => DiscoveryFault::Late((5 + rng.below(30)) * 100 * MS),
        2 => DiscoveryFault::Repeats,
        _ => DiscoveryFault::Reordered,
    }
}
