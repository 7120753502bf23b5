//! Who is let in: units are leased from the shared counter in blocks, rationed where a store is too thin for
//! blocks, and lent while the counter is away.

use crate::account::Account;
use crate::api::*;
use crate::class::ClassState;
use crate::due::STEP;
use crate::names::{count_name, ASKED, EPOCH, KEEP, KEEP_ASKED};
use crate::pace::Due;
use crate::pending::Stage;
use crate::policy::Policy;
use std::collections::VecDeque;

const HORIZON: f64 = 1.5; // a block, in seconds of recent demand
const UNIT_WAIT: f64 = 0.3; // share of the aim that a request may wait for the counter or for a cap
const IDLE_SLOTS: f64 = 0.6; // let in beyond the quota only below this share of the slots
const KEEP_BACK: f64 = 0.15; // part of a store kept back for the class worth most a unit
pub(crate) const CALL_ODDS: (f64, f64) = (0.05, 1.0); // of rationed requests, those that ask the counter
const AGAIN: f64 = 0.2; // of those whose customer's total was seen just now, so many times fewer
pub(crate) const IN_VAIN: usize = 8; // requests of a customer that wait on: those behind are not tried

impl Policy {
    /// Goes through a customer's waiting requests: lets in, asks for a block, keeps waiting, or refuses.
    /// Behind a few that have to wait on, the others wait as well.
    pub(crate) fn settle(&mut self, now: Time, customer: CustomerId) {
        let Some(c) = self.customers.get_mut(customer) else { return };
        let mut waiting = std::mem::take(&mut c.waiting);
        let mut stay = VecDeque::new();
        while let Some(id) = (stay.len() < IN_VAIN).then(|| waiting.pop_front()).flatten() {
            self.work += 1;
            if !self.decide(now, customer, id) {
                stay.push_back(id);
            }
        }
        let Some(c) = self.customers.get_mut(customer) else { return };
        stay.append(&mut waiting);
        stay.append(&mut c.waiting);
        c.waiting = stay;
    }

    /// One request has waited for units long enough, or may find some by now.
    pub(crate) fn settle_one(&mut self, now: Time, id: RequestId) {
        let Some(r) = self.requests.get(&id).filter(|r| r.stage == Stage::Units) else { return };
        let customer = r.customer;
        if self.decide(now, customer, id) {
            let found = self.customers.get_mut(customer);
            found.into_iter().for_each(|c| c.waiting.retain(|waiting| *waiting != id));
        }
    }

    /// Lets a request in, or refuses it; false: it is to wait.
    fn decide(&mut self, now: Time, customer: CustomerId, id: RequestId) -> bool {
        let Some(r) = self.requests.get(&id).filter(|r| r.stage == Stage::Units) else { return true };
        let late_at = r.arrived + ((r.aim_at - r.arrived) as f64 * UNIT_WAIT) as Span;
        let late = now > late_at;
        let Some(c) = self.customers.get(customer) else { return true };
        // A cap on requests open at once is held by this gateway's share of it, one at the least.
        let (open, spread) =
            (self.s.plans[c.plan].max_concurrent, c.stores.first().map_or(1.0, Account::spread));
        let full = open > 0 && c.open >= (f64::from(open) / spread).round().max(1.0) as u32;
        // Beyond the quota it is refused, but where that earns more than it costs idle slots take it.
        let (plan, used) = (&self.s.plans[c.plan], |k: &ClassState| (k.out + k.queue.len()) as f64);
        let earns = plan.over_quota_weight > plan.over_quota_cost && plan.ceiling_rate == 0.0;
        let idle = self.classes.iter().map(used).sum::<f64>() < IDLE_SLOTS * self.pace.total;
        let extra = earns && idle && !self.pace.strain.is_strained(self.pace.part);
        let (inside, wait) = match c.stores.iter().any(|a| a.thin) {
            // Whatever the counter would say, it is let in: calls are left for whom they decide on.
            true if extra => (false, false),
            _ if full => (false, true),
            true => self.ration(now, id, late),
            false => self.ask(now, customer, id),
        };
        let (c, r) = (self.customers.get_mut(customer), self.requests.get_mut(&id));
        let Some((c, r)) = c.zip(r) else { return true };
        if wait && !late {
            // An answer of the counter or an end is news of its own; a store that fills is not.
            let is_filling = !full && !c.stores.iter().any(Account::is_calling);
            let at = if is_filling { (now + STEP).min(late_at + 1) } else { late_at + 1 };
            if is_filling || !std::mem::replace(&mut r.is_due, true) {
                self.dues.put(at, Due::Units(id));
            }
            return false;
        }
        if inside || extra {
            r.inside = inside;
            c.open += 1;
            self.queue(now, id, false);
        } else {
            self.give_up(id, RejectReason::QuotaExceeded);
        }
        true
    }

