//! Checks that no cached state is used that is older than its stated maximum age.
//!
//! A [`StateUse`] records that a component acted on state that another component, or an earlier time, produced.
//! Subsystems that share state among gateways or buildings record each use. The observed traffic of the present program
//! shows one case: a gateway that forwards to a host relies on the last start of the host that it was notified of. That
//! state is too old from 6 s after the gateway's agent was notified of a newer start.

use crate::availability::Availability;
use crate::finding::{Findings, Rule};
use crate::notifications::{Notification, Pair};
use crate::observability::ObservabilityGaps;
use crate::{after, ms, nth, MAX_NOTIFICATION_DELAY, SOCKET_TOLERANCE};
use cluster_model::observation::Lifecycle;
use cluster_model::{Span, Time};

/// A use of cached state.
#[derive(Clone, Debug, PartialEq)]
pub struct StateUse {
    /// The component that used the state.
    pub user: String,
    /// The subject of the state.
    pub subject: String,
    /// The value of the state.
    pub value: String,
    /// Time when the state was produced, or last known to hold.
    pub confirmed_at: Time,
    /// Time of the use.
    pub used_at: Time,
    /// Maximum age of the state at its use.
    pub max_age: Span,
}

pub(crate) fn check(state_use: &StateUse, found: &mut Findings) {
    let age = after(state_use.used_at, state_use.confirmed_at);
    if age <= state_use.max_age.saturating_add(SOCKET_TOLERANCE) {
        return;
    }
    let StateUse { user, subject, value, confirmed_at, used_at, max_age } = state_use;
    let text = format!("{user} used a state of {subject} that was {} old, {} allowed", ms(age), ms(*max_age));
    let chain = vec![
        (*confirmed_at, format!("the last time that {subject} was {value}")),
        (confirmed_at + max_age, "the state was too old from this time on".to_owned()),
        (*used_at, format!("{user} acted on it")),
    ];
    found.add(Rule::StaleState, *used_at, text, chain);
}

/// Returns the oldest start of a host that a gateway relied on after its agent was notified of a newer start, if any.
pub(crate) fn of_starts(
    (gateway, host): (u32, u32),
    pair: &Pair,
    availability: &Availability,
    gaps: &ObservabilityGaps,
) -> Option<StateUse> {
    let mut place = 0;
    let (mut gateway_start, mut agent_start): (Option<Notification>, Option<Notification>) = (None, None);
    let mut oldest: Option<StateUse> = None;
    for sent in &pair.sent {
        while let Some(notification) =
            pair.notifications.get(place).filter(|notification| notification.at <= sent.first_byte)
        {
            // Another rule covers hosts that are draining or removed.
            match (notification.to_gateway, notification.state) {
                (true, _) => gateway_start = Some(*notification),
                (false, Lifecycle::InService)
                    if agent_start.is_none_or(|agent_start| agent_start.started != notification.started) =>
                {
                    agent_start = Some(*notification);
                }
                (false, Lifecycle::InService) => {}
                (false, _) => agent_start = None,
            }
            place += 1;
        }
        let Some(newer) = agent_start
            .filter(|newer| newer.started > gateway_start.map_or(0, |gateway_start| gateway_start.started))
        else {
            continue;
        };
        let agent_start = newer.at.max(availability.up_since(gateway, sent.first_byte));
        // After an observability gap the gateway is notified with the same delay.
        let confirmed_at = gaps.notified_at(gateway, agent_start.saturating_add(MAX_NOTIFICATION_DELAY))
            - MAX_NOTIFICATION_DELAY;
        if oldest.as_ref().is_none_or(|oldest| {
            after(sent.first_byte, confirmed_at) > after(oldest.used_at, oldest.confirmed_at)
        }) {
            oldest = Some(StateUse {
                user: format!("gateway {}", nth(gateway)),
                subject: format!("host {}", nth(host)),
                value: "in the state before its last start".into(),
                confirmed_at,
                used_at: sent.first_byte,
                max_age: MAX_NOTIFICATION_DELAY,
            });
        }
    }
    oldest
}
