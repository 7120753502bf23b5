//! The controller of one gateway: told what the gateway sees, it says which hosts are withheld, where a request may
//! go, and what is refused first. Time is handed in.

use std::collections::{BTreeMap, BTreeSet};

use policy::api::{
    AttemptEnded, HostEntry, HostId, HostListKind, HostState, Outcome, RejectReason, RequestId, Span, Time,
};

use crate::chance::unit;
use crate::course::{Course, Look, Ramped, SiteHealth};
use crate::ladder::Level;
use crate::plan::{FailoverPlan, OperatorOverride, SiteSet};
use crate::said::{SiteStatus, Transition, TransitionCause};
use crate::shares;
use crate::verdict::{Seen, Tally, Tested, MILLISECOND, SECOND};

/// Ticks while all is whole, and while something is up.
const CALM: Span = SECOND;
const ALERT: Span = 100 * MILLISECOND;
/// Failures without an answer from which on it is looked at more often.
const ALERT_FROM: u32 = 3;
/// Turns a second at a lost site over the whole fleet, whatever its size; a turn has two trials at most. A gateway has
/// one turn a second at most.
const TURNS_A_SECOND: u64 = 30;
const SHORTEST_TURN: Span = SECOND;
/// A site in doubt is asked by a request of its own so often at the most, and by no more than this share of what this
/// gateway sends: hosts that failed are left alone, and without a question nothing more would be learnt.
const ASKED_EVERY: Span = 200 * MILLISECOND;
const ASKED_SHARE: f64 = 0.25;
/// A host that is gone is remembered for so long, as its last attempts end.
const GONE_KNOWN: Span = 10 * SECOND;
/// Discovery has emptied a site: if nothing answers there for so long, the site is lost.
const EMPTY_FOR: Span = 2 * SECOND;
/// A site that had no host yet when this gateway first heard of others may come up within this without a ramp.
const START: Span = 60 * SECOND;
/// Slow: answers take so many times the usual, and by so much more than at the best other site; whole again below.
const SLOW: f64 = 3.0;
const SLOWER_THAN_OTHERS: f64 = 2.0;
const SLOW_NO_MORE: f64 = 1.5;
const SLOW_BY: f64 = 20.0;

/// Who this gateway is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayIdentity {
    /// Gateways in all.
    pub gateways: u32,
    /// This gateway's number among them, from 0.
    pub gateway_index: u32,
    /// This gateway's zone, by the platform's number.
    pub zone: u32,
}

/// What has changed with a tick.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FailoverUpdate {
    /// Hosts that are withheld now and were not, or the other way round.
    pub changed_hosts: Vec<HostId>,
    /// Share of requests let in, by cell, if it has changed; empty: all are.
    pub admission_fractions: Option<Vec<f64>>,
    /// What is to be said of it, a log line each.
    pub transitions: Vec<Transition>,
}

impl FailoverUpdate {
    fn is_nothing(&self) -> bool {
        self.changed_hosts.is_empty() && self.admission_fractions.is_none() && self.transitions.is_empty()
    }
}

/// What is known of a host.
#[derive(Clone, Copy, Debug)]
struct Host {
    zone: u32,
    /// Number of its site; the number of sites if it is in none.
    site: usize,
    size: f64,
    started: Time,
    state: HostState,
    gone: Time,
}

/// What discovery has listed of a site.
#[derive(Clone, Debug, Default)]
struct Listed {
    ready: Vec<HostId>,
    weight: f64,
    /// When it was emptied.
    emptied: Option<Time>,
    latest_start: Time,
}

/// The controller.
#[derive(Clone, Debug)]
pub struct FailoverController {
    plan: FailoverPlan,
    fleet: GatewayIdentity,
    seed: u64,
    hosts: BTreeMap<HostId, Host>,
    /// By site, and one more for hosts that are in none.
    listed: Vec<Listed>,
    seen: Vec<Seen>,
    courses: Vec<Course>,
    level: Level,
    /// Since when discovery is silent, and the counter in doubt.
    silent: Option<Time>,
    doubtful: Option<Time>,
    lists_changed: bool,
    /// Hosts that were said to be withheld, and what that was worked out from.
    withheld: BTreeSet<HostId>,
    withholds: Vec<(bool, Option<HostId>)>,
    /// There is another plan or another list.
    turned: bool,
    /// Nothing is kept from any site.
    plain: bool,
    /// A site in doubt, and when it is asked next.
    asks: Option<(usize, Time)>,
    last: Time,
    due: Time,
}

