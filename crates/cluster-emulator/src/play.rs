//! A scenario from its first request to its last answer.

use crate::director::Director;
use crate::explain::Explain;
use crate::real::{Lag, RealStage, Special};
use crate::site::{SiteOf, HEAD_START};
use crate::stage::{lock, Post, Stage};
use crate::stated::stated;
use crate::trace::RunTrace;
use crate::virtual_time::{GatewayMaker, VirtualStage};
use anyhow::{bail, Result};
use cluster_model::observation::{ClientOutcome, Observation, ObservationKind};
use cluster_model::scenario::{Event, PartitionSide, Scenario, Trigger};
use cluster_model::SECOND;
use fake_services::Recorder;
use gateway::Operators;
use history_checker::{Finding, History};
use invariants::{InvariantChecker, Verdict};
use runtime::{Env, Span, Time};
use simulated_runtime::{Halt, Packet, Watchdog};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What the virtual clock shows at first: some day, at a moment where the names of counts change.
const EPOCH: Time = 1_800_000_000 * SECOND;
/// After the last request's time is up, the rest gets this long to come to an end.
const TAIL: Span = 5 * SECOND;
/// In a real rehearsal, sightings are judged this often.
const REAL_BEAT: Span = SECOND / 100;
/// In virtual time, signs are looked for this often while one may come: within this, what begins by one has begun.
const MOMENT_BEAT: Span = SECOND / 10_000;
/// The same on sockets, where the machine may be later.
const REAL_MOMENT_BEAT: Span = SECOND / 1_000;
/// A real gateway gets this long beside to be started, since all are started one after another.
const START_EACH: Span = SECOND / 25;
/// See [`VirtualOptions::stuck`].
const STUCK: Duration = Duration::from_secs(20);

/// How far a rehearsal is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Seconds from the first request.
    pub done_s: f64,
    /// Seconds in all.
    pub total_s: f64,
    /// Tries that came so far.
    pub offered: u64,
    /// Tries served so far.
    pub served: u64,
}

/// Who is told how far a rehearsal is, once a second of it.
pub type OnProgress<'a> = Option<&'a mut dyn FnMut(Progress)>;

/// Who sees everything that arrives on any wire.
pub type OnPacket = Box<dyn FnMut(&Packet) + Send>;

/// What a rehearsal came to.
#[derive(Clone, Debug)]
pub struct Played {
    /// What the judge found.
    pub verdict: Verdict,
    /// What the checker of its history found.
    pub history: Checked,
    /// The hash over everything that passed on any wire, in virtual time.
    pub digest: Option<u128>,
    /// What went wrong with processes of gateways, in words.
    pub troubles: Vec<String>,
    /// Gateways that ended themselves as arranged (see [`Special`]), and at which second.
    pub died: Vec<(u32, f64)>,
    /// Why the run cannot be judged, if it cannot: the machine was too slow.
    pub too_slow: Option<String>,
    /// The longest that the thread of the stand-ins came late, in seconds, on real sockets.
    pub late_s: Option<f64>,
    /// Seconds of CPU that all gateways took, on real sockets.
    pub gateway_cpu_s: Option<f64>,
    /// Tries that came to gateways.
    pub tries: u64,
    /// The way of the request that was to be explained, a line for each thing seen.
    pub explained: Vec<String>,
    /// What links and processes did, on processes with links between them; else why there is none.
    pub trace: Result<RunTrace, String>,
}

/// What the checker of a run's history came to.
#[derive(Clone, Debug)]
pub struct Checked {
    /// Breaches, each with the events that make it.
    pub findings: Vec<Finding>,
    /// Sightings that it was shown.
    pub sightings: u64,
    /// How long it took for all of them, on the machine's own clock.
    pub took: Duration,
}

/// How to play in virtual time.
pub struct VirtualOptions<'a> {
    /// Sees everything that arrives on any wire.
    pub trace: Option<OnPacket>,
    /// Ends at the first broken rule.
    pub stop_at_breach: bool,
    /// Is told how far it is.
    pub progress: OnProgress<'a>,
    /// What runs in the place of the real gateway, if anything does.
    pub gateway: Option<GatewayMaker>,
    /// What the operators' files of the real gateways say.
    pub operators: Operators,
    /// The request whose way is to be told.
    pub explain: Option<u64>,
    /// One turn of a simulated task may take this long on the machine's own clock. Longer, and the program
    /// ends with status 3 and a message: nothing else can be done about such a task.
    pub stuck: Duration,
}

