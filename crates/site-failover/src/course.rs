//! The course of a site: whole, lost, tried, returning. What is seen of it moves it on; spans keep it from swinging.

use std::collections::BTreeMap;

use policy::api::{HostId, RequestId, Span, Time};

use crate::verdict::{Tally, SECOND};

/// A site begins to return once in this span at most, twice as long after each return that failed, up to the longest;
/// whole for the longest, it is trusted as before.
const BETWEEN_RETURNS: Span = 60 * SECOND;
const LONGEST_BETWEEN: Span = 480 * SECOND;
/// Hosts that have to answer trials before a site returns, if it has so many.
const ANSWERS_TO_RETURN: usize = 2;
/// A trial that nobody answers is over after this.
const TRIAL: Span = SECOND;
/// A return waits for so long for discovery and the counter to be beyond doubt; then it goes on at half the pace.
const WAITS_FOR_DOUBT: Span = 30 * SECOND;
/// Share of its load that a returning site has, by step; the ramp is divided evenly among them.
const STEPS: [f64; 8] = [0.05, 0.1, 0.2, 0.35, 0.5, 0.65, 0.8, 0.9];
/// From this share on it gets requests that must not run twice.
const UNSAFE_FROM: f64 = 0.2;
/// Attempts at a returning site that a step is judged by; with fewer it lasts so many times longer.
const JUDGED_BY: f64 = 6.0;
const THIN_LASTS: Span = 4;
/// A step that is not as good as elsewhere, and does not turn bad, lasts so many times longer.
const WORSE_LASTS: Span = 16;
/// Steps are taken back one after the other at least so far apart: what was sent before has to come back first.
const BACK_EVERY: Span = 2 * SECOND;
/// How fast a step forgets what it has seen: hosts that warm up are judged by what they are now.
const REMEMBERED: Span = 5 * SECOND;
/// A step is as good as elsewhere if no more than this share fails beyond what fails elsewhere, and answers take no
/// longer than so many times what they take elsewhere; it is bad if twice that holds.
const FAILS_BEYOND: f64 = 0.05;
const LONGER_BY: f64 = 1.5;

/// What a gateway holds of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SiteHealth {
    /// It has all its load.
    Healthy,
    /// It answers, but takes much longer than is usual for it and than others do. Its load stays.
    Slow,
    /// Something speaks against it, not enough to act on. Its load stays.
    Suspect,
    /// It cannot be reached from here, and it is not known whether others reach it.
    Unreachable,
    /// It is gone: nothing goes there but trials.
    Lost,
    /// Trials are answered; its return waits for its time.
    Probing,
    /// It gets a share of its load, which grows.
    Recovering,
}

impl SiteHealth {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            SiteHealth::Healthy => "whole",
            SiteHealth::Slow => "slow",
            SiteHealth::Suspect => "doubtful",
            SiteHealth::Unreachable => "cut off from here",
            SiteHealth::Lost => "lost",
            SiteHealth::Probing => "tried",
            SiteHealth::Recovering => "returning",
        }
    }
}

/// One request sent to one host of a lost site.
#[derive(Clone, Debug)]
struct Trial {
    host: HostId,
    opened: Time,
    sent: Option<(Time, RequestId)>,
    /// Whether it was answered.
    ended: Option<bool>,
    /// Another follows in the same turn if this one is answered.
    first: bool,
}

/// How far a return has come.
#[derive(Clone, Debug, Default)]
struct Ramp {
    step: usize,
    /// Steps were taken back so often; after the first, steps last twice as long.
    back: u32,
    /// Time in this step, and what of it counts.
    age: Span,
    spent: Span,
    here: Tally,
    elsewhere: Tally,
    /// Since the last look.
    fresh: Tally,
    /// Hosts that were tried since it began, and whether they answered; and how many did.
    hosts: BTreeMap<HostId, bool>,
    alive: usize,
}

