//! Attempts that no host answers: what is lost by them, how much work they make, and how soon it is over.

use cluster_emulator::{run_virtual, RunOutcome, VirtualOptions};
use cluster_model::file;
use invariants::Verdict;

fn play(text: &str, seed: u64) -> RunOutcome {
    let played =
        run_virtual(&file::parse("test.scenario", text).unwrap(), seed, VirtualOptions::default()).unwrap();
    assert_eq!(played.verdict.violations, [], "seed {seed}");
    assert_eq!((&played.verdict.notes[..], &played.errors[..]), (&[][..], &[][..]), "seed {seed}");
    played
}

#[test]
fn the_causes_of_what_is_lost_add_up_to_all_of_it() {
    for name in ["stale-connections", "resets", "deaf-hosts", "discovery-cut"] {
        let played = play(file::find(name).unwrap(), 1);
        let lost: f64 = played.verdict.causes.iter().map(|figures| figures.share).sum();
        // More may have been earned than was to be had inside the quotas; the figure ends at 1.
        let lost = lost.max(0.0);
        let missing = 1.0 - played.verdict.weighted_share;
        assert!((lost - missing).abs() < 1e-6, "{name}: {:?} is not {missing}", played.verdict.causes);
    }
}

/// Clients try again at once, and do not heed advice.
const CALM: &str = "scenario \"Hosts are deaf to half\"
    length 30 s
    site
      hosts 10
    traffic
      rate 130 requests/s
      retries 3
      backoff 0 ms
      honour 0 %";
/// All hosts take half of the requests in and never answer them.
const STORM: &str = "at 8 s: swallow 50 % of requests at all hosts for 12 s";

/// Attempts that come to hosts, against a run without the fault: with neither budget nor drowning told it is 1.0 to 1.1.
const MOST_WORK: f64 = 0.98;

fn storm(seed: u64) {
    let (verdict, calm) = (play(&format!("{CALM}\n{STORM}"), seed).verdict, play(CALM, seed).verdict);
    let work = |verdict: &Verdict| verdict.hosts.iter().map(|host| host.received).sum::<u64>() as f64;
    let times = work(&verdict) / work(&calm);
    assert!(times <= MOST_WORK, "seed {seed}: {times} times the attempts of a calm day");
    let served = |verdict: &Verdict| verdict.timeline[25..29].iter().map(|second| second.served).sum::<u32>();
    let (after, usual) = (served(&verdict), served(&calm));
    assert!(
        f64::from(after) >= 0.95 * f64::from(usual),
        "seed {seed}: {after} from 5 s after its end on, usual {usual}"
    );
}

#[test]
fn a_storm_of_retries_makes_no_more_work_than_the_budget_and_is_over_with_its_cause() {
    (1..=3).for_each(storm);
}

/// `cargo test --release -p cluster-emulator --test attempts -- --ignored` (some minutes).
#[test]
#[ignore = "a hundred seeds take minutes"]
fn a_storm_of_retries_on_a_hundred_seeds() {
    (1..=100).for_each(storm);
}
