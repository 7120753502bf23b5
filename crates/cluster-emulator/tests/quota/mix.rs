//! The operators' mix of customers through two minutes of a failing counter, against the same day with a
//! whole one, and what the advance statement of error says to it.

use crate::ledger::{Ledger, Tally};
use cluster_emulator::{run_virtual, VirtualOptions};
use cluster_model::scenario::{PlanSpec, Scenario};
use cluster_model::{file, Time, SECOND};
use invariants::{CustomerFigures, Verdict};
use quota::bound::{max_overshoot, Failure, Quota, OVERDRAFT_BURST_FRACTION, SAVED_BURST_FRACTION};
use std::collections::BTreeMap;

/// When the first request is due: two seconds after an epoch of the counter's names has begun.
pub const START: Time = 1_800_000_002 * SECOND;
/// For so many seconds the counter fails, from the thirtieth on.
pub const FAILS_S: f64 = 120.0;
/// For so many seconds a day lasts.
pub const DAY_S: f64 = 180.0;

/// The operators' site, but that nothing is sent on beyond the quotas on purpose. Its traffic is theirs: a
/// fifth of the customers use nearly all of their quotas, a tenth ask for up to 4.9 times theirs for long
/// spells, and 15 % for up to 7.9 times now and then.
pub const SITE: &str = "
site
  plan standard extra-worth 0 %, overrun-cost 60 %
traffic
  rate 130 requests/s
";

/// A way to fail, and what the advance statement takes it for.
pub struct Fault {
    pub name: &'static str,
    pub events: &'static str,
    failure: Taken,
}

/// What the statement takes a fault for.
#[derive(Clone, Copy)]
enum Taken {
    /// No gateway gets an answer in time.
    Dark,
    /// There are so many sides, each of which gets answers.
    Apart(u32),
    /// So often a counter comes that knows nothing.
    Replaced(u32),
}

pub const LOST: Fault = Fault::dark("lost", "at 30 s: counter lost for 120 s");
pub const FLAPPING: Fault = Fault::dark("flapping", "at 30 s: counter flapping every 700 ms for 120 s");
pub const SPLIT: Fault = Fault::apart("split 1 + 2", "at 30 s: counter split 1 | 2 3 for 120 s", 2);
pub const REPLACED: Fault = Fault {
    name: "replaced three times",
    events: "at 30 s: counter fresh\nat 70 s: counter fresh\nat 110 s: counter fresh",
    failure: Taken::Replaced(3),
};

impl Fault {
    /// No gateway gets an answer in time.
    pub const fn dark(name: &'static str, events: &'static str) -> Fault {
        Fault { name, events, failure: Taken::Dark }
    }

    /// There are so many sides.
    pub const fn apart(name: &'static str, events: &'static str, sides: u32) -> Fault {
        Fault { name, events, failure: Taken::Apart(sides) }
    }

    fn failure(&self, quota: &Quota) -> Failure {
        match self.failure {
            Taken::Dark => Failure::counter_unreachable(FAILS_S, quota),
            Taken::Apart(sides) => {
                Failure { duration_s: FAILS_S, partitions: sides, counter_answers: true, counter_resets: 0 }
            }
            Taken::Replaced(replaced) => {
                Failure { duration_s: 0.0, partitions: 1, counter_answers: true, counter_resets: replaced }
            }
        }
    }
}

/// A day of the mix.
pub struct Day {
    pub verdict: Verdict,
    pub ledger: Ledger,
}

fn scenario(events: &str) -> Scenario {
    let text = format!("scenario \"quotas\"\nlength {DAY_S} s\n{SITE}\n{events}\n");
    file::parse("quotas", &text).unwrap_or_else(|error| panic!("{error}"))
}

/// Plays one on which this happens; nothing: the calm one.
pub fn day(events: &str, seed: u64) -> Day {
    let scenario = scenario(events);
    let (ledger, trace) = Ledger::open(&scenario.site);
    let options = VirtualOptions { trace: Some(trace), ..VirtualOptions::default() };
    let played = run_virtual(&scenario, seed, options).expect("it can be played");
    assert_eq!(played.verdict.violations, []);
    assert_eq!(played.history.findings, []);
    let ledger = std::mem::take(&mut *ledger.lock().unwrap());
    Day { verdict: played.verdict, ledger }
}

