//! Choice of a host, and what is known of each: its state, its health, and how far it has warmed up.

use crate::api::*;
use crate::fleet::Reach;
use crate::host::{cold_part, Feed};
use crate::pace::{seconds, Due, MS, SECOND};
use crate::pending::Pending;
use crate::policy::Policy;
use crate::room::Room;
use libm::{exp, log, pow};

const MEAN_BY_GEOMETRIC: f64 = 1.78; // of exponential times: makes a geometric mean read as a mean
const HANGS: f64 = 8.0; // mean latencies without an answer: e^-8 by chance
const PRICE: (f64, f64) = (0.03, 0.3); // of a further attempt, in answers: at the least, and by load
const RISK: f64 = 1.0; // requests in hand that a sure failure weighs; four where it cannot be repeated
const SHUT: (Span, f64) = (2_000 * MS, 4.0); // for so long one that took no connection weighs so much more
const STALE: f64 = 3.0; // seconds in which it fades how slow a host was: a cold one warms up unseen
const FORGOTTEN: Span = crate::names::EPOCH; // of a host that takes no work and says nothing
const FEW: usize = 16; // up to so many hosts a choice looks at all
const EXAMINED: usize = 8; // of more at so many drawn at random, which is about as good

impl Policy {
    pub(crate) fn on_list(&mut self, now: Time, kind: HostListKind, entries: Vec<HostEntry>) {
        self.count_warm(now);
        match kind {
            HostListKind::Failed => self.ask_for_list(now + self.s.must_poll_within / 8),
            HostListKind::Delta => {}
            _ => self.fleet.iter_mut().for_each(|s| s.entry.state = HostState::Gone),
        }
        let mut chilled = Vec::new();
        for entry in entries {
            let (id, cold_until) = (entry.id, entry.started_at.saturating_add(self.s.warm_up));
            let s = self.fleet.meet(id);
            if entry.started_at > s.entry.started_at && cold_until > now {
                // Freshly started: cold, and what was known of it is void.
                s.chill(now, entry.started_at, self.rng.unit());
                chilled.push(id);
                (s.slow, s.slower, s.told, s.ramp) = (0.0, 0.0, None, self.s.cold_capacity);
                s.room = Room::default();
                s.did.clear();
                self.dues.put(cold_until, Due::Warm(id));
            }
            (s.entry, s.fed) = (entry, now);
        }
        for id in self.fleet.sort(self.s.gateway_index, self.s.gateways) {
            self.dues.put(now + FORGOTTEN, Due::Forget(id));
        }
        let part = cold_part(&self.s, self.fleet.circles());
        for id in chilled {
            let Some(s) = self.fleet.get_mut(id) else { continue };
            s.regain(s.tokens / s.near + part, part);
        }
        self.pools.recount(self.fleet.rooms());
        self.pace.part = self.fleet.slots() / self.s.gateways.max(1) as f64;
        self.pace.total = self.pace.strain.slots(self.pace.part);
        self.unblock();
    }

    /// A host that was cold may be warm by now.
    pub(crate) fn warm(&mut self, now: Time, id: HostId) {
        let cold = self.s.warm_up;
        let is_over = |since: &Time| now >= since.saturating_add(cold);
        let Some(s) = self.fleet.get_mut(id).filter(|s| s.cold.as_ref().is_some_and(is_over)) else { return };
        s.cold = None;
        if s.is_ready() && s.near >= 1.0 {
            self.count_warm(now);
            self.fleet.warmed();
        }
        self.unblock();
    }

    /// Hosts without work and without news for an epoch are forgotten, so that state stays bounded.
    pub(crate) fn forget_host(&mut self, now: Time, id: HostId) {
        let Some(s) = self.fleet.get_mut(id) else { return };
        s.is_leaving = !s.is_ready();
        let silent_at = s.fed.max(s.heard) + FORGOTTEN;
        match s.out > 0 || now < silent_at {
            _ if !s.is_leaving => {}
            true => self.dues.put(silent_at.max(now + FORGOTTEN / 4), Due::Forget(id)),
            false => self.fleet.forget(id),
        }
    }

    /// Seconds that hosts were warm and in service, each host's added.
    pub(crate) fn count_warm(&mut self, now: Time) {
        let span = seconds(std::mem::replace(&mut self.pace.warmed, now), now);
        self.pace.warm += self.fleet.warm() as f64 * span;
    }

