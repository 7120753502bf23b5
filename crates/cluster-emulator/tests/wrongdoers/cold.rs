//! A host that has just started falls over under too much work; with the real gateway in front it does not.

use crate::proxy::{proxy, Wrong};
use crate::{rules, scenario};
use cluster_emulator::{run_virtual, GatewayFactory, RunOutcome, VirtualOptions};
use invariants::Rule;
use std::collections::BTreeSet;

/// Hosts start anew, and others come, while there is much to do. All figures are the platform's.
const STARTS: &str = "
scenario \"Some hosts start under load\"
length 12 s
site
  gateways 2
  hosts 8
traffic
  rate 80 requests/s
at 2 s: restart 30 % of the hosts
at 4 s: add 2 hosts
";

/// The same and worse: hosts that bear little, and so many gateways that what each takes for little adds up.
const MANY_GATEWAYS: &str = "
scenario \"Many gateways before hosts that bear little\"
length 8 s
site
  gateways 8
  hosts 6
  host cold 10 % for 10 s
  rules fall x 1 for 1 s
traffic
  rate 110 requests/s
at 2 s: add 8 hosts
";

fn play(text: &str, seed: u64, gateway: Option<GatewayFactory>) -> RunOutcome {
    let options = VirtualOptions { gateway, ..VirtualOptions::default() };
    run_virtual(&scenario(text), seed, options).unwrap()
}

fn fallen(played: &RunOutcome) -> Vec<u32> {
    played.verdict.hosts.iter().filter(|host| host.overload_crashed).map(|host| host.host + 1).collect()
}

#[test]
fn a_host_that_has_just_started_falls_over_under_too_much_work() {
    for seed in 1..=3 {
        let played = play(STARTS, seed, Some(proxy(Wrong::FloodsCold)));
        assert!(!fallen(&played).is_empty(), "seed {seed}");
        assert_eq!(rules(&played), BTreeSet::from([Rule::SlowStart]), "seed {seed}");
    }
}

#[test]
fn with_the_gateway_in_front_no_host_that_has_just_started_falls_over() {
    for seed in 1..=3 {
        let played = play(STARTS, seed, None);
        assert_eq!(fallen(&played), [0; 0], "seed {seed}");
        assert_eq!(played.verdict.violations, [], "seed {seed}");
        // Not because they get nothing: those that came later served some of it.
        let new = &played.verdict.hosts[8..];
        assert!(new.len() == 2 && new.iter().all(|host| host.served > 0), "seed {seed}: {new:?}");
    }
}

#[test]
fn many_gateways_together_do_not_push_a_host_over_that_has_just_started() {
    for seed in [2, 4] {
        let played = play(MANY_GATEWAYS, seed, None);
        assert_eq!(fallen(&played), [0; 0], "seed {seed}");
        let new = &played.verdict.hosts[6..];
        assert!(new.len() == 8 && new.iter().all(|host| host.served > 0), "seed {seed}: {new:?}");
    }
}
