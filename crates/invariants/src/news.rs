//! When a gateway counts as told of something.

use cluster_model::{Span, Time, SECOND};

/// What an agent has heard counts as told to its gateway so much later at the latest, whether or not the gateway
/// has asked.
pub(crate) const LATEST: Span = 6 * SECOND;

/// One piece of news on its way to one gateway. Of each step the first time counts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct News {
    told: Option<Time>,
    heard: Option<Time>,
}

impl News {
    /// Discovery has written it to the gateway.
    pub(crate) fn told(&mut self, at: Time) {
        self.told.get_or_insert(at);
    }

    /// The gateway's agent has heard it.
    pub(crate) fn heard(&mut self, at: Time) {
        self.heard.get_or_insert(at);
    }

    /// What was written no longer holds.
    pub(crate) fn forget_told(&mut self) {
        self.told = None;
    }

    /// What was heard no longer holds.
    pub(crate) fn forget_heard(&mut self) {
        self.heard = None;
    }

    /// Since when a gateway whose process has run since `up` counts as told. Nobody is told before it runs.
    pub(crate) fn since(&self, up: Time) -> Option<Time> {
        let heard = self.heard.map(|at| at.saturating_add(LATEST).max(up));
        self.told.into_iter().chain(heard).min()
    }
}
