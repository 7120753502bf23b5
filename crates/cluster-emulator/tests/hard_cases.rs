//! What is hard about rehearsals: all gateways down, two events at one instant, answers torn in the middle,
//! addresses that change hands, connections that span a cut, and gateways that go wrong by themselves.

use bytes::BytesMut;
use cluster_emulator::{run_virtual, GatewayFactory, OnPacket, RunOutcome, VirtualOptions};
use cluster_model::file;
use resp::decode;
use simulated_runtime::{Packet, What};
use std::collections::{BTreeMap, BTreeSet};
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Set for the process that plays a gateway which does not give its turn back.
const STUCK: &str = "FENNELBEAM_TEST_STUCK";
const SECOND: u64 = 1_000_000_000;

fn play_with(text: &str, options: VirtualOptions<'_>) -> anyhow::Result<RunOutcome> {
    run_virtual(&file::parse("test.scenario", text).unwrap(), 1, options)
}

/// Plays with the real gateway, which keeps all rules.
fn play(text: &str) -> RunOutcome {
    let played = play_with(text, VirtualOptions::default()).unwrap();
    assert_keeps_all_rules(&played);
    played
}

fn assert_keeps_all_rules(played: &RunOutcome) {
    assert_eq!(played.verdict.violations, []);
    assert_eq!(played.history.findings, []);
    assert_eq!(played.verdict.notes, [""; 0]);
    assert_eq!(played.errors, [""; 0]);
}

/// The same, with all that arrived on any wire.
fn trace(text: &str) -> (RunOutcome, Vec<Packet>) {
    let packets = Arc::new(Mutex::new(Vec::new()));
    let seen = packets.clone();
    let trace: OnPacket = Box::new(move |packet| seen.lock().unwrap().push(packet.clone()));
    let options = VirtualOptions { trace: Some(trace), ..VirtualOptions::default() };
    let played = play_with(text, options).unwrap();
    assert_keeps_all_rules(&played);
    let packets = std::mem::take(&mut *packets.lock().unwrap());
    (played, packets)
}

/// Gateways that were up in each second.
fn up(played: &RunOutcome) -> Vec<u32> {
    played.verdict.timeline.iter().map(|second| second.gateways_up).collect()
}

// ---- Gateways that are gone

#[test]
fn while_all_gateways_are_down_nothing_hangs_and_the_rest_is_answered() {
    let played = play(
        "scenario \"All gateways die\"
        length 12 s
        traffic
          rate 60 requests/s
        at 3 s: kill all gateways for 4 s",
    );
    let up = up(&played);
    assert_eq!((up[1], up[4], up[9]), (3, 0, 3), "{up:?}");
    let timeline = &played.verdict.timeline;
    assert!(timeline[5].served == 0 && timeline[9].served > 20, "{timeline:?}");
}

#[test]
fn a_site_whose_gateways_never_come_back_plays_to_its_end() {
    let played = play(
        "scenario \"All gateways die for good\"
        length 6 s
        traffic
          rate 60 requests/s
        at 3 s: kill all gateways for good",
    );
    assert_eq!(up(&played).last(), Some(&0));
}

#[test]
fn a_gateway_that_is_killed_for_a_moment_comes_back() {
    // For less than it takes to look for processes that have ended.
    let played = play(
        "scenario \"A moment\"
        length 6 s
        traffic
          rate 40 requests/s
        at 2.005 s: kill gateway 2 for 10 ms",
    );
    assert_eq!(up(&played), [3; 7]);
}

#[test]
fn who_is_killed_for_good_is_not_started_again_by_a_planned_restart() {
    let kill = "kill gateway 2 for good";
    let restart = "restart gateway 2";
    for (first, second) in [(kill, restart), (restart, kill)] {
        let played = play(&format!(
            "scenario \"Killed and restarted\"
            length 8 s
            traffic
              rate 40 requests/s
            at 2.005 s: {first}
            at 2.005 s: {second}"
        ));
        assert_eq!(up(&played).last(), Some(&2), "{first}, {second}");
    }
}

#[test]
fn forty_one_percent_of_three_gateways_is_one() {
    let played = play(
        "scenario \"41 % of 3\"
        length 6 s
        traffic
          rate 40 requests/s
        at 2 s: kill 41 % of the gateways for 2 s",
    );
    let up = up(&played);
    assert_eq!((up.iter().min(), up[0], up[5]), (Some(&2), 3, 3), "{up:?}");
}

