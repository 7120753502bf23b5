//! What a tick of the controller changes for the gateway.

use policy::api::HostId;

use crate::transition::Transition;

/// Changes that the gateway has to carry out after a tick.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FailoverUpdate {
    /// Hosts whose exclusion has changed, in either direction.
    pub changed_hosts: Vec<HostId>,
    /// Admitted fraction of requests by cell, if it has changed; an empty list if all requests are admitted.
    pub admission_fractions: Option<Vec<f64>>,
    /// Transitions to be logged, one line each.
    pub transitions: Vec<Transition>,
}

impl FailoverUpdate {
    /// Returns the update, or `None` if it changes nothing.
    pub(super) fn into_option(self) -> Option<FailoverUpdate> {
        let changes_nothing = self.changed_hosts.is_empty()
            && self.admission_fractions.is_none()
            && self.transitions.is_empty();
        (!changes_nothing).then_some(self)
    }
}
