//! A customer's account at this gateway, for one limit of its plan.
//!
//! Units are leased in advance from the shared counter and spent on requests. While the counter is
//! unreachable, or only some of the other gateways are in this gateway's partition, units are granted locally
//! from the partition's fraction of the quota, and reconciled afterwards. If the limit is too small to be
//! leased by all gateways that serve the customer, requests are admitted by windowed admission instead
//! ([`::quota::WindowedLimiter`]). The token bucket ([`::quota::TokenBucket`]) tracks the available units.

use crate::api::Time;
use crate::time::NANOS_PER_SECOND;
use ::quota::{
    BucketConfig, CompactState, CounterEpoch, CounterHealth, GatewaySet, IdempotentAdder, QuotaState,
    Reconciliation, TokenBucket, WindowedLimiter, RETRY_INTERVAL,
};
use libm::exp;

/// Time constant of the rate of admitted units, in seconds.
const RATE_WINDOW_SECONDS: f64 = 4.0;
/// Minimum burst per gateway for leases, in units; smaller limits use windowed admission.
const MIN_BURST_PER_GATEWAY: f64 = 2.0;
/// Tolerance for rounding errors, in units.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The state of one limit of a customer at this gateway.
#[derive(Default)]
pub(crate) struct Account {
    bucket: TokenBucket,
    /// Windowed admission is used, because the limit is too small for leases by all gateways.
    pub is_windowed: bool,
    adder: IdempotentAdder,
    /// Units that have not been added to the counter yet; allocated on first use.
    reconciliation: Option<Box<Reconciliation>>,
    /// Epoch in which the gateway started.
    start_epoch: u64,
    refilled_at: Time,
    next_call_at: Time,
    windowed_limiter: Option<Box<WindowedLimiter>>,
    /// Rate of units admitted at this gateway, per second.
    admitted_rate: f64,
}

impl Account {
    /// Returns the account of a new customer.
    pub fn new(now: Time, config: BucketConfig, start_epoch: u64, may_be_windowed: bool) -> Self {
        let bucket = TokenBucket::new(now, config);
        let BucketConfig { rate, burst, is_ceiling, has_no_counter, gateway_set } = *bucket.config();
        let is_small = burst < MIN_BURST_PER_GATEWAY * f64::from(gateway_set.set_size);
        let is_windowed = may_be_windowed && !is_ceiling && !has_no_counter && is_small;
        let windowed_limiter = is_windowed
            .then(|| Box::new(WindowedLimiter::new(rate, burst, gateway_set.phase(), gateway_set.set_size)));
        let mut account = Account {
            bucket,
            is_windowed,
            start_epoch,
            refilled_at: now,
            windowed_limiter,
            ..Account::default()
        };
        account.adder = account.new_adder();
        account
    }

    /// Returns an adder for an entry of this customer.
    fn new_adder(&self) -> IdempotentAdder {
        let BucketConfig { rate, burst, gateway_set, .. } = *self.bucket.config();
        let members = if self.is_windowed { 0 } else { gateway_set.set_size };
        IdempotentAdder::new(gateway_set.member_index(), members, rate * 60.0 + burst, self.start_epoch)
    }

    /// Records units that have to be added to the counter, if there is one; a negative number reduces them.
    fn add_pending(&mut self, units: f64) {
        if units == 0.0 || self.bucket.config().has_no_counter {
            return;
        }
        let mut reconciliation = match self.reconciliation.take() {
            Some(reconciliation) => reconciliation,
            None => Box::new(Reconciliation::new(self.new_adder())),
        };
        reconciliation.add_pending(units);
        self.reconciliation = Some(reconciliation);
    }

    /// Returns the limiter of windowed admission.
    pub fn windowed_limiter(&mut self) -> &mut WindowedLimiter {
        self.windowed_limiter.get_or_insert_default()
    }

    /// Records a request of the customer, admitted or not. `typical_ratio` and `absent_since`: see
    /// [`::quota::WindowedLimiter::record_request`].
    pub fn record_demand(&mut self, now: Time, units: f64, typical_ratio: f64, absent_since: Time) {
        match &mut self.windowed_limiter {
            Some(limiter) => limiter.record_request(now, units, typical_ratio, absent_since),
            None => self.bucket.record_demand(units),
        }
    }