    /// Takes a request's units from every store of its customer, or from none: (did so, should wait).
    fn ask(&mut self, now: Time, customer: CustomerId, id: RequestId) -> (bool, bool) {
        let (down, epoch) = (self.counter_down(now), now / EPOCH);
        let paced = self.contact.must_defer_calls(now);
        let found = self.requests.get(&id).zip(self.customers.get_mut(customer));
        let Some((r, c)) = found else { return (false, false) };
        for a in &mut c.stores {
            if down && !a.is_blind() {
                a.go_dark(now, &self.contact);
            }
            a.refill(now, &self.contact);
        }
        let mut calls: smallvec::SmallVec<[(usize, f64); 2]> = smallvec::SmallVec::new();
        let free = |a: &Account| !down && !a.is_calling() && now >= a.next_call;
        // In the dark nothing waits for an answer.
        for (i, a) in c.stores.iter_mut().enumerate().filter(|(_, a)| a.is_blind() && !paced && free(a)) {
            calls.push((i, a.call(&self.contact, epoch, 0.0, HORIZON)));
        }
        // Where the store is short, its last units are for the class worth most a unit.
        let back = if self.by_worth.first() == Some(&r.class) { 0.0 } else { KEEP_BACK };
        let units = r.units;
        let inside = c.stores.iter().all(|a| a.covers(units, back));
        if inside {
            c.stores.iter_mut().for_each(|a| a.spend(units, &mut self.contact));
            if c.stores.iter().any(Account::is_blind) {
                self.debts.owe(now, &mut self.dues, customer, c);
            }
        }
        let short = |a: &Account| !a.is_blind() && a.store.spendable() < units && !a.is_calling();
        let may = c.stores.iter().all(|a| !a.is_blind() || a.covers(units, back));
        let mut wait = !inside && may;
        for (i, a) in c.stores.iter_mut().enumerate().filter(|(_, a)| wait && short(a)) {
            if down || now < a.next_call || !a.has_room(units, back) {
                wait = false;
                break;
            }
            calls.push((i, a.call(&self.contact, epoch, units, HORIZON)));
        }
        if let Some((i, _)) = calls.first() {
            self.contact.record_lease(now, &c.stores[*i].store.config().gateway_set);
        }
        calls.into_iter().for_each(|(i, amount)| self.call(now, (customer, i, epoch), amount));
        (inside, wait)
    }

    /// A customer spread too thin for blocks: some requests ask the counter, for several, what all gateways
    /// were asked for in this window; that, or how often it comes here, decides: (let in, should wait).
    fn ration(&mut self, now: Time, id: RequestId, late: bool) -> (bool, bool) {
        let (down, lot, odds) = (self.counter_down(now), self.rng.unit(), self.pace.call_odds);
        let Some(r) = self.requests.get_mut(&id) else { return (false, false) };
        let (worthiest, units, customer) = (self.by_worth.first() == Some(&r.class), r.units, r.customer);
        let Some(c) = self.customers.get_mut(customer) else { return (false, false) };
        let a = &mut c.stores[0];
        let (calling, first) = (a.is_calling(), !std::mem::replace(&mut r.counted, true));
        let odds = if a.ration().has_recent_total(now) { AGAIN * odds } else { odds };
        if first && lot < odds && !down && !calling {
            let (window, amount) = a.call_for(now, units / odds);
            self.call(now, (customer, ASKED, window), amount);
            return (false, true);
        }
        if !first && calling && !late {
            return (false, true);
        }
        self.pace.top += 0.01 * units.min(10.0) * (f64::from(u8::from(worthiest)) - self.pace.top);
        let odds = a.ration().admission_probability(now, worthiest, self.pace.top.clamp(0.01, 0.99));
        (a.ration().admit(units, odds), false)
    }

    /// No counter, or several calls in a row failed and the next try is not due.
    pub(crate) fn counter_down(&self, now: Time) -> bool {
        !self.s.has_counter || self.contact.is_backing_off(now)
    }

    pub(crate) fn call(&mut self, now: Time, whose: (CustomerId, usize, u64), amount: f64) {
        let name = count_name(whose.0, whose.1, whose.2);
        self.names.insert(name, whose);
        self.contact.record_call(now);
        let keep = if whose.1 == ASKED { KEEP_ASKED } else { KEEP };
        self.actions.push(Action::AddToCounter { key: name, amount, time_to_live: keep });
    }
}
