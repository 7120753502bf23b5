//! Is a site gone? A sequential test over how attempts end at its hosts.
//!
//! Any answer shows that the site lives, and ends the run of failures. Each failure of a run adds the logarithm of how
//! much likelier it is if the site is gone than if it is not. How likely a failure is anyway, is the most of a stated
//! least share, of what is usual at this site, of what failed here just before, and of what another site that answers
//! shows now: a trouble that meets all sites condemns none, nor does one that this site has been answering through. What one host adds is bounded, so that no host condemns a site by itself.

use std::collections::BTreeMap;

use policy::api::{HostId, Span, Time};

use crate::time::{in_seconds, MILLISECOND};

/// Share of attempts that fail at a site that is gone; not all, as some are withdrawn and counted otherwise.
const FAILS_IF_GONE: f64 = 0.98;
/// Share of attempts that is taken to fail at a site that is well, however well it has been so far.
const FAILS_IF_WELL: f64 = 0.1;
/// Where so many fail at the other sites as well, they tell nothing of this one.
const TELLS_NOTHING: f64 = 0.5;
/// False alarms an hour and site that one gateway's test allows itself, if failures come one by one.
pub(crate) const FALSE_ALARMS_AN_HOUR: f64 = 1e-7;
/// The least rate, in attempts a second, that the threshold is worked out for.
const LEAST_RATE: f64 = 0.05;
/// A run of failures that is shorter may be a moment's trouble on the way.
const LEAST_RUN: Span = 250 * MILLISECOND;
/// So many hosts have to fail, if a site has that many.
const HOSTS_THAT_TELL: usize = 4;
/// How fast what is seen now, and what is usual, are forgotten, in seconds.
const NOW: f64 = 2.0;
const USUAL: f64 = 300.0;
/// An attempt that was withdrawn after so many times the usual counts as failed.
const LONG: f64 = 4.0;
/// So many attempts are looked back at to tell how many failed shortly before a run of failures.
const LATELY: f64 = 32.0;
/// Answers before the usual is known.
const ENOUGH: f64 = 20.0;

/// How attempts ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Tally {
    pub answers: f64,
    pub fails: f64,
    /// Seconds that the answers took together.
    pub took: f64,
}

impl Tally {
    /// Share of the attempts that failed; nothing where there were none to speak of.
    pub fn failing(&self) -> Option<f64> {
        let all = self.answers + self.fails;
        (all > 0.1).then(|| self.fails / all)
    }

    /// Seconds that an answer took in the mean; nothing where there were too few.
    pub fn mean(&self, least: f64) -> Option<f64> {
        (self.answers >= least).then(|| self.took / self.answers)
    }

    pub fn fade(&mut self, by: f64) {
        self.answers *= by;
        self.fails *= by;
        self.took *= by;
    }

    pub fn add(&mut self, other: &Tally) {
        self.answers += other.answers;
        self.fails += other.fails;
        self.took += other.took;
    }
}

/// What has been seen of a site.
#[derive(Clone, Debug, Default)]
pub(crate) struct Seen {
    /// Since the last tick.
    fresh: Tally,
    /// Over the last seconds.
    pub now: Tally,
    /// Over the last minutes, without the times at which nothing was answered.
    pub usual: Tally,
    /// Attempts a second, over the last minutes, and for how many seconds there has been a look at them.
    pub rate: f64,
    looked: f64,
    /// When an attempt was last answered.
    pub answered: Option<Time>,
    /// Share of the last attempts that failed, up to the last answer.
    lately: f64,
    /// When the run of failures began, and failures by host in it.
    run: Option<Time>,
    failed: BTreeMap<HostId, u32>,
}

/// What the test says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Tested {
    /// What speaks for *gone*, and how much is enough.
    pub sum: f64,
    pub enough: f64,
    /// How likely a failure is anyway.
    pub anyway: f64,
}

impl Tested {
    pub fn is_gone(&self) -> bool {
        self.sum >= self.enough - 1e-9
    }

    pub fn is_doubtful(&self) -> bool {
        self.sum >= self.enough / 2.0
    }
}

