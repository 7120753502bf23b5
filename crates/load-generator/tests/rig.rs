//! The rig against its own relay and floor: it counts each request once, and finds the right answers.

use serde_json::Value;
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_load-generator");

fn rig(words: &[&str]) -> Output {
    Command::new(PROGRAM).args(words).output().unwrap()
}

/// A short run, and its figures.
fn run(words: &[&str]) -> Value {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("figures.json");
    let short = ["run", "--connections", "8", "--warm-s", "0.2", "--length-s", "0.6"];
    let output = rig(&[&short[..], &["--json", file.to_str().unwrap()], words].concat());
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let table = String::from_utf8(output.stdout).unwrap();
    assert!(table.contains("| subject "), "{table}");
    let figures: Value = serde_json::from_slice(&std::fs::read(file).unwrap()).unwrap();
    figures["outcomes"][0].clone()
}

fn count(outcome: &Value, group: &str, what: &str) -> u64 {
    outcome[group][what].as_u64().unwrap()
}

#[test]
fn closed_and_open_runs_count_each_request_once() {
    let cases = [
        (&["--relay", "1"][..], "relay-1"),
        (&["--relay", "2", "--rate", "300"], "relay-2"),
        (&["--relay", "1", "--value", "65536", "--body", "65536", "--orders", "0.5"], "relay-1"),
        (&["--floor", "--rate", "300"], "floor"),
    ];
    for (words, subject) in cases {
        let outcome = run(&[&["--hosts", "4", "--service-ms", "1"], words].concat());
        let all = |what| count(&outcome, "all", what);
        assert_eq!(outcome["subject"], subject);
        assert!(all("due") >= 50, "{words:?}: {outcome:#}");
        assert_eq!(all("due"), all("served") + all("refused") + all("failed") + all("lost"), "{words:?}");
        assert_eq!((all("served"), all("wrong")), (all("due"), 0), "{words:?}: {outcome:#}");
        assert!(outcome["latency"]["p50_ms"].as_f64().unwrap() >= 0.9, "{words:?}: hosts take a millisecond");
    }
}

#[test]
fn what_is_due_while_nobody_answers_counts_as_late() {
    // One host does 100 a second, and 400 fall due: with none left out, most come late or are turned away.
    let outcome =
        run(&["--relay", "1", "--rate", "400", "--hosts", "1", "--service-ms", "10", "--cores", "1"]);
    let all = |what| count(&outcome, "all", what);
    assert!(all("due") >= 100 && all("served") < all("due"), "{outcome:#}");
    assert_eq!(all("due"), all("served") + all("refused") + all("failed") + all("lost"), "{outcome:#}");
    assert!(outcome["latency"]["max_ms"].as_f64().unwrap() > 300.0, "{outcome:#}");
}

#[test]
fn a_program_that_is_stopped_by_turns_answers_late() {
    let words = ["--relay", "1", "--rate", "30", "--hosts", "2", "--service-ms", "1"];
    let outcome = run(&[&words[..], &["--stop-ms", "200", "--go-ms", "50"]].concat());
    assert!(outcome["latency"]["max_ms"].as_f64().unwrap() > 150.0, "{outcome:#}");
    assert_eq!(count(&outcome, "all", "lost"), 0, "{outcome:#}");
}

#[test]
fn wrong_words_have_a_status_and_a_line_of_their_own() {
    let cases = [
        (&["run", "--hosts", "0", "--relay", "1"][..], 1, "--hosts is from 1 to 500"),
        (&["run", "--gateway", "/nowhere/at/all"], 1, "cannot start"),
        (&["sweep"], 1, "a sweep needs --cores"),
        (&["walk"], 2, "unrecognized subcommand"),
        (&["compare", "relay:0", "floor"], 2, "1 to 64 connections a host"),
    ];
    for (words, status, reason) in cases {
        let output = rig(words);
        let said = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(status), "{words:?}: {said}");
        assert!(said.contains(reason), "{words:?}: {said}");
    }
}
