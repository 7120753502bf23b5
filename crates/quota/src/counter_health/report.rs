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
        /// Watched gateways that reach the counter, with this one.
        alive: u32,
        /// All watched gateways.
        gateways: u32,
    },
    /// The counter does not answer, or rejects all calls.
    Unreachable,
}

impl CounterState {
    /// Returns whether quotas rest on less than a counter that all gateways share.
    pub fn is_degraded(&self) -> bool {
        matches!(self, CounterState::Partitioned { .. } | CounterState::Unreachable)
    }
}

/// Writes the state as the log shows it.
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
/// Each gateway estimates its own. The overshoot of all gateways together is at most the sum of their estimates, apart
/// from what a partition grants before it is detected and what a gateway that died had leased.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LocalGrants {
    /// Units granted without the counter.
    pub units: f64,
    /// Of those, units beyond this gateway's fractions of the quotas, over all customers.
    pub overshoot_units: f64,
    /// Units beyond the fraction of the customer of which it is most.
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

/// All that a gateway reports of the counter.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CounterReport {
    /// The present state of the counter.
    pub state: CounterState,
    /// Resets of the counter that were noticed since this gateway started.
    pub counter_resets: u32,
    /// Units granted without the counter.
    pub local_grants: LocalGrants,
}
