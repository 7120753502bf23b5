//! Decodes and processes the input of a connection.

use super::Connection;
use crate::client::call;
use crate::client::linger::MAX_DISCARDED_BYTES;
use crate::client::replies::{PendingReply, Reply};
use crate::messages::{FinalAnswer, IncomingRequest, LifecyclePhase, ReplyTo, TrafficEvent};
use crate::telemetry::client_limits::ClientExcess;
use bytes::Bytes;
use resp::{ArraySkipper, Frame, MAX_READ_BYTES};
use runtime::{Env, Span};
use std::fmt;

const MS: Span = 1_000_000;
/// Maximum number of commands of one connection that are processed concurrently. Further commands are read ahead: the
/// connection is read continuously, since a disconnection of the client would not be noticed otherwise.
pub(super) const MAX_PIPELINE: usize = 16;
/// Number of bytes read ahead of a full pipeline above which complete commands are rejected.
const MAX_READ_AHEAD_BYTES: usize = 128 * 1024;
/// Maximum number of runs of commands with equal pending replies of one connection, fewer if memory is short. A client
/// whose commands need more is disconnected.
pub(super) const MAX_PENDING_RUNS: usize = 1024;
/// The first command, and the rest of an incomplete one, have to arrive within this time.
pub(super) const COMMAND_TIMEOUT: Span = 2_000 * MS;
/// Size of the input buffer that a connection may have without permits from the shared budget, in bytes.
const UNBUDGETED_INPUT_BYTES: usize = 1024;
/// Bytes of the commands in flight that a connection may hold without permits from the shared budget.
const UNBUDGETED_IN_FLIGHT_BYTES: usize = 3 * 1024;
/// Number of runs of equal pending replies that a connection may hold without permits from the shared budget.
pub(super) const UNBUDGETED_RUNS: usize = 2 * MAX_PIPELINE;
/// Memory of a run of equal pending replies, in bytes: its entry in a queue that doubles, and its line.
const RUN_BYTES: usize = 256;

/// Error for a frame that is not an array.
const NOT_A_COMMAND: &str = "commands are arrays of bulk strings";

/// How the bytes that a client sends are processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputState {
    /// They are decoded as commands.
    Commands,
    /// The first ones belong to a command that exceeds the memory for the bytes of commands. They are discarded up to
    /// its end, then it is rejected.
    SkippingCommand(ArraySkipper),
    /// They cannot be decoded: this many more bytes are discarded, then the client is disconnected.
    Discarding(usize),
    /// The connection stops reading, and no request is in flight.
    Ended,
}

impl<E: Env> Connection<E> {
    /// Processes the bytes that have been read, within the bounds on input. The connection is read in all states but
    /// `Ended`, so that a disconnection of the client is noticed.
    pub(super) fn process_input(&mut self) {
        match self.input_state {
            InputState::Commands | InputState::SkippingCommand(_) => self.process_commands(),
            InputState::Discarding(remaining) if self.input.len() < remaining => {
                self.input_state = InputState::Discarding(remaining - self.input.len());
                self.input.clear();
            }
            InputState::Discarding(_) | InputState::Ended => self.abandon_client(),
        }
    }

    /// Tracks the backlog of a client after a read of this many bytes. It has one if it has sent more than a read returns
    /// although the pipeline is full.
    pub(super) fn track_backlog(&self, count: usize) {
        if count == MAX_READ_BYTES && self.outstanding() >= MAX_PIPELINE {
            self.channel.backlog.record(self.context.env.now());
        }
    }

    /// Processes commands until the pipeline is full.
    pub(super) fn process_commands(&mut self) {
        self.skip_command();
        if let Some(excess) = self.excess_input() {
            if excess == ClientExcess::ReadAhead {
                self.channel.backlog.record(self.context.env.now());
            }
            self.reject_complete_commands(excess);
            if self.is_turn_over() {
                return;
            }
            self.skip_partial_command_beyond_budget();
        }
        while self.input_state == InputState::Commands
            && self.outstanding() < MAX_PIPELINE
            && !self.input.is_empty()
        {
            match self.input.decode() {
                Ok(None) => {
                    self.command_deadline =
                        self.command_deadline.or_else(|| Some(self.context.env.now() + COMMAND_TIMEOUT));
                    return;
                }
                Ok(Some(Frame::Array(parts))) if !parts.is_empty() => self.process_command(&parts),
                Ok(Some(_)) => self.on_undecodable_input(&NOT_A_COMMAND),
                Err(error) => self.on_undecodable_input(&error),
            }
        }
    }

