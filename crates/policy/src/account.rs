//! A customer's quota at this gateway: units are leased ahead in blocks and spent on requests; while the
//! counter answers nobody, or hears only some of the gateways, they are lent from this side's part. What is
//! left of the quota [`Store`] knows.

use crate::api::Time;
use libm::exp;
use quota::{
    BucketConfig, CounterHealth, IdempotentAdder, Reconciliation, TokenBucket, WindowedLimiter,
    RETRY_INTERVAL,
};

const SECOND: f64 = 1e9;
const RATE_SPAN: f64 = 4.0; // seconds that what is let in here looks back
const THIN: f64 = 2.0; // units: an even part of the store below this is rationed, not leased

#[derive(Default)]
pub(crate) struct Account {
    pub store: TokenBucket,
    pub thin: bool, // too many gateways for blocks: what is asked for is counted, and rationed
    pub adder: IdempotentAdder,
    pub late: Option<Box<Reconciliation>>, // made when something is owed first
    epoch: u64,                            // in which this gateway started
    at: Time,
    pub next_call: Time,
    pub ration: Option<Box<WindowedLimiter>>, // of a thin one
    mine: f64,                                // units a second let in here
}

impl Account {
    pub fn new(now: Time, terms: BucketConfig, epoch: u64, may_ration: bool) -> Self {
        let store = TokenBucket::new(now, terms);
        let BucketConfig { rate, burst, is_ceiling: strict, has_no_counter: alone, gateway_set: set } =
            *store.config();
        let thin = may_ration && !strict && !alone && burst < THIN * f64::from(set.set_size);
        let ration = thin.then(|| Box::new(WindowedLimiter::new(rate, burst, set.phase(), set.set_size)));
        let mut account = Account { store, thin, epoch, at: now, ration, ..Account::default() };
        account.adder = account.new_adder();
        account
    }

    /// One that adds to a number of this customer.
    fn new_adder(&self) -> IdempotentAdder {
        let BucketConfig { rate, burst, gateway_set: set, .. } = *self.store.config();
        IdempotentAdder::new(
            set.member_index(),
            if self.thin { 0 } else { set.set_size },
            rate * 60.0 + burst,
            self.epoch,
        )
    }

    /// More of it is to be told to the counter, if there is one; less, below zero.
    pub fn owe(&mut self, units: f64) {
        if units != 0.0 && !self.store.config().has_no_counter {
            let late = self.late.take();
            let mut late = late.unwrap_or_else(|| Box::new(Reconciliation::new(self.new_adder())));
            late.add_pending(units);
            self.late = Some(late);
        }
    }

    /// The share that a thin one is let in with.
    pub fn ration(&mut self) -> &mut WindowedLimiter {
        self.ration.get_or_insert_default()
    }

    /// The quota is another from now on. What is left stays, as far as the store holds it. The marks keep to
    /// what the platform grants, which is never less, so that gateways that change later read the same.
    pub fn retune(&mut self, now: Time, contact: &CounterHealth, rate: f64, burst: f64) {
        self.store.set_quota(now, contact, rate, burst);
        self.ration.iter_mut().for_each(|ration| ration.set_quota(rate, burst));
    }

    pub fn is_strict(&self) -> bool {
        self.store.config().is_ceiling
    }

    pub fn is_blind(&self) -> bool {
        self.store.is_counter_unreachable()
    }

    pub fn is_calling(&self) -> bool {
        self.adder.is_call_in_flight()
    }

    pub fn spread(&self) -> f64 {
        f64::from(self.store.config().gateway_set.set_size)
    }

    pub fn refill(&mut self, now: Time, contact: &CounterHealth) {
        self.mine *= exp(-(now.saturating_sub(self.at) as f64 / SECOND) / RATE_SPAN);
        self.at = now;
        self.store.refill(now, contact);
    }

    /// A part of the store kept back.
    fn kept(&self, back: f64) -> f64 {
        back * self.store.config().burst * self.store.fraction()
    }

    /// Whether there is anything to lease for a request.
    pub fn has_room(&self, units: f64, back: f64) -> bool {
        let (held, left) = (self.store.unspent_lease(), self.store.available());
        let enough = back == 0.0 || held + left - units >= self.kept(back);
        held < units && (self.is_blind() || left >= 0.5 * units.min(self.store.config().burst) && enough)
    }

    /// Whether units can be spent now, with a part of the store kept back.
    pub fn covers(&self, units: f64, back: f64) -> bool {
        let left = self.store.unspent_lease().max(0.0) + self.store.available();
        let kept = back > 0.0 && left - units < self.kept(back);
        !kept && self.store.spendable() + 1e-6 >= units
    }

    pub fn spend(&mut self, units: f64, contact: &mut CounterHealth) {
        self.mine += units / RATE_SPAN;
        let lent = self.store.spend(units, contact);
        self.owe(lent);
    }

    /// Units were not spent after all, or more of them were (below zero).
    pub fn give_back(&mut self, units: f64) {
        let back = self.store.refund(units);
        self.owe(-back);
    }

    /// No answer: go by what this gateway's share of the traffic was.
    pub fn silent(&mut self, now: Time, contact: &CounterHealth, may_count: bool) {
        self.adder.fail_call(may_count && !self.thin);
        self.next_call = now + RETRY_INTERVAL;
        self.go_dark(now, contact);
    }

    /// The counter is away. A call that is out may still be answered.
    pub fn go_dark(&mut self, now: Time, contact: &CounterHealth) {
        self.refill(now, contact);
        self.store.set_counter_unreachable(now, contact);
    }

    /// A call to the counter for what waits, and recent demand over the horizon as far as there is room: its
    /// amount. In the dark it only asks whether there is light.
    pub fn call(&mut self, contact: &CounterHealth, epoch: u64, wanted: f64, horizon: f64) -> f64 {
        if self.is_blind() {
            return self.adder.start_call(epoch, 0.0, false);
        }
        let need = (wanted - self.store.unspent_lease()).max(0.0);
        // Never more ahead than the advance statement allows for.
        let ahead = horizon * self.mine.min(self.store.config().rate);
        let room = (self.store.available() - need).max(0.0) * 2.0 / self.spread();
        let suspected = contact.was_reset_since(self.store.last_total_at());
        self.adder.start_call(epoch, need + ahead.min(room), suspected)
    }

    /// A call of a rationed customer for what was asked for: the window that it goes to, and the amount.
    pub fn call_for(&mut self, now: Time, units: f64) -> (u64, f64) {
        let window = self.ration().window_at(now);
        (window, self.adder.start_call(window, units, false))
    }
}
