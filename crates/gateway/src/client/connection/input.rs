//! Takes commands off the input of a connection.

use super::Connection;
use crate::client::call;
use crate::client::linger::MAX_DISCARDED;
use crate::client::replies::{PendingReply, Reply};
use crate::messages::{FinalAnswer, IncomingRequest, LifecyclePhase, ReplyTo, TrafficEvent};
use bytes::{Bytes, BytesMut};
use resp::Frame;
use runtime::{Env, Span};
use std::fmt;

const MS: Span = 1_000_000;
/// Maximum number of commands of one connection that are processed at once. Commands behind them are read ahead: a
/// connection is read all the time, or the end of its client would not be noticed.
pub(super) const MAX_PIPELINE: usize = 16;
/// Bytes that are read ahead. Beyond them, complete commands are rejected.
const MAX_READ_AHEAD: usize = 128 * 1024;
/// Maximum number of commands of one connection without a written reply, rejected ones included. A client that sends more
/// is disconnected.
pub(super) const MAX_OUTSTANDING: usize = 1024;
/// The first command, and the rest of an incomplete one, have to arrive within this time.
pub(super) const COMMAND_TIMEOUT: Span = 2_000 * MS;
/// Bytes of commands that a connection may hold without permits of the common budget.
const FREE_BYTES: usize = 4 * 1024;

/// What happens to the bytes that a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputState {
    /// They are commands.
    Commands,
    /// They cannot be decoded: this many more are discarded, then the client is disconnected.
    Discarding(usize),
    /// Nothing is read, and no request is in flight.
    Ended,
}

impl<E: Env> Connection<E> {
    /// Takes in bytes that have been read: they are bounded, and the end of the client is noticed.
    pub(super) fn take_input(&mut self) {
        match self.input_state {
            InputState::Commands => self.take_commands(),
            InputState::Discarding(remaining) if self.input.len() < remaining => {
                self.input_state = InputState::Discarding(remaining - self.input.len());
                self.input.clear();
            }
            InputState::Discarding(_) | InputState::Ended => self.abandon_client(),
        }
    }

    /// Takes commands as far as the pipeline has room.
    pub(super) fn take_commands(&mut self) {
        if !self.reserve_bytes() || self.is_too_far_ahead() {
            self.reject_complete_commands();
            if self.input_state == InputState::Commands && !self.reserve_bytes() {
                self.reject_protocol("no room for so long a command");
            }
        }
        while self.input_state == InputState::Commands
            && self.outstanding() < MAX_PIPELINE
            && !self.input.is_empty()
        {
            match resp::decode(&mut self.input) {
                Ok(None) => {
                    self.command_deadline =
                        self.command_deadline.or_else(|| Some(self.context.env.now() + COMMAND_TIMEOUT));
                    return;
                }
                Ok(Some(Frame::Array(words))) if !words.is_empty() => self.take_command(&words),
                Ok(Some(_)) => self.reject_protocol("commands are arrays of bulk strings"),
                Err(error) => self.reject_protocol(error),
            }
        }
    }

    /// Holds permits for the bytes of this connection's commands. Returns false if there are not enough.
    fn reserve_bytes(&mut self) -> bool {
        let bytes = self.input.len() + self.pending.in_flight_bytes();
        let wanted = bytes.saturating_sub(FREE_BYTES);
        if wanted == 0 {
            self.byte_permits.release();
            return true;
        }
        self.byte_permits.extend(wanted.saturating_sub(self.byte_permits.count()) as u32)
    }

    /// Returns whether too much has been read ahead of a full pipeline: more than a connection may, or so much that too
    /// little of the common budget is left for others.
    fn is_too_far_ahead(&self) -> bool {
        let is_too_much = self.byte_permits.exceeds_fair_share() || self.input.len() > MAX_READ_AHEAD;
        self.outstanding() >= MAX_PIPELINE && is_too_much
    }

