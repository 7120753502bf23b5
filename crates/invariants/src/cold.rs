//! No cold host is pushed over by gateways that knew it to be cold.
//!
//! The rule is broken when a host falls and two thirds of the work that came to it in the window before were sent
//! by gateways that had been told of its start. The judge counts the work on its own, and notes it where a host
//! falls under less than it must bear, or bears more than it can. Between the two it takes the host's word: the
//! rule leaves "a little slack for chance" open.

use crate::breaches::{Log, Nth, Subject};
use crate::news::News;
use crate::{Rule, ALLOWANCE};
use cluster_model::scenario::{RulesSpec, Site};
use cluster_model::{Span, Time, MS, SECOND};
use std::collections::{BTreeMap, VecDeque};

/// Mean requests' worth of work that a host may bear beyond what it can, for chance.
const SLACK_REQUESTS: f64 = 3.0;
/// Starts are told in whole milliseconds.
const SAME_START: Span = MS;

/// Work that came to a cold host.
#[derive(Clone, Copy, Debug)]
struct Work {
    at: Time,
    work: Span,
    /// Its gateway knew of the start.
    knew: bool,
}

/// A host from a start to the next.
#[derive(Debug)]
struct Life {
    started: Time,
    /// Work a nanosecond when warm.
    full: f64,
    share: f64,
    warm: Time,
    /// The work of the last window, the oldest first, and its sum.
    recent: VecDeque<Work>,
    sum: u128,
    /// When it was first sent more than it can bear.
    too_much: Option<Time>,
    fell: bool,
}

impl Life {
    fn is_cold(&self, now: Time) -> bool {
        now < self.warm
    }

    /// Share of its full capacity that it has warmed up to.
    fn warmed(&self, at: Time) -> f64 {
        if at >= self.warm {
            return 1.0;
        }
        let span = (self.warm - self.started) as f64;
        self.share + (1.0 - self.share) * at.saturating_sub(self.started) as f64 / span
    }

    /// Work that it can do between two moments when nothing slows it: the area under two straight lines.
    fn can_do(&self, from: Time, to: Time) -> f64 {
        let area = |from: Time, to: Time| {
            (self.warmed(from) + self.warmed(to)) / 2.0 * to.saturating_sub(from) as f64
        };
        let bend = self.warm.clamp(from, to.max(from));
        self.full * (area(from, bend) + area(bend, to))
    }

    /// Where the window begins that ends now. Right after the start it reaches beyond now instead: a burst can
    /// use up the window's budget early.
    fn window_start(&self, now: Time, window: Span) -> Time {
        now.saturating_sub(window).max(self.started)
    }

    fn forget(&mut self, before: Time) {
        while let Some(old) = self.recent.front().filter(|work| work.at < before) {
            self.sum -= u128::from(old.work);
            self.recent.pop_front();
        }
    }

    fn add(&mut self, work: Work) {
        self.sum += u128::from(work.work);
        self.recent.push_back(work);
    }
}

/// How many times slower a host works, from when on.
#[derive(Debug, Default)]
struct Slowness(VecDeque<(Time, f64)>);

impl Slowness {
    fn set(&mut self, at: Time, times: f64) {
        self.0.push_back((at, if times > 0.0 { times } else { 1.0 }));
    }

    /// What counted no more before `before` is forgotten.
    fn forget(&mut self, before: Time) {
        while self.0.get(1).is_some_and(|(at, _)| *at <= before) {
            self.0.pop_front();
        }
    }

    /// Work that a host can do between two moments.
    fn can_do(&self, life: &Life, from: Time, to: Time) -> f64 {
        let mut sum = 0.0;
        let mut at = from;
        let mut times = 1.0;
        for (change, next) in self.0.iter().copied() {
            let until = change.clamp(at, to.max(at));
            sum += life.can_do(at, until) / times;
            at = until;
            times = next;
        }
        sum + life.can_do(at, to) / times
    }
}

#[derive(Debug)]
pub(crate) struct Cold {
    multiple: f64,
    window: Span,
    slack: f64,
    lives: BTreeMap<u32, Life>,
    slowness: BTreeMap<u32, Slowness>,
    /// Starts of a host, and how each came to a gateway.
    news: BTreeMap<(u32, u32), Vec<(Time, News)>>,
    /// Hosts that fell at an instant from which more work may be seen.
    falling: Vec<(Time, u32)>,
}

impl Cold {
    pub(crate) fn new(site: &Site) -> Cold {
        let RulesSpec { overload_factor: multiple, overload_span: window, .. } = site.rules;
        let shares: f64 = site.classes.iter().map(|class| class.share).sum();
        let work: f64 = site.classes.iter().map(|class| class.share * class.work as f64).sum();
        let slack = SLACK_REQUESTS * work / shares.max(f64::MIN_POSITIVE);
        let (lives, slowness, news) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Cold { multiple, window, slack, lives, slowness, news, falling: Vec::new() }
    }

