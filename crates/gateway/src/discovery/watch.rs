//! Watches the endpoint list for as long as the gateway runs.

use crate::crash_points::{self, CrashPoint};
use crate::discovery::agent::{AgentClient, RESPONSE_TIMEOUT};
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::json_stream::StreamItem;
use crate::discovery::stale_entries::StaleEntryFilter;
use crate::discovery::ListError;
use crate::messages::ControlEvent;
use crate::telemetry::outage_log::OutageLog;
use anyhow::{Context, Result};
use runtime::{Env, Span};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch::{self, error::RecvError};

const MS: Span = 1_000_000;
/// Nanoseconds per second.
const SECOND: f64 = 1e9;
/// A faulty watch may send heartbeats and no list. A watch without a list for this long is replaced as soon as another
/// one has been opened. The new watch resumes at the known version, so it costs the agent very little.
const RENEWAL_INTERVAL: Span = 2_500 * MS;
/// Minimum and maximum backoff after failed calls.
const MIN_BACKOFF: Span = 20 * MS;
const MAX_BACKOFF: Span = 200 * MS;
/// Time for which the old watch is still read after discovery has moved to another address. The gateway is held to
/// every change that the old agent sent before the move, including changes that are still unread.
const MOVE_GRACE: Span = 5 * MS;
/// Pause between calls for the complete list if it cannot be used.
const UNUSABLE_LIST_BACKOFF: Span = 1_000 * MS;

/// The position at which a watch resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Resume {
    /// After this version.
    After(u64),
    /// With the complete list, since no version is known.
    CompleteList,
}

/// Watches the endpoint list for as long as the gateway runs. The latest list stays in effect while discovery is
/// unreachable. At a new address the complete list is requested, since its versions need not be comparable with the old
/// ones.
pub(crate) async fn watch_endpoints<E: Env>(
    env: E,
    mut addresses: watch::Receiver<SocketAddr>,
    mut cached: EndpointList,
    gateway: UnboundedSender<ControlEvent>,
) {
    let mut resume = Resume::After(cached.generation);
    let mut backoff = MIN_BACKOFF;
    let mut hedges_calls = true;
    let mut outage = OutageLog::default();
    let mut filter = StaleEntryFilter::default();
    filter.remove_stale(&mut cached);
    loop {
        let address = *addresses.borrow_and_update();
        let resumed_at = resume;
        let attempt = async {
            let agent =
                AgentClient { env: env.clone(), address, hedges_calls: std::mem::take(&mut hedges_calls) };
            let mut attempt =
                WatchAttempt { agent, gateway: &gateway, outage: &mut outage, filter: &mut filter };
            let Err(error) = attempt.run(&mut resume).await;
            attempt.on_failure(&error);
            let is_unusable = error.is::<ListError>();
            backoff = match resumed_at {
                Resume::CompleteList if is_unusable => UNUSABLE_LIST_BACKOFF,
                _ if resume == resumed_at => (backoff * 2).min(MAX_BACKOFF),
                _ => MIN_BACKOFF,
            };
            if is_unusable {
                resume = Resume::CompleteList;
            }
            env.sleep(backoff).await;
        };
        match until_moved(&env, &mut addresses, attempt).await {
            Progress::Completed => {}
            Progress::Moved(Ok(())) => {
                resume = Resume::CompleteList;
                backoff = MIN_BACKOFF;
                hedges_calls = true;
                filter = StaleEntryFilter::default();
            }
            Progress::Moved(Err(_)) => return,
        }
    }
}

/// How a watch attempt ended.
enum Progress {
    /// The attempt failed, and the backoff after it has elapsed.
    Completed,
    /// Discovery has moved, or the sender of addresses has been dropped.
    Moved(Result<(), RecvError>),
}

