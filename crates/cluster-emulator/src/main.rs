//! The command line of the cluster emulator.

mod plan;

use anyhow::{anyhow, bail, Context, Result};
use clap::Parser;
use cluster_emulator::{
    only, random_fleet, random_scenario, read_operators, run_child_process, run_real, run_virtual, Ground,
    HistoryCheck, OnPacket, Progress, RealOptions, RunOutcome, RunTrace, Swarm, VirtualOptions,
};
use cluster_model::file;
use cluster_model::scenario::Scenario;
use gateway::Operators;
use report::{html, json, progress, speed_line, table, Heading};
use simulated_runtime::What;
use std::fs::File;
use std::io::{self, BufWriter, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

/// Emulate a whole site on this machine: gateways, hosts, counter, discovery and clients.
///
/// Without a scenario, runs `calm` in virtual time and prints a table of the results.
#[derive(Debug, Parser)]
#[command(name = "cluster-emulator", version, after_help = EXIT_CODES)]
struct CommandLine {
    /// A scenario file, or the name of a shipped scenario (see --list)
    #[arg(default_value = "calm")]
    scenario: String,
    /// List the shipped scenarios
    #[arg(long)]
    list: bool,
    /// Seed of all randomness
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Run the scenario with this number of gateways; scales hosts, requests, counter calls and customers' gateway sets too
    #[arg(long, value_name = "COUNT", value_parser = clap::value_parser!(u32).range(1..=1000))]
    gateways: Option<u32>,
    /// Run on real sockets and in real time, with the release program once per gateway
    #[arg(long, conflicts_with = "digest")]
    real: bool,
    /// With --real: pass each connection through a link that can fail, as the scenario says. With --swarm: run
    /// random fleets whose links fail, in virtual time or with --real
    #[arg(long)]
    links: bool,
    /// The gateway program for --real, instead of the one in the folder of this program
    #[arg(long, value_name = "PROGRAM", requires = "real")]
    gateway: Option<PathBuf>,
    /// Keep the gateways' logs of --real in this folder
    #[arg(long, value_name = "FOLDER", requires = "real")]
    logs: Option<PathBuf>,
    /// An operators' file for all gateways: pools, routes, quota policies and the plan for the loss of a site
    #[arg(long, value_name = "FILE", conflicts_with = "swarm")]
    operators: Option<PathBuf>,
    /// Print only a hash of all network traffic
    #[arg(long)]
    digest: bool,
    /// Write a line for each packet that arrives; with --real --links, a trace of links and processes for --replay
    #[arg(long, value_name = "FILE")]
    trace: Option<PathBuf>,
    /// With --real --links: repeat the run that wrote this trace, with each link fault at its position in the traffic
    #[arg(long, value_name = "FILE", requires_all = ["real", "links"],
          conflicts_with_all = ["scenario", "seed", "gateways", "swarm", "swarm_site", "show"])]
    replay: Option<PathBuf>,
    /// Print the timeline of this request (by its id in the gateways' logs) instead of the table
    #[arg(long, value_name = "REQUEST", value_parser = parse_request_id, conflicts_with_all = ["real", "swarm", "digest"])]
    explain: Option<u64>,
    /// Write the results of the invariant checker as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write one self-contained HTML page with plots
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Run this number of short random sites with random faults, until a rule is violated
    #[arg(long, value_name = "COUNT", conflicts_with_all = ["scenario", "digest", "trace", "json", "report", "show", "gateways"])]
    swarm: Option<u64>,
    /// Number of swarm sites to run at once
    #[arg(long, value_name = "COUNT", requires = "swarm")]
    jobs: Option<usize>,
    /// Run the random site with this number, as a swarm does
    #[arg(long, value_name = "NUMBER", conflicts_with_all = ["scenario", "seed", "swarm"])]
    swarm_site: Option<u64>,
    /// Run only these events of that site, counted from 1
    #[arg(long, value_name = "PLACES", value_delimiter = ',', requires = "swarm_site")]
    only: Option<Vec<usize>>,
    /// Print the scenario as a file without running it
    #[arg(long, conflicts_with = "only")]
    show: bool,
    /// Log level of the gateways in virtual time, to standard error: error, warn, info, debug
    #[arg(long, value_name = "LEVEL")]
    log: Option<tracing_subscriber::filter::LevelFilter>,
}

