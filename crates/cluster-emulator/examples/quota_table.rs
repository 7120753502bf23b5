//! How far one customer that asks five times its quota gets beyond it, for each way in which the shared
//! counter or the gateways may fail, and beside it what the advance statement of error allows.
//!
//! `cargo run --release -p cluster-emulator --example quota_table [SEEDS [THREADS]]` in virtual time;
//! `... --example quota_table SEEDS PROGRAM` on real sockets, with this gateway, one run after the other.

#[path = "../tests/quota/many.rs"]
mod many;
#[path = "../tests/quota/table.rs"]
mod table;

use cluster_emulator::{run_real, run_virtual, RealOptions, VirtualOptions};
use cluster_model::scenario::Scenario;
use invariants::Verdict;
use std::path::{Path, PathBuf};
use table::{rows, scenario, shares};

/// Where rows are played.
enum Stage {
    Virtual { threads: usize },
    Real { program: PathBuf },
}

fn play(scenario: &Scenario, seed: u64, program: Option<&Path>) -> Verdict {
    let played = match program {
        None => run_virtual(scenario, seed, VirtualOptions::default()),
        Some(program) => {
            let options = RealOptions {
                program: program.to_owned(),
                launcher: None,
                links: false,
                replay: None,
                logs: None,
                operators: None,
                gateway_override: None,
                progress: None,
            };
            run_real(scenario, seed, options)
        }
    };
    let played = played.expect("it can be played");
    for breach in &played.verdict.violations {
        eprintln!("{}, seed {seed}: {}", scenario.name, breach.text);
    }
    played.verdict
}

fn main() {
    let mut words = std::env::args().skip(1);
    let seeds: u64 = words.next().and_then(|text| text.parse().ok()).unwrap_or(30);
    let stage = match words.next() {
        None => Stage::Virtual { threads: 2 },
        Some(word) => match word.parse() {
            Ok(threads) => Stage::Virtual { threads },
            Err(_) => Stage::Real { program: word.into() },
        },
    };
    println!("Beyond (above 0) or below rate x time + burst.\n");
    println!("| counter | median / most | least | seed of the most | bound |");
    println!("| --- | --- | --- | --- | --- |");
    for row in rows() {
        let scenario = scenario(&row);
        let found = match &stage {
            Stage::Virtual { threads } => {
                many::for_seeds(seeds, *threads, |seed| shares(&row, &play(&scenario, seed, None)))
            }
            Stage::Real { program } => {
                (1..=seeds).map(|seed| shares(&row, &play(&scenario, seed, Some(program)))).collect()
            }
        };
        let mut by_share: Vec<(f64, u64)> = found.iter().map(|(share, _)| *share).zip(1..).collect();
        by_share.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (least, median, most) = (by_share[0], by_share[by_share.len() / 2], by_share[by_share.len() - 1]);
        let bound = found[most.1 as usize - 1].1;
        let over = if most.0 > bound { " **over**" } else { "" };
        println!(
            "| {} | {:.1} / {:.1} % | {:.1} % | {} | {bound:.1} %{over} |",
            row.name, median.0, most.0, least.0, most.1
        );
    }
}