    /// Returns which limit the input exceeds, so that its complete commands are rejected; `None` if it exceeds none.
    fn excess_input(&mut self) -> Option<ClientExcess> {
        if !self.reserve_bytes() {
            return Some(ClientExcess::CommandBytes);
        }
        self.exceeds_read_ahead().then_some(ClientExcess::ReadAhead)
    }

    /// Acquires the missing permits for the memory of this connection's commands, or releases those that are not
    /// needed. Returns false if not enough are available.
    fn reserve_bytes(&mut self) -> bool {
        let input = self.input.allocated_bytes().saturating_sub(UNBUDGETED_INPUT_BYTES);
        let in_flight = self.pending.in_flight_bytes().saturating_sub(UNBUDGETED_IN_FLIGHT_BYTES);
        let replies = self.pending.runs().saturating_sub(UNBUDGETED_RUNS) * RUN_BYTES;
        self.byte_permits.resize(input + in_flight + replies)
    }

    /// Returns whether there is memory for one more run of equal pending replies.
    fn has_room_for_reply(&mut self) -> bool {
        let runs = self.pending.runs();
        runs < UNBUDGETED_RUNS || runs < MAX_PENDING_RUNS && self.reserve_bytes()
    }

    /// Returns whether too many bytes have been read ahead of a full pipeline: more than [`MAX_READ_AHEAD_BYTES`], or
    /// more than the connection's fair share of the common budget.
    fn exceeds_read_ahead(&self) -> bool {
        let is_over_limit = self.byte_permits.exceeds_fair_share() || self.input.len() > MAX_READ_AHEAD_BYTES;
        self.outstanding() >= MAX_PIPELINE && is_over_limit
    }

    /// Rejects each command that has arrived completely, since the input exceeds a limit, until the turn is over. The
    /// remaining bytes may then fit into the budget.
    fn reject_complete_commands(&mut self, excess: ClientExcess) {
        while self.input_state == InputState::Commands && !self.input.is_empty() && !self.is_turn_over() {
            if !self.has_room_for_reply() {
                self.record_excess(ClientExcess::PendingReplies);
                return self.abandon_client();
            }
            match self.input.decode() {
                Ok(None) => return,
                Ok(Some(Frame::Array(parts))) if !parts.is_empty() => {
                    self.command_deadline = None;
                    self.commands_in_turn += 1;
                    let reply = if is_ping(&parts) { self.ping_reply() } else { self.reject(excess) };
                    self.pending.push(PendingReply::Ready(reply));
                }
                Ok(Some(_)) => self.on_undecodable_input(&NOT_A_COMMAND),
                Err(error) => self.on_undecodable_input(&error),
            }
        }
    }

    /// Starts to skip a command that has arrived in part, if the budget has no room for it. It cannot wait for room:
    /// the connection is read continuously, and the client is owed replies to this command and to those behind it.
    fn skip_partial_command_beyond_budget(&mut self) {
        if self.input_state != InputState::Commands || self.reserve_bytes() {
            return;
        }
        let deadline = self.context.env.now() + COMMAND_TIMEOUT;
        self.command_deadline.get_or_insert(deadline);
        self.input_state = InputState::SkippingCommand(ArraySkipper::default());
        self.skip_command();
    }

    /// Discards the bytes of the command that is being skipped, if there is one, and rejects it at its end.
    fn skip_command(&mut self) {
        let InputState::SkippingCommand(skipper) = &mut self.input_state else { return };
        match skipper.skip(&mut self.input) {
            Ok(false) => {}
            Ok(true) => {
                self.input_state = InputState::Commands;
                self.command_deadline = None;
                let reply = self.reject(ClientExcess::PartialCommandBytes);
                self.pending.push(PendingReply::Ready(reply));
            }
            Err(error) => self.on_undecodable_input(&error),
        }
    }

    /// Returns whether the bytes that the client sends are commands that are owed a reply.
    pub(super) fn accepts_commands(&self) -> bool {
        matches!(self.input_state, InputState::Commands | InputState::SkippingCommand(_))
    }

