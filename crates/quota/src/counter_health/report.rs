//! The state of the counter and the local grants, as shown to operators.

use std::fmt;

/// The state of the counter as this gateway observes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CounterState {
    /// There is no counter, or nothing to count.
    #[default]
    Unused,
    /// The counter answers, and all watched gateways reach it.
    Complete,
    /// The counter answers, and only some of the watched gateways reach it.
    Partitioned {
        /// Watched gateways that reach the counter, including this one.
        alive: u32,
        /// All watched gateways.
        gateways: u32,
    },
    /// The counter does not answer, or rejects all calls.
    Unreachable,
}

impl CounterState {
    /// Returns whether quotas are enforced without a counter that all gateways share.
    pub fn is_degraded(&self) -> bool {
        matches!(self, CounterState::Partitioned { .. } | CounterState::Unreachable)
    }
}

/// Writes the state in the form used in the log.
impl fmt::Display for CounterState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CounterState::Unused => f.write_str("unused"),
            CounterState::Complete => f.write_str("complete"),
            CounterState::Partitioned { alive, gateways } => {
                write!(f, "partitioned ({alive} of {gateways} gateways alive)")
            }
            CounterState::Unreachable => f.write_str("unreachable"),
        }
    }
}

/// The units that this gateway has granted without the counter since the counter was last complete.
///
/// Each gateway estimates its own overshoot. The overshoot of all gateways together is at most the sum of their
/// estimates, apart from the units that a partition grants before it is detected and those that a gateway had leased
/// when it died.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LocalGrants {
    /// Units granted without the counter.
    pub units: f64,
    /// Of these, units beyond this gateway's fractions of the quotas, over all customers.
    pub overshoot_units: f64,
    /// Units beyond this gateway's fraction of the quota, for the customer with the most of them.
    pub max_customer_overshoot: f64,
}

/// Units granted to one customer without the counter.
pub(crate) struct LocalGrant {
    pub(crate) units: f64,
    /// Units beyond this gateway's fraction of the customer's quota before the grant.
    pub(crate) previous_overshoot: f64,
    /// Units beyond this gateway's fraction of the customer's quota after the grant.
    pub(crate) overshoot: f64,
}

impl LocalGrants {
    /// Records a grant.
    pub(super) fn record(&mut self, grant: &LocalGrant) {
        self.units += grant.units;
        self.overshoot_units += (grant.overshoot - grant.previous_overshoot).max(0.0);
        self.max_customer_overshoot = self.max_customer_overshoot.max(grant.overshoot);
    }
}

/// A gateway's report on the counter.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CounterReport {
    /// The current state of the counter.
    pub state: CounterState,
    /// Resets of the counter that were noticed since this gateway started.
    pub counter_resets: u32,
    /// Units granted without the counter.
    pub local_grants: LocalGrants,
}
