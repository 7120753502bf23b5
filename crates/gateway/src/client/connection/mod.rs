//! One client connection: reads commands, and writes the replies in the order of the commands.

mod input;

use crate::client::budget::HeldPermits;
use crate::client::linger::{linger, LINGER_TIMEOUT};
use crate::client::replies::{Output, PendingReplies};
use crate::client::slots::{Activity, ConnectionSlot};
use crate::client::Context;
use crate::crash_points::{self, CrashPoint};
use crate::messages::{ClientChannel, LifecyclePhase, NumberedAnswer, TrafficEvent};
use crate::telemetry::client_limits::ClientExcess;
use bytes::Buf;
use input::{InputState, COMMAND_TIMEOUT};
use resp::{ReadBuffer, RespError};
use runtime::{Env, Stream, Time, Writer};
use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::sync::{watch, OwnedSemaphorePermit};

/// Maximum number of replies that are encoded before the client has read them.
const MAX_OUTPUT_REPLIES: usize = 64;

/// Number of commands that a connection processes before other tasks have their turn. A client that sends faster than the
/// gateway processes would delay all others otherwise.
const COMMANDS_PER_TURN: usize = 64;
/// Number of commands that reading counts as, since it takes time even if no command is complete.
const COMMANDS_PER_READ: usize = 8;

/// Why the gateway closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The input has ended or the process shuts down, and all commands have been answered. The last reply may have been
    /// written just now.
    Answered,
    /// No reply was outstanding. The connection releases its slot at once, for another connection.
    Evicted,
}

/// The next step of a connection's loop.
enum Progress {
    /// More can be done without waiting.
    Repeat,
    Close(CloseReason),
    /// Wait for events. The process is in this phase.
    Wait(LifecyclePhase),
}

/// The state of a connection.
struct Connection<E> {
    context: Context<E>,
    slot: Arc<ConnectionSlot>,
    /// The activity last published to the listener.
    published_activity: Activity,
    input: ReadBuffer,
    input_state: InputState,
    /// Time by which the first command, or the rest of an incomplete one, has to arrive.
    command_deadline: Option<Time>,
    pending: PendingReplies,
    output: Output,
    /// The connection as its requests see it.
    channel: ClientChannel,
    /// Permits for the commands whose replies have not been written completely.
    command_permits: HeldPermits,
    /// Permits for the memory of commands, beyond what a connection may hold without.
    byte_permits: HeldPermits,
    /// Whether a valid call has arrived.
    has_sent_call: bool,
    /// Number of commands processed since other tasks had their turn.
    commands_in_turn: usize,
}

/// Serves a connection until it ends.
pub(super) async fn serve<E: Env>(
    stream: E::Stream,
    context: Context<E>,
    slot: Arc<ConnectionSlot>,
    permit: OwnedSemaphorePermit,
) {
    let env = context.env.clone();
    let contention = context.contention.clone();
    // Kept until the function returns: a shutdown waits until all receivers of the phase have been dropped, including
    // those of connections that linger.
    let _phase = context.phase.clone();
    let (mut reader, mut writer) = stream.into_split();
    let (mut connection, inbox) = Connection::new(context, slot.clone());
    let closed = connection.run(&mut reader, &mut writer, inbox).await;
    connection.report_disconnect();
    drop(connection);
    // This connection satisfies the listener's request for a slot, also if its client has disconnected. The flag is
    // cleared so that no other connection closes as well.
    let is_slot_wanted = contention.take_wanted();
    let Ok(reason) = closed else { return };
    let mut lingering = pin!(env.timeout(LINGER_TIMEOUT, linger(&mut reader, &mut writer)));
    if reason == CloseReason::Answered && !is_slot_wanted {
        slot.set(Activity::Lingering, env.now());
        tokio::select! {
            biased;
            _ = lingering.as_mut() => return,
            () = slot.evict.notified() => {}
        }
    }
    drop((slot, permit));
    contention.linger_without_slot(lingering).await;
}

impl<E: Env> Connection<E> {
    /// Creates the state of a new connection, and the receiver of the answers to its requests.
    fn new(
        context: Context<E>,
        slot: Arc<ConnectionSlot>,
    ) -> (Connection<E>, UnboundedReceiver<NumberedAnswer>) {
        let (answers, inbox) = mpsc::unbounded_channel();
        let connection = Connection {
            slot,
            published_activity: Activity::New,
            input: ReadBuffer::new(),
            input_state: InputState::Commands,
            command_deadline: Some(context.env.now() + COMMAND_TIMEOUT),
            pending: PendingReplies::default(),
            output: Output::default(),
            channel: ClientChannel::new(answers),
            command_permits: HeldPermits::new(context.budget.slots.clone()),
            byte_permits: HeldPermits::new(context.budget.bytes.clone()),
            has_sent_call: false,
            commands_in_turn: 0,
            context,
        };
        (connection, inbox)
    }

