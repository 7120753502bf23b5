//! Runs a scenario from its first request to its last response, in virtual time or on real sockets.

use crate::backend::{lock, Backend, MachineRole};
use crate::explain::Explain;
use crate::fault_injector::FaultInjector;
use crate::real::{GatewayOverride, LagMonitor, RealBackend};
use crate::site::{SiteOf, HEAD_START};
use crate::stated::stated;
use crate::trace::RunTrace;
use crate::virtual_time::{GatewayFactory, VirtualBackend};
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

/// Start of the virtual clock, in Unix time: an instant at which the names of counts change.
const EPOCH: Time = 1_800_000_000 * SECOND;
/// Time after the deadline of the last request for all else to end.
const TAIL: Span = 5 * SECOND;
/// Interval between checks of new observations on real sockets.
const REAL_CHECK_INTERVAL: Span = SECOND / 100;
/// Interval between checks for triggers in virtual time, while one is pending: a triggered event starts within it.
const TRIGGER_CHECK_INTERVAL: Span = SECOND / 10_000;
/// The same on real sockets, where the machine may be late.
const REAL_TRIGGER_CHECK_INTERVAL: Span = SECOND / 1_000;
/// Additional start-up time for each gateway on real sockets, since gateways start one after another.
const START_EACH: Span = SECOND / 25;
/// See [`VirtualOptions::stuck_after`].
const STUCK_AFTER: Duration = Duration::from_secs(20);

/// Progress of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Seconds from the first request.
    pub done_s: f64,
    /// Length of the run in seconds.
    pub total_s: f64,
    /// Requests sent so far.
    pub offered: u64,
    /// Requests served so far.
    pub served: u64,
}

/// Receives the progress once a second of the run.
pub type OnProgress<'a> = Option<&'a mut dyn FnMut(Progress)>;

/// Receives each packet that arrives on any connection.
pub type OnPacket = Box<dyn FnMut(&Packet) + Send>;

/// The outcome of a run.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// Verdict of the invariant checker.
    pub verdict: Verdict,
    /// Result of the history checker.
    pub history: HistoryCheck,
    /// Hash of all traffic, in virtual time.
    pub digest: Option<u128>,
    /// Errors of gateway and counter processes, and of links.
    pub errors: Vec<String>,
    /// Gateways that reached their crash point (see [`GatewayOverride`]), and at which second.
    pub crashed: Vec<(u32, f64)>,
    /// Why the machine was too slow to judge the run, if it was.
    pub too_slow: Option<String>,
    /// Largest delay of the thread of the fake services, in seconds, on real sockets.
    pub max_lateness_s: Option<f64>,
    /// CPU seconds of all gateways, on real sockets.
    pub gateway_cpu_s: Option<f64>,
    /// Requests sent to gateways.
    pub requests: u64,
    /// Timeline of the request to explain, a line for each observation.
    pub timeline: Vec<String>,
    /// Trace of links and processes, on processes with links between them; else why there is none.
    pub trace: Result<RunTrace, String>,
}

/// Result of checking the history of a run.
#[derive(Clone, Debug)]
pub struct HistoryCheck {
    /// Violations, each with the events that make it.
    pub findings: Vec<Finding>,
    /// Number of checked observations.
    pub observations: u64,
    /// Time of the check on the machine's clock.
    pub duration: Duration,
}

/// Options of a run in virtual time.
pub struct VirtualOptions<'a> {
    /// Receives each packet that arrives on any connection.
    pub trace: Option<OnPacket>,
    /// Ends the run at the first violation.
    pub stop_at_violation: bool,
    /// Receives the progress.
    pub progress: OnProgress<'a>,
    /// Creates what runs in place of the real gateway, if given.
    pub gateway: Option<GatewayFactory>,
    /// Operators' settings of the real gateways.
    pub operators: Operators,
    /// The request to explain.
    pub explain: Option<u64>,
    /// Longest time of one poll of a simulated task on the machine's clock. The program ends with status 3 and a message
    /// after it, since such a task cannot be stopped otherwise.
    pub stuck_after: Duration,
}

impl Default for VirtualOptions<'_> {
    fn default() -> Self {
        VirtualOptions {
            trace: None,
            stop_at_violation: false,
            progress: None,
            gateway: None,
            operators: Operators::default(),
            explain: None,
            stuck_after: STUCK_AFTER,
        }
    }
}