impl FailoverController {
    /// A gateway that has seen nothing yet and holds all sites for whole. `seed` sets when its turns are.
    pub fn new(plan: FailoverPlan, fleet: GatewayIdentity, seed: u64, now: Time) -> FailoverController {
        let level = Level::new(&plan.shedding);
        let mut sites = FailoverController {
            plan: FailoverPlan::default(),
            fleet,
            seed,
            hosts: BTreeMap::new(),
            listed: vec![],
            seen: vec![],
            courses: vec![],
            level,
            silent: None,
            doubtful: None,
            lists_changed: true,
            withheld: BTreeSet::new(),
            withholds: vec![],
            turned: false,
            plain: true,
            asks: None,
            last: now,
            due: now + CALM,
        };
        sites.apply_plan(plan, now);
        sites
    }

    /// Another version of the plan. Sites that keep their names keep what was seen of them and their course. Lists are
    /// not kept while there are no sites: after a plan without any, the list has to be told again in full.
    pub fn apply_plan(&mut self, plan: FailoverPlan, now: Time) {
        let (mut seen, mut courses) = (vec![], vec![]);
        for (number, site) in plan.sites.iter().enumerate() {
            let old = self.plan.sites.iter().position(|old| old.name == site.name);
            seen.push(old.map(|old| std::mem::take(&mut self.seen[old])).unwrap_or_default());
            courses.push(match old {
                Some(old) => self.courses[old].clone(),
                None => self.fresh_course(number, now),
            });
        }
        seen.push(Seen::default());
        if self.plan.shedding != plan.shedding || plan.sites.is_empty() {
            self.level.turn(&plan.shedding);
        }
        self.listed = vec![Listed::default(); seen.len()];
        (self.seen, self.courses, self.plan) = (seen, courses, plan);
        for host in self.hosts.values_mut() {
            host.site = self.plan.site_of(host.zone).unwrap_or(self.plan.sites.len());
        }
        (self.lists_changed, self.asks) = (true, None);
        // Without sites there is nothing to wait for, but what the last plan withheld and refused is to be let go.
        self.turned = true;
        self.plain &= self.is_idle();
        let has_held = !self.withheld.is_empty() || self.level.is_told();
        self.due = if self.is_idle() && !has_held { Time::MAX } else { now };
    }

    fn fresh_course(&self, number: usize, now: Time) -> Course {
        let mut course = Course::new(now);
        let part = f64::from(self.fleet.gateway_index) / f64::from(self.fleet.gateways.max(1));
        let of_site = unit(self.seed, number as u64) * SHORTEST_TURN as f64;
        course.set_turns((part * self.turn_span() as f64 + of_site) as Time);
        course
    }

    /// Between two turns of this gateway at one lost site.
    fn turn_span(&self) -> Span {
        (u64::from(self.fleet.gateways) * SECOND / TURNS_A_SECOND).max(SHORTEST_TURN)
    }

    /// Whether the plan has no sites: there is nothing to tell and nothing to ask.
    pub fn is_idle(&self) -> bool {
        self.plan.sites.is_empty()
    }

    /// News of the host list, as discovery tells it.
    pub fn on_host_list(&mut self, now: Time, kind: HostListKind, entries: &[HostEntry]) {
        if kind == HostListKind::Failed || self.is_idle() {
            return;
        }
        if kind != HostListKind::Delta {
            self.hosts.values_mut().for_each(|host| host.leave(now));
        }
        for entry in entries {
            let site = self.plan.site_of(entry.zone).unwrap_or(self.plan.sites.len());
            let host = self.hosts.entry(entry.id).or_insert(Host {
                zone: entry.zone,
                site,
                size: entry.size,
                started: entry.started_at,
                state: entry.state,
                gone: now,
            });
            if entry.state == HostState::Gone {
                host.leave(now);
            } else {
                *host = Host {
                    zone: entry.zone,
                    site,
                    size: entry.size,
                    started: entry.started_at,
                    state: entry.state,
                    gone: now,
                };
            }
        }
        self.lists_changed = true;
        self.due = self.due.min(now);
    }

