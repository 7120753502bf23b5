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
/// A watch may keep sending heartbeats and no list. One that has sent no list for this long is replaced once another one
/// has been opened, which asks for changes since the known version and so costs the agent next to nothing.
const RENEWAL_INTERVAL: Span = 2_500 * MS;
/// Pauses after failed calls: the first, and the longest, to which they grow.
const MIN_BACKOFF: Span = 20 * MS;
const MAX_BACKOFF: Span = 200 * MS;
/// What an agent had sent when discovery moves away from it counts as notified, also while it is unread: its watch is read
/// for this much longer.
const MOVE_GRACE: Span = 5 * MS;
/// Pause between calls for the complete list if it cannot be used.
const UNUSABLE_LIST_PAUSE: Span = 1_000 * MS;

/// Where a watch resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Resume {
    /// After this version.
    After(u64),
    /// With the complete list, since no version is known.
    CompleteList,
}

/// Watches the endpoint list for as long as the gateway runs; the latest list stays in effect while discovery is
/// unreachable. At a new address the complete list is requested: its versions need not compare with the old ones.
pub(crate) async fn watch_endpoints<E: Env>(
    env: E,
    mut addresses: watch::Receiver<SocketAddr>,
    mut cached: EndpointList,
    gateway: UnboundedSender<ControlEvent>,
) {
    let mut resume = Resume::After(cached.generation);
    let mut backoff = MIN_BACKOFF;
    let mut hedges = true;
    let mut outage = OutageLog::default();
    let mut filter = StaleEntryFilter::default();
    filter.remove_stale(&mut cached);
    loop {
        let address = *addresses.borrow_and_update();
        let resumed_at = resume;
        let attempt = async {
            let agent = AgentClient { env: env.clone(), address, hedges: std::mem::take(&mut hedges) };
            let mut attempt =
                WatchAttempt { agent, gateway: &gateway, outage: &mut outage, filter: &mut filter };
            let Err(error) = attempt.run(&mut resume).await;
            attempt.on_failure(&error);
            let is_unusable = error.is::<ListError>();
            backoff = match resumed_at {
                Resume::CompleteList if is_unusable => UNUSABLE_LIST_PAUSE,
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
                hedges = true;
                filter = StaleEntryFilter::default();
            }
            Progress::Moved(Err(_)) => return,
        }
    }
}

/// How a watch attempt came to its end.
enum Progress {
    /// The attempt failed, and the pause after it is over.
    Completed,
    /// Discovery has moved, or nobody is left who could move it.
    Moved(Result<(), RecvError>),
}

/// Runs an attempt to its end, or until discovery moves.
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
                    self.on_alive();
                    if let StreamItem::Document(list) = item {
                        version = self.report(&list)?;
                        *resume = Resume::After(version);
                        renewal.set(agent.open_watch(RENEWAL_INTERVAL, version));
                    }
                }
                successor = &mut renewal => {
                    // Without a successor the current watch stays for as long as it is alive.
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
        self.agent.hedges = false;
        self.on_alive();
        self.report(&list)
    }

    /// Reports a list to the gateway. Returns its version.
    fn report(&mut self, document: &[u8]) -> Result<u64> {
        let mut list: EndpointList = serde_json::from_slice(document).map_err(ListError::from)?;
        crash_points::crash_if_armed(CrashPoint::ListRead);
        if !list.is_complete_and_empty() {
            self.filter.remove_stale(&mut list);
        }
        // Whatever the list means, it does not end all service.
        if list.is_complete_and_empty() {
            return Err(ListError::Empty.into());
        }
        let version = list.generation;
        self.gateway.send(ControlEvent::EndpointList(list)).context("the gateway has stopped")?;
        Ok(version)
    }

    fn on_alive(&mut self) {
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
