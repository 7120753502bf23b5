//! A site with two pools through the operators' night, and through one in which a whole pool goes.
//!
//! In CI few seeds are played; `SEEDS=30 cargo test --release -p cluster-emulator --test pools` plays more.

use cluster_emulator::{run_virtual, RunOutcome, VirtualOptions};
use cluster_model::file;
use cluster_model::scenario::Scenario;
use config_language::{load, loader::Memory};
use gateway::Operators;
use simulated_runtime::{Packet, What};
use std::sync::{Arc, Mutex};

/// Orders have the hosts of building 1 to themselves, reads those of the others.
const TWO_POOLS: &str = r#"
pool "orders" {
  zones = "building-1"
}
pool "reads" {
  zones = ["building-2", "building-3"]
}
route "orders" {
  classes = "unit-order"
  pool = "orders"
  fallback = "reads"
}
route "reads" {
  pool = "reads"
  fallback = "orders"
}
"#;
const BUILDINGS: usize = 3;

fn operators() -> Operators {
    let loaded = load("site.fb".as_ref(), &Memory::default().with("site.fb", TWO_POOLS), None);
    loaded.set.expect("it has no errors").operators
}

fn shipped(name: &str) -> Scenario {
    let (_, text) = file::shipped().iter().find(|(shipped, _)| *shipped == name).unwrap();
    file::parse(name, text).unwrap()
}

fn seeds() -> std::ops::RangeInclusive<u64> {
    1..=std::env::var("SEEDS").map_or(2, |seeds| seeds.parse().unwrap())
}

/// An attempt that came to a host: when, to which building (from 1), and whether it is an order.
type Came = (u64, usize, bool);

fn play(scenario: &Scenario, seed: u64) -> (RunOutcome, Vec<Came>) {
    let came = Arc::new(Mutex::new(Vec::new()));
    let seen = came.clone();
    let trace = Box::new(move |packet: &Packet| {
        let host = packet.to.machine.strip_prefix("host ").and_then(|host| host.parse::<usize>().ok());
        let (Some(host), What::Data(bytes)) = (host, &packet.what) else { return };
        let has = |word: &[u8]| bytes.windows(word.len()).any(|part| part == word);
        if has(b"CALL.") {
            seen.lock().unwrap().push((packet.at, (host - 1) % BUILDINGS + 1, has(b"CALL.POST")));
        }
    });
    let options = VirtualOptions { trace: Some(trace), operators: operators(), ..VirtualOptions::default() };
    let played = run_virtual(scenario, seed, options).unwrap();
    let came = std::mem::take(&mut *came.lock().unwrap());
    (played, came)
}

fn assert_keeps_all_rules(played: &RunOutcome, seed: u64) {
    assert_eq!(played.verdict.violations, [], "seed {seed}");
    assert_eq!(played.errors, [""; 0], "seed {seed}");
}

#[test]
fn the_night_keeps_all_rules_and_each_request_its_pool() {
    for seed in seeds() {
        let (played, came) = play(&shipped("night"), seed);
        assert_keeps_all_rules(&played, seed);
        let orders = came.iter().filter(|(.., order)| *order).count();
        assert!(orders > 500 && came.len() - orders > 500, "{orders} of {}", came.len());
        let wrong = came.iter().find(|(_, building, order)| (*building == 1) != *order);
        assert_eq!(wrong, None, "seed {seed}: at, building, an order");
        println!("seed {seed}: worth {:.3}, {} attempts", played.verdict.weighted_share, came.len());
    }
}

#[test]
fn while_a_pool_has_no_host_the_other_takes_over() {
    let text = "scenario \"A building goes\"\nlength 20 s\nsite\n  hosts 9\n  buildings 3\ntraffic\n  rate 60 requests/s\n\
                at 6 s: drain host 1, gone after 1 s\nat 6 s: drain host 4, gone after 1 s\n\
                at 6 s: drain host 7, gone after 1 s\n";
    for seed in seeds() {
        let (played, came) = play(&file::parse("test.scenario", text).unwrap(), seed);
        assert_keeps_all_rules(&played, seed);
        let start = came[0].0;
        // News has up to 6 s to be told.
        let late = || came.iter().filter(|(at, ..)| at - start > 13_000_000_000);
        assert!(late().any(|(.., order)| *order), "orders are served elsewhere");
        assert!(late().all(|(_, building, _)| *building != 1));
        let early = came.iter().filter(|(at, ..)| at - start < 5_000_000_000);
        assert!(early.into_iter().all(|(_, building, order)| (*building == 1) == *order));
    }
}
