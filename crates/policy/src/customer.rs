//! A customer: its stores, as its plan has them, also when the plan changes in service.

use crate::account::Account;
use crate::api::{Plan, RequestId, Time};
use crate::customers::House;
use quota::{BucketConfig, CompactState, CounterHealth, GatewaySet, QuotaState};
use smallvec::SmallVec;
use std::collections::VecDeque;

/// A customer: its stores (quota first, then ceiling, as its plan has them) and its open requests.
#[derive(Default)]
pub(crate) struct Customer {
    pub plan: usize,
    pub stores: SmallVec<[Account; 1]>,
    pub waiting: VecDeque<RequestId>,
    pub open: u32,
    pub in_hand: u32, // requests of it that are not over, or have attempts out
    pub owing: bool,  // among those that the counter is to be told of
    set: GatewaySet,
    alone: bool, // there is no counter
    epoch: u64,  // in which this gateway started
}

/// What is kept of a customer that comes seldom.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Small {
    plan: u16,
    first: u16,
    spread: u16,
    /// Of its quota; `None`: it has none.
    rest: Option<CompactState>,
}

impl Small {
    /// Whether the counter holds something of it in this epoch.
    pub fn has_added(&self, epoch: u64) -> bool {
        self.rest.is_some_and(|rest| rest.has_added_in(epoch))
    }
}

/// Rate, burst, and whether it is a ceiling, of each limit that a plan has.
fn limits(plan: &Plan) -> impl Iterator<Item = (f64, f64, bool)> {
    let both = [(plan.rate, plan.burst, false), (plan.ceiling_rate, plan.ceiling_burst, true)];
    both.into_iter().filter(|(rate, ..)| *rate > 0.0)
}

impl Customer {
    /// One that is met now, with its first request. `lot` is drawn for each store from 0 to the units of
    /// that, so that gateways do not all begin alike.
    pub fn met(
        now: Time,
        house: &House,
        plan: usize,
        set: GatewaySet,
        mut lot: impl FnMut() -> f64,
    ) -> Customer {
        let House { alone, epoch, .. } = *house;
        let mut customer = Customer { plan, set, alone, epoch, ..Customer::default() };
        customer.stores = customer.new_stores(now, &house.plans[plan], &mut lot);
        customer
    }

    /// One that was small, in its full form. Where its plan has other limits by now it is met anew.
    pub fn woken(now: Time, house: &House, small: Small) -> Customer {
        let set = GatewaySet {
            first_gateway: small.first.into(),
            set_size: small.spread.into(),
            gateway_index: house.me,
            gateways: house.gateways,
        };
        let mut customer = Customer::met(now, house, small.plan.into(), set, || 0.0);
        if let ([store], Some(rest)) = (&mut customer.stores[..], small.rest) {
            store.wake(&rest);
        }
        customer
    }

    /// Its small form, if it is idle and there is no more to it than that holds.
    pub fn small(&self) -> Option<Small> {
        let rest = match &self.stores[..] {
            [] => None,
            [account] => Some(account.rest()?),
            _ => return None,
        };
        let GatewaySet { first_gateway: first, set_size: spread, .. } = self.set;
        let small = |n: u32| u16::try_from(n).ok();
        let (plan, first, spread) = (u16::try_from(self.plan).ok()?, small(first)?, small(spread)?);
        Some(Small { plan, first, spread, rest }).filter(|_| !self.is_busy())
    }

    /// Whether it has taken units from a ceiling that are not back: met anew it would get them twice.
    pub fn has_drawn(&self, now: Time) -> bool {
        self.stores.iter().any(|a| a.is_strict() && !a.store.is_full_by(now))
    }

    /// Whether anything of it is open, or to come.
    pub fn is_busy(&self) -> bool {
        let calling = self.stores.iter().any(Account::is_calling);
        self.in_hand > 0 || self.open > 0 || self.owing || calling || !self.waiting.is_empty()
    }

    /// The counter has begun anew: calls that look for what it has forgotten, by the place of the store.
    pub fn rechecks(&mut self, epoch: u64) -> impl Iterator<Item = (usize, f64)> + '_ {
        let stores = self.stores.iter_mut().enumerate();
        stores.filter_map(move |(place, account)| Some((place, account.recheck(epoch)?)))
    }

    fn new_stores(&self, now: Time, plan: &Plan, lot: &mut impl FnMut() -> f64) -> SmallVec<[Account; 1]> {
        let (set, alone, epoch) = (self.set, self.alone, self.epoch);
        let account = |(rate, burst, strict)| {
            let terms =
                BucketConfig { rate, burst, is_ceiling: strict, has_no_counter: alone, gateway_set: set };
            let mut account = Account::new(now, terms, epoch, plan.ceiling_rate <= 0.0);
            let lot = lot();
            if account.thin {
                account.ration().set_initial_credit(lot);
            }
            account
        };
        limits(plan).map(account).collect()
    }

    /// Its plan is another from now on. What is left in a store stays; one that was not there begins full.
    pub fn change_plan(&mut self, now: Time, contact: &CounterHealth, plan: &Plan) {
        if limits(plan).count() != self.stores.len() {
            self.stores = self.new_stores(now, plan, &mut || 0.0);
        }
        for (account, (rate, burst, _)) in self.stores.iter_mut().zip(limits(plan)) {
            account.retune(now, contact, rate, burst);
        }
    }
}

impl Account {
    /// Its small form, if nothing is in doubt, on the way or owed.
    fn rest(&self) -> Option<CompactState> {
        let ration = self.ration.as_deref().filter(|_| self.thin);
        CompactState::of(&self.store, &self.adder, ration).filter(|_| self.late.is_none())
    }

    /// This one, which is new, goes on where one came to rest. One that is rationed now and was not then, or
    /// the other way round, stays new.
    fn wake(&mut self, rest: &CompactState) {
        if rest.is_windowed() != self.thin {
            return;
        }
        let fresh = QuotaState {
            bucket: std::mem::take(&mut self.store),
            adder: std::mem::take(&mut self.adder),
            limiter: self.ration.take().map(|ration| *ration),
        };
        let restored = rest.restore(fresh);
        self.store = restored.bucket;
        self.adder = restored.adder;
        self.ration = restored.limiter.map(Box::new);
    }
}
