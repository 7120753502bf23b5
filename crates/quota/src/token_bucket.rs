//! The token bucket of one customer's quota, as far as one gateway can know it: how much of the quota is available to
//! this gateway's partition. The totals of the counter show it while they come; between them and without them the
//! bucket fills with the partition's fraction of the rate.
//!
//! No request is decided here. The decision module asks what is available and spendable, and reports what was leased
//! and spent.

mod compact;
mod config;
mod totals;

use crate::bound::{OVERDRAFT_BURST_FRACTION, PARTITION_RATE_MARGIN, SAVED_BURST_FRACTION};
use crate::counter_health::{CounterHealth, LocalGrant};
use crate::idempotent_add::MemberCounters;
use crate::membership::{CounterReachability, FractionPolicy, PartitionView, QuietMembers, ViewUpdate};
use crate::time::{seconds_between, Span, Time};
use libm::exp;

pub(crate) use compact::CompactBucket;
pub use config::{BucketConfig, CounterEpoch};

/// Time constant of the average of what a customer asks for, in seconds.
const DEMAND_AVERAGING_S: f64 = 8.0;
/// A customer that asks for more than this multiple of its rate is over its limit.
const OVER_LIMIT_RATIO: f64 = 1.15;
/// A customer gets credit once its credit history is this long, in nanoseconds.
const MIN_CREDIT_HISTORY: Span = 10_000_000_000;
/// A customer gets no credit for this long after it was over its limit, in nanoseconds.
const NO_CREDIT_FOR: Span = 60_000_000_000;
/// Lowest age of a customer by which its demand is averaged, in seconds.
const MIN_DEMAND_AGE_S: f64 = 1.0;
/// Lowest fraction that is divided by.
const MIN_DIVISOR: f64 = 1e-3;
/// Units by which a full bucket may fall short through rounding.
const ROUNDING_UNITS: f64 = 1e-6;

/// The latest total of the customer's number.
#[derive(Clone, Copy, Debug)]
struct LatestTotal {
    epoch: u64,
    units: f64,
    member_counters: Option<MemberCounters>,
    at: Time,
}

/// The bucket at the beginning of a counter outage.
#[derive(Clone, Copy, Debug)]
struct Outage {
    /// The level with what did not fit into the bucket: the next total may show that others had taken it.
    refilled_level: f64,
    fraction: f64,
    /// The moment for which `refilled_level` holds.
    refilled_at: Time,
    /// Units granted without the counter since.
    granted_units: f64,
    /// Whether the counter had only just recovered, so that the level was this gateway's own fraction before.
    is_own_fraction: bool,
}

/// The token bucket of one customer, in units.
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    config: BucketConfig,
    /// Units leased here and not spent yet; negative for units admitted before the counter counted them.
    unspent_lease: f64,
    /// Units that this partition may still take; negative when ahead of the refill.
    level: f64,
    refilled_at: Time,
    view: PartitionView,
    /// The level at the latest total.
    base_level: f64,
    /// Units that were refilled since the latest total.
    refilled_units: f64,
    /// The level of a complete view, at `complete_level_at`.
    complete_level: f64,
    complete_level_at: Time,
    /// Whether the view was complete since the customer was met.
    was_complete: bool,
    latest_total: Option<LatestTotal>,
    /// `None` while the counter answers.
    outage: Option<Outage>,
    /// Whether a partition has healed since the latest total: what the others took meanwhile was their own fraction.
    has_rejoined: bool,
    /// Whether the counter has only just recovered, so that other gateways may still grant units locally.
    is_just_recovered: bool,
    /// Units below zero to which the level went since the view was complete.
    max_overdraft: f64,
    /// Units asked for here, as a decaying sum.
    requested_units: f64,
    met_at: Time,
    is_over_limit: bool,
    no_credit_until: Time,
    /// Since when the totals of a complete view have shown what the customer uses.
    credit_history_since: Option<Time>,
}

