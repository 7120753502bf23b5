//! The lifecycle of a gateway: start, reload and graceful shutdown.

pub(crate) mod reload;
mod shutdown;

use crate::client::{self, CommandBudget, ConnectionLimits};
use crate::config::Config;
use crate::counter::MAX_CONNECTIONS;
use crate::crash_points::{self, CrashPoint};
use crate::discovery;
use crate::gateway::{DecisionModule, Gateway};
use crate::messages::{ControlEvent, LifecyclePhase};
use crate::request_routing::{OperatorsError, RequestRouter};
use anyhow::{Context as _, Result};
use policy::policy::Policy;
use reload::{keys_requiring_restart, Reload};
use runtime::{Env, Listener};
use serde_json::Value;
use shutdown::shut_down;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};

/// File descriptors for the listener, discovery, the runtime, standard streams, connections that linger without a slot
/// (at most eight), and connections that are closing.
const RESERVED_SOCKETS: usize = 24;

/// A signal to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Read the configuration again (SIGHUP).
    Reload,
    /// Answer the accepted requests, then exit (SIGTERM).
    Terminate,
}

/// Why a gateway cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The operators' files cannot be used.
    #[error("cannot use the operators' files")]
    Operators(#[source] OperatorsError),
    /// The gateway cannot listen on its address.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
}

/// Serves until a [`Signal::Terminate`], and then until all accepted requests are answered or the shutdown times out.
///
/// `read_config` is called to read the configuration again at each [`Signal::Reload`]. The addresses of discovery and
/// the counter, and the operators' files, take effect; an error changes nothing.
///
/// # Errors
/// The gateway cannot start.
pub async fn serve<E, F>(
    env: E,
    config: Config,
    read_config: F,
    signals: UnboundedReceiver<Signal>,
) -> Result<(), ServeError>
where
    E: Env,
    F: Fn() -> Result<Config> + Send + Sync + 'static,
{
    serve_with::<E, Policy, F>(env, config, read_config, signals).await
}

/// Serves with the decision module `D`.
pub(crate) async fn serve_with<E, D, F>(
    env: E,
    config: Config,
    read_config: F,
    mut signals: UnboundedReceiver<Signal>,
) -> Result<(), ServeError>
where
    E: Env,
    D: DecisionModule,
    F: Fn() -> Result<Config> + Send + Sync + 'static,
{
    let platform = Arc::new(config.platform.clone());
    let router = RequestRouter::new(platform.clone(), &config.operators).map_err(ServeError::Operators)?;
    let listen_error = |source| ServeError::Listen { address: config.listen, source };
    let listener = client::listen(&env, config.listen).map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    let (traffic, traffic_inbox) = mpsc::unbounded_channel();
    let (control, control_inbox) = mpsc::unbounded_channel();
    let (phase, phases) = watch::channel(LifecyclePhase::Starting);
    let sockets = SocketBudget::of(config.sockets);

    let gateway: Gateway<E, D> =
        Gateway::new(env.clone(), &config, platform.clone(), router, &traffic, sockets.hosts, phase.clone());
    let in_flight = gateway.in_flight();
    env.spawn(gateway.run(control_inbox, traffic_inbox));

    let (agent_address, agent_addresses) = watch::channel(config.discovery);
    let cached = config.cached_endpoints.clone();
    env.spawn(discovery::watch_endpoints(env.clone(), agent_addresses, cached, control.clone()));

    let budget = CommandBudget::within(&config.memory_budget());
    let context = client::Context::new(env.clone(), platform.clone(), traffic.clone(), phases, budget);
    env.spawn(client::accept(listener, sockets.clients, context));
    tracing::info!(name = %config.name, %address, "listening");

    let reloader =
        Reloader { read_config, initial_document: config.document, agent_address, gateway: control };
    while reloader.handle_signal(&mut signals).await == Some(Signal::Reload) {}
    // Signals are still received during the shutdown. A second SIGTERM has no effect, but a reload does. The watch of
    // discovery also ends when the reloader, which holds the sender of its addresses, is dropped.
    env.spawn(async move { while reloader.handle_signal(&mut signals).await.is_some() {} });
    let deadlines = platform.settings.classes.iter().map(|class| class.deadline);
    let longest_deadline = deadlines.max().unwrap_or(0);
    shut_down(&env, phase, in_flight, longest_deadline).await;
    Ok(())
}

/// The allocation of the file descriptors of the process.
struct SocketBudget {
    hosts: usize,
    clients: ConnectionLimits,
}

impl SocketBudget {
    /// Allocates a quarter of the descriptors to hosts and the rest to clients. Clients use up to a third of the
    /// descriptors for requests, and connections that stay open without a request must not displace these.
    fn of(sockets: usize) -> SocketBudget {
        let available = sockets - RESERVED_SOCKETS - 2 * MAX_CONNECTIONS;
        let hosts = available / 4;
        let clients = ConnectionLimits { connections: available - hosts, callers: sockets / 4 };
        SocketBudget { hosts, clients }
    }
}

/// Reads the configuration again and distributes it to the parts of the gateway.
struct Reloader<F> {
    read_config: F,
    /// The configuration document at the start of the gateway.
    initial_document: Value,
    agent_address: watch::Sender<SocketAddr>,
    gateway: UnboundedSender<ControlEvent>,
}

impl<F: Fn() -> Result<Config>> Reloader<F> {
    /// Waits for the next signal, and reloads the configuration if the signal is [`Signal::Reload`].
    async fn handle_signal(&self, signals: &mut UnboundedReceiver<Signal>) -> Option<Signal> {
        let signal = signals.recv().await?;
        if signal == Signal::Reload {
            if let Err(error) = self.reload().await {
                let error = format_args!("{error:#}");
                tracing::warn!(%error, "configuration reload failed, the current one stays in effect");
            }
        }
        Some(signal)
    }

    /// Applies a new configuration completely, or not at all after an error.
    async fn reload(&self) -> Result<()> {
        let config = (self.read_config)()?;
        crash_points::crash_if_armed(CrashPoint::ReloadRead);
        let (done, outcome) = oneshot::channel();
        let reload = Reload { counter: config.counter, operators: config.operators, done };
        let _ = self.gateway.send(ControlEvent::Reload(Box::new(reload)));
        outcome.await.context("the gateway has stopped")??;
        self.agent_address.send_if_modified(|address| {
            let has_moved = *address != config.discovery;
            *address = config.discovery;
            has_moved
        });
        tracing::info!("configuration reloaded");
        if let Some(keys) = keys_requiring_restart(&self.initial_document, &config.document) {
            tracing::warn!(%keys, "configuration changes take effect only at a start");
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
