//! Real gateways whose clocks are 2 s ahead and 2 s behind, with quotas below the demand and hosts that warm up: no
//! invariant may be violated. Needs a test build with the feature `told-clock`. A test binary without the usual
//! harness, since it also is the launcher of the gateways.

use cluster_emulator::{run_child_process, run_real, RealOptions, RunOutcome};
use cluster_model::file;
use std::path::PathBuf;

/// Maximum number of runs: a run for which the machine was too slow has no result, and is repeated.
const MAX_RUNS: usize = 4;

const SCENARIO: &str = "scenario \"Clocks that differ\"
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
        panic!("cannot start: {error}");
    }
    for _ in 0..MAX_RUNS {
        let played = run();
        if let Some(reason) = &played.too_slow {
            println!("{reason}");
            continue;
        }
        assert_eq!(played.verdict.violations, []);
        assert_eq!(played.history.findings, []);
        assert_eq!(played.errors, [""; 0]);
        assert!(played.verdict.share_served > 0.5, "{}", played.verdict.share_served);
        println!("test gateways_whose_clocks_differ_violate_no_invariant ... ok");
        return;
    }
    panic!("the machine was too slow {MAX_RUNS} times");
}

fn run() -> RunOutcome {
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
    let scenario = file::parse("clocks.scenario", SCENARIO).unwrap();
    run_real(&scenario, 1, options).unwrap_or_else(|error| panic!("{error:#}"))
}