impl TokenBucket {
    /// Returns the full bucket of a customer that is met now.
    pub fn new(now: Time, config: BucketConfig) -> TokenBucket {
        let config = BucketConfig { gateway_set: config.gateway_set.normalized(), ..config };
        TokenBucket {
            level: config.burst,
            refilled_at: now,
            view: PartitionView::new(now, config.gateway_set, config.rate),
            base_level: config.burst,
            complete_level: config.burst,
            complete_level_at: now,
            met_at: now,
            config,
            ..TokenBucket::default()
        }
    }

    /// Returns the configuration of the bucket.
    pub fn config(&self) -> &BucketConfig {
        &self.config
    }

    /// Returns the units leased here and not spent yet; negative for units admitted before the counter counted them.
    pub fn unspent_lease(&self) -> f64 {
        self.unspent_lease
    }

    /// Returns whether the counter does not answer for this customer.
    pub fn is_counter_unreachable(&self) -> bool {
        self.outage.is_some()
    }

    /// Returns the fraction of the quota that this partition holds, from 0 to 1.
    pub fn fraction(&self) -> f64 {
        self.view.fraction()
    }

    /// Returns the moment of the latest total; zero before the first.
    pub fn last_total_at(&self) -> Time {
        self.latest_total.map_or(0, |total| total.at)
    }

    /// Returns the units available to lease or to grant locally, with the overdraft.
    pub fn available(&self) -> f64 {
        self.level + self.overdraft_limit()
    }

    /// Returns the units that may be spent now: leased ones, less those by which the bucket is ahead of its refill.
    pub fn spendable(&self) -> f64 {
        match self.outage {
            Some(_) => self.unspent_lease.max(0.0) + self.available(),
            None => self.unspent_lease + self.available().min(0.0),
        }
    }

    /// Returns whether the bucket will be full at this moment if no units are taken. An even fraction counts at the
    /// least, since a customer that is met anew holds no more.
    pub fn is_full_by(&self, moment: Time) -> bool {
        let even = 1.0 / f64::from(self.config.gateway_set.set_size);
        let fraction = self.view.fraction().max(even);
        let refill = self.config.rate * fraction * seconds_between(self.refilled_at, moment);
        let full_level = self.config.burst * fraction - self.unspent_lease.max(0.0);
        self.level + refill >= full_level - ROUNDING_UNITS
    }

    /// Changes the rate, in units per second, and the burst, in units, from now on. The available units stay, as far as
    /// the bucket holds them.
    pub fn set_quota(&mut self, now: Time, health: &CounterHealth, rate: f64, burst: f64) {
        self.refill(now, health);
        self.complete_level = self.complete_level_now();
        self.complete_level_at = now;
        if let Some(outage) = &mut self.outage {
            outage.refilled_level += outage.refill_until(now, self.config.rate);
            outage.refilled_at = now;
        }
        self.config.rate = rate;
        self.config.burst = burst;
    }

    /// Refills the bucket up to this moment, and updates the fraction by which it is refilled from then on.
    pub fn refill(&mut self, now: Time, health: &CounterHealth) {
        let elapsed_s = seconds_between(self.refilled_at, now);
        self.refilled_at = now;
        self.requested_units *= exp(-elapsed_s / DEMAND_AVERAGING_S);
        let refill = self.config.rate * elapsed_s * self.view.fraction() * self.refill_margin();
        self.refilled_units += refill;
        self.level = (self.level + refill).min(self.capacity());
        if self.view.is_complete() && !self.is_counter_unreachable() {
            self.max_overdraft = 0.0;
        }
        self.update_view(now, health);
    }

    fn update_view(&mut self, now: Time, health: &CounterHealth) {
        let reachability = self.reachability(now, health);
        self.is_just_recovered = reachability == CounterReachability::Recovering;
        let update = ViewUpdate {
            now,
            detector: health.failure_detector(),
            reachability,
            fraction_policy: self.config.fraction_policy(),
            quiet_members: if self.is_over_limit { QuietMembers::Partitioned } else { QuietMembers::Alive },
        };
        if let Some(previous_fraction) = self.view.update(&update) {
            self.apply_fraction(previous_fraction);
        }
    }

