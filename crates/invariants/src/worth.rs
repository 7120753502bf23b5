//! What the site was worth: the worth served within the aims over the worth asked for inside the quotas.
//!
//! A thing asked for counts once, with all its tries, and its time runs from the first one. Its worth is that of
//! its class times its plan's price times its units: the true ones where an answer told them, else those that it
//! names.

use crate::{Cause, CauseFigures, Counts};
use cluster_model::observation::HostOutcome;
use cluster_model::scenario::{ClassSpec, PlanSpec, Site};
use cluster_model::{Time, SECOND};
use std::collections::BTreeMap;

/// Weights of the whole run, the worst 10 s and the worst plan.
const WEIGHTS: [f64; 3] = [0.55, 0.20, 0.25];
/// Seconds of a window.
const WINDOW: usize = 10;
/// Windows with less than this part of what is asked for in a mean one tell nothing.
const TOO_LITTLE: f64 = 0.2;
/// A try that was held for over half of its time, and ended without having been sent on, costs this part of its
/// worth.
const HELD_COST: f64 = 0.3;

/// How a thing stands after its last try so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A try is open.
    Open,
    /// Refused.
    Refused,
    /// Failed, or broken off.
    Failed,
    /// The client left.
    Left,
}

/// The first good answer to a thing.
#[derive(Clone, Copy, Debug)]
struct Served {
    at: Time,
    /// The try was inside the quota.
    inside: bool,
}

/// A thing asked for.
#[derive(Clone, Debug)]
pub(crate) struct Thing {
    asked: Time,
    class: usize,
    plan: usize,
    units: f64,
    settled: bool,
    /// One gateway that saw all first tries would have let it in.
    let_in: bool,
    served: Option<Served>,
    outcome: Outcome,
    /// Tries sent on beyond the quota, and tries held for too long.
    beyond: u16,
    held: u16,
    /// Attempts that came whole to hosts, those that ended there, and whether any ran without a good answer.
    attempts: u16,
    ended: u16,
    unheard: bool,
}

/// All things asked for, in the order of their first tries.
#[derive(Debug)]
pub(crate) struct Worth {
    classes: Vec<ClassSpec>,
    plans: Vec<PlanSpec>,
    start: Time,
    things: Vec<Thing>,
}

/// The figures.
#[derive(Debug)]
pub(crate) struct Shares {
    pub(crate) whole: f64,
    pub(crate) worst_10s: f64,
    pub(crate) worst_plan: f64,
    pub(crate) figure: f64,
    /// By plan.
    pub(crate) plans: Vec<f64>,
}

/// Worth asked for, and worth earned.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    offered: f64,
    earned: f64,
}

impl Sum {
    fn add(&mut self, other: Sum) {
        self.offered += other.offered;
        self.earned += other.earned;
    }

    /// At most 1; also 1 where nothing was asked for.
    fn share(&self) -> f64 {
        if self.offered <= 0.0 {
            return 1.0;
        }
        (self.earned / self.offered).min(1.0)
    }
}

impl Worth {
    pub(crate) fn new(site: &Site, start: Time) -> Worth {
        Worth { classes: site.classes.clone(), plans: site.plans.clone(), start, things: Vec::new() }
    }

    /// A thing is asked for the first time; its position.
    pub(crate) fn asked(
        &mut self,
        asked: Time,
        class: usize,
        plan: usize,
        units: f64,
        let_in: bool,
    ) -> usize {
        self.things.push(Thing {
            asked,
            class,
            plan,
            units,
            settled: false,
            let_in,
            served: None,
            outcome: Outcome::Open,
            beyond: 0,
            held: 0,
            attempts: 0,
            ended: 0,
            unheard: false,
        });
        self.things.len() - 1
    }

    pub(crate) fn asked_again(&mut self, thing: usize) {
        self.things[thing].outcome = Outcome::Open;
    }