/// What a return looks at.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Look<'a> {
    pub past: Span,
    /// Since the last tick, at all sites that are not returning themselves.
    pub elsewhere: &'a Tally,
    /// Seconds that an answer of this site usually takes.
    pub usual: Option<f64>,
    /// Since when discovery is silent or the counter in doubt.
    pub doubt: Option<Time>,
    /// Another site returns as well.
    pub another: bool,
    pub ramp: Span,
}

/// How a step of a return looks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Good,
    /// Too little is seen of it.
    Thin,
    /// Not as good as elsewhere.
    Worse,
    Bad,
}

/// What a return wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ramped {
    /// Nothing new.
    Holds,
    /// Another share.
    Moved,
    /// It is done.
    Healthy,
    /// Even the least share went badly.
    Failed,
}

/// The course of one site.
#[derive(Clone, Debug)]
pub(crate) struct Course {
    state: SiteHealth,
    since: Time,
    withheld: bool,
    /// Its hosts' part of all, as of when it was last whole.
    part: f64,
    trial: Option<Trial>,
    turn_at: Time,
    next_host: usize,
    answered: BTreeMap<HostId, Time>,
    ramp: Option<Ramp>,
    /// When its last return began, and when the next one may.
    returned: Option<Time>,
    between: Span,
}

impl Course {
    pub fn new(now: Time) -> Course {
        Course {
            state: SiteHealth::Healthy,
            since: now,
            withheld: false,
            part: 0.0,
            trial: None,
            turn_at: 0,
            next_host: 0,
            answered: BTreeMap::new(),
            ramp: None,
            returned: None,
            between: BETWEEN_RETURNS,
        }
    }

    pub fn state(&self) -> SiteHealth {
        self.state
    }

    pub fn since(&self) -> Time {
        self.since
    }

    /// Whether its hosts are kept from new requests.
    pub fn is_withheld(&self) -> bool {
        self.withheld
    }

    /// Its hosts' part of all, 0 to 1.
    pub fn part(&self) -> f64 {
        self.part
    }

    /// Whether it is as good as any to take others' load.
    pub fn takes(&self) -> bool {
        !self.withheld && self.ramp.is_none()
    }

    /// Whether nothing is kept from it.
    pub fn is_plain(&self) -> bool {
        self.takes() && self.trial.is_none()
    }

    /// Whether its state is one that is none but a remark.
    pub fn is_calm(&self) -> bool {
        self.is_plain() && self.state != SiteHealth::Unreachable
    }

    /// The share of its load that it may have, 0 to 1.
    pub fn share(&self) -> f64 {
        match &self.ramp {
            Some(ramp) => STEPS[ramp.step],
            None if self.withheld => 0.0,
            None => 1.0,
        }
    }

    /// The host of it that takes a trial.
    pub fn trial_host(&self) -> Option<HostId> {
        self.trial.as_ref().map(|trial| trial.host)
    }

    /// Whether a request that drew this may go there. Of all requests its part times its share may: they go there at
    /// most, so that the share holds whoever likes idle hosts best.
    pub fn admits(&self, drawn: f64, effect_is_safe: bool) -> bool {
        if self.withheld {
            return false;
        }
        let Some(ramp) = &self.ramp else { return true };
        let share = STEPS[ramp.step];
        drawn < share * self.part * ramp.answering() && (effect_is_safe || share >= UNSAFE_FROM)
    }

    /// Whether this request is a trial, which it is for the first that may be sent.
    pub fn takes_trial(&mut self, now: Time, id: RequestId) -> bool {
        let Some(trial) = self.trial.as_mut().filter(|trial| trial.sent.is_none()) else { return false };
        trial.sent = Some((now, id));
        true
    }

    /// Whether its hosts are withheld, and which of them takes a trial nevertheless.
    pub fn withholds(&self) -> (bool, Option<HostId>) {
        (self.withheld, self.trial_host())
    }

    /// It stays withheld, without trials.
    pub fn hold(&mut self, now: Time) -> bool {
        self.trial = None;
        self.answered.clear();
        self.remark(now, SiteHealth::Lost)
    }

    pub fn is_trial_over(&self) -> bool {
        self.trial.as_ref().is_some_and(|trial| trial.ended.is_some())
    }

