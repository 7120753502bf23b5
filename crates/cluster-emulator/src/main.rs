//! The program that rehearses.

mod plan;

use anyhow::{anyhow, bail, Context, Result};
use clap::Parser;
use cluster_emulator::{
    become_process, only, play_real, play_virtual, random_fleet, random_scenario, read_operators, Checked,
    Ground, OnPacket, Played, Progress, RealOptions, RunTrace, Swarm, VirtualOptions,
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

/// Rehearse a whole site on this machine: gateways, hosts, counter, discovery and clients.
///
/// Without a scenario the calm day is played, in virtual time, and a table says how it went.
#[derive(Debug, Parser)]
#[command(name = "cluster-emulator", version, after_help = EXIT_CODES)]
struct CommandLine {
    /// A scenario's file, or the name of a shipped one (see --list)
    #[arg(default_value = "calm")]
    scenario: String,
    /// List the shipped scenarios
    #[arg(long)]
    list: bool,
    /// All chance comes from it
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Play the scenario with so many gateways; hosts, requests, the counter's calls and customers' sets go with them
    #[arg(long, value_name = "COUNT", value_parser = clap::value_parser!(u32).range(1..=1000))]
    gateways: Option<u32>,
    /// Play on real sockets and in real time, with the release program once per gateway
    #[arg(long, conflicts_with = "digest")]
    real: bool,
    /// With --real: lead each connection through a link that can fail, as the scenario says. With --swarm: play
    /// random fleets whose links fail, in virtual time or with --real
    #[arg(long)]
    links: bool,
    /// The gateway's program for --real, in place of the one beside this program
    #[arg(long, value_name = "PROGRAM", requires = "real")]
    gateway: Option<PathBuf>,
    /// Keep the gateways' logs of --real in this folder
    #[arg(long, value_name = "FOLDER", requires = "real")]
    logs: Option<PathBuf>,
    /// An operators' file for all gateways: pools, routes, quota policies and what to do when a site is lost
    #[arg(long, value_name = "FILE", conflicts_with = "swarm")]
    operators: Option<PathBuf>,
    /// Print one hash over everything that passed on any wire, and nothing else
    #[arg(long)]
    digest: bool,
    /// Write a line for everything that arrives on any wire; with --real --links, what links and processes did, for
    /// --replay
    #[arg(long, value_name = "FILE")]
    trace: Option<PathBuf>,
    /// With --real --links: play the run again that wrote this trace, each fault of a link where it began in it
    #[arg(long, value_name = "FILE", requires_all = ["real", "links"],
          conflicts_with_all = ["scenario", "seed", "gateways", "swarm", "swarm_site", "show"])]
    replay: Option<PathBuf>,
    /// Tell the way of this request through the site (its id as the gateways' log names it), instead of the table
    #[arg(long, value_name = "REQUEST", value_parser = id, conflicts_with_all = ["real", "swarm", "digest"])]
    explain: Option<u64>,
    /// Write what the judge found as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write one self-contained HTML page with plots
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Play so many short random sites with random faults, until a rule breaks
    #[arg(long, value_name = "COUNT", conflicts_with_all = ["scenario", "digest", "trace", "json", "report", "show", "gateways"])]
    swarm: Option<u64>,
    /// Sites of a swarm that are played at once
    #[arg(long, value_name = "COUNT", requires = "swarm")]
    jobs: Option<usize>,
    /// Play the random site with this number, as a swarm does
    #[arg(long, value_name = "NUMBER", conflicts_with_all = ["scenario", "seed", "swarm"])]
    swarm_site: Option<u64>,
    /// Of the events of that site, only these, counted from 1
    #[arg(long, value_name = "PLACES", value_delimiter = ',', requires = "swarm_site")]
    only: Option<Vec<usize>>,
    /// Print the scenario as a file, and do not play it
    #[arg(long, conflicts_with = "only")]
    show: bool,
    /// Log of the gateways in virtual time, to standard error: error, warn, info, debug
    #[arg(long, value_name = "LEVEL")]
    log: Option<tracing_subscriber::filter::LevelFilter>,
}

const EXIT_CODES: &str = "\
`cluster-emulator plan --help` tells how the loss of each site of an operators' plan is played.

Exit status: 0 all rules kept; 1 a rule was broken, or it could not be played, or was too slow to judge; 2 wrong usage;
3 a process did not give its turn back for 20 s.";

/// Bytes of what arrives that a trace shows.
const SHOWN: usize = 300;
/// Breaches of the history that are shown.
const MOST_FINDINGS: usize = 10;

