//! Clients: the listener, their connections, and the commands on them.
//!
//! `listener` accepts connections, and closes idle ones when there are too many (`slots` holds the state by which it
//! selects them). `connection` reads commands (`call` parses them), reports requests to the gateway's event loop, and
//! writes the replies in the order of the commands. `budget` bounds the memory of all commands together, `backlog` tells
//! for how long input has been unread, `linger` closes a connection without losing its last reply.

pub(crate) mod backlog;
mod budget;
pub(crate) mod call;
mod connection;
mod linger;
mod listener;
mod replies;
mod slots;

pub(crate) use budget::CommandBudget;
pub(crate) use listener::{accept, listen, ConnectionLimits};

use crate::messages::{LifecyclePhase, TrafficEvent};
use crate::telemetry::client_limits::ClientExcessLog;
use platform_settings::PlatformSettings;
use policy::api::RequestId;
use slots::SlotContention;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// State that all client connections share.
#[derive(Clone)]
pub(crate) struct Context<E> {
    env: E,
    platform: Arc<PlatformSettings>,
    gateway: UnboundedSender<TrafficEvent>,
    phase: watch::Receiver<LifecyclePhase>,
    next_request_id: Arc<AtomicU64>,
    budget: CommandBudget,
    contention: SlotContention,
    excess_log: Arc<ClientExcessLog>,
}

impl<E> Context<E> {
    /// Creates the context of all client connections of a gateway.
    pub fn new(
        env: E,
        platform: Arc<PlatformSettings>,
        gateway: UnboundedSender<TrafficEvent>,
        phase: watch::Receiver<LifecyclePhase>,
        budget: CommandBudget,
    ) -> Context<E> {
        let contention = SlotContention::default();
        Context {
            env,
            platform,
            gateway,
            phase,
            next_request_id: Arc::default(),
            budget,
            contention,
            excess_log: Arc::default(),
        }
    }

    fn next_request_id(&self) -> RequestId {
        RequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed))
    }
}
