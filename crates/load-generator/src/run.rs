//! One run: stand-ins and clients around one program, and what came of it.

use crate::calls;
use crate::client::{self, Crowd};
use crate::counter::{self, Counter};
use crate::hosts::{self, HostSpec, Work};
use crate::process::{Cores, Program, Usage};
use crate::progress::Progress;
use crate::spec::Spec;
use crate::stats::{Counts, Latency, Stats};
use anyhow::{Context, Result};
use cluster_model::agent::{Endpoint, Registry};
use cluster_model::observation::Lifecycle;
use cluster_model::scenario::{PlanSpec, Scenario};
use cluster_model::settings::{config_document, machine_type, zone_name, GatewayStart};
use fake_services::agent::{AgentConfig, AgentStandIn, SharedRegistry};
use fake_services::Recorder;
use runtime::SystemEnv;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::str::FromStr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often memory is looked at.
const LOOKS: Duration = Duration::from_millis(50);
/// For so long a program is left alone after a run, to see what it costs at rest.
const REST: Duration = Duration::from_secs(5);
const CALM_BEFORE_REST: Duration = Duration::from_secs(3);

/// What is measured.
#[derive(Clone, Debug, PartialEq)]
pub enum Subject {
    /// A gateway: this program.
    Gateway(PathBuf),
    /// The relay that decides nothing, with so many connections a host.
    Relay(usize),
    /// Two reads and two writes a request, and nothing else.
    Floor,
}

impl FromStr for Subject {
    type Err = String;

    /// `floor`, `relay:CONNECTIONS`, or the path of a gateway's program.
    fn from_str(word: &str) -> Result<Subject, String> {
        match (word, word.strip_prefix("relay:")) {
            ("floor", _) => Ok(Subject::Floor),
            (_, Some(connections)) => match connections.parse() {
                Ok(connections @ 1..=64) => Ok(Subject::Relay(connections)),
                _ => Err(format!("`{word}`: a relay has 1 to 64 connections a host, as in `relay:8`")),
            },
            (path, None) => Ok(Subject::Gateway(path.into())),
        }
    }
}

impl Subject {
    /// Its name in tables.
    pub fn name(&self) -> String {
        match self {
            Subject::Gateway(path) => {
                path.file_name().map_or_else(String::new, |n| n.to_string_lossy().into())
            }
            Subject::Relay(connections) => format!("relay-{connections}"),
            Subject::Floor => "floor".into(),
        }
    }
}

/// How a run is done.
#[derive(Clone, Debug, Default)]
pub struct Rig {
    /// Cores; none: there are too few, and figures cannot be compared.
    pub cores: Option<Cores>,
    /// System calls are counted, which slows the program down.
    pub calls: bool,
    /// The program is also looked at while nobody asks, after the run.
    pub rest: bool,
    /// Where the program's log is left.
    pub log: Option<PathBuf>,
}

/// What came of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    /// What was measured.
    pub subject: String,
    /// What was asked.
    pub spec: Spec,
    /// The program had a core of its own, and the rig three or more.
    pub comparable: bool,
    /// Seconds that count.
    pub seconds: f64,
    /// What became of all requests, of orders, of the premium plan's, of regular customers'.
    pub all: Counts,
    /// See `all`.
    pub orders: Counts,
    /// See `all`.
    pub premium: Counts,
    /// See `all`.
    pub regular: Counts,
    /// How long served answers took from when they were due.
    pub latency: Latency,
    /// How long refusals took.
    pub refusals: Latency,
    /// Answers of any kind a second.
    pub answers_per_s: f64,
    /// Answers within their aim, a second.
    pub goodput_per_s: f64,
    /// Microseconds of CPU an answer.
    pub cpu_us: f64,
    /// Share of a core.
    pub cpu_share: f64,
    /// Share of the CPU that was spent in the kernel.
    pub kernel_share: f64,
    /// Times that the program gave its core away or lost it, an answer.
    pub switches: f64,
    /// System calls an answer, where they were counted.
    pub calls: Option<f64>,
    /// The same by name, the most frequent first.
    pub calls_by_name: Vec<(String, f64)>,
    /// Memory at the end and at its peak, in MB.
    pub resident_mb: f64,
    /// See `resident_mb`.
    pub peak_mb: f64,
    /// The most of it, at the begin, the end and when all was answered, that was in no page of a file, in MB.
    pub anonymous_mb: f64,
    /// Share of a core while nobody asks.
    pub at_rest: Option<f64>,
    /// Calls to the counter an answer.
    pub counter_calls: f64,
    /// Attempts that came to hosts, an answer.
    pub attempts: f64,
    /// Connections that the program opened to hosts.
    pub host_connections: u64,
    /// The program ended as it was told to.
    pub ended_well: bool,
}

