//! The token bucket of one customer's quota as estimated by one gateway: the units available to this gateway's
//! partition. The estimate follows the totals of the counter; between them, and while there are none, the bucket is
//! refilled at the partition's fraction of the rate.
//!
//! No request is admitted or rejected here. The decision module reads the available and the spendable units, and
//! reports leased and spent ones.

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

/// Time constant of the moving average of a customer's demand, in seconds.
const DEMAND_AVERAGING_S: f64 = 8.0;
/// Demand, as a multiple of the rate, above which a customer exceeds its limit.
const OVER_LIMIT_RATIO: f64 = 1.15;
/// Length of the credit history from which on a customer gets credit, in nanoseconds.
const MIN_CREDIT_HISTORY: Span = 10_000_000_000;
/// Time without credit after a customer exceeded its limit, in nanoseconds.
const NO_CREDIT_FOR: Span = 60_000_000_000;
/// Minimum age of a customer in the computation of its average demand, in seconds.
const MIN_DEMAND_AGE_S: f64 = 1.0;
/// Minimum divisor where a value is divided by a fraction.
const MIN_DIVISOR: f64 = 1e-3;
/// Units by which the level of a full bucket may be too low because of rounding.
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
    /// The level including units that did not fit into the bucket: the next total may show that others had taken them.
    refilled_level: f64,
    fraction: f64,
    /// The time for which `refilled_level` is valid.
    refilled_at: Time,
    /// Units granted without the counter since the beginning.
    granted_units: f64,
    /// Whether the counter had just recovered from an earlier outage, so that the level was still that of this
    /// gateway's own fraction.
    is_own_fraction: bool,
}

/// The token bucket of one customer, in units.
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    config: BucketConfig,
    /// Units leased here and not spent yet; negative for units that were admitted before the counter counted them.
    unspent_lease: f64,
    /// Units that this partition may still take; negative if it took units before they were refilled.
    level: f64,
    refilled_at: Time,
    view: PartitionView,
    /// The level at the latest total.
    base_level: f64,
    /// Units refilled since the latest total.
    refilled_units: f64,
    /// The level for a complete view, at `complete_level_at`.
    complete_level: f64,
    complete_level_at: Time,
    /// Whether the view has ever been complete.
    was_complete: bool,
    latest_total: Option<LatestTotal>,
    /// `None` while the counter answers.
    outage: Option<Outage>,
    /// Whether a partition has healed since the latest total: the units that the others took in the meantime were their
    /// own fraction.
    has_rejoined: bool,
    /// Whether the counter has just recovered, so that other gateways may still grant units locally.
    is_just_recovered: bool,
    /// Greatest number of units below zero that the level reached since the view was last complete.
    max_overdraft: f64,
    /// Units requested from this gateway, as a decaying sum.
    requested_units: f64,
    first_request_at: Time,
    is_over_limit: bool,
    no_credit_until: Time,
    /// Time of the first total of a complete view, from which on the customer's usage is known.
    credit_history_since: Option<Time>,
}

impl TokenBucket {
    /// Returns the full bucket of a customer at its first request.
    pub fn new(now: Time, config: BucketConfig) -> TokenBucket {
        let config = BucketConfig { gateway_set: config.gateway_set.normalized(), ..config };
        TokenBucket {
            level: config.burst,
            refilled_at: now,
            view: PartitionView::new(now, config.gateway_set, config.rate),
            base_level: config.burst,
            complete_level: config.burst,
            complete_level_at: now,
            first_request_at: now,
            config,
            ..TokenBucket::default()
        }
    }

    /// Returns the configuration of the bucket.
    pub fn config(&self) -> &BucketConfig {
        &self.config
    }

    /// Returns the units leased here and not spent yet; negative for units that were admitted before the counter
    /// counted them.
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

    /// Returns the time of the latest total; zero before the first.
    pub fn last_total_at(&self) -> Time {
        self.latest_total.map_or(0, |total| total.at)
    }

    /// Returns the units available to lease or to grant locally, including the overdraft.
    pub fn available(&self) -> f64 {
        self.level + self.overdraft_limit()
    }

    /// Returns the units that may be spent now: leased ones, less those that were taken before they were refilled.
    pub fn spendable(&self) -> f64 {
        match self.outage {
            Some(_) => self.unspent_lease.max(0.0) + self.available(),
            None => self.unspent_lease + self.available().min(0.0),
        }
    }