    /// Whom a request may go to, after what may already have run of it.
    fn reach(&self, now: Time, r: &Pending) -> Option<Reach> {
        let anyone = Reach::Pools(self.pools.in_force(&r.route));
        let Some(first) = r.ran() else { return Some(anyone) };
        match self.s.classes[r.class].idempotency {
            Idempotency::Idempotent => Some(anyone),
            Idempotency::NotIdempotent => None,
            keyed @ Idempotency::WithKey(..) if now >= r.write_by(keyed) => None,
            Idempotency::WithKey(DedupScope::All, _) => Some(anyone),
            Idempotency::WithKey(DedupScope::Zone, _) => Some(Reach::Cell(first.there.0, None)),
            Idempotency::WithKey(DedupScope::Cell, _) => {
                Some(Reach::Cell(first.there.0, Some(first.there.1)))
            }
        }
    }

    /// Whether any host may take it at all.
    pub(crate) fn can_go_on(&self, now: Time, r: &Pending) -> bool {
        let Some(reach) = self.reach(now, r) else { return false };
        let takes = |id: &HostId| self.fleet.get(*id).is_some_and(|s| self.pools.takes(&r.route, &s.entry));
        let lists = self.fleet.lists(reach);
        lists
            .into_iter()
            .any(|list| matches!(reach, Reach::Pools(_)) && !list.is_empty() || list.iter().any(takes))
    }

    /// Some within reach that this gateway works with, at random, or all if there are few; whether it is all.
    fn draw(&mut self, reach: Reach, candidates: &mut Vec<HostId>) -> bool {
        let lists = match reach {
            Reach::Pools(0) => std::iter::once(self.fleet.near()).collect(),
            _ => self.fleet.lists(reach),
        };
        let (count, all) = (lists.iter().map(|l| l.len()).sum::<usize>(), || lists.iter().copied().flatten());
        candidates.clear();
        let mut add = |id: &HostId| {
            if !candidates.contains(id) {
                candidates.push(*id);
            }
        };
        match count <= FEW {
            true => all().for_each(add),
            false => (0..EXAMINED).for_each(|_| {
                all().nth((self.rng.unit() * count as f64) as usize).into_iter().for_each(&mut add)
            }),
        }
        count <= FEW && self.fleet.near().len() == self.fleet.ready().len()
    }

    /// The host with the least expected wait among those that may take this request.
    pub(crate) fn pick(&mut self, now: Time, id: RequestId) -> Option<HostId> {
        let reach = self.reach(now, self.requests.get(&id)?)?;
        let mut candidates = std::mem::take(&mut self.candidates);
        let is_all = self.draw(reach, &mut candidates);
        let mut best = self.best(now, id, &candidates);
        if best.is_none() && !is_all {
            candidates.clear();
            self.fleet.lists(reach).into_iter().for_each(|list| candidates.extend_from_slice(list));
            best = self.best(now, id, &candidates);
        }
        self.candidates = candidates;
        best
    }

    fn best(&mut self, now: Time, id: RequestId, candidates: &[HostId]) -> Option<HostId> {
        let feed = (self.fleet.near().len() > self.fleet.warm() || candidates.len() > EXAMINED.max(FEW))
            .then(|| Feed::new(now, &self.pace, &self.fleet, &self.s));
        let r = self.requests.get(&id)?;
        let (class, all) = (r.class, self.s.classes.len());
        let usual = self.classes[r.class].failing;
        let weight =
            RISK * if self.s.classes[r.class].idempotency == Idempotency::Idempotent { 1.0 } else { 4.0 };
        let mut best: Option<(f64, HostId)> = None;
        for sid in candidates {
            let Some(s) = self.fleet.get_mut(*sid) else { continue };
            if let Some(feed) = feed {
                s.feed(now, feed, &self.s);
            }
            let fed = s.is_fed();
            if !(fed || s.credit >= 1.0) || !self.pools.takes(&r.route, &s.entry) {
                continue;
            }
            // A stranger is taken to be as busy as the others say they are, not idle.
            let told = s.told.map_or(0.0, |(at, load)| (load - self.pace.load) * exp(-seconds(at, now)));
            let load = 1.0 + s.room.load(s.out) + self.pace.load + told;
            // On credit it is the last resort: as slow as it may be at the worst.
            let stale = exp(-seconds(s.heard, now) / STALE);
            let slow = (1.0 + s.slower * stale).max(if fed { 0.0 } else { 1.0 / s.ramp.max(0.01) });
            let mut cost = slow * load + self.rng.unit() * 0.05;
            // Of a stranger to this class, what the class meets elsewhere is feared.
            cost += weight * s.feared(class, usual, now).max(s.failed(all, now));
            cost += if now < s.shut { SHUT.1 } else { 0.0 };
            cost += if s.entry.zone != self.s.zone { 0.1 } else { 0.0 };
            cost += if r.attempts.iter().any(|a| a.host == *sid) { 100.0 } else { 0.0 };
            if best.is_none_or(|(b, _)| cost < b) {
                best = Some((cost, *sid));
            }
        }
        self.work += candidates.len() as u64;
        best.map(|(_, sid)| sid)
    }

