//! The connection of one client.

mod input;

use crate::client::budget::HeldPermits;
use crate::client::linger::{linger, LINGER_TIMEOUT};
use crate::client::replies::{Output, PendingReplies};
use crate::client::slots::{Activity, ConnectionSlot};
use crate::client::Context;
use crate::crash_points::{self, CrashPoint};
use crate::messages::{FinalAnswer, LifecyclePhase, NumberedAnswer, TrafficEvent};
use bytes::{Buf, BytesMut};
use input::{InputState, COMMAND_TIMEOUT};
use resp::RespError;
use runtime::{Env, Stream, Time, Writer};
use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{watch, OwnedSemaphorePermit};

/// Why the gateway ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// All commands are answered, the last of them perhaps just now.
    Answered,
    /// No reply was owed, and another connection gets the slot at once.
    Evicted,
}

/// What a connection does next.
enum Progress {
    /// It can do more without waiting.
    Repeat,
    Close(CloseReason),
    /// It waits for events, in this phase of the process.
    Wait(LifecyclePhase),
}

/// The state of a connection.
struct Connection<E> {
    context: Context<E>,
    slot: Arc<ConnectionSlot>,
    /// The activity that the slot shows.
    published: Activity,
    input: BytesMut,
    input_state: InputState,
    /// By when the first command, or the rest of one, has to arrive.
    command_deadline: Option<Time>,
    pending: PendingReplies,
    output: Output,
    answers: UnboundedSender<NumberedAnswer>,
    /// Permits for the commands whose replies have not been written completely.
    command_permits: HeldPermits,
    /// Permits for the bytes of commands beyond the free ones.
    byte_permits: HeldPermits,
    /// Whether a valid call has arrived.
    has_called: bool,
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
    // Held to the end: a shutdown waits for all receivers of the phase, also for connections that linger.
    let _phase = context.phase.clone();
    let (mut reader, mut writer) = stream.into_split();
    let (mut connection, inbox) = Connection::new(context, slot.clone());
    let closed = connection.run(&mut reader, &mut writer, inbox).await;
    connection.report_disconnect();
    drop(connection);
    // The slot that is wanted is this one, also if its client is gone: no other connection has to close.
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
    /// Creates the state of a new connection, and the channel on which the answers to its requests arrive.
    fn new(
        context: Context<E>,
        slot: Arc<ConnectionSlot>,
    ) -> (Connection<E>, UnboundedReceiver<NumberedAnswer>) {
        let (answers, inbox) = mpsc::unbounded_channel();
        let connection = Connection {
            slot,
            published: Activity::New,
            input: BytesMut::new(),
            input_state: InputState::Commands,
            command_deadline: Some(context.env.now() + COMMAND_TIMEOUT),
            pending: PendingReplies::default(),
            output: Output::default(),
            answers,
            command_permits: HeldPermits::new(context.budget.slots.clone()),
            byte_permits: HeldPermits::new(context.budget.bytes.clone()),
            has_called: false,
            context,
        };
        (connection, inbox)
    }

