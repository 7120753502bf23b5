//! One real gateway: configuration, start and stop.
#![forbid(unsafe_code)]

mod descriptors;

use anyhow::{Context as _, Result};
use fennelbeam_gateway::clients::{self, Context, Phase, Room};
use fennelbeam_gateway::clock::Clock;
use fennelbeam_gateway::config::{self, Config};
use fennelbeam_gateway::counter;
use fennelbeam_gateway::discovery;
use fennelbeam_gateway::gateway::{Gateway, Input};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Descriptors for the listener, discovery, the runtime, standard streams and what is just closing.
const SPARE_SOCKETS: usize = 24;
/// New connections go on coming for up to 0.4 s after SIGTERM.
const STILL_ACCEPTING: Duration = Duration::from_millis(450);
/// SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM.
const AFTER_DEADLINE: Duration = Duration::from_millis(600);

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
    let (mut terminate, hangup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    let mut config = Config::from_env()?;
    config.sockets = descriptors::granted(config.sockets);
    anyhow::ensure!(
        config.sockets >= config::MIN_SOCKETS,
        "{} descriptors are too few: {} are the least (see ulimit -n)",
        config.sockets,
        config::MIN_SOCKETS
    );
    let listener =
        clients::listen(config.listen).with_context(|| format!("cannot listen on {}", config.listen))?;
    let address = listener.local_addr()?;
    let (clock, site) = (Clock::start(), Arc::new(config.site.clone()));
    let (inputs, inbox) = mpsc::unbounded_channel();
    let (phase, phases) = watch::channel(Phase::Starting);
    // A quarter for hosts: clients hold up to a third of all for requests, and what holds the rest open and
    // says nothing must not crowd those.
    let sockets = config.sockets - SPARE_SOCKETS - 2 * counter::MAX_LINKS;
    let (for_hosts, for_clients) = (sockets / 4, sockets - sockets / 4);
    let gateway = Gateway::new(&config, site.clone(), clock, &inputs, for_hosts, phase.clone());
    let unanswered = gateway.unanswered();
    tokio::spawn(gateway.run(inbox));
    let (agent, agents) = watch::channel(config.discovery);
    tokio::spawn(discovery::watch(agents, config.known.generation, clock, inputs.clone()));
    tokio::spawn(reload(hangup, agent, inputs.clone()));
    let longest = site.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let (ids, crowd) = Default::default();
    let room = Room::within(config.memory);
    let context = Context { site, clock, gateway: inputs, phase: phases, ids, crowd, room };
    let limits = clients::Limits { connections: for_clients, callers: config.sockets / 4 };
    let accepting = tokio::spawn(clients::accept(listener, limits, context));
    tracing::info!("{} listens on {address}", config.name);

    terminate.recv().await;
    let rest = Duration::from_nanos(longest) + AFTER_DEADLINE;
    let stopping = stop(accepting.abort_handle(), phase, unanswered);
    if timeout(rest, stopping).await.is_err() {
        tracing::warn!("stopped with requests unanswered");
    }
    Ok(())
}

/// At each SIGHUP reads the configuration again, for the addresses of discovery and the counter only.
async fn reload(mut hangup: Signal, agent: watch::Sender<SocketAddr>, gateway: UnboundedSender<Input>) {
    while hangup.recv().await.is_some() {
        let config = match Config::from_env() {
            Ok(config) => config,
            Err(error) => {
                tracing::warn!("configuration kept as it was: {error:#}");
                continue;
            }
        };
        agent.send_if_modified(|addr| std::mem::replace(addr, config.discovery) != config.discovery);
        let _ = gateway.send(Input::CounterAt(config.counter));
        tracing::info!("configuration read again");
    }
}

/// Accepts a while longer, then answers what was taken and lets connections close between requests.
async fn stop(
    accepting: tokio::task::AbortHandle,
    phase: watch::Sender<Phase>,
    mut unanswered: watch::Receiver<usize>,
) {
    sleep(STILL_ACCEPTING).await;
    accepting.abort();
    phase.send_replace(Phase::Closing);
    let _ = phase_closed(&phase, &mut unanswered).await;
}

/// Until no request is unanswered and no connection is left.
async fn phase_closed(phase: &watch::Sender<Phase>, unanswered: &mut watch::Receiver<usize>) -> Result<()> {
    unanswered.wait_for(|n| *n == 0).await?;
    phase.closed().await;
    Ok(())
}
