//! The customers of a site.

use super::spells::Kind;
use crate::rng::Rng;
use crate::scenario::{PlanSpec, Site, Traffic};
use std::collections::BTreeSet;

/// Customers' numbers are below this.
const NUMBERS: u64 = 1 << 33;
/// Who asks for less than this share of its rate is no customer.
const LEAST_USE: f64 = 0.01;
/// Steps of this length round a circle fall evenly, wherever they stop.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

/// Someone who asks.
#[derive(Clone, Debug)]
pub(super) struct Customer {
    pub number: u64,
    pub plan: u32,
    pub kind: Kind,
    /// The first gateway of its set.
    pub first: u32,
    /// Gateways in its set.
    pub spread: u32,
    /// Requests a second outside spells.
    pub quiet: f64,
    /// Requests a second within spells.
    pub loud: f64,
}

/// What the customers of a plan ask for, on average over time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlanRates {
    /// How many there are.
    pub customers: u32,
    /// Units a second inside their quotas.
    pub within_quota: f64,
    /// Units a second beyond them.
    pub beyond_quota: f64,
}

/// A customer before all are known.
struct Draft {
    plan: usize,
    kind: Kind,
    /// Share of its rate that it asks for outside spells.
    calm: f64,
    /// Times its rate that it asks for within spells.
    times: f64,
}

impl Draft {
    /// Units a second inside the quota, as a share of its rate.
    fn inside(&self) -> f64 {
        let loud = self.loud_share();
        loud + (1.0 - loud) * self.calm
    }

    /// Share of the time in which it asks for more than its rate.
    fn loud_share(&self) -> f64 {
        if self.kind == Kind::Greedy {
            1.0
        } else {
            self.kind.loud_share()
        }
    }

    /// Units a second beyond the quota, as a share of its rate.
    fn beyond(&self) -> f64 {
        self.loud_share() * (self.times - 1.0)
    }
}

/// All customers, and what they ask for by plan.
pub(super) fn make(
    site: &Site,
    traffic: &Traffic,
    mean_units: f64,
    seed: u64,
) -> (Vec<Customer>, Vec<PlanRates>) {
    let shares: f64 = site.plans.iter().map(|plan| plan.share.max(0.0)).sum();
    let mut drafts = Vec::new();
    for (number, plan) in site.plans.iter().enumerate() {
        let wanted = traffic.rate * mean_units * plan.share.max(0.0) / shares;
        draft_plan(number, plan, traffic, wanted, seed, &mut drafts);
    }
    let mut rates = vec![PlanRates::default(); site.plans.len()];
    for draft in &drafts {
        let (sum, rate) = (&mut rates[draft.plan], site.plans[draft.plan].rate);
        sum.customers += 1;
        sum.within_quota += rate * draft.inside();
        sum.beyond_quota += rate * draft.beyond();
    }
    let excess = excess_kept(&rates, traffic.most_excess);
    rates.iter_mut().for_each(|sum| sum.beyond_quota *= excess);
    (finish(site, &drafts, excess, mean_units, seed), rates)
}

/// Share of what would be asked beyond quotas that the bound leaves.
fn excess_kept(rates: &[PlanRates], most: f64) -> f64 {
    let inside: f64 = rates.iter().map(|sum| sum.within_quota).sum();
    let beyond: f64 = rates.iter().map(|sum| sum.beyond_quota).sum();
    let most = most.max(0.0) * inside;
    if beyond > most {
        most / beyond
    } else {
        1.0
    }
}

/// Adds customers of a plan until they ask for `wanted` units a second inside their quotas; the last one makes
/// up what is missing.
fn draft_plan(
    number: usize,
    plan: &PlanSpec,
    traffic: &Traffic,
    wanted: f64,
    seed: u64,
    drafts: &mut Vec<Draft>,
) {
    if !(wanted > 0.0 && plan.rate > 0.0) {
        return;
    }
    let mut rng = Rng::stream(seed, "customers", number as u64);
    // Kinds are dealt out evenly, so that a small site has its heavy ones too.
    let mut place = rng.unit();
    let mut missing = wanted / plan.rate;
    while missing > 1e-9 {
        place = (place + GOLDEN) % 1.0;
        let mut draft = draft(number, kind_at(place, traffic), traffic, &mut rng);
        if draft.inside() > missing {
            draft = Draft { kind: Kind::Usual, calm: missing, times: 1.0, ..draft };
        }
        missing -= draft.inside();
        drafts.push(draft);
    }
}

fn kind_at(place: f64, traffic: &Traffic) -> Kind {
    let mut left = place;
    let shares = [
        (Kind::Heavy, traffic.heavy.0),
        (Kind::Spiky, traffic.spiky.0),
        (Kind::Full, traffic.full),
        (Kind::Greedy, traffic.greedy.0),
    ];
    for (kind, share) in shares {
        left -= share;
        if left < 0.0 {
            return kind;
        }
    }
    Kind::Usual
}

fn draft(plan: usize, kind: Kind, traffic: &Traffic, rng: &mut Rng) -> Draft {
    let (from, to) = if kind == Kind::Full { (0.9, 1.0) } else { traffic.calm_use };
    let calm = rng.between(from, to).clamp(LEAST_USE, 1.0);
    let most = match kind {
        Kind::Usual | Kind::Full => 1.0,
        Kind::Heavy => traffic.heavy.1.max(1.0),
        Kind::Spiky => traffic.spiky.1.max(1.0),
        Kind::Greedy => traffic.greedy.1.max(1.0),
    };
    // "Up to" so many times: the upper half, or the word would mean little.
    let times = if kind == Kind::Greedy { most } else { rng.between((1.0 + most) / 2.0, most) };
    Draft { plan, kind, calm, times }
}

/// Gives the customers their numbers and sets of gateways.
fn finish(site: &Site, drafts: &[Draft], excess: f64, mean_units: f64, seed: u64) -> Vec<Customer> {
    let mut rng = Rng::stream(seed, "numbers", 0);
    let mut taken = BTreeSet::new();
    let gateways = site.gateways.max(1);
    let number = |rng: &mut Rng, taken: &mut BTreeSet<u64>| loop {
        let number = rng.below(NUMBERS);
        if taken.insert(number) {
            return number;
        }
    };
    let finished = drafts.iter().map(|draft| {
        let plan = &site.plans[draft.plan];
        let rate = plan.rate / mean_units;
        let loud = rate * (1.0 + (draft.times - 1.0) * excess);
        Customer {
            number: number(&mut rng, &mut taken),
            plan: draft.plan as u32,
            kind: draft.kind,
            first: rng.below(u64::from(gateways)) as u32,
            spread: plan.spread.clamp(1, gateways),
            quiet: if draft.kind == Kind::Greedy { loud } else { rate * draft.calm },
            loud,
        }
    });
    finished.collect()
}
