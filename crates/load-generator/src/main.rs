//! The load rig's command line.

use anyhow::{Context, Result};
use clap::{Args, Parser, Subcommand};
use load_generator::{compare, floor, page, part_cores, play, relay, table};
use load_generator::{Customers, Outcome, Progress, Rig, Spec, Subject};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Measure how much one gateway carries, and what a request costs it, on loopback.
#[derive(Debug, Parser)]
#[command(name = "load-generator", version, after_help = NOTES)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

const NOTES: &str = "\
The program under test gets the last core of this machine, the rig the others; with fewer than four cores figures are
marked as not comparable. Exit status: 0 done; 1 it could not be done, or an answer was wrong; 2 wrong usage.";

#[derive(Debug, Subcommand)]
enum Command {
    /// Play one run
    Run {
        #[command(flatten)]
        spec: Spec,
        #[command(flatten)]
        on: On,
        /// In place of the gateway: the relay, with so many connections a host
        #[arg(long, value_name = "CONNECTIONS", conflicts_with = "floor")]
        relay: Option<usize>,
        /// In place of the gateway: two reads and two writes a request, and nothing else
        #[arg(long)]
        floor: bool,
        /// Count system calls with strace; times then say nothing
        #[arg(long)]
        calls: bool,
        /// Also look at what the program costs while nobody asks
        #[arg(long)]
        rest: bool,
        /// Leave the program's log here
        #[arg(long, value_name = "FILE")]
        log: Option<PathBuf>,
    },
    /// The whole table: growth in customers, hosts and load, beside the relay and the floor (some minutes)
    Table {
        #[command(flatten)]
        on: On,
        /// Seconds that count, of each run
        #[arg(long, default_value_t = 5.0)]
        length_s: f64,
    },
    /// Offered load from a tenth to five times what the hosts can do
    Sweep {
        #[command(flatten)]
        spec: Spec,
        #[command(flatten)]
        on: On,
        /// Multiples of what the hosts can do
        #[arg(long, value_delimiter = ',', default_values_t = [0.1, 0.5, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0, 5.0])]
        at: Vec<f64>,
    },
    /// Two programs in turn: the ratio of each pair, with its spread
    Compare {
        /// The one: a gateway's program, `relay:CONNECTIONS` or `floor`
        a: Subject,
        /// The other
        b: Subject,
        #[command(flatten)]
        spec: Spec,
        /// Pairs
        #[arg(long, default_value_t = 5)]
        pairs: usize,
    },
    /// Serve as the relay (the rig starts this)
    #[command(hide = true)]
    Relay {
        #[arg(long)]
        listen: SocketAddr,
        #[arg(long, value_delimiter = ',')]
        hosts: Vec<SocketAddr>,
        #[arg(long, default_value_t = 1)]
        connections: usize,
    },
    /// Serve as the floor (the rig starts this)
    #[command(hide = true)]
    Floor {
        #[arg(long)]
        listen: SocketAddr,
        #[arg(long, value_delimiter = ',')]
        hosts: Vec<SocketAddr>,
    },
}

/// What is measured, and where its figures go.
#[derive(Args, Debug)]
struct On {
    /// The gateway's program, in place of the one beside this program
    #[arg(long, value_name = "PROGRAM")]
    gateway: Option<PathBuf>,
    /// Write all figures as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write a page with plots
    #[arg(long, value_name = "FILE")]
    page: Option<PathBuf>,
}

