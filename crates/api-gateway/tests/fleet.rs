//! Several processes of the program with faulty links between them, checked by the invariant checker.
//!
//! A test binary without the usual harness, since it also is the launcher of the gateways, and since tests run an
//! emulator in a process that can be killed or stopped. Arguments other than flags select tests by a part of their
//! names.

use cluster_emulator::{
    run_child_process, run_real, run_virtual, OnProgress, Progress, RealOptions, RunOutcome, RunTrace,
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

/// Argument with which this binary is the emulator run that a test kills.
const RUNNER_FLAG: &str = "--runner";
/// Argument with which this binary is the emulator run that a test stops for a while, and whose status is the result.
const STOPPED_FLAG: &str = "--held-up";
/// Maximum number of runs of a scenario: a run for which the machine was too slow has no result, and is repeated.
const MAX_RUNS: usize = 4;
/// Time limit of all waits, also on a slow machine.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Eight gateways in two buildings; the building with the counter is partitioned for a while.
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

/// Eight gateways in three buildings, one of which the operators declare lost.
const DECLARED_LOST: &str = "
scenario \"A site is told lost\"
length 6 s
site
  gateways 8
  hosts 9
traffic
  rate 60 requests/s
";

/// Eight gateways in three buildings; one of the buildings fails with its gateways and hosts, and recovers.
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
    if let Err(error) = run_child_process() {
        panic!("cannot start: {error}");
    }
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|argument| argument == RUNNER_FLAG) {
        let _ = run(FLEET);
        return;
    }
    if arguments.first().is_some_and(|argument| argument == STOPPED_FLAG) {
        return run_stopped();
    }
    let tests: [(&str, fn()); 9] = [
        (
            "a_fleet_with_a_plan_detects_the_loss_and_recovery_of_a_site",
            a_fleet_with_a_plan_detects_the_loss_and_recovery_of_a_site,
        ),
        ("a_fleet_sends_nothing_to_a_site_declared_lost", a_fleet_sends_nothing_to_a_site_declared_lost),
        ("a_fleet_survives_a_partitioned_building", a_fleet_survives_a_partitioned_building),
        ("faults_of_links_and_processes_affect_real_ones", faults_of_links_and_processes_affect_real_ones),
        ("hard_cases_cause_no_violation_on_real_processes", hard_cases_cause_no_violation_on_real_processes),
        ("triggers_start_events_and_a_trace_replays_them", triggers_start_events_and_a_trace_replays_them),
        (
            "a_run_that_was_stopped_for_a_while_has_no_result",
            a_run_that_was_stopped_for_a_while_has_no_result,
        ),
        (
            "a_counter_is_stopped_and_fails_with_its_building",
            a_counter_is_stopped_and_fails_with_its_building,
        ),
        ("a_killed_run_leaves_no_processes_or_files", a_killed_run_leaves_no_processes_or_files),
    ];
    let filters: Vec<&String> = arguments.iter().filter(|argument| !argument.starts_with('-')).collect();
    for (name, test) in tests {
        if filters.is_empty() || filters.iter().any(|part| name.contains(part.as_str())) {
            let start = Instant::now();
            test();
            println!("test {name} ... ok ({:.1} s)", start.elapsed().as_secs_f64());
        }
    }
}

fn parse(text: &str) -> Scenario {
    file::parse("fleet.scenario", text).unwrap_or_else(|error| panic!("{error}"))
}

fn run(text: &str) -> RunOutcome {
    run_with(&parse(text), RunOptions::default())
}

/// The options of a run beside its scenario.
#[derive(Default)]
struct RunOptions<'a> {
    replay: Option<&'a RunTrace>,
    progress: OnProgress<'a>,
    operators: Option<PathBuf>,
    logs: Option<PathBuf>,
}

