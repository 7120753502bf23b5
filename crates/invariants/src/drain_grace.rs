//! Checks that a gateway forwards no request to a draining or removed host once the grace period after the
//! notification is over.

use crate::notification::{Notification, MAX_NOTIFICATION_DELAY};
use crate::violations::{OneBased, Subject, ViolationLog};
use crate::{Rule, SOCKET_TOLERANCE};
use cluster_model::observation::Lifecycle;
use cluster_model::{Span, Time};
use std::collections::BTreeMap;

/// The state of a host as known to a gateway and its agent. The agent keeps its knowledge across restarts of the
/// gateway, and a restarted host is in service once the gateway is considered notified of that.
#[derive(Debug, Default)]
struct KnownState {
    /// Notification that the host is draining or removed. Of draining followed by removed, or of a repeated
    /// notification, the first counts.
    leaving: Notification,
    /// Time when the agent was notified that the host is in service again, if it has received nothing else since.
    returned: Option<Time>,
}

#[derive(Debug)]
pub(crate) struct DrainGrace {
    grace: Span,
    /// Keyed by gateway and host.
    known: BTreeMap<(u32, u32), KnownState>,
}

impl DrainGrace {
    pub(crate) fn new(grace: Span) -> DrainGrace {
        DrainGrace { grace: grace.saturating_add(SOCKET_TOLERANCE), known: BTreeMap::new() }
    }

    pub(crate) fn gateway_notified(&mut self, now: Time, gateway: u32, host: u32, state: Lifecycle) {
        let known = self.known.entry((gateway, host)).or_default();
        match state {
            Lifecycle::InService => known.leaving.reset_gateway(),
            Lifecycle::Draining | Lifecycle::Removed => known.leaving.gateway_notified(now),
        }
    }

    pub(crate) fn agent_notified(&mut self, now: Time, gateway: u32, host: u32, state: Lifecycle) {
        let known = self.known.entry((gateway, host)).or_default();
        known.returned = (state == Lifecycle::InService).then_some(now);
        match state {
            Lifecycle::InService => known.leaving.reset_agent(),
            Lifecycle::Draining | Lifecycle::Removed => known.leaving.agent_notified(now),
        }
    }

    /// Checks a command that a host has received completely. The first byte was sent at `first_byte`, by a gateway
    /// that has run since `up`. `after_gaps` maps the time from which the gateway would be considered notified to
    /// the time after any observability gap.
    pub(crate) fn attempt_received(
        &self,
        request: u64,
        (gateway, up): (u32, Time),
        host: u32,
        first_byte: Time,
        after_gaps: &dyn Fn(Time) -> Time,
        log: &mut ViolationLog,
    ) {
        let Some(known) = self.known.get(&(gateway, host)) else { return };
        let Some(notified_at) = known.leaving.notified_at(up).map(after_gaps) else { return };
        let has_returned =
            known.returned.is_some_and(|at| first_byte >= at.saturating_add(MAX_NOTIFICATION_DELAY));
        if first_byte > notified_at.saturating_add(self.grace) && !has_returned {
            log.violation(first_byte, Rule::DrainGrace, Subject::Host(host), || {
                let late = (first_byte - notified_at) / 1_000_000;
                let (gateway, host) = (OneBased(gateway), OneBased(host));
                format!("request {request:016x} was forwarded to host {host} {late} ms after gateway {gateway} was \
                         considered notified that the host is draining or removed")
            });
        }
    }
}