    /// Serves the connection until it should close and all commands have been answered.
    ///
    /// The futures that wait for evictions and phases live across all iterations: registering and deregistering them
    /// for each request would cost more than the request itself.
    ///
    /// # Errors
    /// The client has disconnected, or has not read its replies in time.
    async fn run(
        &mut self,
        reader: &mut (impl AsyncRead + Unpin + Send),
        writer: &mut impl Writer,
        mut inbox: UnboundedReceiver<NumberedAnswer>,
    ) -> Result<CloseReason, RespError> {
        let env = self.context.env.clone();
        let slot = self.slot.clone();
        let mut phases = self.context.phase.clone();
        let mut evicted = pin!(slot.evict.notified());
        let mut phase_changed = pin!(next_phase(phases.clone()));
        loop {
            if self.is_turn_over() {
                self.commands_in_turn = 0;
                tokio::task::yield_now().await;
            }
            let phase = match self.advance(writer, &mut phases).await? {
                Progress::Repeat => continue,
                Progress::Close(reason) => return Ok(reason),
                Progress::Wait(phase) => phase,
            };
            let activity = self.published_activity;
            let command_deadline = self.command_deadline;
            let write_deadline = self.output.write_deadline(env.now());
            tokio::select! {
                biased;
                Some(answer) = inbox.recv() => self.record_answers(answer, &mut inbox),
                written = env.timeout_at(write_deadline.unwrap_or(0), writer.write_buf(&mut self.output.bytes)),
                    if write_deadline.is_some() =>
                {
                    written.map_err(|_| RespError::Closed)??;
                    self.output.on_written();
                }
                read = self.input.fill(reader), if self.input_state != InputState::Ended => {
                    self.track_backlog(read?);
                    self.commands_in_turn += COMMANDS_PER_READ;
                    self.process_input();
                }
                () = env.sleep_until(command_deadline.unwrap_or(0)), if command_deadline.is_some() => {
                    if self.on_command_timeout(writer) {
                        return Ok(CloseReason::Evicted);
                    }
                }
                () = evicted.as_mut() => {
                    if self.on_eviction(activity, writer) {
                        return Ok(CloseReason::Evicted);
                    }
                    evicted.set(slot.evict.notified());
                }
                changed = phase_changed.as_mut(), if phase < LifecyclePhase::Ending => {
                    phase_changed.set(next_phase(changed.ok_or(RespError::Closed)?));
                }
            }
        }
    }

    /// Does the work that needs no waiting: writes replies, processes commands, and decides whether to close.
    async fn advance<W: Writer>(
        &mut self,
        writer: &mut W,
        phases: &mut watch::Receiver<LifecyclePhase>,
    ) -> io::Result<Progress> {
        self.flush_ready();
        // Usually all output is written at once, and further commands fit into the pipeline.
        if !self.output.is_empty() && self.write_now(writer).await? {
            return Ok(Progress::Repeat);
        }
        if self.is_turn_over() {
            return Ok(Progress::Repeat);
        }
        let phase = *phases.borrow_and_update();
        if phase == LifecyclePhase::Ending && self.accepts_commands() && self.has_partial_command() {
            self.reply_protocol_error("command not whole before the end of the process");
            return Ok(Progress::Repeat);
        }
        if self.should_close(phase, writer) {
            return Ok(Progress::Close(CloseReason::Answered));
        }
        let activity = self.activity();
        self.publish(activity);
        if self.yields_slot(activity, writer) {
            return Ok(Progress::Close(CloseReason::Evicted));
        }
        Ok(Progress::Wait(phase))
    }

    /// Returns whether other tasks should have their turn. Complete commands may be left.
    fn is_turn_over(&self) -> bool {
        self.commands_in_turn >= COMMANDS_PER_TURN
    }

    /// Returns whether all commands have been answered and all replies have been written.
    fn is_answered(&self) -> bool {
        self.pending.is_empty() && self.output.is_empty()
    }

    /// Returns whether the connection should close because the process shuts down or its input has ended.
    fn should_close<W: Writer>(&self, phase: LifecyclePhase, writer: &W) -> bool {
        if !self.accepts_commands() || phase == LifecyclePhase::Ending {
            return self.is_answered();
        }
        // Unread input is a request that has arrived, and a part of a command is a request that has begun to arrive:
        // both are answered.
        phase >= LifecyclePhase::Closing
            && self.is_answered()
            && !self.has_partial_command()
            && writer.has_no_unread_input()
    }

