//! Real gateways whose clocks differ by 2 s both ways, before quotas that bind and hosts that come cold: no rule is
//! broken. A test build: the feature `told-clock`. A program of its own, since gateways begin by way of it.

use cluster_emulator::{run_child_process, run_real, RealOptions, RunOutcome};
use cluster_model::file;
use std::path::PathBuf;

/// A run that the machine was too slow for says nothing; it is played again, so often in all.
const PLAYS: usize = 4;

const DAY: &str = "scenario \"Clocks that differ\"
length 10 s
site
  gateways 3
  hosts 6
  only plans platform
  plan platform share 100 %, rate 25 units/s, burst 46 units, spread 3 gateways, price 1.6, overrun-cost 60 %
traffic
  rate 50 requests/s
at 0 s: clock of gateway 1 ahead 2 s
at 0 s: clock of gateway 2 behind 2 s
at 2 s: restart 2 hosts
at 4 s: add 2 hosts
";

fn main() {
    if let Err(error) = run_child_process() {
        panic!("cannot begin: {error}");
    }
    for _ in 0..PLAYS {
        let played = play();
        if let Some(slow) = &played.too_slow {
            println!("{slow}");
            continue;
        }
        assert_eq!(played.verdict.breaches, []);
        assert_eq!(played.history.findings, []);
        assert_eq!(played.errors, [""; 0]);
        assert!(played.verdict.share_served > 0.5, "{}", played.verdict.share_served);
        println!("test gateways_whose_clocks_differ_break_no_rule ... ok");
        return;
    }
    panic!("the machine was too slow {PLAYS} times");
}

fn play() -> RunOutcome {
    let options = RealOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_api-gateway")),
        launcher: Some(std::env::current_exe().unwrap()),
        links: true,
        replay: None,
        logs: None,
        operators: None,
        gateway_override: None,
        progress: None,
    };
    let scenario = file::parse("clocks.scenario", DAY).unwrap();
    run_real(&scenario, 1, options).unwrap_or_else(|error| panic!("{error:#}"))
}