    /// Rejects each command that has arrived completely; what remains may fit.
    fn reject_complete_commands(&mut self) {
        while self.input_state == InputState::Commands && !self.input.is_empty() {
            if self.outstanding() >= MAX_OUTSTANDING {
                return self.abandon_client();
            }
            match resp::decode(&mut self.input) {
                Ok(None) => return,
                Ok(Some(Frame::Array(words))) if !words.is_empty() => {
                    self.command_deadline = None;
                    let reply =
                        if is_ping(&words) { self.ping_reply() } else { FinalAnswer::Rejected(None).into() };
                    self.pending.push(PendingReply::Ready(reply));
                }
                Ok(Some(_)) => self.reject_protocol("commands are arrays of bulk strings"),
                Err(error) => self.reject_protocol(error),
            }
        }
    }

    /// Replies with a protocol error, since the input cannot be decoded any further. The connection closes after the
    /// replies to the commands before it.
    pub(super) fn reject_protocol(&mut self, error: impl fmt::Display) {
        let reply = Reply::error(format_args!("protocol error: {error}"));
        self.pending.push(PendingReply::Ready(reply));
        self.end_input(InputState::Discarding(MAX_DISCARDED));
    }

    /// Fails the requests in flight of a client that sends without an end, and reads nothing more of it.
    fn abandon_client(&mut self) {
        for request in self.pending.fail_in_flight() {
            let _ = self.context.gateway.send(TrafficEvent::ClientDisconnected(request));
        }
        self.end_input(InputState::Ended);
    }

    fn end_input(&mut self, state: InputState) {
        self.input_state = state;
        self.command_deadline = None;
        self.input = BytesMut::new();
    }

    fn take_command(&mut self, words: &[Frame]) {
        self.command_deadline = None;
        let reply =
            if is_ping(words) { PendingReply::Ready(self.ping_reply()) } else { self.take_call(words) };
        self.pending.push(reply);
    }

    fn ping_reply(&self) -> Reply {
        match *self.context.phase.borrow() {
            LifecyclePhase::Starting => Reply::error("starting"),
            LifecyclePhase::Ready => Reply::Line(Bytes::from_static(b"+PONG\r\n")),
            LifecyclePhase::Stopping | LifecyclePhase::Closing | LifecyclePhase::Rejecting => {
                Reply::error("stopping")
            }
        }
    }

    /// Reports a call to the gateway's event loop.
    fn take_call(&mut self, words: &[Frame]) -> PendingReply {
        let id = self.context.next_request_id();
        let (request, call) = match call::parse(&self.context.platform, id, words) {
            Ok(call) => call,
            Err(error) => return PendingReply::Ready(Reply::error(error)),
        };
        if *self.context.phase.borrow() == LifecyclePhase::Rejecting || !self.reserve_command() {
            return PendingReply::Ready(FinalAnswer::Rejected(None).into());
        }
        let bytes = call.size();
        let reply_to = ReplyTo { command: self.pending.next_command(), answers: self.answers.clone() };
        let incoming = IncomingRequest { arrived_at: self.context.env.now(), request, call, reply_to };
        match self.context.gateway.send(TrafficEvent::Request(Box::new(incoming))) {
            Ok(()) => {
                self.has_called = true;
                PendingReply::InFlight { request: id, bytes }
            }
            Err(_) => PendingReply::Ready(Reply::error("stopping")),
        }
    }

    /// Holds a permit for one more command, which may get a response of the maximum length that stays in memory until the
    /// client has read it. Returns false if there is none.
    fn reserve_command(&mut self) -> bool {
        if self.command_permits.count() > self.outstanding() {
            return true;
        }
        !self.command_permits.exceeds_fair_share() && self.command_permits.extend(1)
    }
}

fn is_ping(words: &[Frame]) -> bool {
    matches!(words, [Frame::Bulk(name)] if name.eq_ignore_ascii_case(b"PING"))
}
