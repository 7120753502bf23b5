//! What a day costs as the fleet grows: one line for each number of gateways.
//!
//!     cargo run --release -p cluster-emulator --example fleet_curve
//!     cargo run --release -p cluster-emulator --example fleet_curve -- herd-fleet 60 300
//!
//! The first word is a shipped scenario, `calm-fleet` if there is none; numbers are of gateways, by default
//! 3, 30, 60, 150 and 300. Seed 1. Each size is played on a thread of its own. With the word `ample` the
//! counter takes all calls there could be: what the gateways would ask of it.

use anyhow::{bail, Context, Result};
use cluster_emulator::{run_virtual, RunOutcome, VirtualOptions};
use cluster_model::file;
use cluster_model::scenario::{CounterSpec, Scenario};
use std::time::Instant;

const SEED: u64 = 1;
const SIZES: [u32; 5] = [3, 30, 60, 150, 300];
const HEADS: [&str; 15] = [
    "gateways",
    "tries/s",
    "counter calls/s",
    "a gateway",
    "turned away",
    "unanswered",
    "only reading",
    "beyond quotas",
    "refused with room",
    "first attempt p50, p99",
    "connections/s",
    "open at most",
    "worth",
    "rules broken",
    "wall",
];

fn main() -> Result<()> {
    let mut words: Vec<String> = std::env::args().skip(1).collect();
    let ample = words.iter().position(|word| word == "ample").map(|at| words.remove(at)).is_some();
    let named = words.first().is_some_and(|word| word.parse::<u32>().is_err());
    let name = if named { words.remove(0) } else { "calm-fleet".into() };
    let sizes = words.iter().map(|word| word.parse::<u32>().with_context(|| format!("not a number: {word}")));
    let sizes = sizes.collect::<Result<Vec<u32>>>()?;
    let sizes = if sizes.is_empty() { SIZES.to_vec() } else { sizes };
    let Some(text) = file::find(&name) else { bail!("no shipped scenario is called {name}") };
    let mut scenario = file::parse(&name, text)?;
    if ample {
        scenario.site.counter = CounterSpec { shards: 100, calls_per_s: 1e6, ..CounterSpec::default() };
    }
    println!("{name}, seed {SEED}{}", if ample { ", an ample counter" } else { "" });
    println!();
    println!("| {} |", HEADS.join(" | "));
    println!("|{}", " ---: |".repeat(HEADS.len()));
    for (gateways, (played, wall_s)) in sizes.iter().zip(play_all(&scenario, &sizes)) {
        println!("{}", row(*gateways, &played?, wall_s));
    }
    Ok(())
}

fn play_all(scenario: &Scenario, sizes: &[u32]) -> Vec<(Result<RunOutcome>, f64)> {
    let play = |gateways: u32| {
        let begun = Instant::now();
        let sized = scenario.clone().with_gateways(gateways);
        let played = run_virtual(&sized, SEED, VirtualOptions::default());
        (played, begun.elapsed().as_secs_f64())
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = sizes.iter().map(|gateways| scope.spawn(move || play(*gateways))).collect();
        let joined = |thread: std::thread::ScopedJoinHandle<'_, _>| match thread.join() {
            Ok(played) => played,
            Err(panic) => std::panic::resume_unwind(panic),
        };
        threads.into_iter().map(joined).collect()
    })
}

fn row(gateways: u32, played: &RunOutcome, wall_s: f64) -> String {
    let (verdict, fleet) = (&played.verdict, &played.verdict.fleet);
    let seconds = verdict.timeline.iter().rposition(|second| second.offered > 0).map_or(1, |last| last + 1);
    let percent = |share: f64| format!("{:.1} %", 100.0 * share);
    let cells = [
        gateways.to_string(),
        format!("{:.0}", played.requests as f64 / seconds as f64),
        format!("{:.0}", fleet.counter_calls_per_s),
        format!("{:.2}", fleet.counter_calls_per_s / f64::from(gateways)),
        percent(fleet.counter_rejected),
        percent(fleet.counter_unanswered),
        percent(fleet.counter_read_only),
        percent(fleet.beyond_quota),
        percent(fleet.rejected_with_quota),
        format!("{:.1}, {:.0} ms", fleet.first_attempt_p50_ms, fleet.first_attempt_p99_ms),
        format!("{:.1}", fleet.connections_per_s),
        fleet.peak_open_connections.to_string(),
        format!("{:.3}", verdict.weighted_score),
        (verdict.violations.len() + played.errors.len()).to_string(),
        format!("{wall_s:.1} s"),
    ];
    format!("| {} |", cells.join(" | "))
}