/// Runs an attempt until it ends or discovery moves.
async fn until_moved<E: Env>(
    env: &E,
    addresses: &mut watch::Receiver<SocketAddr>,
    attempt: impl Future<Output = ()> + Send,
) -> Progress {
    let mut attempt = pin!(attempt);
    let moved = tokio::select! {
        biased;
        moved = addresses.changed() => moved,
        () = attempt.as_mut() => return Progress::Completed,
    };
    let _ = env.timeout(MOVE_GRACE, attempt).await;
    Progress::Moved(moved)
}

/// Watches at one agent until the first failure.
struct WatchAttempt<'a, E> {
    agent: AgentClient<E>,
    gateway: &'a UnboundedSender<ControlEvent>,
    outage: &'a mut OutageLog,
    filter: &'a mut StaleEntryFilter,
}

impl<E: Env> WatchAttempt<'_, E> {
    /// Reports lists to the gateway until a call fails; `resume` follows the reported versions.
    async fn run(&mut self, resume: &mut Resume) -> Result<Infallible> {
        let mut version = match *resume {
            Resume::After(version) => version,
            Resume::CompleteList => self.complete_list().await?,
        };
        *resume = Resume::After(version);
        let agent = self.agent.clone();
        let mut current = agent.hedged(|| agent.open_watch(0, version)).await?;
        let mut renewal = pin!(agent.open_watch(RENEWAL_INTERVAL, version));
        loop {
            tokio::select! {
                biased;
                item = current.next() => {
                    let item = item?;
                    self.on_reachable();
                    if let StreamItem::Document(list) = item {
                        version = self.report(&list)?;
                        *resume = Resume::After(version);
                        renewal.set(agent.open_watch(RENEWAL_INTERVAL, version));
                    }
                }
                successor = &mut renewal => {
                    // If no successor can be opened, the current watch is kept for as long as it is alive.
                    let delay = match successor {
                        Ok(successor) => {
                            current = successor;
                            RENEWAL_INTERVAL
                        }
                        Err(_) => MAX_BACKOFF,
                    };
                    renewal.set(agent.open_watch(delay, version));
                }
            }
        }
    }

    /// Requests and reports the complete list. Returns its version.
    async fn complete_list(&mut self) -> Result<u64> {
        let agent = self.agent.clone();
        let call = agent.hedged(|| agent.complete_list());
        let list = agent.env.timeout(RESPONSE_TIMEOUT, call).await.context("no list")??;
        self.agent.hedges_calls = false;
        self.on_reachable();
        self.report(&list)
    }

    /// Reports a list to the gateway. Returns its version.
    fn report(&mut self, document: &[u8]) -> Result<u64> {
        let mut list: EndpointList = serde_json::from_slice(document).map_err(ListError::from)?;
        crash_points::crash_if_armed(CrashPoint::ListRead);
        if !list.is_complete_and_empty() {
            self.filter.remove_stale(&mut list);
        }
        // A list without hosts is treated as faulty, since applying it would stop all service.
        if list.is_complete_and_empty() {
            return Err(ListError::Empty.into());
        }
        let version = list.generation;
        self.gateway.send(ControlEvent::EndpointList(list)).context("the gateway has stopped")?;
        Ok(version)
    }

    fn on_reachable(&mut self) {
        if self.outage.is_ongoing() {
            // The gateway may have stopped.
            let _ = self.gateway.send(ControlEvent::DiscoveryReachable(true));
        }
        if let Some(duration) = self.outage.on_recovery(self.agent.env.now()) {
            let address = self.agent.address;
            let outage_s = duration as f64 / SECOND;
            tracing::info!(%address, outage_s, "discovery is reachable again");
        }
    }

    fn on_failure(&mut self, error: &anyhow::Error) {
        if !self.outage.is_ongoing() {
            let _ = self.gateway.send(ControlEvent::DiscoveryReachable(false));
        }
        if let Some(duration) = self.outage.on_failure(self.agent.env.now()) {
            let address = self.agent.address;
            let outage_s = duration as f64 / SECOND;
            let error = format_args!("{error:#}");
            tracing::warn!(%address, %error, outage_s, "discovery is unreachable, the latest list stays in effect");
        }
    }
}
