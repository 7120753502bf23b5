//! Loss of a whole building and its return, with and without a plan for it, in virtual time.
//!
//! In CI few seeds are played; `SEEDS=30 cargo test --release -p cluster-emulator --test site_loss` plays more.

use cluster_emulator::{operators_of, run_virtual, RunOutcome, VirtualOptions};
use cluster_model::file;
use cluster_model::scenario::Scenario;
use gateway::Operators;

const PLAN: &str = include_str!("../../../scenarios/site-lost.fb");

/// Six gateways and nine hosts in three buildings, of which the second is lost with all that stands in it.
fn lost(events: &str) -> Scenario {
    let text = format!(
        "scenario \"A building is lost\"\nlength 30 s\nsite\n  gateways 6\n  hosts 9\n  retry-after 1 s\n\
         traffic\n  rate 110 requests/s\n{events}"
    );
    file::parse("test.scenario", &text).unwrap()
}

fn seeds() -> std::ops::RangeInclusive<u64> {
    1..=std::env::var("SEEDS").map_or(2, |seeds| seeds.parse().unwrap())
}

fn play(scenario: &Scenario, seed: u64, operators: Operators) -> RunOutcome {
    let options = VirtualOptions { operators, ..VirtualOptions::default() };
    let played = run_virtual(scenario, seed, options).unwrap();
    assert_eq!(played.verdict.violations, [], "seed {seed}");
    assert_eq!(played.history.findings, [], "seed {seed}");
    assert_eq!(played.verdict.notes, [""; 0], "seed {seed}");
    assert_eq!(played.errors, [""; 0], "seed {seed}");
    played
}

fn plan(scenario: &Scenario) -> Operators {
    operators_of("site-lost.fb", PLAN, scenario).unwrap()
}

/// Refused of all that was asked of a class.
fn refused(played: &RunOutcome, class: &str) -> f64 {
    let class = played.verdict.classes.iter().find(|figures| figures.name == class).unwrap();
    class.counts.refused as f64 / class.counts.asked as f64
}

#[test]
fn a_building_lost_and_back_breaks_no_rule_and_topples_no_host() {
    for (seed, span) in seeds().flat_map(|seed| [(seed, 3), (seed, 10)]) {
        let scenario = lost(&format!("at 8 s: lose building 2 for {span} s"));
        for operators in [Operators::default(), plan(&scenario)] {
            let has_plan = !operators.sites.is_empty();
            let played = play(&scenario, seed, operators);
            let fell = played.verdict.hosts.iter().filter(|host| host.overload_crashed).count();
            assert_eq!(fell, 0, "seed {seed}, {span} s, plan {has_plan}");
            println!("seed {seed}, {span} s, plan {has_plan}: worth {:.3}", played.verdict.weighted_share);
        }
    }
}

#[test]
fn reads_are_refused_before_orders() {
    for seed in seeds() {
        // More than two buildings carry.
        let scenario = lost("at 6 s: traffic x 2 for 20 s, rising in 1 s\nat 8 s: lose building 2 for 12 s");
        let played = play(&scenario, seed, plan(&scenario));
        let (reads, orders) = (refused(&played, "price-read"), refused(&played, "unit-order"));
        assert!(reads > 0.1 && reads > 2.0 * orders, "seed {seed}: reads {reads:.3}, orders {orders:.3}");
    }
}

/// It looks at its sites now and then, which may shift by a moment when something falls due, and does no more. With one
/// of these seeds one answer in the 13th second is late by it, and all that follows is another draw of the same day.
#[test]
fn a_plan_that_is_not_needed_refuses_nothing_and_moves_no_load() {
    let scenario = lost("");
    let (mut alike, mut sums) = (0, [[0.0; 3]; 2]);
    for seed in 1..=8 {
        let [with, without] = [plan(&scenario), Operators::default()].map(|plan| play(&scenario, seed, plan));
        let worth = [&with, &without].map(|played| played.verdict.weighted_share);
        assert!((worth[0] - worth[1]).abs() < 0.005, "seed {seed}: {worth:?}");
        let sent = [&with, &without].map(|played| {
            let hosts = played.verdict.hosts.iter();
            hosts.map(|host| (host.host as usize % 3, host.received)).collect::<Vec<_>>()
        });
        alike += usize::from(sent[0] == sent[1] && worth[0] == worth[1]);
        for (sums, sent) in sums.iter_mut().zip(&sent) {
            sent.iter().for_each(|(building, received)| sums[*building] += *received as f64);
        }
    }
    assert!(alike >= 6, "{alike} of 8 alike");
    for (with, without) in sums[0].iter().zip(&sums[1]) {
        assert!((with / without - 1.0).abs() < 0.02, "{sums:?}");
    }
}

#[test]
fn pools_and_sites_that_make_too_many_are_refused_with_one_message() {
    let pools = (0..20).map(|number| format!("pool \"p{number}\" {{}}\n")).collect::<String>();
    let error = operators_of("many.fb", &format!("{pools}{PLAN}"), &lost("")).unwrap_err().to_string();
    let reason = "20 pools and 3 sites make 83 pools";
    assert!(error.starts_with("many.fb:") && error.contains(reason), "{error}");
}