    /// An attempt has ended. What it says of its site depends on how, and on when it was withdrawn.
    pub fn on_attempt_ended(&mut self, now: Time, ended: &AttemptEnded) {
        if self.is_idle() {
            return;
        }
        let Some(host) = self.hosts.get(&ended.host) else { return };
        let (site, ready) = (host.site, host.state == HostState::Ready);
        let answered = match ended.outcome {
            Outcome::Ok | Outcome::Error | Outcome::Rejected => true,
            Outcome::ConnectFailed | Outcome::Timeout | Outcome::ConnectionReset => false,
            Outcome::Cancelled if self.seen[site].is_long(ended.elapsed) => false,
            Outcome::Cancelled | Outcome::NotSent => return,
        };
        if answered {
            self.seen[site].on_answer(now, ended.elapsed);
        } else if ready {
            self.seen[site].on_failure(now, ended.host);
        }
        if let Some(course) = self.courses.get_mut(site) {
            course.on_ended(now, ended.host, answered, ended.elapsed);
            if course.is_trial_over() {
                self.due = self.due.min(now);
            }
        }
        if !answered && self.seen[site].failures().0 >= ALERT_FROM {
            self.due = self.due.min(now.max(self.last + ALERT));
        }
    }

    /// A request of this class and plan has come in, whatever becomes of it.
    pub fn on_request_received(&mut self, class: usize, plan: usize) {
        self.level.on_asked(class * self.plan.shedding.plans + plan);
    }

    /// A request was given up.
    pub fn on_request_rejected(&mut self, why: RejectReason) {
        self.level.on_given_up(why);
    }

    /// Discovery is silent: the subscription is lost or questions fail; or it is back.
    pub fn on_discovery_status(&mut self, now: Time, silent: bool) {
        self.silent = silent.then(|| self.silent.unwrap_or(now));
    }

    /// The counter is away or in doubt, or well again.
    pub fn on_counter_status(&mut self, now: Time, doubtful: bool) {
        self.doubtful = doubtful.then(|| self.doubtful.unwrap_or(now));
    }

    /// When the next tick is wanted; it may come nearer with an attempt's end or a list. Never, without sites.
    pub fn next_tick_at(&self) -> Time {
        self.due
    }

    /// Whether a host is to be kept from new requests though discovery has it in service.
    pub fn is_excluded(&self, host: HostId) -> bool {
        let Some(host_known) = self.hosts.get(&host) else { return false };
        self.courses
            .get(host_known.site)
            .is_some_and(|course| course.is_withheld() && course.trial_host() != Some(host))
    }

    /// The sites that a request may go to. Asked once for each, as it comes in.
    pub fn allowed_sites(&mut self, now: Time, request: RequestId, effect_is_safe: bool) -> SiteSet {
        if let Some((site, _)) = self.asks.filter(|(_, at)| effect_is_safe && now >= *at) {
            self.asks = Some((site, now + self.between_questions()));
            return SiteSet::one(site);
        }
        if self.plain {
            return SiteSet::ALL;
        }
        if effect_is_safe {
            if let Some(site) = self.courses.iter_mut().position(|course| course.takes_trial(now, request)) {
                return SiteSet::one(site);
            }
        }
        shares::send_to(&self.plan, &self.courses, request, effect_is_safe)
    }

    fn between_questions(&self) -> Span {
        let rate: f64 = self.seen.iter().map(|seen| seen.rate).sum();
        ASKED_EVERY.max((SECOND as f64 / (ASKED_SHARE * rate.max(0.1))) as Span)
    }