    /// Remembers how a host did with a class; `whole`: it failed as a whole, until it answers.
    pub(crate) fn remember(&mut self, now: Time, id: RequestId, sid: HostId, failed: bool, whole: bool) {
        let Some(r) = self.requests.get(&id) else { return };
        let (class, all) = (r.class, self.s.classes.len());
        let k = &mut self.classes[class];
        k.failing += 0.05 * (f64::from(u8::from(failed)) - k.failing);
        let Some(s) = self.fleet.get_mut(sid) else { return };
        s.did.resize(all + 1, (0.0, now));
        for grain in [class, all] {
            let before = s.lately(grain, now);
            let target = if failed { 1.0 } else { -1.0 };
            let from = if failed { before.max(0.0) } else { before };
            if grain != all || whole || !failed {
                s.did[grain] = (from + 0.7 * (target - from), now);
            }
        }
    }

    /// When an attempt that is sent now counts as hanging: where another may follow by the odds for either,
    /// and another is the dearer the fewer slots are free.
    pub(crate) fn hangs_at(&self, r: &Pending, host: HostId, now: Time) -> Time {
        let (k, c) = (&self.classes[r.class], &self.s.classes[r.class]);
        let (slow, lost) = k.silence(self.fleet.get(host));
        let load = (self.out() + self.classes.iter().map(|k| k.held).sum::<f64>()) / self.pace.total.max(1.0);
        let price = PRICE.0 + PRICE.1 * (load * load).min(1.0);
        let odds = || k.times.hedge_delay(r.left(now, slow, c.late_fraction), lost, price);
        let usual = if k.latency > 0.0 { HANGS * k.latency } else { c.latency_objective as f64 / SECOND };
        // One in the place of another, not beside it, has to wait until that is surely out no more.
        let by_odds = c.idempotency == Idempotency::Idempotent && self.s.may_hedge;
        let wait = if by_odds { usual.min(odds()) } else { usual } * slow * SECOND;
        now.saturating_add((wait as Span).min(c.latency_objective)).saturating_add(MS / 1000)
    }

    /// An attempt long without an answer counts as failed; the host as a whole if it was silent to all.
    pub(crate) fn watch(&mut self, now: Time, id: RequestId, attempt: u32) {
        let Some(r) = self.requests.get(&id) else { return };
        let Some(a) = r.attempts.get(attempt as usize).filter(|a| a.open && !a.hung) else { return };
        let (host, sent) = (a.host, a.sent);
        let at = self.hangs_at(r, host, sent);
        if now < at {
            return self.dues.put(at, Due::Watch(id, attempt));
        }
        let whole = self.fleet.get(host).is_none_or(|s| s.heard < sent);
        self.remember(now, id, host, true, whole);
        self.move_away(now, id, attempt);
    }

    /// Learns from an answer how quick its host is against its peers, and what room it has; `used`: the
    /// share of our part of its slots that was in use.
    pub(crate) fn learn(&mut self, class: usize, sid: HostId, (sent, took): (Time, Span), used: f64) {
        let (t, k) = ((took as f64 / SECOND).max(1e-6), &mut self.classes[class]);
        k.latency = if k.latency == 0.0 { t } else { k.latency };
        k.latency *= pow(MEAN_BY_GEOMETRIC * t / k.latency, 0.05);
        self.pace.strain.answered(MEAN_BY_GEOMETRIC * t / k.ease.follow(k.latency));
        let (latency, longer) = (k.latency, k.usual.answered(took, used));
        let Some(s) = self.fleet.get_mut(sid) else { return };
        s.slow += 0.1 * (log((MEAN_BY_GEOMETRIC * t / latency).clamp(0.1, 10.0)) - s.slow);
        s.slower = exp(s.slow) - 1.0;
        s.room.answered(sent, used, longer);
        s.may_change(sid, &mut self.changing);
    }

    pub(crate) fn on_report(
        &mut self,
        now: Time,
        host: HostId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let Some(s) = self.fleet.get_mut(host) else { return };
        if let Some(report) = report {
            let load = report.queued.or(report.in_flight).unwrap_or(0.0) + report.utilisation.unwrap_or(0.0);
            self.pace.load += 0.05 * (load - self.pace.load);
            s.told = Some((now, load));
        }
        s.heard =
            if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) { now } else { s.heard };
        s.shut = if outcome == Outcome::ConnectFailed { now + SHUT.0 } else { s.shut };
    }
}