    pub fn set_part(&mut self, part: f64) {
        self.part = part;
    }

    /// A host of it has answered, or failed to.
    pub fn on_ended(&mut self, now: Time, host: HostId, answered: bool, took: Span) {
        if let Some(ramp) = &mut self.ramp {
            ramp.on_ended(host, answered, took);
        }
        if !self.withheld {
            return;
        }
        if answered {
            self.answered.insert(host, now);
        }
        if let Some(trial) = self.trial.as_mut().filter(|trial| trial.host == host && trial.sent.is_some()) {
            trial.ended = Some(answered);
        }
    }

    /// Another state, which leaves its load as it is.
    pub fn remark(&mut self, now: Time, state: SiteHealth) -> bool {
        let changed = self.state != state;
        if changed {
            self.state = state;
            self.since = now;
        }
        changed
    }

    /// It is lost, or cut off: nothing goes there.
    pub fn lose(&mut self, now: Time, state: SiteHealth) {
        if self.ramp.is_some() || self.returned.is_some_and(|at| now < at + self.between) {
            self.between = (2 * self.between).min(LONGEST_BETWEEN);
        }
        self.remark(now, state);
        self.withheld = true;
        self.ramp = None;
        self.trial = None;
        self.answered.clear();
    }

    /// It is whole at once, or everything is to be tried.
    pub fn release(&mut self, now: Time, state: SiteHealth) {
        self.remark(now, state);
        self.withheld = false;
        self.ramp = None;
        self.trial = None;
    }

    /// Trusts it as before once it has been whole for long.
    pub fn forgive(&mut self, now: Time) {
        if self.state == SiteHealth::Healthy && self.since + LONGEST_BETWEEN <= now {
            self.between = BETWEEN_RETURNS;
        }
    }

    /// Ends a trial that is over, and opens another if it is this gateway's turn.
    pub fn try_it(&mut self, now: Time, ready: &[HostId], turn: Span) {
        if let Some(trial) = &mut self.trial {
            if trial.sent.is_some_and(|(sent, _)| now >= sent + TRIAL) {
                trial.ended.get_or_insert(false);
            }
        }
        let over =
            self.trial.as_ref().is_some_and(|trial| trial.ended.is_some() || now >= trial.opened + turn);
        if self.trial.is_some() && !over {
            return;
        }
        let ended = self.trial.take();
        let another = ended.as_ref().is_some_and(|trial| trial.first && trial.ended == Some(true));
        if (another || now >= self.turn_at) && !ready.is_empty() {
            if !another {
                self.turn_at = turn_after(self.turn_at, now, turn);
            }
            self.next_host = (self.next_host + 1) % ready.len();
            let host = ready[self.next_host];
            self.trial = Some(Trial { host, opened: now, sent: None, ended: None, first: !another });
        }
    }

    /// Sets when this gateway's first turn is.
    pub fn set_turns(&mut self, first: Time) {
        self.turn_at = first;
    }

    /// Whether enough hosts have answered trials lately.
    pub fn is_answering(&mut self, now: Time, ready: usize, turn: Span) -> bool {
        let lately = now.saturating_sub((3 * turn).max(10 * SECOND));
        self.answered.retain(|_, at| *at >= lately);
        !self.answered.is_empty() && self.answered.len() >= ANSWERS_TO_RETURN.min(ready)
    }

    /// Whether it may begin to return: its last return is long past, and nothing is in doubt, or has been for long.
    pub fn may_return(&self, now: Time, doubt: Option<Time>) -> bool {
        self.returned.is_none_or(|at| now >= at + self.between)
            && doubt.is_none_or(|since| now >= since.max(self.since) + WAITS_FOR_DOUBT)
    }

    pub fn begin_return(&mut self, now: Time) {
        self.release(now, SiteHealth::Recovering);
        self.returned = Some(now);
        self.ramp = Some(Ramp::default());
    }

