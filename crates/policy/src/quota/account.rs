//! A customer's account at this gateway: one limit of its plan.
//!
//! Units are leased ahead from the shared counter and spent on requests. While the counter is unreachable, or
//! this gateway reaches only some of the others, units are granted locally from this partition's fraction of
//! the quota, and reconciled afterwards. Where the limit is too small to be leased by all gateways of the
//! customer, requests are admitted by windows instead ([`::quota::Ration`]). What is available of the limit
//! is known to its token bucket ([`::quota::Store`]).

use crate::api::Time;
use crate::time::NANOS_PER_SECOND;
use ::quota::{Adder, Contact, Late, Ration, Store, Terms, RETRY};
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
    pub store: Store,
    /// Requests are admitted by windows: there are too many gateways for leases.
    pub is_windowed: bool,
    pub adder: Adder,
    /// Units that the counter has yet to be told, once there are any.
    pub late: Option<Box<Late>>,
    /// Epoch in which the gateway started.
    start_epoch: u64,
    refilled_at: Time,
    pub next_call_at: Time,
    windowed_limiter: Option<Box<Ration>>,
    /// Units per second that were admitted here.
    admitted_rate: f64,
}

impl Account {
    /// Returns the account of a customer that makes its first request now.
    pub fn new(now: Time, terms: Terms, start_epoch: u64, may_be_windowed: bool) -> Self {
        let store = Store::new(now, terms);
        let Terms { rate, burst, strict, alone, set } = *store.terms();
        let is_small = burst < MIN_BURST_PER_GATEWAY * f64::from(set.spread);
        let is_windowed = may_be_windowed && !strict && !alone && is_small;
        let windowed_limiter =
            is_windowed.then(|| Box::new(Ration::new(rate, burst, set.phase(), set.spread)));
        let mut account = Account {
            store,
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
    fn new_adder(&self) -> Adder {
        let Terms { rate, burst, set, .. } = *self.store.terms();
        let members = if self.is_windowed { 0 } else { set.spread };
        Adder::new(set.member(), members, rate * 60.0 + burst, self.start_epoch)
    }

    /// Adds units that the counter has yet to be told, if there is a counter; fewer, if negative.
    pub fn owe(&mut self, units: f64) {
        if units == 0.0 || self.store.terms().alone {
            return;
        }
        let mut late = match self.late.take() {
            Some(late) => late,
            None => Box::new(Late::new(self.new_adder())),
        };
        late.owe(units);
        self.late = Some(late);
    }

    /// Returns the limiter of windowed admission.
    pub fn windowed_limiter(&mut self) -> &mut Ration {
        self.windowed_limiter.get_or_insert_default()
    }

    /// Returns the limiter of windowed admission as it is, if there is one.
    pub fn windowed_limiter_if_any(&self) -> Option<&Ration> {
        self.windowed_limiter.as_deref().filter(|_| self.is_windowed)
    }

    /// Removes and returns the limiter of windowed admission.
    pub fn take_windowed_limiter(&mut self) -> Option<Ration> {
        self.windowed_limiter.take().map(|limiter| *limiter)
    }

    /// Sets the limiter of windowed admission.
    pub fn set_windowed_limiter(&mut self, limiter: Option<Ration>) {
        self.windowed_limiter = limiter.map(Box::new);
    }

    /// Takes in a request of the customer, admitted or not; `usual_demand` and `since` as for
    /// [`::quota::Ration::asked`].
    pub fn record_demand(&mut self, now: Time, units: f64, usual_demand: f64, since: Time) {
        match &mut self.windowed_limiter {
            Some(limiter) => limiter.asked(now, units, usual_demand, since),
            None => self.store.ask(units),
        }
    }

    /// Changes the limit. Available units stay, as far as they fit into the token bucket. The contribution
    /// marks keep to what the platform grants, which is never less, so that gateways that change later read
    /// the same.
    pub fn set_limit(&mut self, now: Time, contact: &Contact, rate: f64, burst: f64) {
        self.store.retune(now, contact, rate, burst);
        if let Some(limiter) = &mut self.windowed_limiter {
            limiter.retune(rate, burst);
        }
    }

    /// Returns whether the limit is a hard ceiling.
    pub fn is_strict(&self) -> bool {
        self.store.terms().strict
    }

    /// Returns whether units are granted locally.
    pub fn is_blind(&self) -> bool {
        self.store.is_blind()
    }

    /// Returns whether a call to the counter is in flight.
    pub fn is_calling(&self) -> bool {
        self.adder.is_out()
    }

    /// Returns the number of gateways that serve the customer.
    pub fn gateway_count(&self) -> f64 {
        f64::from(self.store.terms().set.spread)
    }

    /// Refills the token bucket up to now.
    pub fn refill(&mut self, now: Time, contact: &Contact) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / NANOS_PER_SECOND;
        self.admitted_rate *= exp(-elapsed / RATE_WINDOW);
        self.refilled_at = now;
        self.store.refill(now, contact);
    }

    /// Returns a fraction of the token bucket in units.
    fn reserved_units(&self, fraction: f64) -> f64 {
        fraction * self.store.terms().burst * self.store.part()
    }

    /// Returns whether there are units to lease for a request, with a fraction of the token bucket reserved.
    pub fn can_lease(&self, units: f64, reserved_fraction: f64) -> bool {
        let held = self.store.held();
        let available = self.store.left();
        if held >= units {
            return false;
        }
        let respects_reserve =
            reserved_fraction == 0.0 || held + available - units >= self.reserved_units(reserved_fraction);
        let is_worth_a_call = available >= 0.5 * units.min(self.store.terms().burst);
        self.is_blind() || is_worth_a_call && respects_reserve
    }

    /// Returns whether units can be spent now, with a fraction of the token bucket reserved.
    pub fn can_spend(&self, units: f64, reserved_fraction: f64) -> bool {
        let available = self.store.held().max(0.0) + self.store.left();
        let cuts_into_reserve =
            reserved_fraction > 0.0 && available - units < self.reserved_units(reserved_fraction);
        !cuts_into_reserve && self.store.ready() + ROUNDING >= units
    }

    /// Spends units on a request.
    pub fn spend(&mut self, units: f64, contact: &mut Contact) {
        self.admitted_rate += units / RATE_WINDOW;
        let granted_locally = self.store.spend(units, contact);
        self.owe(granted_locally);
    }

    /// Returns units that were not spent after all; negative if more were spent.
    pub fn give_back(&mut self, units: f64) {
        let not_owed = self.store.give_back(units);
        self.owe(-not_owed);
    }

    /// Takes in a call without a reply, and grants units locally by this gateway's fraction of the traffic.
    /// `may_have_counted`: the counter may have executed the call.
    pub fn on_call_failed(&mut self, now: Time, contact: &Contact, may_have_counted: bool) {
        self.adder.unanswered(may_have_counted && !self.is_windowed);
        self.next_call_at = now + RETRY;
        self.grant_locally(now, contact);
    }

    /// Grants units locally from now on. The reply of a call in flight still counts.
    pub fn grant_locally(&mut self, now: Time, contact: &Contact) {
        self.refill(now, contact);
        self.store.go_dark(now, contact);
    }

    /// Starts a call that leases units for a request and, as far as they are available, for the demand of
    /// the next `horizon` seconds, and returns its amount. While units are granted locally, the call only
    /// checks whether the counter replies.
    pub fn start_lease(&mut self, contact: &Contact, epoch: u64, units: f64, horizon: f64) -> f64 {
        if self.is_blind() {
            return self.adder.call(epoch, 0.0, false);
        }
        let needed = (units - self.store.held()).max(0.0);
        // Never more ahead than the advance statement allows for.
        let ahead = horizon * self.admitted_rate.min(self.store.terms().rate);
        let max_ahead = (self.store.left() - needed).max(0.0) * 2.0 / self.gateway_count();
        let is_reset_suspected = contact.is_fresh_since(self.store.seen_at());
        self.adder.call(epoch, needed + ahead.min(max_ahead), is_reset_suspected)
    }

    /// Starts a call that adds the demand to the number of the present window; returns the window and the
    /// amount.
    pub fn start_demand_report(&mut self, now: Time, units: f64) -> (u64, f64) {
        let window = self.windowed_limiter().window(now);
        (window, self.adder.call(window, units, false))
    }

    /// Takes in the total demand of a window, and returns the fraction of it that the limit covers.
    pub fn record_window_total(&mut self, now: Time, window: u64, total: f64) -> f64 {
        self.store.light_up();
        let amount = self.adder.answered(window, total, false).landed;
        self.windowed_limiter().counted(now, window, total, amount);
        1.0 / self.windowed_limiter().times(now).unwrap_or(1.0).max(1.0)
    }

    /// Takes in the total of leased units of an epoch. Returns whether it shows a reset of the counter that
    /// was not known yet.
    pub fn record_leased_total(
        &mut self,
        now: Time,
        contact: &Contact,
        epoch: (u64, Time),
        total: f64,
    ) -> bool {
        self.refill(now, contact);
        let is_reset_suspected = contact.is_fresh_since(self.store.seen_at());
        let reply = self.adder.answered(epoch.0, total, is_reset_suspected);
        // What the counter has lost is added again, beside what is leased from now on.
        self.owe(reply.lost);
        self.store.counted(now, contact, epoch, &reply, self.adder.marks());
        self.next_call_at = now;
        reply.lost > 0.0 && !is_reset_suspected
    }

    /// Starts a call that checks after a reset of the counter what it has lost, if this account has added
    /// anything in this epoch, and returns its amount. Reconciled units are checked with the next
    /// reconciliation.
    pub fn start_recheck(&mut self, epoch: u64) -> Option<f64> {
        if let Some(late) = &mut self.late {
            late.doubt(epoch);
        }
        let can_check = !self.is_windowed && !self.adder.is_out() && self.adder.has_added(epoch);
        can_check.then(|| self.adder.call(epoch, 0.0, false))
    }

    /// Returns the units that the counter has yet to be told.
    pub fn reconciliation(&mut self) -> Option<&mut Late> {
        self.late.as_deref_mut().filter(|_| !self.is_windowed)
    }

    /// Returns whether the counter has yet to be told units.
    pub fn needs_reconciliation(&self) -> bool {
        !self.is_windowed && self.late.as_ref().is_some_and(|late| late.is_due())
    }
}
