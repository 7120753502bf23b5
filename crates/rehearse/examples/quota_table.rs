//! How far one platform that asks five times its quota gets beyond it, for each way in which the shared counter
//! or the gateways may fail. `cargo run --release -p fennelbeam-rehearse --example quota_table [SEEDS]`

use fennelbeam_model::file;
use fennelbeam_model::scenario::Scenario;
use fennelbeam_rehearse::{play_virtual, VirtualOptions};

/// One platform of 25 units a second and a burst of 46, through three gateways; hosts that never bind.
const SITE: &str = "
site
  gateways 3
  hosts 12
  only plans platform
  plan platform share 100 %, rate 25 units/s, burst 46 units, spread 3 gateways, price 1.6, overrun-cost 60 %
traffic
  rate 10.21 requests/s
  full 0 %, heavy 0 % x 1, spiky 0 % x 1, most-excess 1000 %
";

struct Row {
    name: &'static str,
    length_s: u32,
    traffic: &'static str,
    events: &'static str,
}

const GREEDY: &str = "greedy 100 % x 5";

fn rows() -> Vec<Row> {
    let row = |name, events| Row { name, length_s: 20, traffic: GREEDY, events };
    vec![
        row("whole", ""),
        row("lost for 20 s", "at 0 s: counter lost for 20 s"),
        row("silent for 20 s", "at 0 s: counter silent for 20 s"),
        row("refusing for 20 s", "at 0 s: counter full for 20 s"),
        row("lost from 5 s", "at 5 s: counter lost for 15 s"),
        row("fresh once", "at 10 s: counter fresh"),
        row(
            "fresh every 3 s",
            "at 3 s: counter fresh\nat 6 s: counter fresh\nat 9 s: counter fresh\nat 12 s: counter fresh\n\
             at 15 s: counter fresh\nat 18 s: counter fresh",
        ),
        row("slow for 12 s, then well", "at 2 s: counter slow 80 ms to 500 ms for 12 s"),
        row("mute for 12 s, then well", "at 2 s: counter mute for 12 s"),
        row("split three ways", "at 0 s: counter split 1 | 2 | 3 for 20 s"),
        row("split three ways from 5 s", "at 5 s: counter split 1 | 2 | 3 for 15 s"),
        row("split 1 + 2 from 5 s", "at 5 s: counter split 1 | 2 3 for 15 s"),
        row("flapping every 700 ms", "at 0 s: counter flapping every 700 ms for 20 s"),
        row(
            "whole, gateways killed",
            "at 4 s: kill gateway 1 for 2 s\nat 8 s: kill gateway 2 for 2 s\nat 12 s: kill gateway 3 for 2 s\n\
             at 16 s: kill gateway 1 for 2 s",
        ),
        row(
            "lost, gateways killed",
            "at 0 s: counter lost for 20 s\nat 4 s: kill gateway 1 for 2 s\nat 8 s: kill gateway 2 for 2 s\n\
             at 12 s: kill gateway 3 for 2 s\nat 16 s: kill gateway 1 for 2 s",
        ),
        Row {
            name: "lost, all through one gateway",
            length_s: 20,
            traffic: "greedy 100 % x 5, skew 10, shift 60 s",
            events: "at 0 s: counter lost for 20 s",
        },
        Row {
            name: "lost from 10 s, all through one",
            length_s: 30,
            traffic: "greedy 100 % x 5, skew 10, shift 60 s",
            events: "at 10 s: counter lost for 20 s",
        },
    ]
}

fn scenario(row: &Row) -> Scenario {
    let text = format!(
        "scenario \"{}\"\nlength {} s\n{SITE}  {}\n{}\n",
        row.name, row.length_s, row.traffic, row.events
    );
    file::parse(row.name, &text).unwrap_or_else(|error| panic!("{error}"))
}

/// Share beyond (above 0) or below (under 0) what the quota allows, in percent.
fn beyond(scenario: &Scenario, seed: u64) -> f64 {
    let played = play_virtual(scenario, seed, VirtualOptions::default()).expect("it can be played");
    assert!(played.verdict.breaches.is_empty(), "{:?}", played.verdict.breaches);
    let passed: f64 = played.verdict.customers.iter().map(|customer| customer.passed_units).sum();
    let allowed: f64 = played.verdict.customers.iter().map(|customer| customer.allowed_units).sum();
    (passed / allowed - 1.0) * 100.0
}

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(30);
    println!("{:<34} {:>8} {:>8} {:>8}", "counter", "least", "median", "most");
    for row in rows() {
        let scenario = scenario(&row);
        let mut found: Vec<f64> = (1..=seeds).map(|seed| beyond(&scenario, seed)).collect();
        found.sort_by(f64::total_cmp);
        let median = found[found.len() / 2];
        println!("{:<34} {:>7.1}% {median:>7.1}% {:>7.1}%", row.name, found[0], found[found.len() - 1]);
    }
}
