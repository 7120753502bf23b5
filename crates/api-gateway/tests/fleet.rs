//! Several processes of the program, links between them that fail, and one judge.
//!
//! A program of its own, without the usual harness: gateways begin by way of it, and one test needs a rehearsal in a
//! process that can be killed. Words that are no flags choose tests by a part of their names.

use cluster_emulator::{
    become_process, play_real, play_virtual, OnProgress, Played, Progress, RealOptions, RunTrace,
    VirtualOptions,
};
use cluster_model::file;
use cluster_model::scenario::Scenario;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The word by which this program is the rehearsal that is killed.
const RUNNER: &str = "--runner";
/// The word by which it is one that stands still for a while, and says how that was judged.
const HELD_UP: &str = "--held-up";
/// A run that the machine was too slow for says nothing; it is played again, so often in all.
const PLAYS: usize = 4;
/// Things happen within this, however slow the machine.
const PATIENCE: Duration = Duration::from_secs(60);

/// Eight gateways in two buildings; one of the buildings is cut off and back, and it holds the counter.
const FLEET: &str = "
scenario \"A building is cut off and back\"
length 9 s
site
  gateways 8
  hosts 6
  buildings 2
  counter building 2
traffic
  rate 40 requests/s
  retries 0
at 2.5 s: cut off building 2 for 3 s
";

/// Eight gateways in three buildings, of which operators say by hand that one is lost.
const TOLD_LOST: &str = "
scenario \"A site is told lost\"
length 6 s
site
  gateways 8
  hosts 9
traffic
  rate 60 requests/s
";

/// Eight gateways in three buildings; one of the buildings is lost with its gateways and hosts, and comes back.
const LOST_SITE: &str = "
scenario \"A site is lost and back\"
length 30 s
site
  gateways 8
  hosts 9
  host cold 50 % for 2 s
  retry-after 500 ms
traffic
  rate 100 requests/s
at 3 s: lose building 2 for 10 s
";

fn main() {
    if let Err(error) = become_process() {
        panic!("cannot begin: {error}");
    }
    let words: Vec<String> = std::env::args().skip(1).collect();
    if words.first().is_some_and(|word| word == RUNNER) {
        let _ = play(FLEET);
        return;
    }
    if words.first().is_some_and(|word| word == HELD_UP) {
        return be_held_up();
    }
    let tests: [(&str, fn()); 9] = [
        (
            "a_fleet_with_a_plan_loses_a_site_and_takes_it_back",
            a_fleet_with_a_plan_loses_a_site_and_takes_it_back,
        ),
        (
            "a_fleet_sends_nothing_to_a_site_that_is_told_lost",
            a_fleet_sends_nothing_to_a_site_that_is_told_lost,
        ),
        ("a_fleet_bears_a_building_cut_off_and_back", a_fleet_bears_a_building_cut_off_and_back),
        ("faults_of_links_and_processes_bite_real_ones", faults_of_links_and_processes_bite_real_ones),
        ("hard_cases_break_no_rule_on_real_processes", hard_cases_break_no_rule_on_real_processes),
        (
            "events_begin_by_signs_and_a_trace_plays_them_again",
            events_begin_by_signs_and_a_trace_plays_them_again,
        ),
        ("a_rehearsal_that_was_held_up_is_not_judged", a_rehearsal_that_was_held_up_is_not_judged),
        (
            "a_counter_stands_still_and_dies_with_its_building",
            a_counter_stands_still_and_dies_with_its_building,
        ),
        ("a_killed_rehearsal_leaves_nothing", a_killed_rehearsal_leaves_nothing),
    ];
    let chosen: Vec<&String> = words.iter().filter(|word| !word.starts_with('-')).collect();
    for (name, test) in tests {
        if chosen.is_empty() || chosen.iter().any(|part| name.contains(part.as_str())) {
            let begun = Instant::now();
            test();
            println!("test {name} ... ok ({:.1} s)", begun.elapsed().as_secs_f64());
        }
    }
}

fn read(text: &str) -> Scenario {
    file::parse("fleet.scenario", text).unwrap_or_else(|error| panic!("{error}"))
}

fn play(text: &str) -> Played {
    play_with(&read(text), Run::default())
}