impl Default for VirtualOptions<'_> {
    fn default() -> Self {
        VirtualOptions {
            trace: None,
            stop_at_breach: false,
            progress: None,
            gateway: None,
            operators: Operators::default(),
            explain: None,
            stuck: STUCK,
        }
    }
}

/// How to play on real sockets.
pub struct RealOptions<'a> {
    /// The gateway's program.
    pub program: PathBuf,
    /// A program whose `main` begins with [`become_process`](crate::become_process): by way of it gateways end with
    /// the one that plays, also where that is killed, and are held to the site's descriptors and memory by the
    /// system. Without one they only end where it ends in order.
    pub launcher: Option<PathBuf>,
    /// Each connection between clients, gateways, hosts, counter and discovery goes through a link that can fail.
    pub links: bool,
    /// An earlier run of the same scenario: faults of links begin where they did in it.
    pub replay: Option<&'a RunTrace>,
    /// Where its logs go.
    pub logs: Option<PathBuf>,
    /// The operators' file of all gateways.
    pub operators: Option<PathBuf>,
    /// A gateway whose first process is not as the others.
    pub special: Option<Special>,
    /// Is told how far it is.
    pub progress: OnProgress<'a>,
}

/// Looks at sightings as they come.
struct Bench {
    recorder: Recorder,
    last: Time,
    judge: InvariantChecker,
    history: History,
    sightings: u64,
    start: Time,
    total_s: f64,
    offered: u64,
    served: u64,
    told_s: u64,
    explain: Option<Explain>,
}

impl Bench {
    fn new(scenario: &Scenario, start: Time, on_sockets: bool, explain: Option<u64>) -> Bench {
        Bench {
            recorder: Recorder::default(),
            last: 0,
            judge: InvariantChecker::new(&scenario.site, &scenario.traffic, start),
            history: History::new(stated(scenario, on_sockets), start),
            sightings: 0,
            start,
            total_s: scenario.length as f64 / SECOND as f64,
            offered: 0,
            served: 0,
            told_s: 0,
            explain: explain.map(|request| Explain::new(request, &scenario.site, start)),
        }
    }

    /// Judges what has been seen. Whether a rule is broken.
    fn judge(&mut self, mut told: impl FnMut(&Observation)) -> bool {
        for seen in self.recorder.take() {
            // What a process of its own has seen comes a little later than what others have meanwhile.
            self.last = self.last.max(seen.at);
            let seen = Observation { at: self.last, ..seen };
            told(&seen);
            match seen.kind {
                ObservationKind::RequestSent { .. } => self.offered += 1,
                ObservationKind::RequestEnded { outcome: ClientOutcome::Served(true), .. } => {
                    self.served += 1
                }
                _ => {}
            }
            self.judge.observe(&seen);
            self.history.observe(&seen);
            self.sightings += 1;
            self.explain.iter_mut().for_each(|explain| explain.see(&seen));
        }
        !self.judge.violations().is_empty()
    }

    fn tell(&mut self, now: Time, progress: &mut OnProgress<'_>) {
        let done_s = now.saturating_sub(self.start) / SECOND;
        let Some(progress) = progress.as_mut().filter(|_| done_s > self.told_s) else { return };
        self.told_s = done_s;
        progress(Progress {
            done_s: (done_s as f64).min(self.total_s),
            total_s: self.total_s,
            offered: self.offered,
            served: self.served,
        });
    }

    /// All breaches of a run that ended early are in the verdict, too.
    fn finish(mut self, now: Time) -> Played {
        self.judge(|_| {});
        let begun = Instant::now();
        let findings = self.history.check(now);
        Played {
            verdict: self.judge.finish(now),
            history: Checked { findings, sightings: self.sightings, took: begun.elapsed() },
            digest: None,
            troubles: Vec::new(),
            died: Vec::new(),
            too_slow: None,
            late_s: None,
            gateway_cpu_s: None,
            tries: self.offered,
            explained: self.explain.map_or_else(Vec::new, Explain::lines),
            trace: Err("only runs on processes with links between them have a trace".into()),
        }
    }
}

