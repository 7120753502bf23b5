//! The pool of connections to hosts. A connection is opened for a waiting attempt, reused after a quarantine, and
//! closed when it is outdated or the pool is full.

use crate::messages::{AttemptKey, ConnectionId, HostEvent, TrafficEvent};
use crate::telemetry::failure_stats::AttemptConnection;
use crate::upstream::connection::{ConnectionTimeouts, HostConnection, WriteError};
use crate::upstream::host::Host;
use crate::upstream::{max_idle_time, Upstream};
use policy::api::{HostId, Outcome, Span, Time};
use runtime::{Env, Task};

const MS: Span = 1_000_000;
/// A connection is quarantined for this long after a response. A faulty host that responds twice sends the second
/// response some milliseconds after the first. Without the quarantine it would be mistaken for the response to the next
/// request.
const QUARANTINE: Span = 10 * MS;
/// Maximum number of connections in quarantine to all hosts together, since each takes memory. If responses arrive
/// faster, the quarantine of the oldest connection ends early.
const MAX_QUARANTINED: usize = 8;

/// A connection to a host.
pub(super) struct PooledConnection<E: Env> {
    pub host_id: HostId,
    /// The host's generation when the connection was opened.
    pub generation: u32,
    pub is_established: bool,
    /// Whether a response has arrived on the connection.
    pub has_responded: bool,
    /// Since when the connection has been idle.
    pub idle_since: Time,
    /// How long the connection had been idle before the current request.
    pub idle_time: Span,
    /// When the quarantine of an idle connection ends.
    pub quarantined_until: Time,
    /// The attempt whose request is on the connection.
    pub current: Option<AttemptKey>,
    /// The attempt that the connection was opened for.
    pub opened_for: AttemptKey,
    pub connection: HostConnection<E>,
    task: E::Task,
}

impl<E: Env> Drop for PooledConnection<E> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl<E: Env> Upstream<E> {
    /// Closes a connection, including any request in flight on it.
    pub(super) fn close(&mut self, id: ConnectionId) -> Option<PooledConnection<E>> {
        let connection = self.connections.remove(&id)?;
        if let Some(host) = self.hosts.get_mut(&connection.host_id) {
            host.connections -= 1;
        }
        Some(connection)
    }

    pub(super) fn close_all(&mut self, ids: Vec<ConnectionId>) {
        for id in ids {
            self.close(id);
        }
    }

    /// Assigns idle connections to waiting attempts. If attempts remain, schedules an event at the end of the next
    /// quarantine.
    pub(super) fn serve_waiting(&mut self, host_id: HostId) {
        while self.serve_one(host_id) {}
        let now = self.env.now();
        let Some(host) = self.hosts.get_mut(&host_id) else { return };
        if host.waiting.is_empty() || host.awaits_quarantine_end {
            return;
        }
        let idle = host.idle.iter().filter_map(|id| self.connections.get(id));
        let quarantine_ends = idle.map(|connection| connection.quarantined_until);
        let Some(at) = quarantine_ends.filter(|at| *at > now).min() else { return };
        host.awaits_quarantine_end = true;
        let sleep = self.env.sleep_until(at);
        let gateway = self.gateway.clone();
        self.env.spawn(async move {
            sleep.await;
            let _ = gateway.send(TrafficEvent::Host(HostEvent::QuarantineEnded(host_id)));
        });
    }

    /// Assigns the newest idle connection to a waiting attempt if the connection may be reused for it. Returns whether
    /// the caller should try again.
    fn serve_one(&mut self, host_id: HostId) -> bool {
        let now = self.env.now();
        let Some(host) = self.hosts.get(&host_id).filter(|host| host.is_ready) else { return false };
        let Some(index) = self.newest_usable(host, now) else { return false };
        if host.waiting.is_empty() {
            return false;
        }
        let id = host.idle[index];
        let idle_reuse = host.idle_reuse;
        let idle_time = self.connections.get(&id).map_or(0, |c| now.saturating_sub(c.idle_since));
        let may_reuse =
            |is_idempotent: bool| idle_time < self.idle_reuse.limit(now, idle_reuse, is_idempotent);
        if !may_reuse(true) {
            self.close_idle_up_to(host_id, index);
            return false;
        }
        let may_serve = |key: &&AttemptKey| {
            self.attempts.get(key).is_some_and(|attempt| may_reuse(attempt.order.is_idempotent))
        };
        let Some(key) = host.waiting.iter().find(may_serve).copied() else { return false };
        if !self.end_if_expired(key) {
            self.reuse(host_id, index, key);
        }
        true
    }

    /// Returns the index of the newest idle connection that is not quarantined.
    fn newest_usable(&self, host: &Host, now: Time) -> Option<usize> {
        let is_usable = |id: &ConnectionId| {
            self.connections.get(id).is_none_or(|connection| connection.quarantined_until <= now)
        };
        host.idle.iter().rposition(is_usable)
    }

    /// Closes an idle connection that is too old to be reused, and all older ones.
    fn close_idle_up_to(&mut self, host_id: HostId, index: usize) {
        let Some(host) = self.hosts.get_mut(&host_id) else { return };
        let old = host.idle.drain(..=index).collect();
        self.close_all(old);
    }