    /// A good answer told the true units. By how many more, and whether the one gateway let it in; once.
    pub(crate) fn settle(&mut self, thing: usize, units: f64) -> Option<(f64, bool)> {
        let thing = &mut self.things[thing];
        if thing.settled {
            return None;
        }
        thing.settled = true;
        let more = units - thing.units;
        thing.units = units;
        Some((more, thing.let_in))
    }

    /// An attempt came whole to a host.
    pub(crate) fn received(&mut self, thing: usize) {
        let attempts = &mut self.things[thing].attempts;
        *attempts = attempts.saturating_add(1);
    }

    /// An attempt has ended there.
    pub(crate) fn dealt(&mut self, thing: usize, dealt: HostOutcome) {
        let thing = &mut self.things[thing];
        thing.ended = thing.ended.saturating_add(1);
        thing.unheard |= matches!(dealt, HostOutcome::Failed | HostOutcome::Undelivered);
    }

    /// A try was sent on beyond the quota.
    pub(crate) fn sent_beyond(&mut self, thing: usize) {
        let beyond = &mut self.things[thing].beyond;
        *beyond = beyond.saturating_add(1);
    }

    /// A try was held for too long.
    pub(crate) fn held(&mut self, thing: usize) {
        let held = &mut self.things[thing].held;
        *held = held.saturating_add(1);
    }

    /// A try was served. True: within the aim.
    pub(crate) fn served(&mut self, thing: usize, at: Time, inside: bool) -> bool {
        let thing = &mut self.things[thing];
        thing.served.get_or_insert(Served { at, inside });
        at.saturating_sub(thing.asked) <= self.classes[thing.class].latency_objective
    }

    /// A try ended in another way.
    pub(crate) fn unserved(&mut self, thing: usize, outcome: Outcome) {
        self.things[thing].outcome = outcome;
    }

    fn worth(&self, thing: &Thing) -> f64 {
        self.classes[thing.class].priority_weight * self.plans[thing.plan].weight_factor * thing.units
    }

    /// Share of its worth that a thing earned by when it was served.
    fn in_time(&self, thing: &Thing) -> f64 {
        let class = &self.classes[thing.class];
        let Some(served) = &thing.served else { return 0.0 };
        match served.at.saturating_sub(thing.asked) {
            after if after <= class.latency_objective => 1.0,
            after if after <= class.deadline => class.late_weight_share,
            _ => 0.0,
        }
    }

    fn whole(&self, thing: &Thing) -> Sum {
        let (plan, worth) = (&self.plans[thing.plan], self.worth(thing));
        let extra = |inside: bool| if inside { 1.0 } else { plan.over_quota_weight_share };
        let served = thing.served.as_ref().map_or(0.0, |served| self.in_time(thing) * extra(served.inside));
        let costs = f64::from(thing.beyond) * plan.over_quota_cost + f64::from(thing.held) * HELD_COST;
        Sum { offered: worth * extra(thing.let_in), earned: worth * (served - costs) }
    }

    /// Why a thing earned less than it might have.
    fn cause(&self, thing: &Thing) -> Cause {
        match (&thing.served, thing.outcome) {
            (Some(_), _) if self.in_time(thing) >= 1.0 => Cause::OverQuotaCost,
            (Some(_), _) if thing.attempts > 1 => Cause::LateAfterRetry,
            (Some(_), _) => Cause::Late,
            (None, Outcome::Left) if thing.attempts == 0 => Cause::ClientGone,
            (None, _) if thing.unheard => Cause::ResponseLost,
            (None, _) if thing.attempts > thing.ended => Cause::StillRunning,
            (None, _) if thing.attempts > 0 => Cause::Rejected,
            (None, Outcome::Refused) if !thing.let_in => Cause::BeyondQuota,
            (None, Outcome::Refused) => Cause::Unsent,
            (None, _) => Cause::ClientGone,
        }
    }