const EXIT_CODES: &str = "\
`cluster-emulator plan --help` describes how to simulate the loss of each site of an operators' plan.

Exit status: 0 all rules kept; 1 a rule was violated, or the run failed or was too slow to judge; 2 wrong usage;
3 a simulated process did not yield for 20 s.";

/// Most bytes of a packet that a trace shows.
const MAX_TRACED_BYTES: usize = 300;
/// Most history violations that are printed.
const MAX_FINDINGS: usize = 10;

fn main() -> ExitCode {
    if let Err(error) = run_child_process() {
        eprintln!("cluster-emulator: cannot start: {error}");
        return ExitCode::FAILURE;
    }
    if std::env::args_os().nth(1).is_some_and(|word| word == "plan") {
        return plan::main();
    }
    let line = CommandLine::parse();
    if let Some(level) = line.log {
        let log = tracing_subscriber::fmt().with_writer(io::stderr).with_ansi(false).without_time();
        log.with_max_level(level).init();
    }
    exit_code(run(&line))
}

fn exit_code(result: Result<bool>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("cluster-emulator: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Parses a request id of up to 16 hex digits.
fn parse_request_id(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16).map_err(|_| "an id is up to 16 hex digits".into())
}

/// Runs the command; returns whether all rules were kept.
fn run(line: &CommandLine) -> Result<bool> {
    if line.list {
        list();
        return Ok(true);
    }
    if line.links && !line.real && line.swarm.is_none() && line.swarm_site.is_none() {
        bail!("--links goes with --real, --swarm or --swarm-site");
    }
    if let Some(count) = line.swarm {
        return swarm(line, count);
    }
    if line.real && !line.links && line.trace.is_some() {
        bail!("with --real, --trace needs --links: it records the links");
    }
    let replay = line.replay.as_ref().map(|path| RunTrace::read(path)).transpose()?;
    let (scenario, seed) = match &replay {
        Some(trace) => (trace.timed(), trace.seed),
        None => resized_scenario(line)?,
    };
    if line.show {
        print!("{}", file::to_text(&scenario));
        return Ok(true);
    }
    let file = line.operators.as_ref().map(|path| read_operators(path, &scenario));
    let operators = file.transpose()?.unwrap_or_default();
    let started = Instant::now();
    let outcome = match line.real {
        true => real(line, (&scenario, seed), replay.as_ref()),
        false => in_virtual_time(line, &scenario, seed, &operators),
    }?;
    let heading = Heading {
        title: scenario.title.clone(),
        site: scenario.name.clone(),
        seed,
        length_s: scenario.length as f64 / 1e9,
        virtual_time: !line.real,
        wall_s: Some(started.elapsed().as_secs_f64()),
        digest: outcome.digest.map(|digest| format!("{digest:032x}")),
    };
    show(line, &outcome, &heading)?;
    if line.real {
        write_trace(line, &outcome, replay.as_ref())?;
    }
    let kept = outcome.verdict.violations.is_empty() && outcome.history.findings.is_empty();
    Ok(kept && outcome.errors.is_empty() && outcome.too_slow.is_none())
}

/// Returns the scenario, resized as requested, with its seed.
fn resized_scenario(line: &CommandLine) -> Result<(Scenario, u64)> {
    let (scenario, seed) = scenario(line)?;
    let Some(gateways) = line.gateways else { return Ok((scenario, seed)) };
    let name = scenario.name.clone();
    // The resized scenario may lack a machine that an event names.
    let resized = file::to_text(&scenario.with_gateways(gateways));
    let resized = file::parse(&format!("{name}.scenario"), &resized);
    Ok((resized.with_context(|| format!("{name} cannot be run with {gateways} gateways"))?, seed))
}

fn scenario(line: &CommandLine) -> Result<(Scenario, u64)> {
    if let Some(number) = line.swarm_site {
        let scenario = if line.links { random_fleet(number) } else { random_scenario(number) };
        let kept = line.only.as_ref().map(|kept| only(&scenario, kept));
        return Ok((kept.unwrap_or(scenario), number));
    }
    let name = &line.scenario;
    if let Some(text) = file::find(name) {
        return Ok((file::parse(&format!("{name}.scenario"), text)?, line.seed));
    }
    let path = Path::new(name);
    if !path.exists() && path.extension().is_none() {
        bail!("no shipped scenario is called `{name}`, and there is no such file (see --list)");
    }
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {name}"))?;
    Ok((file::parse(name, &text)?, line.seed))
}

fn list() {
    for (name, text) in file::shipped() {
        let title = file::parse(name, text).map_or_else(|error| error.to_string(), |outcome| outcome.title);
        println!("{name:<18} {title}");
    }
}

fn in_virtual_time(
    line: &CommandLine,
    scenario: &Scenario,
    seed: u64,
    operators: &Operators,
) -> Result<RunOutcome> {
    let trace = line.trace.as_ref().map(|path| tracer(path)).transpose()?;
    let mut progress_line = ProgressLine::new();
    let mut on_progress = |now: Progress| progress_line.update(now);
    let options = VirtualOptions {
        trace,
        progress: Some(&mut on_progress),
        explain: line.explain,
        operators: operators.clone(),
        ..VirtualOptions::default()
    };
    let outcome = run_virtual(scenario, seed, options);
    progress_line.end();
    outcome
}

/// Writes the trace of links and processes if requested, and compares a replay with its original.
fn write_trace(line: &CommandLine, outcome: &RunOutcome, replay: Option<&RunTrace>) -> Result<()> {
    if line.trace.is_none() && replay.is_none() {
        return Ok(());
    }
    let trace = outcome.trace.as_ref().map_err(|why| anyhow!("there is no trace: {why}"))?;
    if let Some(path) = &line.trace {
        let text = trace.to_text()?;
        std::fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))?;
    }
    if let Some(before) = replay {
        println!("{}", before.compare(trace));
    }
    Ok(())
}

