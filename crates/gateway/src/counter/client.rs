//! Makes calls to the counter service on a small number of connections, and tracks their results.

use crate::counter::connection::{add_command, CallProgress, ConnectionTask, QueuedCall};
use crate::messages::{CallId, CounterEvent, CounterResult, TrafficEvent};
use crate::telemetry::outage_log::OutageLog;
use policy::api::{CounterKey, Outcome, Span, Time};
use resp::RespError;
use runtime::Env;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use tokio::sync::mpsc::{self, UnboundedSender};

const MS: Span = 1_000_000;
/// Maximum number of connections. A new one is opened while all others have calls in flight, so that a slow part of the
/// counter delays few calls to its other parts.
pub(crate) const MAX_CONNECTIONS: usize = 4;
/// Maximum number of calls in flight on one connection; further calls are not made.
const MAX_CALLS_IN_FLIGHT: usize = 256;
/// A connection that brings no reply within this many call timeouts is considered dead.
const REPLY_TIMEOUT_FACTOR: Span = 4;

/// A call that has not ended yet.
struct CallInFlight {
    key: CounterKey,
    started_at: Time,
    progress: CallProgress,
}

/// The event loop's handle of a connection.
struct Connection {
    id: u64,
    calls: UnboundedSender<QueuedCall>,
    /// Number of calls without a reply. Abandoned calls are included, since they delay the next ones as well.
    in_flight: usize,
}

/// The client of the counter service.
pub(crate) struct CounterClient<E> {
    env: E,
    address: Option<SocketAddr>,
    gateway: UnboundedSender<TrafficEvent>,
    call_timeout: Span,
    connections: Vec<Connection>,
    calls: FxHashMap<CallId, CallInFlight>,
    next_id: u64,
    protocol_violations: OutageLog,
}

impl<E: Env> CounterClient<E> {
    /// Creates a client without connections; with no address, no call can be made.
    pub fn new(
        env: E,
        address: Option<SocketAddr>,
        gateway: UnboundedSender<TrafficEvent>,
        call_timeout: Span,
    ) -> Self {
        CounterClient {
            env,
            address,
            gateway,
            call_timeout: call_timeout.max(MS),
            connections: Vec::new(),
            calls: FxHashMap::default(),
            next_id: 0,
            protocol_violations: OutageLog::default(),
        }
    }

    /// Sends new calls to this address. Calls in flight finish on their connections: a connection whose sender of calls
    /// has been dropped closes after its last reply.
    pub fn move_to(&mut self, address: Option<SocketAddr>) {
        if self.address != address {
            self.address = address;
            self.connections.clear();
        }
    }

    /// Makes a call. Returns its identifier and the time at which it times out; `None` if no connection accepts the
    /// call, so that nothing is added.
    pub fn add(&mut self, key: CounterKey, amount: f64, time_to_live: Span) -> Option<(CallId, Time)> {
        let started_at = self.env.now();
        let index = self.select_connection()?;
        let progress = CallProgress::new();
        let call = self.next_id();
        let command = add_command(key, amount, time_to_live);
        let connection = self.connections.get_mut(index)?;
        connection.calls.send(QueuedCall { call, progress: progress.clone(), command }).ok()?;
        connection.in_flight += 1;
        self.calls.insert(call, CallInFlight { key, started_at, progress });
        Some((call, started_at + self.call_timeout))
    }

    fn next_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Returns the index of the connection with the fewest calls in flight, or of a new one while all are in use.
    fn select_connection(&mut self) -> Option<usize> {
        self.connections.retain(|connection| !connection.calls.is_closed());
        let least_used = (0..self.connections.len()).min_by_key(|index| self.connections[*index].in_flight);
        if let Some(index) = least_used {
            let in_flight = self.connections[index].in_flight;
            if in_flight == 0 || self.connections.len() >= MAX_CONNECTIONS {
                return (in_flight < MAX_CALLS_IN_FLIGHT).then_some(index);
            }
        }
        self.open_connection()
    }

    fn open_connection(&mut self) -> Option<usize> {
        let address = self.address?;
        let id = self.next_id();
        let (calls, inbox) = mpsc::unbounded_channel();
        let reply_timeout = self.call_timeout * REPLY_TIMEOUT_FACTOR;
        let task = ConnectionTask::new(self.env.clone(), id, self.gateway.clone(), reply_timeout);
        self.env.spawn(task.run(address, inbox));
        self.connections.push(Connection { id, calls, in_flight: 0 });
        Some(self.connections.len() - 1)
    }

    /// Ends a call that has timed out; `None` if it has ended before.
    pub fn time_out(&mut self, call: CallId) -> Option<CounterResult> {
        let may_be_written = self.calls.get(&call)?.progress.abandon();
        let outcome = if may_be_written { Outcome::Timeout } else { Outcome::ConnectFailed };
        self.end(call, outcome, 0.0)
    }

    /// Abandons all calls, for use when the decision module that made them no longer exists. Their results are not
    /// reported, and calls that have not been written yet never will be.
    pub fn abandon_all(&mut self) {
        for (_, call) in self.calls.drain() {
            call.progress.abandon();
        }
    }

    /// Handles an event of a connection. Returns the result of a call that ended, unless the call had timed out or been
    /// abandoned.
    pub fn on_event(&mut self, event: CounterEvent) -> Option<CounterResult> {
        match event {
            CounterEvent::CallEnded { connection, call, outcome, total } => {
                if let Some(connection) = self.connections.iter_mut().find(|c| c.id == connection) {
                    connection.in_flight -= 1;
                }
                self.end(call, outcome, total)
            }
            CounterEvent::ProtocolViolation { address, error } => {
                self.log_protocol_violation(address, &error);
                None
            }
            CounterEvent::Closed(id) => {
                self.connections.retain(|connection| connection.id != id);
                None
            }
        }
    }

    /// Logs a protocol violation. Every reply may be one, so the rate of these lines is limited.
    fn log_protocol_violation(&mut self, address: SocketAddr, error: &RespError) {
        if self.protocol_violations.on_failure(self.env.now()).is_some() {
            tracing::warn!(%address, %error, "counter violated the protocol");
        }
    }

    fn end(&mut self, id: CallId, outcome: Outcome, total: f64) -> Option<CounterResult> {
        let call = self.calls.remove(&id)?;
        let elapsed = self.env.now().saturating_sub(call.started_at);
        let deadline = call.started_at + self.call_timeout;
        Some(CounterResult { call: id, key: call.key, outcome, total, elapsed, deadline })
    }
}

#[cfg(test)]
mod tests;