    /// Changes the limit. Available units are kept up to the size of the token bucket. The contribution marks
    /// keep the scheme of the limit granted by the platform, which a changed limit never exceeds, so that
    /// gateways that apply the change later decode the same totals.
    pub fn set_limit(&mut self, now: Time, health: &CounterHealth, rate: f64, burst: f64) {
        self.bucket.set_quota(now, health, rate, burst);
        if let Some(limiter) = &mut self.windowed_limiter {
            limiter.set_quota(rate, burst);
        }
    }

    /// Returns whether the limit is a hard ceiling.
    pub fn is_ceiling(&self) -> bool {
        self.bucket.config().is_ceiling
    }

    /// Returns whether units are granted locally.
    pub fn is_granting_locally(&self) -> bool {
        self.bucket.is_counter_unreachable()
    }

    /// Returns whether a call to the counter is in flight.
    pub fn is_calling(&self) -> bool {
        self.adder.is_call_in_flight()
    }

    /// Returns whether a new call to the counter may be made.
    pub fn may_call(&self, now: Time) -> bool {
        !self.is_calling() && now >= self.next_call_at
    }

    /// Returns the number of units that can be spent now.
    pub fn spendable(&self) -> f64 {
        self.bucket.spendable()
    }

    /// Returns whether the token bucket will be full at `now`.
    pub fn is_full_by(&self, now: Time) -> bool {
        self.bucket.is_full_by(now)
    }

    /// Returns the gateways that serve the customer.
    pub fn gateway_set(&self) -> &GatewaySet {
        &self.bucket.config().gateway_set
    }

    /// Returns the number of gateways that serve the customer.
    pub fn gateway_count(&self) -> f64 {
        f64::from(self.bucket.config().gateway_set.set_size)
    }