    /// Returns whether bytes of a command have been read that has no pending reply yet.
    pub(super) fn has_partial_command(&self) -> bool {
        !self.input.is_empty() || matches!(self.input_state, InputState::SkippingCommand(_))
    }

    /// Returns the reply to a command that exceeds a limit.
    fn reject(&self, excess: ClientExcess) -> Reply {
        self.record_excess(excess);
        FinalAnswer::Rejected(None).into()
    }

    fn on_undecodable_input(&mut self, error: &dyn fmt::Display) {
        self.record_excess(ClientExcess::Undecodable);
        self.reply_protocol_error(error);
    }

    /// Replies with a protocol error and discards further input, since it cannot be decoded. The connection closes
    /// after the replies to the earlier commands and this error.
    pub(super) fn reply_protocol_error(&mut self, error: impl fmt::Display) {
        let reply = Reply::error(format_args!("protocol error: {error}"));
        self.pending.push(PendingReply::Ready(reply));
        self.stop_input(InputState::Discarding(MAX_DISCARDED_BYTES));
    }

    /// Fails the requests in flight of a client that has sent more than the limits allow, and reads nothing more from
    /// it.
    fn abandon_client(&mut self) {
        for request in self.pending.fail_in_flight() {
            let _ = self.context.gateway.send(TrafficEvent::ClientDisconnected(request));
        }
        self.stop_input(InputState::Ended);
    }

    fn stop_input(&mut self, state: InputState) {
        self.input_state = state;
        self.command_deadline = None;
        self.input.clear();
    }

    fn process_command(&mut self, parts: &[Frame]) {
        self.command_deadline = None;
        self.commands_in_turn += 1;
        let reply =
            if is_ping(parts) { PendingReply::Ready(self.ping_reply()) } else { self.process_call(parts) };
        self.pending.push(reply);
    }

    fn ping_reply(&self) -> Reply {
        match *self.context.phase.borrow() {
            LifecyclePhase::Starting => Reply::error("starting"),
            LifecyclePhase::Ready => Reply::Line(Bytes::from_static(b"+PONG\r\n")),
            LifecyclePhase::Stopping
            | LifecyclePhase::Closing
            | LifecyclePhase::Rejecting
            | LifecyclePhase::Ending => Reply::error("stopping"),
        }
    }

    /// Parses a call and reports its request to the gateway's event loop. Returns the reply at once if the call is
    /// invalid or rejected.
    fn process_call(&mut self, parts: &[Frame]) -> PendingReply {
        let id = self.context.next_request_id();
        let (request, call) = match call::parse(&self.context.platform, id, parts) {
            Ok(call) => call,
            Err(error) => return PendingReply::Ready(Reply::error(error)),
        };
        if *self.context.phase.borrow() >= LifecyclePhase::Rejecting {
            return PendingReply::Ready(FinalAnswer::Rejected(None).into());
        }
        let arrived_at = self.context.env.now();
        if !self.channel.permits_attempts(arrived_at) {
            self.channel.backlog.record(arrived_at);
            return PendingReply::Ready(self.reject(ClientExcess::Backlog));
        }
        if !self.reserve_command() {
            return PendingReply::Ready(self.reject(ClientExcess::CommandSlots));
        }
        let bytes = call.size();
        let reply_to = ReplyTo { command: self.pending.next_command(), client: self.channel.clone() };
        let incoming = IncomingRequest { arrived_at, request, call, reply_to };
        match self.context.gateway.send(TrafficEvent::Request(Box::new(incoming))) {
            Ok(()) => {
                self.has_sent_call = true;
                PendingReply::InFlight { request: id, bytes }
            }
            Err(_) => PendingReply::Ready(Reply::error("stopping")),
        }
    }

    /// Acquires a permit for one more command, which may get a response of the maximum length that stays in memory
    /// until the client has read it. Returns false if none is available, or if the connection holds its fair share.
    fn reserve_command(&mut self) -> bool {
        if self.command_permits.count() > self.outstanding() {
            return true;
        }
        !self.command_permits.exceeds_fair_share() && self.command_permits.extend(1)
    }
}

fn is_ping(parts: &[Frame]) -> bool {
    matches!(parts, [Frame::Bulk(name)] if name.eq_ignore_ascii_case(b"PING"))
}