/// When the director is to be asked next: sooner where a sign may come, since only what it has been shown can begin by
/// one.
fn next_due<S: Stage>(director: &Director<S>, now: Time, beat: Span) -> Time {
    let due = director.next_due();
    if director.waits() {
        due.min(now + beat)
    } else {
        due
    }
}

/// When all has to have ended, for a first request at `start`.
fn end(scenario: &Scenario, start: Time) -> Time {
    let longest = scenario.site.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    scenario.end(start) + longest * u64::from(scenario.traffic.retries + 1) + TAIL
}

/// Plays a scenario in virtual time. The same seed gives the same run to the byte.
///
/// # Errors
/// Where the site cannot be put up, or a process panics or spins: the message names it.
pub fn play_virtual(scenario: &Scenario, seed: u64, mut options: VirtualOptions<'_>) -> Result<Played> {
    for timed in &scenario.events {
        if let Some(Trigger::LogLine(..)) = timed.trigger {
            bail!(
                "line {}: gateways of virtual time have no logs of their own: play it with --real",
                timed.line
            );
        }
    }
    let start = EPOCH + HEAD_START;
    let mut bench = Bench::new(scenario, start, false, options.explain);
    let stage = VirtualStage::new(&scenario.site, seed, EPOCH)
        .with_gateway(options.gateway.take())
        .with_operators(std::mem::take(&mut options.operators));
    let sim = stage.sim().clone();
    let played = format!("{}, seed {seed}", scenario.name);
    let _watchdog = Watchdog::start(&sim, options.stuck, move |stuck| {
        eprintln!("cluster-emulator: {played}: {stuck}");
        std::process::exit(3);
    });
    if let Some(trace) = options.trace.take() {
        sim.trace(trace);
    }
    let site = SiteOf::put_up(scenario.clone(), seed, stage, start, bench.recorder.clone())?;
    let done = Arc::new(AtomicBool::new(false));
    site.watch_clients(&done);
    let director = Arc::new(Mutex::new(Director::new(site, start)));
    let failed = Arc::new(Mutex::new(None));
    let last = end(scenario, start);
    let mut halted = None;
    while !done.load(Ordering::Relaxed) && sim.now() < last {
        let due = next_due(&lock(&director), sim.now(), MOMENT_BEAT).min(last);
        let (acting, fails) = (director.clone(), failed.clone());
        sim.at(due, move |_| {
            if let Err(error) = lock(&acting).step() {
                *lock(&fails) = Some(error);
            }
        });
        if let Err(halt) = sim.run_until(due) {
            halted = Some(halt);
            break;
        }
        if let Some(error) = lock(&failed).take() {
            return Err(error);
        }
        let broken = bench.judge(|seen| lock(&director).see(seen));
        if broken && options.stop_at_breach {
            break;
        }
        bench.tell(sim.now(), &mut options.progress);
    }
    let troubles = lock(&director).end();
    drop(director);
    if let Some(halt) = halted {
        return Err(Halt::into(halt));
    }
    Ok(Played { digest: Some(sim.digest()), troubles, ..bench.finish(sim.now()) })
}

