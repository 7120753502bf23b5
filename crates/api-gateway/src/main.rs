//! One real gateway: command line, configuration and signals.

mod clock;
mod command;
mod completions;
mod config;
mod descriptors;
mod operators;
mod output;
mod plan;
mod source;

use anyhow::{Context as _, Result};
use clap::Parser;
use command::{Command, CommandLine, Files, LogFormat, Serve};
use gateway::{Config, PlatformSettings, Signal, MIN_SOCKETS};
use quota::bound::{max_overshoot, Failure, Quota};
use source::Source;
use std::ffi::OsString;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{signal, Signal as UnixSignal, SignalKind};
use tokio::sync::mpsc::{self, UnboundedReceiver};

/// The outage that `check` speaks of, in seconds.
const LOST_S: f64 = 120.0;

fn main() -> ExitCode {
    let done = match CommandLine::parse().command {
        None => serve(Serve::default()),
        Some(Command::Serve(how)) => serve(how),
        Some(Command::Check { config }) => check(&config),
        Some(Command::Rehearse { words }) => rehearse(words),
        Some(Command::Completions { shell }) => completions::print(shell),
        Some(Command::Config(tool)) => return ended(config::run(tool)),
        Some(Command::Plan(tool)) => return ended(plan::run(tool)),
    };
    ended(done.map(|()| ExitCode::SUCCESS))
}

fn ended(done: Result<ExitCode>) -> ExitCode {
    match done {
        Ok(status) => status,
        Err(error) => {
            output::complain(&format!("api-gateway: {error:#}\n"));
            ExitCode::FAILURE
        }
    }
}

fn serve(Serve { files, log_format }: Serve) -> Result<()> {
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false);
    match log_format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().flatten_event(true).init(),
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run(files))
}

async fn run(files: Files) -> Result<()> {
    // Before all else: without a handler either signal ends the process.
    let signals = signals()?;
    let path = match files.config {
        Some(path) => path,
        None => PathBuf::from(std::env::var_os("ROUTER_CONFIG").context("ROUTER_CONFIG is not set")?),
    };
    let source = Source::new(path, files.operator);
    let mut config = source.read()?;
    config.sockets = descriptors::granted(config.sockets);
    anyhow::ensure!(
        config.sockets >= MIN_SOCKETS,
        "{} descriptors are too few: {MIN_SOCKETS} are the least (see ulimit -n)",
        config.sockets
    );
    for key in &config.unknown_keys {
        tracing::warn!("configuration: `{key}` is skipped, this version does not know it");
    }
    Ok(gateway::serve(clock::start(), config, move || source.read(), signals).await?)
}

/// SIGHUP and SIGTERM, in the order of their coming.
fn signals() -> Result<UnboundedReceiver<Signal>> {
    let (tell, signals) = mpsc::unbounded_channel();
    let terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    for (mut source, what) in [(terminate, Signal::Terminate), (hangup, Signal::Reload)] {
        let tell = tell.clone();
        tokio::spawn(async move {
            while UnixSignal::recv(&mut source).await.is_some() && tell.send(what).is_ok() {}
        });
    }
    Ok(signals)
}

/// Says in a few lines what the configuration means.
fn check(path: &Path) -> Result<()> {
    let config = source::document(path)?;
    let settings = &config.platform.settings;
    println!("{}: can be used", path.display());
    println!("  {} listens on {}, asks discovery at {}", config.name, config.listen, config.discovery);
    match config.counter.filter(|_| settings.has_counter) {
        Some(counter) => println!("  counts quotas with the counter at {counter}"),
        None => println!("  counts quotas by itself: the settings allow no counter"),
    }
    say_budget(&config);
    if settings.has_counter && config.counter.is_some() {
        say_bounds(&config.platform);
    }
    for key in &config.unknown_keys {
        println!("  skips `{key}`, which this version does not know");
    }
    println!("  classes: {}", config.platform.class_names.join(", "));
    println!("  plans: {}", config.platform.plan_names.join(", "));
    println!("  knows {} hosts before discovery speaks", config.cached_endpoints.endpoints.len());
    Ok(())
}

/// What the memory goes to (see docs/capacity.md).
fn say_budget(config: &Config) {
    let budget = config.memory_budget();
    let (full, small) = budget.max_customers();
    println!("  {} descriptors, {} MB:", config.sockets, config.memory_bytes >> 20);
    println!("    {} commands in hand, with values of 64 KiB", budget.command_slots);
    println!("    {} KiB of commands that wait", budget.commands >> 10);
    println!(
        "    {} KiB of customers: {full} that come often, or up to {small} that come seldom",
        budget.customers >> 10
    );
}

/// What a failing counter may cost, stated in advance (see docs/quota-doubt.md).
fn say_bounds(site: &PlatformSettings) {
    for (name, plan) in site.plan_names.iter().zip(&site.settings.plans).filter(|(_, plan)| plan.rate > 0.0) {
        let spread = site.settings.gateways;
        let quota = Quota {
            rate: plan.rate,
            burst: plan.burst,
            set_size: spread,
            max_request_units: site.max_request_units,
        };
        let lost = Failure::counter_unreachable(LOST_S, &quota);
        let (known, greedy) = (max_overshoot(&quota, &lost, true), max_overshoot(&quota, &lost, false));
        println!(
            "  plan {name}: with the counter lost for {LOST_S} s a customer gets at most {known:.0} units beyond \
             its quota, one that asks for more than all of it {greedy:.0}"
        );
    }
}

/// The rehearsal is a program of its own, so that nothing simulated is ever part of this one.
fn rehearse(words: Vec<OsString>) -> Result<()> {
    let program = std::env::current_exe()?.with_file_name("cluster-emulator");
    let error = std::process::Command::new(&program).args(words).exec();
    let hint = "build it with: cargo build --release -p cluster-emulator";
    Err(error).with_context(|| format!("cannot start {} ({hint})", program.display()))
}