#[test]
fn a_gateway_that_is_killed_between_the_bytes_of_an_answer_has_an_excuse() {
    // So far away, many an answer is on its way at any moment.
    let (played, packets) = trace(
        "scenario \"Gateways die while they answer\"
        length 9 s
        site
          network client 25 ms
        traffic
          rate 130 requests/s
        at 3 s: kill gateways 1 and 2 for 1 s
        at 6 s: kill gateways 2 and 3 for 1 s",
    );
    // What came to clients, by connection, since the last whole answer.
    let mut unread: BTreeMap<u64, BytesMut> = BTreeMap::new();
    let mut torn = 0;
    for packet in packets.iter().filter(|packet| &*packet.to.machine == "clients") {
        let unread = unread.entry(packet.connection).or_default();
        match &packet.what {
            What::Data(bytes) => {
                unread.extend_from_slice(bytes);
                while let Ok(Some(_)) = decode(unread) {}
            }
            What::Reset if unread.starts_with(b"$") => torn += 1,
            _ => {}
        }
    }
    assert!(torn > 0, "no value was torn");
    // All others were tried again.
    assert!(played.verdict.counts.asked > 1000, "{:?}", played.verdict.counts);
}

// ---- Hosts and the network

/// Busy shares of a host, numbered from 1, by second; none where it did not run.
fn busy(played: &RunOutcome, host: usize) -> Vec<Option<f64>> {
    played.verdict.timeline.iter().map(|second| second.busy.get(host - 1).copied().flatten()).collect()
}

#[test]
fn of_two_events_at_one_instant_the_earlier_line_comes_first() {
    let text = |first: &str, second: &str| {
        format!(
            "scenario \"Two at once\"
            length 8 s
            traffic
              rate 40 requests/s
            at 3 s: {first}
            at 3 s: {second}"
        )
    };
    let (kill, restart) = ("kill host 2 for 3 s", "restart host 2");
    let killed = play(&text(kill, restart));
    let restarted = play(&text(restart, kill));
    // One that has just been killed is not there to be restarted, and the other way round.
    assert_eq!(busy(&killed, 2)[5], None, "{:?}", busy(&killed, 2));
    assert!(busy(&restarted, 2)[5].is_some(), "{:?}", busy(&restarted, 2));
    assert_eq!(killed.digest, play(&text(kill, restart)).digest);
    assert_ne!(killed.digest, restarted.digest);
}

#[test]
fn of_two_reasons_to_be_slow_the_worse_counts_for_as_long_as_it_lasts() {
    let played = play(
        "scenario \"Slow and slower\"
        length 12 s
        traffic
          rate 60 requests/s
        at 2 s: slow all hosts x 60 for 6 s
        at 3 s: slow all hosts x 2 for 1 s",
    );
    let served: Vec<u32> = played.verdict.timeline.iter().map(|second| second.served).collect();
    assert!(served[3] < 10 && served[6] < 10, "{served:?}");
    assert!(served[1] > 30 && served[10] > 30, "{served:?}");
}

#[test]
fn a_host_that_drains_is_not_put_back_by_news_that_comes_out_of_order() {
    for seed in 1..=8 {
        let scenario = file::parse(
            "test.scenario",
            "scenario \"Reordered\"\nlength 14 s\nsite\n  hosts 6\n  host cold 25 % for 1 s\n\
             traffic\n  rate 60 requests/s\n\
             at 1 s: discovery reordered for 4 s\nat 2 s: add 1 hosts\nat 2.1 s: drain host 7, gone after 9 s",
        );
        assert_keeps_all_rules(&run_virtual(&scenario.unwrap(), seed, VirtualOptions::default()).unwrap());
    }
}

#[test]
fn hosts_that_come_at_the_addresses_of_others_get_work_as_those_did() {
    let played = play(
        "scenario \"Addresses change hands\"
        length 14 s
        site
          hosts 6
          host cold 40 % for 4 s
        traffic
          rate 60 requests/s
        at 3 s: replace 3 hosts, at the same addresses
        at 6 s: replace 2 hosts, at the same addresses",
    );
    let served: Vec<u64> = played.verdict.hosts.iter().map(|host| host.served).collect();
    assert_eq!(served.len(), 6 + 3 + 2, "{served:?}");
    assert!(served.iter().all(|served| *served > 5), "{served:?}");
}

