//! A customer's quota at this gateway: units are leased ahead in blocks and spent on requests; while the
//! counter answers nobody, or hears only some of the gateways, they are lent from this side's part. What is
//! left of the quota [`Store`] knows.

use crate::api::Time;
use libm::exp;
use quota::{Adder, Contact, Late, Ration, Store, Terms, RETRY};

const SECOND: f64 = 1e9;
const RATE_SPAN: f64 = 4.0; // seconds that what is let in here looks back
const THIN: f64 = 2.0; // units: an even part of the store below this is rationed, not leased

#[derive(Default)]
pub(crate) struct Account {
    pub store: Store,
    pub thin: bool, // too many gateways for blocks: what is asked for is counted, and rationed
    pub adder: Adder,
    pub late: Option<Box<Late>>, // made when something is owed first
    epoch: u64,                  // in which this gateway started
    at: Time,
    pub next_call: Time,
    pub ration: Option<Box<Ration>>, // of a thin one
    mine: f64,                       // units a second let in here
}

impl Account {
    pub fn new(now: Time, terms: Terms, epoch: u64, may_ration: bool) -> Self {
        let store = Store::new(now, terms);
        let Terms { rate, burst, strict, alone, set } = *store.terms();
        let thin = may_ration && !strict && !alone && burst < THIN * f64::from(set.spread);
        let ration = thin.then(|| Box::new(Ration::new(rate, burst, set.phase(), set.spread)));
        let mut account = Account { store, thin, epoch, at: now, ration, ..Account::default() };
        account.adder = account.new_adder();
        account
    }

    /// One that adds to a number of this customer.
    fn new_adder(&self) -> Adder {
        let Terms { rate, burst, set, .. } = *self.store.terms();
        Adder::new(set.member(), if self.thin { 0 } else { set.spread }, rate * 60.0 + burst, self.epoch)
    }

    /// More of it is to be told to the counter, if there is one; less, below zero.
    pub fn owe(&mut self, units: f64) {
        if units != 0.0 && !self.store.terms().alone {
            let late = self.late.take();
            let mut late = late.unwrap_or_else(|| Box::new(Late::new(self.new_adder())));
            late.owe(units);
            self.late = Some(late);
        }
    }

    /// The share that a thin one is let in with.
    pub fn ration(&mut self) -> &mut Ration {
        self.ration.get_or_insert_default()
    }

    /// The quota is another from now on. What is left stays, as far as the store holds it. The marks keep to
    /// what the platform grants, which is never less, so that gateways that change later read the same.
    pub fn retune(&mut self, now: Time, contact: &Contact, rate: f64, burst: f64) {
        self.store.retune(now, contact, rate, burst);
        self.ration.iter_mut().for_each(|ration| ration.retune(rate, burst));
    }

    pub fn is_strict(&self) -> bool {
        self.store.terms().strict
    }

    pub fn is_blind(&self) -> bool {
        self.store.is_blind()
    }

    pub fn is_calling(&self) -> bool {
        self.adder.is_out()
    }

    pub fn spread(&self) -> f64 {
        f64::from(self.store.terms().set.spread)
    }

    pub fn refill(&mut self, now: Time, contact: &Contact) {
        self.mine *= exp(-(now.saturating_sub(self.at) as f64 / SECOND) / RATE_SPAN);
        self.at = now;
        self.store.refill(now, contact);
    }

    /// A part of the store kept back.
    fn kept(&self, back: f64) -> f64 {
        back * self.store.terms().burst * self.store.part()
    }

    /// Whether there is anything to lease for a request.
    pub fn has_room(&self, units: f64, back: f64) -> bool {
        let (held, left) = (self.store.held(), self.store.left());
        let enough = back == 0.0 || held + left - units >= self.kept(back);
        held < units && (self.is_blind() || left >= 0.5 * units.min(self.store.terms().burst) && enough)
    }

    /// Whether units can be spent now, with a part of the store kept back.
    pub fn covers(&self, units: f64, back: f64) -> bool {
        let left = self.store.held().max(0.0) + self.store.left();
        let kept = back > 0.0 && left - units < self.kept(back);
        !kept && self.store.ready() + 1e-6 >= units
    }

    pub fn spend(&mut self, units: f64, contact: &mut Contact) {
        self.mine += units / RATE_SPAN;
        let lent = self.store.spend(units, contact);
        self.owe(lent);
    }

    /// Units were not spent after all, or more of them were (below zero).
    pub fn give_back(&mut self, units: f64) {
        let back = self.store.give_back(units);
        self.owe(-back);
    }

    /// No answer: go by what this gateway's share of the traffic was.
    pub fn silent(&mut self, now: Time, contact: &Contact, may_count: bool) {
        self.adder.unanswered(may_count && !self.thin);
        self.next_call = now + RETRY;
        self.go_dark(now, contact);
    }

    /// The counter is away. A call that is out may still be answered.
    pub fn go_dark(&mut self, now: Time, contact: &Contact) {
        self.refill(now, contact);
        self.store.go_dark(now, contact);
    }

    /// A call to the counter for what waits, and recent demand over the horizon as far as there is room: its
    /// amount. In the dark it only asks whether there is light.
    pub fn call(&mut self, contact: &Contact, epoch: u64, wanted: f64, horizon: f64) -> f64 {
        if self.is_blind() {
            return self.adder.call(epoch, 0.0, false);
        }
        let need = (wanted - self.store.held()).max(0.0);
        // Never more ahead than the advance statement allows for.
        let ahead = horizon * self.mine.min(self.store.terms().rate);
        let room = (self.store.left() - need).max(0.0) * 2.0 / self.spread();
        let suspected = contact.is_fresh_since(self.store.seen_at());
        self.adder.call(epoch, need + ahead.min(room), suspected)
    }

    /// A call of a rationed customer for what was asked for: the window that it goes to, and the amount.
    pub fn call_for(&mut self, now: Time, units: f64) -> (u64, f64) {
        let window = self.ration().window(now);
        (window, self.adder.call(window, units, false))
    }
}
