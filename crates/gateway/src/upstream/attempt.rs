//! Attempts at hosts, and the interpretation of their responses.

use crate::client::call::Call;
use crate::messages::{AttemptKey, ClientChannel, ConnectionId};
use crate::telemetry::failure_stats::AttemptConnection;
use bytes::Bytes;
use platform_settings::PlatformSettings;
use policy::api::{AttemptEnded, HostId, Outcome, Time};
use resp::Frame;
use std::sync::Arc;

/// Maximum plausible number in a host's response; greater ones are ignored.
const MAX_METRIC: f64 = 1e5;

/// The parameters of an attempt to be made.
pub(crate) struct ForwardOrder {
    pub host_id: HostId,
    /// When the attempt times out.
    pub deadline: Time,
    /// Latest time at which the last byte of the request may be written.
    pub write_by: Time,
    pub call: Arc<Call>,
    /// Whether the request may be executed twice. A request that is not idempotent cannot be retried after a dropped
    /// connection.
    pub is_idempotent: bool,
    /// The client's connection. It is closed as soon as the client has disconnected, possibly long before the event loop
    /// processes the event for it.
    pub client: ClientChannel,
}

/// An attempt that has not ended.
pub(super) struct Attempt {
    pub order: ForwardOrder,
    pub started_at: Time,
    /// The connection on which the request was written.
    pub connection_id: Option<ConnectionId>,
    pub connection: AttemptConnection,
}

impl Attempt {
    /// Detaches the attempt from its connection, which could not accept the request.
    pub fn clear_connection(&mut self) {
        self.connection_id = None;
        self.connection = AttemptConnection::None;
    }
}

/// An attempt that has ended. The gateway fills in the fields that only it knows before it notifies the decision
/// module.
#[derive(Debug)]
pub(crate) struct FinishedAttempt {
    pub ended: AttemptEnded,
    pub started_at: Time,
    pub connection: AttemptConnection,
    /// When the attempt would have timed out.
    pub deadline: Time,
    /// The response for the client.
    pub value: Option<Bytes>,
}

impl FinishedAttempt {
    pub(super) fn new(key: AttemptKey, attempt: &Attempt, outcome: Outcome) -> FinishedAttempt {
        let (id, index) = key;
        FinishedAttempt {
            ended: attempt_ended((id, index), attempt.order.host_id, outcome),
            started_at: attempt.started_at,
            connection: attempt.connection,
            deadline: attempt.order.deadline,
            value: None,
        }
    }

    /// Returns the result of an attempt that was never started.
    pub fn not_sent(key: AttemptKey, host: HostId, now: Time, deadline: Time) -> FinishedAttempt {
        FinishedAttempt {
            ended: attempt_ended(key, host, Outcome::NotSent),
            started_at: now,
            connection: AttemptConnection::None,
            deadline,
            value: None,
        }
    }

    /// Reads a response. Returns false if it violates the protocol, in which case the request may have been executed.
    pub(super) fn read_response(&mut self, platform: &PlatformSettings, frame: Frame) -> bool {
        match frame {
            Frame::Array(parts) => self.read_value(platform, parts),
            Frame::Error(text) => self.read_error(platform, &text),
            _ => false,
        }
    }

    fn read_value(&mut self, platform: &PlatformSettings, parts: Vec<Frame>) -> bool {
        let Ok([Frame::Bulk(value), metrics, report]) = <[Frame; 3]>::try_from(parts) else { return false };
        self.ended.outcome = Outcome::Ok;
        self.value = Some(value);
        for part in [metrics, report] {
            if let Frame::Bulk(text) = part {
                self.read_metrics(platform, &text);
            }
        }
        true
    }

    /// Reads an error. Only the two errors of the protocol (`BUSY`, `ERR`) tell whether the request was executed.
    fn read_error(&mut self, platform: &PlatformSettings, text: &[u8]) -> bool {
        let mut words = text.split(|byte| *byte == b' ');
        self.ended.outcome = match words.next() {
            Some(b"BUSY") => Outcome::Rejected,
            Some(b"ERR") => Outcome::Error,
            _ => return false,
        };
        for word in words {
            self.read_metrics(platform, word);
        }
        true
    }

    /// Reads usage metrics and a load report, which are both lists of `name=number`. Implausible numbers are ignored:
    /// they would distort quotas and the load estimates of all hosts.
    fn read_metrics(&mut self, platform: &PlatformSettings, text: &[u8]) {
        let Ok(text) = std::str::from_utf8(text) else { return };
        let max_units =
            if platform.max_request_units > 0.0 { platform.max_request_units } else { MAX_METRIC };
        for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
            let value = value.parse::<f64>().ok().filter(|value| (0.0..=MAX_METRIC).contains(value));
            let Some(value) = value else { continue };
            match name {
                "used" => self.ended.quota_used = Some(value / 100.0),
                "cost" if value > 0.0 && value <= max_units => self.ended.actual_units = Some(value),
                _ if platform.responses_carry_reports
                    && platform.load_report_fields.iter().any(|field| field == name) =>
                {
                    self.ended.report.get_or_insert_default().set(name, value);
                }
                _ => {}
            }
        }
    }
}

fn attempt_ended((id, attempt): AttemptKey, host: HostId, outcome: Outcome) -> AttemptEnded {
    AttemptEnded {
        id,
        attempt,
        host,
        outcome,
        elapsed: 0,
        is_request_closed: false,
        quota_used: None,
        actual_units: None,
        report: None,
    }
}
