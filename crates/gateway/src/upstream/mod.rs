//! The upstream side of the gateway: hosts, the connections to them, and the attempts on these connections.
//!
//! A connection carries one request at a time: a second request would wait behind a slow first one, and aborting an
//! attempt requires closing its connection. `host` holds the state of a host, `attempt` the attempts and their
//! responses, `address_reuse` finds hosts whose address another one has; `pool` opens, reuses and closes connections, `connection` implements a single one, and `events` handles
//! their events. `idle_reuse` and `connection_pressure` learn when connections may be reused.

mod address_reuse;
mod attempt;
pub(crate) mod connection;
mod connection_pressure;
mod events;
mod host;
mod idle_reuse;
mod pool;

pub(crate) use attempt::{FinishedAttempt, ForwardOrder};

use crate::discovery::endpoint_list::EndpointList;
use crate::messages::{AttemptKey, ConnectionId, TrafficEvent};
use crate::request_routing::RequestRouter;
use crate::telemetry::failure_stats::AttemptConnection;
use attempt::Attempt;
use connection_pressure::ConnectionPressure;
use host::{host_id_of, Host};
use idle_reuse::IdleReuse;
use platform_settings::PlatformSettings;
use policy::api::{HostEntry, HostId, HostListKind, Outcome, Span, Time};
use pool::PooledConnection;
use runtime::Env;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;

const MS: Span = 1_000_000;
/// Minimum time after which idle connections are closed.
const MIN_IDLE_TIME: Span = 100 * MS;

/// All hosts that discovery names.
pub(crate) struct Upstream<E: Env> {
    env: E,
    platform: Arc<PlatformSettings>,
    gateway: UnboundedSender<TrafficEvent>,
    max_connections: usize,
    idle_reuse: IdleReuse,
    pressure: ConnectionPressure,
    /// Ordered by identifier, so that hosts are always processed in the same order.
    hosts: BTreeMap<HostId, Host>,
    connections: FxHashMap<ConnectionId, PooledConnection<E>>,
    /// Connections in quarantine with the end of their quarantine, the earliest first.
    quarantined: VecDeque<(Time, ConnectionId)>,
    attempts: FxHashMap<AttemptKey, Attempt>,
    next_connection_id: ConnectionId,
    finished: VecDeque<FinishedAttempt>,
}

/// Reason for stopping an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopReason {
    /// The attempt is no longer needed.
    Cancelled,
    /// The deadline of the attempt has passed.
    TimedOut,
}

impl<E: Env> Upstream<E> {
    /// Creates the upstream side without hosts.
    pub fn new(
        env: E,
        platform: Arc<PlatformSettings>,
        gateway: UnboundedSender<TrafficEvent>,
        max_connections: usize,
    ) -> Self {
        Upstream {
            env,
            idle_reuse: IdleReuse::new(max_idle_time(&platform)),
            pressure: ConnectionPressure::default(),
            platform,
            gateway,
            max_connections,
            hosts: BTreeMap::new(),
            connections: FxHashMap::default(),
            quarantined: VecDeque::new(),
            attempts: FxHashMap::default(),
            next_connection_id: 0,
            finished: VecDeque::new(),
        }
    }

    /// Removes and returns the oldest finished attempt.
    pub fn next_finished(&mut self) -> Option<FinishedAttempt> {
        self.finished.pop_front()
    }

    /// Applies an endpoint list, and returns its entries for the decision module.
    pub fn update(
        &mut self,
        list: &EndpointList,
        kind: HostListKind,
        router: &RequestRouter,
    ) -> Vec<HostEntry> {
        if kind != HostListKind::Delta {
            self.hosts.values_mut().for_each(Host::remove);
        }
        let mut entries = Vec::with_capacity(list.endpoints.len());
        let mut unsent = Vec::new();
        for endpoint in &list.endpoints {
            let id = host_id_of(&endpoint.instance_id);
            let host = self.hosts.entry(id).or_default();
            unsent.extend(host.update(endpoint));
            host.set_entry(id, endpoint, &self.platform, router);
            entries.push(host.entry.clone());
        }
        self.remove_superseded(&mut entries, kind);
        self.finish_unsent(unsent);
        self.drop_outdated();
        entries
    }

