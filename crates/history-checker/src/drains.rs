//! Checks that a gateway forwards no request to a draining or removed host once the grace period after the notification
//! is over. A gateway is considered notified 6 s after its agent, whether or not it asked the agent.

use crate::availability::Availability;
use crate::finding::{Findings, Rule};
use crate::limits::Limits;
use crate::notifications::{Notification, Pair};
use crate::observability::ObservabilityGaps;
use crate::{ms, nth, MAX_NOTIFICATION_DELAY};
use cluster_model::observation::Lifecycle;
use cluster_model::Time;

/// The notifications so far. Of draining followed by removed, or of a repeated notification, the first counts.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    gateway: Option<Time>,
    agent: Option<Time>,
    /// Time when the agent was notified that the host is in service again, if it has received nothing else since.
    returned: Option<Time>,
}

impl Known {
    fn take(&mut self, notification: &Notification) {
        let leaving = notification.state != Lifecycle::InService;
        let first = if notification.to_gateway { &mut self.gateway } else { &mut self.agent };
        *first = if leaving { first.or(Some(notification.at)) } else { None };
        if !notification.to_gateway {
            self.returned = (!leaving).then_some(notification.at);
        }
    }

    /// Returns the time from which a gateway whose process has run since `up` is considered notified.
    fn since(&self, up: Time) -> Option<Time> {
        let agent = self.agent.map(|at| at.saturating_add(MAX_NOTIFICATION_DELAY).max(up));
        self.gateway.into_iter().chain(agent).min()
    }
}

/// Checks the commands from one gateway to one host; only the first violation is reported.
pub(crate) fn check(
    (gateway, host): (u32, u32),
    pair: &Pair,
    (availability, gaps): (&Availability, &ObservabilityGaps),
    limits: &Limits,
    found: &mut Findings,
) {
    let (mut known, mut place) = (Known::default(), 0);
    for sent in &pair.sent {
        while let Some(notification) =
            pair.notifications.get(place).filter(|notification| notification.at <= sent.first_byte)
        {
            known.take(notification);
            place += 1;
        }
        let Some(since) = known.since(availability.up_since(gateway, sent.first_byte)) else { continue };
        let since = gaps.notified_at(gateway, since);
        let has_returned =
            known.returned.is_some_and(|at| sent.first_byte >= at.saturating_add(MAX_NOTIFICATION_DELAY));
        if has_returned || sent.first_byte <= since.saturating_add(limits.drain_grace) {
            continue;
        }
        let (gateway, host) = (nth(gateway), nth(host));
        let late = ms(sent.first_byte - since);
        let text =
            format!("host {host} got a request {late} after gateway {gateway} was considered notified to stop using it");
        let mut chain = vec![(
            since,
            format!("gateway {gateway} is considered notified that host {host} is draining or removed"),
        )];
        if let (Some(agent_notified_at), false) = (known.agent, known.gateway == Some(since)) {
            chain.push((
                agent_notified_at,
                format!(
                    "the agent of gateway {gateway} was notified that host {host} is draining or removed"
                ),
            ));
        }
        chain.push((since + limits.drain_grace, "the grace period expired".to_owned()));
        chain.push((sent.first_byte, format!("request {:016x} was forwarded to host {host}", sent.request)));
        return found.add(Rule::DrainGrace, sent.first_byte, text, chain);
    }
}
