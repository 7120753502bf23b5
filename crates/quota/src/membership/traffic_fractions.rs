//! The fractions of a customer's traffic that came through each gateway of its set, kept for the time in which the
//! counter cannot be called. All gateways read the same totals, so their fractions of one customer add up to one.

use crate::bound::FRACTION_DECAY_S;
use crate::idempotent_add::MAX_MEMBERS;
use crate::time::{seconds_between, Span, Time, NANOS_PER_SECOND};

#[cfg(test)]
mod tests;

/// Time constant of the moving average of each member's traffic, in seconds.
const AVERAGING_TIME_S: f64 = 8.0;
/// Seconds of observation after which the fractions have their full weight: at first each gateway has read different
/// totals.
const LEARNING_TIME_S: f64 = 3.0;
/// Fraction of the customer's rate that all members are assumed to use evenly, regardless of the observed traffic.
const EVEN_RATE_FRACTION: f64 = 0.3;
/// Time constant, in seconds without an observation, of the decay of this gateway's fraction of a customer that uses
/// all of its quota: by then the other gateways have observed that no traffic comes through this one.
const UNOBSERVED_DECAY_S: f64 = 10.0;
/// Part of an even fraction that a gateway gives a customer whose first request it gets while the other gateways are
/// unreachable: the customer may be new, or have used the other gateways so far.
const NEW_CUSTOMER_PART: f64 = 0.45;
/// Exponent that gives the used part of the quota little weight until most of the quota is used.
const BUSY_EXPONENT: f64 = 4.0;

/// The traffic of one customer through each member of its gateway set, as this gateway last observed it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TrafficFractions {
    members: u32,
    /// Units per second through each member.
    used_rates: [f32; MAX_MEMBERS as usize],
    /// Units per second of the customer's quota.
    rate: f32,
    updated_at: Time,
    /// Seconds of observation, up to [`LEARNING_TIME_S`].
    observed_s: f32,
}

impl TrafficFractions {
    /// Returns the fractions of a customer with this rate, in units per second, before any observation.
    pub(crate) fn new(now: Time, members: u32, rate: f64) -> TrafficFractions {
        TrafficFractions {
            members: members.max(1),
            used_rates: [0.0; MAX_MEMBERS as usize],
            rate: rate.max(1e-9) as f32,
            updated_at: now,
            observed_s: 0.0,
        }
    }

    /// Returns whether there are few enough members to observe them separately.
    fn are_tracked(&self) -> bool {
        self.members <= MAX_MEMBERS
    }

    /// Returns an even fraction.
    fn even(&self) -> f64 {
        1.0 / f64::from(self.members)
    }

    /// Returns the weight of the observations, from 0 to 1.
    pub(crate) fn confidence(&self) -> f64 {
        f64::from(self.observed_s) / LEARNING_TIME_S
    }

    /// Returns the time of the latest observation.
    pub(crate) fn updated_at(&self) -> Time {
        self.updated_at
    }

    /// Returns the fractions without any observation.
    pub(crate) fn unlearned(&self) -> TrafficFractions {
        TrafficFractions { used_rates: [0.0; MAX_MEMBERS as usize], observed_s: 0.0, ..*self }
    }

    /// Returns these fractions if they were learned by this time; otherwise those without any observation.
    pub(crate) fn learned_by(&self, time: Time) -> TrafficFractions {
        if self.updated_at <= time {
            *self
        } else {
            self.unlearned()
        }
    }

    /// Records the units used through members since the latest observation, as pairs of member and units.
    pub(crate) fn record_usage(&mut self, now: Time, usage: impl Iterator<Item = (u32, f64)>) {
        let elapsed_s = seconds_between(self.updated_at, now);
        let decay = libm::exp(-elapsed_s / AVERAGING_TIME_S) as f32;
        self.observed_s = (f64::from(self.observed_s) + elapsed_s).min(LEARNING_TIME_S) as f32;
        for used_rate in &mut self.used_rates {
            *used_rate *= decay;
        }
        for (member, units) in usage {
            if let Some(used_rate) = self.used_rates.get_mut(member as usize) {
                *used_rate += (units.max(0.0) / AVERAGING_TIME_S) as f32;
            }
        }
        self.updated_at = now;
    }

    /// Returns a member's fraction, from 0 to 1; the fewer observations there are, the more even it is.
    ///
    /// `unobserved`: time for which this gateway had not observed the customer when it lost contact with the other
    /// gateways. `elapsed`: time since then.
    pub(crate) fn fraction_of(&self, member: u32, unobserved: Span, elapsed: Span) -> f64 {
        let even = self.even();
        if !self.are_tracked() || member >= self.members {
            return even;
        }
        let confidence = self.confidence();
        let known = even + (self.observed_fraction(member) - even) * confidence;
        // The other gateways of a busy customer take over a fraction that they observed to be unused; the fraction of a
        // customer with spare units only decays with age. A customer with few observations may be of either kind.
        let busy = libm::pow(self.used_quota(), BUSY_EXPONENT).max(1.0 - confidence);
        let unobserved_s = unobserved as f64 / NANOS_PER_SECOND;
        let retained = libm::exp(-unobserved_s * busy / UNOBSERVED_DECAY_S);
        let elapsed_s = elapsed as f64 / NANOS_PER_SECOND;
        self.decayed(known * retained, elapsed_s + unobserved_s * (1.0 - busy))
    }

    /// Returns a member's fraction of the observed traffic, with an even minimum added for each member.
    fn observed_fraction(&self, member: u32) -> f64 {
        let minimum = EVEN_RATE_FRACTION * f64::from(self.rate) / f64::from(self.members);
        let rate_of = |member: usize| f64::from(self.used_rates[member]) + minimum;
        let total: f64 = (0..self.members as usize).map(rate_of).sum();
        if total > 0.0 {
            rate_of(member as usize) / total
        } else {
            self.even()
        }
    }

    /// Returns the fraction of its quota that the customer uses, up to 1.
    fn used_quota(&self) -> f64 {
        let used: f64 = self.used_rates.iter().map(|used_rate| f64::from(*used_rate)).sum();
        (used / f64::from(self.rate)).min(1.0)
    }

    /// Returns the fraction of a member that has never observed the customer, while other members may have: the sum of
    /// all fractions exceeds one by at most [`FRACTION_SUM_EXCESS`](crate::bound::FRACTION_SUM_EXCESS).
    pub(crate) fn fraction_of_new_customer(&self, elapsed: Span) -> f64 {
        self.decayed(NEW_CUSTOMER_PART / f64::from(self.members), elapsed as f64 / NANOS_PER_SECOND)
    }

    /// Returns a fraction decayed towards an even one for this age, in seconds.
    fn decayed(&self, fraction: f64, age_s: f64) -> f64 {
        let even = self.even();
        even + (fraction - even) * libm::exp(-age_s / FRACTION_DECAY_S)
    }

    /// Returns the units per second through all members except this one.
    pub(crate) fn usage_by_others(&self, own_member: u32) -> f64 {
        let rates = self.used_rates.iter().enumerate();
        rates.filter(|(member, _)| *member != own_member as usize).map(|(_, rate)| f64::from(*rate)).sum()
    }
}
