//! Writes actions of the decision modules as the reply frame.

use crate::codes::action as codes;
use policy::api::{Action, HostId, RequestId};

/// Length of an action record, in bytes.
const ACTION_BYTES: usize = 32;
/// Length of the reply's header, in bytes.
const REPLY_HEADER_BYTES: usize = 8;

/// A reply frame under construction.
#[derive(Default)]
pub(crate) struct Reply {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Appends an action of an instance.
    pub fn push(&mut self, instance: u32, action: Action) {
        let id = |id: RequestId| id.0.to_le_bytes();
        match action {
            // On the wire a deadline of zero means "when the client gives up". One is sent instead, so that a deadline
            // that has passed stays in the past.
            Action::Forward { id: request, host, deadline, .. } => {
                let deadline = deadline.max(1).to_le_bytes();
                self.record(codes::PLACE, instance, &[&id(request), &address(host), &deadline]);
            }
            Action::Cancel { id: request, attempt } => {
                let attempt = (attempt as u16).to_le_bytes();
                self.record(codes::ABANDON, instance, &[&id(request), &attempt]);
            }
            Action::Reject { id: request, retry_after, .. } => {
                let retry_after = retry_after.unwrap_or(0).to_le_bytes();
                self.record(codes::OVERLOAD_REPLY, instance, &[&id(request), &retry_after]);
            }
            Action::Fail { id: request, .. } => {
                self.record(codes::REPORT_FAILURE, instance, &[&id(request)]);
            }
            Action::SetTimer { after, token } => {
                self.record(codes::DEFER, instance, &[&after.to_le_bytes(), &token.to_le_bytes()]);
            }
            Action::AddToCounter { key, amount, time_to_live } => {
                let amount = (amount as f32).to_le_bytes();
                let fields: [&[u8]; 3] = [&amount, &time_to_live.to_le_bytes(), &key.0.to_le_bytes()];
                self.record(codes::TALLY, instance, &fields);
            }
            Action::SubscribeToHosts => self.record(codes::STREAM_CHANGES, instance, &[&[1]]),
        }
    }

    /// Appends the message of a panic in an instance.
    pub fn push_panic(&mut self, instance: u32, message: &str) {
        let offset = (self.tail.len() as u32).to_le_bytes();
        let length = (message.len() as u32).to_le_bytes();
        self.tail.extend(message.as_bytes());
        self.record(codes::FATAL, instance, &[&offset, &length]);
    }

    fn record(&mut self, code: u16, instance: u32, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION_BYTES;
        self.records.extend(code.to_le_bytes());
        self.records.extend(instance.to_le_bytes());
        for field in fields {
            self.records.extend(*field);
        }
        self.records.resize(end, 0);
        self.count += 1;
    }

    /// Returns the complete reply frame.
    pub fn into_frame(self) -> Vec<u8> {
        let size = REPLY_HEADER_BYTES + self.records.len() + self.tail.len();
        let mut frame = Vec::with_capacity(size);
        frame.extend(self.count.to_le_bytes());
        frame.extend((size as u32).to_le_bytes());
        frame.extend(self.records);
        frame.extend(self.tail);
        frame
    }
}

/// Returns a host in its wire format: four bytes of address and two of port.
fn address(host: HostId) -> [u8; 6] {
    let [a, b, c, d, e, f, _, _] = host.0.to_le_bytes();
    [a, b, c, d, e, f]
}
