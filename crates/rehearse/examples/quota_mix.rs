//! The operators' mix of platforms through two minutes of a failing counter, against the same day with a whole
//! one. `cargo run --release -p fennelbeam-rehearse --example quota_mix [SEEDS]`

use fennelbeam_judge::{CustomerFigures, Verdict};
use fennelbeam_model::file;
use fennelbeam_model::scenario::Scenario;
use fennelbeam_rehearse::{play_virtual, VirtualOptions};
use std::collections::BTreeMap;

/// The operators' site, but that nothing is sent on beyond the quotas on purpose.
const SITE: &str = "
site
  plan standard extra-worth 0 %, overrun-cost 60 %
traffic
  rate 130 requests/s
";

const FAULTS: [(&str, &str); 8] = [
    ("lost", "at 30 s: counter lost for 120 s"),
    ("silent", "at 30 s: counter silent for 120 s"),
    ("slow, adding", "at 30 s: counter slow 80 ms to 500 ms for 120 s"),
    ("split 1 + 2", "at 30 s: counter split 1 | 2 3 for 120 s"),
    ("split 1 + 1 + 1", "at 30 s: counter split 1 | 2 | 3 for 120 s"),
    ("replaced three times", "at 30 s: counter fresh\nat 70 s: counter fresh\nat 110 s: counter fresh"),
    ("flapping", "at 30 s: counter flapping every 700 ms for 120 s"),
    (
        "lost, gateways killed",
        "at 30 s: counter lost for 120 s\nat 50 s: kill gateway 1 for 4 s\nat 80 s: kill gateway 2 for 4 s\n\
         at 110 s: kill gateway 3 for 4 s",
    ),
];

fn scenario(events: &str) -> Scenario {
    let text = format!("scenario \"quotas\"\nlength 180 s\n{SITE}\n{events}\n");
    file::parse("quota_mix", &text).unwrap_or_else(|error| panic!("{error}"))
}

fn play(events: &str, seed: u64) -> Verdict {
    let played = play_virtual(&scenario(events), seed, VirtualOptions::default()).expect("it can be played");
    assert!(played.verdict.breaches.is_empty(), "{:?}", played.verdict.breaches);
    played.verdict
}

/// What a fault cost, over all platforms of all seeds.
#[derive(Default)]
struct Cost {
    /// Units beyond the quota more than with a whole counter, as a share of the quota, of the platforms that ask
    /// for more than theirs: most, and on average.
    greedy: Vec<f64>,
    /// The same in bursts.
    bursts: Vec<f64>,
    /// Share of the tries of the others that was refused more than then, in percent.
    refused: Vec<f64>,
    /// The longest time that one of them was refused on end while it had units, in seconds.
    longest: f64,
    worth: Vec<f64>,
    calls: Vec<f64>,
}

fn is_within(calm: &CustomerFigures) -> bool {
    calm.asked_units <= calm.allowed_units && calm.refused * 50 <= calm.asked
}

fn cost(events: &str, seeds: u64) -> Cost {
    let mut cost = Cost::default();
    let bursts: Vec<f64> = scenario("").site.plans.iter().map(|plan| plan.burst).collect();
    for seed in 1..=seeds {
        let (calm, failing) = (play("", seed), play(events, seed));
        let before: BTreeMap<u64, &CustomerFigures> =
            calm.customers.iter().map(|c| (c.customer, c)).collect();
        let (mut tries, mut more) = (0.0, 0.0);
        for now in &failing.customers {
            let Some(then) = before.get(&now.customer) else { continue };
            let beyond = now.beyond_units - then.beyond_units;
            cost.bursts.push(beyond / bursts[now.plan as usize]);
            if is_within(then) {
                tries += now.asked as f64;
                more += now.refused as f64 - then.refused as f64;
                cost.longest = cost.longest.max(now.longest_refused_s);
            } else {
                cost.greedy.push(100.0 * beyond / now.allowed_units);
            }
        }
        cost.refused.push(100.0 * more / tries.max(1.0));
        cost.worth.push(failing.worth - calm.worth);
        cost.calls.push(failing.counter_calls_per_request);
    }
    cost
}

fn mean(list: &[f64]) -> f64 {
    list.iter().sum::<f64>() / list.len().max(1) as f64
}

fn most(list: &[f64]) -> f64 {
    list.iter().copied().fold(f64::MIN, f64::max)
}

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(5);
    println!(
        "{:<22} {:>15} {:>17} {:>18} {:>9} {:>8} {:>6}",
        "two minutes of",
        "beyond, bursts",
        "greedy beyond, %",
        "others refused, %",
        "longest s",
        "worth",
        "calls"
    );
    for (name, events) in FAULTS {
        let c = cost(events, seeds);
        println!(
            "{name:<22} {:>7.2} {:>7.2} {:>8.1} {:>8.1} {:>9.2} {:>8.2} {:>9.1} {:>+8.3} {:>6.2}",
            mean(&c.bursts),
            most(&c.bursts),
            mean(&c.greedy),
            most(&c.greedy),
            mean(&c.refused),
            most(&c.refused),
            c.longest,
            mean(&c.worth),
            mean(&c.calls)
        );
    }
}