/// A site for one gateway.
struct Site {
    scenario: Scenario,
    hosts: Vec<SocketAddr>,
    work: Arc<Work>,
    counter: Arc<Counter>,
    counter_at: SocketAddr,
    registry: SharedRegistry,
    agent: AgentStandIn<SystemEnv>,
}

impl Site {
    async fn put_up(spec: &Spec) -> Result<Site> {
        let host = HostSpec {
            service: Duration::from_secs_f64(spec.service_ms / 1e3),
            cores: spec.cores,
            queue: spec.queue,
            value: spec.value,
        };
        let work = Arc::new(Work::default());
        let hosts = hosts::start(spec.hosts, host, &work).await.context("cannot put up the hosts")?;
        let (counter, counter_at) = counter::start().await.context("cannot put up the counter")?;
        let scenario = scenario(spec);
        let member = |(number, addr): (u32, &SocketAddr)| Endpoint {
            id: format!("s-{number:08x}"),
            host: number,
            addrs: [*addr].into(),
            zone: zone_name(0),
            machine_type: machine_type(&scenario),
            cell: number / 3,
            lifecycle: Lifecycle::InService,
            weight: 1.0,
            started_ms: 0,
        };
        let members = (0..).zip(&hosts).map(member).collect();
        let registry = Registry::new(&scenario.site.discovery, spec.seed, 1, members);
        let registry = SharedRegistry::new(registry, Recorder::default());
        let config = AgentConfig { registry: registry.clone(), gateway: 0, listen: loopback(0) };
        let agent = AgentStandIn::start(SystemEnv::start(), config).context("cannot put up discovery")?;
        Ok(Site { scenario, hosts, work, counter, counter_at, registry, agent })
    }

    /// The configuration of the gateway.
    fn document(&self, listen: SocketAddr, seed: u64) -> serde_json::Value {
        let now = runtime::Env::now(&SystemEnv::start());
        let known = self
            .registry
            .list(now, 0)
            .map_or_else(|| json!({}), |line| serde_json::from_str(&line.text).unwrap_or_else(|_| json!({})));
        let start = GatewayStart {
            name: "load".into(),
            listen,
            discovery: self.agent.addr(),
            counter: self.counter_at,
            seed,
            known_endpoints: known,
        };
        config_document(&self.scenario, 0, &start)
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port)
}

/// One gateway, one building, plans without further limits.
fn scenario(spec: &Spec) -> Scenario {
    let mut scenario = Scenario::default();
    let site = &mut scenario.site;
    (site.gateways, site.hosts, site.buildings) = (1, spec.hosts as u32, 1);
    (site.memory_mb, site.file_descriptors) = (spec.memory_mb, spec.sockets);
    let plan = |plan: &PlanSpec| PlanSpec {
        rate: spec.quota,
        burst: spec.quota.max(f64::from(crate::draw::MOST_UNITS)),
        max_in_flight: 0,
        spread: 1,
        ..plan.clone()
    };
    site.plans = site.plans.iter().map(plan).collect();
    scenario.traffic.max_units = crate::draw::MOST_UNITS;
    scenario.traffic.estimate_cv = 0.0;
    scenario
}