fn main() -> ExitCode {
    match work(CommandLine::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("load-generator: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Whether all answers were the right ones.
fn work(command: Command) -> Result<bool> {
    match command {
        Command::Relay { listen, hosts, connections } => {
            relay::run(listen, &hosts, connections)?;
            Ok(true)
        }
        Command::Floor { listen, hosts } => {
            floor::run(listen, &hosts)?;
            Ok(true)
        }
        Command::Run { spec, on, relay, floor, calls, rest, log } => {
            let subject = match (relay, floor) {
                (Some(connections), _) => Subject::Relay(connections),
                (None, true) => Subject::Floor,
                (None, false) => Subject::Gateway(on.program()?),
            };
            let rig = Rig { cores: part_cores()?, calls, rest, log };
            let outcomes = all(&[(spec, subject, rig)])?;
            outcomes.iter().for_each(say_more);
            on.show("One run", &outcomes)
        }
        Command::Table { on, length_s } => {
            let runs = rows(&on.program()?, length_s, part_cores()?);
            on.show("Growth in load", &all(&runs)?)
        }
        Command::Sweep { spec, on, at } => {
            let capacity =
                spec.capacity().context("a sweep needs --cores: what the hosts can do is bounded then")?;
            let (program, cores) = (on.program()?, part_cores()?);
            let run = |times: &f64| {
                let spec = Spec { rate: capacity * times, ..spec.clone() };
                (spec, Subject::Gateway(program.clone()), Rig { cores, ..Rig::default() })
            };
            let runs: Vec<_> = at.iter().map(run).collect();
            on.show(&format!("Offered load; the hosts can do {capacity:.0} a second"), &all(&runs)?)
        }
        Command::Compare { a, b, spec, pairs } => {
            let cores = part_cores()?;
            let run = |subject: &Subject| (spec.clone(), subject.clone(), Rig { cores, ..Rig::default() });
            let runs: Vec<_> = (0..pairs.clamp(1, 50)).flat_map(|_| [run(&a), run(&b)]).collect();
            let outcomes = all(&runs)?;
            let (a, b): (Vec<_>, Vec<_>) =
                outcomes.chunks(2).map(|pair| (pair[0].clone(), pair[1].clone())).unzip();
            if cores.is_none() {
                println!("Not comparable: this machine has fewer than four cores.");
            } else {
                print!("{}", compare::text(&compare::ratios(&a, &b)));
            }
            Ok(outcomes.iter().all(is_right))
        }
    }
}

/// Runs of the whole table.
fn rows(program: &Path, length_s: f64, cores: Option<load_generator::Cores>) -> Vec<(Spec, Subject, Rig)> {
    let gateway = Subject::Gateway(program.to_owned());
    let base = Spec { length_s, ..Spec::default() };
    let rig = Rig { cores, ..Rig::default() };
    let rest = Rig { rest: true, ..rig.clone() };
    let mut rows = Vec::new();
    for subject in [Subject::Floor, Subject::Relay(1), Subject::Relay(8), gateway.clone()] {
        for rate in [500.0, 2_000.0, 10_000.0, 0.0] {
            rows.push((Spec { rate, ..base.clone() }, subject.clone(), rig.clone()));
        }
    }
    for customers in [10_000, 30_000, 100_000] {
        rows.push((Spec { customers, prime: true, ..base.clone() }, gateway.clone(), rest.clone()));
    }
    for (memory_mb, sockets) in [(32, 256), (64, 512)] {
        let spec =
            Spec { customers: 100_000, prime: true, memory_mb, sockets, connections: 50, ..base.clone() };
        rows.push((spec, gateway.clone(), rest.clone()));
    }
    let once = Spec { draw: Customers::Once, customers: 10_000_000, quota: 50.0, ..base.clone() };
    rows.push((once, gateway.clone(), rest));
    rows.push((Spec { hosts: 10, ..base.clone() }, gateway.clone(), rig.clone()));
    rows.push((Spec { hosts: 500, ..base.clone() }, gateway.clone(), rig.clone()));
    let values = Spec { value: 64 * 1024, body: 64 * 1024, connections: 50, ..base };
    rows.push((values, gateway, rig));
    rows
}

/// Plays them one after the other.
fn all(runs: &[(Spec, Subject, Rig)]) -> Result<Vec<Outcome>> {
    let progress = Progress::new();
    let mut outcomes = Vec::new();
    for (spec, subject, rig) in runs {
        // A runtime each: what one run leaves open ends with it.
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
        let outcome = runtime.block_on(play(spec, subject, rig, &progress));
        runtime.shutdown_background();
        let outcome = outcome.with_context(|| format!("{}: {}", subject.name(), spec.title()))?;
        let title = outcome.spec.title();
        progress.note(&format!("{}: {title}: {:.0} answers/s", outcome.subject, outcome.answers_per_s));
        outcomes.push(outcome);
    }
    progress.end();
    Ok(outcomes)
}

/// What the table has no room for.
fn say_more(outcome: &Outcome) {
    let Outcome { switches, attempts, counter_calls, host_connections, ended_well, .. } = outcome;
    println!(
        "{switches:.2} switches, {attempts:.3} attempts and {counter_calls:.3} counter calls an answer; \
              {host_connections} connections to hosts; ended as told: {ended_well}"
    );
    for (name, counts) in [
        ("all", outcome.all),
        ("orders", outcome.orders),
        ("premium", outcome.premium),
        ("regular", outcome.regular),
    ] {
        println!("{name}: {counts:?}");
    }
    for (name, each) in outcome.calls_by_name.iter().take(12) {
        println!("{each:8.3} {name}");
    }
}

/// No answer was another request's.
fn is_right(outcome: &Outcome) -> bool {
    outcome.all.wrong == 0
}

impl On {
    /// The gateway's program.
    fn program(&self) -> Result<PathBuf> {
        match &self.gateway {
            Some(path) => Ok(path.clone()),
            None => Ok(std::env::current_exe()?.with_file_name("api-gateway")),
        }
    }

    fn show(&self, title: &str, outcomes: &[Outcome]) -> Result<bool> {
        print!("{}", table::text(outcomes));
        for (path, text) in [(&self.json, table::json(outcomes)), (&self.page, page::html(title, outcomes))] {
            if let Some(path) = path {
                std::fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))?;
            }
        }
        Ok(outcomes.iter().all(is_right))
    }
}