/// What a run has beside its scenario.
#[derive(Default)]
struct Run<'a> {
    replay: Option<&'a RunTrace>,
    progress: OnProgress<'a>,
    operators: Option<PathBuf>,
    logs: Option<PathBuf>,
}

fn play_with(scenario: &Scenario, run: Run<'_>) -> Played {
    let Run { replay, progress, operators, logs } = run;
    let options = RealOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_api-gateway")),
        launcher: Some(std::env::current_exe().unwrap()),
        links: true,
        replay,
        logs,
        operators,
        special: None,
        progress,
    };
    play_real(scenario, 1, options).unwrap_or_else(|error| panic!("{error:#}"))
}

/// A run that could be judged, and broke nothing.
fn judged(text: &str) -> Played {
    judged_of(|| play(text))
}

fn judged_of(play: impl Fn() -> Played) -> Played {
    for _ in 0..PLAYS {
        let played = play();
        match &played.too_slow {
            Some(slow) => println!("{slow}"),
            None => {
                assert_eq!(played.verdict.breaches, []);
                assert_eq!(played.verdict.notes, [""; 0]);
                assert_eq!(played.history.findings, []);
                assert_eq!(played.troubles, [""; 0]);
                return played;
            }
        }
    }
    panic!("the machine was too slow {PLAYS} times");
}

/// Tries served in the aim within these seconds.
fn served(played: &Played, seconds: std::ops::Range<usize>) -> u32 {
    played.verdict.timeline[seconds].iter().map(|second| second.served).sum()
}

fn a_fleet_bears_a_building_cut_off_and_back() {
    let real = judged(FLEET);
    let virtual_time = play_virtual(&read(FLEET), 1, VirtualOptions::default()).unwrap();
    for played in [&real, &virtual_time] {
        // Half of the gateways reach nobody while it lasts.
        let (cut, whole) = (served(played, 3..5), served(played, 7..9));
        assert!(cut * 4 < whole * 3, "{cut} while it lasts, {whole} after it");
    }
    let shares = (real.verdict.share_served, virtual_time.verdict.share_served);
    assert!((shares.0 - shares.1).abs() < 0.1, "{shares:?}");
}

/// What the gateways of the other buildings said of a site, in order, each by its state.
fn told_of(site: &str, logs: &Path) -> Vec<Vec<String>> {
    // Gateways 2, 5 and 8 stand in the second of three buildings.
    let survivors = (1..=8).filter(|gateway| gateway % 3 != 2);
    let told = |gateway: u32| {
        let log = std::fs::read_to_string(logs.join(format!("gateway-{gateway}.0.log"))).unwrap();
        let of = format!("site {site} is ");
        let said = log.lines().filter_map(|line| line.split_once(&of));
        said.map(|(_, rest)| rest.split(',').next().unwrap_or_default().to_owned()).collect()
    };
    survivors.map(told).collect()
}

fn a_fleet_with_a_plan_loses_a_site_and_takes_it_back() {
    let folder = tempfile::tempdir().unwrap();
    let plan = folder.path().join("plan.fb");
    let sites = [("west", 1), ("middle", 2), ("east", 3)]
        .map(|(name, zone)| format!("site \"{name}\" {{\n  zones = \"building-{zone}\"\n  ramp = 2 s\n}}\n"));
    std::fs::write(&plan, sites.concat()).unwrap();
    let logs = folder.path().join("logs");
    let scenario = read(LOST_SITE);
    let run = || Run { operators: Some(plan.clone()), logs: Some(logs.clone()), ..Run::default() };
    judged_of(|| play_with(&scenario, run()));
    let told = told_of("middle", &logs);
    let place = |said: &[String], state: &str| said.iter().position(|said| said == state);
    // Each judges alone, by the few requests that it sees: one that saw no loss sees no return either.
    let lost: Vec<_> = told.iter().filter(|said| place(said, "lost").is_some()).collect();
    assert!(!lost.is_empty(), "{told:?}");
    assert!(lost.iter().all(|said| place(said, "lost") < place(said, "returning")), "{told:?}");
    let whole = lost.iter().filter(|said| said.last().is_some_and(|last| last == "whole"));
    assert!(whole.count() * 2 > lost.len(), "{told:?}");
    let others = ["west", "east"].map(|site| told_of(site, &logs).concat());
    assert!(!others.concat().iter().any(|state| state == "lost"), "{others:?}");
}