fn main() -> ExitCode {
    if let Err(error) = become_process() {
        eprintln!("cluster-emulator: cannot begin: {error}");
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
    ended(run(&line))
}

fn ended(result: Result<bool>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("cluster-emulator: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// 16 hex digits, or fewer.
fn id(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16).map_err(|_| "an id is up to 16 hex digits".into())
}

/// Whether all rules were kept.
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
        bail!("with --real, --trace tells what links did: it goes with --links");
    }
    let replay = line.replay.as_ref().map(|path| RunTrace::read(path)).transpose()?;
    let (scenario, seed) = match &replay {
        Some(trace) => (trace.timed(), trace.seed),
        None => sized(line)?,
    };
    if line.show {
        print!("{}", file::to_text(&scenario));
        return Ok(true);
    }
    let file = line.operators.as_ref().map(|path| read_operators(path, &scenario));
    let operators = file.transpose()?.unwrap_or_default();
    let begun = Instant::now();
    let played = match line.real {
        true => real(line, (&scenario, seed), replay.as_ref()),
        false => in_virtual_time(line, &scenario, seed, &operators),
    }?;
    let heading = Heading {
        title: scenario.title.clone(),
        site: scenario.name.clone(),
        seed,
        length_s: scenario.length as f64 / 1e9,
        virtual_time: !line.real,
        wall_s: Some(begun.elapsed().as_secs_f64()),
        digest: played.digest.map(|digest| format!("{digest:032x}")),
    };
    show(line, &played, &heading)?;
    if line.real {
        keep_trace(line, &played, replay.as_ref())?;
    }
    let kept = played.verdict.violations.is_empty() && played.history.findings.is_empty();
    Ok(kept && played.troubles.is_empty() && played.too_slow.is_none())
}

/// The scenario, at the size that was asked for.
fn sized(line: &CommandLine) -> Result<(Scenario, u64)> {
    let (scenario, seed) = scenario(line)?;
    let Some(gateways) = line.gateways else { return Ok((scenario, seed)) };
    let name = scenario.name.clone();
    // A machine that an event names may not be there any more.
    let resized = file::to_text(&scenario.with_gateways(gateways));
    let resized = file::parse(&format!("{name}.scenario"), &resized);
    Ok((resized.with_context(|| format!("{name} cannot be played with {gateways} gateways"))?, seed))
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
        let title = file::parse(name, text).map_or_else(|error| error.to_string(), |played| played.title);
        println!("{name:<18} {title}");
    }
}

fn in_virtual_time(
    line: &CommandLine,
    scenario: &Scenario,
    seed: u64,
    operators: &Operators,
) -> Result<Played> {
    let trace = line.trace.as_ref().map(|path| tracer(path)).transpose()?;
    let mut meter = Meter::new();
    let mut told = |now: Progress| meter.tell(now);
    let options = VirtualOptions {
        trace,
        progress: Some(&mut told),
        explain: line.explain,
        operators: operators.clone(),
        ..VirtualOptions::default()
    };
    let played = play_virtual(scenario, seed, options);
    meter.end();
    played
}

/// Writes what links and processes did, if that is wanted, and says how near a replay has come.
fn keep_trace(line: &CommandLine, played: &Played, replay: Option<&RunTrace>) -> Result<()> {
    if line.trace.is_none() && replay.is_none() {
        return Ok(());
    }
    let trace = played.trace.as_ref().map_err(|why| anyhow!("there is no trace: {why}"))?;
    if let Some(path) = &line.trace {
        let text = trace.to_text()?;
        std::fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))?;
    }
    if let Some(before) = replay {
        println!("{}", before.compare(trace));
    }
    Ok(())
}

fn real(line: &CommandLine, (scenario, seed): (&Scenario, u64), replay: Option<&RunTrace>) -> Result<Played> {
    let program = program(line)?;
    let mut meter = Meter::new();
    let mut told = |now: Progress| meter.tell(now);
    let options = RealOptions {
        program,
        launcher: Some(std::env::current_exe()?),
        links: line.links,
        replay,
        logs: line.logs.clone(),
        operators: line.operators.clone(),
        special: None,
        progress: Some(&mut told),
    };
    let played = play_real(scenario, seed, options);
    meter.end();
    played
}

