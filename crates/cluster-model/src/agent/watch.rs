//! A watch on an agent, which sends each change and heartbeats in between.

use super::{DiscoveryMessage, Registry};
use crate::{Span, Time, SECOND};

/// Interval of the heartbeats, which are sent while nothing changes.
pub const HEARTBEAT_INTERVAL: Span = 2 * SECOND;

/// A watch on an agent.
#[derive(Debug)]
pub struct Watch {
    agent: u32,
    /// Number of changes in the agent's log that have been sent.
    sent: usize,
    /// When the last message was sent.
    last_message: Time,
}

impl Watch {
    /// Opens a watch and returns it with its first message: the changes after this generation, or the complete
    /// list. Returns `None` while the agent is silent; the caller is to try again after that.
    pub fn open(
        registry: &mut Registry,
        now: Time,
        agent: u32,
        after: Option<u64>,
    ) -> Option<(Watch, DiscoveryMessage)> {
        let first = match after {
            Some(generation) => registry.changes_after(now, agent, generation),
            None => registry.endpoint_list(now, agent),
        };
        let watch = Watch { agent, sent: registry.log_length(agent), last_message: now };
        first.map(|message| (watch, message))
    }

    /// When the next message is to be sent.
    pub fn next_message_at(&self, registry: &Registry, now: Time) -> Time {
        let heartbeat = self.last_message.saturating_add(HEARTBEAT_INTERVAL);
        let update = registry.next_update(now, self.agent).unwrap_or(heartbeat);
        let has_unsent = registry.log_length(self.agent) > self.sent;
        let next = if has_unsent { now } else { heartbeat.min(update) };
        next.max(registry.silent_until(now).unwrap_or(next))
    }

    /// Returns the messages to be sent now.
    pub fn take_messages(&mut self, registry: &mut Registry, now: Time) -> Vec<DiscoveryMessage> {
        registry.deliver_updates(now, self.agent);
        if registry.silent_until(now).is_some() {
            return Vec::new();
        }
        let mut messages = registry.messages_from(self.agent, self.sent);
        self.sent = registry.log_length(self.agent);
        if messages.is_empty() && now >= self.last_message.saturating_add(HEARTBEAT_INTERVAL) {
            messages.push(DiscoveryMessage::default());
        }
        if !messages.is_empty() {
            self.last_message = now;
        }
        messages
    }
}
