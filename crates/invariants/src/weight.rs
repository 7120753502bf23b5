//! The weighted share of the site: the weight served within the latency objectives divided by the weight offered
//! inside the quotas.
//!
//! An operation counts once, with all its retries, and its latency starts at the first request. Its weight is the
//! priority weight of its class times the weight factor of its plan times its units: the actual units where a response
//! reported them, otherwise those that the request names.

use crate::{Cause, CauseFigures, Counts};
use cluster_model::observation::HostOutcome;
use cluster_model::scenario::{ClassSpec, PlanSpec, Site};
use cluster_model::{Time, SECOND};
use std::collections::BTreeMap;

/// Weights of the entire run, the worst 10 s and the worst plan in the score.
const SCORE_WEIGHTS: [f64; 3] = [0.55, 0.20, 0.25];
/// Length of a window in seconds.
const WINDOW_S: usize = 10;
/// Windows in which less than this share of the mean window's weight was offered are ignored as not significant.
const MIN_OFFERED_SHARE: f64 = 0.2;
/// Cost of a request that was held for over half of its timeout and never forwarded, as a share of its weight.
const HOLD_COST: f64 = 0.3;

/// State of an operation after its last request so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A request is open.
    Open,
    Rejected,
    /// Failed, or the response was cut off.
    Failed,
    /// The client disconnected.
    ClientLeft,
}

/// The first successful response to an operation.
#[derive(Clone, Copy, Debug)]
struct Served {
    at: Time,
    /// The request was inside the quota.
    inside: bool,
}

/// A client's first request and its retries.
#[derive(Clone, Debug)]
pub(crate) struct Operation {
    started: Time,
    class: usize,
    plan: usize,
    units: f64,
    settled: bool,
    /// An ideal single gateway that received all first requests would have admitted it.
    admitted: bool,
    served: Option<Served>,
    outcome: Outcome,
    /// Requests forwarded beyond the quota, and requests held for too long.
    beyond_quota: u16,
    held: u16,
    /// Attempts received completely by hosts, attempts that ended there, and whether any was executed without a
    /// successful response.
    attempts: u16,
    ended: u16,
    response_lost: bool,
}

/// All operations, in the order of their first requests.
#[derive(Debug)]
pub(crate) struct OperationWeights {
    classes: Vec<ClassSpec>,
    plans: Vec<PlanSpec>,
    start: Time,
    operations: Vec<Operation>,
}

/// The weighted shares, and the score computed from them.
#[derive(Debug)]
pub(crate) struct Shares {
    pub(crate) total: f64,
    pub(crate) worst_10s: f64,
    pub(crate) worst_plan: f64,
    pub(crate) score: f64,
    /// Shares by plan.
    pub(crate) plans: Vec<f64>,
}

/// Weight offered and weight earned.
#[derive(Clone, Copy, Debug, Default)]
struct WeightSum {
    offered: f64,
    earned: f64,
}

impl WeightSum {
    fn add(&mut self, other: WeightSum) {
        self.offered += other.offered;
        self.earned += other.earned;
    }

    /// Returns the share earned, at most 1; also 1 if nothing was offered.
    fn share(&self) -> f64 {
        if self.offered <= 0.0 {
            return 1.0;
        }
        (self.earned / self.offered).min(1.0)
    }
}

impl OperationWeights {
    pub(crate) fn new(site: &Site, start: Time) -> OperationWeights {
        OperationWeights {
            classes: site.classes.clone(),
            plans: site.plans.clone(),
            start,
            operations: Vec::new(),
        }
    }

    /// Adds an operation that starts with its first request, and returns its index.
    pub(crate) fn start_operation(
        &mut self,
        started: Time,
        class: usize,
        plan: usize,
        units: f64,
        admitted: bool,
    ) -> usize {
        self.operations.push(Operation {
            started,
            class,
            plan,
            units,
            settled: false,
            admitted,
            served: None,
            outcome: Outcome::Open,
            beyond_quota: 0,
            held: 0,
            attempts: 0,
            ended: 0,
            response_lost: false,
        });
        self.operations.len() - 1
    }

    pub(crate) fn retried(&mut self, operation: usize) {
        self.operations[operation].outcome = Outcome::Open;
    }

