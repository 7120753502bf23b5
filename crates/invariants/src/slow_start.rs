//! Checks that no host that is warming up is overloaded by gateways that knew that it was warming up.
//!
//! The rule is violated when a host crashes from overload and gateways that had been notified of its start sent two
//! thirds of the work that the host received in the preceding window. The checker accounts the work itself, and
//! records an inconsistency where a host crashes under less work than it must sustain, or survives more than it can.
//! Between these limits the checker relies on the host: the rule leaves "a little slack for chance" unspecified.

use crate::notification::Notification;
use crate::violations::{OneBased, Subject, ViolationLog};
use crate::{Rule, SOCKET_TOLERANCE};
use cluster_model::scenario::{RulesSpec, Site};
use cluster_model::{Span, Time, MS, SECOND};
use std::collections::{BTreeMap, VecDeque};

/// Work that a host may survive beyond its capacity because of random variation, in mean requests.
const SLACK_REQUESTS: f64 = 3.0;
/// Start times are reported in whole milliseconds.
const START_TIME_PRECISION: Span = MS;

/// Work received by a host that is warming up.
#[derive(Clone, Copy, Debug)]
struct Work {
    at: Time,
    work: Span,
    /// The gateway that sent the work had been notified of the start.
    gateway_knew: bool,
}

/// A host from one start to the next.
#[derive(Debug)]
struct Incarnation {
    started: Time,
    /// Work per nanosecond at full capacity.
    full_capacity: f64,
    initial_share: f64,
    warm_at: Time,
    /// The work of the last window, the oldest first, and the sum of that work.
    recent: VecDeque<Work>,
    sum: u128,
    /// The first time when the host received more work than it can sustain.
    overloaded_at: Option<Time>,
    crashed: bool,
}

impl Incarnation {
    fn is_warming_up(&self, now: Time) -> bool {
        now < self.warm_at
    }

    /// Returns the share of its full capacity that the host has reached.
    fn warm_share(&self, at: Time) -> f64 {
        if at >= self.warm_at {
            return 1.0;
        }
        let span = (self.warm_at - self.started) as f64;
        self.initial_share + (1.0 - self.initial_share) * at.saturating_sub(self.started) as f64 / span
    }

    /// Returns the work that the host can do between two times when it is not slowed: the area under the linear
    /// warm-up and the constant full capacity after it.
    fn capacity_between(&self, from: Time, to: Time) -> f64 {
        let area = |from: Time, to: Time| {
            (self.warm_share(from) + self.warm_share(to)) / 2.0 * to.saturating_sub(from) as f64
        };
        let bend = self.warm_at.clamp(from, to.max(from));
        self.full_capacity * (area(from, bend) + area(bend, to))
    }

    /// Returns the start of the window that ends now. Shortly after the start of the host the window begins at the
    /// start and extends beyond now, because a burst can use up the work allowed for the window early.
    fn window_start(&self, now: Time, window: Span) -> Time {
        now.saturating_sub(window).max(self.started)
    }