    fn activity(&self) -> Activity {
        if !self.is_answered() {
            Activity::Busy
        } else if !self.has_sent_call {
            Activity::New
        } else if self.has_partial_command() {
            Activity::Busy
        } else {
            Activity::Idle
        }
    }

    /// Publishes the activity to the listener, if it has changed.
    fn publish(&mut self, activity: Activity) {
        if activity != self.published_activity {
            self.slot.set(activity, self.context.env.now());
            self.published_activity = activity;
        }
    }

    /// Handles an eviction by the listener. Returns whether the connection closes.
    fn on_eviction<W: Writer>(&mut self, activity: Activity, writer: &W) -> bool {
        if activity != Activity::Busy && writer.has_no_unread_input() {
            return true;
        }
        self.context.contention.eviction_refused.notify_one();
        // When the activity is published again, this connection is the latest to become idle, so that another
        // one is evicted first.
        self.published_activity = Activity::Busy;
        false
    }

    /// Returns whether the connection closes because it is idle and the listener wants a slot.
    fn yields_slot<W: Writer>(&self, activity: Activity, writer: &W) -> bool {
        let contention = &self.context.contention;
        activity == Activity::Idle
            && contention.is_wanted()
            && writer.has_no_unread_input()
            && contention.take_wanted()
    }

    /// Records an answer, and all others that have arrived.
    fn record_answers(&mut self, first: NumberedAnswer, inbox: &mut UnboundedReceiver<NumberedAnswer>) {
        let mut next = Some(first);
        while let Some(numbered) = next {
            let (command, answer) = *numbered;
            self.pending.complete(command, answer);
            next = inbox.try_recv().ok();
        }
    }

    /// Handles the expiry of the command deadline: the first command, or the rest of one, has not arrived in time.
    /// Returns whether the connection closes.
    fn on_command_timeout<W: Writer>(&mut self, writer: &W) -> bool {
        let has_sent_nothing = !self.has_partial_command() && self.pending.is_empty();
        if !has_sent_nothing {
            self.record_excess(ClientExcess::LateCommand);
            self.reply_protocol_error("command not whole in time");
            return false;
        }
        // A client would take an error for the reply to a command that it sends at the same time. If the connection is
        // closed without a reply, it retries that command.
        if writer.has_no_unread_input() {
            return true;
        }
        // A command has just arrived and is read next.
        self.command_deadline = None;
        false
    }

    /// Writes as much output as possible without waiting. Returns whether a reply was completed. The rest is written
    /// while the connection waits for other events, until its write deadline.
    async fn write_now<W: AsyncWrite + Unpin + Send>(&mut self, writer: &mut W) -> io::Result<bool> {
        if crash_points::is_armed(CrashPoint::InAnswer) {
            writer.write_all(&self.output.bytes.chunk()[..1]).await?;
            crash_points::crash();
        }
        let before = self.output.bytes.remaining();
        while !self.output.is_empty() {
            let write =
                poll_fn(|context| Poll::Ready(pin!(writer.write_buf(&mut self.output.bytes)).poll(context)));
            match write.await {
                Poll::Ready(written) => drop(written?),
                Poll::Pending => break,
            }
        }
        let has_written = self.output.bytes.remaining() < before;
        Ok(has_written && self.output.on_written())
    }

    /// Moves ready replies to the output, in the order of the commands, and processes further commands. This is
    /// repeated for commands that are answered at once, since no later event triggers their replies.
    fn flush_ready(&mut self) {
        loop {
            while self.has_output_room() {
                let Some(reply) = self.pending.pop_ready() else { break };
                self.output.push(reply);
            }
            self.command_permits.shrink_to(self.outstanding());
            self.process_commands();
            if !self.pending.is_first_ready() || !self.has_output_room() {
                return;
            }
        }
    }

    fn has_output_room(&self) -> bool {
        self.output.replies() < MAX_OUTPUT_REPLIES
    }

    /// Returns the number of commands whose replies have not been written completely.
    fn outstanding(&self) -> usize {
        self.pending.len() + self.output.replies()
    }

    fn record_excess(&self, excess: ClientExcess) {
        self.context.excess_log.record(self.context.env.now(), excess);
    }

    /// Reports to the event loop that the client of the requests in flight has disconnected.
    fn report_disconnect(&mut self) {
        for request in self.pending.drain_in_flight() {
            let _ = self.context.gateway.send(TrafficEvent::ClientDisconnected(request));
        }
    }
}

/// Waits for the next phase, and returns the receiver; `None` if the sender has been dropped.
async fn next_phase(mut phases: watch::Receiver<LifecyclePhase>) -> Option<watch::Receiver<LifecyclePhase>> {
    phases.changed().await.ok().map(|()| phases)
}

#[cfg(test)]
mod tests;