fn real(
    line: &CommandLine,
    (scenario, seed): (&Scenario, u64),
    replay: Option<&RunTrace>,
) -> Result<RunOutcome> {
    let program = program(line)?;
    let mut progress_line = ProgressLine::new();
    let mut on_progress = |now: Progress| progress_line.update(now);
    let options = RealOptions {
        program,
        launcher: Some(std::env::current_exe()?),
        links: line.links,
        replay,
        logs: line.logs.clone(),
        operators: line.operators.clone(),
        gateway_override: None,
        progress: Some(&mut on_progress),
    };
    let outcome = run_real(scenario, seed, options);
    progress_line.end();
    outcome
}

/// Returns a tracer that writes a line for each packet. Write errors are ignored.
fn tracer(path: &Path) -> Result<OnPacket> {
    let file = File::create(path).with_context(|| format!("cannot write {}", path.display()))?;
    let mut file = BufWriter::new(file);
    Ok(Box::new(move |packet| {
        let _ = match &packet.what {
            What::Data(bytes) => {
                writeln!(file, "{packet} {}", bytes[..bytes.len().min(MAX_TRACED_BYTES)].escape_ascii())
            }
            _ => writeln!(file, "{packet}"),
        };
    }))
}

fn show(line: &CommandLine, outcome: &RunOutcome, heading: &Heading) -> Result<()> {
    let write = |path: &PathBuf, text: String| {
        std::fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))
    };
    if let Some(path) = &line.json {
        write(path, json(&outcome.verdict, heading))?;
    }
    if let Some(path) = &line.report {
        write(path, html(&outcome.verdict, heading))?;
    }
    if line.digest {
        println!("{}", heading.digest.as_deref().unwrap_or("-"));
        return Ok(());
    }
    if let Some(request) = line.explain {
        if outcome.timeline.is_empty() {
            bail!("no request {request:016x} was seen");
        }
        outcome.timeline.iter().for_each(|line| println!("{line}"));
        return Ok(());
    }
    print!("{}", table(&outcome.verdict, heading));
    for trouble in outcome.errors.iter().chain(&outcome.too_slow) {
        println!("{trouble}");
    }
    show_history(&outcome.history);
    if let Some(cpu) = outcome.gateway_cpu_s {
        let each = cpu * 1e6 / outcome.requests.max(1) as f64;
        println!("gateways: {cpu:.2} s of CPU, {each:.0} us a try");
    }
    if let Some(late) = outcome.max_lateness_s {
        println!("stand-ins: {:.0} ms late at the most", late * 1e3);
    }
    if let Some(speed) = speed_line(heading) {
        eprintln!("{speed}");
    }
    Ok(())
}

