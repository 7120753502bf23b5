//! What a total of the counter changes in a token bucket.

use super::{CounterEpoch, LatestTotal, Outage, TokenBucket, MIN_DIVISOR};
use crate::counter_health::CounterHealth;
use crate::idempotent_add::{AddOutcome, MarkScheme};
use crate::membership::{Additions, Usage};
use crate::time::{seconds_between, Time};

/// Seconds of the rate that others may take beyond their usual use before the excess counts as taken just now.
const SUDDEN_USE_S: f64 = 1.0;

/// The change of a customer's number from one total to the next, in units.
struct TotalChange {
    /// Own units that are known to be added only now.
    own_units: f64,
    /// Units that others have added.
    other_units: f64,
    /// Units that all have added.
    growth: f64,
    /// The burst and what the rate has refilled since the epoch began.
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
        // Units used beyond the quota took none out of the bucket: no debt of more than a second's refill remains.
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
            additions: self.additions(outcome, scheme),
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
        let was_reset = outcome.forgotten_units > 0.0;
        let comparable_total = self.latest_total.filter(|latest| {
            latest.epoch == epoch.number
                && outcome.forgotten_units == 0.0
                && latest.units <= outcome.total_units
        });
        let hidden_units = match self.latest_total {
            // No total shows what others took between the latest total and the reset.
            Some(latest) if was_reset => {
                let reset_at = health.last_reset_at().unwrap_or(now);
                self.view.usage_by_others() * seconds_between(latest.at, reset_at)
            }
            _ => 0.0,
        };
        let previous_units = comparable_total.map_or(0.0, |latest| latest.units);
        let growth = outcome.total_units - previous_units + hidden_units;
        TotalChange {
            own_units: outcome.confirmed_units,
            other_units: (growth - outcome.confirmed_units).max(0.0),
            growth,
            refilled_since_epoch: self.config.burst + self.config.rate * seconds_between(epoch.start, now),
        }
    }

    /// Updates the level of a complete view.
    fn update_complete_level(&mut self, now: Time, change: &TotalChange) {
        let refilled_level =
            if self.latest_total.is_some() { self.complete_level_now() } else { change.refilled_since_epoch };
        let level = refilled_level - change.growth;
        self.complete_level = level.clamp(-self.config.rate, self.config.burst);
        self.complete_level_at = now;
    }

    /// Returns the members' adds since the latest total, if both totals show marks.
    fn additions(&self, outcome: &AddOutcome, scheme: Option<MarkScheme>) -> Option<Additions> {
        let before = self.latest_total?.member_counters?;
        let after = outcome.member_counters?;
        Some(Additions { scheme: scheme?, before, after })
    }

    /// Returns the level that a total leaves to this partition, and ends an outage.
    fn level_after_total(&mut self, now: Time, change: &TotalChange) -> f64 {
        let level = match (self.outage.take(), self.latest_total) {
            (Some(outage), _) => self.level_after_outage(now, outage, change),
            (None, Some(latest)) => self.level_after_interval(seconds_between(latest.at, now), change),
            (None, None) => self.level_after_first_total(change),
        };
        // A gateway whose peers may still grant locally has its own fraction; what was leased since is gone all the same.
        if self.is_just_recovered {
            level.min(self.complete_level)
        } else {
            level
        }
    }

    /// Returns the level after the first total of a customer, whose number holds what was leased since the epoch began.
    fn level_after_first_total(&self, change: &TotalChange) -> f64 {
        if self.config.is_ceiling {
            (change.refilled_since_epoch - self.config.burst) * self.view.fraction() - change.growth
        } else {
            (change.refilled_since_epoch - change.growth) * self.view.burst_fraction()
        }
    }

    /// Returns the level this many seconds after the latest total.
    ///
    /// What others took beyond their usual use is taken from a bucket that has filled since, and not from what
    /// overflowed: a burst of the customer's requests that began at another gateway continues here.
    fn level_after_interval(&self, elapsed_s: f64, change: &TotalChange) -> f64 {
        let usual_units = self.view.usage_by_others() * elapsed_s + SUDDEN_USE_S * self.config.rate;
        let sudden_units = if self.has_rejoined { 0.0 } else { (change.other_units - usual_units).max(0.0) };
        let counts_others = !self.has_rejoined && !self.is_just_recovered;
        let taken_units = change.own_units + if counts_others { change.other_units } else { 0.0 };
        let refilled_level = self.base_level + self.refilled_units - taken_units + sudden_units;
        let level = refilled_level.min(self.config.burst * self.view.fraction()) - sudden_units;
        // Others may have taken before what overflowed: under a ceiling it is not available for what is leased now.
        if self.config.is_ceiling {
            level.min(self.level - change.own_units)
        } else {
            level
        }
    }

    /// Returns the level after an outage, and treats all members as together again.
    fn level_after_outage(&mut self, now: Time, outage: Outage, change: &TotalChange) -> f64 {
        let refilled_level = outage.refilled_level + outage.refill_until(now, self.config.rate);
        // The number of a customer that was met during the outage holds what was leased since the epoch began.
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

    /// Returns the level after an outage, given the level that the total shows. Nobody knows what the others granted: no
    /// more is available than at the beginning of the outage, and than the own fraction has left; the others' fractions
    /// of a customer with credit are taken to have as much.
    fn level_without_local_grants(&self, outage: &Outage, shown_level: f64) -> f64 {
        let own_level = self.level.max(0.0);
        let joined_level = if self.has_credit() {
            own_level * outage.fraction / self.view.fraction().max(MIN_DIVISOR)
        } else {
            own_level
        };
        (shown_level - outage.granted_units).min(joined_level)
    }
}
