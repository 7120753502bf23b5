//! Updates a token bucket with the totals of the counter.

use super::{CounterEpoch, LatestTotal, Outage, TokenBucket, MIN_DIVISOR};
use crate::counter_health::CounterHealth;
use crate::idempotent_add::{AddOutcome, MarkScheme};
use crate::membership::{MemberAdds, Usage};
use crate::time::{seconds_between, Time};

/// Seconds of the rate by which usage by others may exceed their usual one before the excess counts as just used.
const SUDDEN_USAGE_S: f64 = 1.0;

/// The change of a customer's number from one total to the next, in units.
struct TotalChange {
    /// Own units that are newly known to be added.
    own_units: f64,
    /// Units that other members have added.
    other_units: f64,
    /// Units that all members have added.
    growth: f64,
    /// The burst plus the units that the rate has refilled since the epoch began.
    refilled_since_epoch: f64,
}

impl TokenBucket {
    /// Records a total of the customer's number in this epoch; `scheme` is that of the number's marks.
    pub fn record_total(
        &mut self,
        now: Time,
        health: &CounterHealth,
        epoch: CounterEpoch,
        outcome: &AddOutcome,
        scheme: Option<MarkScheme>,
    ) {
        self.refill(now, health);
        self.unspent_lease += outcome.confirmed_units;
        let change = self.total_change(now, health, epoch, outcome);
        self.update_complete_level(now, &change);
        let level = self.level_after_total(now, &change);
        // Units used beyond the quota were not taken from the bucket: the debt is limited to the refill of one second.
        let lowest_level = -self.config.rate - change.own_units - self.overdraft_limit();
        self.level = level.max(lowest_level).min(self.capacity());
        self.base_level = self.level;
        self.refilled_units = 0.0;
        self.has_rejoined = false;
        self.view.record_usage(&Usage {
            now,
            detector: health.failure_detector(),
            own_units: change.own_units,
            other_units: change.other_units,
            adds: self.adds_since_latest_total(outcome, scheme),
        });
        self.latest_total = Some(LatestTotal {
            epoch: epoch.number,
            units: outcome.total_units,
            member_counters: outcome.member_counters,
            at: now,
        });
        if self.credit_history_since.is_none() && self.view.is_complete() {
            self.credit_history_since = Some(now);
        }
    }

    fn total_change(
        &self,
        now: Time,
        health: &CounterHealth,
        epoch: CounterEpoch,
        outcome: &AddOutcome,
    ) -> TotalChange {
        let was_reset = outcome.lost_units > 0.0;
        let comparable_total = self.latest_total.filter(|latest| {
            latest.epoch == epoch.number && outcome.lost_units == 0.0 && latest.units <= outcome.total_units
        });
        let unobserved_units = match self.latest_total {
            // No total shows the units that others took between the latest total and the reset.
            Some(latest) if was_reset => {
                let reset_at = health.last_reset_at().unwrap_or(now);
                self.view.usage_by_others() * seconds_between(latest.at, reset_at)
            }
            _ => 0.0,
        };
        let previous_units = comparable_total.map_or(0.0, |latest| latest.units);
        let growth = outcome.total_units - previous_units + unobserved_units;
        TotalChange {
            own_units: outcome.confirmed_units,
            other_units: (growth - outcome.confirmed_units).max(0.0),
            growth,
            refilled_since_epoch: self.config.burst + self.config.rate * seconds_between(epoch.start, now),
        }
    }

    /// Updates the level for a complete view.
    fn update_complete_level(&mut self, now: Time, change: &TotalChange) {
        let refilled_level =
            if self.latest_total.is_some() { self.complete_level_now() } else { change.refilled_since_epoch };
        let level = refilled_level - change.growth;
        self.complete_level = level.clamp(-self.config.rate, self.config.burst);
        self.complete_level_at = now;
    }

    /// Returns the members' adds since the latest total, if both totals show marks.
    fn adds_since_latest_total(
        &self,
        outcome: &AddOutcome,
        scheme: Option<MarkScheme>,
    ) -> Option<MemberAdds> {
        let before = self.latest_total?.member_counters?;
        let after = outcome.member_counters?;
        Some(MemberAdds { scheme: scheme?, before, after })
    }

    /// Returns this partition's level after a total, and ends an outage.
    fn level_after_total(&mut self, now: Time, change: &TotalChange) -> f64 {
        let level = match (self.outage.take(), self.latest_total) {
            (Some(outage), _) => self.level_after_outage(now, outage, change),
            (None, Some(latest)) => self.level_after_interval(seconds_between(latest.at, now), change),
            (None, None) => self.level_after_first_total(change),
        };
        // A gateway whose peers may still grant locally keeps its own fraction, less the units that have been leased
        // since.
        if self.is_just_recovered {
            level.min(self.complete_level)
        } else {
            level
        }
    }

    /// Returns the level after the first total of a customer, whose number contains the units leased since the
    /// epoch began.
    fn level_after_first_total(&self, change: &TotalChange) -> f64 {
        if self.config.is_ceiling {
            (change.refilled_since_epoch - self.config.burst) * self.view.fraction() - change.growth
        } else {
            (change.refilled_since_epoch - change.growth) * self.view.burst_fraction()
        }
    }

    /// Returns the level this many seconds after the latest total.
    ///
    /// Units that others used beyond their usual usage are subtracted after the refill since then is limited to the
    /// capacity, and not before: a burst of the customer's requests that began at another gateway continues here.
    fn level_after_interval(&self, elapsed_s: f64, change: &TotalChange) -> f64 {
        let usual_units = self.view.usage_by_others() * elapsed_s + SUDDEN_USAGE_S * self.config.rate;
        let sudden_units = if self.has_rejoined { 0.0 } else { (change.other_units - usual_units).max(0.0) };
        let counts_others = !self.has_rejoined && !self.is_just_recovered;
        let used_units = change.own_units + if counts_others { change.other_units } else { 0.0 };
        let refilled_level = self.base_level + self.refilled_units - used_units + sudden_units;
        let level = refilled_level.min(self.config.burst * self.view.fraction()) - sudden_units;
        // Others may have used the units that overflowed before they did: under a hard ceiling those units are not
        // available to cover the current lease.
        if self.config.is_ceiling {
            level.min(self.level - change.own_units)
        } else {
            level
        }
    }

    /// Returns the level after an outage, and treats all members as in one partition again.
    fn level_after_outage(&mut self, now: Time, outage: Outage, change: &TotalChange) -> f64 {
        let refilled_level = outage.refilled_level + outage.refill_until(now, self.config.rate);
        // The number of a customer whose first request came in the outage contains the units leased since the epoch
        // began.
        let refilled_level = if self.latest_total.is_some() {
            refilled_level
        } else {
            refilled_level.max(change.refilled_since_epoch)
        };
        let counted_units = if outage.is_own_fraction { change.own_units } else { change.growth };
        let level = self.level_without_local_grants(&outage, refilled_level - counted_units);
        if !self.is_just_recovered {
            self.view.assume_complete(outage.fraction);
        }
        level
    }

    /// Returns the level after an outage, given the level according to the total. The units that other gateways granted
    /// are not known: the level is at most that at the beginning of the outage, and at most what remains of the own
    /// fraction; for a customer with credit, the fractions of the others are assumed to be equally full.
    fn level_without_local_grants(&self, outage: &Outage, total_level: f64) -> f64 {
        let own_level = self.level.max(0.0);
        let joined_level = if self.has_credit() {
            own_level * outage.fraction / self.view.fraction().max(MIN_DIVISOR)
        } else {
            own_level
        };
        (total_level - outage.granted_units).min(joined_level)
    }
}