    /// Removes hosts whose address another one has taken over, also from the entries of the list, which name the latest
    /// hosts.
    fn remove_superseded(&mut self, entries: &mut Vec<HostEntry>, kind: HostListKind) {
        let latest: FxHashSet<HostId> = entries.iter().map(|entry| entry.id).collect();
        let claims = self.hosts.iter().filter_map(|(id, host)| host.address_claim(*id, latest.contains(id)));
        for id in address_reuse::superseded(&claims.collect::<Vec<_>>()) {
            let Some(host) = self.hosts.get_mut(&id) else { continue };
            tracing::warn!(host = %host.names.id, address = ?host.address, "address of a host was taken over by another");
            host.remove();
            entries.retain(|entry| entry.id != id);
            // A host that a complete list does not name is gone.
            if kind == HostListKind::Delta {
                entries.push(host.entry.clone());
            }
        }
    }

    /// Closes idle connections of an earlier generation, and ends attempts that wait for a draining or removed host: no
    /// request may be started on a host after discovery has announced its departure.
    fn drop_outdated(&mut self) {
        let mut unsent = Vec::new();
        let mut outdated = Vec::new();
        for host in self.hosts.values_mut() {
            let (is_ready, generation) = (host.is_ready, host.generation);
            let connections = &self.connections;
            let is_current = |id: &ConnectionId| {
                is_ready && connections.get(id).is_some_and(|c| c.generation == generation)
            };
            outdated.extend(host.idle.iter().copied().filter(|id| !is_current(id)));
            host.idle.retain(is_current);
            if !is_ready {
                unsent.extend(host.waiting.drain(..));
            }
        }
        self.close_all(outdated);
        self.finish_unsent(unsent);
        self.hosts.retain(|_, host| host.is_ready || host.connections > 0);
    }

    /// Reassigns the pools of all hosts, and returns their entries for the decision module.
    pub fn assign_pools(&mut self, router: &RequestRouter) -> Vec<HostEntry> {
        let assign = |host: &mut Host| {
            host.assign_pools(router);
            host.entry.clone()
        };
        self.hosts.values_mut().map(assign).collect()
    }