/// Prints up to `MAX_FINDINGS` violations of the history to standard output, and the time of the check to standard error
/// since it differs from run to run.
fn show_history(history: &HistoryCheck) {
    let HistoryCheck { findings, observations, duration } = history;
    for finding in findings.iter().take(MAX_FINDINGS) {
        println!("{finding}");
    }
    if findings.len() > MAX_FINDINGS {
        println!("history: and {} more", findings.len() - MAX_FINDINGS);
    }
    eprintln!("History of {observations} observations checked in {:.1} ms.", duration.as_secs_f64() * 1e3);
}

/// Returns the environment that the swarm runs in.
fn swarm_ground(line: &CommandLine) -> Result<Ground> {
    Ok(match (line.real, line.links) {
        (true, true) => Ground::Real { program: program(line)?, launcher: Some(std::env::current_exe()?) },
        (true, false) => bail!("a swarm on real processes needs links between them: --real --links --swarm"),
        (false, true) => Ground::Fleets,
        (false, false) => Ground::Sites,
    })
}

/// Returns the path of the gateway program.
fn program(line: &CommandLine) -> Result<PathBuf> {
    let default_path = || Ok::<_, io::Error>(std::env::current_exe()?.with_file_name("api-gateway"));
    let program = line.gateway.clone().map_or_else(default_path, Ok)?;
    if !program.exists() {
        bail!(
            "there is no {}: build it with `cargo build --release`, or name one with --gateway",
            program.display()
        );
    }
    Ok(program)
}

/// Runs a swarm; returns whether no site has failed.
fn swarm(line: &CommandLine, count: u64) -> Result<bool> {
    let cores = || std::thread::available_parallelism().map_or(1, |cores| cores.get());
    let swarm = Swarm { count, seed: line.seed, jobs: line.jobs.unwrap_or_else(cores) };
    let (is_terminal, started) = (io::stderr().is_terminal(), Instant::now());
    let ground = swarm_ground(line)?;
    let found = swarm.play_on(&ground, &|through| {
        if is_terminal {
            eprint!("\r{through} of {count} sites");
        }
    });
    if is_terminal {
        eprintln!();
    }
    let Some(found) = found else {
        println!("{count} random sites from {}: no rule broken", line.seed);
        eprintln!("{:.1} s", started.elapsed().as_secs_f64());
        return Ok(true);
    };
    let places: Vec<String> = found.kept.iter().map(usize::to_string).collect();
    let places = if places.is_empty() { "0".to_owned() } else { places.join(",") };
    println!("site {}: {}", found.site, found.what);
    for place in &found.kept {
        let timed = &found.scenario.events[place - 1];
        println!("  at {:.1} s: {}", timed.at as f64 / 1e9, timed.event);
    }
    let how = match ground {
        Ground::Real { .. } => "--real --links ",
        Ground::Fleets => "--links ",
        Ground::Sites | Ground::With(_) => "",
    };
    println!("again: cluster-emulator {how}--swarm-site {} --only {places}", found.site);
    Ok(false)
}

/// The progress line, which is shown only on a terminal.
struct ProgressLine {
    is_terminal: bool,
    started: Instant,
}

impl ProgressLine {
    fn new() -> ProgressLine {
        ProgressLine { is_terminal: io::stderr().is_terminal(), started: Instant::now() }
    }

    fn update(&mut self, now: Progress) {
        if self.is_terminal {
            let speed = now.done_s / self.started.elapsed().as_secs_f64().max(1e-9);
            eprint!("\r{}", progress(now.done_s, now.total_s, now.served, now.offered, speed));
        }
    }

    fn end(&self) {
        if self.is_terminal {
            eprintln!();
        }
    }
}