    /// Runs until the client disconnects (an error), or the connection is to close with all commands answered.
    ///
    /// Waiting for evictions and phases is kept over all iterations: to register and deregister it with each request
    /// costs more than the request.
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
            let phase = match self.advance(writer, &mut phases).await? {
                Progress::Repeat => continue,
                Progress::Close(reason) => return Ok(reason),
                Progress::Wait(phase) => phase,
            };
            let activity = self.published;
            let command_deadline = self.command_deadline;
            let write_deadline = self.output.write_deadline(env.now());
            tokio::select! {
                biased;
                Some((command, answer)) = inbox.recv() => self.take_answers(command, answer, &mut inbox),
                written = env.timeout_at(write_deadline.unwrap_or(0), writer.write_buf(&mut self.output.bytes)),
                    if write_deadline.is_some() =>
                {
                    written.map_err(|_| RespError::Closed)??;
                    self.output.on_written();
                }
                read = resp::fill(reader, &mut self.input), if self.input_state != InputState::Ended => {
                    read?;
                    self.take_input();
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
                changed = phase_changed.as_mut(), if phase < LifecyclePhase::Rejecting => {
                    phase_changed.set(next_phase(changed.ok_or(RespError::Closed)?));
                }
            }
        }
    }

    /// Does what can be done without waiting: writes replies, takes commands, and decides whether to close.
    async fn advance<W: Writer>(
        &mut self,
        writer: &mut W,
        phases: &mut watch::Receiver<LifecyclePhase>,
    ) -> io::Result<Progress> {
        self.flush_ready();
        // Mostly all of it is written at once, and there is room for further commands.
        if !self.output.is_empty() && self.write_now(writer).await? {
            return Ok(Progress::Repeat);
        }
        let phase = *phases.borrow_and_update();
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

    /// Returns whether all commands are answered, with nothing left to write.
    fn is_answered(&self) -> bool {
        self.pending.is_empty() && self.output.is_empty()
    }

    /// Returns whether the connection closes now.
    fn should_close<W: Writer>(&self, phase: LifecyclePhase, writer: &W) -> bool {
        let takes_commands = self.input_state == InputState::Commands;
        if takes_commands && phase < LifecyclePhase::Closing {
            return false;
        }
        if takes_commands && phase < LifecyclePhase::Rejecting {
            // What waits to be read is a request that has arrived. A part of a command is one that has begun.
            return self.is_answered() && self.input.is_empty() && writer.has_no_unread_input();
        }
        self.is_answered()
    }

    fn activity(&self) -> Activity {
        if !self.is_answered() {
            Activity::Busy
        } else if !self.has_called {
            Activity::New
        } else if self.input.is_empty() {
            Activity::Idle
        } else {
            Activity::Busy
        }
    }

    /// Shows the activity to the listener, if it has changed.
    fn publish(&mut self, activity: Activity) {
        if activity != self.published {
            self.slot.set(activity, self.context.env.now());
            self.published = activity;
        }
    }

    /// Takes in that the listener wants the slot. Returns whether the connection closes.
    fn on_eviction<W: Writer>(&mut self, activity: Activity, writer: &W) -> bool {
        if activity != Activity::Busy && writer.has_no_unread_input() {
            return true;
        }
        self.context.contention.eviction_refused.notify_one();
        // Published again, this connection is the latest to become idle, and another one is evicted first.
        self.published = Activity::Busy;
        false
    }

    /// Returns whether the connection closes because it is idle and its slot is wanted.
    fn yields_slot<W: Writer>(&self, activity: Activity, writer: &W) -> bool {
        let contention = &self.context.contention;
        activity == Activity::Idle
            && contention.is_wanted()
            && writer.has_no_unread_input()
            && contention.take_wanted()
    }

    /// Takes an answer, and all others that have arrived.
    fn take_answers(
        &mut self,
        command: u64,
        answer: FinalAnswer,
        inbox: &mut UnboundedReceiver<NumberedAnswer>,
    ) {
        self.pending.complete(command, answer);
        while let Ok((command, answer)) = inbox.try_recv() {
            self.pending.complete(command, answer);
        }
    }

    /// Takes in that the first command, or the rest of one, has not arrived in time. Returns whether the connection
    /// closes.
    fn on_command_timeout<W: Writer>(&mut self, writer: &W) -> bool {
        let has_sent_nothing = self.input.is_empty() && self.pending.is_empty();
        if !has_sent_nothing {
            self.reject_protocol("command not whole in time");
            return false;
        }
        // An error would pass for the reply to a command that crosses it, while a plain end makes the client send that
        // one again.
        if writer.has_no_unread_input() {
            return true;
        }
        // A command has just arrived, and is read next.
        self.command_deadline = None;
        false
    }

    /// Writes what can be written without waiting. Returns whether that completed a reply. What remains is written while
    /// waiting for other events, within its deadline.
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

    /// Moves ready replies to the output, in the order of the commands, and takes further commands. Some of these may
    /// have their replies at once: no event comes for them.
    fn flush_ready(&mut self) {
        loop {
            while let Some(reply) = self.pending.pop_ready() {
                self.output.push(reply);
            }
            self.command_permits.shrink_to(self.outstanding());
            self.take_commands();
            if !self.pending.is_first_ready() {
                return;
            }
        }
    }

    /// Returns the number of commands whose replies have not been written completely.
    fn outstanding(&self) -> usize {
        self.pending.len() + self.output.replies()
    }

    /// Reports that nobody waits for the requests in flight any more.
    fn report_disconnect(&mut self) {
        for request in self.pending.drain_in_flight() {
            let _ = self.context.gateway.send(TrafficEvent::ClientDisconnected(request));
        }
    }
}

/// Waits for the next phase, and returns the channel; `None` if the gateway has ended.
async fn next_phase(mut phases: watch::Receiver<LifecyclePhase>) -> Option<watch::Receiver<LifecyclePhase>> {
    phases.changed().await.ok().map(|()| phases)
}

#[cfg(test)]
mod tests;
