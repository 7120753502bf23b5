//! Links that fail, processes that stand still and buildings that go, in virtual time: no rule is broken, and each
//! fault is seen to bite.

use cluster_emulator::{run_virtual, RunOutcome, VirtualOptions};
use cluster_model::file;

fn play(text: &str) -> RunOutcome {
    let scenario = file::parse("test.scenario", text).unwrap();
    let played = run_virtual(&scenario, 1, VirtualOptions::default()).unwrap();
    assert_eq!(played.verdict.violations, [], "{text}");
    assert_eq!(played.verdict.notes, [""; 0], "{text}");
    assert_eq!(played.errors, [""; 0], "{text}");
    played
}

/// Things served in this second, of all.
fn served(played: &RunOutcome, second: usize) -> u32 {
    played.verdict.timeline[second].served
}

/// What each fault does to a site of one gateway with all its work, in the two seconds from 3 s on.
#[test]
fn each_fault_of_links_and_processes_is_seen_and_passes() {
    let faults = [
        "links all gateways to the clients cut for 2 s",
        "links all gateways to the clients hold answers for 2 s",
        "links all gateways to all hosts cut calls for 2 s",
        "links all gateways to all hosts cut answers for 2 s",
        "links all gateways to all hosts hold for 2 s",
        "links all gateways to all hosts narrow 0.1 KiB/s for 2 s",
        "links all gateways to all hosts slow 2 s to 3 s for 2 s",
        "stop all gateways for 2 s",
        "freeze all gateways for 2 s",
        "stop all hosts for 2 s",
        "cut off building 1 for 2 s",
        "lose building 1 for 2 s",
    ];
    for fault in faults {
        let played = play(&format!(
            "scenario \"One fault\"\nlength 16 s\nsite\n gateways 1\n buildings 1\n hosts 4\n\
             host cold 100 % for 0 s\ntraffic\n rate 40 requests/s\n retries 0\nat 3 s: {fault}"
        ));
        let during = served(&played, 4);
        let (before, after) = (served(&played, 2), (10..16).map(|s| served(&played, s)).sum::<u32>() / 6);
        assert!(during * 2 < before && after * 3 > before * 2, "{fault}: {before}, {during}, {after}");
    }
}

#[test]
fn hard_cases_of_links_processes_and_buildings_break_no_rule() {
    for name in ["held-links", "one-way-cut", "stopped-gateway", "building-lost", "two-at-once"] {
        let played = play(file::find(name).unwrap());
        assert!(played.verdict.share_served > 0.6, "{name}: {}", played.verdict.share_served);
    }
}

#[test]
fn a_counter_that_stands_still_adds_nothing_until_it_goes_on() {
    let played = play(
        "scenario \"x\"\nlength 12 s\nat 4 s: stop the counter for 3 s\nat 5 s: stop the counter for 3 s",
    );
    let calls: Vec<u32> = played.verdict.timeline.iter().map(|second| second.counter_calls).collect();
    assert_eq!(calls[4..8].iter().map(|calls| calls.min(&2)).sum::<u32>(), 0, "{calls:?}");
    assert!(calls[3] > 10 && calls[9] > 10, "{calls:?}");
}

/// Clocks 2 s apart both ways, and one that stood still: quotas that bind, and hosts that come cold under load.
#[test]
fn gateways_whose_clocks_differ_break_no_rule() {
    let quotas = "site\n only plans platform\n plan platform share 100 %, rate 25 units/s, burst 46 units, \
                  spread 3 gateways, price 1.6, overrun-cost 60 %\n";
    let cold = "at 2 s: restart 4 hosts\nat 4 s: add 4 hosts\n";
    let clocks = [
        "at 0 s: clock of gateway 2 ahead 2 s",
        "at 0 s: clock of gateway 2 behind 2 s",
        "at 0 s: clock of gateway 1 ahead 2 s\nat 0 s: clock of gateway 2 behind 2 s",
        // The names of counts change 2 s later for one than for the others, within the run.
        "at 0 s: clock of all gateways behind 6 s\nat 0 s: clock of gateway 2 behind 8 s",
        "at 3 s: freeze gateway 2 for 5 s",
    ];
    for clock in clocks {
        for site in [quotas, cold] {
            let (site, events) = if site == cold { ("", cold) } else { (site, "") };
            let played = play(&format!("scenario \"x\"\nlength 12 s\n{site}{events}{clock}"));
            assert_eq!(played.history.findings, [], "{clock}\n{site}");
        }
    }
}

/// What each sign begins, seen in the table: an hour without the counter, or the death of all hosts.
#[test]
fn an_event_begins_when_its_sign_comes_and_not_before() {
    let signs = [
        ("call 30 from gateway 1 to the counter", "counter lost for 1 h"),
        ("call 150 from the clients to gateway 1", "kill all hosts"),
        ("answer 150 from gateway 1 to the clients", "kill all hosts"),
        ("call 150 from gateway 1 to any host", "kill all hosts"),
        ("call 40 from gateway 1 to host 2", "kill all hosts"),
        ("host 2 is told to drain", "kill all hosts"),
        ("gateway 1 is told that host 2 drains", "kill all hosts"),
        ("gateway 1 is told that host 2 is gone", "kill all hosts"),
        ("host 2 ends", "kill all hosts"),
    ];
    for (sign, event) in signs {
        let played = play(&format!(
            "scenario \"By a sign\"\nlength 9 s\nsite\n gateways 1\n hosts 4\ntraffic\n rate 40 requests/s\n retries 0\n\
             at 4 s: drain host 2, gone after 1 s\nwhen {sign}: {event}"
        ));
        let of = |second: usize| match event {
            "kill all hosts" => served(&played, second),
            _ => played.verdict.timeline[second].counter_calls,
        };
        assert!(of(0) > 0 && of(8) == 0, "{sign}: {} at first, {} at last", of(0), of(8));
    }
}

#[test]
fn a_sign_that_does_not_come_in_time_begins_nothing_and_is_told() {
    let text = |by: &str| {
        format!(
            "scenario \"Never\"\nlength 5 s\nsite\n gateways 1\ntraffic\n rate 40 requests/s\n\
             when call 100 from the clients to gateway 1{by}: kill all hosts\nwhen gateway 1 ends: add 1 hosts"
        )
    };
    let never = "line 8: the moment never came by 5 s: gateway 1 ends";
    let cases = [
        ("", vec![never]),
        (", by 1 s", vec!["line 7: the moment never came by 1 s: call 100 from the clients", never]),
    ];
    for (by, told) in cases {
        let scenario = file::parse("test.scenario", &text(by)).unwrap();
        let played = run_virtual(&scenario, 1, VirtualOptions::default()).unwrap();
        assert_eq!(played.errors.len(), told.len(), "{:?}", played.errors);
        assert!(
            played.errors.iter().zip(&told).all(|(is, begins)| is.starts_with(begins)),
            "{:?}",
            played.errors
        );
        assert_eq!(served(&played, 4) == 0, by.is_empty(), "hosts are there where it came too late");
    }
    let logged = "scenario \"x\"\nwhen gateway 1 logs \"counter\": add 1 hosts";
    let refused = run_virtual(&file::parse("x", logged).unwrap(), 1, VirtualOptions::default()).unwrap_err();
    assert_eq!(
        refused.to_string(),
        "line 2: gateways in virtual time have no separate logs: run the scenario with --real"
    );
}