/// Options of a run on real sockets.
pub struct RealOptions<'a> {
    /// The gateway's program.
    pub program: PathBuf,
    /// A program whose `main` begins with [`run_child_process`](crate::run_child_process). Gateways started by it end with
    /// this process, also when it is killed, and the system limits their descriptors and memory as the site says.
    /// Without a launcher they end only if this process ends normally.
    pub launcher: Option<PathBuf>,
    /// Passes each connection between clients, gateways, hosts, counter and discovery through a link that can fail.
    pub links: bool,
    /// Trace of an earlier run of the same scenario, at whose positions link faults start.
    pub replay: Option<&'a RunTrace>,
    /// Folder for the gateways' logs.
    pub logs: Option<PathBuf>,
    /// Operators' file for all gateways.
    pub operators: Option<PathBuf>,
    /// Overrides the first process of one gateway.
    pub gateway_override: Option<GatewayOverride>,
    /// Receives the progress.
    pub progress: OnProgress<'a>,
}

/// Passes observations to the checkers as they arrive.
struct ObservationPipeline {
    recorder: Recorder,
    last: Time,
    judge: InvariantChecker,
    history: History,
    observations: u64,
    start: Time,
    total_s: f64,
    offered: u64,
    served: u64,
    reported_s: u64,
    explain: Option<Explain>,
}

impl ObservationPipeline {
    fn new(scenario: &Scenario, start: Time, on_sockets: bool, explain: Option<u64>) -> ObservationPipeline {
        ObservationPipeline {
            recorder: Recorder::default(),
            last: 0,
            judge: InvariantChecker::new(&scenario.site, &scenario.traffic, start),
            history: History::new(stated(scenario, on_sockets), start),
            observations: 0,
            start,
            total_s: scenario.length as f64 / SECOND as f64,
            offered: 0,
            served: 0,
            reported_s: 0,
            explain: explain.map(|request| Explain::new(request, &scenario.site, start)),
        }
    }

    /// Checks new observations and passes each to `on_observation`. Returns whether there is a violation.
    fn check(&mut self, mut on_observation: impl FnMut(&Observation)) -> bool {
        for observation in self.recorder.take() {
            // Observations of the separate counter process arrive slightly later than those made here meanwhile.
            self.last = self.last.max(observation.at);
            let observation = Observation { at: self.last, ..observation };
            on_observation(&observation);
            match observation.kind {
                ObservationKind::RequestSent { .. } => self.offered += 1,
                ObservationKind::RequestEnded { outcome: ClientOutcome::Served(true), .. } => {
                    self.served += 1
                }
                _ => {}
            }
            self.judge.observe(&observation);
            self.history.observe(&observation);
            self.observations += 1;
            self.explain.iter_mut().for_each(|explain| explain.see(&observation));
        }
        !self.judge.violations().is_empty()
    }

    fn report_progress(&mut self, now: Time, progress: &mut OnProgress<'_>) {
        let done_s = now.saturating_sub(self.start) / SECOND;
        let Some(progress) = progress.as_mut().filter(|_| done_s > self.reported_s) else { return };
        self.reported_s = done_s;
        progress(Progress {
            done_s: (done_s as f64).min(self.total_s),
            total_s: self.total_s,
            offered: self.offered,
            served: self.served,
        });
    }

    /// Checks the remaining observations and creates the outcome, also of a run that ended early.
    fn finish(mut self, now: Time) -> RunOutcome {
        self.check(|_| {});
        let started = Instant::now();
        let findings = self.history.check(now);
        RunOutcome {
            verdict: self.judge.finish(now),
            history: HistoryCheck { findings, observations: self.observations, duration: started.elapsed() },
            digest: None,
            errors: Vec::new(),
            crashed: Vec::new(),
            too_slow: None,
            max_lateness_s: None,
            gateway_cpu_s: None,
            requests: self.offered,
            timeline: self.explain.map_or_else(Vec::new, Explain::lines),
            trace: Err("only runs on processes with links between them have a trace".into()),
        }
    }
}

/// Returns when to run the fault injector next: sooner while a trigger is pending, since triggers fire only on
/// observations that were passed to it.
fn next_wakeup<S: Backend>(injector: &FaultInjector<S>, now: Time, check_interval: Span) -> Time {
    let timer = injector.next_timer();
    if injector.has_pending_triggers() {
        timer.min(now + check_interval)
    } else {
        timer
    }
}

