//! Replies to the commands of one connection, in the order of the commands.

use crate::messages::{CommandNumber, FinalAnswer};
use bytes::{Buf, Bytes, BytesMut};
use bytes_utils::SegmentedBuf;
use policy::api::{RequestId, Span};
use runtime::Time;
use std::collections::VecDeque;
use std::fmt;

const MS: Span = 1_000_000;
/// Values up to this length are copied behind their header: one piece costs less than several writes.
const MAX_COPIED: usize = 4 * 1024;
/// Space for a header line.
const HEADER_CAPACITY: usize = 16;
/// A client that reads nothing of its replies for this long is gone.
pub(super) const READ_TIMEOUT: Span = 3_000 * MS;
/// So is one that has not read the next reply completely after this: it may not keep its slot by a byte now and then.
const REPLY_TIMEOUT: Span = 10_000 * MS;

/// A reply to a command.
pub(super) enum Reply {
    /// An encoded line.
    Line(Bytes),
    /// A value that has to be encoded.
    Value(Bytes),
}

impl Reply {
    /// Returns an error line with this text.
    pub fn error(text: impl fmt::Display) -> Reply {
        Reply::Line(format!("-ERR {text}\r\n").into())
    }
}

impl From<FinalAnswer> for Reply {
    fn from(answer: FinalAnswer) -> Reply {
        match answer {
            FinalAnswer::Response(value) => Reply::Value(value),
            FinalAnswer::Rejected(None) => Reply::Line(Bytes::from_static(b"-BUSY\r\n")),
            FinalAnswer::Rejected(Some(retry_after)) => {
                Reply::Line(format!("-BUSY {}\r\n", retry_after.div_ceil(MS)).into())
            }
            FinalAnswer::Failed => Reply::Line(Bytes::from_static(b"-ERR failed\r\n")),
        }
    }
}

/// A command whose reply is not in the output yet.
pub(super) enum PendingReply {
    /// The request is in flight; its call takes this many bytes.
    InFlight {
        request: RequestId,
        bytes: usize,
    },
    Ready(Reply),
}

/// The commands of a connection whose replies are not in the output yet, in order.
#[derive(Default)]
pub(super) struct PendingReplies {
    replies: VecDeque<PendingReply>,
    /// Number of the first command.
    first: CommandNumber,
    /// Bytes of the calls that are in flight.
    in_flight_bytes: usize,
}

impl PendingReplies {
    /// Returns the number of commands.
    pub fn len(&self) -> usize {
        self.replies.len()
    }

    /// Returns whether there is no command.
    pub fn is_empty(&self) -> bool {
        self.replies.is_empty()
    }

    /// Returns the bytes of the calls that are in flight.
    pub fn in_flight_bytes(&self) -> usize {
        self.in_flight_bytes
    }

    /// Returns the number of the next command.
    pub fn next_command(&self) -> CommandNumber {
        self.first + self.replies.len() as u64
    }

    /// Appends the latest command.
    pub fn push(&mut self, reply: PendingReply) {
        if let PendingReply::InFlight { bytes, .. } = reply {
            self.in_flight_bytes += bytes;
        }
        self.replies.push_back(reply);
    }

    /// Sets the reply to a command; a command that is not pending any more is ignored.
    pub fn complete(&mut self, command: CommandNumber, answer: FinalAnswer) {
        let index = command.checked_sub(self.first).and_then(|index| usize::try_from(index).ok());
        let Some(reply) = index.and_then(|index| self.replies.get_mut(index)) else { return };
        if let PendingReply::InFlight { bytes, .. } = *reply {
            self.in_flight_bytes -= bytes;
        }
        *reply = PendingReply::Ready(answer.into());
    }

    /// Returns whether the reply to the first command is ready.
    pub fn is_first_ready(&self) -> bool {
        matches!(self.replies.front(), Some(PendingReply::Ready(_)))
    }

