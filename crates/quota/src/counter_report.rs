//! What a gateway makes of the shared counter, for people.

use std::fmt;

/// What the counter looks like from here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CounterState {
    /// There is none, or nothing to be counted.
    #[default]
    Unused,
    /// It answers, and all gateways are heard through it.
    Complete,
    /// It answers, and only so many gateways are heard through it, with this one.
    Partitioned {
        /// How many.
        alive: u32,
        /// Of how many.
        gateways: u32,
    },
    /// It does not answer, or turns all calls away.
    Unreachable,
}

impl CounterState {
    /// Whether quotas rest on less than a whole counter.
    pub fn is_degraded(&self) -> bool {
        matches!(self, CounterState::Partitioned { .. } | CounterState::Unreachable)
    }
}

impl fmt::Display for CounterState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CounterState::Unused => f.write_str("not used"),
            CounterState::Complete => f.write_str("whole: all gateways are heard through it"),
            CounterState::Partitioned { alive, gateways } => write!(
                f,
                "apart: {alive} of {gateways} gateways are heard through it; the others are down, or it is split. \
                 Quotas are held to this side's part"
            ),
            CounterState::Unreachable => f.write_str(
                "away: no answer. Each gateway lends its share of the quotas, and tells when it is back",
            ),
        }
    }
}

/// What this gateway has let through on its own word since the counter was last whole, in units.
///
/// Each gateway estimates its own; what all together passed beyond a quota is at most the sum of theirs, but for
/// what a split lets through before it is noticed, and what a gateway that died had leased.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LocalGrants {
    /// Passed on without the counter.
    pub units: f64,
    /// Of those, beyond this gateway's parts of the quotas, over all customers.
    pub overshoot_units: f64,
    /// The same of the customer of whom it is most.
    pub max_customer_overshoot: f64,
}

impl LocalGrants {
    /// A customer was let in for so many units, and is now so far beyond this gateway's part of its quota; it
    /// was before by `from` at the most.
    pub fn record(&mut self, units: f64, from: f64, to: f64) {
        self.units += units;
        self.overshoot_units += (to - from).max(0.0);
        self.max_customer_overshoot = self.max_customer_overshoot.max(to);
    }
}

/// All that a gateway shows of the counter.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CounterReport {
    /// What it looks like now.
    pub state: CounterState,
    /// How often it has begun anew since this gateway started, as far as it was noticed.
    pub counter_resets: u32,
    /// What rests on this gateway's word.
    pub local_grants: LocalGrants,
}