/// Writes a line for each thing that arrives. What cannot be written is lost, and said once at the end.
fn tracer(path: &Path) -> Result<OnPacket> {
    let file = File::create(path).with_context(|| format!("cannot write {}", path.display()))?;
    let mut file = BufWriter::new(file);
    Ok(Box::new(move |packet| {
        let _ = match &packet.what {
            What::Data(bytes) => {
                writeln!(file, "{packet} {}", bytes[..bytes.len().min(SHOWN)].escape_ascii())
            }
            _ => writeln!(file, "{packet}"),
        };
    }))
}

fn show(line: &CommandLine, played: &Played, heading: &Heading) -> Result<()> {
    let write = |path: &PathBuf, text: String| {
        std::fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))
    };
    if let Some(path) = &line.json {
        write(path, json(&played.verdict, heading))?;
    }
    if let Some(path) = &line.report {
        write(path, html(&played.verdict, heading))?;
    }
    if line.digest {
        println!("{}", heading.digest.as_deref().unwrap_or("-"));
        return Ok(());
    }
    if let Some(request) = line.explain {
        if played.explained.is_empty() {
            bail!("no request {request:016x} was seen");
        }
        played.explained.iter().for_each(|line| println!("{line}"));
        return Ok(());
    }
    print!("{}", table(&played.verdict, heading));
    for trouble in played.troubles.iter().chain(&played.too_slow) {
        println!("{trouble}");
    }
    show_history(&played.history);
    if let Some(cpu) = played.gateway_cpu_s {
        let each = cpu * 1e6 / played.tries.max(1) as f64;
        println!("gateways: {cpu:.2} s of CPU, {each:.0} us a try");
    }
    if let Some(late) = played.late_s {
        println!("stand-ins: {:.0} ms late at the most", late * 1e3);
    }
    if let Some(speed) = speed_line(heading) {
        eprintln!("{speed}");
    }
    Ok(())
}

/// What the history's checker found, up to so many breaches, on standard output; its cost on the other one, since
/// that differs from run to run.
fn show_history(history: &Checked) {
    let Checked { findings, sightings, took } = history;
    for finding in findings.iter().take(MOST_FINDINGS) {
        println!("{finding}");
    }
    if findings.len() > MOST_FINDINGS {
        println!("history: and {} more", findings.len() - MOST_FINDINGS);
    }
    eprintln!("History of {sightings} sightings checked in {:.1} ms.", took.as_secs_f64() * 1e3);
}

/// Where the swarm is played.
fn ground(line: &CommandLine) -> Result<Ground> {
    Ok(match (line.real, line.links) {
        (true, true) => Ground::Real { program: program(line)?, launcher: Some(std::env::current_exe()?) },
        (true, false) => bail!("a swarm on real processes needs links between them: --real --links --swarm"),
        (false, true) => Ground::Fleets,
        (false, false) => Ground::Sites,
    })
}

/// The gateway's program.
fn program(line: &CommandLine) -> Result<PathBuf> {
    let beside = || Ok::<_, io::Error>(std::env::current_exe()?.with_file_name("api-gateway"));
    let program = line.gateway.clone().map_or_else(beside, Ok)?;
    if !program.exists() {
        bail!(
            "there is no {}: build it with `cargo build --release`, or name one with --gateway",
            program.display()
        );
    }
    Ok(program)
}

/// Whether no site of the swarm went wrong.
fn swarm(line: &CommandLine, count: u64) -> Result<bool> {
    let cores = || std::thread::available_parallelism().map_or(1, |cores| cores.get());
    let swarm = Swarm { count, seed: line.seed, jobs: line.jobs.unwrap_or_else(cores) };
    let (seen, begun) = (io::stderr().is_terminal(), Instant::now());
    let ground = ground(line)?;
    let found = swarm.play_on(&ground, &|through| {
        if seen {
            eprint!("\r{through} of {count} sites");
        }
    });
    if seen {
        eprintln!();
    }
    let Some(found) = found else {
        println!("{count} random sites from {}: no rule broken", line.seed);
        eprintln!("{:.1} s", begun.elapsed().as_secs_f64());
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

/// The progress line, where somebody sees it.
struct Meter {
    seen: bool,
    begun: Instant,
}

impl Meter {
    fn new() -> Meter {
        Meter { seen: io::stderr().is_terminal(), begun: Instant::now() }
    }

    fn tell(&mut self, now: Progress) {
        if self.seen {
            let speed = now.done_s / self.begun.elapsed().as_secs_f64().max(1e-9);
            eprint!("\r{}", progress(now.done_s, now.total_s, now.served, now.offered, speed));
        }
    }

    fn end(&self) {
        if self.seen {
            eprintln!();
        }
    }
}