    /// Returns whether the bucket will be full at this time if no units are spent until then. The full level is at
    /// least that of an even fraction, which a customer has at its first request.
    pub fn is_full_by(&self, time: Time) -> bool {
        let even = 1.0 / f64::from(self.config.gateway_set.set_size);
        let fraction = self.view.fraction().max(even);
        let refill = self.config.rate * fraction * seconds_between(self.refilled_at, time);
        let full_level = self.config.burst * fraction - self.unspent_lease.max(0.0);
        self.level + refill >= full_level - ROUNDING_UNITS
    }

    /// Changes the rate, in units per second, and the burst, in units, from now on. The available units are kept,
    /// up to the capacity of the bucket.
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

    /// Refills the bucket up to `now`, and updates the fraction at which it is refilled from then on.
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

    /// Returns the level of the full bucket. Units that are leased and not spent count as part of it.
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
            // Others may have taken the units that were refilled and did not fit before those were refilled here.
            overflowed_units = (self.base_level + self.refilled_units - self.level).max(0.0);
            self.shrink(previous_fraction);
        } else if fraction > previous_fraction {
            self.grow(previous_fraction);
        }
        self.was_complete |= self.view.is_complete();
        self.base_level = self.level + overflowed_units;
        self.refilled_units = 0.0;
    }

    /// Reduces the level to this partition's fraction of it.
    fn shrink(&mut self, previous_fraction: f64) {
        if self.level > 0.0 {
            self.level *= self.view.burst_fraction() / previous_fraction;
        }
        self.credit_history_since =
            self.credit_history_since.filter(|since| self.refilled_at >= since + MIN_CREDIT_HISTORY);
    }

    /// Joins this partition's level with that of the members that have rejoined, whose buckets are assumed to be
    /// equally full. For a customer with credit, the units that they took in the meantime are their own fraction; for
    /// other customers these units count, to the extent that totals show them.
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
            // A gateway that has just started and now reads the heartbeats of the others: there was no partition.
            self.complete_level_now()
        };
    }

    /// Returns the level for a complete view at the latest refill.
    fn complete_level_now(&self) -> f64 {
        let elapsed_s = seconds_between(self.complete_level_at, self.refilled_at);
        let refilled_level = self.complete_level + self.config.rate * elapsed_s;
        refilled_level.min(self.config.burst - self.unspent_lease.max(0.0))
    }

    /// Returns whether the customer is known to keep within its quota, so that it gets credit while its partition's
    /// fraction is smaller than its traffic needs.
    fn has_credit(&self) -> bool {
        let has_history =
            self.credit_history_since.is_some_and(|since| self.refilled_at >= since + MIN_CREDIT_HISTORY);
        let may_have_credit = !self.config.is_ceiling && !self.config.has_no_counter;
        has_history && self.refilled_at >= self.no_credit_until && may_have_credit
    }

    /// Returns the factor of the refill. The fractions of all partitions never add up to exactly one; for a customer
    /// with credit they may add up to more.
    fn refill_margin(&self) -> f64 {
        if self.view.is_complete() || !self.has_credit() {
            1.0
        } else {
            1.0 + PARTITION_RATE_MARGIN
        }
    }

    /// Returns the number of units by which the level may fall below zero.
    fn overdraft_limit(&self) -> f64 {
        if self.view.is_complete() || !self.has_credit() {
            0.0
        } else {
            OVERDRAFT_BURST_FRACTION * self.config.burst
        }
    }

    /// Records that the customer requests these units, whether or not they are granted.
    pub fn record_demand(&mut self, units: f64) {
        self.requested_units += units;
        let age_s = seconds_between(self.first_request_at, self.refilled_at).max(MIN_DEMAND_AGE_S);
        let averaging_s = DEMAND_AVERAGING_S * (1.0 - exp(-age_s / DEMAND_AVERAGING_S));
        let own_demand = self.requested_units / averaging_s;
        let limit = OVER_LIMIT_RATIO * self.config.rate;
        self.is_over_limit = if self.view.is_complete() {
            own_demand + self.view.usage_by_others() > limit
        } else {
            // In a partition the observed usage through other gateways no longer counts, and a customer over its limit
            // remains over its limit.
            self.is_over_limit || own_demand > limit
        };
        if self.is_over_limit {
            self.no_credit_until = self.refilled_at + NO_CREDIT_FOR;
        }
    }

    /// Spends units. Returns the number of those that the counter has yet to count because they were granted in an
    /// outage.
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

    /// Takes units from the lease, and in an outage the remainder from the level. Returns that remainder.
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

    /// Refunds units that were not used; a negative number takes additional ones. Returns the number of units that the
    /// counter no longer has to count.
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
    /// Returns the units refilled up to `now` at this rate, in units per second.
    fn refill_until(&self, now: Time, rate: f64) -> f64 {
        rate * self.fraction * seconds_between(self.refilled_at, now)
    }
}