fn run_with(scenario: &Scenario, options: RunOptions<'_>) -> RunOutcome {
    let RunOptions { replay, progress, operators, logs } = options;
    let options = RealOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_api-gateway")),
        launcher: Some(std::env::current_exe().unwrap()),
        links: true,
        replay,
        logs,
        operators,
        gateway_override: None,
        progress,
    };
    run_real(scenario, 1, options).unwrap_or_else(|error| panic!("{error:#}"))
}

/// Runs a scenario until a run has a result, and checks that it has no violations.
fn run_checked(text: &str) -> RunOutcome {
    run_checked_by(|| run(text))
}

fn run_checked_by(run: impl Fn() -> RunOutcome) -> RunOutcome {
    for _ in 0..MAX_RUNS {
        let played = run();
        match &played.too_slow {
            Some(reason) => println!("{reason}"),
            None => {
                assert_eq!(played.verdict.violations, []);
                assert_eq!(played.verdict.notes, [""; 0]);
                assert_eq!(played.history.findings, []);
                assert_eq!(played.errors, [""; 0]);
                return played;
            }
        }
    }
    panic!("the machine was too slow {MAX_RUNS} times");
}

/// Returns the number of requests served within the latency objective in these seconds.
fn served(played: &RunOutcome, seconds: std::ops::Range<usize>) -> u32 {
    played.verdict.timeline[seconds].iter().map(|second| second.served).sum()
}

fn a_fleet_survives_a_partitioned_building() {
    let real = run_checked(FLEET);
    let virtual_time = run_virtual(&parse(FLEET), 1, VirtualOptions::default()).unwrap();
    for played in [&real, &virtual_time] {
        // Half of the gateways reach no host during the partition.
        let (during, after) = (served(played, 3..5), served(played, 7..9));
        assert!(during * 4 < after * 3, "{during} during the partition, {after} after it");
    }
    let shares = (real.verdict.share_served, virtual_time.verdict.share_served);
    assert!((shares.0 - shares.1).abs() < 0.1, "{shares:?}");
}

/// Returns the states of a site in the logs of the gateways of the other buildings, in order for each gateway.
fn logged_states(site: &str, logs: &Path) -> Vec<Vec<String>> {
    // Gateways 2, 5 and 8 are in the second of three buildings.
    let survivors = (1..=8).filter(|gateway| gateway % 3 != 2);
    let states = |gateway: u32| {
        let log = std::fs::read_to_string(logs.join(format!("gateway-{gateway}.0.log"))).unwrap();
        let prefix = format!("site {site} is ");
        let messages = log.lines().filter_map(|line| line.split_once(&prefix));
        messages.map(|(_, rest)| rest.split(',').next().unwrap_or_default().to_owned()).collect()
    };
    survivors.map(states).collect()
}

fn a_fleet_with_a_plan_detects_the_loss_and_recovery_of_a_site() {
    let folder = tempfile::tempdir().unwrap();
    let plan = folder.path().join("plan.fb");
    let sites = [("west", 1), ("middle", 2), ("east", 3)]
        .map(|(name, zone)| format!("site \"{name}\" {{\n  zones = \"building-{zone}\"\n  ramp = 2 s\n}}\n"));
    std::fs::write(&plan, sites.concat()).unwrap();
    let logs = folder.path().join("logs");
    let scenario = parse(LOST_SITE);
    let options =
        || RunOptions { operators: Some(plan.clone()), logs: Some(logs.clone()), ..RunOptions::default() };
    run_checked_by(|| run_with(&scenario, options()));
    let states = logged_states("middle", &logs);
    let position = |states: &[String], state: &str| states.iter().position(|logged| logged == state);
    // Each gateway decides alone, by the few requests that it handles: one that detected no loss detects no recovery
    // either.
    let lost: Vec<_> = states.iter().filter(|logged| position(logged, "lost").is_some()).collect();
    assert!(!lost.is_empty(), "{states:?}");
    assert!(lost.iter().all(|logged| position(logged, "lost") < position(logged, "returning")), "{states:?}");
    let recovered = lost.iter().filter(|logged| logged.last().is_some_and(|last| last == "whole"));
    assert!(recovered.count() * 2 > lost.len(), "{states:?}");
    let others = ["west", "east"].map(|site| logged_states(site, &logs).concat());
    assert!(!others.concat().iter().any(|state| state == "lost"), "{others:?}");
}