/// Plays one run. It ends by itself: its words are bounded.
pub async fn play(spec: &Spec, subject: &Subject, rig: &Rig, progress: &Progress) -> Result<Outcome> {
    spec.check().map_err(anyhow::Error::msg)?;
    let folder = tempfile::tempdir()?;
    let site = Site::put_up(spec).await?;
    // Taken for a moment, so that it is free; nobody else listens on loopback's high ports here.
    let listen = TcpListener::bind(loopback(0))?.local_addr()?;
    let mut command = command(subject, &site, listen, folder.path(), spec.seed)?;
    let log = rig.log.clone().unwrap_or_else(|| folder.path().join("log"));
    let mut program = Program::start(&mut command, rig.cores.map(|cores| cores.program), &log)?;
    program.until_ready(listen).with_context(|| tail(&log))?;

    let crowd = Crowd::new(spec.clone(), listen, site.scenario.site.classes.clone());
    if spec.prime {
        progress.say(&format!("{}: each of {} customers asks once", subject.name(), spec.customers));
        client::prime(&crowd).await;
    }
    client::start(&crowd);
    watch(&program, spec.warm_s, progress, "warming up", &crowd).await?;
    let marks = |site: &Site| {
        let load = |n: &std::sync::atomic::AtomicU64| n.load(Ordering::Relaxed);
        [load(&site.counter.calls), load(&site.work.served) + load(&site.work.turned_away)]
    };
    let (before, marked, begun) = (program.usage()?, marks(&site), Instant::now());
    let tracer = if rig.calls { Some(calls::Tracer::start(program.id(), folder.path())?) } else { None };
    let span = |ms| Duration::from_millis(ms);
    let halting = (spec.stop_ms > 0).then(|| program.halt_by_turns(span(spec.stop_ms), span(spec.go_ms)));
    crowd.count(true);
    watch(&program, spec.length_s, progress, &subject.name(), &crowd).await?;
    crowd.count(false);
    if let Some(halting) = halting {
        halting.end().await;
    }
    let (after, seconds) = (program.usage()?, begun.elapsed().as_secs_f64());
    let traced = tracer.map(calls::Tracer::end).transpose()?;
    let marked: Vec<u64> = marks(&site).iter().zip(marked).map(|(now, then)| now - then).collect();
    crowd.end();
    // What was due has its answer, or is given up, by then.
    let longest = site.scenario.site.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    settle(&crowd, Duration::from_nanos(longest) + Duration::from_millis(500)).await;
    let at_rest = if rig.rest { Some(rest(&program).await?) } else { None };
    let last = program.usage()?;
    let anonymous = before.anonymous.max(after.anonymous).max(last.anonymous);
    let ended_well = program.end();
    site.agent.stop();

    let used = before.until(&after);
    let stats = crowd.stats();
    Ok(outcome(
        spec,
        subject,
        rig,
        &stats,
        seconds,
        &used,
        marked,
        traced,
        at_rest,
        (last.peak, anonymous),
        ended_well,
        &site,
    ))
}