fn a_fleet_sends_nothing_to_a_site_that_is_told_lost() {
    let folder = tempfile::tempdir().unwrap();
    let plan = folder.path().join("plan.fb");
    let sites = [("west", ""), ("middle", "  told = \"lost\"\n"), ("east", "")];
    let site = |(number, (name, told)): (usize, (&str, &str))| {
        format!("site \"{name}\" {{\n  zones = \"building-{}\"\n{told}}}\n", number + 1)
    };
    std::fs::write(&plan, sites.into_iter().enumerate().map(site).collect::<String>()).unwrap();
    let lost = read(TOLD_LOST);
    let run = || Run { operators: Some(plan.clone()), ..Run::default() };
    let played = judged_of(|| play_with(&lost, run()));
    // Hosts are dealt out to three buildings in turn.
    let received = |building: u32| {
        let there = played.verdict.hosts.iter().filter(|host| host.host % 3 == building);
        there.map(|host| host.received).sum::<u64>()
    };
    let all = [0, 1, 2].map(received);
    let none = all.iter().filter(|received| **received == 0).count();
    assert!(none == 1 && all.iter().sum::<u64>() > 200, "{all:?}");
}

fn faults_of_links_and_processes_bite_real_ones() {
    let played = judged(
        "scenario \"One after another\"
        length 21 s
        site
          gateways 3
          hosts 4
          host cold 100 % for 0 s
        traffic
          rate 40 requests/s
          retries 0
        at 2 s: links all gateways to all hosts cut answers for 2 s
        at 6 s: stop all gateways for 2 s
        at 10 s: links all gateways to the clients hold answers for 2 s
        at 14 s: links all gateways to all hosts reset
        at 14 s: slow all gateways x 3 for 2 s
        at 17.5 s: stop all hosts for 2.5 s",
    );
    let usual = served(&played, 1..2).max(served(&played, 5..6));
    // The second second of each fault.
    for fault in [3, 7, 11, 19] {
        let there = served(&played, fault..fault + 1);
        assert!(there * 3 < usual, "{there} in second {fault}, else {usual}");
    }
    assert!(served(&played, 16..17) * 2 > usual);
}

/// While its process stands still it settles no call, and after it what lay in its system's buffers comes; a building
/// that loses power takes it along, and it is another process that comes back.
fn a_counter_stands_still_and_dies_with_its_building() {
    let played = judged(
        "scenario \"The counter's process\"
        length 12 s
        site
          gateways 3
          hosts 4
          counter building 2
        traffic
          rate 40 requests/s
          retries 0
        at 2 s: stop the counter for 3 s
        at 7 s: lose building 2 for 3 s",
    );
    let calls: Vec<u32> = played.verdict.timeline.iter().map(|second| second.counter_calls).collect();
    assert!(calls[1] > 5, "{calls:?}");
    assert_eq!([calls[3], calls[8]], [0, 0], "{calls:?}");
    assert!(calls[5] > 5 && calls[11] > 5, "{calls:?}");
}

/// Answers that come all at once to a gateway that gave up on them, a process that stands still for long, calls to the
/// counter that arrive and are not answered, and faults within a millisecond of one another.
fn hard_cases_break_no_rule_on_real_processes() {
    let played = judged(
        "scenario \"Hard cases\"
        length 9 s
        site
          gateways 3
          hosts 4
        traffic
          rate 40 requests/s
        at 1 s: links gateway 1 to all hosts hold answers for 5 s
        at 1.0005 s: stop gateway 2 for 5 s
        at 1.0006 s: links all gateways to the counter cut answers for 4 s",
    );
    // One gateway of three works meanwhile, and all do afterwards.
    let (during, after) = (served(&played, 3..5), served(&played, 7..9));
    assert!(during * 4 < after * 3, "{during} while it lasts, {after} after it");
}

