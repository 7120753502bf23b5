//! What the shared counter tells, and what it is told: answers to calls, beats, what was lent while it was
//! away, and what a fresh one has forgotten. Evidence and recovery; who is let in is decided in
//! `src/quotas.rs`.

use crate::account::Account;
use crate::api::*;
use crate::due::STEP;
use crate::names::{ALL, ASKED, EPOCH, LATE};
use crate::pace::Due;
use crate::policy::Policy;
use crate::quotas::CALL_ODDS;
use quota::{CounterEpoch, CounterHealth, CounterReport, HeartbeatCall, Reconciliation};

const CROWDED: f64 = 0.4; // a counter's answer that takes this share of the time-out: it has no room left
const LOOKED_THROUGH: usize = 64; // customers looked through in a step for what a new counter forgot

impl Policy {
    /// What the shared counter looks like from here, and what rests on this gateway's word.
    pub fn counter_report(&self, now: Time) -> CounterReport {
        Some(&self.contact).filter(|_| self.quotas).map_or_else(Default::default, |c| c.report(now))
    }

    /// Counts from here on what rests on this gateway's word.
    pub fn forget_lent(&mut self) {
        self.contact.clear_local_grants();
    }

    /// Records held: requests, customers, hosts and calls that are out.
    pub fn size(&self) -> usize {
        self.requests.len() + self.customers.len() + self.fleet.len() + self.names.len()
    }

    /// Bytes that the customers known take, as they are reckoned.
    pub fn customer_bytes(&self) -> usize {
        self.customers.bytes()
    }

    /// Records looked at since the start: what an event costs, in units that are the same on each machine.
    pub fn work(&self) -> u64 {
        self.work
    }

    pub(crate) fn on_counted(
        &mut self,
        now: Time,
        name: CounterKey,
        outcome: Outcome,
        total: f64,
        took: Span,
    ) {
        let Some((customer, store, epoch)) = self.names.remove(&name) else { return };
        let good = outcome == Outcome::Ok && total.is_finite();
        self.on_answer(now, outcome, good, took);
        if customer == ALL && good && self.contact.record_heartbeats(now, store as u32 - 1, epoch, total) {
            self.look_through(now);
        }
        let Some(c) = self.customers.get_mut(customer) else { return };
        c.owing &= store != LATE;
        let (plan, at) = (c.plan, if store >= ASKED { 0 } else { store });
        // Its plan may have lost that limit since.
        let Some(a) = c.stores.get_mut(at) else { return self.settle(now, customer) };
        let may_count = outcome == Outcome::Timeout;
        let mut begun_anew = false;
        match (good, store) {
            (true, LATE) => drop(a.late().map(|late| late.complete_call(now, &self.contact, epoch, total))),
            (false, LATE) => drop(a.late().map(|late| late.fail_call(may_count))),
            (true, ASKED) => {
                let known = a.ration().demand_ratio(now).is_some();
                let share = a.rationed(now, epoch, total);
                self.rations[plan] += if known { 0.0 } else { 0.05 * (share - self.rations[plan]) };
            }
            (true, _) => {
                let epoch = CounterEpoch { number: epoch, start: epoch * EPOCH };
                begun_anew = a.counted(now, &self.contact, epoch, total);
            }
            (false, _) => a.silent(now, &self.contact, may_count),
        }
        self.debts.owe(now, &mut self.dues, customer, c);
        if begun_anew && self.contact.record_reset(now) {
            self.look_through(now);
        }
        self.settle(now, customer);
    }

    /// The counter has answered, or not.
    fn on_answer(&mut self, now: Time, outcome: Outcome, good: bool, took: Span) {
        let pace = &mut self.pace;
        // Calls follow the room that the counter shows: quick answers raise them, slow or missing ones lower.
        let quick = good && (took as f64) < CROWDED * self.s.counter_timeout as f64;
        let step = [if outcome == Outcome::Timeout { 0.75 } else { 0.9 }, 1.1][usize::from(quick)];
        pace.call_odds = (pace.call_odds * step).clamp(CALL_ODDS.0, CALL_ODDS.1);
        match good {
            true => self.contact.record_answer(now),
            false => self.contact.record_failure(now),
        }
    }

