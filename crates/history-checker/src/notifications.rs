//! Notifications of host states to gateways and their agents.

use crate::observability::ObservabilityGaps;
use cluster_model::observation::Lifecycle;
use cluster_model::Time;
use std::collections::BTreeMap;

/// A notification of a host state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Notification {
    pub at: Time,
    /// Whether discovery wrote it to the gateway; otherwise the agent received it.
    pub to_gateway: bool,
    pub state: Lifecycle,
    /// Start time of the host as notified; 0 if the host started long ago.
    pub started: Time,
}

/// A command sent to a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub first_byte: Time,
    pub request: u64,
}

/// The commands from one gateway to one host, and the gateway's notifications of that host.
#[derive(Debug, Default)]
pub(crate) struct Pair {
    pub notifications: Vec<Notification>,
    pub sent: Vec<Sent>,
}

/// Keyed by gateway and host.
pub(crate) type Pairs = BTreeMap<(u32, u32), Pair>;

impl Pair {
    pub(crate) fn finish(&mut self, who: (u32, u32), gaps: &ObservabilityGaps) {
        self.sent.iter_mut().for_each(|sent| sent.first_byte = gaps.earliest_send(who, sent.first_byte));
        self.notifications.sort_by_key(|notification| notification.at);
        self.sent.sort_by_key(|sent| sent.first_byte);
    }
}
