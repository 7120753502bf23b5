//! Slots: each class but the least-worth one has a reserve that the fuzzy table of Wei et al. moves each
//! period, the least-worth class uses the rest, and a free slot goes first to a class below its reserve, in
//! worth order.

use crate::api::*;
use crate::due::STEP;
use crate::fuzzy::{fuzzy, STEP_PART};
use crate::pace::{seconds, Due, SECOND};
use crate::pending::Stage;
use crate::policy::Policy;

pub(crate) const PERIOD: Span = 1_000_000_000; // the design's control period
const SET_POINT: f64 = 0.05; // set point of the wait for a slot, as a share of the class's aim

const ENOUGH_WAITS: f64 = 5.0; // waits that make a mean; with fewer, the error counts in proportion
const SAVED: f64 = 2.0; // seconds for which a part below two slots is saved up
const HOPE: f64 = 1.2; // so many times what the usual latency says may be done in time after all
const REST: f64 = 0.15; // share of the slots that is the least-worth class's own, so it never starves

impl Policy {
    /// Each period: the table moves the reserve of every class but the least-worth one.
    pub(crate) fn control(&mut self, now: Time) {
        self.pools.follow(self.pace.strain.settle());
        self.pace.total = self.pace.strain.slots(self.pace.part);
        let (total, mut left) = (self.pace.total, self.pace.total * (1.0 - REST));
        let age = seconds(self.pace.met, now);
        for &c in &self.by_worth[..self.by_worth.len().saturating_sub(1)] {
            let set = (self.s.classes[c].latency_objective as f64 / SECOND * SET_POINT).max(1e-3);
            let k = &mut self.classes[c];
            let ages = k.held * age - k.held_since;
            let count = k.wait_count + k.held;
            let mean = if count > 0.0 { (k.waits + ages) / count } else { set };
            let e = (mean - set).clamp(-set, set) * (count / ENOUGH_WAITS).min(1.0);
            let de = (e - k.error).clamp(-1.25 * set, 1.25 * set);
            k.reserve = (k.reserve + fuzzy(e / set, de / (1.25 * set)) * STEP_PART * total).clamp(0.0, left);
            left -= k.reserve;
            (k.error, k.waits, k.wait_count) = (e, 0.0, 0.0);
        }
    }

    /// Whose is the next free slot: below its reserve, the least-worth class's own part, then worth order.
    fn next_class(&self) -> Option<usize> {
        let waiting = |c: usize| self.classes[c].queue.any(|route| self.pools.has_room(route));
        let under = |c: usize, slots: f64| (self.classes[c].out as f64) < slots && waiting(c);
        let (least, aimed) = self.by_worth.split_last()?;
        let reserved = aimed.iter().find(|c| under(**c, self.classes[**c].reserve));
        let kept = Some(least).filter(|c| under(**c, self.pace.total * REST));
        reserved.or(kept).or_else(|| self.by_worth.iter().find(|c| waiting(**c))).copied()
    }

    pub(crate) fn out(&self) -> f64 {
        self.classes.iter().map(|k| k.out).sum::<usize>() as f64
    }

    /// Slots now. A gateway whose part of the fleet is below two saves it up and takes two for a while.
    fn slots(&mut self, now: Time) -> f64 {
        let (total, out) = (self.pace.total, self.out());
        let span = seconds(std::mem::replace(&mut self.pace.saved_at, now), now);
        self.pace.saved = (self.pace.saved + (total - out) * span).clamp(-1.0, SAVED * total);
        match self.pace.saved > 0.0 {
            _ if total >= 2.0 => total.floor(),
            true => 2.0,
            false => 0.0,
        }
    }