    /// Refills the token bucket up to now.
    pub fn refill(&mut self, now: Time, health: &CounterHealth) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / NANOS_PER_SECOND;
        self.admitted_rate *= exp(-elapsed / RATE_WINDOW_SECONDS);
        self.refilled_at = now;
        self.bucket.refill(now, health);
    }

    /// Returns the units that correspond to a reserved fraction of the token bucket.
    fn reserved_units(&self, fraction: f64) -> f64 {
        fraction * self.bucket.config().burst * self.bucket.fraction()
    }

    /// Returns whether units can be leased for a request while a fraction of the token bucket stays reserved.
    pub fn can_lease(&self, units: f64, reserved_fraction: f64) -> bool {
        let unspent = self.bucket.unspent_lease();
        let available = self.bucket.available();
        if unspent >= units {
            return false;
        }
        let keeps_reserve =
            reserved_fraction == 0.0 || unspent + available - units >= self.reserved_units(reserved_fraction);
        let justifies_call = available >= 0.5 * units.min(self.bucket.config().burst);
        self.is_granting_locally() || justifies_call && keeps_reserve
    }

    /// Returns whether units can be spent now while a fraction of the token bucket stays reserved.
    pub fn can_spend(&self, units: f64, reserved_fraction: f64) -> bool {
        let available = self.bucket.unspent_lease().max(0.0) + self.bucket.available();
        let uses_reserve =
            reserved_fraction > 0.0 && available - units < self.reserved_units(reserved_fraction);
        !uses_reserve && self.bucket.spendable() + ROUNDING_TOLERANCE >= units
    }

    /// Spends units on a request.
    pub fn spend(&mut self, units: f64, health: &mut CounterHealth) {
        self.admitted_rate += units / RATE_WINDOW_SECONDS;
        let granted_locally = self.bucket.spend(units, health);
        self.add_pending(granted_locally);
    }

    /// Refunds units that were not spent; negative if more were spent than estimated.
    pub fn refund(&mut self, units: f64) {
        let uncounted = self.bucket.refund(units);
        self.add_pending(-uncounted);
    }

    /// Handles a failed call, and switches to local grants. `may_have_been_applied`: the counter may have
    /// executed the call.
    pub fn on_call_failed(&mut self, now: Time, health: &CounterHealth, may_have_been_applied: bool) {
        self.adder.fail_call(may_have_been_applied && !self.is_windowed);
        self.next_call_at = now + RETRY_INTERVAL;
        self.grant_locally(now, health);
    }

    /// Switches to local grants. The reply to a call in flight is still used.
    pub fn grant_locally(&mut self, now: Time, health: &CounterHealth) {
        self.refill(now, health);
        self.bucket.set_counter_unreachable(now, health);
    }

    /// Starts a call that leases units for a request and, up to the available units, for the expected demand
    /// of the next `horizon` seconds; returns the amount. While units are granted locally, the call only
    /// probes whether the counter replies.
    pub fn start_lease(&mut self, health: &CounterHealth, epoch: u64, units: f64, horizon: f64) -> f64 {
        if self.is_granting_locally() {
            return self.adder.start_call(epoch, 0.0, false);
        }
        let needed = (units - self.bucket.unspent_lease()).max(0.0);
        // Leases in advance never exceed what the bound on overshoot (`quota::bound`) allows for.
        let ahead = horizon * self.admitted_rate.min(self.bucket.config().rate);
        let max_ahead = (self.bucket.available() - needed).max(0.0) * 2.0 / self.gateway_count();
        let is_reset_suspected = health.was_reset_since(self.bucket.last_total_at());
        self.adder.start_call(epoch, needed + ahead.min(max_ahead), is_reset_suspected)
    }

    /// Starts a call that adds the demand to the entry of the current window; returns the window and the
    /// amount.
    pub fn start_demand_report(&mut self, now: Time, units: f64) -> (u64, f64) {
        let window = self.windowed_limiter().window_at(now);
        (window, self.adder.start_call(window, units, false))
    }

    /// Records the total demand of a window, and returns the fraction of the demand that the limit covers.
    pub fn record_window_total(&mut self, now: Time, window: u64, total: f64) -> f64 {
        self.bucket.set_counter_reachable();
        let amount = self.adder.complete_call(window, total, false).confirmed_units;
        self.windowed_limiter().record_total(now, window, total, amount);
        1.0 / self.windowed_limiter().demand_ratio(now).unwrap_or(1.0).max(1.0)
    }

    /// Records the total of leased units of an epoch. Returns whether it shows a previously unknown reset of
    /// the counter.
    pub fn record_leased_total(
        &mut self,
        now: Time,
        health: &CounterHealth,
        epoch: CounterEpoch,
        total: f64,
    ) -> bool {
        self.refill(now, health);
        let is_reset_suspected = health.was_reset_since(self.bucket.last_total_at());
        let reply = self.adder.complete_call(epoch.number, total, is_reset_suspected);
        // Units lost by the counter are added again by reconciliation, independently of new leases.
        self.add_pending(reply.lost_units);
        self.bucket.record_total(now, health, epoch, &reply, self.adder.mark_scheme());
        self.next_call_at = now;
        reply.lost_units > 0.0 && !is_reset_suspected
    }

    /// After a counter reset, starts a call that checks for lost units if this account has added any in this
    /// epoch, and returns the amount. Reconciled units are checked by the next reconciliation.
    pub fn start_recheck(&mut self, epoch: u64) -> Option<f64> {
        if let Some(reconciliation) = &mut self.reconciliation {
            reconciliation.request_recheck(epoch);
        }
        let can_check =
            !self.is_windowed && !self.adder.is_call_in_flight() && self.adder.has_added_in(epoch);
        can_check.then(|| self.adder.start_call(epoch, 0.0, false))
    }

    /// Returns the pending reconciliation, if any.
    pub fn pending_reconciliation(&mut self) -> Option<&mut Reconciliation> {
        self.reconciliation.as_deref_mut().filter(|_| !self.is_windowed)
    }

    /// Returns whether the reconciliation has to call the counter.
    pub fn needs_reconciliation(&self) -> bool {
        !self.is_windowed
            && self.reconciliation.as_ref().is_some_and(|reconciliation| reconciliation.needs_call())
    }

    /// Returns the compact state; `None` if a call is in doubt or in flight, or a reconciliation is pending.
    pub fn compact(&self) -> Option<CompactState> {
        if self.reconciliation.is_some() {
            return None;
        }
        let limiter = self.windowed_limiter.as_deref().filter(|_| self.is_windowed);
        CompactState::of(&self.bucket, &self.adder, limiter)
    }

    /// Restores compact state into this new account. If only one of them uses windowed admission, the account
    /// stays new.
    pub fn expand(&mut self, state: &CompactState) {
        if state.is_windowed() != self.is_windowed {
            return;
        }
        let restored = state.restore(QuotaState {
            bucket: std::mem::take(&mut self.bucket),
            adder: std::mem::take(&mut self.adder),
            limiter: self.windowed_limiter.take().map(|limiter| *limiter),
        });
        self.bucket = restored.bucket;
        self.adder = restored.adder;
        self.windowed_limiter = restored.limiter.map(Box::new);
    }
}