    /// Tells the counter what was lent in the dark, and looks at its totals again if it has begun anew: some
    /// customers a step, while there are any.
    pub(crate) fn tell_counter(&mut self, now: Time) {
        self.debts.is_due = false;
        if self.counter_down(now) {
            return self.debts.put(now, &mut self.dues);
        }
        for _ in 0..self.contact.background_calls(now).clamp(1, 2) {
            let next =
                self.debts.customers.pop_front().and_then(|id| Some((id, self.customers.get_mut(id)?)));
            let Some((customer, c)) = next else { break };
            match c.stores.first_mut().filter(|a| a.owes()).and_then(Account::late) {
                Some(late) => {
                    let amount = late.start_call(&self.contact, now / EPOCH);
                    self.call(now, (customer, LATE, now / EPOCH), amount);
                }
                // Given back meanwhile: it is told once it owes again.
                None => c.owing = false,
            }
        }
        self.look_again(now / EPOCH, now);
        self.debts.put(now, &mut self.dues);
    }

    /// Lets it be heard that this gateway reaches the counter.
    pub(crate) fn beat(&mut self, now: Time) {
        if !self.quotas || self.s.gateways < 2 {
            return;
        }
        if self.counter_down(now) {
            return self.dues.put(now + STEP, Due::Beat);
        }
        for HeartbeatCall { group, epoch, amount } in self.contact.heartbeat_calls(now) {
            self.call(now, (ALL, 1 + group as usize, epoch), amount);
        }
        self.dues.put(now + self.contact.heartbeat_interval(), Due::Beat);
    }

    /// The counter has begun anew: all totals are looked at again.
    fn look_through(&mut self, now: Time) {
        self.debts.recheck = Some(0);
        self.debts.put(now, &mut self.dues);
    }

    /// Looks for what a counter that has begun anew has forgotten, some customers a step: also of those who
    /// do not ask any more.
    fn look_again(&mut self, epoch: u64, now: Time) {
        let Some(mut place) = self.debts.recheck else { return };
        let (mut calls, mut looked) = (self.contact.background_calls(now).min(2), 0);
        while calls > 0 && looked < LOOKED_THROUGH {
            let (customer, next) = self.customers.place(now, place, epoch);
            looked += 1;
            if let Some((customer, c)) = customer {
                let reads: Vec<(usize, f64)> = c.rechecks(epoch).collect();
                self.debts.owe(now, &mut self.dues, customer, c);
                calls -= usize::from(!reads.is_empty());
                reads
                    .into_iter()
                    .for_each(|(store, amount)| self.call(now, (customer, store, epoch), amount));
            }
            let Some(next) = next else { return self.debts.recheck = None };
            place = next;
        }
        self.debts.recheck = Some(place);
    }
}

impl Account {
    /// The customer asks for these units, whatever becomes of that; `usual`, `since` as for
    /// [`quota::WindowedLimiter::record_request`].
    pub fn ask(&mut self, now: Time, units: f64, usual: f64, since: Time) {
        match &mut self.ration {
            Some(ration) => ration.record_request(now, units, usual, since),
            None => self.store.record_demand(units),
        }
    }

    /// Takes in a total of a rationed customer: the share of what is asked for that its quota covers.
    pub fn rationed(&mut self, now: Time, window: u64, total: f64) -> f64 {
        self.store.set_counter_reachable();
        let amount = self.adder.complete_call(window, total, false).confirmed_units;
        self.ration().record_total(now, window, total, amount);
        1.0 / self.ration().demand_ratio(now).unwrap_or(1.0).max(1.0)
    }

    /// Takes in a total. Whether it shows that the counter has begun anew, where that is not known yet.
    pub fn counted(&mut self, now: Time, contact: &CounterHealth, epoch: CounterEpoch, total: f64) -> bool {
        self.refill(now, contact);
        let suspected = contact.was_reset_since(self.store.last_total_at());
        let told = self.adder.complete_call(epoch.number, total, suspected);
        // What a new counter has forgotten is told it again, beside what is leased from now on.
        self.owe(told.forgotten_units);
        self.store.record_total(now, contact, epoch, &told, self.adder.mark_scheme());
        self.next_call = now;
        told.forgotten_units > 0.0 && !suspected
    }

    /// The counter has begun anew: a call that looks for what it has forgotten, if it was told anything in
    /// this epoch. What it was told late is looked at as well.
    pub fn recheck(&mut self, epoch: u64) -> Option<f64> {
        self.late.iter_mut().for_each(|late| late.request_recheck(epoch));
        let looks = !self.thin && !self.adder.is_call_in_flight() && self.adder.has_added_in(epoch);
        looks.then(|| self.adder.start_call(epoch, 0.0, false))
    }

    /// What the counter has yet to be told.
    pub fn late(&mut self) -> Option<&mut Reconciliation> {
        self.late.as_deref_mut().filter(|_| !self.thin)
    }

    /// Whether the counter has yet to be told something.
    pub fn owes(&self) -> bool {
        !self.thin && self.late.as_ref().is_some_and(|late| late.needs_call())
    }
}