    /// Asks the site that most speaks against, at more than one host, as long as it is not known whether it is gone.
    fn ask_in_doubt(&mut self, now: Time) {
        let in_doubt = |site: &usize| {
            let (course, seen) = (&self.courses[*site], &self.seen[*site]);
            let (failures, hosts) = seen.failures();
            let speaks = failures >= ALERT_FROM && hosts > 1;
            speaks && !course.is_withheld() && self.is_another_left(*site)
        };
        let most = (0..self.courses.len()).filter(in_doubt).max_by_key(|site| self.seen[*site].failures().0);
        self.asks = most.map(|site| (site, self.asks.map_or(now, |(_, at)| at)));
    }

    /// How the sites are, in the order of the plan.
    pub fn statuses(&self) -> impl Iterator<Item = SiteStatus> + '_ {
        (0..self.courses.len()).map(|site| self.state_of(site))
    }

    fn state_of(&self, site: usize) -> SiteStatus {
        let (course, seen) = (&self.courses[site], &self.seen[site]);
        SiteStatus {
            name: self.plan.sites[site].name.clone(),
            health: course.state(),
            operator_override: self.plan.sites[site].operator_override,
            traffic_fraction: course.share(),
            since: course.since(),
            ready_hosts: self.listed[site].ready.len(),
            capacity_fraction: course.part(),
            attempts_per_second: seen.rate,
            failure_fraction: seen.now.failing().unwrap_or(0.0),
            failures: seen.failures(),
        }
    }

    /// Rungs of the ladder that are shed down to their floors, and the part of the next that is.
    pub fn shedding_level(&self) -> f64 {
        self.level.level()
    }

    /// Looks at what came since the last tick. What has changed, if anything.
    pub fn tick(&mut self, now: Time) -> Option<FailoverUpdate> {
        if self.is_idle() {
            let mut turn = FailoverUpdate::default();
            self.plain = true;
            self.hosts.clear();
            self.hosts_changed(&mut turn);
            turn.admission_fractions = self.level.keep(&self.plan.shedding);
            self.due = Time::MAX;
            return Some(turn).filter(|turn| !turn.is_nothing());
        }
        let past = now.saturating_sub(self.last);
        self.last = now;
        let fresh: Vec<Tally> = self.seen.iter_mut().map(|seen| seen.tick(past)).collect();
        self.take_lists(now);
        let mut turn = FailoverUpdate::default();
        let cut_off = self.is_cut_off(now);
        for site in 0..self.courses.len() {
            let was = self.courses[site].state();
            let cause = self.judge(now, past, site, &fresh, cut_off);
            if let Some(cause) = cause {
                turn.transitions.push(Transition::Site {
                    previous: was,
                    current: self.state_of(site),
                    cause,
                });
            }
        }
        self.plain = self.courses.iter().all(Course::is_plain);
        self.ask_in_doubt(now);
        self.hosts_changed(&mut turn);
        self.refuse(past, &mut turn);
        self.due = now + self.wait();
        Some(turn).filter(|turn| !turn.is_nothing())
    }

    fn wait(&self) -> Span {
        let alert = self.seen.iter().any(|seen| seen.failures().0 >= ALERT_FROM);
        if alert || !self.plain || self.listed.iter().any(|listed| listed.emptied.is_some()) {
            ALERT
        } else {
            CALM
        }
    }

    fn take_lists(&mut self, now: Time) {
        if self.lists_changed {
            self.turned = true;
            self.lists_changed = false;
            self.hosts.retain(|_, host| host.state != HostState::Gone || now < host.gone + GONE_KNOWN);
            for listed in &mut self.listed {
                *listed = Listed { emptied: listed.emptied, ..Listed::default() };
            }
            for (id, host) in self.hosts.iter().filter(|(_, host)| host.state == HostState::Ready) {
                let listed = &mut self.listed[host.site];
                listed.ready.push(*id);
                listed.weight += host.size.max(1e-9);
                listed.latest_start = listed.latest_start.max(host.started);
            }
        }
        // Parts are what they were when all was well last: a site that is lost keeps its part in others' shares.
        let well = self.courses.iter().all(Course::is_plain) && !self.seen.iter().any(Seen::in_run);
        let emptied = (0..self.courses.len())
            .any(|site| self.listed[site].ready.is_empty() && self.courses[site].part() > 0.0);
        let all: f64 = self.listed.iter().map(|listed| listed.weight).sum();
        if well && !emptied && all > 0.0 || self.courses.iter().all(|course| course.part() == 0.0) {
            for (course, listed) in self.courses.iter_mut().zip(&self.listed) {
                course.set_part(listed.weight / all.max(1e-9));
            }
        }
        for listed in self.listed.iter_mut().filter(|_| all > 0.0) {
            if listed.ready.is_empty() {
                listed.emptied.get_or_insert(now);
            } else if listed.emptied.is_some_and(|emptied| listed.latest_start < emptied) {
                // The same hosts as before: they were never away.
                listed.emptied = None;
            }
        }
    }

    /// Nothing that load goes to can be reached: no site is to be withheld.
    fn is_cut_off(&self, now: Time) -> bool {
        let mut any = false;
        for (site, (seen, listed)) in self.seen.iter().zip(&self.listed).enumerate() {
            let left = self.courses.get(site).is_none_or(|course| !course.is_withheld());
            if !left || listed.ready.is_empty() {
                continue;
            }
            if !seen.unreached(now, listed.ready.len()) {
                return false;
            }
            any = true;
        }
        any
    }

    /// Whether there is another place to go to than this site.
    fn is_another_left(&self, site: usize) -> bool {
        (0..self.listed.len()).any(|other| {
            other != site
                && !self.listed[other].ready.is_empty()
                && self.courses.get(other).is_none_or(|course| !course.is_withheld())
        })
    }

    /// Since when discovery or the counter is in doubt.
    fn in_doubt(&self) -> Option<Time> {
        self.silent.into_iter().chain(self.doubtful).min()
    }

    /// Moves a site on. Why, if it was to another state or another share.
    fn judge(
        &mut self,
        now: Time,
        past: Span,
        site: usize,
        fresh: &[Tally],
        cut_off: bool,
    ) -> Option<TransitionCause> {
        match self.plan.sites[site].operator_override {
            Some(OperatorOverride::Healthy) => {
                let changed =
                    !self.courses[site].is_plain() || self.courses[site].state() != SiteHealth::Healthy;
                self.courses[site].release(now, SiteHealth::Healthy);
                return changed.then_some(TransitionCause::SetByOperators);
            }
            Some(OperatorOverride::Lost) if self.courses[site].is_withheld() => {
                return self.courses[site].hold(now).then_some(TransitionCause::SetByOperators)
            }
            Some(OperatorOverride::Lost) if self.is_another_left(site) => {
                self.courses[site].lose(now, SiteHealth::Lost);
                return Some(TransitionCause::SetByOperators);
            }
            Some(OperatorOverride::Lost) | None => {}
        }
        if cut_off {
            let course = &mut self.courses[site];
            let changed = course.state() != SiteHealth::Unreachable || course.is_withheld();
            course.release(now, SiteHealth::Unreachable);
            return changed.then_some(TransitionCause::NoReference);
        }
        if let Some(cause) = self.judge_emptied(now, site) {
            return cause;
        }
        if self.courses[site].is_withheld() {
            return self.try_site(now, site);
        }
        self.judge_failures(now, past, site, fresh)
    }

    /// Discovery has none of the site's hosts in service, or lists others than it did.
    fn judge_emptied(&mut self, now: Time, site: usize) -> Option<Option<TransitionCause>> {
        let listed = &mut self.listed[site];
        let emptied = listed.emptied?;
        let course = &mut self.courses[site];
        if course.is_withheld() {
            if !listed.ready.is_empty() {
                listed.emptied = None;
            }
            return None;
        }
        if !listed.ready.is_empty() {
            // They started after the site was emptied: they are cold, and return like any that were lost. As a
            // deployment starts, its sites come up one after the other; that is no return.
            listed.emptied = None;
            let is_start = course.part() == 0.0 && now < emptied + START;
            if is_start || !self.is_another_left(site) {
                return None;
            }
            self.courses[site].lose(now, SiteHealth::Lost);
            return Some(Some(TransitionCause::NoHostsListed));
        }
        if course.part() == 0.0 {
            return Some(None);
        }
        if self.seen[site].answered.is_some_and(|answered| answered > emptied) {
            return Some(
                course.remark(now, SiteHealth::Suspect).then_some(TransitionCause::UnlistedButAnswering),
            );
        }
        if now < emptied + EMPTY_FOR {
            return Some(None);
        }
        course.lose(now, SiteHealth::Lost);
        Some(Some(TransitionCause::NoHostsListed))
    }

    /// A site that is withheld: trials, and whether it may return.
    fn try_site(&mut self, now: Time, site: usize) -> Option<TransitionCause> {
        let (turn, doubt) = (self.turn_span(), self.in_doubt());
        let ready = &self.listed[site].ready;
        let course = &mut self.courses[site];
        course.try_it(now, ready, turn);
        if !course.is_answering(now, ready.len(), turn) {
            let back = course.state() == SiteHealth::Probing && course.remark(now, SiteHealth::Lost);
            return back.then_some(TransitionCause::NoReference);
        }
        if course.may_return(now, doubt) {
            if course.part() == 0.0 {
                let all: f64 = self.listed.iter().map(|listed| listed.weight).sum();
                course.set_part(self.listed[site].weight / all.max(1e-9));
            }
            course.begin_return(now);
            self.seen[site].forget_run();
            return Some(TransitionCause::Answering);
        }
        course.remark(now, SiteHealth::Probing).then_some(TransitionCause::Answering)
    }

    /// A site that gets load: what its failures, or its answers, say.
    fn judge_failures(
        &mut self,
        now: Time,
        past: Span,
        site: usize,
        fresh: &[Tally],
    ) -> Option<TransitionCause> {
        let ready = self.listed[site].ready.len();
        let tested = self.seen[site].tested(now, ready, self.others(site));
        if let Some(tested) = tested.filter(|tested| tested.is_gone() && self.is_another_left(site)) {
            let state =
                if self.only_own_answers(now, site) { SiteHealth::Unreachable } else { SiteHealth::Lost };
            self.courses[site].lose(now, state);
            return Some(cause_of(tested));
        }
        if self.courses[site].state() == SiteHealth::Recovering {
            return self.ramp(now, past, site, fresh);
        }
        let unreached = tested.is_none() && self.seen[site].unreached(now, ready);
        let slow = self.slow(site);
        let course = &mut self.courses[site];
        course.forgive(now);
        if let Some(tested) = tested.filter(Tested::is_doubtful) {
            return course.remark(now, SiteHealth::Suspect).then_some(cause_of(tested));
        }
        if unreached {
            let state = if course.state() == SiteHealth::Unreachable {
                SiteHealth::Unreachable
            } else {
                SiteHealth::Suspect
            };
            return course.remark(now, state).then_some(TransitionCause::NoReference);
        }
        let no_news = course.state() == SiteHealth::Unreachable
            && self.seen[site].answered.is_none_or(|answered| answered < course.since());
        match slow {
            _ if no_news => None,
            Some(times) => {
                course.remark(now, SiteHealth::Slow).then_some(TransitionCause::SlowResponses(times))
            }
            None => course.remark(now, SiteHealth::Healthy).then_some(TransitionCause::Answering),
        }
    }

    /// Other sites that get load, and hosts in none.
    fn others(&self, site: usize) -> impl Iterator<Item = &Seen> + '_ {
        self.seen.iter().enumerate().filter_map(move |(other, seen)| {
            let takes = self.courses.get(other).is_none_or(|course| !course.is_withheld());
            (other != site && takes).then_some(seen)
        })
    }

    /// Whether discovery and the counter are silent as well and no site answers but the one this gateway is in: then
    /// it may be this gateway that is cut off.
    fn only_own_answers(&self, now: Time, lost: usize) -> bool {
        let own = self.plan.site_of(self.fleet.zone);
        let silent = self.silent.is_some() && self.doubtful.is_some();
        silent
            && (0..self.seen.len()).all(|site| {
                site == lost
                    || Some(site) == own
                    || self.listed[site].ready.is_empty()
                    || self.courses.get(site).is_some_and(Course::is_withheld)
                    || self.seen[site].unreached(now, self.listed[site].ready.len())
            })
            && own.is_some_and(|own| own != lost)
    }

    /// How many times the usual its answers take, if that makes it slow.
    fn slow(&self, site: usize) -> Option<f64> {
        let times = |seen: &Seen| Some(seen.now.mean(SLOW_BY)? / seen.usual.mean(SLOW_BY)?.max(1e-6));
        let here = times(&self.seen[site])?;
        let best = self.others(site).filter_map(times).min_by(f64::total_cmp).unwrap_or(1.0);
        let from = if self.courses[site].state() == SiteHealth::Slow { SLOW_NO_MORE } else { SLOW };
        (here > from && here > best * SLOWER_THAN_OTHERS.min(from)).then_some(here)
    }

    fn ramp(&mut self, now: Time, past: Span, site: usize, fresh: &[Tally]) -> Option<TransitionCause> {
        let mut elsewhere = Tally::default();
        let settled = |other: usize| self.courses.get(other).is_none_or(Course::takes);
        for (_, tally) in fresh.iter().enumerate().filter(|(other, _)| *other != site && settled(*other)) {
            elsewhere.add(tally);
        }
        let look = Look {
            past,
            elsewhere: &elsewhere,
            usual: self.seen[site].usual_time(),
            doubt: self.in_doubt(),
            another: self.courses.iter().filter(|course| course.state() == SiteHealth::Recovering).count()
                > 1,
            ramp: self.plan.sites[site].recovery_ramp,
        };
        match self.courses[site].ramp(now, &look) {
            Ramped::Holds => None,
            Ramped::Moved | Ramped::Healthy => Some(TransitionCause::RecoveryProgress),
            Ramped::Failed if !self.is_another_left(site) => None,
            Ramped::Failed => {
                self.courses[site].lose(now, SiteHealth::Lost);
                Some(TransitionCause::RecoveryFailed)
            }
        }
    }

    fn hosts_changed(&mut self, turn: &mut FailoverUpdate) {
        let withholds: Vec<_> = self.courses.iter().map(Course::withholds).collect();
        if !std::mem::take(&mut self.turned) && withholds == self.withholds {
            return;
        }
        let of_site = |(site, listed): (usize, &Listed)| match withholds.get(site) {
            Some((true, trial)) => {
                listed.ready.iter().copied().filter(|host| Some(*host) != *trial).collect()
            }
            _ => vec![],
        };
        let withheld: BTreeSet<HostId> = self.listed.iter().enumerate().flat_map(of_site).collect();
        turn.changed_hosts = self.withheld.symmetric_difference(&withheld).copied().collect();
        (self.withheld, self.withholds) = (withheld, withholds);
    }

    fn refuse(&mut self, past: Span, turn: &mut FailoverUpdate) {
        let whole = self.courses.iter().all(Course::is_calm);
        let before = rung_of(self.level.level());
        self.level.tick(past, &self.plan.shedding, whole);
        let level = self.level.level();
        turn.admission_fractions = self.level.keep(&self.plan.shedding);
        if rung_of(level) != before {
            let rung = rung_of(level).and_then(|rung| self.plan.shedding.tiers.get(rung));
            turn.transitions.push(Transition::Shedding { level, tier: rung.map(|rung| rung.name.clone()) });
        }
    }
}

impl Host {
    fn leave(&mut self, now: Time) {
        if self.state != HostState::Gone {
            self.state = HostState::Gone;
            self.gone = now;
        }
    }
}

fn cause_of(tested: Tested) -> TransitionCause {
    TransitionCause::Failures { evidence: tested.sum, threshold: tested.enough, baseline: tested.anyway }
}

/// The rung that is being shed at a level.
fn rung_of(level: f64) -> Option<usize> {
    (level > 0.0).then(|| libm::ceil(level) as usize - 1)
}