    /// Goes on with the return.
    pub fn ramp(&mut self, now: Time, look: &Look) -> Ramped {
        let Some(ramp) = &mut self.ramp else { return Ramped::Holds };
        let kept = libm::exp(-(look.past as f64) / REMEMBERED as f64);
        ramp.here.fade(kept);
        let fresh = std::mem::take(&mut ramp.fresh);
        ramp.here.add(&fresh);
        ramp.elsewhere.fade(kept);
        ramp.elsewhere.add(look.elsewhere);
        ramp.age += look.past;
        ramp.spent += match look.doubt {
            Some(since) if now < since.max(self.since) + WAITS_FOR_DOUBT => 0,
            Some(_) => look.past / 2,
            None if look.another => look.past / 2,
            None => look.past,
        };
        let ramped = ramp.judge(look);
        if ramped == Ramped::Healthy {
            self.release(now, SiteHealth::Healthy);
        }
        ramped
    }
}

impl Ramp {
    /// A host that has not answered since the return began is not back, which says nothing of those that are: only
    /// those that have answered are judged.
    fn on_ended(&mut self, host: HostId, answered: bool, took: Span) {
        let alive = self.hosts.entry(host).or_default();
        if answered {
            self.alive += usize::from(!*alive);
            *alive = true;
            self.fresh.answers += 1.0;
            self.fresh.took += took as f64 / SECOND as f64;
        } else if *alive {
            self.fresh.fails += 1.0;
        }
    }

    /// Share of the hosts that were tried that answered.
    fn answering(&self) -> f64 {
        if self.alive == 0 {
            return 1.0;
        }
        self.alive as f64 / self.hosts.len() as f64
    }

    fn judge(&mut self, look: &Look) -> Ramped {
        let step = self.step_is(look);
        if step == Step::Bad && self.age < BACK_EVERY {
            return Ramped::Holds;
        }
        if step == Step::Bad {
            if self.step == 0 && self.back > 0 {
                return Ramped::Failed;
            }
            self.back += 1;
            self.go(self.step.saturating_sub(1));
            return Ramped::Moved;
        }
        let lasts = (look.ramp / STEPS.len() as Span) * (1 + Span::from(self.back.min(1)));
        let lasts = match step {
            Step::Thin => THIN_LASTS * lasts,
            Step::Worse => WORSE_LASTS * lasts,
            Step::Good | Step::Bad => lasts,
        };
        if self.spent < lasts {
            return Ramped::Holds;
        }
        if self.step + 1 == STEPS.len() {
            return Ramped::Healthy;
        }
        self.go(self.step + 1);
        Ramped::Moved
    }

    fn go(&mut self, step: usize) {
        (self.step, self.age, self.spent) = (step, 0, 0);
        (self.here, self.elsewhere) = (Tally::default(), Tally::default());
    }

    fn step_is(&self, look: &Look) -> Step {
        let all = self.here.answers + self.here.fails;
        if all < JUDGED_BY {
            return Step::Thin;
        }
        let failing = self.here.failing().unwrap_or(0.0);
        let anyway = self.elsewhere.failing().unwrap_or(0.0);
        // What so few attempts may show by chance.
        let chance = 3.0 * libm::sqrt(anyway.max(FAILS_BEYOND) / all);
        let elsewhere = self.elsewhere.mean(JUDGED_BY).unwrap_or(0.0);
        let took = self.here.mean(1.0).unwrap_or(0.0);
        let well = elsewhere.max(look.usual.unwrap_or(elsewhere));
        let longer = if well > 0.0 { took / well / (1.0 + 1.0 / libm::sqrt(all)) } else { 1.0 };
        if failing > anyway + 2.0 * FAILS_BEYOND + chance || longer > 2.0 * LONGER_BY {
            return Step::Bad;
        }
        if failing > anyway + FAILS_BEYOND + chance || longer > LONGER_BY {
            return Step::Worse;
        }
        Step::Good
    }
}

/// The next of this gateway's turns after now.
fn turn_after(last: Time, now: Time, turn: Span) -> Time {
    last + turn * ((now.saturating_sub(last)) / turn + 1)
}
