//! The time from which a gateway is considered notified of an event.

use cluster_model::{Span, Time, SECOND};

/// A gateway is considered notified at the latest this long after its agent, whether or not it has asked the agent.
pub(crate) const MAX_NOTIFICATION_DELAY: Span = 6 * SECOND;

/// The delivery of one event to one gateway. Only the first delivery to the agent and to the gateway counts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Notification {
    gateway: Option<Time>,
    agent: Option<Time>,
}

impl Notification {
    /// Records that discovery has written the event to the gateway.
    pub(crate) fn gateway_notified(&mut self, at: Time) {
        self.gateway.get_or_insert(at);
    }

    /// Records that the gateway's agent has received the event.
    pub(crate) fn agent_notified(&mut self, at: Time) {
        self.agent.get_or_insert(at);
    }

    /// Discards the delivery to the gateway, because the event no longer holds.
    pub(crate) fn reset_gateway(&mut self) {
        self.gateway = None;
    }

    /// Discards the delivery to the agent, because the event no longer holds.
    pub(crate) fn reset_agent(&mut self) {
        self.agent = None;
    }

    /// Returns the time from which a gateway whose process has run since `up` is considered notified. A gateway
    /// cannot be notified before it runs.
    pub(crate) fn notified_at(&self, up: Time) -> Option<Time> {
        let agent = self.agent.map(|at| at.saturating_add(MAX_NOTIFICATION_DELAY).max(up));
        self.gateway.into_iter().chain(agent).min()
    }
}