fn a_fleet_sends_nothing_to_a_site_declared_lost() {
    let folder = tempfile::tempdir().unwrap();
    let plan = folder.path().join("plan.fb");
    let sites = [("west", ""), ("middle", "  told = \"lost\"\n"), ("east", "")];
    let site = |(number, (name, declaration)): (usize, (&str, &str))| {
        format!("site \"{name}\" {{\n  zones = \"building-{}\"\n{declaration}}}\n", number + 1)
    };
    std::fs::write(&plan, sites.into_iter().enumerate().map(site).collect::<String>()).unwrap();
    let scenario = parse(DECLARED_LOST);
    let options = || RunOptions { operators: Some(plan.clone()), ..RunOptions::default() };
    let played = run_checked_by(|| run_with(&scenario, options()));
    // Hosts are distributed to the three buildings in turn.
    let received = |building: u32| {
        let hosts = played.verdict.hosts.iter().filter(|host| host.host % 3 == building);
        hosts.map(|host| host.received).sum::<u64>()
    };
    let all = [0, 1, 2].map(received);
    let unused = all.iter().filter(|received| **received == 0).count();
    assert!(unused == 1 && all.iter().sum::<u64>() > 200, "{all:?}");
}

fn faults_of_links_and_processes_affect_real_ones() {
    let played = run_checked(
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
    // The second of the two seconds of each fault.
    for fault in [3, 7, 11, 19] {
        let during = served(&played, fault..fault + 1);
        assert!(during * 3 < usual, "{during} in second {fault}, otherwise {usual}");
    }
    assert!(served(&played, 16..17) * 2 > usual);
}

/// A stopped counter process handles no calls, and handles those in the system's buffers after it resumes. A building
/// that loses power takes the counter down, and a new process starts with the building.
fn a_counter_is_stopped_and_fails_with_its_building() {
    let played = run_checked(
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

/// Answers that arrive all at once after the gateway has given up on them, a process that is stopped for long, counter
/// calls that arrive and stay unanswered, and faults within a millisecond of each other.
fn hard_cases_cause_no_violation_on_real_processes() {
    let played = run_checked(
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
    // One gateway of three works during the faults, and all work afterwards.
    let (during, after) = (served(&played, 3..5), served(&played, 7..9));
    assert!(during * 4 < after * 3, "{during} during the faults, {after} after them");
}

fn triggers_start_events_and_a_trace_replays_them() {
    let scenario = parse(
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
    let played = run_checked_by(|| run_with(&scenario, RunOptions::default()));
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("run.trace");
    std::fs::write(&file, played.trace.unwrap().to_text().unwrap()).unwrap();
    let trace = RunTrace::read(&file).unwrap();
    let timed = trace.timed();
    assert!(
        timed.events.iter().all(|timed| timed.trigger.is_none()),
        "a trigger did not occur: {:?}",
        timed.events
    );
    assert!(timed.events[1].at >= timed.events[0].at, "the log line precedes the signal: {:?}", timed.events);
    let again =
        run_checked_by(|| run_with(&timed, RunOptions { replay: Some(&trace), ..RunOptions::default() }));
    let comparison = trace.compare(&again.trace.unwrap());
    // Cutting answers is two faults on each of three links.
    assert!(comparison.contains(" of 6 faults of links began at the place"), "{comparison}");
    assert!(comparison.ends_with("; 2 of 2 gateways were told the same in the same order"), "{comparison}");
}

/// Runs a scenario, prints its progress, and exits with status 3 if the machine was too slow for a result.
fn run_stopped() {
    let mut print_progress = |now: Progress| println!("{}", now.done_s);
    let played =
        run_with(&parse(FLEET), RunOptions { progress: Some(&mut print_progress), ..RunOptions::default() });
    std::process::exit(if played.too_slow.is_some() { 3 } else { 0 });
}

fn a_run_that_was_stopped_for_a_while_has_no_result() {
    let mut runner = Command::new(std::env::current_exe().unwrap());
    let runner = runner.arg(STOPPED_FLAG).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut runner = Runner(runner.spawn().unwrap());
    let mut progress = BufReader::new(runner.0.stdout.take().unwrap());
    assert!(progress.read_line(&mut String::new()).unwrap() > 0, "the run has not started");
    let pid = Pid::from_child(&runner.0);
    kill_process(pid, Signal::STOP).unwrap();
    // This delay is the fault: it is longer than the maximum delay of a valid run.
    std::thread::sleep(Duration::from_millis(400));
    kill_process(pid, Signal::CONT).unwrap();
    std::io::copy(&mut progress, &mut std::io::sink()).unwrap();
    assert_eq!(runner.0.wait().unwrap().code(), Some(3));
}

/// Returns the child processes of this process.
fn children(parent: u32) -> BTreeSet<u32> {
    let mut found = BTreeSet::new();
    for entry in std::fs::read_dir("/proc").unwrap().flatten() {
        let Some(pid) = entry.file_name().to_str().and_then(|name| name.parse::<u32>().ok()) else {
            continue;
        };
        // The process may have ended since.
        let Ok(stat) = std::fs::read_to_string(entry.path().join("stat")) else { continue };
        let parent_pid = stat.rsplit_once(')').and_then(|(_, rest)| rest.split_whitespace().nth(1));
        if parent_pid == Some(parent.to_string().as_str()) {
            found.insert(pid);
        }
    }
    found
}

/// Returns whether any process listens at the loopback address of the run in this process.
fn listens(runner: u32) -> bool {
    let [_, a, b, c] = runner.to_be_bytes();
    // The file has addresses as little-endian hexadecimal numbers; state 0A is a listener.
    let address = format!("{c:02X}{b:02X}{:02X}7F:", 64 | a);
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let mut lines = sockets.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    lines.any(|columns| {
        columns.get(1).is_some_and(|at| at.starts_with(&address)) && columns.get(3) == Some(&"0A")
    })
}

fn wait_for(awaited: &str, mut is_reached: impl FnMut() -> bool) {
    let until = Instant::now() + TIMEOUT;
    while !is_reached() {
        assert!(Instant::now() < until, "timed out waiting until {awaited}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A process that is killed when it is dropped, also by a failed test.
struct Runner(Child);

impl Drop for Runner {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn a_killed_run_leaves_no_processes_or_files() {
    let folder = tempfile::tempdir().unwrap();
    let mut runner = Command::new(std::env::current_exe().unwrap());
    runner.arg(RUNNER_FLAG).env("TMPDIR", folder.path()).stdout(Stdio::null()).stderr(Stdio::null());
    let mut runner = Runner(runner.spawn().unwrap());
    let pid = runner.0.id();
    // The ninth child is the counter.
    wait_for("all gateways run", || children(pid).len() == 9 && listens(pid));
    let gateways = children(pid);
    runner.0.kill().unwrap();
    runner.0.wait().unwrap();
    let is_alive = |pid: &u32| Path::new(&format!("/proc/{pid}")).exists();
    wait_for("the gateways have ended", || !gateways.iter().any(is_alive));
    wait_for("no process listens any more", || !listens(pid));
    let leftover_files: Vec<_> =
        std::fs::read_dir(folder.path()).unwrap().flatten().map(|entry| entry.path()).collect();
    assert!(leftover_files.is_empty(), "{leftover_files:?}");
}