    /// Returns the attempts that wait for a connection, each with the pools of its host.
    pub fn waiting_attempts(&self) -> Vec<(AttemptKey, u64)> {
        let waiting_at = |host: &'_ Host| -> Vec<(AttemptKey, u64)> {
            host.waiting.iter().map(|key| (*key, host.entry.pools)).collect()
        };
        self.hosts.values().flat_map(waiting_at).collect()
    }

    /// Ends attempts that wait for a connection to a host.
    pub fn drop_waiting(&mut self, host_id: HostId) {
        let Some(host) = self.hosts.get_mut(&host_id) else { return };
        let unsent = host.waiting.drain(..).collect();
        self.finish_unsent(unsent);
    }

    /// Returns the name of a host in discovery.
    pub fn name(&self, id: HostId) -> &str {
        self.hosts.get(&id).map_or("a host that is gone", |host| &host.names.id)
    }

    /// Returns the entries of the hosts that accept requests.
    pub fn ready_entries(&self) -> Vec<HostEntry> {
        let ready = self.hosts.values().filter(|host| host.is_ready);
        ready.map(|host| host.entry.clone()).collect()
    }

    /// Starts an attempt on the newest idle connection, or on the first connection that becomes available.
    pub fn start(&mut self, key: AttemptKey, order: ForwardOrder) {
        let host_id = order.host_id;
        let now = self.env.now();
        let is_expired = now >= order.deadline.min(order.write_by) || !order.client.permits_attempts(now);
        let connection = AttemptConnection::None;
        self.attempts.insert(key, Attempt { order, started_at: now, connection_id: None, connection });
        let host = self.hosts.get_mut(&host_id);
        let Some(host) = host.filter(|host| host.is_ready && !is_expired) else {
            return self.finish(key, Outcome::NotSent);
        };
        host.waiting.push_back(key);
        self.serve_waiting(host_id);
        self.connect_for_waiting(host_id);
    }

    /// Ends a waiting attempt whose request may no longer be written: its client has disconnected, or its deadline has
    /// passed. Returns whether the attempt has ended.
    fn end_if_expired(&mut self, key: AttemptKey) -> bool {
        let now = self.env.now();
        let Some(order) = self.attempts.get(&key).map(|attempt| &attempt.order) else { return true };
        if now >= order.deadline {
            self.stop(key, StopReason::TimedOut);
            true
        } else if now >= order.write_by || !order.client.permits_attempts(now) {
            self.stop(key, StopReason::Cancelled);
            true
        } else {
            false
        }
    }

    /// Stops an attempt and closes its connection, which also tells the host to abort the request.
    pub fn stop(&mut self, key: AttemptKey, reason: StopReason) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let host_id = attempt.order.host_id;
        let started_at = attempt.started_at;
        let closed = attempt.connection_id.and_then(|id| self.close(id));
        let is_written = closed.is_some_and(|pooled| pooled.connection.is_request_written());
        self.remove_waiting(host_id, key);
        let outcome = match (reason, is_written) {
            (StopReason::Cancelled, true) => Outcome::Cancelled,
            (StopReason::Cancelled, false) => Outcome::NotSent,
            (StopReason::TimedOut, true) => Outcome::Timeout,
            (StopReason::TimedOut, false) => Outcome::ConnectFailed,
        };
        if outcome == Outcome::Timeout {
            self.close_idle_of_silent_host(host_id, started_at);
        }
        self.finish(key, outcome);
    }

    /// Cancels an attempt whose request has not been written completely, so that the host never executes it.
    pub fn cancel_unwritten(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let pooled = attempt.connection_id.and_then(|id| self.connections.get(&id));
        if pooled.is_none_or(|pooled| !pooled.connection.is_request_written()) {
            self.stop(key, StopReason::Cancelled);
        }
    }

    /// Closes the idle connections of a host that has sent nothing since the start of an attempt that timed out. The
    /// connections to a partitioned host stay open and silent. If a new connection cannot be established, the request
    /// was certainly not executed, and even one that is not idempotent can be retried; a request that was written to a
    /// dropped connection cannot.
    fn close_idle_of_silent_host(&mut self, host_id: HostId, since: Time) {
        let Some(host) = self.hosts.get_mut(&host_id).filter(|host| host.last_response < since) else {
            return;
        };
        let idle = host.idle.drain(..).collect();
        self.close_all(idle);
    }

    fn remove_waiting(&mut self, host_id: HostId, key: AttemptKey) {
        if let Some(host) = self.hosts.get_mut(&host_id) {
            host.waiting.retain(|waiting| *waiting != key);
        }
    }

    fn finish_unsent(&mut self, keys: Vec<AttemptKey>) {
        for key in keys {
            self.finish(key, Outcome::NotSent);
        }
    }

    fn finish(&mut self, key: AttemptKey, outcome: Outcome) {
        if let Some(attempt) = self.attempts.remove(&key) {
            self.finished.push_back(FinishedAttempt::new(key, &attempt, outcome));
        }
    }
}

/// Returns the idle time after which connections are closed. Hosts close idle connections no later than the timeout in
/// the settings, and a request written to a closed connection fails with a reset, so the gateway closes them well
/// before.
fn max_idle_time(platform: &PlatformSettings) -> Span {
    (platform.idle_timeout / 2).max(MIN_IDLE_TIME)
}

#[cfg(test)]
mod tests;
