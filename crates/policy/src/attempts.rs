//! Requests in hand, their attempts, and their final answers.

use crate::api::*;
use crate::host::cold_part;
use crate::pace::Due;
use crate::pending::{Attempt, Pending, Stage};
use crate::policy::Policy;

const DROWNING: f64 = 0.3; // share of a class's attempts that fail when it is not single hosts

impl Policy {
    pub(crate) fn send(&mut self, now: Time, id: RequestId, host: HostId) {
        let (Some(r), Some(s)) = (self.requests.get_mut(&id), self.fleet.get_mut(host)) else { return };
        let (class, is_first, queued) = (r.class, r.attempts.is_empty(), r.queued);
        let c = &self.s.classes[class];
        let until = if c.late_fraction > 0.0 || c.streaming { r.deadline } else { r.aim_at };
        let write_by = r.write_by(c.idempotency);
        r.stage = Stage::Out;
        s.send();
        let (used, there) = (s.used(self.s.gateways), (s.entry.zone, s.entry.cell));
        let (slot, attempt) = (Some(self.pools.send(&r.route)), r.attempts.len() as u32);
        r.attempts.push(Attempt { host, there, sent: now, open: true, slot, used, ..Attempt::default() });
        self.classes[class].out += 1;
        if is_first {
            self.waited(now, class, queued);
        }
        self.unqueue(class, queued);
        let Some(r) = self.requests.get(&id) else { return };
        self.dues.put(self.hangs_at(r, host, now), Due::Watch(id, attempt));
        self.actions.push(Action::Forward { id, host, deadline: until, write_by });
    }

    /// Why there is no other attempt: it may not run again, it would be late, the limit, or the budget.
    fn against_retry(&self, now: Time, r: &Pending) -> Option<RejectReason> {
        let more = (r.attempts.len() as u32) < self.s.max_attempts.max(1) && self.pace.retries >= 1.0;
        let late = now >= r.start_by(self.classes[r.class].latency);
        let against = [
            (!self.can_go_on(now, r), RejectReason::NotIdempotent),
            (late, RejectReason::TooLateForRetry),
            (!more, RejectReason::RetriesExhausted),
        ];
        against.into_iter().find_map(|(is_so, why)| is_so.then_some(why))
    }