    /// A host started: `full` nanoseconds of work a second when warm, at first `share` of that, warm after `cold`.
    pub(crate) fn started(
        &mut self,
        now: Time,
        host: u32,
        full: f64,
        (share, cold): (f64, Span),
        log: &mut Log,
    ) {
        let warm = if share < 1.0 { now.saturating_add(cold) } else { now };
        let life = Life {
            started: now,
            full: full / SECOND as f64,
            share,
            warm,
            recent: VecDeque::new(),
            sum: 0,
            too_much: None,
            fell: false,
        };
        if let Some(before) = self.lives.insert(host, life) {
            note_unfallen(host, &before, log);
        }
    }

    pub(crate) fn slowed(&mut self, now: Time, host: u32, times: f64) {
        self.slowness.entry(host).or_default().set(now, times);
    }

    pub(crate) fn told(&mut self, now: Time, gateway: u32, host: u32, started: Time) {
        if started > 0 {
            self.start(gateway, host, started).told(now);
        }
    }

    pub(crate) fn heard(&mut self, now: Time, gateway: u32, host: u32, started: Time) {
        if started > 0 {
            self.start(gateway, host, started).heard(now);
        }
    }

    fn start(&mut self, gateway: u32, host: u32, started: Time) -> &mut News {
        let starts = self.news.entry((gateway, host)).or_default();
        let known = starts.iter().position(|(known, _)| *known == started);
        let position = known.unwrap_or_else(|| {
            starts.push((started, News::default()));
            starts.len() - 1
        });
        &mut starts[position].1
    }

    /// A command has come whole to a host that was sent from `first_byte` on, by a gateway that runs since `up`.
    /// `told` says when it has heard what it should have heard at a time.
    pub(crate) fn received(
        &mut self,
        now: Time,
        host: u32,
        (gateway, up): (u32, Time),
        first_byte: Time,
        work: Span,
        told: &dyn Fn(Time) -> Time,
    ) {
        let Some(life) = self.lives.get_mut(&host).filter(|life| life.is_cold(now)) else { return };
        let starts = self.news.get(&(gateway, host)).map_or(&[][..], Vec::as_slice);
        let knew = starts.iter().any(|(started, news)| {
            let told = news.since(up).map(told).is_some_and(|at| at.saturating_add(ALLOWANCE) <= first_byte);
            told && started.abs_diff(life.started) <= SAME_START
        });
        life.forget(life.window_start(now, self.window));
        life.add(Work { at: now, work, knew });
        let most = self.multiple * life.full * life.warmed(now) * self.window as f64 + self.slack;
        if life.sum as f64 > most {
            life.too_much.get_or_insert(now);
        }
    }

    /// A host fell. What pushed it over may be written down after that, at the same instant.
    pub(crate) fn fell(&mut self, now: Time, host: u32) {
        self.falling.push((now, host));
    }

    /// Judges the falls before `now`.
    pub(crate) fn advance(&mut self, now: Time, log: &mut Log) {
        while let Some((at, host)) = self.falling.first().copied().filter(|(at, _)| *at < now) {
            self.falling.remove(0);
            self.judge(at, host, log);
        }
    }

    fn judge(&mut self, at: Time, host: u32, log: &mut Log) {
        let Some(life) = self.lives.get_mut(&host).filter(|life| life.is_cold(at)) else {
            log.note(|| format!("host {} fell, but was not cold", Nth(host)));
            return;
        };
        life.fell = true;
        let from = life.window_start(at, self.window);
        let slowness = self.slowness.entry(host).or_default();
        slowness.forget(from);
        // Right after the start the window reaches beyond now, and the host has to bear no more than its present
        // capacity stands for.
        let present = life.full * life.warmed(at) * self.window as f64;
        let must = self.multiple * slowness.can_do(life, from, from.saturating_add(self.window)).min(present);
        let window = life.recent.iter().filter(|work| (from..=at).contains(&work.at));
        let (all, knew) = window.fold((0_u128, 0_u128), |(all, knew), work| {
            let work_done = u128::from(work.work);
            (all + work_done, knew + if work.knew { work_done } else { 0 })
        });
        let against = format!("{} ms of work where it has to bear {:.0} ms", all / 1_000_000, must / 1e6);
        if (all as f64) < must {
            log.note(|| format!("host {} fell under {against}", Nth(host)));
        }
        if all > 0 && knew * 3 >= all * 2 {
            let part = knew * 100 / all;
            log.breach(at, Rule::SlowStart, Subject::Host(host), || {
                let host = Nth(host);
                format!("host {host} was pushed over while it was cold by {against}, {part} % of it from gateways \
                         that knew")
            });
        }
    }

    /// The run is over.
    pub(crate) fn finish(&mut self, log: &mut Log) {
        self.advance(Time::MAX, log);
        self.lives.iter().for_each(|(host, life)| note_unfallen(*host, life, log));
    }
}

fn note_unfallen(host: u32, life: &Life, log: &mut Log) {
    if let Some(at) = life.too_much.filter(|_| !life.fell) {
        let after = at.saturating_sub(life.started) / 1_000_000;
        let host = Nth(host);
        log.note(|| {
            format!("host {host} did not fall though it was sent too much {after} ms after its start")
        });
    }
}
