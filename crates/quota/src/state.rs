//! What a gateway makes of the shared counter, for people.

use std::fmt;

/// What the counter looks like from here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CounterState {
    /// There is none, or nothing to be counted.
    #[default]
    Unused,
    /// It answers, and all gateways are heard through it.
    Whole,
    /// It answers, and only so many gateways are heard through it, with this one.
    Apart {
        /// How many.
        heard: u32,
        /// Of how many.
        of: u32,
    },
    /// It does not answer, or turns all calls away.
    Away,
}

impl fmt::Display for CounterState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CounterState::Unused => f.write_str("not used"),
            CounterState::Whole => f.write_str("whole: all gateways are heard through it"),
            CounterState::Apart { heard, of } => write!(
                f,
                "apart: {heard} of {of} gateways are heard through it; the others are down, or it is split. \
                 Quotas are held to this side's part"
            ),
            CounterState::Away => f.write_str(
                "away: no answer. Each gateway lends its share of the quotas, and tells when it is back",
            ),
        }
    }
}
