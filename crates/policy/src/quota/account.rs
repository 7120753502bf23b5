//! A customer's account at this gateway: one limit of its plan.
//!
//! Units are leased ahead from the shared counter and spent on requests. While the counter is unreachable, or
//! this gateway reaches only some of the others, units are granted locally from this partition's fraction of
//! the quota, and reconciled afterwards. Where the limit is too small to be leased by all gateways of the
//! customer, requests are admitted by windows instead ([`::quota::WindowedLimiter`]). What is available of
//! the limit is known to its token bucket ([`::quota::TokenBucket`]).

use crate::api::Time;
use crate::time::NANOS_PER_SECOND;
use ::quota::{
    BucketConfig, CompactState, CounterEpoch, CounterHealth, GatewaySet, IdempotentAdder, QuotaState,
    Reconciliation, TokenBucket, WindowedLimiter, RETRY_INTERVAL,
};
use libm::exp;

/// Seconds over which the rate of admitted units is taken.
const RATE_WINDOW: f64 = 4.0;
/// Units of burst for each gateway below which a limit is not leased but admitted by windows.
const MIN_BURST_PER_GATEWAY: f64 = 2.0;
/// Units by which rounding errors may leave a request short.
const ROUNDING: f64 = 1e-6;

/// One limit of a customer at this gateway.
#[derive(Default)]
pub(crate) struct Account {
    bucket: TokenBucket,
    /// Requests are admitted by windows: there are too many gateways for leases.
    pub is_windowed: bool,
    adder: IdempotentAdder,
    /// Units that have yet to be added to the counter, once there are any.
    reconciliation: Option<Box<Reconciliation>>,
    /// Epoch in which the gateway started.
    start_epoch: u64,
    refilled_at: Time,
    next_call_at: Time,
    windowed_limiter: Option<Box<WindowedLimiter>>,
    /// Units per second that were admitted here.
    admitted_rate: f64,
}

impl Account {
    /// Returns the account of a customer that makes its first request now.
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

    /// Returns an adder for a number of this customer.
    fn new_adder(&self) -> IdempotentAdder {
        let BucketConfig { rate, burst, gateway_set, .. } = *self.bucket.config();
        let members = if self.is_windowed { 0 } else { gateway_set.set_size };
        IdempotentAdder::new(gateway_set.member_index(), members, rate * 60.0 + burst, self.start_epoch)
    }

    /// Adds units that have yet to be added to the counter, if there is one; fewer, if negative.
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

    /// Takes in a request of the customer, admitted or not; `usual_demand` and `since` as for
    /// [`::quota::WindowedLimiter::record_request`].
    pub fn record_demand(&mut self, now: Time, units: f64, usual_demand: f64, since: Time) {
        match &mut self.windowed_limiter {
            Some(limiter) => limiter.record_request(now, units, usual_demand, since),
            None => self.bucket.record_demand(units),
        }
    }

    /// Changes the limit. Available units stay, as far as they fit into the token bucket. The contribution
    /// marks keep to what the platform grants, which is never less, so that gateways that change later read
    /// the same.
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

    /// Returns the units that can be spent now.
    pub fn spendable(&self) -> f64 {
        self.bucket.spendable()
    }

