//! A gateway dies once at each point of its program, with the counter whole and cut: what each death costs, and
//! whether a rule is broken by it.
//!
//!     cargo build --release -p api-gateway --features crash-points --target-dir target/crash-points
//!     cargo run --release -p cluster-emulator --example crash_sweep -- target/crash-points/release/api-gateway
//!
//! `[SEED [AT ONCE [POINT FROM TO]]]` may follow the program: the last three play that point alone, once for each time
//! from FROM to TO that the gateway may come there. Ends with status 1 where a rule broke, or a gateway did not die.

use cluster_emulator::{CrashScenario, RunOutcome};
use gateway::CrashPoint;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let Some(program) = words.next().map(PathBuf::from) else {
        eprintln!("which program? One built with the feature crash-points.");
        return ExitCode::from(2);
    };
    let mut number = |or: u64| words.next().and_then(|word| word.parse().ok()).unwrap_or(or);
    let (seed, at_once) = (number(1), number(2));
    let point = words.next().and_then(|name| CrashPoint::ALL.into_iter().find(|point| point.name() == name));
    let times: Vec<u64> = words.map_while(|word| word.parse().ok()).collect();
    let of = |cut: bool| match (point, &times[..]) {
        (Some(_), &[from, to]) => {
            (from..=to).map(|nth| CrashScenario { point, nth, counter_silent: cut }).collect()
        }
        _ => {
            let none = CrashScenario { point: None, nth: 0, counter_silent: cut };
            let each = CrashPoint::ALL.into_iter().map(|point| CrashScenario::at(point, cut));
            std::iter::once(none).chain(each).collect::<Vec<_>>()
        }
    };
    let todo = Mutex::new(of(false).into_iter().chain(of(true)).enumerate());
    let rows = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..at_once.max(1) {
            scope.spawn(|| loop {
                let Some((place, death)) = todo.lock().expect("no job panics with it").next() else { return };
                let row = row(&death, death.run(&program, seed));
                rows.lock().expect("no job panics with it").push((place, row));
            });
        }
    });
    let mut rows = rows.into_inner().expect("no job panics with it");
    rows.sort_by_key(|(place, _)| *place);
    println!("| dies at | counter | at, s | tries | no answer | late | served | worth | rules |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    rows.iter().for_each(|(_, (line, _))| println!("{line}"));
    if rows.iter().all(|(_, (_, well))| *well) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// A line of the table, and whether all is well.
fn row(death: &CrashScenario, played: anyhow::Result<RunOutcome>) -> (String, bool) {
    let name = death.point.map_or("(none)".into(), |point| format!("`{}:{}`", point.name(), death.nth));
    let counter = if death.counter_silent { "cut" } else { "whole" };
    let played = match played {
        Ok(played) => played,
        Err(error) => return (format!("| {name} | {counter} | {error:#} |"), false),
    };
    let verdict = &played.verdict;
    let broken: Vec<String> = verdict.violations.iter().map(|breach| breach.text.clone()).collect();
    let broken = broken.into_iter().chain(played.history.findings.iter().map(ToString::to_string));
    let mut wrong: Vec<String> = broken.chain(played.errors.iter().cloned()).collect();
    if death.point.is_some() == played.crashed.is_empty() {
        wrong.push("it did not die as arranged".into());
    }
    wrong.iter().for_each(|what| eprintln!("{name}, counter {counter}: {what}"));
    let sum = |of: fn(&invariants::SecondFigures) -> u32| verdict.timeline.iter().map(of).sum::<u32>();
    // Cut off, failed, or gone without an answer; some clients of any day leave early.
    let unanswered =
        sum(|second| second.offered) - sum(|second| second.served + second.late + second.refused);
    let at = played.crashed.first().map_or("-".into(), |(_, at)| format!("{at:.2}"));
    let line = format!(
        "| {name} | {counter} | {at} | {} | {} | {} | {:.1} % | {:.3} | {} |",
        sum(|second| second.offered),
        unanswered,
        sum(|second| second.late),
        verdict.share_served * 100.0,
        verdict.weighted_score,
        if wrong.is_empty() { "kept".into() } else { format!("{} broken", wrong.len()) },
    );
    (line, wrong.is_empty())
}