/// Plays a scenario on real sockets and in real time.
///
/// # Errors
/// Where the site cannot be put up, the program cannot be started, or the scenario cuts clients off.
pub fn play_real(scenario: &Scenario, seed: u64, options: RealOptions<'_>) -> Result<Played> {
    for timed in &scenario.events {
        if !options.links && needs_links(&timed.event) {
            bail!("`{}` needs links between the processes: play it with --links", timed.event);
        }
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(real(scenario, seed, options))
}

/// Whether stand-ins that fall silent cannot do what the event asks for.
fn needs_links(event: &Event) -> bool {
    match event {
        Event::Partition(a, b, ..) => [a, b].contains(&&PartitionSide::Clients),
        Event::Links(..) | Event::IsolateBuilding(..) | Event::PowerLoss(..) => true,
        _ => false,
    }
}

async fn real(scenario: &Scenario, seed: u64, mut options: RealOptions<'_>) -> Result<Played> {
    let mut stage = RealStage::new(&scenario.site, seed, &options)?;
    for timed in &scenario.events {
        if let Some(Trigger::LogLine(gateway, _)) = timed.trigger {
            stage.watch_log(gateway - 1);
        }
    }
    let env = stage.env();
    let start = env.now() + HEAD_START + START_EACH * u64::from(scenario.site.gateways);
    let mut bench = Bench::new(scenario, start, true, None);
    let site = SiteOf::put_up(scenario.clone(), seed, stage, start, bench.recorder.clone())?;
    let done = Arc::new(AtomicBool::new(false));
    site.watch_clients(&done);
    if env.now() > start {
        bail!("too slow to judge: the site was not up when its clients were to begin");
    }
    let mut director = Director::new(site, start);
    let last = end(scenario, start);
    let (mut lag, mut looked) = (Lag::default(), env.now());
    while !done.load(Ordering::Relaxed) && env.now() < last {
        let beat = if director.waits() { REAL_MOMENT_BEAT } else { REAL_BEAT };
        env.sleep_until(director.next_due().min(env.now() + beat)).await;
        let now = env.now();
        if now >= start {
            lag.beat(now, beat);
        }
        if now >= looked + SECOND {
            let waits = director.site.stage.waits(now - looked);
            for (gateway, share) in waits.into_iter().filter(|_| now > start + SECOND) {
                // A slowed one has only a part of the time to wait in.
                let slowness = director.site.gateways[gateway as usize].slowness(now);
                lag.waited(gateway, share * slowness);
            }
            looked = now;
        }
        // Stand-ins that were told to end close what they hold at their next turn, also where this loop is late.
        tokio::task::yield_now().await;
        director.read_logs();
        director.step()?;
        director.be_silent();
        bench.judge(|seen| director.see(seen));
        bench.tell(env.now(), &mut options.progress);
    }
    let cpu = director.site.stage.cpu_s();
    let troubles = director.end();
    let events: Vec<(i64, usize)> =
        director.begun.iter().map(|(at, place)| (*at as i64 - start as i64, *place)).collect();
    let done = director.site.stage.done(start);
    let trace = done.map(|(links, processes)| RunTrace {
        seed,
        scenario: scenario.clone(),
        events,
        links,
        processes,
    });
    let seconds = |at: Time| at.saturating_sub(start) as f64 / SECOND as f64;
    let died = director.died.iter().map(|(gateway, at)| (*gateway, seconds(*at))).collect();
    let played = bench.finish(env.now());
    let broken = !(played.verdict.violations.is_empty()
        && played.verdict.notes.is_empty()
        && played.history.findings.is_empty()
        && troubles.is_empty());
    Ok(Played {
        troubles,
        died,
        too_slow: lag.too_slow(broken),
        late_s: Some(lag.late() as f64 / SECOND as f64),
        gateway_cpu_s: Some(cpu),
        trace,
        ..played
    })
}

impl Director<RealStage> {
    /// Lets stand-ins do what a cut network would.
    fn be_silent(&mut self) {
        for silence in std::mem::take(&mut self.site.stage.silences) {
            let gateway = silence.gateway;
            match silence.post {
                Post::Counter => self.site.counter.be_silent(gateway, silence.silent, silence.reset),
                Post::Host(place) => {
                    let there = self.site.hosts.iter().filter(|host| host.place == place);
                    for host in there.filter_map(|host| host.running.as_ref()) {
                        host.set_silent(gateway, silence.silent);
                        if silence.reset {
                            host.reset_gateway(gateway);
                        }
                    }
                }
                Post::Gateway(_) | Post::Clients => {}
            }
        }
    }
}

impl<S: Stage> SiteOf<S> {
    /// Sets a flag when all clients are through.
    fn watch_clients(&self, done: &Arc<AtomicBool>) {
        let (clients, done) = (self.clients.waiter(), done.clone());
        self.stage.process(Post::Clients, "end").spawn(async move {
            clients.await;
            done.store(true, Ordering::Relaxed);
        });
    }
}
