//! Replies to the commands of one connection, in the order of the commands.

use crate::messages::{CommandNumber, FinalAnswer};
use bytes::{Buf, Bytes, BytesMut};
use bytes_utils::SegmentedBuf;
use policy::api::{RequestId, Span};
use runtime::Time;
use std::collections::VecDeque;
use std::fmt;

const MS: Span = 1_000_000;
/// Values up to this length are copied into one buffer with their header, which costs less than several writes.
const MAX_COPIED_BYTES: usize = 4 * 1024;
/// Buffer capacity for a header line and the end of line.
const HEADER_CAPACITY_BYTES: usize = 16;
/// A client that reads none of its output for this long is regarded as disconnected.
pub(super) const READ_TIMEOUT: Span = 3_000 * MS;
/// A client that has not read the next reply completely within this time is regarded as disconnected: it must not keep
/// its slot by reading a byte now and then.
const REPLY_TIMEOUT: Span = 10_000 * MS;

/// A reply to a command.
#[derive(Clone, PartialEq, Eq)]
pub(super) enum Reply {
    /// An encoded line, with its end of line.
    Line(Bytes),
    /// A value that is encoded as a bulk string when it is moved to the output.
    Value(Bytes),
}

impl Reply {
    /// Creates an error reply with this text.
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

/// A command whose reply has not been moved to the output yet.
pub(super) enum PendingReply {
    /// The request is in flight; `bytes` is the size of its call.
    InFlight {
        request: RequestId,
        bytes: usize,
    },
    Ready(Reply),
}

/// Consecutive commands whose replies are equal, or one command in flight.
struct PendingRun {
    /// Number of the first command.
    first: CommandNumber,
    /// Number of commands.
    count: u64,
    reply: PendingReply,
}

impl PendingRun {
    /// Returns whether a command with this reply can be added.
    fn accepts(&self, reply: &PendingReply) -> bool {
        match (&self.reply, reply) {
            (PendingReply::Ready(own), PendingReply::Ready(other)) => own == other,
            _ => false,
        }
    }
}

/// Maximum number of entries that an empty queue of replies keeps space for, so that a connection at rest takes little
/// memory.
const MAX_IDLE_CAPACITY: usize = 16;

/// Releases the memory of an empty queue, if it has been long.
fn release_if_empty<T>(queue: &mut VecDeque<T>) {
    if queue.is_empty() && queue.capacity() > MAX_IDLE_CAPACITY {
        *queue = VecDeque::new();
    }
}

/// The commands of a connection whose replies have not been moved to the output yet, in order. Equal replies to
/// consecutive commands, such as rejections, take the memory of one.
#[derive(Default)]
pub(super) struct PendingReplies {
    runs: VecDeque<PendingRun>,
    /// Number of the next command.
    next_command: CommandNumber,
    /// Total size of the calls in flight, in bytes.
    in_flight_bytes: usize,
}

impl PendingReplies {
    /// Returns the number of commands whose replies are pending.
    pub fn len(&self) -> usize {
        let first = self.runs.front().map_or(self.next_command, |run| run.first);
        (self.next_command - first) as usize
    }

    /// Returns the number of runs of commands with equal replies, which determines the memory.
    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether no replies are pending.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the total size of the calls in flight, in bytes.
    pub fn in_flight_bytes(&self) -> usize {
        self.in_flight_bytes
    }

    /// Returns the number of the next command.
    pub fn next_command(&self) -> CommandNumber {
        self.next_command
    }

    /// Appends the latest command.
    pub fn push(&mut self, reply: PendingReply) {
        if let PendingReply::InFlight { bytes, .. } = reply {
            self.in_flight_bytes += bytes;
        }
        match self.runs.back_mut().filter(|run| run.accepts(&reply)) {
            Some(run) => run.count += 1,
            None => self.runs.push_back(PendingRun { first: self.next_command, count: 1, reply }),
        }
        self.next_command += 1;
    }

    /// Sets the reply to a command that was in flight. Does nothing if the command is no longer pending.
    pub fn complete(&mut self, command: CommandNumber, answer: FinalAnswer) {
        let Ok(index) = self.runs.binary_search_by_key(&command, |run| run.first) else { return };
        let reply = &mut self.runs[index].reply;
        if let PendingReply::InFlight { bytes, .. } = *reply {
            self.in_flight_bytes -= bytes;
        }
        *reply = PendingReply::Ready(answer.into());
    }