/// How a customer fared on a failing day against the calm one.
#[derive(Clone, Copy, Debug)]
pub struct Fared {
    pub seed: u64,
    pub customer: u64,
    /// On the calm day it asked for no more than its quota, and hardly ever in vain.
    pub is_within: bool,
    /// Units that the statement allows, and those of them that are lent.
    pub bound: f64,
    pub lent: f64,
    /// What its quota allowed on that day.
    pub allowed: f64,
    /// Units passed on beyond rate times time and burst over the whole day.
    pub over_day: f64,
    /// The same over the span in which it was most.
    pub over_span: f64,
    /// Units passed on more than on the calm day.
    pub gain: f64,
    /// Units beyond what the judge's store held, step by step, more than on the calm day.
    pub steps: f64,
    /// Tries of two minutes, and those that were refused more than on the calm day.
    pub asked: f64,
    pub refused_more: f64,
    /// The longest time in which all tries were refused although there was room, in seconds.
    pub longest_s: f64,
    pub longest_calm_s: f64,
}

impl Fared {
    /// Who it is, and on which day.
    pub fn who(&self) -> String {
        format!("seed {}, {:x}", self.seed, self.customer)
    }

    /// Share of its quota that it was passed on more than on the calm day, beyond what the statement lends.
    pub fn gain_share(&self) -> f64 {
        (self.gain - self.lent) / self.allowed
    }
}

fn is_within(calm: &CustomerFigures) -> bool {
    calm.asked_units <= calm.allowed_units && calm.refused * 50 <= calm.asked
}

/// The quotas of the site's plans.
fn quotas() -> Vec<Quota> {
    let Scenario { site, traffic, .. } = scenario("");
    let most_units = f64::from(traffic.max_units);
    let quota = |plan: &PlanSpec| Quota {
        rate: plan.rate,
        burst: plan.burst,
        set_size: plan.spread,
        max_request_units: most_units,
    };
    site.plans.iter().map(quota).collect()
}

/// How all customers fared that asked on both days.
pub fn compare(seed: u64, fault: &Fault, calm: &Day, failing: &Day) -> Vec<Fared> {
    let quotas = quotas();
    let before: BTreeMap<u64, &CustomerFigures> =
        calm.verdict.customers.iter().map(|figures| (figures.customer, figures)).collect();
    let passed = |tally: &Tally| tally.passed(Time::MAX);
    let of = |day: &Day, customer, of: fn(&Tally) -> f64| day.ledger.tallies.get(&customer).map_or(0.0, of);
    let both = failing.verdict.customers.iter().filter_map(|now| Some((now, *before.get(&now.customer)?)));
    let fared = both.map(|(now, then)| {
        let quota = &quotas[now.plan as usize];
        let failure = fault.failure(quota);
        // Nobody in the mix asks for too much all day: each was known to keep within its quota at some time.
        let bound = max_overshoot(quota, &failure, true);
        let sides = f64::from(failure.partitions.clamp(1, quota.set_size));
        Fared {
            seed,
            customer: now.customer,
            is_within: is_within(then),
            bound,
            lent: quota.burst * (SAVED_BURST_FRACTION * (sides - 1.0) + OVERDRAFT_BURST_FRACTION * sides),
            allowed: now.allowed_units,
            over_day: now.passed_units - now.allowed_units,
            over_span: of(failing, now.customer, |tally| tally.deepest),
            gain: of(failing, now.customer, passed) - of(calm, now.customer, passed),
            steps: now.beyond_units - then.beyond_units,
            asked: now.asked as f64 * FAILS_S / DAY_S,
            refused_more: now.refused as f64 - then.refused as f64,
            longest_s: now.longest_refused_s,
            longest_calm_s: then.longest_refused_s,
        }
    });
    fared.collect()
}