    /// Worth lost by cause, the greatest part first; it adds up to what is missing from the whole.
    pub(crate) fn causes(&self) -> Vec<CauseFigures> {
        let mut offered = 0.0;
        let mut sums: BTreeMap<Cause, (u64, f64)> = BTreeMap::new();
        for thing in &self.things {
            let (sum, worth) = (self.whole(thing), self.worth(thing));
            offered += sum.offered;
            let overrun = worth * f64::from(thing.beyond) * self.plans[thing.plan].over_quota_cost;
            let held = worth * f64::from(thing.held) * HELD_COST;
            let rest = sum.offered - sum.earned - overrun - held;
            for (cause, lost) in
                [(self.cause(thing), rest), (Cause::OverQuotaCost, overrun), (Cause::HeldUnsent, held)]
            {
                if lost != 0.0 {
                    let (things, all) = sums.entry(cause).or_default();
                    (*things, *all) = (*things + 1, *all + lost);
                }
            }
        }
        let part = |(cause, (things, lost))| CauseFigures {
            cause,
            operations: things,
            share: lost / f64::max(offered, 1e-9),
        };
        let mut causes: Vec<CauseFigures> = sums.into_iter().map(part).collect();
        causes.sort_by(|a, b| b.share.total_cmp(&a.share));
        causes
    }

    fn inside(&self, thing: &Thing) -> Sum {
        let worth = self.worth(thing);
        let offered = if thing.let_in { worth } else { 0.0 };
        let inside = thing.served.as_ref().is_some_and(|served| served.inside);
        Sum { offered, earned: if inside { worth * self.in_time(thing) } else { 0.0 } }
    }

    pub(crate) fn shares(&self) -> Shares {
        let mut all = Sum::default();
        let mut seconds: Vec<Sum> = Vec::new();
        let mut plans = vec![Sum::default(); self.plans.len()];
        for thing in &self.things {
            let (sum, inside) = (self.whole(thing), self.inside(thing));
            let second = (thing.asked.saturating_sub(self.start) / SECOND) as usize;
            if seconds.len() <= second {
                seconds.resize(second + 1, Sum::default());
            }
            all.add(sum);
            seconds[second].add(sum);
            plans[thing.plan].add(inside);
        }
        let (whole, worst_10s) = (all.share(), worst_window(&seconds, all.offered));
        let plans: Vec<f64> = plans.iter().map(Sum::share).collect();
        let worst_plan = plans.iter().copied().fold(1.0, f64::min);
        let figure = WEIGHTS[0] * whole + WEIGHTS[1] * worst_10s + WEIGHTS[2] * worst_plan;
        Shares { whole, worst_10s, worst_plan, figure, plans }
    }

    /// Counts of all things, by class and by plan.
    pub(crate) fn counts(&self) -> (Counts, Vec<Counts>, Vec<Counts>) {
        let mut all = Counts::default();
        let mut classes = vec![Counts::default(); self.classes.len()];
        let mut plans = vec![Counts::default(); self.plans.len()];
        for thing in &self.things {
            let aim = self.classes[thing.class].latency_objective;
            for counts in [&mut all, &mut classes[thing.class], &mut plans[thing.plan]] {
                counts.asked += 1;
                match (&thing.served, thing.outcome) {
                    (Some(served), _) => {
                        counts.served += 1;
                        counts.within_objective += u64::from(served.at.saturating_sub(thing.asked) <= aim);
                    }
                    (None, Outcome::Refused) => counts.refused += 1,
                    (None, Outcome::Left) => counts.left += 1,
                    (None, Outcome::Open | Outcome::Failed) => counts.failed += 1,
                }
            }
        }
        (all, classes, plans)
    }
}

/// The worst window, by the arrival of first tries. A shorter run is one window.
fn worst_window(seconds: &[Sum], offered: f64) -> f64 {
    let length = WINDOW.min(seconds.len()).max(1);
    let mean = offered * length as f64 / seconds.len().max(1) as f64;
    let sums = seconds.windows(length).map(|window| {
        let mut sum = Sum::default();
        window.iter().for_each(|second| sum.add(*second));
        sum
    });
    sums.filter(|sum| sum.offered >= TOO_LITTLE * mean).map(|sum| sum.share()).fold(1.0, f64::min)
}