    /// Returns whether the reply to the first command is ready.
    pub fn is_first_ready(&self) -> bool {
        matches!(self.runs.front(), Some(PendingRun { reply: PendingReply::Ready(_), .. }))
    }

    /// Removes the first command and returns its reply, if that is ready.
    pub fn pop_ready(&mut self) -> Option<Reply> {
        let run = self.runs.front_mut()?;
        let PendingReply::Ready(reply) = &run.reply else { return None };
        if run.count > 1 {
            run.first += 1;
            run.count -= 1;
            return Some(reply.clone());
        }
        let first = self.runs.pop_front()?;
        release_if_empty(&mut self.runs);
        match first.reply {
            PendingReply::Ready(reply) => Some(reply),
            PendingReply::InFlight { .. } => None,
        }
    }

    /// Fails all requests in flight, and returns them.
    pub fn fail_in_flight(&mut self) -> Vec<RequestId> {
        let mut requests = Vec::new();
        for run in &mut self.runs {
            if let PendingReply::InFlight { request, bytes } = run.reply {
                requests.push(request);
                self.in_flight_bytes -= bytes;
                run.reply = PendingReply::Ready(FinalAnswer::Failed.into());
            }
        }
        requests
    }

    /// Removes all commands, and returns the requests in flight.
    pub fn drain_in_flight(&mut self) -> Vec<RequestId> {
        let in_flight = self.runs.drain(..).filter_map(|run| match run.reply {
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
    /// End offset of each reply in the output, as the number of bytes since the start of the connection.
    reply_ends: VecDeque<u64>,
    /// Number of bytes appended to the output since the connection was established.
    total: u64,
    deadlines: WriteDeadlines,
}

impl Output {
    /// Returns whether all output has been written.
    pub fn is_empty(&self) -> bool {
        !self.bytes.has_remaining()
    }

    /// Returns the number of replies that have not been written completely.
    pub fn replies(&self) -> usize {
        self.reply_ends.len()
    }

    /// Encodes a reply and appends it to the output.
    pub fn push(&mut self, reply: Reply) {
        match reply {
            Reply::Line(line) => self.append(line),
            Reply::Value(value) if value.len() <= MAX_COPIED_BYTES => {
                let mut encoded = BytesMut::with_capacity(value.len() + HEADER_CAPACITY_BYTES);
                resp::encode_bulk(&mut encoded, &value);
                self.append(encoded.freeze());
            }
            Reply::Value(value) => {
                let mut header = BytesMut::with_capacity(HEADER_CAPACITY_BYTES);
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

    /// Updates the reply offsets and the write deadlines after a write. Returns whether the write completed a reply.
    pub fn on_written(&mut self) -> bool {
        let written = self.total - self.bytes.remaining() as u64;
        let before = self.reply_ends.len();
        while self.reply_ends.front().is_some_and(|end| *end <= written) {
            self.reply_ends.pop_front();
        }
        let has_completed_reply = self.reply_ends.len() < before;
        if self.is_empty() && self.reply_ends.capacity() > MAX_IDLE_CAPACITY {
            self.bytes = SegmentedBuf::new();
            self.reply_ends = VecDeque::new();
        }
        self.deadlines.on_written(has_completed_reply);
        has_completed_reply
    }

    /// Returns the time by which the client has to read some of the output; `None` if there is nothing to write.
    pub fn write_deadline(&mut self, now: Time) -> Option<Time> {
        (!self.is_empty()).then(|| self.deadlines.earliest(now))
    }
}

/// Times by which a client has to read its output. Only reading resets the deadlines; replies to further commands do
/// not.
#[derive(Default)]
struct WriteDeadlines {
    /// Deadline for reading at least one byte.
    any_byte: Option<Time>,
    /// Deadline for reading the next reply completely.
    reply: Option<Time>,
}

impl WriteDeadlines {
    /// Returns the earlier deadline. Deadlines that are not set are started at `now`.
    fn earliest(&mut self, now: Time) -> Time {
        let any_byte = *self.any_byte.get_or_insert(now.saturating_add(READ_TIMEOUT));
        let reply = *self.reply.get_or_insert(now.saturating_add(REPLY_TIMEOUT));
        any_byte.min(reply)
    }

    fn on_written(&mut self, has_completed_reply: bool) {
        self.any_byte = None;
        if has_completed_reply {
            self.reply = None;
        }
    }
}

#[cfg(test)]
mod tests;
