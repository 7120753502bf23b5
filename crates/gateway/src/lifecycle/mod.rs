//! A gateway from its start to its stop.

pub(crate) mod reload;

use crate::client::connection::{self, Context, Limits, Room};
use crate::config::Config;
use crate::counter::MAX_LINKS;
use crate::crash_points::{self, CrashPoint};
use crate::discovery;
use crate::gateway::{Decisions, Gateway};
use crate::lifecycle::reload::{left_for_a_start, Reload};
use crate::messages::{News, Phase};
use crate::request_routing::Routing;
use crate::telemetry::in_flight::Unanswered;
use anyhow::{Context as _, Result};
use policy::policy::Policy;
use runtime::{Env, Listener, Span};
use serde_json::Value;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};

const MS: Span = 1_000_000;
/// Descriptors for the listener, discovery, the runtime, standard streams, [`connection::MAX_LINGERERS`] and what is just
/// closing.
const SPARE_SOCKETS: usize = 24;
/// New connections go on coming for up to 0.4 s after SIGTERM.
const STILL_ACCEPTING: Span = 450 * MS;
/// SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM.
const AFTER_DEADLINE: Span = 600 * MS;
/// Commands are taken for so long after SIGTERM: each has all of its time, and 0.1 s remain for its answer to be written
/// and read.
const STILL_TAKING: Span = 500 * MS;

/// What the process is told from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Read the configuration again (SIGHUP).
    Reload,
    /// Answer what was taken, then end (SIGTERM).
    Terminate,
}

/// Serves until it is told to end and all that it has taken is answered, or its time for that is over.
///
/// `again` reads the configuration anew at each [`Signal::Reload`]; what it gives moves the addresses of
/// discovery and the counter, and puts the operators' files in force; an error changes nothing. Fails where it
/// cannot listen or the operators' files cannot be used.
pub async fn serve<E, F>(env: E, config: Config, again: F, signals: UnboundedReceiver<Signal>) -> Result<()>
where
    E: Env,
    F: Fn() -> Result<Config> + Send + Sync + 'static,
{
    serve_with::<E, Policy, F>(env, config, again, signals).await
}

pub(crate) async fn serve_with<E, D, F>(
    env: E,
    config: Config,
    again: F,
    mut signals: UnboundedReceiver<Signal>,
) -> Result<()>
where
    E: Env,
    D: Decisions,
    F: Fn() -> Result<Config> + Send + Sync + 'static,
{
    let site = Arc::new(config.site.clone());
    let routing = Routing::new(site.clone(), &config.operators).context("cannot use the operators' files")?;
    let listener = connection::listen(&env, config.listen);
    let listener = listener.with_context(|| format!("cannot listen on {}", config.listen))?;
    let address = listener.local_addr()?;
    let (inputs, inbox) = mpsc::unbounded_channel();
    let (tell, news) = mpsc::unbounded_channel();
    let (phase, phases) = watch::channel(Phase::Starting);
    // A quarter for hosts: clients hold up to a third of all for requests, and what holds the rest open and
    // says nothing must not crowd those.
    let sockets = config.sockets - SPARE_SOCKETS - 2 * MAX_LINKS;
    let for_hosts = sockets / 4;
    let gateway: Gateway<E, D> =
        Gateway::new(env.clone(), &config, site.clone(), routing, &inputs, for_hosts, phase.clone());
    let unanswered = gateway.unanswered();
    env.spawn(gateway.run(news, inbox));
    let (agent, agents) = watch::channel(config.discovery);
    env.spawn(discovery::watch(env.clone(), agents, config.known.clone(), tell.clone()));
    let context = Context {
        env: env.clone(),
        site: site.clone(),
        gateway: inputs.clone(),
        phase: phases,
        ids: Arc::default(),
        crowd: connection::Crowd::default(),
        room: Room::within(&config.budget()),
    };
    let limits = Limits { connections: sockets - for_hosts, callers: config.sockets / 4 };
    env.spawn(connection::accept(listener, limits, context));
    tracing::info!("{} listens on {address}", config.name);

    let reloads = Reloads { again, started: config.document, agent, gateway: tell };
    while reloads.next(&mut signals).await == Some(Signal::Reload) {}
    // Signals go on coming while the gateway stops. To be told to end once more is no news: discovery is listened to
    // for as long as there is somebody to move it.
    env.spawn(async move { while reloads.next(&mut signals).await.is_some() {} });
    let longest = site.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let stopping = stop(env.clone(), phase, unanswered);
    if env.timeout(longest + AFTER_DEADLINE, stopping).await.is_err() {
        tracing::warn!("stopped with requests unanswered");
    }
    Ok(())
}

/// What a reload reads, and where it goes.
struct Reloads<F> {
    again: F,
    /// The document that the gateway started with.
    started: Value,
    agent: watch::Sender<SocketAddr>,
    gateway: UnboundedSender<News>,
}

impl<F: Fn() -> Result<Config>> Reloads<F> {
    /// The next signal; where it is a reload, that has been carried out: the configuration is read again, for the
    /// operators' files and the addresses of discovery and the counter only.
    async fn next(&self, signals: &mut UnboundedReceiver<Signal>) -> Option<Signal> {
        let signal = signals.recv().await?;
        if signal == Signal::Reload {
            if let Err(error) = self.reload().await {
                tracing::warn!("configuration kept as it was: {error:#}");
            }
        }
        Some(signal)
    }

    /// Puts another configuration in force as a whole; with an error, nothing of it.
    async fn reload(&self) -> Result<()> {
        let config = (self.again)()?;
        crash_points::here(CrashPoint::ReloadRead);
        let (done, outcome) = oneshot::channel();
        let (counter, operators) = (config.counter, config.operators);
        let _ = self.gateway.send(News::Reload(Box::new(Reload { counter, operators, done })));
        outcome.await.context("the gateway has stopped")??;
        self.agent.send_if_modified(|addr| std::mem::replace(addr, config.discovery) != config.discovery);
        tracing::info!("configuration read again");
        if let Some(keys) = left_for_a_start(&self.started, &config.document) {
            tracing::warn!("changed in the configuration, and taken only by a start: {keys}");
        }
        Ok(())
    }
}

/// Accepts a while longer, then answers what was taken and lets connections close between requests.
async fn stop<E: Env>(env: E, phase: watch::Sender<Phase>, unanswered: Unanswered) {
    phase.send_replace(Phase::Stopping);
    env.sleep(STILL_ACCEPTING).await;
    crash_points::here(CrashPoint::Stopping);
    phase.send_replace(Phase::Closing);
    let mut over = pin!(async {
        // No request is unanswered, then no connection is left.
        unanswered.until_none().await;
        phase.closed().await;
    });
    if env.timeout(STILL_TAKING - STILL_ACCEPTING, over.as_mut()).await.is_err() {
        phase.send_replace(Phase::Refusing);
        over.await;
    }
}

#[cfg(test)]
mod tests;