#[test]
fn connections_that_open_during_a_cut_complete_after_it_and_serve() {
    let (played, packets) = trace(
        "scenario \"A cut between clients and a gateway\"
        length 8 s
        site
          gateways 2
        traffic
          rate 60 requests/s
        at 3 s: cut gateway 1 from the clients for 500 ms",
    );
    assert!(played.verdict.counts.asked > 300);
    let start = packets[0].at / SECOND * SECOND + 2 * SECOND;
    let healed = start + 3 * SECOND + SECOND / 2;
    let to_gateway = |packet: &&Packet| &*packet.to.machine == "gateway 1";
    // Connections are numbered in the order of their asking, and what was asked for in vain is asked again 1 s
    // later: by then others have been asked for and taken.
    let after = packets.iter().find(|packet| packet.what == What::Syn && packet.at > healed);
    let first_after = after.unwrap().connection;
    let taken_after: BTreeSet<u64> = packets
        .iter()
        .filter(to_gateway)
        .filter(|packet| packet.what == What::Ack && packet.at > healed && packet.connection < first_after)
        .map(|packet| packet.connection)
        .collect();
    assert!(!taken_after.is_empty(), "no connection spanned the cut");
    let served = packets.iter().any(|packet| {
        let value = matches!(&packet.what, What::Data(bytes) if bytes.starts_with(b"$"));
        value && &*packet.to.machine == "clients" && taken_after.contains(&packet.connection)
    });
    assert!(served, "nothing was served on {taken_after:?}");
}

// ---- Gateways that go wrong by themselves

const CALM: &str = "scenario \"Calm\"\nlength 2 s\ntraffic\n  rate 20 requests/s";

/// Why a site with this in the place of its gateways cannot be played.
fn halt(gateway: GatewayFactory) -> String {
    let options = VirtualOptions { gateway: Some(gateway), ..VirtualOptions::default() };
    play_with(CALM, options).unwrap_err().to_string()
}

#[test]
fn a_gateway_that_panics_ends_the_rehearsal_with_its_name() {
    let halt = halt(Arc::new(|start| {
        Box::pin(async move {
            tokio::task::yield_now().await;
            panic!("no {} left at {}", "beans", start.document.text().len())
        })
    }));
    assert!(halt.starts_with("process gateway 1.0 panicked: no beans left at"), "{halt}");
    assert!(halt.contains("hard_cases.rs:"), "{halt}");
}

#[test]
fn a_gateway_that_spins_ends_the_rehearsal_with_its_name() {
    let halt = halt(Arc::new(|_start| {
        Box::pin(async {
            loop {
                tokio::task::yield_now().await;
            }
        })
    }));
    assert!(halt.starts_with("process gateway 1.0 spins: "), "{halt}");
}

#[test]
fn a_gateway_that_does_not_give_its_turn_back_ends_the_program_with_a_message() {
    if std::env::var_os(STUCK).is_some() {
        return be_stuck();
    }
    // It is to end a whole program: this one, started once more for nothing else.
    let this = "a_gateway_that_does_not_give_its_turn_back_ends_the_program_with_a_message";
    let mut again = Command::new(std::env::current_exe().unwrap());
    let ended = again.args(["--exact", this, "--nocapture"]).env(STUCK, "1").output().unwrap();
    let said = String::from_utf8_lossy(&ended.stderr);
    assert_eq!(ended.status.code(), Some(3), "{said}");
    assert!(said.contains("cluster-emulator: test, seed 1: process gateway 1.0 is stuck: "), "{said}");
}

/// Does not return.
fn be_stuck() {
    // Without a watchdog nothing else would end it.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(30));
        std::process::exit(9);
    });
    let gateway: GatewayFactory = Arc::new(|_start| {
        Box::pin(async {
            loop {
                std::hint::spin_loop();
            }
        })
    });
    let (gateway, stuck_after) = (Some(gateway), Duration::from_secs(1));
    let ended = play_with(CALM, VirtualOptions { gateway, stuck_after, ..VirtualOptions::default() });
    unreachable!("{ended:?}");
}
