//! Handles the events of connections to hosts.

use crate::messages::{AttemptKey, ConnectionId, HostEvent};
use crate::telemetry::failure_stats::STALE_CONNECTION;
use crate::upstream::attempt::FinishedAttempt;
use crate::upstream::pool::PooledConnection;
use crate::upstream::Upstream;
use policy::api::{HostId, Outcome};
use resp::{Frame, RespError};
use runtime::Env;

impl<E: Env> Upstream<E> {
    /// Handles an event of a connection.
    pub fn on_event(&mut self, event: HostEvent) {
        match event {
            HostEvent::Connected(id) => self.on_connected(id),
            HostEvent::Response { id, frame, is_reusable } => self.on_response(id, frame, is_reusable),
            HostEvent::ProtocolViolation { id, error } => {
                if let Some(host_id) = self.connections.get(&id).map(|connection| connection.host_id) {
                    self.log_protocol_violation(host_id, &error);
                }
            }
            HostEvent::Closed(id) => {
                if let Some(connection) = self.close(id) {
                    self.on_closed(id, &connection);
                }
            }
            HostEvent::QuarantineEnded(host_id) => {
                if let Some(host) = self.hosts.get_mut(&host_id) {
                    host.awaits_quarantine_end = false;
                }
                self.serve_waiting(host_id);
                // The connection may have closed meanwhile, or may not be reused for the attempts that wait.
                self.connect_for_waiting(host_id);
            }
        }
    }

    fn on_connected(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.is_established = true;
        let host_id = connection.host_id;
        if let Some(host) = self.hosts.get_mut(&host_id) {
            host.connecting -= 1;
        }
        self.release(id);
    }

    fn on_response(&mut self, id: ConnectionId, frame: Frame, is_reusable: bool) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let is_first_response = !connection.has_responded;
        connection.has_responded = true;
        let Some(key) = connection.current.take() else { return };
        let host_id = connection.host_id;
        let idle_time = connection.idle_time;
        let now = self.env.now();
        if let Some(host) = self.hosts.get_mut(&host_id) {
            host.last_response = now;
            self.idle_reuse.on_success(now, &mut host.idle_reuse, idle_time);
        }
        if is_first_response {
            self.pressure.on_first_response();
        }
        let is_valid = self.finish_with_response(key, frame);
        if !is_valid || !is_reusable {
            self.log_protocol_violation(host_id, &RespError::Malformed("answer"));
            self.close(id);
            return self.connect_for_waiting(host_id);
        }
        let is_needed = self.hosts.get(&host_id).is_some_and(|host| !host.waiting.is_empty());
        if !is_needed && self.pressure.is_high(now) {
            self.close(id);
        } else {
            self.quarantine(id, now);
            self.release(id);
        }
    }

    /// Finishes an attempt with its response. Returns false if the host has violated the protocol.
    fn finish_with_response(&mut self, key: AttemptKey, frame: Frame) -> bool {
        let Some(attempt) = self.attempts.remove(&key) else { return false };
        let mut finished = FinishedAttempt::new(key, &attempt, Outcome::ConnectionReset);
        let is_valid = finished.read_response(&self.platform, frame);
        self.finished.push_back(finished);
        is_valid
    }

    /// Logs a protocol violation. Every response may be one, so the rate of these lines is limited.
    fn log_protocol_violation(&mut self, host_id: HostId, error: &RespError) {
        let Some(host) = self.hosts.get_mut(&host_id) else { return };
        if host.protocol_violations.on_failure(self.env.now()).is_some() {
            let address = host.address.map(|address| address.to_string()).unwrap_or_default();
            tracing::warn!(host = %host.names.id, %address, %error, "host violated the protocol");
        }
    }

    fn on_closed(&mut self, id: ConnectionId, connection: &PooledConnection<E>) {
        if connection.is_established && !connection.has_responded {
            self.pressure.on_unused_end(self.env.now(), connection.idle_since);
        }
        if let Some(key) = connection.current {
            self.on_closed_during_request(connection, key);
        } else if connection.is_established {
            self.on_closed_while_idle(id, connection);
        } else {
            self.on_connect_failed(connection);
        }
    }

    fn on_closed_during_request(&mut self, connection: &PooledConnection<E>, key: AttemptKey) {
        let now = self.env.now();
        let started_at = self.attempts.get(&key).map(|attempt| attempt.started_at);
        if started_at.is_some_and(|started_at| now < started_at + STALE_CONNECTION) {
            self.on_dropped_connection(connection.host_id, connection.idle_time);
        }
        let is_written = connection.connection.is_request_written();
        if is_written {
            self.finish(key, Outcome::ConnectionReset);
        } else if connection.has_responded {
            self.retry_on_another_connection(connection.host_id, key);
        } else {
            self.finish(key, Outcome::ConnectFailed);
        }
    }

    /// Moves the request to another connection after a reused one closed before the request was written completely.
    /// This is no evidence against the host and counts as no attempt.
    fn retry_on_another_connection(&mut self, host_id: HostId, key: AttemptKey) {
        let Some(host) = self.hosts.get_mut(&host_id).filter(|host| host.is_ready) else {
            return self.finish(key, Outcome::NotSent);
        };
        let Some(attempt) = self.attempts.get_mut(&key) else { return };
        attempt.clear_connection();
        host.waiting.push_front(key);
        self.serve_waiting(host_id);
        self.connect_for_waiting(host_id);
    }

    fn on_closed_while_idle(&mut self, id: ConnectionId, connection: &PooledConnection<E>) {
        let Some(host) = self.hosts.get_mut(&connection.host_id) else { return };
        host.idle.retain(|idle| *idle != id);
        if connection.has_responded && host.is_ready && host.generation == connection.generation {
            let now = self.env.now();
            let idle_time = now.saturating_sub(connection.idle_since);
            self.idle_reuse.on_ended(now, &mut host.idle_reuse, idle_time);
        }
    }

    /// Fails the attempt for which the connection was opened, and no attempt that began to wait later. Fails none if
    /// the host has moved or restarted since: the new address has not been tried yet.
    fn on_connect_failed(&mut self, connection: &PooledConnection<E>) {
        let host_id = connection.host_id;
        let key = connection.opened_for;
        let Some(host) = self.hosts.get_mut(&host_id) else { return };
        host.connecting -= 1;
        let is_current = host.generation == connection.generation;
        if is_current && host.waiting.len() > host.connecting && host.waiting.contains(&key) {
            self.remove_waiting(host_id, key);
            self.finish(key, Outcome::ConnectFailed);
        }
        self.connect_for_waiting(host_id);
    }
}