    /// Handles a successful response that reports the actual units. Returns the difference to the units named, and
    /// whether the ideal single gateway admitted the operation; only for the first such response.
    pub(crate) fn settle(&mut self, operation: usize, units: f64) -> Option<(f64, bool)> {
        let operation = &mut self.operations[operation];
        if operation.settled {
            return None;
        }
        operation.settled = true;
        let more = units - operation.units;
        operation.units = units;
        Some((more, operation.admitted))
    }

    /// Counts an attempt that a host has received completely.
    pub(crate) fn attempt_received(&mut self, operation: usize) {
        let attempts = &mut self.operations[operation].attempts;
        *attempts = attempts.saturating_add(1);
    }

    /// Counts an attempt that has ended at its host.
    pub(crate) fn attempt_ended(&mut self, operation: usize, outcome: HostOutcome) {
        let operation = &mut self.operations[operation];
        operation.ended = operation.ended.saturating_add(1);
        operation.response_lost |= matches!(outcome, HostOutcome::Failed | HostOutcome::Undelivered);
    }

    /// Counts a request that was forwarded beyond the quota.
    pub(crate) fn forwarded_beyond_quota(&mut self, operation: usize) {
        let beyond_quota = &mut self.operations[operation].beyond_quota;
        *beyond_quota = beyond_quota.saturating_add(1);
    }

    /// Counts a request that was held for too long.
    pub(crate) fn held(&mut self, operation: usize) {
        let held = &mut self.operations[operation].held;
        *held = held.saturating_add(1);
    }

    /// Handles a served request. Returns whether it was served within the latency objective.
    pub(crate) fn served(&mut self, operation: usize, at: Time, inside: bool) -> bool {
        let operation = &mut self.operations[operation];
        operation.served.get_or_insert(Served { at, inside });
        at.saturating_sub(operation.started) <= self.classes[operation.class].latency_objective
    }

    /// Handles a request that ended without being served.
    pub(crate) fn unserved(&mut self, operation: usize, outcome: Outcome) {
        self.operations[operation].outcome = outcome;
    }

    fn weight(&self, operation: &Operation) -> f64 {
        self.classes[operation.class].priority_weight
            * self.plans[operation.plan].weight_factor
            * operation.units
    }

    /// Returns the share of its weight that an operation earned by the time when it was served.
    fn timeliness_share(&self, operation: &Operation) -> f64 {
        let class = &self.classes[operation.class];
        let Some(served) = &operation.served else { return 0.0 };
        match served.at.saturating_sub(operation.started) {
            after if after <= class.latency_objective => 1.0,
            after if after <= class.deadline => class.late_weight_share,
            _ => 0.0,
        }
    }

    fn weight_sum(&self, operation: &Operation) -> WeightSum {
        let (plan, weight) = (&self.plans[operation.plan], self.weight(operation));
        let quota_share = |inside: bool| if inside { 1.0 } else { plan.over_quota_weight_share };
        let served = operation
            .served
            .as_ref()
            .map_or(0.0, |served| self.timeliness_share(operation) * quota_share(served.inside));
        let costs =
            f64::from(operation.beyond_quota) * plan.over_quota_cost + f64::from(operation.held) * HOLD_COST;
        WeightSum { offered: weight * quota_share(operation.admitted), earned: weight * (served - costs) }
    }

    /// Returns why an operation earned less than its full weight.
    fn cause(&self, operation: &Operation) -> Cause {
        match (&operation.served, operation.outcome) {
            (Some(_), _) if self.timeliness_share(operation) >= 1.0 => Cause::OverQuotaCost,
            (Some(_), _) if operation.attempts > 1 => Cause::LateAfterRetry,
            (Some(_), _) => Cause::Late,
            (None, Outcome::ClientLeft) if operation.attempts == 0 => Cause::ClientGone,
            (None, _) if operation.response_lost => Cause::ResponseLost,
            (None, _) if operation.attempts > operation.ended => Cause::StillRunning,
            (None, _) if operation.attempts > 0 => Cause::Rejected,
            (None, Outcome::Rejected) if !operation.admitted => Cause::BeyondQuota,
            (None, Outcome::Rejected) => Cause::Unsent,
            (None, _) => Cause::ClientGone,
        }
    }