fn events_begin_by_signs_and_a_trace_plays_them_again() {
    let scenario = read(
        "scenario \"By signs\"
        length 4 s
        site
          gateways 2
          hosts 3
        traffic
          rate 40 requests/s
        at 1 s: reload gateway 2
        when gateway 2 logs \"configuration reloaded\": stop gateway 2 for 300 ms
        when call 40 from the clients to gateway 1: links gateway 1 to all hosts cut answers for 300 ms",
    );
    let played = judged_of(|| play_with(&scenario, Run::default()));
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("run.trace");
    std::fs::write(&file, played.trace.unwrap().to_text().unwrap()).unwrap();
    let trace = RunTrace::read(&file).unwrap();
    let timed = trace.timed();
    assert!(timed.events.iter().all(|timed| timed.trigger.is_none()), "all signs came: {:?}", timed.events);
    assert!(timed.events[1].at >= timed.events[0].at, "the log speaks after the signal: {:?}", timed.events);
    let again = judged_of(|| play_with(&timed, Run { replay: Some(&trace), ..Run::default() }));
    let told = trace.compare(&again.trace.unwrap());
    // A cut is two faults on each of three links.
    assert!(told.contains(" of 6 faults of links began at the place"), "{told}");
    assert!(told.ends_with("; 2 of 2 gateways were told the same in the same order"), "{told}");
}

/// Plays, and says how far it is; ends with status 3 where it was too slow to judge.
fn be_held_up() {
    let mut told = |now: Progress| println!("{}", now.done_s);
    let played = play_with(&read(FLEET), Run { progress: Some(&mut told), ..Run::default() });
    std::process::exit(if played.too_slow.is_some() { 3 } else { 0 });
}

fn a_rehearsal_that_was_held_up_is_not_judged() {
    let mut runner = Command::new(std::env::current_exe().unwrap());
    let runner = runner.arg(HELD_UP).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut runner = Runner(runner.spawn().unwrap());
    let mut told = BufReader::new(runner.0.stdout.take().unwrap());
    assert!(told.read_line(&mut String::new()).unwrap() > 0, "it plays");
    let pid = Pid::from_child(&runner.0);
    kill_process(pid, Signal::STOP).unwrap();
    // This is the fault itself: longer than any run may be late.
    std::thread::sleep(Duration::from_millis(400));
    kill_process(pid, Signal::CONT).unwrap();
    std::io::copy(&mut told, &mut std::io::sink()).unwrap();
    assert_eq!(runner.0.wait().unwrap().code(), Some(3));
}

/// Processes whose parent is this one.
fn children(parent: u32) -> BTreeSet<u32> {
    let mut found = BTreeSet::new();
    for entry in std::fs::read_dir("/proc").unwrap().flatten() {
        let Some(pid) = entry.file_name().to_str().and_then(|name| name.parse::<u32>().ok()) else {
            continue;
        };
        // It may be gone by now.
        let Ok(stat) = std::fs::read_to_string(entry.path().join("stat")) else { continue };
        let of = stat.rsplit_once(')').and_then(|(_, rest)| rest.split_whitespace().nth(1));
        if of == Some(parent.to_string().as_str()) {
            found.insert(pid);
        }
    }
    found
}

/// Whether anybody listens at the loopback address of this rehearsal.
fn listens(rehearsal: u32) -> bool {
    let [_, a, b, c] = rehearsal.to_be_bytes();
    // The system writes addresses as little endian hexadecimal; 0A is a listener.
    let own = format!("{c:02X}{b:02X}{:02X}7F:", 64 | a);
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let mut lines = sockets.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    lines.any(|words| words.get(1).is_some_and(|at| at.starts_with(&own)) && words.get(3) == Some(&"0A"))
}

fn wait_for(what: &str, mut is_so: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !is_so() {
        assert!(Instant::now() < until, "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Ends with the test, however that goes.
struct Runner(Child);

impl Drop for Runner {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn a_killed_rehearsal_leaves_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let mut runner = Command::new(std::env::current_exe().unwrap());
    runner.arg(RUNNER).env("TMPDIR", folder.path()).stdout(Stdio::null()).stderr(Stdio::null());
    let mut runner = Runner(runner.spawn().unwrap());
    let pid = runner.0.id();
    // And the counter.
    wait_for("all gateways run", || children(pid).len() == 9 && listens(pid));
    let gateways = children(pid);
    runner.0.kill().unwrap();
    runner.0.wait().unwrap();
    let lives = |pid: &u32| Path::new(&format!("/proc/{pid}")).exists();
    wait_for("gateways end with it", || !gateways.iter().any(lives));
    wait_for("nobody listens any more", || !listens(pid));
    let left: Vec<_> =
        std::fs::read_dir(folder.path()).unwrap().flatten().map(|entry| entry.path()).collect();
    assert!(left.is_empty(), "{left:?}");
}