    /// Returns whether the token bucket will be full by now.
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
        self.admitted_rate *= exp(-elapsed / RATE_WINDOW);
        self.refilled_at = now;
        self.bucket.refill(now, health);
    }

    /// Returns a fraction of the token bucket in units.
    fn reserved_units(&self, fraction: f64) -> f64 {
        fraction * self.bucket.config().burst * self.bucket.fraction()
    }

    /// Returns whether there are units to lease for a request, with a fraction of the token bucket reserved.
    pub fn can_lease(&self, units: f64, reserved_fraction: f64) -> bool {
        let held = self.bucket.unspent_lease();
        let available = self.bucket.available();
        if held >= units {
            return false;
        }
        let respects_reserve =
            reserved_fraction == 0.0 || held + available - units >= self.reserved_units(reserved_fraction);
        let is_worth_a_call = available >= 0.5 * units.min(self.bucket.config().burst);
        self.is_granting_locally() || is_worth_a_call && respects_reserve
    }

    /// Returns whether units can be spent now, with a fraction of the token bucket reserved.
    pub fn can_spend(&self, units: f64, reserved_fraction: f64) -> bool {
        let available = self.bucket.unspent_lease().max(0.0) + self.bucket.available();
        let cuts_into_reserve =
            reserved_fraction > 0.0 && available - units < self.reserved_units(reserved_fraction);
        !cuts_into_reserve && self.bucket.spendable() + ROUNDING >= units
    }

    /// Spends units on a request.
    pub fn spend(&mut self, units: f64, health: &mut CounterHealth) {
        self.admitted_rate += units / RATE_WINDOW;
        let granted_locally = self.bucket.spend(units, health);
        self.add_pending(granted_locally);
    }

    /// Returns units that were not spent after all; negative if more were spent.
    pub fn give_back(&mut self, units: f64) {
        let not_owed = self.bucket.refund(units);
        self.add_pending(-not_owed);
    }

    /// Takes in a call without a reply, and grants units locally by this gateway's fraction of the traffic.
    /// `may_have_counted`: the counter may have executed the call.
    pub fn on_call_failed(&mut self, now: Time, health: &CounterHealth, may_have_counted: bool) {
        self.adder.fail_call(may_have_counted && !self.is_windowed);
        self.next_call_at = now + RETRY_INTERVAL;
        self.grant_locally(now, health);
    }

    /// Grants units locally from now on. The reply of a call in flight still counts.
    pub fn grant_locally(&mut self, now: Time, health: &CounterHealth) {
        self.refill(now, health);
        self.bucket.set_counter_unreachable(now, health);
    }

    /// Starts a call that leases units for a request and, as far as they are available, for the demand of
    /// the next `horizon` seconds, and returns its amount. While units are granted locally, the call only
    /// checks whether the counter replies.
    pub fn start_lease(&mut self, health: &CounterHealth, epoch: u64, units: f64, horizon: f64) -> f64 {
        if self.is_granting_locally() {
            return self.adder.start_call(epoch, 0.0, false);
        }
        let needed = (units - self.bucket.unspent_lease()).max(0.0);
        // Never more ahead than the advance statement allows for.
        let ahead = horizon * self.admitted_rate.min(self.bucket.config().rate);
        let max_ahead = (self.bucket.available() - needed).max(0.0) * 2.0 / self.gateway_count();
        let is_reset_suspected = health.was_reset_since(self.bucket.last_total_at());
        self.adder.start_call(epoch, needed + ahead.min(max_ahead), is_reset_suspected)
    }

    /// Starts a call that adds the demand to the number of the present window; returns the window and the
    /// amount.
    pub fn start_demand_report(&mut self, now: Time, units: f64) -> (u64, f64) {
        let window = self.windowed_limiter().window_at(now);
        (window, self.adder.start_call(window, units, false))
    }

    /// Takes in the total demand of a window, and returns the fraction of it that the limit covers.
    pub fn record_window_total(&mut self, now: Time, window: u64, total: f64) -> f64 {
        self.bucket.set_counter_reachable();
        let amount = self.adder.complete_call(window, total, false).confirmed_units;
        self.windowed_limiter().record_total(now, window, total, amount);
        1.0 / self.windowed_limiter().demand_ratio(now).unwrap_or(1.0).max(1.0)
    }

    /// Takes in the total of leased units of an epoch. Returns whether it shows a reset of the counter that
    /// was not known yet.
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
        // What the counter has lost is added again, beside what is leased from now on.
        self.add_pending(reply.forgotten_units);
        self.bucket.record_total(now, health, epoch, &reply, self.adder.mark_scheme());
        self.next_call_at = now;
        reply.forgotten_units > 0.0 && !is_reset_suspected
    }

    /// Starts a call that checks after a reset of the counter what it has lost, if this account has added
    /// anything in this epoch, and returns its amount. Reconciled units are checked with the next
    /// reconciliation.
    pub fn start_recheck(&mut self, epoch: u64) -> Option<f64> {
        if let Some(reconciliation) = &mut self.reconciliation {
            reconciliation.request_recheck(epoch);
        }
        let can_check =
            !self.is_windowed && !self.adder.is_call_in_flight() && self.adder.has_added_in(epoch);
        can_check.then(|| self.adder.start_call(epoch, 0.0, false))
    }

    /// Returns the units that have yet to be added to the counter.
    pub fn pending_reconciliation(&mut self) -> Option<&mut Reconciliation> {
        self.reconciliation.as_deref_mut().filter(|_| !self.is_windowed)
    }

    /// Returns whether units have yet to be added to the counter.
    pub fn needs_reconciliation(&self) -> bool {
        !self.is_windowed
            && self.reconciliation.as_ref().is_some_and(|reconciliation| reconciliation.needs_call())
    }

    /// Returns the compact form, if no call is in doubt or in flight and nothing has to be reconciled.
    pub fn compact(&self) -> Option<CompactState> {
        if self.reconciliation.is_some() {
            return None;
        }
        let limiter = self.windowed_limiter.as_deref().filter(|_| self.is_windowed);
        CompactState::of(&self.bucket, &self.adder, limiter)
    }

    /// Continues a compact account in this new one. If one of them is under windowed admission and the other
    /// is not, this one stays new.
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