#[expect(clippy::too_many_arguments, reason = "each is one figure of the outcome")]
fn outcome(
    spec: &Spec,
    subject: &Subject,
    rig: &Rig,
    stats: &Stats,
    seconds: f64,
    used: &Usage,
    marked: Vec<u64>,
    traced: Option<calls::Counted>,
    at_rest: Option<f64>,
    (peak, anonymous): (u64, u64),
    ended_well: bool,
    site: &Site,
) -> Outcome {
    let answers = (stats.all.served + stats.all.refused + stats.all.failed).max(1) as f64;
    let cpu = used.cpu_ns.max(1) as f64;
    let traced = traced.unwrap_or_default();
    let each = |(name, calls): (String, u64)| (name, calls as f64 / answers);
    let calls_by_name: Vec<(String, f64)> = traced.by_name.into_iter().map(each).collect();
    Outcome {
        subject: subject.name(),
        spec: spec.clone(),
        comparable: rig.cores.is_some() && !rig.calls,
        seconds,
        all: stats.all,
        orders: stats.orders,
        premium: stats.premium,
        regular: stats.regular,
        latency: stats.latency(),
        refusals: stats.refusals(),
        answers_per_s: answers / seconds,
        goodput_per_s: stats.all.in_aim as f64 / seconds,
        cpu_us: cpu / 1e3 / answers,
        cpu_share: cpu / 1e9 / seconds,
        kernel_share: used.system_ns as f64 / cpu,
        switches: used.switches as f64 / answers,
        calls: rig.calls.then(|| calls_by_name.iter().map(|(_, each)| each).sum()),
        calls_by_name,
        resident_mb: used.resident as f64 / f64::from(1 << 20),
        peak_mb: peak as f64 / f64::from(1 << 20),
        anonymous_mb: anonymous as f64 / f64::from(1 << 20),
        at_rest,
        counter_calls: marked[0] as f64 / answers,
        attempts: marked[1] as f64 / answers,
        host_connections: site.work.connections.load(Ordering::Relaxed),
        ended_well,
    }
}

fn command(subject: &Subject, site: &Site, listen: SocketAddr, folder: &Path, seed: u64) -> Result<Command> {
    let hosts: Vec<String> = site.hosts.iter().map(ToString::to_string).collect();
    let own = std::env::current_exe().context("cannot tell this program's own path")?;
    let mut command = Command::new(match subject {
        Subject::Gateway(path) => path,
        _ => &own,
    });
    match subject {
        Subject::Gateway(_) => {
            let config = folder.join("config.json");
            fs::write(&config, site.document(listen, seed).to_string())?;
            command.env("ROUTER_CONFIG", config);
        }
        Subject::Relay(connections) => {
            command.args(["relay", "--listen", &listen.to_string(), "--hosts", &hosts.join(",")]);
            command.args(["--connections", &connections.to_string()]);
        }
        Subject::Floor => {
            command.args(["floor", "--listen", &listen.to_string(), "--hosts", &hosts.join(",")]);
        }
    }
    Ok(command)
}

/// The end of a log, for an error.
fn tail(log: &Path) -> String {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<&str> = text.lines().rev().take(5).collect();
    lines.into_iter().rev().collect::<Vec<_>>().join("\n")
}

/// Lets time pass, looks at memory, and says how it goes. An error once the program has ended.
async fn watch(
    program: &Program,
    seconds: f64,
    progress: &Progress,
    what: &str,
    crowd: &Crowd,
) -> Result<()> {
    let begun = Instant::now();
    let all = Duration::from_secs_f64(seconds);
    while begun.elapsed() < all {
        tokio::time::sleep(LOOKS.min(all.saturating_sub(begun.elapsed()))).await;
        let usage = program.usage().context("the program ended while it was asked")?;
        progress.show(what, begun.elapsed().as_secs_f64() / seconds, crowd.asked(), usage.resident);
    }
    Ok(())
}

/// Waits until nothing that counts is out, at the longest for so long.
async fn settle(crowd: &Crowd, longest: Duration) {
    let begun = Instant::now();
    while begun.elapsed() < longest && crowd.is_owed() {
        tokio::time::sleep(LOOKS).await;
    }
}

/// Share of a core that the program takes while nobody asks.
async fn rest(program: &Program) -> Result<f64> {
    tokio::time::sleep(CALM_BEFORE_REST).await;
    let (before, begun) = (program.usage()?, Instant::now());
    tokio::time::sleep(REST).await;
    let used = before.until(&program.usage()?);
    Ok(used.cpu_ns as f64 / 1e9 / begun.elapsed().as_secs_f64())
}