impl Seen {
    pub fn on_answer(&mut self, now: Time, took: Span) {
        self.fresh.answers += 1.0;
        self.fresh.took += in_seconds(took);
        self.answered = Some(now);
        // A run that ends with an answer was no loss: so many fail here anyway.
        for _ in 0..self.failures().0.min(LATELY as u32) {
            self.lately += (1.0 - self.lately) / LATELY;
        }
        self.lately -= self.lately / LATELY;
        self.forget_run();
    }

    pub fn on_failure(&mut self, now: Time, host: HostId) {
        self.fresh.fails += 1.0;
        self.run.get_or_insert(now);
        *self.failed.entry(host).or_default() += 1;
    }

    /// Whether an attempt that was withdrawn after this span counts as failed.
    pub fn is_long(&self, took: Span) -> bool {
        self.usual_time().is_some_and(|usual| in_seconds(took) > LONG * usual)
    }

    /// Seconds that its answers usually take, if that is known.
    pub fn usual_time(&self) -> Option<f64> {
        self.usual.mean(ENOUGH)
    }

    pub fn forget_run(&mut self) {
        self.run = None;
        self.failed.clear();
    }

    /// Failures of the run, and how many hosts they were at.
    pub fn failures(&self) -> (u32, usize) {
        (self.failed.values().sum(), self.failed.len())
    }

    pub fn in_run(&self) -> bool {
        self.run.is_some()
    }

    /// Takes in what came since the last tick.
    pub fn tick(&mut self, past: Span) -> Tally {
        let seconds = in_seconds(past);
        let fresh = std::mem::take(&mut self.fresh);
        self.now.fade(libm::exp(-seconds / NOW));
        self.now.add(&fresh);
        let kept = libm::exp(-seconds / USUAL);
        let came = fresh.answers + fresh.fails;
        if fresh.answers > 0.0 {
            self.usual.fade(kept);
            self.usual.add(&fresh);
        }
        // Until minutes have passed the mean so far counts, not a mean with a beginning at zero.
        self.looked += seconds;
        self.rate +=
            (came / seconds.max(1e-3) - self.rate) * (1.0 - kept).max(seconds / self.looked.max(1e-3));
        fresh
    }

    /// Whether the site has answered lately enough to show that a run of failures elsewhere is not the fault of the
    /// way that all share.
    fn is_witness(&self, now: Time, run: Time) -> bool {
        let lately = run + (now - run) / 2;
        self.answered.is_some_and(|answered| answered >= lately)
            && self.now.failing().unwrap_or(0.0) < TELLS_NOTHING
    }

    /// The test, with the other sites' part in it. `None`: nothing speaks against the site, or nobody can tell.
    pub fn tested<'a>(
        &self,
        now: Time,
        ready: usize,
        others: impl Iterator<Item = &'a Seen>,
    ) -> Option<Tested> {
        let run = self.run.filter(|run| now >= run + LEAST_RUN)?;
        let elsewhere = others
            .filter(|other| other.is_witness(now, run))
            .map(|other| other.now.failing().unwrap_or(0.0))
            .min_by(f64::total_cmp)?;
        let usual = self.usual.failing().unwrap_or(0.0);
        Some(self.summed(ready, FAILS_IF_WELL.max(usual).max(self.lately).max(elsewhere)))
    }

    /// The test without other sites: whether this gateway reaches the site at all.
    pub fn unreached(&self, now: Time, ready: usize) -> bool {
        self.run.is_some_and(|run| now >= run + LEAST_RUN) && self.summed(ready, FAILS_IF_WELL).is_gone()
    }

    fn summed(&self, ready: usize, anyway: f64) -> Tested {
        let weight = libm::log(FAILS_IF_GONE / anyway).max(0.0);
        let tests_an_hour = self.rate.max(LEAST_RATE) * 3_600.0;
        let enough = libm::log(tests_an_hour / FALSE_ALARMS_AN_HOUR);
        let most = enough / ready.clamp(1, HOSTS_THAT_TELL) as f64;
        let sum = self.failed.values().map(|fails| (f64::from(*fails) * weight).min(most)).sum();
        Tested { sum, enough, anyway }
    }
}