    /// Removes the first command if its reply is ready.
    pub fn pop_ready(&mut self) -> Option<Reply> {
        if !self.is_first_ready() {
            return None;
        }
        let Some(PendingReply::Ready(reply)) = self.replies.pop_front() else { return None };
        self.first += 1;
        Some(reply)
    }

    /// Fails all requests in flight, and returns them.
    pub fn fail_in_flight(&mut self) -> Vec<RequestId> {
        let mut requests = Vec::new();
        for reply in &mut self.replies {
            if let PendingReply::InFlight { request, bytes } = *reply {
                requests.push(request);
                self.in_flight_bytes -= bytes;
                *reply = PendingReply::Ready(FinalAnswer::Failed.into());
            }
        }
        requests
    }

    /// Removes all commands, and returns the requests in flight.
    pub fn drain_in_flight(&mut self) -> Vec<RequestId> {
        let in_flight = self.replies.drain(..).filter_map(|reply| match reply {
            PendingReply::InFlight { request, .. } => Some(request),
            PendingReply::Ready(_) => None,
        });
        in_flight.collect()
    }
}

/// Encoded replies that the client has not received yet.
#[derive(Default)]
pub(super) struct Output {
    pub bytes: SegmentedBuf<Bytes>,
    /// Where each reply in the output ends, in bytes since the first one on this connection.
    reply_ends: VecDeque<u64>,
    /// Bytes that were ever put into the output.
    total: u64,
    deadlines: WriteDeadlines,
}

impl Output {
    /// Returns whether there is something to write.
    pub fn is_empty(&self) -> bool {
        !self.bytes.has_remaining()
    }

    /// Returns the number of replies that have not been written completely.
    pub fn replies(&self) -> usize {
        self.reply_ends.len()
    }

    /// Encodes a reply at the end of the output.
    pub fn push(&mut self, reply: Reply) {
        match reply {
            Reply::Line(line) => self.append(line),
            Reply::Value(value) if value.len() <= MAX_COPIED => {
                let mut encoded = BytesMut::with_capacity(value.len() + HEADER_CAPACITY);
                resp::encode_bulk(&mut encoded, &value);
                self.append(encoded.freeze());
            }
            Reply::Value(value) => {
                let mut header = BytesMut::with_capacity(HEADER_CAPACITY);
                resp::encode_bulk_header(&mut header, value.len());
                self.append(header.freeze());
                self.append(value);
                self.append(Bytes::from_static(b"\r\n"));
            }
        }
        self.reply_ends.push_back(self.total);
    }

    fn append(&mut self, bytes: Bytes) {
        self.total += bytes.len() as u64;
        self.bytes.push(bytes);
    }

    /// Takes in that bytes have been written. Returns whether they completed a reply.
    pub fn on_written(&mut self) -> bool {
        let written = self.total - self.bytes.remaining() as u64;
        let before = self.reply_ends.len();
        while self.reply_ends.front().is_some_and(|end| *end <= written) {
            self.reply_ends.pop_front();
        }
        let has_completed_reply = self.reply_ends.len() < before;
        self.deadlines.on_written(has_completed_reply);
        has_completed_reply
    }

    /// Returns by when the client has to read of the output; `None` if there is nothing to write.
    pub fn write_deadline(&mut self, now: Time) -> Option<Time> {
        (!self.is_empty()).then(|| self.deadlines.earliest(now))
    }
}

/// By when a client has to read of its replies. Only reading renews the deadlines; replies to further commands do not.
#[derive(Default)]
struct WriteDeadlines {
    /// For any byte.
    any: Option<Time>,
    /// For the next reply as a whole.
    reply: Option<Time>,
}

impl WriteDeadlines {
    /// Returns the earliest deadline; the deadlines start with the first call.
    fn earliest(&mut self, now: Time) -> Time {
        let any = *self.any.get_or_insert(now.saturating_add(READ_TIMEOUT));
        let reply = *self.reply.get_or_insert(now.saturating_add(REPLY_TIMEOUT));
        any.min(reply)
    }

    fn on_written(&mut self, has_completed_reply: bool) {
        self.any = None;
        if has_completed_reply {
            self.reply = None;
        }
    }
}
