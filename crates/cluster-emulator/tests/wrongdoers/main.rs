//! The judge against wrongdoers: a stand-in gateway that keeps all rules, and the same one with one wrong way,
//! which is caught by the rule that is meant for it and by no other.

mod cold;
mod proxy;
mod swarm;

use cluster_emulator::{run_virtual, RunOutcome, VirtualOptions};
use cluster_model::file;
use cluster_model::scenario::Scenario;
use history_checker::Rule as History;
use invariants::Rule;
use proxy::{proxy, Wrong};
use std::collections::BTreeSet;

/// Something for each wrong way: orders that fail after they have run, hosts that drain, one that starts
/// anew, and a ceiling on what some customers ask for more of.
const SITE: &str = "
scenario \"Something for each wrong way\"
length 12 s
site
  gateways 2
  hosts 10
  discovery notice 200 ms to 600 ms
  host error-rate 3 %
  plan standard ceiling-rate 5 units/s, ceiling-burst 23 units
traffic
  rate 60 requests/s, most-excess 40 %
  retries 0
at 2 s: drain hosts 1 and 2, gone after 9 s
at 3 s: restart host 3
";

fn scenario(text: &str) -> Scenario {
    file::parse("test.scenario", text).unwrap()
}

/// Plays with a gateway that does this wrong.
fn play(text: &str, seed: u64, wrong: Wrong) -> RunOutcome {
    let options = VirtualOptions { gateway: Some(proxy(wrong)), ..VirtualOptions::default() };
    run_virtual(&scenario(text), seed, options).unwrap()
}

fn rules(played: &RunOutcome) -> BTreeSet<Rule> {
    played.verdict.violations.iter().map(|breach| breach.rule).collect()
}

/// What is wrong with a run's history.
fn history(played: &RunOutcome) -> BTreeSet<History> {
    played.history.findings.iter().map(|finding| finding.rule).collect()
}

/// A gateway that does this wrong breaks this rule and no other, and all that is said of it has these words; its
/// history breaks these rules, and no others.
fn is_caught(wrong: Wrong, rule: Rule, words: &[&str], of_history: &[History]) {
    let played = play(SITE, 1, wrong);
    assert_eq!(history(&played), of_history.iter().copied().collect(), "{:#?}", played.history.findings);
    let said: Vec<&str> = played.verdict.violations.iter().map(|breach| breach.text.as_str()).collect();
    assert_eq!(rules(&played), BTreeSet::from([rule]), "{said:#?}");
    let fits = |text: &&str| words.iter().any(|words| text.contains(words));
    assert!(said.iter().all(fits), "{said:#?}");
    assert_eq!(played.verdict.notes, [""; 0]);
}

#[test]
fn one_that_does_nothing_wrong_keeps_all_rules() {
    for seed in 1..=3 {
        let played = play(SITE, seed, Wrong::Nothing);
        assert_eq!(played.verdict.violations, [], "seed {seed}");
        assert_eq!(played.history.findings, [], "seed {seed}");
        assert_eq!(played.verdict.notes, [""; 0]);
        assert_eq!(played.errors, [""; 0]);
        let counts = played.verdict.counts;
        assert!(counts.asked > 400 && counts.failed > 5 && counts.refused > 5, "{counts:?}");
        assert!(counts.served > 2 * (counts.failed + counts.refused), "{counts:?}");
    }
}

#[test]
fn one_that_answers_twice_is_caught() {
    is_caught(
        Wrong::AnswersTwice,
        Rule::SingleResponse,
        &["a response that matches no request", "a second response"],
        &[History::SingleResponse],
    );
}

#[test]
fn one_that_forgets_a_request_is_caught() {
    is_caught(Wrong::Forgets, Rule::SingleResponse, &["was lost"], &[History::SingleResponse]);
}

#[test]
fn one_that_serves_what_no_host_made_is_caught() {
    is_caught(Wrong::Invents, Rule::SingleResponse, &["a value that no host produced"], &[]);
}

#[test]
fn one_that_repeats_orders_that_failed_is_caught() {
    is_caught(
        Wrong::RepeatsOrders,
        Rule::NoDuplicateExecution,
        &["was forwarded again although it may have been executed"],
        &[History::NoDuplicateExecution],
    );
}

#[test]
fn one_that_refuses_orders_that_ran_is_caught() {
    is_caught(
        Wrong::RefusesWhatRan,
        Rule::NoDuplicateExecution,
        &["was rejected by gateway"],
        &[History::NoDuplicateExecution],
    );
}

#[test]
fn one_that_sends_to_draining_hosts_is_caught() {
    is_caught(
        Wrong::SendsToDraining,
        Rule::DrainGrace,
        &["that the host is draining or removed"],
        &[History::DrainGrace],
    );
}

#[test]
fn one_that_never_asks_discovery_is_caught() {
    is_caught(
        Wrong::NeverWatches,
        Rule::DrainGrace,
        &["was considered notified that the host is draining or removed"],
        &[History::DrainGrace, History::StaleState],
    );
}

#[test]
fn one_that_floods_a_cold_host_is_caught() {
    is_caught(Wrong::FloodsCold, Rule::SlowStart, &["host 3 was overloaded while warming up"], &[]);
}

#[test]
fn one_that_forgets_ceilings_is_caught() {
    is_caught(Wrong::ForgetsCeilings, Rule::Ceilings, &["beyond its ceiling"], &[History::QuotaWindow]);
}

#[test]
fn one_that_crashes_is_caught() {
    is_caught(Wrong::Crashes, Rule::NoCrash, &["exited unexpectedly"], &[]);
    let played = play(SITE, 1, Wrong::Crashes);
    assert!(played.errors[0].contains("gateway 1: crashed, as the test wants"), "{:?}", played.errors);
}
