//! Events that a gateway reports to the decision module.

use super::host::{HostEntry, HostListKind};
use super::ids::{CounterKey, HostId, RequestId};
use super::request::Request;
use super::settings::Plan;
use super::time::Span;

/// How an attempt, a health check or a call to the counter ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A response arrived.
    Ok,
    /// The host answered with an error; the request may have been executed.
    Error,
    /// The host rejected the request without executing it, because it is overloaded.
    Rejected,
    /// No response in time; the request may have been executed.
    Timeout,
    /// The connection could not be established; the request was not executed.
    ConnectFailed,
    /// The connection was reset; the request may have been executed.
    ConnectionReset,
    /// The attempt was cancelled; the request may have been executed.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Returns whether the request may have been executed by an attempt that ended like this.
    pub fn may_have_executed(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A host's load report. A value missing from the report is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Requests queued.
    pub queued: Option<f64>,
    /// CPU utilisation, 0 to 1.
    pub utilisation: Option<f64>,
    /// Recent service time, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Responses per second.
    pub served_per_second: Option<f64>,
    /// Errors per second.
    pub errors_per_second: Option<f64>,
}

impl LoadReport {
    /// Sets one value by its name in the platform's settings. Unknown names are ignored; a value that is
    /// negative or not finite counts as missing.
    pub fn set(&mut self, name: &str, value: f64) {
        let value = Some(value).filter(|v| v.is_finite() && *v >= 0.0);
        match name {
            "busy_reqs" => self.in_flight = value,
            "pending" => self.queued = value,
            "cpu_share" => self.utilisation = value,
            "svc_ms" => self.latency_ms = value,
            "served_ps" => self.served_per_second = value,
            "failed_ps" => self.errors_per_second = value,
            _ => {}
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub id: RequestId,
    /// Index of the attempt, from 0.
    pub attempt: u32,
    /// The host that the attempt was forwarded to.
    pub host: HostId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the attempt was forwarded.
    pub elapsed: Span,
    /// Whether the request already has its final answer or its client has disconnected.
    pub is_request_closed: bool,
    /// The customer's metered usage as a fraction of its limit.
    pub quota_used: Option<f64>,
    /// Units that the request actually cost.
    pub actual_units: Option<f64>,
    /// The host's load report.
    pub report: Option<LoadReport>,
}

/// An event reported by the gateway.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list or an update to it was received.
    HostList {
        /// How the entries relate to the current list.
        kind: HostListKind,
        /// The entries.
        entries: Vec<HostEntry>,
    },
    /// A request was received.
    Request(Request),
    /// A streaming response has started.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// The client has disconnected; no response can be delivered.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer has expired.
    TimerExpired {
        /// The token of [`SetTimer`](super::Action::SetTimer).
        token: u32,
    },
    /// A health check has ended.
    HealthCheckEnded {
        /// The host.
        host: HostId,
        /// How the health check ended.
        outcome: Outcome,
        /// The host's load report.
        report: Option<LoadReport>,
    },
    /// A call to the counter service has ended.
    CounterReplied {
        /// Key of the entry that was added to.
        key: CounterKey,
        /// How the call ended.
        outcome: Outcome,
        /// Value of the entry after the call.
        total: f64,
        /// Duration of the call.
        elapsed: Span,
    },
    /// The plans have changed; they are in the order of the settings. Customers keep their available units,
    /// up to the new size of their token buckets.
    PlansChanged(Vec<Plan>),
    /// Load shedding: the fraction of requests to admit from now on, 0 to 1, for each class and plan. The
    /// index for a class and a plan is `class * plans + plan`; a missing element admits all requests.
    AdmissionFractionsChanged(Vec<f64>),
    /// A message from another gateway was received.
    PeerMessage {
        /// Index of the other gateway.
        from: u32,
        /// Content of the message.
        bytes: Vec<u8>,
    },
}