    fn reachability(&self, now: Time, health: &CounterHealth) -> CounterReachability {
        if self.config.has_no_counter {
            CounterReachability::NoCounter
        } else if self.is_counter_unreachable() {
            CounterReachability::Unreachable
        } else if health.is_just_recovered(now) {
            CounterReachability::Recovering
        } else {
            CounterReachability::Reachable
        }
    }

    /// Returns the level of the full bucket. Units that are leased and not spent are still the customer's.
    fn capacity(&self) -> f64 {
        let saved_fraction =
            if self.has_credit() { SAVED_BURST_FRACTION * (1.0 - self.view.fraction()) } else { 0.0 };
        self.config.burst * (self.view.burst_fraction() + saved_fraction) - self.unspent_lease.max(0.0)
    }

    /// Adapts the level to the view's fraction after the members of the partition have changed.
    fn apply_fraction(&mut self, previous_fraction: f64) {
        let fraction = self.view.fraction();
        let mut overflowed_units = 0.0;
        if fraction < previous_fraction {
            // What was refilled and did not fit may have been taken by others before.
            overflowed_units = (self.base_level + self.refilled_units - self.level).max(0.0);
            self.shrink(previous_fraction);
        } else if fraction > previous_fraction {
            self.grow(previous_fraction);
        }
        self.was_complete |= self.view.is_complete();
        self.base_level = self.level + overflowed_units;
        self.refilled_units = 0.0;
    }

    /// Leaves this partition its fraction of the level.
    fn shrink(&mut self, previous_fraction: f64) {
        if self.level > 0.0 {
            self.level *= self.view.burst_fraction() / previous_fraction;
        }
        self.credit_history_since =
            self.credit_history_since.filter(|since| self.refilled_at >= since + MIN_CREDIT_HISTORY);
    }

    /// Joins this partition's level with that of the members that have come back, which is taken to be as full. What
    /// they took meanwhile from a customer with credit was their own fraction; that of other customers counts, as far as
    /// the totals show it.
    fn grow(&mut self, previous_fraction: f64) {
        self.has_rejoined = self.has_credit();
        let growth =
            if self.is_over_limit { 1.0 } else { self.view.fraction() / previous_fraction.max(MIN_DIVISOR) };
        let joined_level = (self.level.max(0.0) * growth).min(self.capacity());
        self.level = if self.has_rejoined {
            joined_level
        } else if self.was_complete {
            joined_level.min(self.complete_level_now())
        } else {
            // A gateway that has just started, and now sees the others' heartbeats: there was no partition.
            self.complete_level_now()
        };
    }

    /// Returns the level of a complete view at the latest refill.
    fn complete_level_now(&self) -> f64 {
        let elapsed_s = seconds_between(self.complete_level_at, self.refilled_at);
        let refilled_level = self.complete_level + self.config.rate * elapsed_s;
        refilled_level.min(self.config.burst - self.unspent_lease.max(0.0))
    }

    /// Returns whether the customer is known to keep within its quota, so that it gets credit while its partition's
    /// fraction falls short of its traffic.
    fn has_credit(&self) -> bool {
        let has_history =
            self.credit_history_since.is_some_and(|since| self.refilled_at >= since + MIN_CREDIT_HISTORY);
        let may_have_credit = !self.config.is_ceiling && !self.config.has_no_counter;
        has_history && self.refilled_at >= self.no_credit_until && may_have_credit
    }

    /// Returns the factor of the refill. The fractions of all partitions never add up to exactly one, and those of a
    /// customer with credit may add up to more.
    fn refill_margin(&self) -> f64 {
        if self.view.is_complete() || !self.has_credit() {
            1.0
        } else {
            1.0 + PARTITION_RATE_MARGIN
        }
    }