/// Returns the end of a run whose first request is sent at `start`.
fn run_end(scenario: &Scenario, start: Time) -> Time {
    let longest_deadline = scenario.site.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    scenario.end(start) + longest_deadline * u64::from(scenario.traffic.retries + 1) + TAIL
}

/// Runs a scenario in virtual time. The same seed gives the same run to the byte.
///
/// # Errors
/// Fails if the site cannot be started, or a process panics or spins: the message names it.
pub fn run_virtual(scenario: &Scenario, seed: u64, mut options: VirtualOptions<'_>) -> Result<RunOutcome> {
    for timed in &scenario.events {
        if let Some(Trigger::LogLine(..)) = timed.trigger {
            bail!(
                "line {}: gateways in virtual time have no separate logs: run the scenario with --real",
                timed.line
            );
        }
    }
    let start = EPOCH + HEAD_START;
    let mut pipeline = ObservationPipeline::new(scenario, start, false, options.explain);
    let stage = VirtualBackend::new(&scenario.site, seed, EPOCH)
        .with_gateway(options.gateway.take())
        .with_operators(std::mem::take(&mut options.operators));
    let sim = stage.sim().clone();
    let played = format!("{}, seed {seed}", scenario.name);
    let _watchdog = Watchdog::start(&sim, options.stuck_after, move |stuck| {
        eprintln!("cluster-emulator: {played}: {stuck}");
        std::process::exit(3);
    });
    if let Some(trace) = options.trace.take() {
        sim.trace(trace);
    }
    let site = SiteOf::put_up(scenario.clone(), seed, stage, start, pipeline.recorder.clone())?;
    let done = Arc::new(AtomicBool::new(false));
    site.watch_clients(&done);
    let injector = Arc::new(Mutex::new(FaultInjector::new(site, start)));
    let failed = Arc::new(Mutex::new(None));
    let last = run_end(scenario, start);
    let mut halt_reason = None;
    while !done.load(Ordering::Relaxed) && sim.now() < last {
        let wakeup = next_wakeup(&lock(&injector), sim.now(), TRIGGER_CHECK_INTERVAL).min(last);
        let (acting, fails) = (injector.clone(), failed.clone());
        sim.at(wakeup, move |_| {
            if let Err(error) = lock(&acting).step() {
                *lock(&fails) = Some(error);
            }
        });
        if let Err(halt) = sim.run_until(wakeup) {
            halt_reason = Some(halt);
            break;
        }
        if let Some(error) = lock(&failed).take() {
            return Err(error);
        }
        let has_violation = pipeline.check(|observation| lock(&injector).observe(observation));
        if has_violation && options.stop_at_violation {
            break;
        }
        pipeline.report_progress(sim.now(), &mut options.progress);
    }
    let errors = lock(&injector).finish();
    drop(injector);
    if let Some(halt) = halt_reason {
        return Err(Halt::into(halt));
    }
    Ok(RunOutcome { digest: Some(sim.digest()), errors, ..pipeline.finish(sim.now()) })
}