    /// A request waits for a slot from now on.
    pub(crate) fn queue(&mut self, now: Time, id: RequestId, first: bool) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let k = &mut self.classes[r.class];
        (r.stage, r.queued) = (Stage::Queued, now);
        k.hold(seconds(self.pace.met, now));
        let (class, route, late) = (r.class, r.route, r.start_by(k.latency));
        if first {
            k.queue.push_front(route, id);
        } else if self.is_hopeless(id, late.saturating_sub(now)) {
            return self.give_up(id, RejectReason::QueueTooLong);
        } else {
            self.classes[class].queue.push_back(route, id);
        }
        self.dues.put(late.max(now + 1), Due::Late(id));
    }

    /// Whether more wait before it than all slots do in this time: to wait would be in vain. Of a plan that
    /// pays less somewhat fewer may.
    fn is_hopeless(&self, id: RequestId, time: Span) -> bool {
        let Some(r) = self.requests.get(&id) else { return true };
        let price = |plan: usize| self.s.plans[plan].weight_factor;
        let top = (0..self.s.plans.len()).map(price).fold(1e-9, f64::max);
        let part = self.customers.get(r.customer).map_or(1.0, |c| 0.5 + 0.5 * price(c.plan) / top);
        let before = self.by_worth.iter().take_while(|c| **c != r.class).chain([&r.class]);
        let ahead = before.map(|c| self.classes[*c].held).sum::<f64>() - 1.0;
        ahead * self.classes[r.class].latency > HOPE * part * self.pace.total * seconds(0, time)
    }

    /// A request that waited for a slot does not any more.
    pub(crate) fn unqueue(&mut self, class: usize, queued: Time) {
        let since = seconds(self.pace.met, queued);
        self.classes[class].let_go(since);
    }

    /// A first attempt is made of one that waited since then.
    pub(crate) fn waited(&mut self, now: Time, class: usize, queued: Time) {
        let k = &mut self.classes[class];
        (k.waits, k.wait_count) = (k.waits + seconds(queued, now), k.wait_count + 1.0);
    }

    /// One that still waits may be too late by now for an answer within its aim.
    pub(crate) fn late(&mut self, now: Time, id: RequestId) {
        let Some(r) = self.requests.get(&id).filter(|r| r.stage == Stage::Queued) else { return };
        let start_by = r.start_by(self.classes[r.class].latency);
        if now >= start_by {
            return self.give_up(id, RejectReason::QueuedTooLong);
        }
        self.dues.put(start_by, Due::Late(id));
    }

    /// Fills free slots with held requests. Where there is no host now for one that has not been tried yet,
    /// there is none for those behind it on the same route: they wait for news of hosts. One that was tried
    /// waits alone.
    pub(crate) fn dispatch(&mut self, now: Time) {
        while self.classes.iter().any(|k| k.queue.len() > 0) && self.out() < self.slots(now) {
            let Some(c) = self.next_class() else { break };
            let Some(id) = self.classes[c].queue.pop(|route| self.pools.has_room(route)) else { break };
            let Some(r) = self.requests.get(&id).filter(|r| r.stage == Stage::Queued) else { continue };
            let (start_by, route, tried) = (r.start_by(self.classes[c].latency), r.route, r.ran().is_some());
            match self.pick(now, id) {
                _ if now >= start_by => self.give_up(id, RejectReason::QueuedTooLong),
                Some(host) => self.send(now, id, host),
                None if tried => self.parked.push((c, route, id)),
                None => {
                    self.classes[c].queue.push_front(route, id);
                    self.classes[c].queue.block(route);
                }
            }
        }
        self.pace.bound |= self.classes.iter().any(|k| k.queue.any(|route| self.pools.has_room(route)));
        let is_held_up = !self.parked.is_empty() || self.classes.iter().any(|k| k.queue.is_blocked());
        // Cold hosts get more as time goes on, and nothing tells of it.
        let is_short = self.pace.total < 2.0 && self.classes.iter().any(|k| k.queue.len() > 0);
        if (is_held_up || is_short) && !std::mem::replace(&mut self.pace.retrying, true) {
            self.dues.put(now + STEP, Due::Dispatch);
        }
    }

    /// There may be a host now for those that found none.
    pub(crate) fn unblock(&mut self) {
        for (c, route, id) in std::mem::take(&mut self.parked).into_iter().rev() {
            self.classes[c].queue.push_front(route, id);
        }
        self.classes.iter_mut().for_each(|k| k.queue.unblock());
    }
}
