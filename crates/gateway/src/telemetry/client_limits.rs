//! Counts what clients send beyond the limits, and limits the rate of the log lines about it: one immediately, further
//! ones at growing intervals.

use runtime::{Span, Time};
use std::sync::atomic::{AtomicU64, Ordering};

const SECOND: Span = 1_000_000_000;
/// Time between the first two lines; it doubles with each further line.
const INITIAL_LOG_INTERVAL: Span = 10 * SECOND;
const MAX_LOG_INTERVAL: Span = 600 * SECOND;
/// After this long without an excess, the next one is logged immediately.
const STABLE_PERIOD: Span = 60 * SECOND;

/// What a client has sent beyond a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientExcess {
    /// A complete command that exceeds the memory for the bytes of commands.
    CommandBytes,
    /// A command that has arrived in part, and exceeds the memory for the bytes of commands.
    PartialCommandBytes,
    /// A command beyond the number of commands in flight.
    CommandSlots,
    /// A complete command beyond the bytes that are read ahead of a full pipeline.
    ReadAhead,
    /// A command beyond the memory for the pending replies of one connection.
    PendingReplies,
    /// Bytes that cannot be decoded as a command.
    Undecodable,
    /// The rest of a command that has not arrived in time.
    LateCommand,
    /// A call on a connection that has had unread input for too long.
    Backlog,
}

/// Number of kinds of [`ClientExcess`].
const KINDS: usize = ClientExcess::Backlog as usize + 1;

/// How often each kind of excess has been seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ExcessCounts([u64; KINDS]);

impl ExcessCounts {
    /// Returns the count of one kind.
    pub fn of(&self, excess: ClientExcess) -> u64 {
        self.0[excess as usize]
    }
}

/// The excesses of all clients, shared by their connections.
#[derive(Debug, Default)]
pub(crate) struct ClientExcessLog {
    /// Excesses since the last line, by kind.
    counts: [AtomicU64; KINDS],
    latest: AtomicU64,
    suppressed_until: AtomicU64,
    interval: AtomicU64,
}

impl ClientExcessLog {
    /// Counts an excess, and writes a line about all since the last line if one is due.
    pub fn record(&self, now: Time, excess: ClientExcess) {
        if let Some(counts) = self.count(now, excess) {
            log(&counts);
        }
    }

    /// Counts an excess. Returns the counts since the last line if another one is due.
    fn count(&self, now: Time, excess: ClientExcess) -> Option<ExcessCounts> {
        self.counts[excess as usize].fetch_add(1, Ordering::Relaxed);
        let previous = self.latest.swap(now, Ordering::Relaxed);
        let is_stable = now.saturating_sub(previous) > STABLE_PERIOD;
        if !is_stable && now < self.suppressed_until.load(Ordering::Relaxed) {
            return None;
        }
        let last_interval = if is_stable { 0 } else { self.interval.load(Ordering::Relaxed) };
        let interval = (last_interval * 2).clamp(INITIAL_LOG_INTERVAL, MAX_LOG_INTERVAL);
        self.interval.store(interval, Ordering::Relaxed);
        self.suppressed_until.store(now + interval, Ordering::Relaxed);
        let take = |count: &AtomicU64| count.swap(0, Ordering::Relaxed);
        Some(ExcessCounts(self.counts.each_ref().map(take)))
    }
}

fn log(counts: &ExcessCounts) {
    tracing::warn!(
        command_bytes = counts.of(ClientExcess::CommandBytes),
        partial_command_bytes = counts.of(ClientExcess::PartialCommandBytes),
        command_slots = counts.of(ClientExcess::CommandSlots),
        read_ahead = counts.of(ClientExcess::ReadAhead),
        pending_replies = counts.of(ClientExcess::PendingReplies),
        undecodable = counts.of(ClientExcess::Undecodable),
        late_commands = counts.of(ClientExcess::LateCommand),
        backlog = counts.of(ClientExcess::Backlog),
        "clients send more than the limits allow"
    );
}

#[cfg(test)]
mod tests;
