//! Attempts at hosts, and what their responses say.

use crate::client::call::Call;
use crate::messages::{AttemptKey, ConnectionId, NumberedAnswer};
use crate::telemetry::failure_stats::AttemptConnection;
use bytes::Bytes;
use platform_settings::PlatformSettings;
use policy::api::{AttemptEnded, HostId, Outcome, Time};
use resp::Frame;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;

/// Maximum figure in a host's response.
const MAX_FIGURE: f64 = 1e5;

/// An attempt that is to be made.
pub(crate) struct ForwardOrder {
    pub host_id: HostId,
    /// When to give the attempt up.
    pub deadline: Time,
    /// When the last byte of the request has to be written at the latest.
    pub write_by: Time,
    pub call: Arc<Call>,
    /// Whether the request may be executed twice; otherwise a dropped connection would lose it.
    pub is_idempotent: bool,
    /// Where the answer goes: closed once the client has disconnected, which may be long before the event of it is
    /// processed.
    pub client: UnboundedSender<NumberedAnswer>,
}

/// An attempt that has not ended.
pub(super) struct Attempt {
    pub order: ForwardOrder,
    pub started_at: Time,
    /// The connection that the request was given to.
    pub connection_id: Option<ConnectionId>,
    pub connection: AttemptConnection,
}

impl Attempt {
    /// Detaches the attempt from its connection, which could not take the request.
    pub fn clear_connection(&mut self) {
        self.connection_id = None;
        self.connection = AttemptConnection::None;
    }
}

/// An attempt that has ended. The gateway completes what only it knows before the decision module is notified.
#[derive(Debug)]
pub(crate) struct FinishedAttempt {
    pub ended: AttemptEnded,
    pub started_at: Time,
    pub connection: AttemptConnection,
    /// When the attempt would have been given up.
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

    /// The end of an attempt that was never started.
    pub fn not_sent(key: AttemptKey, host: HostId, now: Time, deadline: Time) -> FinishedAttempt {
        FinishedAttempt {
            ended: attempt_ended(key, host, Outcome::NotSent),
            started_at: now,
            connection: AttemptConnection::None,
            deadline,
            value: None,
        }
    }

    /// Reads a response. Returns false if the host has violated the protocol; the request may have been executed then.
    pub(super) fn take_response(&mut self, platform: &PlatformSettings, frame: Frame) -> bool {
        match frame {
            Frame::Array(parts) => self.take_value(platform, parts),
            Frame::Error(text) => self.take_error(platform, &text),
            _ => false,
        }
    }

    fn take_value(&mut self, platform: &PlatformSettings, parts: Vec<Frame>) -> bool {
        let Ok([Frame::Bulk(value), figures, report]) = <[Frame; 3]>::try_from(parts) else { return false };
        self.ended.outcome = Outcome::Ok;
        self.value = Some(value);
        for part in [figures, report] {
            if let Frame::Bulk(text) = part {
                self.take_figures(platform, &text);
            }
        }
        true
    }

    /// Only the protocol's two errors say what was executed.
    fn take_error(&mut self, platform: &PlatformSettings, text: &[u8]) -> bool {
        let mut words = text.split(|byte| *byte == b' ');
        self.ended.outcome = match words.next() {
            Some(b"BUSY") => Outcome::Rejected,
            Some(b"ERR") => Outcome::Error,
            _ => return false,
        };
        for word in words {
            self.take_figures(platform, word);
        }
        true
    }

    /// Reads figures of use and a load report, which are both names with numbers. Numbers that no host can mean are
    /// ignored: they would disturb quotas, and the estimated load of all hosts.
    fn take_figures(&mut self, platform: &PlatformSettings, text: &[u8]) {
        let Ok(text) = std::str::from_utf8(text) else { return };
        let max_units =
            if platform.max_request_units > 0.0 { platform.max_request_units } else { MAX_FIGURE };
        for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
            let value = value.parse::<f64>().ok().filter(|value| (0.0..=MAX_FIGURE).contains(value));
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