/// Runs a scenario on real sockets and in real time.
///
/// # Errors
/// Fails if the site or the program cannot be started, or if the scenario needs links, as to cut clients off, and the run
/// has none.
pub fn run_real(scenario: &Scenario, seed: u64, options: RealOptions<'_>) -> Result<RunOutcome> {
    for timed in &scenario.events {
        if !options.links && needs_links(&timed.event) {
            bail!("`{}` needs links between the processes: run it with --links", timed.event);
        }
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(real(scenario, seed, options))
}

/// Whether an event needs links, since silent fake services cannot emulate it.
fn needs_links(event: &Event) -> bool {
    match event {
        Event::Partition(a, b, ..) => [a, b].contains(&&PartitionSide::Clients),
        Event::Links(..) | Event::IsolateBuilding(..) | Event::PowerLoss(..) => true,
        _ => false,
    }
}

async fn real(scenario: &Scenario, seed: u64, mut options: RealOptions<'_>) -> Result<RunOutcome> {
    let mut stage = RealBackend::new(&scenario.site, seed, &options)?;
    for timed in &scenario.events {
        if let Some(Trigger::LogLine(gateway, _)) = timed.trigger {
            stage.watch_log(gateway - 1);
        }
    }
    let env = stage.env();
    let start = env.now() + HEAD_START + START_EACH * u64::from(scenario.site.gateways);
    let mut pipeline = ObservationPipeline::new(scenario, start, true, None);
    let site = SiteOf::put_up(scenario.clone(), seed, stage, start, pipeline.recorder.clone())?;
    let done = Arc::new(AtomicBool::new(false));
    site.watch_clients(&done);
    if env.now() > start {
        bail!("too slow to judge: the site was not up when its clients were to begin");
    }
    let mut injector = FaultInjector::new(site, start);
    let last = run_end(scenario, start);
    let (mut lag, mut last_wait_check) = (LagMonitor::default(), env.now());
    while !done.load(Ordering::Relaxed) && env.now() < last {
        let check_interval =
            if injector.has_pending_triggers() { REAL_TRIGGER_CHECK_INTERVAL } else { REAL_CHECK_INTERVAL };
        env.sleep_until(injector.next_timer().min(env.now() + check_interval)).await;
        let now = env.now();
        if now >= start {
            lag.record_pass(now, check_interval);
        }
        if now >= last_wait_check + SECOND {
            let waits = injector.site.backend.cpu_wait_shares(now - last_wait_check);
            for (gateway, share) in waits.into_iter().filter(|_| now > start + SECOND) {
                // A slowed gateway can wait for a core only in its running part of the time.
                let slowness = injector.site.gateways[gateway as usize].slowness(now);
                lag.record_cpu_wait(gateway, share * slowness);
            }
            last_wait_check = now;
        }
        // Stopped fake services close their connections at their next poll, also when this loop is late.
        tokio::task::yield_now().await;
        injector.poll_logs();
        injector.step()?;
        injector.apply_silences();
        pipeline.check(|observation| injector.observe(observation));
        pipeline.report_progress(env.now(), &mut options.progress);
    }
    let cpu = injector.site.backend.cpu_s();
    let errors = injector.finish();
    let events: Vec<(i64, usize)> =
        injector.started_events.iter().map(|(at, place)| (*at as i64 - start as i64, *place)).collect();
    let done = injector.site.backend.trace_lines(start);
    let trace = done.map(|(links, processes)| RunTrace {
        seed,
        scenario: scenario.clone(),
        events,
        links,
        processes,
    });
    let seconds = |at: Time| at.saturating_sub(start) as f64 / SECOND as f64;
    let crashed = injector.crashed.iter().map(|(gateway, at)| (*gateway, seconds(*at))).collect();
    let played = pipeline.finish(env.now());
    let has_violation = !(played.verdict.violations.is_empty()
        && played.verdict.notes.is_empty()
        && played.history.findings.is_empty()
        && errors.is_empty());
    Ok(RunOutcome {
        errors,
        crashed,
        too_slow: lag.too_slow(has_violation),
        max_lateness_s: Some(lag.max_lateness() as f64 / SECOND as f64),
        gateway_cpu_s: Some(cpu),
        trace,
        ..played
    })
}

impl FaultInjector<RealBackend> {
    /// Lets fake services emulate partitions by being silent.
    fn apply_silences(&mut self) {
        for silence in std::mem::take(&mut self.site.backend.silences) {
            let gateway = silence.gateway;
            match silence.role {
                MachineRole::Counter => self.site.counter.set_silent(gateway, silence.silent, silence.reset),
                MachineRole::Host(place) => {
                    let hosts = self.site.hosts.iter().filter(|host| host.place == place);
                    for host in hosts.filter_map(|host| host.running.as_ref()) {
                        host.set_silent(gateway, silence.silent);
                        if silence.reset {
                            host.reset_gateway(gateway);
                        }
                    }
                }
                MachineRole::Gateway(_) | MachineRole::Clients => {}
            }
        }
    }
}

impl<S: Backend> SiteOf<S> {
    /// Sets a flag when all clients have finished.
    fn watch_clients(&self, done: &Arc<AtomicBool>) {
        let (clients, done) = (self.clients.waiter(), done.clone());
        self.backend.process(MachineRole::Clients, "end").spawn(async move {
            clients.await;
            done.store(true, Ordering::Relaxed);
        });
    }
}
