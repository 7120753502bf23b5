//! The days of a whole fleet, at a tenth of their size and a quarter of their length.

use cluster_emulator::{run_virtual, GatewayFactory, RunOutcome, VirtualOptions};
use cluster_model::file;
use cluster_model::scenario::{Scenario, ScheduledEvent};
use cluster_model::{MS, SECOND};
use gateway::Signal;
use std::sync::{Arc, Mutex};

const GATEWAYS: u32 = 30;

/// A day whose events come four times as fast, each as long as ever.
fn short(name: &str) -> Scenario {
    let day = file::parse(name, file::find(name).unwrap()).unwrap().with_gateways(GATEWAYS);
    let events = day.events.into_iter().map(|timed| ScheduledEvent { at: timed.at / 4, ..timed });
    Scenario { events: events.collect(), length: day.length / 4, ..day }
}

/// Plays one, which keeps all rules.
fn play(name: &str) -> RunOutcome {
    let played = run_virtual(&short(name), 1, VirtualOptions::default()).unwrap();
    assert_eq!(played.verdict.violations, [], "{name}");
    assert_eq!(played.verdict.notes, [""; 0], "{name}");
    assert_eq!(played.errors, [""; 0], "{name}");
    played
}

fn fewest_up(played: &RunOutcome) -> u32 {
    played.verdict.timeline.iter().map(|second| second.gateways_up).min().unwrap()
}

#[test]
fn a_calm_day_loses_no_gateway_and_prices_the_whole_fleet() {
    let played = play("calm-fleet");
    assert_eq!(fewest_up(&played), GATEWAYS);
    let fleet = &played.verdict.fleet;
    assert_eq!((fleet.gateways, fleet.list_calls_per_s, fleet.health_checks_per_s), (GATEWAYS, 0.0, 0.0));
    // Of each watch an empty line after two seconds, and its successor's first line after two and a half.
    let opened = f64::from(GATEWAYS) / 2.5;
    assert!((0.9 * opened..1.1 * opened).contains(&fleet.watches_per_s), "{fleet:?}");
    assert!((1.8 * opened..2.2 * opened).contains(&fleet.list_lines_per_s), "{fleet:?}");
    let counted: u32 = played.verdict.timeline.iter().map(|second| second.counter_calls).sum();
    assert!((fleet.counter_calls_per_s * 15.0 / f64::from(counted) - 1.0).abs() < 0.1, "{fleet:?}");
    let opened: u64 = played.verdict.hosts.iter().map(|host| host.connections).sum();
    assert!((1..=opened).contains(&fleet.peak_open_connections), "{fleet:?}");
}

#[test]
fn releases_herds_and_lost_buildings_take_down_as_many_gateways_as_they_say() {
    // Of 30: seven in ten; one building of three.
    assert_eq!(fewest_up(&play("herd-fleet")), 9);
    assert_eq!(fewest_up(&play("zone-fleet")), 20);
    let roll = play("roll-fleet");
    // Restarted one after another over 40 s, each is down for two to four.
    assert!((24..30).contains(&fewest_up(&roll)), "{}", fewest_up(&roll));
    assert!(roll.verdict.fleet.watches_per_s * 15.0 >= f64::from(GATEWAYS), "each reads the list anew");
}

#[test]
fn a_split_has_the_counter_away_and_a_join_new_hosts() {
    let split = play("split-fleet");
    let silent = split.verdict.timeline.iter().filter(|second| second.counter_calls == 0).count();
    // Lost for 6 s from 6 s on.
    assert!(silent >= 5, "{silent}");
    let join = play("join-fleet");
    assert_eq!(join.verdict.hosts.len(), 15 + 6 * 2);
}

#[test]
fn gateways_that_start_together_do_so_at_their_own_moments() {
    let starts = Arc::new(Mutex::new(Vec::new()));
    let seen = starts.clone();
    let gateway: GatewayFactory = Arc::new(move |mut start| {
        seen.lock().unwrap().push(runtime::Env::now(&start.env));
        Box::pin(async move {
            while !matches!(start.signals.recv().await, None | Some(Signal::Terminate)) {}
            Ok(())
        })
    });
    let text =
        "scenario \"x\"\nlength 5 s\nsite\n  gateways 20, start-within 1.5 s\ntraffic\n  rate 1 requests/s
        at 1 s: kill all gateways for 1 s";
    let scenario = file::parse("x", text).unwrap();
    let options = VirtualOptions { gateway: Some(gateway), ..VirtualOptions::default() };
    run_virtual(&scenario, 1, options).unwrap();
    let starts = starts.lock().unwrap();
    assert_eq!(starts.len(), 40);
    for (all, begun) in starts.chunks(20).zip([0, 4 * SECOND]) {
        let from = starts[0] / SECOND * SECOND + begun;
        assert!(all.iter().all(|at| (from..from + 1500 * MS).contains(at)), "{all:?}");
        let distinct: std::collections::BTreeSet<_> = all.iter().collect();
        assert_eq!(distinct.len(), 20);
    }
}

/// Sixty gateways, of which thirty work with each of forty hosts; none of these holds more connections than this.
fn with_connections(most: u32) -> RunOutcome {
    let text = format!(
        "scenario \"Few connections\"
        length 20 s
        site
          gateways 60, hosts 40, buildings 3, start-within 1.5 s
          host cores 1, speed 0.75, connections {most}
          counter parts 1, rate 4000 calls/s, queue 22
          plan standard share 50 %, spread 3 gateways
          plan premium share 50 %, spread 20 gateways
        traffic
          rate 130 requests/s, uneven 3, full 0 %, heavy 0 % x 1, most-excess 0 %"
    );
    let played = run_virtual(&file::parse("few", &text).unwrap(), 1, VirtualOptions::default()).unwrap();
    assert_eq!(played.verdict.violations, []);
    assert_eq!(played.errors, [""; 0]);
    played
}

#[test]
fn hosts_that_hold_far_fewer_connections_than_gateways_work_with_them_are_shared() {
    let ample = with_connections(200).verdict.weighted_score;
    // As many as 20 are for 300 gateways before 200 hosts, and as 20 are for 300 gateways before one.
    for (connections, least) in [(16, 0.97), (4, 0.82)] {
        let few = with_connections(connections).verdict;
        assert!(few.fleet.peak_open_connections <= u64::from(connections) * 40);
        assert!(few.weighted_score > least * ample, "{connections}: {} of {ample}", few.weighted_score);
    }
}
