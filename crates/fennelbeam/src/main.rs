//! One real gateway: configuration, signals, start and stop.

mod descriptors;

use anyhow::{Context as _, Result};
use fennelbeam_env::Real;
use fennelbeam_gateway::{Config, Signal, MIN_SOCKETS};
use std::process::ExitCode;
use tokio::signal::unix::{signal, Signal as UnixSignal, SignalKind};
use tokio::sync::mpsc::{self, UnboundedReceiver};

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fennelbeam: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve())
}

async fn serve() -> Result<()> {
    // Before all else: without a handler either signal ends the process.
    let signals = signals()?;
    let mut config = configuration()?;
    config.sockets = descriptors::granted(config.sockets);
    anyhow::ensure!(
        config.sockets >= MIN_SOCKETS,
        "{} descriptors are too few: {MIN_SOCKETS} are the least (see ulimit -n)",
        config.sockets
    );
    fennelbeam_gateway::serve(Real::start(), config, configuration, signals).await
}

/// Reads the file that `ROUTER_CONFIG` names.
fn configuration() -> Result<Config> {
    let path = std::env::var("ROUTER_CONFIG").context("ROUTER_CONFIG is not set")?;
    let text = std::fs::read(&path).with_context(|| format!("cannot read {path}"))?;
    Config::parse(&text).with_context(|| format!("cannot use {path}"))
}

/// SIGHUP and SIGTERM, in the order of their coming.
fn signals() -> Result<UnboundedReceiver<Signal>> {
    let (tell, signals) = mpsc::unbounded_channel();
    let (terminate, hangup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    for (mut source, what) in [(terminate, Signal::Terminate), (hangup, Signal::Reload)] {
        let tell = tell.clone();
        tokio::spawn(async move {
            while UnixSignal::recv(&mut source).await.is_some() && tell.send(what).is_ok() {}
        });
    }
    Ok(signals)
}
