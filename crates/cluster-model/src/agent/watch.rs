//! A watch: what it has told, and when it speaks next.

use super::{DiscoveryMessage, Registry};
use crate::{Span, Time, SECOND};

/// While nothing changes, an empty line comes this often.
pub const HEARTBEAT_INTERVAL: Span = 2 * SECOND;

/// A watch on an agent.
#[derive(Debug)]
pub struct Watch {
    agent: u32,
    /// How much of the agent's log it has told.
    place: usize,
    /// When it last spoke.
    spoke: Time,
}

impl Watch {
    /// Opens a watch, and gives its first line: what has changed after this generation, or the whole list.
    /// `None`: the agent is silent, ask again when it no longer is.
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
        let watch = Watch { agent, place: registry.log_length(agent), spoke: now };
        first.map(|line| (watch, line))
    }

    /// When it has something to say next.
    pub fn next_message_at(&self, registry: &Registry, now: Time) -> Time {
        let beat = self.spoke.saturating_add(HEARTBEAT_INTERVAL);
        let news = registry.next_update(now, self.agent).unwrap_or(beat);
        let untold = registry.log_length(self.agent) > self.place;
        let due = if untold { now } else { beat.min(news) };
        due.max(registry.silent_until(now).unwrap_or(due))
    }

    /// What it has to say now.
    pub fn take_messages(&mut self, registry: &mut Registry, now: Time) -> Vec<DiscoveryMessage> {
        registry.take_in(now, self.agent);
        if registry.silent_until(now).is_some() {
            return Vec::new();
        }
        let mut lines = registry.lines_from(self.agent, self.place);
        self.place = registry.log_length(self.agent);
        if lines.is_empty() && now >= self.spoke.saturating_add(HEARTBEAT_INTERVAL) {
            lines.push(DiscoveryMessage::default());
        }
        if !lines.is_empty() {
            self.spoke = now;
        }
        lines
    }
}