    fn discard_before(&mut self, before: Time) {
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

/// The factors by which a host is slowed, each with the time from which it applies.
#[derive(Debug, Default)]
struct Slowdowns(VecDeque<(Time, f64)>);

impl Slowdowns {
    fn set(&mut self, at: Time, factor: f64) {
        self.0.push_back((at, if factor > 0.0 { factor } else { 1.0 }));
    }

    /// Discards factors that were replaced before `before`.
    fn discard_before(&mut self, before: Time) {
        while self.0.get(1).is_some_and(|(at, _)| *at <= before) {
            self.0.pop_front();
        }
    }

    /// Returns the work that a host can do between two times.
    fn capacity_between(&self, incarnation: &Incarnation, from: Time, to: Time) -> f64 {
        let mut sum = 0.0;
        let mut at = from;
        let mut factor = 1.0;
        for (change, next) in self.0.iter().copied() {
            let until = change.clamp(at, to.max(at));
            sum += incarnation.capacity_between(at, until) / factor;
            at = until;
            factor = next;
        }
        sum + incarnation.capacity_between(at, to) / factor
    }
}

#[derive(Debug)]
pub(crate) struct SlowStart {
    overload_factor: f64,
    window: Span,
    slack: f64,
    incarnations: BTreeMap<u32, Incarnation>,
    slowdowns: BTreeMap<u32, Slowdowns>,
    /// Start times of a host and their delivery to a gateway, keyed by gateway and host.
    notifications: BTreeMap<(u32, u32), Vec<(Time, Notification)>>,
    /// Hosts that crashed at a time for which further work may still be observed.
    pending_crashes: Vec<(Time, u32)>,
}

impl SlowStart {
    pub(crate) fn new(site: &Site) -> SlowStart {
        let RulesSpec { overload_factor, overload_span: window, .. } = site.rules;
        let shares: f64 = site.classes.iter().map(|class| class.share).sum();
        let work: f64 = site.classes.iter().map(|class| class.share * class.work as f64).sum();
        let slack = SLACK_REQUESTS * work / shares.max(f64::MIN_POSITIVE);
        let (incarnations, slowdowns, notifications) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        SlowStart {
            overload_factor,
            window,
            slack,
            incarnations,
            slowdowns,
            notifications,
            pending_crashes: Vec::new(),
        }
    }

    /// Handles the start of a host that does `full_capacity` nanoseconds of work a second when warm, begins with
    /// `initial_share` of that, and is warm after `warm_up`.
    pub(crate) fn host_started(
        &mut self,
        now: Time,
        host: u32,
        full_capacity: f64,
        (initial_share, warm_up): (f64, Span),
        log: &mut ViolationLog,
    ) {
        let warm_at = if initial_share < 1.0 { now.saturating_add(warm_up) } else { now };
        let incarnation = Incarnation {
            started: now,
            full_capacity: full_capacity / SECOND as f64,
            initial_share,
            warm_at,
            recent: VecDeque::new(),
            sum: 0,
            overloaded_at: None,
            crashed: false,
        };
        if let Some(previous) = self.incarnations.insert(host, incarnation) {
            note_missing_crash(host, &previous, log);
        }
    }

    pub(crate) fn host_slowed(&mut self, now: Time, host: u32, factor: f64) {
        self.slowdowns.entry(host).or_default().set(now, factor);
    }

    pub(crate) fn gateway_notified(&mut self, now: Time, gateway: u32, host: u32, started: Time) {
        if started > 0 {
            self.notification(gateway, host, started).gateway_notified(now);
        }
    }

    pub(crate) fn agent_notified(&mut self, now: Time, gateway: u32, host: u32, started: Time) {
        if started > 0 {
            self.notification(gateway, host, started).agent_notified(now);
        }
    }

    fn notification(&mut self, gateway: u32, host: u32, started: Time) -> &mut Notification {
        let starts = self.notifications.entry((gateway, host)).or_default();
        let known = starts.iter().position(|(known, _)| *known == started);
        let position = known.unwrap_or_else(|| {
            starts.push((started, Notification::default()));
            starts.len() - 1
        });
        &mut starts[position].1
    }

    /// Handles a command that a host has received completely. The first byte was sent at `first_byte`, by a gateway
    /// that has run since `up`. `after_gaps` maps the time from which the gateway would be considered notified to
    /// the time after any observability gap.
    pub(crate) fn attempt_received(
        &mut self,
        now: Time,
        host: u32,
        (gateway, up): (u32, Time),
        first_byte: Time,
        work: Span,
        after_gaps: &dyn Fn(Time) -> Time,
    ) {
        let Some(incarnation) =
            self.incarnations.get_mut(&host).filter(|incarnation| incarnation.is_warming_up(now))
        else {
            return;
        };
        let starts = self.notifications.get(&(gateway, host)).map_or(&[][..], Vec::as_slice);
        let gateway_knew = starts.iter().any(|(started, notification)| {
            let notified = notification
                .notified_at(up)
                .map(after_gaps)
                .is_some_and(|at| at.saturating_add(SOCKET_TOLERANCE) <= first_byte);
            notified && started.abs_diff(incarnation.started) <= START_TIME_PRECISION
        });
        incarnation.discard_before(incarnation.window_start(now, self.window));
        incarnation.add(Work { at: now, work, gateway_knew });
        let max = self.overload_factor
            * incarnation.full_capacity
            * incarnation.warm_share(now)
            * self.window as f64
            + self.slack;
        if incarnation.sum as f64 > max {
            incarnation.overloaded_at.get_or_insert(now);
        }
    }

    /// Handles a host that crashed from overload. The work that overloaded it may be recorded later with the same
    /// timestamp.
    pub(crate) fn host_crashed(&mut self, now: Time, host: u32) {
        self.pending_crashes.push((now, host));
    }

    /// Checks the crashes before `now`.
    pub(crate) fn advance(&mut self, now: Time, log: &mut ViolationLog) {
        while let Some((at, host)) = self.pending_crashes.first().copied().filter(|(at, _)| *at < now) {
            self.pending_crashes.remove(0);
            self.check_crash(at, host, log);
        }
    }

    fn check_crash(&mut self, at: Time, host: u32, log: &mut ViolationLog) {
        let Some(incarnation) =
            self.incarnations.get_mut(&host).filter(|incarnation| incarnation.is_warming_up(at))
        else {
            log.note(|| format!("host {} crashed from overload, but was not warming up", OneBased(host)));
            return;
        };
        incarnation.crashed = true;
        let from = incarnation.window_start(at, self.window);
        let slowdowns = self.slowdowns.entry(host).or_default();
        slowdowns.discard_before(from);
        // Shortly after the start the window extends beyond now, and the host has to sustain no more than its
        // present capacity over the length of a window.
        let present = incarnation.full_capacity * incarnation.warm_share(at) * self.window as f64;
        let must_sustain = self.overload_factor
            * slowdowns.capacity_between(incarnation, from, from.saturating_add(self.window)).min(present);
        let window = incarnation.recent.iter().filter(|work| (from..=at).contains(&work.at));
        let (all, known) = window.fold((0_u128, 0_u128), |(all, known), work| {
            let work_done = u128::from(work.work);
            (all + work_done, known + if work.gateway_knew { work_done } else { 0 })
        });
        let load =
            format!("{} ms of work where it has to sustain {:.0} ms", all / 1_000_000, must_sustain / 1e6);
        if (all as f64) < must_sustain {
            log.note(|| format!("host {} crashed under {load}", OneBased(host)));
        }
        if all > 0 && known * 3 >= all * 2 {
            let part = known * 100 / all;
            log.violation(at, Rule::SlowStart, Subject::Host(host), || {
                let host = OneBased(host);
                format!("host {host} was overloaded while warming up by {load}, {part} % of it from gateways that \
                         knew")
            });
        }
    }

    /// Checks the remaining crashes at the end of the run.
    pub(crate) fn finish(&mut self, log: &mut ViolationLog) {
        self.advance(Time::MAX, log);
        self.incarnations.iter().for_each(|(host, incarnation)| note_missing_crash(*host, incarnation, log));
    }
}

fn note_missing_crash(host: u32, incarnation: &Incarnation, log: &mut ViolationLog) {
    if let Some(at) = incarnation.overloaded_at.filter(|_| !incarnation.crashed) {
        let after = at.saturating_sub(incarnation.started) / 1_000_000;
        let host = OneBased(host);
        log.note(|| {
            format!("host {host} did not crash although it was overloaded {after} ms after its start")
        });
    }
}
