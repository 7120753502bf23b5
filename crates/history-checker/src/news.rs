//! What gateways and their agents were told of hosts, and when.

use crate::ears::Ears;
use cluster_model::observation::Lifecycle;
use cluster_model::Time;
use std::collections::BTreeMap;

/// A piece of news.
#[derive(Clone, Copy, Debug)]
pub(crate) struct News {
    pub at: Time,
    /// Written to the gateway; else its agent has heard it.
    pub told: bool,
    pub state: Lifecycle,
    /// When the host had started by it; 0: long ago.
    pub started: Time,
}

/// A command that was sent to a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub first_byte: Time,
    pub request: u64,
}

/// What passed between one gateway and one host, and what that gateway was told of it.
#[derive(Debug, Default)]
pub(crate) struct Pair {
    pub news: Vec<News>,
    pub sent: Vec<Sent>,
}

/// By gateway and host.
pub(crate) type Pairs = BTreeMap<(u32, u32), Pair>;

impl Pair {
    pub(crate) fn settle(&mut self, who: (u32, u32), ears: &Ears) {
        self.sent.iter_mut().for_each(|sent| sent.first_byte = ears.sent(who, sent.first_byte));
        self.news.sort_by_key(|news| news.at);
        self.sent.sort_by_key(|sent| sent.first_byte);
    }
}