    /// The attempt hangs: it leaves its slot and moves, but not where its class fails all around: they drown.
    pub(crate) fn move_away(&mut self, now: Time, id: RequestId, attempt: u32) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(attempt as usize) else { return };
        a.hung = true;
        if self.classes[r.class].failing > DROWNING {
            return;
        }
        self.classes[r.class].out -= usize::from(self.pools.free(&mut a.slot));
        let Some(r) = self.requests.get(&id).filter(|r| r.stage == Stage::Out) else { return };
        match self.s.classes[r.class].idempotency == Idempotency::Idempotent
            && self.against_retry(now, r).is_none()
        {
            true if self.s.may_hedge => self.requeue(now, id),
            true => self.withdraw(id, attempt),
            false => {}
        }
    }

    fn withdraw(&mut self, id: RequestId, attempt: u32) {
        let a = self.requests.get_mut(&id).and_then(|r| r.attempts.get_mut(attempt as usize));
        if let Some(a) = a.filter(|a| a.open && !a.withdrawn && self.s.may_cancel) {
            a.withdrawn = true;
            self.actions.push(Action::Cancel { id, attempt });
        }
    }

    fn requeue(&mut self, now: Time, id: RequestId) {
        self.queue(now, id, true);
        self.pace.retries -= 1.0;
    }

    /// A request's stage is another from now on.
    fn turn(&mut self, id: RequestId, stage: Stage) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let (before, class, queued) = (std::mem::replace(&mut r.stage, stage), r.class, r.queued);
        if before == Stage::Queued {
            self.unqueue(class, queued);
        }
    }

    /// Its answer has begun.
    pub(crate) fn begin(&mut self, id: RequestId) {
        self.turn(id, Stage::Begun);
    }

    /// Final answer without a success: refused where nothing can have run, else failed.
    pub(crate) fn give_up(&mut self, id: RequestId, why: RejectReason) {
        let Some(r) = self.requests.get(&id).filter(|r| r.stage != Stage::Closed) else { return };
        if r.out() {
            return self.turn(id, Stage::Out); // the attempt still out may answer
        }
        let again = matches!(
            self.s.classes[r.class].idempotency,
            Idempotency::Idempotent | Idempotency::WithKey(DedupScope::All, _)
        );
        let harmless = again || r.ran().is_none();
        // Soon after, a try meets the same quota and the same queue: the longest advice keeps it off.
        let refused = Action::Reject { id, retry_after: self.s.max_retry_after, reason: why };
        self.actions.push(if harmless { refused } else { Action::Fail { id, reason: why } });
        self.close(id);
    }

    /// The request is over: unspent units go back to the lease, attempts still out are withdrawn.
    pub(crate) fn close(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else { return };
        let (before, customer, met) = (r.stage, r.customer, r.met);
        let (out, attempts) = (r.out(), r.attempts.len() as u32);
        self.turn(id, Stage::Closed);
        if let Some(c) = self.customers.get_mut(customer).filter(|_| met && before != Stage::Closed) {
            match before {
                Stage::Units => c.waiting.retain(|waiting| *waiting != id),
                _ => {
                    c.open = c.open.saturating_sub(1);
                    self.freed.push(customer);
                }
            }
        }
        (0..attempts).filter(|_| before != Stage::Begun).for_each(|attempt| self.withdraw(id, attempt));
        if out {
            return;
        }
        let Some(r) = self.requests.remove(&id).filter(|r| r.met) else { return };
        let Some(c) = self.customers.get_mut(r.customer) else { return };
        c.in_hand -= 1;
        // A try takes its units when an attempt has come whole to a host.
        if r.inside && !r.attempts.iter().any(|a| a.reached) {
            c.stores.iter_mut().for_each(|a| a.give_back(r.units));
        }
    }

    pub(crate) fn on_ended(&mut self, now: Time, end: AttemptEnded) {
        self.on_report(now, end.host, end.outcome, end.report);
        let Some(r) = self.requests.get_mut(&end.id) else { return };
        let at = r.attempts.get_mut(end.attempt as usize);
        let Some(a) = at.filter(|a| a.open && a.host == end.host) else { return };
        use Outcome::*;
        (a.open, a.harmless) = (false, matches!(end.outcome, Rejected | ConnectFailed | NotSent));
        a.reached = !matches!(end.outcome, ConnectFailed | NotSent);
        let (class, unasked) = (r.class, end.outcome == Cancelled && !a.withdrawn);
        let (sent, used, hung) = (a.sent, a.used, a.hung);
        self.classes[class].out -= usize::from(self.pools.free(&mut a.slot));
        self.pools.end(&r.route);
        self.left(&end);
        if !matches!(end.outcome, Cancelled | NotSent | Timeout) {
            let whole = matches!(end.outcome, ConnectFailed | ConnectionReset);
            self.remember(now, end.id, end.host, end.outcome != Ok, whole);
        }
        if let Some(s) = self.fleet.get_mut(end.host) {
            self.classes[class].resolved(s, &end, hung);
        }
        if let Some(r) = self.requests.get_mut(&end.id).filter(|_| end.outcome == Ok) {
            // What was guessed is settled, once: the store of the quota, not the ceiling's.
            let told = end.actual_units.filter(|u| u.is_finite() && std::mem::take(&mut r.inside));
            let units = told.unwrap_or(r.units);
            if let Some(store) = self.customers.get_mut(r.customer).and_then(|c| c.stores.first_mut()) {
                store.give_back(if store.is_strict() { 0.0 } else { r.units - units });
            }
            self.learn(class, end.host, (sent, end.elapsed), used);
        }
        let Some(r) = self.requests.get(&end.id) else { return };
        if end.is_request_closed || r.stage == Stage::Closed || end.outcome == Ok {
            self.close(end.id);
        } else if !r.out() && r.stage == Stage::Out {
            match self.against_retry(now, r).or(unasked.then_some(RejectReason::NotIdempotent)) {
                None => self.requeue(now, end.id),
                Some(why) => self.give_up(end.id, why),
            }
        }
    }

    /// An attempt has left its host.
    fn left(&mut self, end: &AttemptEnded) {
        let part = cold_part(&self.s, self.fleet.circles());
        let Some(s) = self.fleet.get_mut(end.host) else { return };
        let answered = end.outcome == Outcome::Ok;
        s.end(answered, part);
        if end.outcome == Outcome::Rejected {
            s.room.turned_away();
            s.may_change(end.host, &mut self.changing);
        }
        if answered && s.is_cold() {
            self.unblock();
        } else if answered && s.is_ready() {
            self.pace.answers += 1.0;
        }
    }
}