    /// Returns the units below zero to which the level may go.
    fn overdraft_limit(&self) -> f64 {
        if self.view.is_complete() || !self.has_credit() {
            0.0
        } else {
            OVERDRAFT_BURST_FRACTION * self.config.burst
        }
    }

    /// Records that the customer asks for these units, whether or not they are granted.
    pub fn record_demand(&mut self, units: f64) {
        self.requested_units += units;
        let age_s = seconds_between(self.met_at, self.refilled_at).max(MIN_DEMAND_AGE_S);
        let averaging_s = DEMAND_AVERAGING_S * (1.0 - exp(-age_s / DEMAND_AVERAGING_S));
        let own_demand = self.requested_units / averaging_s;
        let limit = OVER_LIMIT_RATIO * self.config.rate;
        self.is_over_limit = if self.view.is_complete() {
            own_demand + self.view.usage_by_others() > limit
        } else {
            // What was observed of the others counts no more in a partition, and a customer over its limit stays so.
            self.is_over_limit || own_demand > limit
        };
        if self.is_over_limit {
            self.no_credit_until = self.refilled_at + NO_CREDIT_FOR;
        }
    }

    /// Spends units. Returns those that the counter has yet to count, as they were granted during an outage.
    pub fn spend(&mut self, units: f64, health: &mut CounterHealth) -> f64 {
        let granted_units = self.take_units(units);
        if self.is_counter_unreachable() || !self.view.is_complete() {
            let previous_overshoot = self.max_overdraft;
            self.max_overdraft = previous_overshoot.max(-self.level);
            let overshoot = self.max_overdraft;
            health.record_local_grant(&LocalGrant { units, previous_overshoot, overshoot });
        }
        granted_units
    }

    /// Takes units out of the lease, and during an outage the rest out of the level. Returns that rest.
    fn take_units(&mut self, units: f64) -> f64 {
        let Some(outage) = &mut self.outage else {
            self.unspent_lease -= units;
            return 0.0;
        };
        let leased_units = self.unspent_lease.clamp(0.0, units);
        let granted_units = units - leased_units;
        self.unspent_lease -= leased_units;
        self.level -= granted_units;
        outage.granted_units += granted_units;
        granted_units
    }

    /// Refunds units that were not spent after all; a negative number takes more. Returns the units that the counter
    /// need no longer count.
    pub fn refund(&mut self, units: f64) -> f64 {
        let Some(outage) = &mut self.outage else {
            self.unspent_lease += units;
            return 0.0;
        };
        self.level += units;
        outage.granted_units -= units;
        units
    }

    /// Begins an outage, unless there is one already: units are granted locally until the next total.
    pub fn set_counter_unreachable(&mut self, now: Time, health: &CounterHealth) {
        self.refill(now, health);
        if self.is_counter_unreachable() {
            return;
        }
        let is_own_fraction = self.is_just_recovered;
        let refilled_level = if is_own_fraction { self.level } else { self.base_level + self.refilled_units };
        let fraction = self.view.fraction();
        self.outage =
            Some(Outage { refilled_level, fraction, refilled_at: now, granted_units: 0.0, is_own_fraction });
        self.refill(now, health);
    }

    /// Ends an outage without a total, since the counter answers a customer that is admitted by windows.
    pub fn set_counter_reachable(&mut self) {
        self.outage = None;
    }
}

impl BucketConfig {
    fn fraction_policy(&self) -> FractionPolicy {
        if self.is_ceiling {
            FractionPolicy::Even
        } else {
            FractionPolicy::Learned
        }
    }
}

impl Outage {
    /// Returns the units refilled up to this moment at this rate, in units per second.
    fn refill_until(&self, now: Time, rate: f64) -> f64 {
        rate * self.fraction * seconds_between(self.refilled_at, now)
    }
}
