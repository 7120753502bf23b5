//! Accepts connections, and closes idle ones when there are too many.

use crate::client::connection::serve;
use crate::client::slots::{Activity, ConnectionSlot, FIRST_COMMAND_GRACE};
use crate::client::Context;
use crate::crash_points::{self, CrashPoint};
use crate::messages::LifecyclePhase;
use crate::telemetry::outage_log::OutageLog;
use runtime::{Env, Listener, Span};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};

const MS: Span = 1_000_000;
/// Length of the kernel's accept queue.
const BACKLOG: u32 = 1024;
/// Pause after an accept has failed, for example for lack of descriptors.
const ACCEPT_BACKOFF: Span = 20 * MS;

/// Limits on client connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum number of connections on which calls have arrived. Clients use at most a third of all descriptors for
    /// requests, and some keep their connection open after a request: as long as it is open, another request may lack a
    /// descriptor.
    pub callers: usize,
}

/// Listens on this address only.
pub(crate) fn listen<E: Env>(env: &E, address: SocketAddr) -> io::Result<E::Listener> {
    env.listen(address, BACKLOG)
}

/// Accepts connections until the gateway enters the phase `Closing`, and then those that are in the accept queue by
/// that time. With all slots in use, a connection is evicted for the next one: a client in the accept queue may have
/// sent a request, which would otherwise be lost.
pub(crate) async fn accept<E: Env>(mut listener: E::Listener, limits: ConnectionLimits, context: Context<E>) {
    let permits = Arc::new(Semaphore::new(limits.connections));
    let mut slots: Vec<Arc<ConnectionSlot>> = Vec::new();
    let mut outage = OutageLog::default();
    let env = context.env.clone();
    loop {
        slots.retain(|slot| Arc::strong_count(slot) > 1);
        evict_excess_caller(&slots, limits.callers);
        let Some(permit) = acquire_slot(&permits, &slots, &context).await else { return };
        context.contention.set_wanted(false);
        let Some(accepted) = next_connection(&mut listener, &context.phase).await else { return };
        match accepted {
            Ok((stream, _)) => {
                crash_points::crash_if_armed(CrashPoint::Accepted);
                outage.on_recovery(env.now());
                let slot = Arc::new(ConnectionSlot::new(env.now()));
                slots.push(slot.clone());
                env.spawn(serve(stream, context.clone(), slot, permit));
            }
            Err(error) => {
                if outage.on_failure(env.now()).is_some() {
                    tracing::warn!(%error, "cannot accept connections");
                }
                env.sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Waits for a free slot, evicting connections while there is none.
async fn acquire_slot<E: Env>(
    permits: &Arc<Semaphore>,
    slots: &[Arc<ConnectionSlot>],
    context: &Context<E>,
) -> Option<OwnedSemaphorePermit> {
    loop {
        if permits.available_permits() == 0 {
            evict_one(slots, context);
        }
        tokio::select! {
            biased;
            permit = permits.clone().acquire_owned() => return permit.ok(),
            () = context.contention.eviction_refused.notified() => {}
            // A connection that has just been accepted has sent a command by then, or can be evicted.
            () = context.env.sleep(FIRST_COMMAND_GRACE) => {}
        }
    }
}

/// Waits for the next connection. Returns `None` if connections are being closed and the accept queue is empty.
async fn next_connection<L: Listener>(
    listener: &mut L,
    phase: &watch::Receiver<LifecyclePhase>,
) -> Option<io::Result<(L::Stream, SocketAddr)>> {
    let mut phase = phase.clone();
    tokio::select! {
        biased;
        accepted = listener.accept() => return Some(accepted),
        _ = phase.wait_for(|phase| *phase >= LifecyclePhase::Closing) => {}
    }
    // The kernel may have queued a connection that the async runtime has not been notified of yet.
    tokio::task::yield_now().await;
    tokio::select! {
        biased;
        accepted = listener.accept() => Some(accepted),
        () = std::future::ready(()) => None,
    }
}

/// Evicts the connection that has been idle longest, if calls have arrived on too many connections.
fn evict_excess_caller(slots: &[Arc<ConnectionSlot>], max_callers: usize) {
    let callers = || slots.iter().filter(|slot| matches!(slot.get().0, Activity::Idle | Activity::Busy));
    if callers().count() > max_callers {
        let idle = callers().filter(|slot| slot.get().0 == Activity::Idle);
        if let Some(slot) = idle.min_by_key(|slot| slot.get().1) {
            slot.evict.notify_one();
        }
    }
}

/// Evicts one connection without an outstanding reply. If all are busy, the next one to become idle closes.
fn evict_one<E: Env>(slots: &[Arc<ConnectionSlot>], context: &Context<E>) {
    let now = context.env.now();
    let ranked = slots.iter().filter_map(|slot| Some((slot.eviction_rank(now)?, slot)));
    match ranked.min_by_key(|(rank, _)| *rank) {
        Some((_, slot)) => slot.evict.notify_one(),
        None => context.contention.set_wanted(true),
    }
}