    /// Writes an attempt's request on an idle connection.
    fn reuse(&mut self, host_id: HostId, index: usize, key: AttemptKey) {
        let Some(host) = self.hosts.get_mut(&host_id) else { return };
        let id = host.idle.remove(index);
        match self.write(id, key) {
            Ok(()) => self.remove_waiting(host_id, key),
            // Nothing was written, which is no evidence against the host: the attempt waits for another connection.
            Err(error) => {
                let closed = self.close(id);
                if let Some(connection) = closed.filter(|_| error == WriteError::Stale) {
                    let idle_time = self.env.now().saturating_sub(connection.idle_since);
                    self.on_dropped_connection(host_id, idle_time);
                }
            }
        }
    }

    /// Writes an attempt's request on a connection.
    fn write(&mut self, id: ConnectionId, key: AttemptKey) -> Result<(), WriteError> {
        let (Some(pooled), Some(attempt)) = (self.connections.get_mut(&id), self.attempts.get_mut(&key))
        else {
            return Err(WriteError::Congested);
        };
        let now = self.env.now();
        let remaining = attempt.order.deadline.saturating_sub(now);
        pooled.connection.write(attempt.order.call.command(remaining))?;
        pooled.idle_time = now.saturating_sub(pooled.idle_since);
        pooled.current = Some(key);
        attempt.connection_id = Some(id);
        // On a new connection the request is written immediately: after a longer idle time the connection counts as
        // reused.
        let is_reused = pooled.has_responded || pooled.idle_time >= MS;
        attempt.connection = match pooled.idle_time {
            idle_time if is_reused && idle_time > 0 => AttemptConnection::Reused(idle_time),
            _ => AttemptConnection::New,
        };
        Ok(())
    }

    /// Returns a connection to the pool, where a waiting attempt may use it immediately.
    pub(super) fn release(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let host_id = connection.host_id;
        let generation = connection.generation;
        let is_current = |host: &&mut Host| host.is_ready && host.generation == generation;
        match self.hosts.get_mut(&host_id).filter(is_current) {
            Some(host) => {
                host.idle.push(id);
                connection.idle_since = self.env.now();
                self.serve_waiting(host_id);
            }
            None => drop(self.close(id)),
        }
        self.connect_for_waiting(host_id);
    }

    /// Starts the quarantine of a connection after a response. If too many connections are in quarantine, the
    /// quarantine of the oldest one ends.
    pub(super) fn quarantine(&mut self, id: ConnectionId, now: Time) {
        let until = now.saturating_add(QUARANTINE);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.quarantined_until = until;
        }
        self.quarantined.push_back((until, id));
        while let Some((until, id)) = self.quarantined.front().copied() {
            if until > now && self.quarantined.len() <= MAX_QUARANTINED {
                return;
            }
            self.quarantined.pop_front();
            let connection = self.connections.get_mut(&id);
            if let Some(connection) = connection.filter(|connection| connection.quarantined_until == until) {
                connection.quarantined_until = now.min(until);
            }
        }
    }

    /// Opens a connection if fewer are being established than attempts are waiting: for a new attempt, or for one whose
    /// connection was opened to an outdated address.
    pub(super) fn connect_for_waiting(&mut self, host_id: HostId) {
        let lacks_connection = |host: &&Host| host.is_ready && host.connecting < host.waiting.len();
        while let Some(host) = self.hosts.get(&host_id).filter(lacks_connection) {
            let Some(key) = host.waiting.back().copied() else { return };
            if !self.end_if_expired(key) {
                return self.connect(host_id, key);
            }
        }
    }

    fn connect(&mut self, host_id: HostId, key: AttemptKey) {
        if self.connections.len() >= self.max_connections && !self.close_longest_idle() {
            self.remove_waiting(host_id, key);
            return self.finish(key, Outcome::NotSent);
        }
        let Some(host) = self.hosts.get_mut(&host_id) else { return };
        let Some(address) = host.address else { return };
        host.connecting += 1;
        host.connections += 1;
        let id = self.next_connection_id;
        self.next_connection_id += 1;
        let timeouts = ConnectionTimeouts {
            connect: self.platform.connect_timeout.max(MS),
            idle: max_idle_time(&self.platform),
        };
        let (connection, task) = HostConnection::open(&self.env, id, address, timeouts, self.gateway.clone());
        let pooled = PooledConnection {
            host_id,
            generation: host.generation,
            is_established: false,
            has_responded: false,
            idle_since: 0,
            idle_time: 0,
            quarantined_until: 0,
            current: None,
            opened_for: key,
            connection,
            task,
        };
        self.connections.insert(id, pooled);
    }

    /// Closes the connection that has been idle for longest. Returns whether there was one.
    fn close_longest_idle(&mut self) -> bool {
        let idle_since = |id: &ConnectionId| self.connections.get(id).map_or(0, |c| c.idle_since);
        // The first idle connection of each host is its oldest.
        let hosts_with_idle = self.hosts.values_mut().filter(|host| !host.idle.is_empty());
        let oldest = hosts_with_idle.min_by_key(|host| (idle_since(&host.idle[0]), host.idle[0]));
        let Some(id) = oldest.map(|host| host.idle.remove(0)) else { return false };
        self.close(id).is_some()
    }

    /// Records that a connection was found dropped after this idle time, which lowers the idle time allowed for reuse.
    pub(super) fn on_dropped_connection(&mut self, host_id: HostId, idle_time: Span) {
        if let Some(host) = self.hosts.get_mut(&host_id) {
            self.idle_reuse.on_dropped(self.env.now(), &mut host.idle_reuse, idle_time);
        }
    }
}