    /// Returns the weight lost by cause, the largest share first. The shares add up to the difference between the
    /// weighted share and 1.
    pub(crate) fn causes(&self) -> Vec<CauseFigures> {
        let mut offered = 0.0;
        let mut sums: BTreeMap<Cause, (u64, f64)> = BTreeMap::new();
        for operation in &self.operations {
            let (sum, weight) = (self.weight_sum(operation), self.weight(operation));
            offered += sum.offered;
            let over_quota_cost =
                weight * f64::from(operation.beyond_quota) * self.plans[operation.plan].over_quota_cost;
            let held_cost = weight * f64::from(operation.held) * HOLD_COST;
            let rest = sum.offered - sum.earned - over_quota_cost - held_cost;
            for (cause, lost) in [
                (self.cause(operation), rest),
                (Cause::OverQuotaCost, over_quota_cost),
                (Cause::HeldUnsent, held_cost),
            ] {
                if lost != 0.0 {
                    let (operations, all) = sums.entry(cause).or_default();
                    (*operations, *all) = (*operations + 1, *all + lost);
                }
            }
        }
        let part = |(cause, (operations, lost))| CauseFigures {
            cause,
            operations,
            share: lost / f64::max(offered, 1e-9),
        };
        let mut causes: Vec<CauseFigures> = sums.into_iter().map(part).collect();
        causes.sort_by(|a, b| b.share.total_cmp(&a.share));
        causes
    }

    /// Returns the weight offered and earned inside the quota.
    fn weight_inside_quota(&self, operation: &Operation) -> WeightSum {
        let weight = self.weight(operation);
        let offered = if operation.admitted { weight } else { 0.0 };
        let inside = operation.served.as_ref().is_some_and(|served| served.inside);
        WeightSum { offered, earned: if inside { weight * self.timeliness_share(operation) } else { 0.0 } }
    }

    pub(crate) fn shares(&self) -> Shares {
        let mut all = WeightSum::default();
        let mut seconds: Vec<WeightSum> = Vec::new();
        let mut plans = vec![WeightSum::default(); self.plans.len()];
        for operation in &self.operations {
            let (sum, inside) = (self.weight_sum(operation), self.weight_inside_quota(operation));
            let second = (operation.started.saturating_sub(self.start) / SECOND) as usize;
            if seconds.len() <= second {
                seconds.resize(second + 1, WeightSum::default());
            }
            all.add(sum);
            seconds[second].add(sum);
            plans[operation.plan].add(inside);
        }
        let (total, worst_10s) = (all.share(), worst_window(&seconds, all.offered));
        let plans: Vec<f64> = plans.iter().map(WeightSum::share).collect();
        let worst_plan = plans.iter().copied().fold(1.0, f64::min);
        let score = SCORE_WEIGHTS[0] * total + SCORE_WEIGHTS[1] * worst_10s + SCORE_WEIGHTS[2] * worst_plan;
        Shares { total, worst_10s, worst_plan, score, plans }
    }

    /// Returns the counts of all operations, in total, by class and by plan.
    pub(crate) fn counts(&self) -> (Counts, Vec<Counts>, Vec<Counts>) {
        let mut all = Counts::default();
        let mut classes = vec![Counts::default(); self.classes.len()];
        let mut plans = vec![Counts::default(); self.plans.len()];
        for operation in &self.operations {
            let objective = self.classes[operation.class].latency_objective;
            for counts in [&mut all, &mut classes[operation.class], &mut plans[operation.plan]] {
                counts.asked += 1;
                match (&operation.served, operation.outcome) {
                    (Some(served), _) => {
                        counts.served += 1;
                        counts.within_objective +=
                            u64::from(served.at.saturating_sub(operation.started) <= objective);
                    }
                    (None, Outcome::Rejected) => counts.refused += 1,
                    (None, Outcome::ClientLeft) => counts.left += 1,
                    (None, Outcome::Open | Outcome::Failed) => counts.failed += 1,
                }
            }
        }
        (all, classes, plans)
    }
}

/// Returns the share of the worst window, by the arrival of first requests. A run shorter than a window counts as one
/// window.
fn worst_window(seconds: &[WeightSum], offered: f64) -> f64 {
    let length = WINDOW_S.min(seconds.len()).max(1);
    let mean = offered * length as f64 / seconds.len().max(1) as f64;
    let sums = seconds.windows(length).map(|window| {
        let mut sum = WeightSum::default();
        window.iter().for_each(|second| sum.add(*second));
        sum
    });
    sums.filter(|sum| sum.offered >= MIN_OFFERED_SHARE * mean).map(|sum| sum.share()).fold(1.0, f64::min)
}
